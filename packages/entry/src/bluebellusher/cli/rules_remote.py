"""Rules commands that send requests to an entry: history, apply and status."""

import json
import re
import uuid
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bluebellusher.cli.rules_base import (
    EXIT_CODES_HELP,
    CommandError,
    ExitCode,
    RulesCommand,
    parse_or_fail,
    read_text,
)
from bluebellusher.cli.rules_client import (
    TOKEN_VARIABLE,
    AcceptedVersion,
    ChangeRequest,
    ChangeState,
    RulesClient,
)
from bluebellusher.cli.rules_text import (
    format_change_counts,
    format_changes,
    format_table,
    format_time,
)
from bluebellusher_core.rules import RuleSet, diff_rules, parse_rules

_BASE_VERSION_LINE = re.compile(r"# version ([0-9]{1,12})\Z")
_CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}\Z")
_URL_OPTION = option("url", None, "Address of an entry (required)", flag=False)
_TOKEN_HELP = f"The operator's token is read from the variable {TOKEN_VARIABLE}.\n"


def read_url_option(command: RulesCommand) -> str:
    """Return the option ``--url``; raise ``CommandError`` if it is not an HTTP URL."""
    url = str(command.option("url") or "")
    if not url.startswith(("http://", "https://")):
        message = f"--url={url}: expected an address such as http://10.0.0.4:8080"
        raise CommandError(ExitCode.USAGE_ERROR, message)
    return url


class RulesHistoryCommand(RulesCommand):
    """Command that lists the versions of the rules, or prints the text of one."""

    name = "rules history"
    description = "List the accepted versions of the rules with time and author"
    help = (
        "Each line has the numbers of rules that a version added (+), removed (-) "
        "and\nchanged (~). --format json prints a file for 'rules why --history'. "
        "--show N\nprints the text of one version after a line '# version N', which "
        "'rules apply' reads as\nthe base version of the edited text.\n"
        + _TOKEN_HELP
        + EXIT_CODES_HELP
    )
    options: ClassVar[list[Option]] = [
        _URL_OPTION,
        option("format", None, "table or json", flag=False, default="table"),
        option("show", None, "Print the text of this version", flag=False),
    ]

    def run_command(self) -> ExitCode:
        """Print all versions, or the text of the version in ``--show``."""
        output_format, version_number = self.option("format"), self.option("show")
        if output_format not in ("table", "json"):
            message = f"--format={output_format}: expected table or json"
            raise CommandError(ExitCode.USAGE_ERROR, message)
        accepted_versions = RulesClient(read_url_option(self)).read_versions()
        if version_number is not None:
            self.write_lines(_make_editable_text(accepted_versions, version_number))
        elif output_format == "json":
            content = {
                "versions": [accepted.model_dump() for accepted in accepted_versions]
            }
            text = json.dumps(content, indent=2, ensure_ascii=False)
            self.write_lines(text.split("\n"))
        else:
            self.write_lines(_format_history(accepted_versions))
        return ExitCode.DONE


def _make_editable_text(
    accepted_versions: list[AcceptedVersion], version_number: str
) -> list[str]:
    """Return the text of a version, after a line that names it as the base version."""
    for accepted in accepted_versions:
        if str(accepted.version) == version_number:
            lines = accepted.rules_text.rstrip("\n").split("\n")
            # Remove the line that names the base of this version.
            lines_without_base = [
                line for line in lines if not _BASE_VERSION_LINE.match(line.rstrip())
            ]
            return [f"# version {version_number}", *lines_without_base]
    message = f"--show={version_number}: expected the number of an accepted version"
    raise CommandError(ExitCode.USAGE_ERROR, message)


def _format_history(accepted_versions: list[AcceptedVersion]) -> list[str]:
    """Return a table with number, time, changed rules and author of each version."""
    rows = []
    previous = RuleSet(())
    for accepted in accepted_versions:
        rules = parse_or_fail(accepted.rules_text, f"version {accepted.version}")
        accepted_time = format_time(accepted.accepted_wall_ms // 1000, rules.month_zone)
        changes = format_change_counts(previous, rules)
        rows.append([str(accepted.version), accepted_time, changes, accepted.author])
        previous = rules
    return format_table(["Version", "Accepted", "Rules", "Author"], rows)


class RulesApplyCommand(RulesCommand):
    """Command that sends a rules file to an entry as a new version."""

    name = "rules apply"
    description = "Apply a rules file as the new version, through an entry"
    help = (
        "Checks the file, prints its differences from the version in force, and sends "
        "it.\nThe change is accepted only if its base version is still in force. The "
        "base version is\nthe number in --base-version, else in a line '# version N' "
        "of the file (see 'rules\nhistory --show'), else the version in force that the "
        "command shows. If the change is\nrefused, your file is not modified and "
        "its differences from the new version in force\nare printed.\n\nThe command "
        "prints the id of the change before it sends it. If no answer arrives, run\n"
        "'rules status ID', or repeat the command with --change-id ID; the change "
        "takes effect\nat most once.\n" + _TOKEN_HELP + EXIT_CODES_HELP
    )
    arguments: ClassVar[list[Argument]] = [argument("file", "Rules file to apply")]
    options: ClassVar[list[Option]] = [
        _URL_OPTION,
        option("author", None, "Author of the change (required)", flag=False),
        option(
            "without-domain",
            None,
            "Unreachable failure domain that need not stage the change; repeatable",
            flag=False,
            multiple=True,
        ),
        option("base-version", None, "Version that the file is based on", flag=False),
        option("change-id", None, "Id of an earlier change to send again", flag=False),
    ]

    def run_command(self) -> ExitCode:
        """Check the file, print its differences and send it; return the exit code."""
        path, url = self.argument("file"), read_url_option(self)
        author = self.option("author")
        if not author:
            message = "--author: expected the name of the author of the change"
            raise CommandError(ExitCode.USAGE_ERROR, message)
        change_id = self._read_change_id()
        text = read_text(path)
        rules = parse_or_fail(text, path)
        client = RulesClient(url)
        head = client.read_head()
        self._print_difference(head, rules)
        change = ChangeRequest(
            change_id=change_id,
            base_version=self._read_base_version(text, head),
            rules_text=text,
            author=author,
            without_domains=self.option("without-domain"),
        )
        self.write_lines(
            [f"change id {change_id}, based on version {change.base_version}"]
        )
        return self._print_state(client.send_change(change), change, rules, url)

    def _read_change_id(self) -> str:
        """Return the option ``--change-id``, or a new random id."""
        change_id = self.option("change-id") or str(uuid.uuid4())
        if not _CHANGE_ID_PATTERN.match(change_id):
            message = f"--change-id={change_id}: expected letters, digits, '_' and '-'"
            raise CommandError(ExitCode.USAGE_ERROR, message)
        return str(change_id)

    def _read_base_version(self, text: str, head: AcceptedVersion) -> int:
        """Return the base version from the option, the text or the version in force."""
        version_number = self.option("base-version")
        if version_number is None:
            matches = [
                _BASE_VERSION_LINE.match(line.rstrip()) for line in text.split("\n")
            ]
            version_number = next((match[1] for match in matches if match), None)
        if version_number is None:
            return head.version
        if not re.match(r"[0-9]{1,12}\Z", version_number):
            message = f"--base-version={version_number}: expected a number"
            raise CommandError(ExitCode.USAGE_ERROR, message)
        return int(version_number)

    def _print_difference(self, head: AcceptedVersion, rules: RuleSet) -> None:
        """Print the differences between the version in force and the file."""
        rules_in_force = parse_rules(head.rules_text)
        if head.version == 0 or rules_in_force.is_error():
            self.write_lines([f"{len(rules.rules)} rules; none are in force yet"])
            return
        changes = diff_rules(rules_in_force.ok, rules)
        self.write_lines([f"Changes to version {head.version}:"])
        self.write_lines(format_changes(changes) or ["  none"])

    def _print_state(
        self, state: ChangeState, change: ChangeRequest, rules: RuleSet, url: str
    ) -> ExitCode:
        """Print the state of the sent change; return the exit code."""
        if state.state == "accepted":
            self.write_lines([f"Accepted as version {state.version}."])
            return ExitCode.DONE
        if state.state == "refused":
            self.write_error_line(f"Refused: {state.reason}")
            self._print_conflict(state, change, rules)
            return ExitCode.REFUSED
        self.write_error_line(
            f"It is unknown whether the change was accepted: {state.reason}"
        )
        self.write_error_line("To check again, run:")
        self.write_error_line(
            f"  bluebellusher rules status {change.change_id} --url {url}"
        )
        return ExitCode.STATE_UNKNOWN

    def _print_conflict(
        self, state: ChangeState, change: ChangeRequest, rules: RuleSet
    ) -> None:
        """Print the differences between the version in force and the refused file."""
        rules_in_force = parse_rules(state.rules_text)
        if state.head_version == change.base_version or rules_in_force.is_error():
            return
        self.write_error_line(
            f"Version {state.head_version} is in force; your file is unchanged. "
            "Changes from that version to your file:"
        )
        for line in format_changes(diff_rules(rules_in_force.ok, rules)):
            self.write_error_line(line)
        self.write_error_line(
            "Merge that version into your file, then repeat the command with "
            f"--base-version {state.head_version}."
        )


class RulesStatusCommand(RulesCommand):
    """Command that prints whether a change was accepted."""

    name = "rules status"
    description = "Show whether a change was accepted"
    help = (
        "Reads the state of a change by the id that 'rules apply' printed. If the "
        "entry has no\nchange with this id, the change may still arrive there; to "
        "settle its state, repeat\n'rules apply' with --change-id.\n"
        + _TOKEN_HELP
        + EXIT_CODES_HELP
    )
    arguments: ClassVar[list[Argument]] = [argument("change-id", "Id of the change")]
    options: ClassVar[list[Option]] = [_URL_OPTION]

    def run_command(self) -> ExitCode:
        """Print the state of the change; return the exit code."""
        change_id = self.argument("change-id")
        if not _CHANGE_ID_PATTERN.match(change_id):
            message = f"{change_id}: expected letters, digits, '_' and '-'"
            raise CommandError(ExitCode.USAGE_ERROR, message)
        state = RulesClient(read_url_option(self)).read_change(change_id)
        if state is None or state.state == "unknown":
            self.write_error_line(
                f"Change {change_id} has not been accepted yet. It may still arrive "
                "at the entry; to settle its state, repeat 'rules apply' with "
                f"--change-id {change_id}."
            )
            return ExitCode.STATE_UNKNOWN
        if state.state == "refused":
            self.write_error_line(f"Refused: {state.reason}")
            return ExitCode.REFUSED
        self.write_lines([f"Accepted as version {state.version}."])
        return ExitCode.DONE
