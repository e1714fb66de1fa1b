"""Common base of the rules commands: exit codes, file reading and output."""

import pathlib
import time
from collections.abc import Iterable
from datetime import UTC, datetime
from enum import IntEnum
from zoneinfo import ZoneInfo

from cleo.commands.command import Command
from cleo.io.outputs.output import Type

from bluebellusher_core.billing import Month
from bluebellusher_core.rules import RuleSet, parse_rules


class ExitCode(IntEnum):
    """Exit codes of all rules commands."""

    DONE = 0
    RULES_HAVE_ERRORS = 1
    USAGE_ERROR = 2
    REFUSED = 3
    STATE_UNKNOWN = 4
    ENTRY_FAILED = 5


EXIT_CODES_HELP = """
Exit codes:
  0  done
  1  a rules file has errors; each is printed with line and column
  2  invalid arguments, or a file cannot be read
  3  the change was refused; nothing was changed
  4  it is unknown whether the change was accepted
  5  the entry could not be reached or answered with an error; nothing was sent
     or changed
"""


class CommandError(Exception):
    """Failure of a command.

    Parameters
    ----------
    code : ExitCode
        Exit code of the command.
    *lines : str
        Lines of the message on standard error.
    """

    def __init__(self, code: ExitCode, *lines: str) -> None:
        super().__init__("\n".join(lines))
        self.code = code
        self.lines = lines


class RulesCommand(Command):
    """Base class of commands that raise ``CommandError`` on failure."""

    def handle(self) -> int:
        """Run the command, print the message of a failure and return the exit code."""
        try:
            return int(self.run_command())
        except CommandError as e:
            for line in e.lines:
                self.write_error_line(line)
            return int(e.code)

    def run_command(self) -> ExitCode:
        """Run the command; implemented by each subclass."""
        raise NotImplementedError

    def write_lines(self, lines: Iterable[str]) -> None:
        """Print lines without interpreting cleo's tags, which rules may contain."""
        for line in lines:
            self.io.write_line(line, type=Type.RAW)

    def write_error_line(self, line: str) -> None:
        """Print a line to standard error, without interpreting cleo's tags."""
        self.io.write_error_line(line, type=Type.RAW)

    def read_month(self, rules: RuleSet, option: str = "month") -> Month:
        """Return the month in an option; by default the next one in the rules' zone."""
        text = self.option(option)
        if not text:
            now = datetime.fromtimestamp(time.time(), UTC)
            local = now.astimezone(ZoneInfo(rules.month_zone))
            next_month_index = local.year * 12 + local.month
            return Month(
                next_month_index // 12, next_month_index % 12 + 1, rules.month_zone
            )
        try:
            return Month.from_text(text, rules.month_zone)
        except ValueError as e:
            raise CommandError(ExitCode.USAGE_ERROR, f"--{option}: {e}") from e


def read_text(path: str) -> str:
    """Return the text of a UTF-8 file; raise ``CommandError`` if it is unreadable."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as e:
        message = f"{path}: cannot be read as UTF-8 text: {e}"
        raise CommandError(ExitCode.USAGE_ERROR, message) from e


def read_rules(path: str) -> RuleSet:
    """Return the rules in a file; raise ``CommandError`` with all of its errors."""
    return parse_or_fail(read_text(path), path)


def parse_or_fail(text: str, source: str) -> RuleSet:
    """Return the rules in a text; raise ``CommandError`` with all of its errors.

    Each error is prefixed with ``source``, the name of the file or version.
    """
    result = parse_rules(text)
    if result.is_ok():
        return result.ok
    errors = [f"{source}: {error.render()}" for error in result.error]
    noun = "error" if len(errors) == 1 else "errors"
    errors.append(f"{source}: {len(errors)} {noun}")
    raise CommandError(ExitCode.RULES_HAVE_ERRORS, *errors)
