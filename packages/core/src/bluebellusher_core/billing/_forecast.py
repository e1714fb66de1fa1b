"""Forecast of a month's bill: minimum, expected value and ceiling."""

from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from decimal import Decimal
from functools import cached_property
from typing import TypeVar

from bluebellusher_core.billing._ceiling import Bound, Ceiling, bound_spending
from bluebellusher_core.billing._engines import list_services, price_engines
from bluebellusher_core.billing._money import (
    ZERO,
    add,
    round_down_cumulatively,
    round_up,
    round_up_cumulatively,
    subtract,
)
from bluebellusher_core.billing._month import (
    Month,
    MonthSlice,
    RulesVersion,
    as_versions,
    slice_month,
)
from bluebellusher_core.billing._spending import SpendingKey, estimate_spending
from bluebellusher_core.rules import Rule, RuleSet

KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class AmountRange:
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
    amount : AmountRange
        The amounts.
    version : int
        Number of the version that has the rule; 0 for a file that was not applied.
    """

    rule: Rule
    customer: str
    service: str
    amount: AmountRange
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
    def total(self) -> AmountRange:
        """Sum of all contributions."""
        return _sum_amounts(self.contributions)

    def sum_by_rule(self) -> dict[tuple[int, Rule], AmountRange]:
        """Sum the contributions by version number and rule."""
        return self._sum_by(lambda c: (c.version, c.rule))

    def sum_by_customer(self) -> dict[str, AmountRange]:
        """Sum the contributions by customer; the empty name stands for engines."""
        return self._sum_by(lambda c: c.customer)

    def sum_by_service(self) -> dict[str, AmountRange]:
        """Sum the contributions by service; the empty name stands for any service."""
        return self._sum_by(lambda c: c.service)

    def _sum_by(
        self, key_of: Callable[[Contribution], KeyT]
    ) -> dict[KeyT, AmountRange]:
        groups: dict[KeyT, list[Contribution]] = {}
        for contribution in self.contributions:
            groups.setdefault(key_of(contribution), []).append(contribution)
        return {key: _sum_amounts(group) for key, group in groups.items()}


def _sum_amounts(contributions: Sequence[Contribution]) -> AmountRange:
    return AmountRange(
        add(c.amount.minimum for c in contributions),
        add(c.amount.expected for c in contributions),
        add(c.amount.ceiling for c in contributions),
    )


def compute_forecast(rules: RuleSet | Iterable[RulesVersion], month: Month) -> Forecast:
    """Compute the forecast of a month's bill.

    Parameters
    ----------
    rules : RuleSet or iterable of RulesVersion
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
    contributions = [*_compute_engine_contributions(slices)]
    for customer in list_customers(slices):
        contributions += _compute_token_contributions(customer, slices)
    currency = versions[-1].rules.currency if versions else ""
    return Forecast(month, currency, contributions)


def list_customers(slices: Sequence[MonthSlice]) -> tuple[str, ...]:
    """Return the customers that are declared or have a load, in file order."""
    names: dict[str, None] = {}
    for month_slice in slices:
        names.update(dict.fromkeys(month_slice.rules.customers))
        names.update(dict.fromkeys(month_slice.rules.loads_by_customer))
    return tuple(names)


def _compute_engine_contributions(
    slices: Sequence[MonthSlice],
) -> Iterator[Contribution]:
    """Yield the contributions of all engine rules."""
    for service in list_services(slices):
        items = [
            (month_slice, rule, cost)
            for month_slice in slices
            for rule, cost in price_engines(month_slice, service).items()
        ]
        amounts = round_up_cumulatively([cost for _, _, cost in items])
        for (month_slice, rule, _), amount in zip(items, amounts, strict=True):
            yield Contribution(
                rule=rule,
                customer="",
                service=service,
                amount=AmountRange(amount, amount, amount),
                version=month_slice.version.number,
            )


def _compute_token_contributions(
    customer: str, slices: Sequence[MonthSlice]
) -> list[Contribution]:
    """Return the contributions of the rules that concern a customer's tokens."""
    spending = estimate_spending(customer, slices)
    items = [
        *spending.within_budget_by_key.items(),
        *spending.after_budget_by_key.items(),
    ]
    amounts = round_down_cumulatively([cost for _, cost in items])
    contributions = [
        _make_expected_contribution(customer, key, amount)
        for (key, _), amount in zip(items, amounts, strict=True)
    ]
    n_within_budget = len(spending.within_budget_by_key)
    ceiling = bound_spending(customer, slices)
    service = _find_single_service(slices)
    headrooms = [
        _make_headroom_contribution(
            customer, service, bound, expected_contributions, slices
        )
        for bound, expected_contributions in _pair_bounds(
            ceiling, contributions[:n_within_budget], contributions[n_within_budget:]
        )
    ]
    contributions += [headroom for headroom in headrooms if headroom]
    return [c for c in contributions if c.amount.ceiling]


def _make_expected_contribution(
    customer: str, key: SpendingKey, amount: Decimal
) -> Contribution:
    """Create a contribution to expected value and ceiling."""
    month_slice, rule, service = key
    return Contribution(
        rule=rule,
        customer=customer,
        service=service,
        amount=AmountRange(ZERO, amount, amount),
        version=month_slice.version.number,
    )


def _pair_bounds(
    ceiling: Ceiling,
    within_budget: list[Contribution],
    after_budget: list[Contribution],
) -> list[tuple[Bound, list[Contribution]]]:
    """Return each bound of a ceiling with the expected contributions under it."""
    if ceiling.combined is not None:
        return [(ceiling.combined, [*within_budget, *after_budget])]
    return [
        (ceiling.within_budget, within_budget),
        (ceiling.after_budget, after_budget),
    ]


def _make_headroom_contribution(
    customer: str,
    service: str,
    bound: Bound,
    expected_contributions: list[Contribution],
    slices: Sequence[MonthSlice],
) -> Contribution | None:
    """Create a contribution of the difference between a bound and the expected cost.

    The contribution adds to the ceiling only. It belongs to the rule that sets the
    bound, in the last version that has this rule. Return ``None`` if no rule sets
    the bound, because its amount is then 0.
    """
    if bound.rule is None:
        return None
    headroom = subtract(
        round_up(bound.amount), add(c.amount.expected for c in expected_contributions)
    )
    version_number = next(
        month_slice.version.number
        for month_slice in reversed(slices)
        if month_slice.rules.rule_by_key.get(bound.rule.key()) == bound.rule
    )
    return Contribution(
        rule=bound.rule,
        customer=customer,
        service=service,
        amount=AmountRange(ZERO, ZERO, headroom),
        version=version_number,
    )


def _find_single_service(slices: Sequence[MonthSlice]) -> str:
    """Return the service of all models, or an empty string for several services."""
    services = {
        s for month_slice in slices for s in month_slice.rules.service_by_model.values()
    }
    return services.pop() if len(services) == 1 else ""
