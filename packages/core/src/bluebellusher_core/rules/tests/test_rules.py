"""Tests of the grammar, the checks and the difference of rules files."""

import pathlib
from datetime import date

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from bluebellusher_core.rules import RuleSet, Schedule, diff_rules, parse_rules
from bluebellusher_core.rules.tests.strategies import COMMON_RULES, rules_texts

EXAMPLES = pathlib.Path(__file__).parents[6] / "examples" / "rules"
BASE = COMMON_RULES.format(zone="UTC")
CUSTOMER = "customer alder # A: b\nbudget alder 10 JPY per month # A: b\n"


def parse(text: str) -> RuleSet:
    """Parse a text that must have no errors."""
    result = parse_rules(text)
    assert result.is_ok(), [e.render() for e in result.error]
    return result.ok


def list_errors(line: str, base: str = BASE + CUSTOMER) -> list[str]:
    """Return the rendered errors of ``base`` with one or more lines appended."""
    result = parse_rules(base + line + "\n")
    assert result.is_error(), f"accepted: {line}"
    return [error.render() for error in result.error]


@given(st.text(max_size=200))
def test_property_any_text_parses_without_exception(text: str) -> None:
    """Guards against text for which the parser raises instead of returning errors."""
    parse_rules(text)


WORD_TEXT = (
    "currency JPY month-zone capacity engines load budget rate alder writer large 1 0 "
    "9999999999999 1.5 from 08:00 to 24:00 on Mon Mon-Fri 2027-02-29 2027-01-01.. UTC "
    "Asia/Tokyo America ../etc # : A: b per month tokens input when-exhausted up "
    "cheaper-model refuse \x00 \x85 \u2028 \u0663"
)
WORDS = st.sampled_from(WORD_TEXT.split(" "))


@example(["engines writer 1 America/Indiana # A: b"])
@example(["engines writer 1 Mars/Base # A: b"])
@given(st.lists(st.lists(WORDS, max_size=12).map(" ".join), max_size=6))
def test_property_any_words_parse_without_exception(lines: list[str]) -> None:
    """Guards against valid words in a wrong order for which the parser raises.

    Also guards against errors whose position lies outside the file.
    """
    text = "\n".join(lines)
    result = parse_rules(text)
    if result.is_error():
        n_lines = len(lines) or 1
        assert all(1 <= e.line <= n_lines and e.column >= 1 for e in result.error)


@given(rules_texts())
def test_property_rendering_keeps_rules(text: str) -> None:
    """Guards against rendering that loses or alters a field of a rule."""
    rules = parse(text)
    assert parse(rules.render()) == rules
    assert diff_rules(rules, parse(rules.render())) == ()


@pytest.mark.parametrize("name", ["tokachi", "oaxaca"])
def test_documented_examples_are_valid(name: str) -> None:
    """Guards against documented examples that do not pass the checks.

    Also guards against a page of the documentation that shows an outdated example.
    """
    text = (EXAMPLES / f"{name}.rules").read_text(encoding="utf-8")
    rules = parse(text)
    assert parse(rules.render()) == rules
    page = (EXAMPLES.parents[1] / "docs" / "rules.md").read_text(encoding="utf-8")
    assert f"```\n{text}```" in page


@pytest.mark.parametrize(
    ("line", "found", "expected"),
    [
        ("share alder 2", "column 14", "names who asked"),
        ("share alder 2 # because", "column 15", "names who asked"),
        ("share alder 2 # A:", "column 15", "names who asked"),
        ("share alder 0 # A: b", "column 13", "above 0"),
        ("shares alder 2 # A: b", "column 1", "'share'"),
        ("share alderr 2 # A: b", "unknown customer 'alderr'", "declare it"),
        ("budget alder 9 JPY per month # A: b", "second rule", "first is on line 16"),
        ("engines writer 21 UTC # A: b", "column 16", "at most 20"),
        ("engines writer 1 Mars/Base # A: b", "column 18", "IANA"),
        ("engines other 1 UTC # A: b", "unknown service 'other'", "capacity"),
        ("engines writer 1 on 2027-02-29 UTC # A: b", "column 21", "dates such as"),
        ("budget alder 9 EUR per month # A: b", "currency EUR", "JPY"),
        ("load alder desk 5 requests per day input 4 UTC # A: b", "tokens", "model"),
        ("load alder large 5 requests per day UTC # A: b", "without tokens", "input"),
        ("customer birch # A: b", "no limit", "budget birch"),
        ("model tiny on writer # A: b", "no price of input", "token-price tiny"),
        ("when-exhausted alder lower-priority # A: b", "after its budget", "up to"),
        (
            "when-exhausted alder cheaper-model large up to 5 JPY # A: b",
            "not cheaper",
            "lower token prices",
        ),
        ("capacity writer 3 in oak # A: b", "both in total", "only one way"),
        (
            "rate alder 1 requests per minute # A: b\n"
            "load alder large 1441 requests per day input 1 UTC # A: b",
            "1441 requests per day",
            "at most 1440",
        ),
    ],
)
def test_errors_are_reported_with_position(
    line: str, found: str, expected: str
) -> None:
    """Guards against an error that is not found, or reported at a wrong position."""
    text = "\n".join(list_errors(line))
    assert found in text
    assert expected in text


@pytest.mark.parametrize(
    ("first", "second", "has_error"),
    [
        ("from 08:00 to 12:00", "from 11:59 to 13:00", True),
        ("from 08:00 to 12:00", "from 12:00 to 13:00", False),
        ("from 22:00 to 06:00 on Mon", "from 05:00 to 07:00 on Tue", True),
        ("from 22:00 to 06:00 on Mon", "from 05:00 to 07:00 on Mon", False),
        ("on 2027-01-01..2027-01-05", "on 2027-01-05", True),
        ("on 2027-01-01", "from 08:00 to 12:00 on Fri", False),
        ("", "on Sun", False),
    ],
)
def test_overlapping_engine_windows_are_errors(
    first: str, second: str, has_error: bool
) -> None:
    """Guards against schedules that set two engine counts for the same time."""
    rules = f"engines writer 1 {first} UTC # A: b\nengines writer 2 {second} UTC # A: b"
    assert parse_rules(BASE + rules).is_error() is has_error


def test_all_errors_are_reported_at_once() -> None:
    """Guards against checks that stop at the first error."""
    text = "share oak\nbudget alder x JPY per month # A: b\npriority elm high # A: b"
    assert [error.line for error in parse_rules(text).error] == [1, 1, 1, 2, 3]


def test_invalid_declaration_is_reported_once() -> None:
    """Guards against further errors for a name whose declaration has an error."""
    errors = list_errors("customer birch now # A: b\nshare birch 2 # A: b")
    assert len(errors) == 1


@pytest.mark.parametrize(
    ("day", "n_hours"), [(date(2027, 3, 28), 23), (date(2027, 10, 31), 25)]
)
def test_days_with_clock_changes_have_real_length(day: date, n_hours: int) -> None:
    """Guards against a length of 24 hours for a day with a change of the clocks."""
    begin, end = Schedule("Europe/Berlin")._get_window_on(day)
    assert end - begin == n_hours * 3600


def test_windows_around_skipped_hour_are_adjacent() -> None:
    """Guards against windows that overlap or leave a gap at a skipped local hour."""
    day = date(2027, 3, 28)
    windows = [
        Schedule("Europe/Berlin", time_range)._get_window_on(day)
        for time_range in ((0, 150), (150, 180), (180, 0))
    ]
    assert [end - begin for begin, end in windows] == [7200, 0, 21 * 3600]
    assert windows[0][1] == windows[1][0] == windows[2][0]


def test_difference_reports_kind_of_each_change() -> None:
    """Guards against a difference in a rule that is reported as the wrong kind."""
    old = parse(BASE + CUSTOMER + "share alder 2 # A: b")
    new = parse(
        BASE
        + CUSTOMER.replace("# A: b", "# C: d", 1)
        + "priority alder low # A: b\nengines desk 1 UTC # A: b"
    )
    kinds = [(change.kind, change.rule.KEYWORD) for change in diff_rules(old, new)]
    assert kinds == [
        ("removed", "share"),
        ("comment", "customer"),
        ("added", "priority"),
        ("added", "engines"),
    ]
