"""Forecast of a month's bill: minimum, expected value and ceiling."""

from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from decimal import Decimal
from functools import cached_property
from typing import TypeVar

from bluebellusher_core.billing._ceiling import Bound, Ceiling, bound_spending
from bluebellusher_core.billing._engines import price_engines, services_of
from bluebellusher_core.billing._money import (
    ZERO,
    add,
    round_up,
    split_down,
    split_up,
    subtract,
)
from bluebellusher_core.billing._month import (
    Month,
    Slice,
    Version,
    as_versions,
    slice_month,
)
from bluebellusher_core.billing._spending import Key, spend
from bluebellusher_core.rules import Rule, RuleSet

K = TypeVar("K", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Range:
    """Minimum, expected value and ceiling of an amount of money."""

    minimum: Decimal = ZERO
    expected: Decimal = ZERO
    ceiling: Decimal = ZERO


@dataclass(frozen=True, slots=True)
class Contribution:
    """Contribution of one rule to the bill.

    Parameters
    ----------
    rule : Rule
        The rule. ``engines`` and ``load`` rules contribute their expected cost.
        ``when-exhausted`` rules contribute the expected cost after the budget is
        exhausted. ``budget``, ``when-exhausted`` and ``rate`` rules also contribute
        the difference between the limit that they set and the expected cost, but
        only to the ceiling.
    customer : str
        Customer that pays; empty for engines, which no single customer pays.
    service : str
        Service on which the money is spent; empty for money that may be spent on
        any of several services.
    amount : Range
        The amounts.
    version : int
        Number of the version that has the rule; 0 for a file that was not applied.
    """

    rule: Rule
    customer: str
    service: str
    amount: Range
    version: int = 0


class Forecast:
    """Forecast of the bill of a month.

    All sums are sums of contributions, which are multiples of 0.01. The sums by
    rule, by customer and by service therefore each add up to the total exactly.
    """

    def __init__(
        self, month: Month, currency: str, contributions: Iterable[Contribution]
    ) -> None:
        self.month = month
        self.currency = currency
        self.contributions = tuple(contributions)

    @cached_property
    def total(self) -> Range:
        """Sum of all contributions."""
        return _sum(self.contributions)

    def by_rule(self) -> dict[tuple[int, Rule], Range]:
        """Sum the contributions by version number and rule."""
        return self._group(lambda c: (c.version, c.rule))

    def by_customer(self) -> dict[str, Range]:
        """Sum the contributions by customer; the empty name stands for engines."""
        return self._group(lambda c: c.customer)

    def by_service(self) -> dict[str, Range]:
        """Sum the contributions by service; the empty name stands for any service."""
        return self._group(lambda c: c.service)

    def _group(self, key_of: Callable[[Contribution], K]) -> dict[K, Range]:
        groups: dict[K, list[Contribution]] = {}
        for contribution in self.contributions:
            groups.setdefault(key_of(contribution), []).append(contribution)
        return {key: _sum(group) for key, group in groups.items()}


def _sum(contributions: Sequence[Contribution]) -> Range:
    return Range(
        add(c.amount.minimum for c in contributions),
        add(c.amount.expected for c in contributions),
        add(c.amount.ceiling for c in contributions),
    )


def forecast(rules: RuleSet | Iterable[Version], month: Month) -> Forecast:
    """Compute the forecast of a month's bill.

    Parameters
    ----------
    rules : RuleSet or iterable of Version
        Rules that are in force during the whole month, or versions with their times
        of acceptance.
    month : Month
        The month, with its time zone.

    Notes
    -----
    The minimum is the cost of all scheduled engines without any request. The
    expected value adds the tokens of the expected load, up to the budget of each
    customer and beyond it as its ``when-exhausted`` rule allows. The ceiling adds
    the spending beyond the expected load that budgets and rates allow. The expected
    value of a customer is rounded down and its ceiling is rounded up, so that
    rounding never raises the expected value above the ceiling.
    """
    versions = as_versions(rules)
    slices = slice_month(versions, month)
    contributions = [*_engine_contributions(slices)]
    for customer in customers_of(slices):
        contributions += _token_contributions(customer, slices)
    currency = versions[-1].rules.currency if versions else ""
    return Forecast(month, currency, contributions)


def customers_of(slices: Sequence[Slice]) -> tuple[str, ...]:
    """Return the customers that are declared or have a load, in file order."""
    names: dict[str, None] = {}
    for part in slices:
        names.update(dict.fromkeys(part.rules.customers))
        names.update(dict.fromkeys(part.rules.loads_by_customer))
    return tuple(names)


def _engine_contributions(slices: Sequence[Slice]) -> Iterator[Contribution]:
    """Yield the contributions of all engine rules."""
    for service in services_of(slices):
        items = [
            (part, rule, cost)
            for part in slices
            for rule, cost in price_engines(part, service).items()
        ]
        amounts = split_up([cost for _, _, cost in items])
        for (part, rule, _), amount in zip(items, amounts, strict=True):
            yield Contribution(
                rule=rule,
                customer="",
                service=service,
                amount=Range(amount, amount, amount),
                version=part.version.number,
            )


def _token_contributions(customer: str, slices: Sequence[Slice]) -> list[Contribution]:
    """Return the contributions of the rules that concern a customer's tokens."""
    spending = spend(customer, slices)
    items = [*spending.normal_by_key.items(), *spending.extra_by_key.items()]
    amounts = split_down([cost for _, cost in items])
    found = [
        _expected(customer, key, amount)
        for (key, _), amount in zip(items, amounts, strict=True)
    ]
    n_normal = len(spending.normal_by_key)
    ceiling = bound_spending(customer, slices)
    service = _only_service(slices)
    rooms = [
        _room(customer, service, bound, spent, slices)
        for bound, spent in _pair(ceiling, found[:n_normal], found[n_normal:])
    ]
    found += [room for room in rooms if room]
    return [c for c in found if c.amount.ceiling]


def _expected(customer: str, key: Key, amount: Decimal) -> Contribution:
    """Create a contribution to expected value and ceiling."""
    part, rule, service = key
    return Contribution(
        rule=rule,
        customer=customer,
        service=service,
        amount=Range(ZERO, amount, amount),
        version=part.version.number,
    )


def _pair(
    ceiling: Ceiling, normal: list[Contribution], extra: list[Contribution]
) -> list[tuple[Bound, list[Contribution]]]:
    """Return each bound of a ceiling with the expected contributions under it."""
    if ceiling.whole is not None:
        return [(ceiling.whole, [*normal, *extra])]
    return [(ceiling.normal, normal), (ceiling.extra, extra)]


def _room(
    customer: str,
    service: str,
    bound: Bound,
    spent: list[Contribution],
    slices: Sequence[Slice],
) -> Contribution | None:
    """Create a contribution of the difference between a bound and the expected cost.

    The contribution adds to the ceiling only. It belongs to the rule that sets the
    bound, in the last version that has this rule. Return ``None`` if no rule sets
    the bound, because its amount is then 0.
    """
    if bound.rule is None:
        return None
    room = subtract(round_up(bound.amount), add(c.amount.expected for c in spent))
    number = next(
        part.version.number
        for part in reversed(slices)
        if part.rules.rule_by_key.get(bound.rule.key()) == bound.rule
    )
    return Contribution(
        rule=bound.rule,
        customer=customer,
        service=service,
        amount=Range(ZERO, ZERO, room),
        version=number,
    )


def _only_service(slices: Sequence[Slice]) -> str:
    """Return the service of all models, or an empty string for several services."""
    services = {s for part in slices for s in part.rules.service_by_model.values()}
    return services.pop() if len(services) == 1 else ""
