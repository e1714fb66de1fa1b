"""Decision on the share of a service's requests that leaves a failure domain."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from bluebellusher_core.domain_traffic._lateness import make_lateness

# Smallest number of late answers that a request which leaves must avoid. Without it,
# requests would leave at every difference of the loads, however small its effect.
MIN_GAIN = 0.002
# Factor of the gain that is required before the first request leaves to a domain. It
# keeps a share of 0 from changing with the noise of the load reports.
START_FACTOR = 2.0
# Part of the difference to the wanted outflow that one decision applies. Several
# domains may send to one, and each sees the others only in later reports; with a factor
# below 1, their outflows converge at any delay of the reports.
STEP_FACTOR = 0.75
# Parts into which the demand of a domain is divided while it is distributed.
N_PARTS = 40
# Difference of the occupied shares of two domains from which their single endpoints are
# compared. Smaller differences are noise of the reports.
COMPARE_MARGIN = 0.2
# Smallest share that is sent; a lower one is rounded to 0.
MIN_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class DomainLoad:
    """Capacity and load of a service in one failure domain.

    Endpoints that may get no request now (evacuated, closed, paused, silent, out of
    contact) are not included. An endpoint with a limit of its rate, such as one that
    warms up, is included with the slots that the limit lets it use.

    Parameters
    ----------
    n_slots : float
        Slots of the endpoints at their usual pace.
    n_occupied : float
        Slots that are occupied, by the requests of all domains.
    n_pool_slots : float
        Number of slots of which a request of the own domain gets the first free one.
    """

    n_slots: float
    n_occupied: float
    n_pool_slots: float

    @property
    def use(self) -> float:
        """Share of the slots that is occupied; infinite without slots."""
        return self.n_occupied / self.n_slots if self.n_slots else inf


@dataclass(frozen=True, slots=True)
class ShareDecision:
    """Shares of a domain's requests that leave it, by receiving domain.

    Parameters
    ----------
    share_by_domain : Mapping of str to float
        Share for each domain that receives any; the sum is at most 1.
    demand : float
        Slots that the requests of the domain occupy wherever they are served.
    compared_domains : tuple of str
        Domains with which the endpoints of the own domain are compared for a request
        that stays.
    """

    share_by_domain: Mapping[str, float] = field(default_factory=dict)
    demand: float = 0.0
    compared_domains: tuple[str, ...] = ()

    @property
    def total_share(self) -> float:
        """Share of the requests that leaves to any domain."""
        return sum(self.share_by_domain.values())


def decide_shares(
    load_by_domain: Mapping[str, DomainLoad],
    own_domain: str,
    previous: ShareDecision,
    outflow_by_domain: Mapping[str, float],
    cost: float,
    slack_ratios: tuple[float, float],
) -> ShareDecision:
    """Return the shares of a domain's requests that are worth sending to others.

    Load pattern: the demand of a domain exceeds what its endpoints can serve on time,
    because of a burst, a swing that other domains do not share, or endpoints that are
    gone, cold or limited, while other domains have capacity left. The entries of a
    domain receive the same load reports, up to 2.4 s old, at different times. If each
    sent its requests to the domain that looks idle, all would move there at once and
    back again after the next report.

    The demand of the own domain is distributed in small parts. Each part goes to the
    domain in which it causes the fewest late answers, and it leaves only if that avoids
    more late answers than its bytes cost. Loads enter without the own outflow, so that
    the result does not depend on whether the reports already include it. A domain that
    sends to another has more late answers per request than the receiver, therefore two
    domains with the same reports never send to each other.

    Parameters
    ----------
    load_by_domain : Mapping of str to DomainLoad
        Loads of all domains that were reported recently.
    own_domain : str
        Domain whose requests are distributed.
    previous : ShareDecision
        Decision in force.
    outflow_by_domain : Mapping of str to float
        Slots that requests of the own domain occupy in each other one now.
    cost : float
        Cost of a request that leaves, in answers within their objective; 0 where bytes
        are not weighed against late answers.
    slack_ratios : tuple of float
        Time that a request can wait for a slot as a multiple of the service time, in
        the own domain and in another one, where the path takes a part of it.

    Examples
    --------
    >>> loads = {"a": DomainLoad(12, 12, 12), "b": DomainLoad(12, 1, 12)}
    >>> decision = decide_shares(loads, "a", ShareDecision(), {}, 0.01, (0.2, 0.2))
    >>> decision.total_share > 0.1
    True
    >>> decide_shares(loads, "b", ShareDecision(), {}, 0.01, (0.2, 0.2)).total_share
    0
    """
    own = load_by_domain.get(own_domain, DomainLoad(0, 0, 0))
    others = sorted(d for d in load_by_domain if d != own_domain)
    outflow = {d: outflow_by_domain.get(d, 0.0) for d in others}
    demand = own.n_occupied + sum(outflow.values())
    if own.n_slots < 1:
        return ShareDecision(_divide_by_free_slots(load_by_domain, others), demand)
    if demand <= 0:
        return ShareDecision()
    min_gain = max(MIN_GAIN, cost)
    wanted = _distribute(
        load_by_domain,
        own_domain,
        previous,
        outflow,
        demand,
        min_gain,
        slack_ratios,
    )
    share_by_domain = {}
    for domain in others:
        share = previous.share_by_domain.get(domain, 0.0)
        change = wanted[domain] / demand - share
        if abs(change) >= MIN_SHARE or not wanted[domain]:
            share += STEP_FACTOR * change
        if share >= MIN_SHARE:
            share_by_domain[domain] = share
    find_own = make_lateness(own.n_slots, own.n_pool_slots, slack_ratios[0])
    is_comparing = find_own(own.n_occupied) > min_gain
    max_use = own.use - COMPARE_MARGIN
    compared = [d for d in others if load_by_domain[d].use < max_use]
    return ShareDecision(
        share_by_domain, demand, tuple(compared) if is_comparing else ()
    )


def _distribute(
    load_by_domain: Mapping[str, DomainLoad],
    own_domain: str,
    previous: ShareDecision,
    outflow: Mapping[str, float],
    demand: float,
    min_gain: float,
    slack_ratios: tuple[float, float],
) -> dict[str, float]:
    """Return the outflow to each other domain that is worthwhile."""
    own_slack, remote_slack = slack_ratios
    own = load_by_domain[own_domain]
    find_own = make_lateness(own.n_slots, own.n_pool_slots, own_slack)
    wanted = dict.fromkeys(outflow, 0.0)
    find_by_domain, base_by_domain, lateness = {}, {}, {}
    for domain in wanted:
        load = load_by_domain[domain]
        find = make_lateness(load.n_slots, load.n_pool_slots, remote_slack)
        find_by_domain[domain] = find
        base_by_domain[domain] = max(0.0, load.n_occupied - outflow[domain])
        lateness[domain] = find(base_by_domain[domain])
    part = demand / N_PARTS
    n_left = demand
    while n_left > part / 2 and lateness:
        domain = min(lateness, key=lateness.__getitem__)
        gain = find_own(n_left) - lateness[domain]
        is_start = not wanted[domain] and domain not in previous.share_by_domain
        if gain <= (min_gain * START_FACTOR if is_start else min_gain):
            break
        n_left -= part
        wanted[domain] += part
        lateness[domain] = find_by_domain[domain](
            base_by_domain[domain] + wanted[domain]
        )
    return wanted


def _divide_by_free_slots(
    load_by_domain: Mapping[str, DomainLoad], domains: Sequence[str]
) -> dict[str, float]:
    """Return shares for a domain that cannot serve, in proportion to free slots."""
    loads = {d: load_by_domain[d] for d in domains}
    free = {d: max(0.0, load.n_slots - load.n_occupied) for d, load in loads.items()}
    n_free = sum(free.values())
    return {d: n / n_free for d, n in free.items() if n} if n_free else {}
