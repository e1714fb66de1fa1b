"""Expected spending of one customer, within its budget and after it is exhausted."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from fractions import Fraction

from bluebellusher_core.billing._demand import (
    Flow,
    count_requests,
    iterate_segments,
    price_request,
)
from bluebellusher_core.billing._month import MonthSlice
from bluebellusher_core.rules import ExhaustedAction, Limit, Rule, RuleSet

SpendingKey = tuple[MonthSlice, Rule, str]


@dataclass(slots=True)
class Spending:
    """Expected spending of a customer, by slice, rule and service.

    ``within_budget_by_key`` has the spending within the budget, under ``load`` rules.
    ``after_budget_by_key`` has the spending after the budget is exhausted, under
    ``when-exhausted`` rules.
    """

    within_budget_by_key: dict[SpendingKey, Fraction] = field(
        default_factory=lambda: defaultdict(Fraction)
    )
    after_budget_by_key: dict[SpendingKey, Fraction] = field(
        default_factory=lambda: defaultdict(Fraction)
    )


@dataclass(slots=True)
class _Consumption:
    """Money and tokens used so far, which count against a limit."""

    money: Fraction = Fraction(0)
    n_tokens: Fraction = Fraction(0)

    def remaining_s(
        self, limit: Limit, money_rate: Fraction, token_rate: Fraction
    ) -> Fraction | None:
        """Return the time in seconds until the limit is reached at constant rates.

        ``money_rate`` and ``token_rate`` are per second. ``None`` means that the
        limit is never reached.
        """
        used = self.n_tokens if limit.is_tokens else self.money
        rate = token_rate if limit.is_tokens else money_rate
        remaining = Fraction(limit.amount) - used
        if rate == 0:
            return None
        return max(remaining, Fraction(0)) / rate


def estimate_spending(customer: str, slices: Sequence[MonthSlice]) -> Spending:
    """Compute the expected spending of a customer over the slices of a month."""
    return _estimate_without_limits(customer, slices) or _estimate_by_segment(
        customer, slices
    )


def _estimate_without_limits(
    customer: str, slices: Sequence[MonthSlice]
) -> Spending | None:
    """Compute the spending of a customer that reaches no limit.

    This is faster than ``_estimate_by_segment``, because it counts requests without
    dividing the month into segments, and suffices for most customers. Return
    ``None`` if the customer may reach a budget or a rate.
    """
    spending = Spending()
    used = _Consumption()
    for month_slice in slices:
        loads = month_slice.rules.loads_by_customer.get(customer, [])
        if (
            _compute_admitted_share(
                month_slice.rules, customer, _find_peak_flows(customer, month_slice)
            )
            < 1
        ):
            return None
        for load in loads:
            n_requests = count_requests(load, month_slice)
            service = _get_service(month_slice.rules, load.target)
            money = n_requests * price_request(month_slice.rules, load.target, load)
            spending.within_budget_by_key[month_slice, load, service] += money
            used.money += money
            used.n_tokens += n_requests * load.n_tokens
    for month_slice in slices:
        budget = month_slice.rules.budget_by_customer.get(customer)
        if budget is None:
            continue
        amount = used.n_tokens if budget.limit.is_tokens else used.money
        if amount > Fraction(budget.limit.amount):
            return None
    return spending


def _find_peak_flows(customer: str, month_slice: MonthSlice) -> tuple[Flow, ...]:
    """Return flows that together are at least as high as the load in a slice.

    Return no flow if the customer has no rate, because no rate can then be reached.
    """
    has_rate = any(
        (customer, unit) in month_slice.rules.rate_by_customer
        for unit in ("requests", "tokens")
    )
    if not has_rate:
        return ()
    flows = []
    for load in month_slice.rules.loads_by_customer.get(customer, []):
        windows = load.schedule.windows(month_slice.begin_s, month_slice.end_s)
        if windows:
            shortest_s = min(end_s - begin_s for begin_s, end_s in windows)
            flows.append(Flow(load, Fraction(load.n_requests, shortest_s)))
    return tuple(flows)


def _compute_admitted_share(
    rules: RuleSet, customer: str, flows: tuple[Flow, ...]
) -> Fraction:
    """Return the fraction of the flows that the customer's rates admit, at most 1."""
    admitted_share = Fraction(1)
    for unit in ("requests", "tokens"):
        rate = rules.rate_by_customer.get((customer, unit))
        if rate is None:
            continue
        flow_rates = (f.n_requests if unit == "requests" else f.n_tokens for f in flows)
        n_offered = sum(flow_rates, Fraction(0))
        n_allowed = Fraction(rate.n_units, rate.period_s)
        if n_offered > n_allowed:
            admitted_share = min(admitted_share, n_allowed / n_offered)
    return admitted_share


def _estimate_by_segment(customer: str, slices: Sequence[MonthSlice]) -> Spending:
    """Compute the spending segment by segment, with budget and rates."""
    spending = Spending()
    within_budget, after_budget = _Consumption(), _Consumption()
    for month_slice in slices:
        loads = month_slice.rules.loads_by_customer.get(customer, [])
        for segment in iterate_segments(loads, month_slice):
            admitted_share = _compute_admitted_share(
                month_slice.rules, customer, segment.flows
            )
            remaining_s = Fraction(segment.n_seconds)
            remaining_s -= _spend_within_budget(
                month_slice,
                segment.flows,
                admitted_share,
                remaining_s,
                within_budget,
                spending,
            )
            if remaining_s > 0:
                _spend_after_budget(
                    customer,
                    month_slice,
                    segment.flows,
                    admitted_share,
                    remaining_s,
                    after_budget,
                    spending,
                )
    return spending


def _spend_within_budget(
    month_slice: MonthSlice,
    flows: tuple[Flow, ...],
    admitted_share: Fraction,
    n_seconds: Fraction,
    used: _Consumption,
    spending: Spending,
) -> Fraction:
    """Add the spending of a segment within the budget.

    ``admitted_share`` is the fraction of the flows that the customer's rates admit.
    ``used`` and ``spending`` are updated.

    Returns
    -------
    Fraction
        Time in seconds until the budget is exhausted, at most ``n_seconds``.
    """
    rules = month_slice.rules
    money_rates = [
        f.n_requests * price_request(rules, f.load.target, f.load) for f in flows
    ]
    money_rate = sum(money_rates, Fraction(0)) * admitted_share
    token_rate = sum((f.n_tokens for f in flows), Fraction(0)) * admitted_share
    budget = rules.budget_by_customer.get(flows[0].load.customer)
    if budget is not None:
        remaining_s = used.remaining_s(budget.limit, money_rate, token_rate)
        n_seconds = n_seconds if remaining_s is None else min(n_seconds, remaining_s)
    used.money += money_rate * n_seconds
    used.n_tokens += token_rate * n_seconds
    for flow, rate in zip(flows, money_rates, strict=True):
        service = _get_service(rules, flow.load.target)
        spending.within_budget_by_key[month_slice, flow.load, service] += (
            rate * admitted_share * n_seconds
        )
    return n_seconds


def _spend_after_budget(
    customer: str,
    month_slice: MonthSlice,
    flows: tuple[Flow, ...],
    admitted_share: Fraction,
    n_seconds: Fraction,
    used: _Consumption,
    spending: Spending,
) -> None:
    """Add the spending that ``when-exhausted`` allows after the budget is exhausted.

    ``admitted_share`` is the fraction of the flows that the customer's rates admit,
    and ``n_seconds`` the time that remains of the segment. ``used`` and ``spending``
    are updated.
    """
    rules = month_slice.rules
    rule = rules.when_exhausted_by_customer.get(customer)
    if rule is None or rule.action is ExhaustedAction.REFUSE:
        return
    # Requests to a plain service cost nothing here, because only models have token
    # prices, and a cheaper model does not replace the service.
    model_flows = [f for f in flows if f.load.target in rules.service_by_model]
    targets = [rule.model or f.load.target for f in model_flows]
    money_rates = [
        f.n_requests * price_request(rules, target, f.load) * admitted_share
        for f, target in zip(model_flows, targets, strict=True)
    ]
    money_rate = sum(money_rates, Fraction(0))
    token_rate = sum((f.n_tokens for f in model_flows), Fraction(0)) * admitted_share
    if rule.limit is not None:
        remaining_s = used.remaining_s(rule.limit, money_rate, token_rate)
        n_seconds = n_seconds if remaining_s is None else min(n_seconds, remaining_s)
    used.money += money_rate * n_seconds
    used.n_tokens += token_rate * n_seconds
    for target, rate in zip(targets, money_rates, strict=True):
        key = (month_slice, rule, _get_service(rules, target))
        spending.after_budget_by_key[key] += rate * n_seconds


def _get_service(rules: RuleSet, target: str) -> str:
    """Return the service of a model, or the target itself if it is a service."""
    return rules.service_by_model.get(target, target)
