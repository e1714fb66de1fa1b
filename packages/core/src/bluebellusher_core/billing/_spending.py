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
from bluebellusher_core.billing._month import Slice
from bluebellusher_core.rules import ExhaustedAction, Limit, Rule, RuleSet

Key = tuple[Slice, Rule, str]


@dataclass(slots=True)
class Spending:
    """Expected spending of a customer, by slice, rule and service.

    ``normal_by_key`` has the spending within the budget, under ``load`` rules.
    ``extra_by_key`` has the spending after the budget is exhausted, under
    ``when-exhausted`` rules.
    """

    normal_by_key: dict[Key, Fraction] = field(
        default_factory=lambda: defaultdict(Fraction)
    )
    extra_by_key: dict[Key, Fraction] = field(
        default_factory=lambda: defaultdict(Fraction)
    )


@dataclass(slots=True)
class _Used:
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
        left = Fraction(limit.amount) - used
        if rate == 0:
            return None
        return max(left, Fraction(0)) / rate


def spend(customer: str, slices: Sequence[Slice]) -> Spending:
    """Compute the expected spending of a customer over the slices of a month."""
    return _spend_freely(customer, slices) or _spend_by_time(customer, slices)


def _spend_freely(customer: str, slices: Sequence[Slice]) -> Spending | None:
    """Compute the spending of a customer that reaches no limit.

    This is faster than ``_spend_by_time``, because it counts requests without
    dividing the month into segments, and suffices for most customers. Return
    ``None`` if the customer may reach a budget or a rate.
    """
    spending = Spending()
    used = _Used()
    for part in slices:
        loads = part.rules.loads_by_customer.get(customer, [])
        if _throttle(part.rules, customer, _peak_flows(customer, part)) < 1:
            return None
        for load in loads:
            n_requests = count_requests(load, part)
            service = _service(part.rules, load.target)
            money = n_requests * price_request(part.rules, load.target, load)
            spending.normal_by_key[part, load, service] += money
            used.money += money
            used.n_tokens += n_requests * load.n_tokens
    for part in slices:
        budget = part.rules.budget_by_customer.get(customer)
        if budget is None:
            continue
        amount = used.n_tokens if budget.limit.is_tokens else used.money
        if amount > Fraction(budget.limit.amount):
            return None
    return spending


def _peak_flows(customer: str, part: Slice) -> tuple[Flow, ...]:
    """Return flows that together are an upper limit of the load in a slice.

    Return no flow if the customer has no rate, because the limit is then not needed.
    """
    has_rate = any(
        (customer, unit) in part.rules.rate_by_customer
        for unit in ("requests", "tokens")
    )
    if not has_rate:
        return ()
    flows = []
    for load in part.rules.loads_by_customer.get(customer, []):
        windows = load.schedule.windows(part.begin_s, part.end_s)
        if windows:
            shortest_s = min(end_s - begin_s for begin_s, end_s in windows)
            flows.append(Flow(load, Fraction(load.n_requests, shortest_s)))
    return tuple(flows)


def _throttle(rules: RuleSet, customer: str, flows: tuple[Flow, ...]) -> Fraction:
    """Return the fraction of the flows that the customer's rates admit, at most 1."""
    share = Fraction(1)
    for unit in ("requests", "tokens"):
        rate = rules.rate_by_customer.get((customer, unit))
        if rate is None:
            continue
        flow_rates = (f.n_requests if unit == "requests" else f.n_tokens for f in flows)
        n_offered = sum(flow_rates, Fraction(0))
        n_allowed = Fraction(rate.n_units, rate.period_s)
        if n_offered > n_allowed:
            share = min(share, n_allowed / n_offered)
    return share


def _spend_by_time(customer: str, slices: Sequence[Slice]) -> Spending:
    """Compute the spending segment by segment, with budget and rates."""
    spending = Spending()
    normal, extra = _Used(), _Used()
    for part in slices:
        loads = part.rules.loads_by_customer.get(customer, [])
        for segment in iterate_segments(loads, part):
            share = _throttle(part.rules, customer, segment.flows)
            left_s = Fraction(segment.n_seconds)
            left_s -= _spend_normal(
                part, segment.flows, share, left_s, normal, spending
            )
            if left_s > 0:
                _spend_extra(
                    customer, part, segment.flows, share, left_s, extra, spending
                )
    return spending


def _spend_normal(
    part: Slice,
    flows: tuple[Flow, ...],
    share: Fraction,
    n_seconds: Fraction,
    used: _Used,
    spending: Spending,
) -> Fraction:
    """Add the spending of a segment within the budget.

    ``share`` is the admitted fraction of the flows. ``used`` and ``spending`` are
    updated.

    Returns
    -------
    Fraction
        Time in seconds until the budget is exhausted, at most ``n_seconds``.
    """
    rules = part.rules
    money = [f.n_requests * price_request(rules, f.load.target, f.load) for f in flows]
    money_rate = sum(money, Fraction(0)) * share
    token_rate = sum((f.n_tokens for f in flows), Fraction(0)) * share
    budget = rules.budget_by_customer.get(flows[0].load.customer)
    if budget is not None:
        lasts_s = used.remaining_s(budget.limit, money_rate, token_rate)
        n_seconds = n_seconds if lasts_s is None else min(n_seconds, lasts_s)
    used.money += money_rate * n_seconds
    used.n_tokens += token_rate * n_seconds
    for flow, rate in zip(flows, money, strict=True):
        service = _service(rules, flow.load.target)
        spending.normal_by_key[part, flow.load, service] += rate * share * n_seconds
    return n_seconds


def _spend_extra(
    customer: str,
    part: Slice,
    flows: tuple[Flow, ...],
    share: Fraction,
    n_seconds: Fraction,
    used: _Used,
    spending: Spending,
) -> None:
    """Add the spending that ``when-exhausted`` allows after the budget is exhausted.

    ``share`` is the admitted fraction of the flows and ``n_seconds`` the time that
    remains of the segment. ``used`` and ``spending`` are updated.
    """
    rules = part.rules
    rule = rules.exhausted_by_customer.get(customer)
    if rule is None or rule.action is ExhaustedAction.REFUSE:
        return
    # Requests to a plain service keep their target, which has no token price.
    model_flows = [f for f in flows if f.load.target in rules.service_by_model]
    targets = [rule.model or f.load.target for f in model_flows]
    money = [
        f.n_requests * price_request(rules, target, f.load) * share
        for f, target in zip(model_flows, targets, strict=True)
    ]
    money_rate = sum(money, Fraction(0))
    token_rate = sum((f.n_tokens for f in model_flows), Fraction(0)) * share
    if rule.limit is not None:
        lasts_s = used.remaining_s(rule.limit, money_rate, token_rate)
        n_seconds = n_seconds if lasts_s is None else min(n_seconds, lasts_s)
    used.money += money_rate * n_seconds
    used.n_tokens += token_rate * n_seconds
    for target, rate in zip(targets, money, strict=True):
        key = (part, rule, _service(rules, target))
        spending.extra_by_key[key] += rate * n_seconds


def _service(rules: RuleSet, target: str) -> str:
    """Return the service of a model, or the target itself if it is a service."""
    return rules.service_by_model.get(target, target)
