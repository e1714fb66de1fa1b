"""Rules for traffic between failure domains that an experiment compares, by name."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from bluebellusher_core.domain_traffic import (
    DomainLoad,
    ShareDecision,
    TrafficPrice,
    decide_shares,
)
from bluebellusher_core.routing import DomainAware, RoutingPolicy, SlotAware
from bluebellusher_core.routing._slot_aware import FAILURE_PENALTY_SLOTS

# Utilization above which the rule with a fixed threshold sends requests elsewhere.
THRESHOLD = 0.8
# Step of the shares of the rule with a price for each domain.
DUAL_STEP = 0.25
MakeRouting = Callable[[str, TrafficPrice, int], RoutingPolicy]


def decide_by_threshold(
    loads: Mapping[str, DomainLoad],
    own_domain: str,
    _previous: ShareDecision,
    _outflow: Mapping[str, float],
    _cost: float,
    _slack_ratios: tuple[float, float],
) -> ShareDecision:
    """Send everything to the least loaded domain while the own one is over a limit."""
    use = {d: _find_use(load) for d, load in loads.items()}
    best = min(use, key=use.__getitem__, default=own_domain)
    if use.get(own_domain, 1.0) < THRESHOLD or use.get(best, 1.0) >= THRESHOLD:
        return ShareDecision()
    return ShareDecision({best: 1.0})


def decide_equal_use(
    loads: Mapping[str, DomainLoad],
    own_domain: str,
    _previous: ShareDecision,
    outflow: Mapping[str, float],
    _cost: float,
    _slack_ratios: tuple[float, float],
) -> ShareDecision:
    """Fill the domains to equal utilization, without a price."""
    own = loads.get(own_domain, DomainLoad(0, 0, 0))
    base = {
        d: max(0.0, load.n_occupied - outflow.get(d, 0.0)) for d, load in loads.items()
    }
    demand = own.n_occupied + sum(outflow.values())
    base[own_domain] = 0.0
    if demand <= 0:
        return ShareDecision()
    sent = dict.fromkeys(base, 0.0)
    for _ in range(50):
        best = min(sent, key=lambda d: (base[d] + sent[d]) / max(1.0, _slots(loads, d)))
        sent[best] += demand / 50
    del sent[own_domain]
    return ShareDecision({d: n / demand for d, n in sent.items() if n}, demand)


def decide_by_domain_price(
    loads: Mapping[str, DomainLoad],
    own_domain: str,
    previous: ShareDecision,
    _outflow: Mapping[str, float],
    cost: float,
    _slack_ratios: tuple[float, float],
) -> ShareDecision:
    """Move the shares step by step towards the domain with the lowest price.

    The price of a domain rises with its utilization, as a dual variable would.
    """
    prices = {
        d: _find_use(load) + (0.0 if d == own_domain else cost)
        for d, load in loads.items()
    }
    best = min(prices, key=prices.__getitem__, default=own_domain)
    shares = {d: s * (1 - DUAL_STEP) for d, s in previous.share_by_domain.items()}
    if best != own_domain:
        shares[best] = shares.get(best, 0.0) + DUAL_STEP
    return ShareDecision({d: s for d, s in shares.items() if s > 0.01 and d in loads})


def decide_comparison_only(*arguments: Any) -> ShareDecision:
    """Send no share; compare with other domains where the decision would."""
    return replace(decide_shares(*arguments), share_by_domain={})


def decide_shares_only(*arguments: Any) -> ShareDecision:
    """Send the decided shares without comparing single endpoints."""
    return replace(decide_shares(*arguments), compared_domains=())


def _find_use(load: DomainLoad) -> float:
    return load.n_occupied / load.n_slots if load.n_slots else 10.0


def _slots(loads: Mapping[str, DomainLoad], domain: str) -> float:
    return loads[domain].n_slots if domain in loads else 0.0


def _make_added(domain: str, price: TrafficPrice, n_bytes: int) -> RoutingPolicy:
    """Return today's policy with an addition that follows from the price.

    A request that costs as much as an answer is worth counts like a failing endpoint.
    """
    cost = price.compute_cost(n_bytes)
    return SlotAware(domain, 1.0 + FAILURE_PENALTY_SLOTS * cost)


def _make_shares(rule: Callable[..., ShareDecision]) -> MakeRouting:
    return lambda domain, price, _: DomainAware(domain, price, decide=rule)


ROUTING_BY_NAME: dict[str, MakeRouting] = {
    "today": lambda domain, _price, _n: SlotAware(domain),
    "only-if-full": lambda domain, _price, _n: SlotAware(domain, 1e6),
    "addition": _make_added,
    "threshold": _make_shares(decide_by_threshold),
    "equal-use": _make_shares(decide_equal_use),
    "domain-price": _make_shares(decide_by_domain_price),
    "comparison-only": _make_shares(decide_comparison_only),
    "shares-only": _make_shares(decide_shares_only),
    "shares": _make_shares(decide_shares),
}
