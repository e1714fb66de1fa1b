"""Actual bill of a month, computed from recorded usage."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from decimal import Decimal
from fractions import Fraction

from bluebellusher_core.billing._money import (
    SECONDS_PER_HOUR,
    TOKENS_PER_PRICE,
    add,
    round_down,
)
from bluebellusher_core.billing._month import (
    Month,
    MonthSlice,
    RulesVersion,
    as_versions,
    slice_month,
)
from bluebellusher_core.rules import Rule, RuleSet, TokenKind


@dataclass(frozen=True, slots=True)
class EngineUsage:
    """Engines of a service that ran from ``begin_s`` to ``end_s``.

    Both times are in seconds since 1970 UTC.
    """

    service: str
    begin_s: int
    end_s: int
    n_engines: int


@dataclass(frozen=True, slots=True)
class TokenUsage:
    """Tokens that a customer used on a model.

    ``at_s`` is the time of use in seconds since 1970 UTC.
    """

    customer: str
    model: str
    at_s: int
    n_input: int
    n_cached: int
    n_output: int

    def count(self, kind: TokenKind) -> int:
        """Return the number of tokens of one kind."""
        if kind is TokenKind.INPUT:
            return self.n_input
        return self.n_cached if kind is TokenKind.CACHED else self.n_output


Usage = EngineUsage | TokenUsage


@dataclass(frozen=True, slots=True)
class BillLine:
    """Cost that one price rule causes for one customer.

    ``customer`` is empty for the cost of engines, which no single customer pays.
    ``version`` is the number of the version that has the rule.
    """

    rule: Rule
    customer: str
    service: str
    amount: Decimal
    version: int = 0


@dataclass(frozen=True, slots=True)
class Bill:
    """Bill of a month."""

    month: Month
    currency: str
    lines: tuple[BillLine, ...]

    @property
    def total(self) -> Decimal:
        """Exact sum of all lines."""
        return add(line.amount for line in self.lines)


def compute_bill(
    rules: RuleSet | Iterable[RulesVersion], usage: Iterable[Usage], month: Month
) -> Bill:
    """Compute the bill of a month from usage records.

    Each line is rounded down, so that rounding never raises a bill above the ceiling
    of its forecast.

    Parameters
    ----------
    rules : RuleSet or iterable of RulesVersion
        Rules that are in force during the whole month, or versions with their times
        of acceptance.
    usage : iterable of EngineUsage or TokenUsage
        Recorded usage; usage outside the month is ignored.
    month : Month
        The month.

    Raises
    ------
    ValueError
        If usage within the month has no price at the time of use.
    """
    versions = as_versions(rules)
    slices = slice_month(versions, month)
    cost_by_key: dict[tuple[MonthSlice, Rule, str, str], Fraction] = defaultdict(
        Fraction
    )
    for record in usage:
        if isinstance(record, EngineUsage):
            _add_engine_cost(record, slices, month, cost_by_key)
        elif month.begin_s <= record.at_s < month.end_s:
            _add_token_cost(record, slices, cost_by_key)
    lines = (
        BillLine(rule, customer, service, round_down(cost), month_slice.version.number)
        for (month_slice, rule, customer, service), cost in cost_by_key.items()
    )
    currency = versions[-1].rules.currency if versions else ""
    return Bill(month, currency, tuple(lines))


def _add_engine_cost(
    record: EngineUsage,
    slices: Sequence[MonthSlice],
    month: Month,
    cost_by_key: dict[tuple[MonthSlice, Rule, str, str], Fraction],
) -> None:
    """Add the cost of engine usage to ``cost_by_key``, slice by slice."""
    n_unpriced_seconds = min(record.end_s, month.end_s) - max(
        record.begin_s, month.begin_s
    )
    for month_slice in slices:
        n_seconds = min(record.end_s, month_slice.end_s) - max(
            record.begin_s, month_slice.begin_s
        )
        price = month_slice.rules.engine_price_by_service.get(record.service)
        if n_seconds <= 0 or price is None:
            continue
        n_unpriced_seconds -= n_seconds
        cost = Fraction(price.price) * record.n_engines * n_seconds / SECONDS_PER_HOUR
        cost_by_key[month_slice, price, "", record.service] += cost
    if n_unpriced_seconds > 0:
        raise ValueError(
            f"service={record.service!r}: expected an engine price for all of its "
            f"usage, but {n_unpriced_seconds} s have none"
        )


def _add_token_cost(
    record: TokenUsage,
    slices: Sequence[MonthSlice],
    cost_by_key: dict[tuple[MonthSlice, Rule, str, str], Fraction],
) -> None:
    """Add the cost of token usage to ``cost_by_key``, at the prices at its time."""
    matching_slices = [
        month_slice
        for month_slice in slices
        if month_slice.begin_s <= record.at_s < month_slice.end_s
    ]
    prices = (
        matching_slices[0].rules.price_by_model.get(record.model, {})
        if matching_slices
        else {}
    )
    for kind in TokenKind:
        n_tokens = record.count(kind)
        if not n_tokens:
            continue
        if kind not in prices:
            raise ValueError(
                f"model={record.model!r}: expected a price of {kind} tokens at "
                f"{record.at_s} s since 1970 UTC"
            )
        service = matching_slices[0].rules.service_by_model.get(record.model, "")
        cost = Fraction(prices[kind].price) * n_tokens / TOKENS_PER_PRICE
        cost_by_key[matching_slices[0], prices[kind], record.customer, service] += cost
