"""Routing by shares of the requests that leave a failure domain."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from bluebellusher_core.domain_traffic import (
    DomainLoad,
    ShareDecision,
    TrafficPrice,
    decide_shares,
    estimate_bytes,
)
from bluebellusher_core.events import Priority, RequestSpec
from bluebellusher_core.routing._domain_load import (
    PoolTraffic,
    find_service_ms,
    measure_loads,
)
from bluebellusher_core.routing._protocol import EndpointView
from bluebellusher_core.routing._slot_aware import (
    N_LOCAL,
    SlotAware,
)

# Interval between two decisions on the shares of a service, in ms. Reports of the own
# domain come every 600 ms.
DECISION_INTERVAL_MS = 500
# Part of the time to the objective in which a request can wait for a slot; in the rest
# its prompt is read. Under normal load, the first event of a stream comes after a third
# to a half of its objective.
SLACK_PART = 0.5
# Credit of an endpoint that has the whole prompt in its cache, in occupied slots.
CACHE_CREDIT_SLOTS = 1.0

Pool = tuple[str, str, str]
ShareRule = Callable[
    [
        Mapping[str, DomainLoad],
        str,
        ShareDecision,
        Mapping[str, float],
        float,
        tuple[float, float],
    ],
    ShareDecision,
]


class UsableEndpoints(Protocol):
    """Endpoints that may serve the requests of a pool, full ones included."""

    def list_usable(
        self, pool: Pool, service_ms: float, now_ms: int
    ) -> Sequence[tuple[EndpointView, float]]:
        """Return endpoints and how many own attempts each is limited to on average."""


@dataclass(slots=True)
class DomainAware:
    """Policy that sends a decided share of the requests to other failure domains.

    The share is decided per pool every ``DECISION_INTERVAL_MS``
    (``domain_traffic.decide_shares``). A request draws its domain with these shares and
    is placed there as by ``SlotAware``. When no endpoint of that domain has capacity,
    it is placed in the own domain, and in any other one if that is full too: no request
    waits in order to save bytes. A request with more bytes than usual leaves with a
    lower probability, in proportion. For requests with the highest priority the price
    does not count.

    Where endpoints send no load reports, a request that stays is also compared with one
    endpoint of the domains that the decision names. The entry's own attempts, by which
    they are compared, are never out of date. Reports of other domains are older than a
    request runs, so that a comparison by them would send all requests at once.

    A request whose prompt is cached at an endpoint of the own domain stays in it. Such
    an endpoint is compared with the others at a credit.

    Load pattern: see ``decide_shares``. In addition, all entries of a domain draw
    independently, so that a share is kept over any number of them.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the entry.
    price : TrafficPrice
        Price of traffic and worth of an answer.
    endpoints : UsableEndpoints or None
        Endpoints from which loads are computed; no request leaves while it is None,
        except when the own domain has no capacity.
    count_entries : callable
        Returns the number of entries of all domains. Loads at endpoints without load
        reports are estimated from the own attempts with it.
    decide : callable
        Rule for the shares, with the parameters of ``decide_shares``.
    """

    failure_domain: str
    price: TrafficPrice
    endpoints: UsableEndpoints | None = None
    count_entries: Callable[[], int] = lambda: 1
    decide: ShareRule = decide_shares
    traffic_by_pool: dict[Pool, PoolTraffic] = field(default_factory=dict)
    _slot_aware: SlotAware = field(init=False)

    def __post_init__(self) -> None:
        """Derive the policy within a domain."""
        self._slot_aware = SlotAware(self.failure_domain)

    def choose(
        self,
        request: RequestSpec,
        candidates: Sequence[EndpointView],
        now_ms: int,
        random_state: Random,
    ) -> str | None:
        """Return the id of the chosen endpoint, or ``None`` without candidates."""
        if not candidates:
            return None
        pool = (request.service_id, request.model, request.adapter)
        traffic = self.traffic_by_pool.get(pool)
        if traffic is None:
            traffic = self.traffic_by_pool[pool] = PoolTraffic()
        n_bytes = estimate_bytes(request.n_input_tokens, request.n_max_output_tokens)
        traffic.record_request(request, n_bytes, now_ms)
        decided_at_ms = traffic.decided_at_ms
        if decided_at_ms is None or now_ms - decided_at_ms >= DECISION_INTERVAL_MS:
            self._decide(pool, traffic, now_ms)
        is_highest = request.priority == Priority.HIGH
        decision = traffic.without_price if is_highest else traffic.by_price
        domain = self.failure_domain
        if decision.share_by_domain:
            n_relative = 1.0 if is_highest else n_bytes / traffic.mean_bytes
            domain = self._draw_domain(decision, n_relative, random_state)
        own_domain = self.failure_domain
        cached_views = self._find_cached(request, candidates)
        if cached_views:
            domain = own_domain
        views = [v for v in candidates if v.info.failure_domain == domain]
        if not views and domain != own_domain:
            domain = own_domain
            views = [v for v in candidates if v.info.failure_domain == own_domain]
        views = views or list(candidates)
        if len(views) > 1:
            # Also without a choice, the order decides between equal loads.
            views = random_state.sample(views, min(N_LOCAL, len(views)))
        if cached_views:
            views.append(random_state.choice(cached_views))
        elif domain == own_domain and decision.compared_domains:
            compared = decision.compared_domains
            remote = [
                v
                for v in candidates
                if v.info.failure_domain in compared and v.report is None
            ]
            if remote:
                views.append(random_state.choice(remote))
        return min(
            views, key=lambda v: self._compute_load(v, request, now_ms)
        ).info.endpoint_id

    def _draw_domain(
        self, decision: ShareDecision, n_relative: float, random_state: Random
    ) -> str:
        """Return the domain that a request is sent to by the shares in force.

        ``n_relative`` is the number of its bytes as a multiple of the mean.
        """
        draw = random_state.random() * max(1.0, n_relative)
        for domain, share in decision.share_by_domain.items():
            draw -= share
            if draw < 0:
                return domain
        return self.failure_domain

    def _find_cached(
        self, request: RequestSpec, candidates: Sequence[EndpointView]
    ) -> list[EndpointView]:
        """Return the endpoints of the own domain that have the start of the prompt."""
        if not request.prefix_hashes:
            return []
        prefix, own_domain = request.prefix_hashes[0], self.failure_domain
        return [
            view
            for view in candidates
            if view.info.failure_domain == own_domain and prefix in view.cached_prefixes
        ]

    def _compute_load(
        self, view: EndpointView, request: RequestSpec, now_ms: int
    ) -> float:
        """Return the share of occupied slots, less a credit for a cached prompt."""
        load = self._slot_aware.compute_occupied_share(view, now_ms)
        if request.prefix_hashes and request.n_input_tokens:
            cached_part = view.count_cached_tokens(request) / request.n_input_tokens
            load -= CACHE_CREDIT_SLOTS * cached_part / (view.info.n_slots or 1)
        return load

    def _decide(self, pool: Pool, traffic: PoolTraffic, now_ms: int) -> None:
        """Decide the shares of a pool from the loads of all domains."""
        elapsed_ms = now_ms - (traffic.decided_at_ms or now_ms)
        traffic.decided_at_ms = now_ms
        if self.endpoints is None:
            return
        usable = self.endpoints.list_usable(pool, traffic.service_ms, now_ms)
        service_ms = traffic.service_ms = find_service_ms([v for v, _ in usable])
        traffic.update_outflow(min(1.0, elapsed_ms / service_ms))
        traffic.load_by_domain = measure_loads(
            traffic, usable, self.failure_domain, self.count_entries(), now_ms
        )
        traffic.cost = self.price.compute_cost(traffic.mean_bytes)
        slack_ms = SLACK_PART * traffic.objective_ms
        remote_slack_ms = max(0.0, slack_ms - self.price.round_trip_ms)
        slack_ratios = (slack_ms / service_ms, remote_slack_ms / service_ms)

        def decide(previous: ShareDecision, cost: float) -> ShareDecision:
            return self.decide(
                traffic.load_by_domain,
                self.failure_domain,
                previous,
                traffic.outflow_by_domain,
                cost,
                slack_ratios,
            )

        traffic.by_price = decide(traffic.by_price, traffic.cost)
        if traffic.highest_part or traffic.without_price.share_by_domain:
            traffic.without_price = decide(traffic.without_price, 0.0)
