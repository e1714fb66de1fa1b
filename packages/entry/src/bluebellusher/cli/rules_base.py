"""What the rules commands share: exit codes, reading of files, output."""

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
    WRONG_USE = 2
    REFUSED = 3
    STATE_UNKNOWN = 4
    ENTRY_FAILED = 5


EXIT_CODES_HELP = """
Exit codes:
  0  done
  1  a rules file has errors; each is printed with line and column
  2  wrong use, or a file cannot be read
  3  the change was refused; nothing was changed
  4  it is not known whether the change was accepted
  5  the entry could not be reached or answered with an error; nothing was sent
     or changed
"""


class CommandError(Exception):
    """Ends a command with a message and an exit code."""

    def __init__(self, code: ExitCode, *lines: str) -> None:
        super().__init__("\n".join(lines))
        self.code = code
        self.lines = lines


class RulesCommand(Command):
    """A command whose errors become messages and exit codes."""

    def handle(self) -> int:
        """Run the command; return its exit code."""
        try:
            return int(self.run_rules())
        except CommandError as e:
            for line in e.lines:
                self.write_error_line(line)
            return int(e.code)

    def run_rules(self) -> ExitCode:
        """Do the work of the command."""
        raise NotImplementedError

    def write_lines(self, lines: Iterable[str]) -> None:
        """Print lines as they are; rules may contain text that looks like a tag."""
        for line in lines:
            self.io.write_line(line, type=Type.RAW)

    def write_error_line(self, line: str) -> None:
        """Print a line to the standard error output."""
        self.io.write_error_line(line, type=Type.RAW)

    def month(self, rules: RuleSet, option: str = "month") -> Month:
        """Return the month of an option, or the next month in the rules' zone."""
        text = self.option(option)
        if not text:
            now = datetime.fromtimestamp(time.time(), UTC)
            local = now.astimezone(ZoneInfo(rules.month_zone))
            n_months = local.year * 12 + local.month
            return Month(n_months // 12, n_months % 12 + 1, rules.month_zone)
        try:
            return Month.from_text(text, rules.month_zone)
        except ValueError as e:
            raise CommandError(ExitCode.WRONG_USE, f"--{option}: {e}") from e


def read_text(path: str) -> str:
    """Return the text of a file."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as e:
        message = f"{path}: cannot be read as UTF-8 text: {e}"
        raise CommandError(ExitCode.WRONG_USE, message) from e


def read_rules(path: str) -> RuleSet:
    """Return the rules of a file that has no errors."""
    return parse_or_fail(read_text(path), path)


def parse_or_fail(text: str, source: str) -> RuleSet:
    """Return the rules of a text, or fail with all of its errors."""
    result = parse_rules(text)
    if result.is_ok():
        return result.ok
    errors = [f"{source}: {error.render()}" for error in result.error]
    noun = "error" if len(errors) == 1 else "errors"
    errors.append(f"{source}: {len(errors)} {noun}")
    raise CommandError(ExitCode.RULES_HAVE_ERRORS, *errors)
