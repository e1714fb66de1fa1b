"""Rules commands that read files: check, plan, forecast and why."""

from datetime import UTC, datetime
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bluebellusher.cli.rules_base import (
    EXIT_CODES_HELP,
    CommandError,
    ExitCode,
    RulesCommand,
    read_rules,
    read_text,
)
from bluebellusher.cli.rules_client import RulesClient, parse_history, parse_versions
from bluebellusher.cli.rules_remote import (
    RulesApplyCommand,
    RulesHistoryCommand,
    RulesStatusCommand,
)
from bluebellusher.cli.rules_text import (
    format_changes,
    format_explanation,
    format_forecast_chart,
    format_forecast_json,
    format_forecast_table,
    format_plan,
)
from bluebellusher_core.billing import (
    Explanation,
    Month,
    RulesVersion,
    compute_forecast,
    explain_bill_difference,
    explain_version_difference,
)
from bluebellusher_core.rules import RuleSet, diff_rules

_FORMAT_FUNCTION_BY_NAME = {
    "table": format_forecast_table,
    "json": format_forecast_json,
    "chart": format_forecast_chart,
}
_MONTH_HELP = "Month of the bill, such as 2027-01; the next month by default"


class RulesCheckCommand(RulesCommand):
    """Command that prints every error in a rules file."""

    name = "rules check"
    description = "Check a rules file and print every error with line and column"
    help = (
        "Reads a rules file and changes nothing. The grammar is in docs/rules.md.\n"
        + EXIT_CODES_HELP
    )
    arguments: ClassVar[list[Argument]] = [argument("file", "Rules file to check")]

    def run_command(self) -> ExitCode:
        """Check the file and print the numbers of rules and customers."""
        path = self.argument("file")
        rules = read_rules(path)
        n_rules, n_customers = len(rules.rules), len(rules.customers)
        self.write_lines(
            [f"{path}: no errors, {n_rules} rules, {n_customers} customers"]
        )
        return ExitCode.DONE


class RulesPlanCommand(RulesCommand):
    """Command that prints how two files differ and the effect on the bill."""

    name = "rules plan"
    description = "Show how two rules files differ and how that affects the bill"
    help = (
        "Lists added (+), removed (-) and changed (~) rules, and rules of which only "
        "the\ncomment changed (#). Then compares the expected bill and the ceiling of "
        "the month by\nservice and by customer.\n" + EXIT_CODES_HELP
    )
    arguments: ClassVar[list[Argument]] = [
        argument("old", "Rules file in force"),
        argument("new", "Rules file to compare with it"),
    ]
    options: ClassVar[list[Option]] = [option("month", None, _MONTH_HELP, flag=False)]

    def run_command(self) -> ExitCode:
        """Print the differences of the files and their effect on the bill."""
        old = read_rules(self.argument("old"))
        new = read_rules(self.argument("new"))
        changes = diff_rules(old, new)
        if not changes:
            self.write_lines(["The files have the same rules."])
            return ExitCode.DONE
        self.write_lines(format_changes(changes))
        _require_one_currency(old, new)
        month = self.read_month(new)
        self.write_lines(["", f"Bill of {month} ({month.zone}) in {new.currency}"])
        self.write_lines(
            format_plan(compute_forecast(old, month), compute_forecast(new, month))
        )
        return ExitCode.DONE


class RulesForecastCommand(RulesCommand):
    """Command that prints the forecast of a month's bill."""

    name = "rules forecast"
    description = "Forecast the bill of a month from a rules file"
    help = (
        "Prints three amounts by service, by customer and by rule:\n"
        "  minimum   all scheduled engines, without any request\n"
        "  expected  engines and tokens of the expected load, within budgets\n"
        "  ceiling   maximum that the rules allow; no bill is higher\n"
        "All tables have the same total. The line of a budget has the amount that may "
        "be spent\nbeyond the expected load.\n" + EXIT_CODES_HELP
    )
    arguments: ClassVar[list[Argument]] = [argument("file", "Rules file")]
    options: ClassVar[list[Option]] = [
        option("month", None, _MONTH_HELP, flag=False),
        option("format", None, "table, json or chart", flag=False, default="table"),
    ]

    def run_command(self) -> ExitCode:
        """Compute and print the forecast."""
        name = self.option("format")
        if name not in _FORMAT_FUNCTION_BY_NAME:
            message = f"--format={name}: expected table, json or chart"
            raise CommandError(ExitCode.USAGE_ERROR, message)
        rules = read_rules(self.argument("file"))
        self.write_lines(
            _FORMAT_FUNCTION_BY_NAME[name](
                compute_forecast(rules, self.read_month(rules))
            )
        )
        return ExitCode.DONE


class RulesWhyCommand(RulesCommand):
    """Command that explains the difference between two bills."""

    name = "rules why"
    description = "Explain by rule, author and reason why two bills differ"
    help = (
        "A and B are two rules files. With --history or --url they are two versions, "
        "given as\nversion numbers or as times such as 2027-01-12T09:00+09:00. The "
        "bill of a version\nalso applies each earlier version, from its acceptance to "
        "that of the next version.\nThe printed parts add up exactly to the "
        "difference.\n" + EXIT_CODES_HELP
    )
    arguments: ClassVar[list[Argument]] = [
        argument("a", "Rules file, version or time of the first bill"),
        argument("b", "Rules file, version or time of the second bill"),
    ]
    options: ClassVar[list[Option]] = [
        option("month", None, _MONTH_HELP, flag=False),
        option(
            "month-b",
            None,
            "Month of the second bill, if different",
            flag=False,
        ),
        option(
            "history",
            None,
            "Output file of 'rules history --format json'",
            flag=False,
        ),
        option("url", None, "Address of the entry that has the history", flag=False),
    ]

    def run_command(self) -> ExitCode:
        """Print the parts of the difference between two files or two versions."""
        if self.option("history") or self.option("url"):
            rules, explanation = self._explain_versions()
        else:
            old = read_rules(self.argument("a"))
            rules = read_rules(self.argument("b"))
            _require_one_currency(old, rules)
            month, month_b = self.read_month(old), self._read_month_b(rules)
            explanation = explain_bill_difference(old, rules, month, month_b)
        self.write_lines([f"Amounts in {rules.currency}"])
        self.write_lines(format_explanation(explanation, rules.month_zone))
        return ExitCode.DONE

    def _explain_versions(self) -> tuple[RuleSet, Explanation]:
        """Return the rules of version B, and the difference of its bill from that of A.

        The versions are read from a history file or from an entry.
        """
        path, url = self.option("history"), self.option("url")
        source = path or url
        accepted_versions = (
            parse_history(read_text(path), path)
            if path
            else RulesClient(url).read_versions()
        )
        versions = parse_versions(accepted_versions, source)
        version_a = _select_version(versions, self.argument("a"))
        version_b = _select_version(versions, self.argument("b"))
        _require_one_currency(version_a.rules, version_b.rules)
        month, month_b = (
            self.read_month(version_b.rules),
            self._read_month_b(version_b.rules),
        )
        try:
            explanation = explain_version_difference(
                versions, version_a.number, version_b.number, month, month_b
            )
        except ValueError as e:
            raise CommandError(ExitCode.USAGE_ERROR, str(e)) from e
        return version_b.rules, explanation

    def _read_month_b(self, rules: RuleSet) -> Month:
        """Return the month of the second bill, by default that of the first."""
        name = "month-b" if self.option("month-b") else "month"
        return self.read_month(rules, name)


def _select_version(versions: list[RulesVersion], text: str) -> RulesVersion:
    """Return the version with the number ``text``, or in force at the time ``text``."""
    if text.isascii() and text.isdigit():
        candidates = [v for v in versions if str(v.number) == text]
        expected = "the number of a version in the history"
    else:
        time_s = _parse_time(text)
        candidates = [v for v in versions if v.accepted_s is not None]
        candidates = [v for v in candidates if (v.accepted_s or 0) <= time_s]
        expected = "a time not before the first version"
    if not candidates:
        raise CommandError(ExitCode.USAGE_ERROR, f"{text}: expected {expected}")
    return candidates[-1]


def _parse_time(text: str) -> float:
    """Return the Unix time in seconds of an ISO 8601 time with an offset from UTC."""
    try:
        local_time = datetime.fromisoformat(text)
    except ValueError:
        local_time = None
    if local_time is None or local_time.tzinfo is None:
        message = (
            f"{text}: expected a version number, or a time with its offset from UTC "
            "such as 2027-01-12T09:00+09:00"
        )
        raise CommandError(ExitCode.USAGE_ERROR, message)
    return local_time.astimezone(UTC).timestamp()


def _require_one_currency(old: RuleSet, new: RuleSet) -> None:
    """Raise ``CommandError`` if the rules have different currencies."""
    if old.currency != new.currency:
        message = (
            f"cannot compare bills in {old.currency} and {new.currency}: "
            "expected the same currency"
        )
        raise CommandError(ExitCode.USAGE_ERROR, message)


RULES_COMMANDS: list[type[Command]] = [
    RulesCheckCommand,
    RulesPlanCommand,
    RulesForecastCommand,
    RulesWhyCommand,
    RulesHistoryCommand,
    RulesApplyCommand,
    RulesStatusCommand,
]
