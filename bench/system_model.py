"""Simulation of four entries and twelve engines in virtual time, in milliseconds."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from bench.engine_model import N_SLOTS, PREFILL_TOKENS_PER_MS, Engine, Job
from bluebellusher_core.admission import AdmissionQueue
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptStarted,
    CacheReported,
    EndpointConnected,
    EndpointInfo,
    EndpointLost,
    LoadReported,
    Usage,
)
from bluebellusher_core.routing import (
    EndpointTracker,
    PredictedLatency,
    RoutingPolicy,
)

N_ENTRIES = 4
N_ENGINES = 12
DOMAINS = ("north", "middle", "south")
REPORT_PERIOD_MS = 250.0
CACHE_REPORT_PERIOD_MS = 1_000.0
CACHE_REPORT_DELAY_MS = 1_000.0
# On average one of ``CACHE_REPORT_LOSS`` cache reports is lost. The next report of that
# engine has the gap flag.
CACHE_REPORT_LOSS = 20
# Time from the loss of an engine until its connection is closed as unresponsive.
LOSS_DETECTION_MS = 2_000.0
ONE_WAY_LOCAL_MS = 0.2
ONE_WAY_REMOTE_MS = 1.0


@dataclass(frozen=True, slots=True)
class OraclePolicy:
    """Policy that uses the actual current state of every engine.

    An oracle that only minimizes time to first token fills the caches with duplicates
    and evicts the prefixes that later requests need. To counter that, ``load_ms``
    milliseconds are added for each request of the engine.
    """

    load_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Conditions of one simulation.

    ``fault`` is ``none``, ``slow``, ``frozen`` or ``lost``, and affects the first
    engine from ``fault_at_ms`` on.
    """

    fault: str = "none"
    report_lag_ms: float = 0.0
    fault_at_ms: float = 15_000.0
    end_ms: float = 60_000.0


@dataclass(slots=True, eq=False)
class Entry:
    """State of one entry: queue, policy, endpoint tracker and jobs in progress.

    ``service_ms`` is the smoothed time of a request at an engine. The tracker gets the
    predictions of ``predictor`` under every policy.
    """

    index: int
    failure_domain: str
    queue: AdmissionQueue
    policy: RoutingPolicy | OraclePolicy
    random_state: Random
    tracker: EndpointTracker = field(default_factory=EndpointTracker)
    job_by_attempt: dict[str, Job] = field(default_factory=dict)
    job_by_request: dict[str, Job] = field(default_factory=dict)
    deadlines: list[tuple[int, str]] = field(default_factory=list)
    service_ms: float = 0.0
    predictor: PredictedLatency = field(
        default_factory=lambda: PredictedLatency(
            prefill_tokens_per_ms=PREFILL_TOKENS_PER_MS
        )
    )


class System:
    """Event-driven simulation of all entries and engines.

    Parameters
    ----------
    scenario : Scenario
        Fault, report lag and length.
    make_queue : callable
        Creates the admission queue of an entry.
    make_policy : callable
        Creates the routing policy of an entry from its failure domain.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self,
        scenario: Scenario,
        make_queue: Callable[[], AdmissionQueue],
        make_policy: Callable[[str], RoutingPolicy | OraclePolicy],
        seed: int,
    ) -> None:
        self.scenario = scenario
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._n_events = 0
        self._n_attempts = 0
        self._sequence = 0
        self._cache_random = Random(seed + 1)
        self._engine_ids_with_gap: set[str] = set()
        self.engines = [
            Engine(f"engine-{i:02}", DOMAINS[i % len(DOMAINS)])
            for i in range(N_ENGINES)
        ]
        self.engine_by_id = {engine.engine_id: engine for engine in self.engines}
        self.entries = []
        for index in range(N_ENTRIES):
            domain = DOMAINS[index % len(DOMAINS)]
            random_state = Random(seed * 100 + index)
            policy = make_policy(domain)
            entry = Entry(index, domain, make_queue(), policy, random_state)
            self.entries.append(entry)
            self._connect(entry)
        self.skews: list[float] = []

    def run(self, jobs: list[Job]) -> None:
        """Run the arrivals, the periodic reports and the fault until ``end_ms``."""
        for job in jobs:
            self._call_at(job.arrived_at, self._offer_request, job)
        self._call_at(self.scenario.fault_at_ms, self._apply_fault)
        self._call_at(REPORT_PERIOD_MS, self._run_periodic_tasks)
        self._call_at(CACHE_REPORT_PERIOD_MS, self._report_caches)
        while self._events and self._events[0][0] <= self.scenario.end_ms:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _call_at(
        self, time: float, action: Callable[..., None], *arguments: object
    ) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (time, self._n_events, action, arguments))

    def _connect(self, entry: Entry) -> None:
        for engine in self.engines:
            names = frozenset({"chat"}), frozenset({"model"}), frozenset[str]()
            info = EndpointInfo(
                engine.engine_id, engine.failure_domain, *names, n_slots=N_SLOTS
            )
            entry.tracker.apply(EndpointConnected(info), now_ms=0)

    def _offer_request(self, job: Job) -> None:
        entry = self.entries[job.entry_index]
        if entry.queue.offer(job.request, int(self.now)) is not None:
            job.outcome = "rejected"
            return
        entry.job_by_request[job.request.request_id] = job
        self._dispatch_waiting(entry)

    def _dispatch_waiting(self, entry: Entry) -> None:
        """Dispatch waiting requests until the policy chooses no endpoint.

        Expired requests are removed first.
        """
        if not len(entry.queue):
            return
        now_ms = int(self.now)
        for expired, _ in entry.queue.expire(now_ms):
            entry.job_by_request.pop(expired.request_id).outcome = "expired"
        while True:
            request = entry.queue.dequeue(now_ms)
            if request is None:
                return
            job = entry.job_by_request[request.request_id]
            engine_id = self._choose(entry, job, now_ms)
            if engine_id is None:
                entry.queue.requeue(request, now_ms)
                return
            self._dispatch(entry, job, engine_id, now_ms)

    def _choose(self, entry: Entry, job: Job, now_ms: int) -> str | None:
        if isinstance(entry.policy, OraclePolicy):
            return self._choose_as_oracle(entry, job, entry.policy.load_ms)
        views = list(entry.tracker.view_by_id.values())
        if not isinstance(entry.policy, PredictedLatency):
            # The baseline policies have no limit on dispatches, so that an entry keeps
            # at most one batch of its own requests at an endpoint.
            views = [view for view in views if view.n_own_in_flight < N_SLOTS]
        random_state = entry.random_state
        return entry.policy.choose(job.request, views, now_ms, random_state)

    def _choose_as_oracle(self, entry: Entry, job: Job, load_ms: float) -> str | None:
        best_id, best_ms = None, float("inf")
        for engine in self.engines:
            if engine.is_lost or engine.speed <= 0:
                continue
            if engine.n_running + len(engine.queue) >= N_SLOTS:
                continue
            engine.advance(self.now)
            n_tokens = engine.remaining_prefill_tokens if engine.prefills else 0.0
            for waiting_job in list(engine.prefills)[1:]:
                n_tokens += engine.uncached_tokens(waiting_job.request)
            n_tokens += engine.uncached_tokens(job.request)
            ttft_ms = n_tokens / PREFILL_TOKENS_PER_MS / engine.speed
            ttft_ms += 2 * _one_way_ms(entry, engine)
            ttft_ms += load_ms * (engine.n_running + len(engine.queue))
            if ttft_ms < best_ms:
                best_id, best_ms = engine.engine_id, ttft_ms
        return best_id

    def _dispatch(self, entry: Entry, job: Job, engine_id: str, now_ms: int) -> None:
        self._n_attempts += 1
        job.attempt_id = f"a{self._n_attempts}"
        job.dispatched_at = self.now
        view = entry.tracker.view_by_id[engine_id]
        predicted_ms = entry.predictor.predict_normal_ms(job.request, view, now_ms)
        entry.tracker.record_dispatch(
            job.attempt_id, engine_id, job.request, predicted_ms, now_ms
        )
        entry.job_by_attempt[job.attempt_id] = job
        heapq.heappush(entry.deadlines, (job.request.deadline_ms, job.attempt_id))
        engine = self.engine_by_id[engine_id]
        engine.advance(self.now)
        engine.submit(job)
        self._schedule_engine(engine)

    def _schedule_engine(self, engine: Engine) -> None:
        engine.version += 1
        time = engine.next_event_at()
        if time is not None:
            self._call_at(
                max(time, self.now), self._advance_engine, engine, engine.version
            )

    def _advance_engine(self, engine: Engine, version: int) -> None:
        if engine.version != version:
            return
        engine.advance(self.now)
        started_job = engine.finish_prefill()
        if started_job is not None:
            self._record_first_token(started_job)
        has_finished = False
        while (finished_job := engine.finish_decode()) is not None:
            has_finished = True
            self._record_completion(finished_job)
        self._schedule_engine(engine)
        if has_finished and isinstance(self.entries[0].policy, OraclePolicy):
            first_index = int(self.now) % N_ENTRIES
            for offset in range(N_ENTRIES):
                self._dispatch_waiting(self.entries[(first_index + offset) % N_ENTRIES])

    def _record_first_token(self, job: Job) -> None:
        entry = self.entries[job.entry_index]
        assert job.engine is not None
        # The first token is produced by the step after the prefill.
        step_ms = job.engine.step_ms() / job.engine.speed
        job.first_token_at = self.now + step_ms + 2 * _one_way_ms(entry, job.engine)
        entry.tracker.apply(AttemptStarted(job.attempt_id), int(self.now))

    def _record_completion(self, job: Job) -> None:
        entry = self.entries[job.entry_index]
        job.finished_at = self.now
        job.outcome = "completed"
        event = AttemptFinished(job.attempt_id, 200, 0, Usage())
        entry.tracker.apply(event, int(self.now))
        del entry.job_by_attempt[job.attempt_id]
        del entry.job_by_request[job.request.request_id]
        self._observe_service(entry, job)
        self._dispatch_waiting(entry)

    def _observe_service(self, entry: Entry, job: Job) -> None:
        service_ms = job.finished_at - job.dispatched_at
        entry.service_ms = entry.service_ms or service_ms
        entry.service_ms += 0.05 * (service_ms - entry.service_ms)
        n_in_flight = max(1, len(entry.job_by_attempt) + 1)
        entry.queue.observe_service(n_in_flight, max(1.0, entry.service_ms))

    def _run_periodic_tasks(self) -> None:
        """Send load reports, cancel overdue attempts and record the skew."""
        self._call_at(self.now + REPORT_PERIOD_MS, self._run_periodic_tasks)
        self._sequence += 1
        reports = []
        for engine in self.engines:
            if not engine.is_lost:
                engine.advance(self.now)
                reports.append(self._read_load(engine))
        lag_ms = self.scenario.report_lag_ms
        self._call_at(self.now + lag_ms, self._deliver_loads, reports)
        for entry in self.entries:
            self._cancel_overdue(entry)
            self._dispatch_waiting(entry)
        self._record_skew()

    def _read_load(self, engine: Engine) -> LoadReported:
        # A frozen engine still has load reports: its agent repeats the last state.
        return LoadReported(
            endpoint_id=engine.engine_id,
            sequence=self._sequence,
            n_running=engine.n_running,
            n_queued=len(engine.queue),
            n_queued_tokens=engine.n_queued_tokens,
            n_slots=N_SLOTS,
            kv_use=engine.n_running / N_SLOTS,
            models=frozenset(),
            adapters=frozenset(),
            age_ms=int(self.scenario.report_lag_ms),
        )

    def _deliver_loads(self, reports: list[LoadReported]) -> None:
        for entry in self.entries:
            for report in reports:
                entry.tracker.apply(report, int(self.now))
            self._dispatch_waiting(entry)

    def _cancel_overdue(self, entry: Entry) -> None:
        while entry.deadlines and entry.deadlines[0][0] <= self.now:
            attempt_id = heapq.heappop(entry.deadlines)[1]
            job = entry.job_by_attempt.pop(attempt_id, None)
            if job is None or job.attempt_id != attempt_id:
                continue
            del entry.job_by_request[job.request.request_id]
            job.outcome = "late"
            entry.tracker.record_cancel(attempt_id, int(self.now))
            assert job.engine is not None
            if not job.engine.is_lost:
                job.engine.advance(self.now)
                job.engine.cancel(job)
                self._schedule_engine(job.engine)

    def _record_skew(self) -> None:
        connected_engines = [engine for engine in self.engines if not engine.is_lost]
        loads = [engine.n_running + len(engine.queue) for engine in connected_engines]
        if self.now >= self.scenario.fault_at_ms and any(loads):
            self.skews.append(max(loads) * len(loads) / sum(loads))

    def _report_caches(self) -> None:
        self._call_at(self.now + CACHE_REPORT_PERIOD_MS, self._report_caches)
        events = []
        for engine in self.engines:
            added, removed = tuple(engine.added), tuple(engine.removed)
            engine.added.clear()
            engine.removed.clear()
            if engine.is_lost or not (added or removed):
                continue
            if self._cache_random.randrange(CACHE_REPORT_LOSS) == 0:
                self._engine_ids_with_gap.add(engine.engine_id)
                continue
            has_gap = engine.engine_id in self._engine_ids_with_gap
            self._engine_ids_with_gap.discard(engine.engine_id)
            events.append(CacheReported(engine.engine_id, added, removed, has_gap))
        self._call_at(self.now + CACHE_REPORT_DELAY_MS, self._deliver_caches, events)

    def _deliver_caches(self, events: list[CacheReported]) -> None:
        for entry in self.entries:
            for event in events:
                entry.tracker.apply(event, int(self.now))

    def _apply_fault(self) -> None:
        """Apply the fault to the first engine."""
        engine = self.engines[0]
        engine.advance(self.now)
        fault = self.scenario.fault
        if fault == "slow":
            engine.speed = 1 / 3
        elif fault == "frozen":
            engine.speed = 0.0
        elif fault == "lost":
            engine.is_lost = True
            for entry in self.entries:
                is_instant = isinstance(entry.policy, OraclePolicy)
                delay_ms = 0.0 if is_instant else LOSS_DETECTION_MS
                self._call_at(self.now + delay_ms, self._detect_loss, entry, engine)
        self._schedule_engine(engine)

    def _detect_loss(self, entry: Entry, engine: Engine) -> None:
        """Requeue requests without a first token; fail those with a broken answer."""
        for attempt_id, job in list(entry.job_by_attempt.items()):
            if job.engine is not engine:
                continue
            del entry.job_by_attempt[attempt_id]
            reason = Reason.ENDPOINT_LOST
            event = AttemptBroken(attempt_id, reason, 0, is_resumable=False)
            entry.tracker.apply(event, int(self.now))
            if job.first_token_at < 0:
                entry.queue.requeue(job.request, int(self.now))
            else:
                del entry.job_by_request[job.request.request_id]
                job.outcome = "broken"
        entry.tracker.apply(EndpointLost(engine.engine_id), int(self.now))
        self._dispatch_waiting(entry)


def _one_way_ms(entry: Entry, engine: Engine) -> float:
    is_local = entry.failure_domain == engine.failure_domain
    return ONE_WAY_LOCAL_MS if is_local else ONE_WAY_REMOTE_MS
