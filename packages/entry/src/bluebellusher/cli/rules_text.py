"""Text output of the rules commands: tables, charts and differences."""

import json
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from decimal import Decimal
from zoneinfo import ZoneInfo

from bluebellusher_core.billing import (
    AmountRange,
    DifferencePart,
    Explanation,
    Forecast,
)
from bluebellusher_core.rules import RuleChange, RuleSet, diff_rules

ENGINES_ROW = "(engines, all customers)"
ANY_SERVICE_ROW = "(any service)"
CHART_WIDTH = 48
_MAX_TEXT_WIDTH = 72
_MARK_BY_KIND = {"added": "+", "removed": "-", "changed": "~", "comment": "#"}


def format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a table; only the first column is left aligned."""
    table = [list(header), *(list(row) for row in rows)]
    widths = [max(len(row[i]) for row in table) for i in range(len(header))]
    lines = []
    for row in table:
        cells = [row[0].ljust(widths[0])]
        cells += [
            cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)
        ]
        lines.append("  ".join(cells).rstrip())
    lines.insert(1, "  ".join("-" * width for width in widths))
    return lines


def format_amount(amount: Decimal) -> str:
    """Return an amount with two decimals and thousands separators."""
    return f"{amount:,.2f}"


def format_signed_amount(amount: Decimal) -> str:
    """Return a difference of amounts with its sign; zero has no sign."""
    return f"{amount:+,.2f}" if amount else "0.00"


def format_time(time_s: int | None, zone: str) -> str:
    """Return a Unix time in seconds as local time with its offset from UTC.

    ``None`` gives ``-``.
    """
    if time_s is None:
        return "-"
    local = datetime.fromtimestamp(time_s, UTC).astimezone(ZoneInfo(zone))
    return local.isoformat(sep=" ", timespec="seconds")


def truncate(text: str) -> str:
    """Return a text, cut to the maximum width of a column."""
    if len(text) <= _MAX_TEXT_WIDTH:
        return text
    return text[: _MAX_TEXT_WIDTH - 3] + "..."


def format_changes(changes: Iterable[RuleChange]) -> list[str]:
    """Return the changed rules, each after the mark of its kind of change.

    The marks are ``+`` for added, ``-`` for removed, ``~`` for changed and ``#`` for a
    rule of which only the comment changed.
    """
    lines = []
    for change in changes:
        if change.kind in ("changed", "comment") and change.before:
            lines.append(f"  was {change.before.render()}")
        lines.append(f"{_MARK_BY_KIND[change.kind]}     {change.rule.render()}")
    return lines


def format_change_counts(before: RuleSet, after: RuleSet) -> str:
    """Return the numbers of added, removed and changed rules, as in ``+1 -0 ~2``."""
    kinds = [change.kind for change in diff_rules(before, after)]
    n_changed = kinds.count("changed") + kinds.count("comment")
    return f"+{kinds.count('added')} -{kinds.count('removed')} ~{n_changed}"


def _make_forecast_row(name: str, amount: AmountRange) -> list[str]:
    amounts = (amount.minimum, amount.expected, amount.ceiling)
    return [name, *map(format_amount, amounts)]


def _group_amounts(forecast: Forecast) -> list[tuple[str, dict[str, AmountRange]]]:
    """Return the amounts by service, by customer and by rule, each with a title."""
    services = {k or ANY_SERVICE_ROW: v for k, v in forecast.sum_by_service().items()}
    customers = {k or ENGINES_ROW: v for k, v in forecast.sum_by_customer().items()}
    rules = {
        truncate(f"{rule.line}: {rule.statement()}"): amount
        for (_, rule), amount in sorted(
            forecast.sum_by_rule().items(),
            key=lambda item: (item[0][0], item[0][1].line),
        )
    }
    return [("Service", services), ("Customer", customers), ("Line and rule", rules)]


def format_forecast_table(forecast: Forecast) -> list[str]:
    """Return tables of a forecast by service, customer and rule, each with a total."""
    lines = [f"Bill of {forecast.month} ({forecast.month.zone}) in {forecast.currency}"]
    for title, amounts in _group_amounts(forecast):
        rows = [_make_forecast_row(name, amount) for name, amount in amounts.items()]
        rows.append(_make_forecast_row("Total", forecast.total))
        header = [title, "Minimum", "Expected", "Ceiling"]
        lines += ["", *format_table(header, rows)]
    return lines


def format_forecast_json(forecast: Forecast) -> list[str]:
    """Return a forecast as JSON; amounts are strings, so that no digit is lost."""
    contributions = [
        {
            "rule": c.rule.statement(),
            "line": c.rule.line,
            "author": c.rule.author,
            "reason": c.rule.reason,
            "customer": c.customer or None,
            "service": c.service or None,
            **_to_json_amounts(c.amount),
        }
        for c in forecast.contributions
    ]
    content = {
        "month": str(forecast.month),
        "zone": forecast.month.zone,
        "currency": forecast.currency,
        "total": _to_json_amounts(forecast.total),
        "by_service": [
            {"service": name or None, **_to_json_amounts(amount)}
            for name, amount in forecast.sum_by_service().items()
        ],
        "by_customer": [
            {"customer": name or None, **_to_json_amounts(amount)}
            for name, amount in forecast.sum_by_customer().items()
        ],
        "contributions": contributions,
    }
    return json.dumps(content, indent=2, ensure_ascii=False).split("\n")


def _to_json_amounts(amount: AmountRange) -> dict[str, str]:
    return {
        "minimum": str(amount.minimum),
        "expected": str(amount.expected),
        "ceiling": str(amount.ceiling),
    }


def format_forecast_chart(forecast: Forecast) -> list[str]:
    """Return a bar chart of a forecast, by service and customer on one scale."""
    groups = _group_amounts(forecast)[:2]
    rows = [("Total", {"Total": forecast.total}), *groups]
    width = max(len(name) for _, amounts in rows for name in amounts)
    largest = forecast.total.ceiling
    lines = [
        f"Bill of {forecast.month} ({forecast.month.zone}) in {forecast.currency}",
        "# minimum   = up to expected   . up to ceiling",
    ]
    for title, amounts in rows:
        lines += ["", title] if title != "Total" else [""]
        for name, amount in amounts.items():
            bar = _draw_bar(amount, largest)
            expected = format_amount(amount.expected)
            ceiling = format_amount(amount.ceiling)
            line = f"{name.ljust(width)} |{bar}| {expected} of at most {ceiling}"
            lines.append(line)
    return lines


def _draw_bar(amount: AmountRange, largest: Decimal) -> str:
    """Return a bar for an amount; the full width stands for ``largest``."""
    if not largest:
        return " " * CHART_WIDTH
    n_minimum = round(amount.minimum / largest * CHART_WIDTH)
    n_expected = round(amount.expected / largest * CHART_WIDTH)
    n_ceiling = round(amount.ceiling / largest * CHART_WIDTH)
    bar = "#" * n_minimum + "=" * (n_expected - n_minimum)
    return (bar + "." * (n_ceiling - n_expected)).ljust(CHART_WIDTH)


def format_plan(before: Forecast, after: Forecast) -> list[str]:
    """Return tables that compare expected values and ceilings of two forecasts."""
    lines = []
    pairs = zip(_group_amounts(before)[:2], _group_amounts(after)[:2], strict=True)
    for (title, old), (_, new) in pairs:
        names = list(dict.fromkeys([*old, *new]))
        rows = [
            _make_plan_row(
                name, old.get(name, AmountRange()), new.get(name, AmountRange())
            )
            for name in names
        ]
        rows.append(_make_plan_row("Total", before.total, after.total))
        header = [title, "Expected old", "new", "change", "Ceiling old", "new"]
        lines += ["", *format_table([*header, "change"], rows)]
    return lines


def _make_plan_row(name: str, old: AmountRange, new: AmountRange) -> list[str]:
    row = [name]
    for old_amount, new_amount in (
        (old.expected, new.expected),
        (old.ceiling, new.ceiling),
    ):
        row += [
            format_amount(old_amount),
            format_amount(new_amount),
            format_signed_amount(new_amount - old_amount),
        ]
    return row


def format_explanation(explanation: Explanation, zone: str) -> list[str]:
    """Return the parts of the difference between two bills, and their sum.

    Each part is shown with its rule, author, reason and time of acceptance.
    """
    parts = [part for part in explanation.parts if part.amount]
    n_without_effect = len(explanation.parts) - len(parts)
    amounts = [format_signed_amount(part.amount) for part in parts]
    width = max(
        (len(text) for text in [*amounts, format_amount(explanation.after)]), default=0
    )
    lines = [f"{format_amount(explanation.before).rjust(width)}  expected before"]
    for part, amount in zip(parts, amounts, strict=True):
        texts = _describe_part(part, zone)
        lines.append(f"{amount.rjust(width)}  {texts[0]}")
        lines += [f"{' ' * width}  {text}" for text in texts[1:]]
    lines.append(f"{format_amount(explanation.after).rjust(width)}  expected after")
    difference = format_signed_amount(explanation.difference)
    lines.append(f"{difference.rjust(width)}  difference, the sum of the parts above")
    if n_without_effect:
        lines.append(f"Changes without effect on the bill: {n_without_effect}")
    return lines


def _describe_part(part: DifferencePart, zone: str) -> list[str]:
    """Return the lines about the cause of one part, without its amount."""
    if part.change is None:
        return ["calendar: the two months have different days"]
    change = part.change
    texts = [f"{change.kind}: {change.rule.statement()}"]
    if change.before and change.after:
        texts.append(f"was: {change.before.statement()}")
    texts.append(f"{change.rule.author}: {change.rule.reason}")
    if part.accepted_s is not None:
        accepted_time = format_time(part.accepted_s, zone)
        texts.append(f"version {part.version}, accepted {accepted_time}")
    return texts
