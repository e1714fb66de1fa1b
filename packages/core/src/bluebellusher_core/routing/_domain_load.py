"""Loads of a service in all failure domains, as one entry can measure them."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import exp, inf

from bluebellusher_core.domain_traffic import DomainLoad, ShareDecision
from bluebellusher_core.events import Priority, RequestSpec
from bluebellusher_core.routing._protocol import EndpointView
from bluebellusher_core.routing._slot_aware import (
    FAILURE_DECAY_MS,
    N_LOCAL,
    N_REMOTE,
    STALL_MS,
)

# Age from which a load report of an endpoint counts as none, in ms: two intervals of
# the reports to other domains. No share goes to a domain with mostly such reports.
STALE_REPORT_MS = 5_000
# Service time that is assumed before an attempt has ended, in ms.
DEFAULT_SERVICE_MS = 1_000.0
# Ratio of the service time at an endpoint to that at the fastest endpoint of the
# service, from which its requests are regarded as waiting there.
QUEUED_RATIO = 2.0
# Age from which the service time at an endpoint is not compared any more, in ms. An
# endpoint that gets no requests shows no other one.
SERVICE_TIME_MAX_AGE_MS = 4_000
# Weight of the latest request in the mean bytes and the part of the highest priority.
SMOOTHING = 0.05


@dataclass(slots=True)
class PoolTraffic:
    """Shares of one pool that are in force, and the means that they are decided from.

    Parameters
    ----------
    by_price : ShareDecision
        Shares of the requests whose bytes are weighed against late answers.
    without_price : ShareDecision
        Shares of the requests with the highest priority.
    load_by_domain : Mapping of str to DomainLoad
        Loads that the decision used.
    cost : float
        Cost of a mean request that leaves, in answers within their objective.
    mean_bytes, objective_ms : float
        Weighted mean of the bytes of a request, and time to the objective, in ms.
    service_ms : float
        Mean time that a request occupies a slot, in ms.
    decided_at_ms : int
        Monotonic time of the decision, in ms.
    own_load_by_id : dict of str to float
        Weighted mean of the own attempts at endpoints without load reports.
    outflow_by_domain : dict of str to float
        Slots that the own domain's requests occupy in each other one. It follows the
        shares with the service time as its time constant, as the requests there do.
    highest_part : float
        Part of the requests that has the highest priority.
    """

    by_price: ShareDecision = field(default_factory=ShareDecision)
    without_price: ShareDecision = field(default_factory=ShareDecision)
    load_by_domain: Mapping[str, DomainLoad] = field(default_factory=dict)
    cost: float = 0.0
    mean_bytes: float = 0.0
    objective_ms: float = 0.0
    service_ms: float = DEFAULT_SERVICE_MS
    decided_at_ms: int | None = None
    own_load_by_id: dict[str, float] = field(default_factory=dict)
    outflow_by_domain: dict[str, float] = field(default_factory=dict)
    highest_part: float = 0.0

    def record_request(self, request: RequestSpec, n_bytes: int, now_ms: int) -> None:
        """Update the mean bytes and the objective of a pool's requests."""
        ends_at_ms = request.objective_at_ms
        if ends_at_ms is None:
            ends_at_ms = request.deadline_ms
        objective_ms = float(max(0, ends_at_ms - now_ms))
        if not self.mean_bytes:
            self.mean_bytes, self.objective_ms = float(n_bytes), objective_ms
        self.mean_bytes += SMOOTHING * (n_bytes - self.mean_bytes)
        is_highest = request.priority == Priority.HIGH
        self.highest_part += SMOOTHING * (is_highest - self.highest_part)
        # A request that has waited shows less than its objective.
        decayed_ms = self.objective_ms * (1 - SMOOTHING * SMOOTHING)
        self.objective_ms = max(objective_ms, decayed_ms)

    def estimate_own_load(self, view: EndpointView, n_peers: float) -> float:
        """Return the own domain's occupied slots at an endpoint without load reports.

        Each of the ``n_peers`` entries of the domain sees only its own attempts; the
        others are assumed to have as many. The more entries there are, the fewer
        attempts each has in flight, and the more observations their mean needs.
        """
        own_load = self.own_load_by_id.get(view.info.endpoint_id, 0.0)
        own_load += (view.n_own_in_flight - own_load) / (1 + n_peers)
        self.own_load_by_id[view.info.endpoint_id] = own_load
        return own_load * n_peers

    def update_outflow(self, weight: float) -> None:
        """Move the outflow towards the shares in force by a part of the difference."""
        priced, unpriced = self.by_price, self.without_price
        domains = {
            *self.outflow_by_domain,
            *priced.share_by_domain,
            *unpriced.share_by_domain,
        }
        for domain in domains:
            share = self.highest_part * unpriced.share_by_domain.get(domain, 0.0)
            share += (1 - self.highest_part) * priced.share_by_domain.get(domain, 0.0)
            outflow = self.outflow_by_domain.get(domain, 0.0)
            outflow += weight * (share * priced.demand - outflow)
            self.outflow_by_domain[domain] = outflow


@dataclass(slots=True)
class _DomainSum:
    """Sums over the usable endpoints of one domain, in slots."""

    n_slots: float = 0.0
    n_occupied: float = 0.0
    n_most_slots: float = 0.0
    n_queued_slots: float = 0.0
    n_stale_slots: float = 0.0
    has_unreported: bool = False


def measure_loads(
    traffic: PoolTraffic,
    usable: Iterable[tuple[EndpointView, float]],
    own_domain: str,
    n_entries: int,
    now_ms: int,
) -> dict[str, DomainLoad]:
    """Return the load of each domain that can be reached and has usable endpoints.

    Occupied slots follow from the load reports. At endpoints without reports, they are
    estimated from the own attempts, and the other domains are assumed to have the
    demand of the own one. Other domains whose reports are mostly too old are left out.

    Parameters
    ----------
    traffic : PoolTraffic
        Means of the pool; the own loads at endpoints without reports are updated.
    usable : iterable of (EndpointView, float)
        Endpoints with the mean number of own attempts that each is limited to.
    own_domain : str
        Failure domain of the entry.
    n_entries : int
        Number of entries of all domains.
    now_ms : int
        Monotonic time, in ms.
    """
    sum_by_domain: dict[str, _DomainSum] = {}
    unreported: list[tuple[EndpointView, float]] = []
    oldest_at_ms = now_ms - STALE_REPORT_MS
    for view, n_limited in usable:
        info, report = view.info, view.report
        total = sum_by_domain.get(info.failure_domain)
        if total is None:
            total = sum_by_domain[info.failure_domain] = _DomainSum()
        if report is None or view.reported_at_ms < oldest_at_ms:
            if report is None or info.failure_domain == own_domain:
                unreported.append((view, n_limited))
            else:
                total.n_stale_slots += info.n_slots or 1
            continue
        n_slots: float = info.n_slots or 1
        if n_slots > total.n_most_slots:
            total.n_most_slots = n_slots
        if report.pace > 1:
            n_slots /= report.pace
        if n_limited < inf or view.unanswered_at_ms or view.failure_rate:
            n_slots = _reduce_slots(view, n_slots, n_limited, n_entries, now_ms)
        total.n_slots += n_slots
        n_change = len(view.own_dispatched_at_ms) - len(view.own_ended_at_ms)
        n_reported = report.n_running + report.n_queued + n_change
        n_own = view.n_own_in_flight
        total.n_occupied += n_reported if n_reported > n_own else n_own
    reported = sum_by_domain.get(own_domain)
    if reported is not None and reported.n_slots:
        # The endpoints of this service send reports; those of others do not arrive.
        unreported = _discard_remote(unreported, sum_by_domain, own_domain)
    _add_unreported(traffic, unreported, sum_by_domain, n_entries, now_ms)
    own = sum_by_domain.get(own_domain, _DomainSum())
    # Requests that wait at the own endpoints are no part of the demand elsewhere.
    n_assumed = min(own.n_occupied, own.n_slots)
    n_assumed += sum(traffic.outflow_by_domain.values())
    load_by_domain = {}
    for domain, total in sum_by_domain.items():
        if total.n_stale_slots >= max(total.n_slots, 1.0):
            continue
        # The reports of other domains are older than a request usually runs, so that
        # no more is known of a single endpoint there than its domain's load.
        is_compared = domain == own_domain and not total.has_unreported
        n_pool_slots = total.n_most_slots * (N_LOCAL if is_compared else N_REMOTE)
        n_occupied = total.n_occupied
        if total.has_unreported and domain != own_domain:
            n_occupied += n_assumed
        n_occupied = max(n_occupied, total.n_queued_slots)
        # The endpoints whose report is late have the mean load.
        factor = 1 + total.n_stale_slots / total.n_slots if total.n_slots else 1.0
        load_by_domain[domain] = DomainLoad(
            total.n_slots * factor, n_occupied * factor, n_pool_slots
        )
    return load_by_domain


def find_service_ms(views: Sequence[EndpointView]) -> float:
    """Return the mean time of an attempt over the endpoints that have been used."""
    times_ms = [v.own_service_ms for v in views if v.own_service_ms]
    return sum(times_ms) / len(times_ms) if times_ms else DEFAULT_SERVICE_MS


def _discard_remote(
    unreported: Sequence[tuple[EndpointView, float]],
    sum_by_domain: Mapping[str, _DomainSum],
    own_domain: str,
) -> list[tuple[EndpointView, float]]:
    """Return the endpoints of the own domain; count the others as out of contact."""
    kept = []
    for view, n_limited in unreported:
        domain = view.info.failure_domain
        if domain == own_domain:
            kept.append((view, n_limited))
        else:
            sum_by_domain[domain].n_stale_slots += view.info.n_slots or 1
    return kept


def _add_unreported(
    traffic: PoolTraffic,
    unreported: Sequence[tuple[EndpointView, float]],
    sum_by_domain: Mapping[str, _DomainSum],
    n_entries: int,
    now_ms: int,
) -> None:
    """Add the endpoints without recent load reports to the sums of their domains."""
    n_peers = max(1.0, n_entries / (len(sum_by_domain) or 1))
    fastest_ms = min(
        (v.own_service_ms for v, _ in unreported if v.own_service_ms), default=0.0
    )
    for view, n_limited in unreported:
        total = sum_by_domain[view.info.failure_domain]
        n_slots = float(view.info.n_slots or 1)
        total.has_unreported = True
        total.n_most_slots = max(total.n_most_slots, n_slots)
        total.n_occupied += traffic.estimate_own_load(view, n_peers)
        if _is_queued(view, fastest_ms, now_ms):
            total.n_queued_slots += n_slots
        total.n_slots += _reduce_slots(view, n_slots, n_limited, n_entries, now_ms)


def _reduce_slots(
    view: EndpointView, n_slots: float, n_limited: float, n_entries: int, now_ms: int
) -> float:
    """Return the slots that a limit lets the entries use, less those that may fail."""
    if n_limited < inf:
        # Each entry with a part of the limit may use the same number.
        n_slots = min(n_slots, n_limited * n_entries)
    return n_slots * _compute_health(view, now_ms)


def _is_queued(view: EndpointView, fastest_ms: float, now_ms: int) -> bool:
    """Return whether requests wait at an endpoint, by the time that they take."""
    if now_ms - view.last_progress_at_ms > SERVICE_TIME_MAX_AGE_MS or not fastest_ms:
        return False
    return view.own_service_ms > QUEUED_RATIO * fastest_ms


def _compute_health(view: EndpointView, now_ms: int) -> float:
    """Return the part of an endpoint's slots that can be relied on, 0 to 1."""
    if view.stalled_ms(now_ms) > STALL_MS:
        return 0.0
    age_ms = now_ms - view.failure_rate_updated_at_ms
    return 1.0 - view.failure_rate * exp(-age_ms / FAILURE_DECAY_MS)
