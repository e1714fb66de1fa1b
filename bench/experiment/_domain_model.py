"""Simulation of entries and endpoints in several failure domains, in virtual time."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from bench.experiment._domain_loads import DOMAINS, DomainDay
from bench.experiment._domain_policies import MakeRouting
from bluebellusher_core.domain_traffic import TrafficPrice, estimate_bytes
from bluebellusher_core.events import (
    AttemptFinished,
    AttemptStarted,
    EndpointConnected,
    EndpointInfo,
    LoadReported,
    Priority,
    RequestSpec,
    Usage,
)
from bluebellusher_core.membership import Endpoints
from bluebellusher_core.routing import DomainAware

# Intervals of load reports to the entries of the own and of other domains, in ms.
LOCAL_REPORT_MS, REMOTE_REPORT_MS = 600, 2_400
# Delay of a message within a domain and between two, in ms.
LOCAL_MS, REMOTE_MS = 1, 2
# Duration of a pass of the group, and its increase per request on the fullest rank.
PASS_MS, PASS_MS_PER_RUN = 22.75, 10.9
N_PREFILL_PASSES, MEAN_EVENTS = 2, 19.2
PLAIN_SERVICE_MS = 250.0
# Interval at which waiting requests are placed again, in ms.
PLACEMENT_MS = 20
SERVICES = frozenset({"s"})


@dataclass(slots=True)
class _Caller:
    """A request of a caller and its result."""

    spec: RequestSpec
    entry: "_Entry"
    arrived_ms: int
    n_left: float
    n_prefill_left: int = 0
    endpoint: "_Endpoint | None" = None
    first_event_ms: int | None = None


@dataclass(slots=True, eq=False)
class _Endpoint:
    """An endpoint with its running and queued requests."""

    info: EndpointInfo
    running: list[_Caller] = field(default_factory=list)
    queued: list[_Caller] = field(default_factory=list)
    is_gone: bool = False


@dataclass(slots=True, eq=False)
class _Entry:
    """An entry with its queue."""

    domain: str
    endpoints: Endpoints
    policy: Any
    is_cut_off: bool
    waiting: list[_Caller] = field(default_factory=list)


@dataclass
class DayResult:
    """Counts of a simulated day.

    ``n_sent`` counts attempts by second, sending and receiving domain.
    """

    n_requests: int = 0
    n_on_time: int = 0
    n_late: int = 0
    n_lost: int = 0
    cost: float = 0.0
    n_sent: Counter[tuple[int, str, str]] = field(default_factory=Counter)

    @property
    def share_left(self) -> float:
        """Share of the attempts that were sent to another domain."""
        n_left = sum(n for (_, a, b), n in self.n_sent.items() if a != b)
        return n_left / max(1, self.n_sent.total())

    @property
    def share_mutual(self) -> float:
        """Share of the attempts that two domains sent to each other in one second."""
        n_mutual = 0
        for (second, a, b), n in self.n_sent.items():
            if a < b:
                n_mutual += 2 * min(n, self.n_sent[second, b, a])
        return n_mutual / max(1, self.n_sent.total())

    def list_shares(self, domain: str) -> list[float]:
        """Return the share that left a domain in each second."""
        seconds = sorted({second for second, _, _ in self.n_sent})
        shares = []
        for second in seconds:
            n_by_receiver = {d: self.n_sent[second, domain, d] for d in DOMAINS}
            n_all = sum(n_by_receiver.values())
            shares.append(1 - n_by_receiver[domain] / n_all if n_all else 0.0)
        return shares


def make_request(day: DomainDay, request_id: str, now_ms: int) -> RequestSpec:
    """Return a request of a day that arrives now."""
    return RequestSpec(
        request_id=request_id,
        customer_id="c",
        service_id="s",
        model="",
        adapter="",
        priority=Priority(day.priority),
        deadline_ms=now_ms + 8_100,
        is_idempotent=True,
        idempotency_key=None,
        fingerprint="",
        prefix_hashes=(),
        n_input_tokens=day.n_input_tokens,
        n_max_output_tokens=day.n_output_tokens,
        objective_at_ms=now_ms + day.objective_ms,
    )


class DomainModel:
    """Entries, callers and endpoints of three failure domains in virtual time.

    Parameters
    ----------
    day : DomainDay
        Load of the day.
    make_routing : callable
        Returns the routing policy of an entry.
    price : TrafficPrice
        Price of traffic between domains.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self, day: DomainDay, make_routing: MakeRouting, price: TrafficPrice, seed: int
    ) -> None:
        self.day, self.price = day, price
        self.now_ms = 0
        self.result = DayResult()
        # Arrivals and sizes are the same with all rules.
        self._arrivals = Random(seed)
        self._random = Random(f"choices {seed}")
        self._calls: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._n_calls = itertools.count()
        self._n_requests = itertools.count()
        self._sequence = itertools.count(1)
        self._n_bytes = estimate_bytes(day.n_input_tokens, day.n_output_tokens)
        self.endpoints = [
            self._make_endpoint(f"{domain}{i}", domain)
            for domain, n in zip(DOMAINS, day.n_endpoints, strict=True)
            for i in range(n)
        ]
        self.entries = [
            self._make_entry(i, make_routing, price) for i in range(day.n_entries)
        ]
        self._disturbed = False

    def _make_endpoint(self, endpoint_id: str, domain: str) -> _Endpoint:
        empty: frozenset[str] = frozenset()
        return _Endpoint(
            EndpointInfo(endpoint_id, domain, SERVICES, empty, empty, self.day.n_slots)
        )

    def _make_entry(
        self, index: int, make_routing: MakeRouting, price: TrafficPrice
    ) -> _Entry:
        domain = DOMAINS[index % len(DOMAINS)]
        endpoints = Endpoints(1_000, queue_factor=1.0)
        policy = make_routing(domain, price, self._n_bytes)
        if isinstance(policy, DomainAware):
            policy.endpoints = endpoints
            policy.count_entries = lambda: self.day.n_entries
        is_cut_off = index < self.day.cut_share * self.day.n_entries
        for endpoint in self.endpoints:
            if not is_cut_off or endpoint.info.failure_domain == domain:
                endpoints.connect(EndpointConnected(endpoint.info), 0)
        return _Entry(domain, endpoints, policy, is_cut_off)

    @property
    def _service_ms(self) -> float:
        """Mean time of a request when all slots are occupied."""
        if not self.day.is_group:
            return PLAIN_SERVICE_MS
        pass_ms = PASS_MS + PASS_MS_PER_RUN * self.day.n_slots
        return (N_PREFILL_PASSES + MEAN_EVENTS) * pass_ms

    def run(self) -> DayResult:
        """Simulate the day and return its result."""
        day = self.day
        n_slots = sum(day.n_endpoints) * day.n_slots
        rate = day.load * n_slots / self._service_ms / len(DOMAINS)
        for domain in DOMAINS:
            self._schedule_arrivals(domain, rate)
        for endpoint in self.endpoints if day.is_group else ():
            for interval_ms, is_local in ((LOCAL_REPORT_MS, 1), (REMOTE_REPORT_MS, 0)):
                interval_ms = int(interval_ms * day.report_factor)
                at_ms = self._random.randrange(interval_ms)
                self._call_at(at_ms, self._report, endpoint, interval_ms, is_local)
        self._call_at(0, self._place_all)
        if day.is_group:
            self._call_at(0, self._end_pass)
        end_ms = day.duration_ms + 4_000
        while self._calls and self.now_ms < end_ms:
            self.now_ms, _, action, args = heapq.heappop(self._calls)
            action(*args)
        return self.result

    def _call_at(self, at_ms: float, action: Callable[..., None], *args: Any) -> None:
        item = (max(self.now_ms, int(at_ms)), next(self._n_calls), action, args)
        heapq.heappush(self._calls, item)

    def _schedule_arrivals(self, domain: str, rate: float) -> None:
        """Draw the arrivals of a domain, by thinning of the highest rate."""
        day, random = self.day, self._arrivals
        entries = [e for e in self.entries if e.domain == domain]
        highest = (1 + day.swing) * max(1.0, day.burst_factor)
        at_ms = 0.0
        while True:
            at_ms += random.expovariate(rate * highest)
            if at_ms >= day.duration_ms:
                return
            if random.random() * highest < day.compute_demand(domain, at_ms):
                if day.is_group:
                    n_left = 1 + random.expovariate(1 / MEAN_EVENTS)
                else:
                    n_left = random.gammavariate(4, PLAIN_SERVICE_MS / 4)
                self._call_at(at_ms, self._arrive, random.choice(entries), n_left)

    def _arrive(self, entry: _Entry, n_left: float) -> None:
        request_id = f"r{next(self._n_requests)}"
        spec = make_request(self.day, request_id, self.now_ms)
        caller = _Caller(spec, entry, self.now_ms, n_left)
        self.result.n_requests += 1
        entry.waiting.append(caller)
        self._place(entry)

    def _place_all(self) -> None:
        """Place waiting requests, and apply the disturbance of the day."""
        is_disturbed = self.day.is_disturbed(self.now_ms)
        if is_disturbed != self._disturbed:
            self._disturbed = is_disturbed
            self._disturb(is_disturbed)
        for entry in self.entries:
            while entry.waiting and (
                self.now_ms - entry.waiting[0].arrived_ms > self.day.patience_ms
            ):
                entry.waiting.pop(0)
                self.result.n_lost += 1
            self._place(entry)
        self._call_at(self.now_ms + PLACEMENT_MS, self._place_all)

    def _disturb(self, is_disturbed: bool) -> None:
        """Remove or slow down the endpoints of a domain, or bring them back."""
        day = self.day
        for endpoint in self.endpoints:
            domain = endpoint.info.failure_domain
            n_slots = 1 if is_disturbed else day.n_slots
            endpoint.is_gone = domain == day.gone_domain and is_disturbed
            if domain == day.cold_domain:
                endpoint.info = replace(endpoint.info, n_slots=n_slots)
            if domain not in (day.gone_domain, day.cold_domain):
                continue
            for entry in self.entries:
                if entry.is_cut_off and entry.domain != domain:
                    continue
                if domain == day.cold_domain:
                    entry.endpoints.update_info(endpoint.info)
                elif is_disturbed:
                    entry.endpoints.remove(endpoint.info.endpoint_id, self.now_ms)
                else:
                    event = EndpointConnected(endpoint.info)
                    entry.endpoints.connect(event, self.now_ms)
            if endpoint.is_gone:
                self.result.n_lost += len(endpoint.running) + len(endpoint.queued)
                endpoint.running, endpoint.queued = [], []

    def _place(self, entry: _Entry) -> None:
        """Send waiting requests while endpoints have capacity."""
        while entry.waiting:
            views = entry.endpoints.views_with_capacity(("s", "", ""), self.now_ms)
            if not views:
                return
            caller = entry.waiting[0]
            chosen = entry.policy.choose(caller.spec, views, self.now_ms, self._random)
            if chosen is None:
                return
            del entry.waiting[0]
            self._send(caller, chosen)

    def _send(self, caller: _Caller, endpoint_id: str) -> None:
        entry = caller.entry
        (endpoint,) = (e for e in self.endpoints if e.info.endpoint_id == endpoint_id)
        receiver = endpoint.info.failure_domain
        request_id = caller.spec.request_id
        entry.endpoints.tracker.record_dispatch(
            request_id, endpoint_id, caller.spec, 0.0, self.now_ms
        )
        self.result.n_sent[self.now_ms // 1_000, entry.domain, receiver] += 1
        is_local = receiver == entry.domain
        if not is_local:
            self.result.cost += self.price.compute_cost(self._n_bytes)
        caller.endpoint = endpoint
        delay_ms = LOCAL_MS if is_local else REMOTE_MS
        self._call_at(self.now_ms + delay_ms, self._receive, caller)

    def _receive(self, caller: _Caller) -> None:
        """Start or queue a request at its endpoint."""
        endpoint = caller.endpoint
        assert endpoint is not None
        if endpoint.is_gone:
            self.result.n_lost += 1
            return
        endpoint.queued.append(caller)
        self._fill(endpoint)

    def _fill(self, endpoint: _Endpoint) -> None:
        while endpoint.queued and len(endpoint.running) < endpoint.info.n_slots:
            caller = endpoint.queued.pop(0)
            caller.n_prefill_left = N_PREFILL_PASSES
            endpoint.running.append(caller)
            if not self.day.is_group:
                self._call_at(self.now_ms + caller.n_left, self._finish, caller)

    def _end_pass(self) -> None:
        """Advance all ranks by a pass, whose duration the fullest rank determines."""
        for endpoint in self.endpoints:
            for caller in list(endpoint.running):
                if caller.n_prefill_left:
                    caller.n_prefill_left -= 1
                    continue
                if caller.first_event_ms is None:
                    self._start(caller)
                caller.n_left -= 1
                if caller.n_left <= 0:
                    self._finish(caller)
            self._fill(endpoint)
        n_most = max(len(e.running) for e in self.endpoints)
        self._call_at(self.now_ms + PASS_MS + PASS_MS_PER_RUN * n_most, self._end_pass)

    def _start(self, caller: _Caller) -> None:
        caller.first_event_ms = self.now_ms
        is_on_time = self.now_ms - caller.arrived_ms <= self.day.objective_ms
        self.result.n_on_time += is_on_time
        self.result.n_late += not is_on_time
        started = AttemptStarted(caller.spec.request_id)
        caller.entry.endpoints.tracker.apply(started, self.now_ms)

    def _finish(self, caller: _Caller) -> None:
        endpoint = caller.endpoint
        assert endpoint is not None
        if caller not in endpoint.running:
            return
        if caller.first_event_ms is None:
            self._start(caller)
        endpoint.running.remove(caller)
        finished = AttemptFinished(caller.spec.request_id, 200, 1, Usage())
        caller.entry.endpoints.tracker.apply(finished, self.now_ms)
        self._fill(endpoint)
        self._place(caller.entry)

    def _report(self, endpoint: _Endpoint, interval_ms: int, is_local: bool) -> None:
        """Send a load report to the entries of the own domain or of the others."""
        empty: frozenset[str] = frozenset()
        info = endpoint.info
        if not endpoint.is_gone:
            report = LoadReported(
                info.endpoint_id,
                next(self._sequence),
                len(endpoint.running),
                len(endpoint.queued),
                0,
                info.n_slots,
                0.0,
                empty,
                empty,
                0,
            )
            for entry in self.entries:
                is_near = entry.domain == info.failure_domain
                if is_near == bool(is_local):
                    entry.endpoints.record_load_report(report, self.now_ms)
        self._call_at(
            self.now_ms + interval_ms, self._report, endpoint, interval_ms, is_local
        )
