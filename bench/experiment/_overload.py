"""Simulation of overloaded ranks with pass times that follow an engine's model."""

from dataclasses import dataclass, field, replace
from random import Random

from bench.experiment._callers import Caller, CallerResult
from bench.experiment._model import LATENCY_MS, ClosedGroupModel, _Entry, _Rank, _Run
from bench.experiment._overload_settings import OverloadLoad
from bench.experiment._policies import Policy
from bluebellusher_core.directory import EngineModel
from bluebellusher_core.effects import Dispatch
from bluebellusher_core.errors import Reason, Rejection
from bluebellusher_core.events import (
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    EndpointInfo,
    EndpointProgressed,
    EndpointRegistered,
    LoadReported,
    PeersConnected,
    Priority,
    RequestSpec,
    Usage,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.routing import SlotAware

N_DOMAINS = 3
# Intervals of the load reports to entries of the rank's domain and of other domains.
REPORT_INTERVAL_MS = 600
REMOTE_REPORT_FACTOR = 4
# Shortest interval between two reported events of one attempt, in ms.
PROGRESS_INTERVAL_MS = 50
# Interval at which the imbalance of the experts changes, in ms.
SKEW_INTERVAL_MS = 500
# Sets of layers; in each of them, the pass waits for the most loaded rank.
N_LAYER_SETS = 12


@dataclass(slots=True)
class OverloadCaller(Caller):
    """A caller with its kind, its customer and the longest gap that it has seen."""

    kind: int = 0
    customer_id: str = ""
    n_prompt_tokens: int = 0
    worth: float = 1.0
    late_share: float = 0.5
    longest_gap_ms: int = 0
    n_rejections: int = 0

    @property
    def value(self) -> float:
        """Value of the answer to the caller."""
        if self.result is CallerResult.LOST:
            return 0.0
        is_late = self.result is CallerResult.LATE
        return self.worth * (self.late_share if is_late else 1.0)


@dataclass(slots=True)
class OverloadRun(_Run):
    """An attempt at a rank, with the prompt tokens that are still to be read."""

    n_tokens_left: int = 0
    is_read_now: bool = False
    last_event_ms: int = 0
    progressed_at_ms: int = 0


@dataclass(slots=True)
class Counts:
    """Numbers of attempts that arrived at ranks and were refused there as full."""

    n_arrived: int = 0
    n_refused: int = 0
    pass_ms: list[int] = field(default_factory=list)


class OverloadModel(ClosedGroupModel):
    """Entries, callers of several kinds and one group of ranks in virtual time.

    A pass lasts as long as that of the slowest rank, by the model of the engine and an
    imbalance of the experts that changes over time. A rank refuses attempts that
    exceed its slots. Entries receive the load reports of their own failure domain four
    times as often as the others.

    Parameters
    ----------
    load : OverloadLoad
        Load of the day.
    policy : Policy
        Mechanisms of the entries.
    seed : int
        Seed of all random choices.
    """

    load: OverloadLoad

    def __init__(self, load: OverloadLoad, policy: Policy, seed: int) -> None:
        self.counts = Counts()
        self.engine = load.make_engine()
        self._skew_random = Random(f"skew{seed}")
        self._skew = 1.0
        self._skew_until_ms = 0
        super().__init__(load, policy, seed)
        self._connect_peers()

    def _connect_peers(self) -> None:
        for entry in self.entries:
            others = [e for e in self.entries if e is not entry]
            event = PeersConnected(
                frozenset(e.state.config.entry_id for e in others),
                frozenset(
                    e.state.config.entry_id
                    for e in others
                    if e.index % N_DOMAINS == entry.index % N_DOMAINS
                ),
            )
            reduce(entry.state, event, self.now_ms)

    def _draw_callers(self) -> list[Caller]:
        """Return the callers of one day, in the order of their first attempts."""
        load, random_state = self.load, self._random
        callers: list[Caller] = []
        shares = [kind.share for kind in load.kinds]
        at_ms = 0.0
        peak_rate = load.callers_per_s * max(1.0, load.burst_factor)
        while True:
            at_ms += random_state.expovariate(peak_rate / 1_000)
            if at_ms >= load.duration_ms:
                return callers
            (index,) = random_state.choices(range(len(shares)), shares)
            is_burst = load.is_burst(at_ms)
            in_burst = is_burst and (not load.burst_kinds or index in load.burst_kinds)
            factor = load.burst_factor if in_burst else 1.0
            if random_state.random() * peak_rate >= load.callers_per_s * factor:
                continue
            callers.append(self._draw_caller(index, at_ms, is_burst, len(callers)))

    def _draw_caller(
        self, index: int, at_ms: float, is_burst: bool, number: int
    ) -> OverloadCaller:
        load, random_state = self.load, self._random
        kind = load.kinds[index]
        n_events = random_state.lognormvariate(0.0, 0.65) * load.n_events * 0.81
        customer = random_state.randrange(load.n_customers)
        if is_burst and random_state.random() < load.large_customer_share:
            customer = 0
        n_tokens = random_state.lognormvariate(0.0, 0.65) * load.n_prompt_tokens * 0.81
        if is_burst and random_state.random() < load.long_prompt_share:
            n_tokens *= load.long_prompt_factor
        return OverloadCaller(
            f"c{number}",
            int(at_ms),
            int(at_ms + random_state.uniform(*load.deadline_range_ms)),
            max(1, min(int(n_events), int(2.5 * load.n_events))),
            kind=index,
            customer_id=f"k{customer}",
            n_prompt_tokens=max(1, int(n_tokens)),
            worth=kind.worth,
            late_share=kind.late_share,
        )

    def _make_state(self, config: EntryConfig) -> EntryState:
        policy = self._policy
        domain = f"d{int(config.entry_id[1:]) % N_DOMAINS}"
        config = replace(config, failure_domain=domain)
        state = EntryState.from_config(config, SlotAware(domain), policy.make_queue)
        policy.configure(state, self.engine, self.load.max_gap_ms)
        return state

    def _start_entry(self, index: int) -> _Entry:
        entry = super()._start_entry(index)
        names = frozenset({"s"}), frozenset[str](), frozenset[str]()
        for i, rank in enumerate(self.ranks):
            info = EndpointInfo(
                rank.endpoint_id, f"d{i % N_DOMAINS}", *names, self.load.n_slots, 1
            )
            reduce(entry.state, EndpointRegistered(info), self.now_ms)
        return entry

    def _restart_entries(self) -> None:
        super()._restart_entries()
        self._connect_peers()

    def _make_spec(self, caller: Caller, patience_ms: int) -> RequestSpec:
        assert isinstance(caller, OverloadCaller)
        kind = self.load.kinds[caller.kind]
        return RequestSpec(
            request_id=caller.request_id,
            customer_id=caller.customer_id,
            service_id="s",
            model="",
            adapter="",
            priority=Priority(kind.priority),
            deadline_ms=caller.deadline_ms,
            is_idempotent=True,
            idempotency_key=None,
            fingerprint=caller.caller_id,
            prefix_hashes=(),
            n_input_tokens=caller.n_prompt_tokens,
            n_max_output_tokens=caller.n_events * self.engine.n_steps_per_pass,
            n_max_attempts=2,
            objective_at_ms=self.now_ms + kind.objective_ms,
            start_by_ms=min(caller.deadline_ms, self.now_ms + patience_ms),
            caller_deadline_ms=caller.deadline_ms,
            can_resume_elsewhere=True,
        )

    def _reject(self, request_id: str, caller: Caller, rejection: Rejection) -> None:
        assert isinstance(caller, OverloadCaller)
        caller.n_rejections += caller.request_id == request_id
        if self.load.retries_at_once and caller.request_id == request_id:
            self._retry(caller, LATENCY_MS)
            return
        super()._reject(request_id, caller, rejection)

    def _complete(self, request_id: str, caller: Caller) -> None:
        """Deliver the end of an answer, which is late after one long gap, too."""
        assert isinstance(caller, OverloadCaller)
        if caller.request_id != request_id or self.now_ms > caller.deadline_ms:
            return
        objective_ms = self.load.kinds[caller.kind].objective_ms
        is_on_time = (
            caller.first_event_ms <= caller.first_sent_ms + objective_ms
            and caller.longest_gap_ms <= self.load.max_gap_ms
        )
        caller.result = CallerResult.ON_TIME if is_on_time else CallerResult.LATE
        caller.request_id = ""

    def _arrive(self, entry: _Entry, dispatch: Dispatch) -> None:
        """Queue an attempt at its rank; refuse it when the rank is full or closed."""
        attempt_id, endpoint_id = dispatch.attempt_id, dispatch.endpoint_id
        if not entry.is_alive or attempt_id not in entry.state.attempt_by_id:
            return
        self.counts.n_arrived += 1
        rank = self.ranks[int(endpoint_id[1:])]
        is_full = len(rank.running) + len(rank.queued) >= self.load.n_slots
        if not self._is_open or is_full:
            self.counts.n_refused += is_full
            closed, full = Reason.ENDPOINTS_CLOSED, Reason.ENDPOINT_FULL
            reason = full if self._is_open else closed
            event = AttemptRefused(attempt_id, reason, 0, endpoint_id, True)
            self._handle(entry, event)
            return
        caller = entry.caller_by_request_id[dispatch.request_id]
        assert isinstance(caller, OverloadCaller)
        n_passes_left = max(1, caller.n_events - caller.n_received)
        run = OverloadRun(entry, attempt_id, caller, n_passes_left, n_tokens_left=0)
        run.n_tokens_left = caller.n_prompt_tokens
        rank.queued.append(run)
        self._schedule_pass()

    def _schedule_pass(self) -> None:
        """Schedule the end of the next pass when there is work."""
        if self._is_pass_scheduled or self._is_stopped:
            return
        for rank in self.ranks:
            while rank.queued and len(rank.running) < self.load.n_slots:
                rank.running.append(rank.queued.pop(0))
        if not any(rank.running for rank in self.ranks):
            return
        self._is_pass_scheduled = True
        self._step += 1
        longest_ms = max(
            self._read_prompts(rank) * self.load.get_pace(i, self.now_ms)
            for i, rank in enumerate(self.ranks)
        )
        pass_ms = int(longest_ms * self._expert_factor())
        self.counts.pass_ms.append(pass_ms)
        self._call_at(self.now_ms + pass_ms, self._end_pass, self._epoch)

    def _expert_factor(self) -> float:
        if self.now_ms >= self._skew_until_ms:
            bounds = self.load.skew_range
            draws = [self._skew_random.uniform(*bounds) for _ in range(N_LAYER_SETS)]
            self._skew = sum(draws) / N_LAYER_SETS
            if self.load.is_burst(self.now_ms):
                self._skew *= self.load.burst_skew_factor
            self._skew_until_ms = self.now_ms + SKEW_INTERVAL_MS
        return 1 + self.load.expert_share * (self._skew - 1)

    def _read_prompts(self, rank: _Rank) -> float:
        """Read prompts at a rank in the next pass; return its duration in ms."""
        engine = self.engine
        n_steps = engine.n_steps_per_pass
        n_tokens_free = n_steps * engine.n_chunk_tokens
        step_ms, read_ms = engine.step_ms, 0.0
        for run in rank.running:
            assert isinstance(run, OverloadRun)
            caller = run.caller
            assert isinstance(caller, OverloadCaller)
            run.is_read_now = run.n_tokens_left > 0
            if not run.is_read_now:
                context = caller.n_prompt_tokens + caller.n_received * n_steps
                step_ms += engine.sequence_ms
                step_ms += engine.context_ms_per_1000 * context / 1_000
                continue
            n_tokens = min(run.n_tokens_left, n_tokens_free)
            n_tokens_free -= n_tokens
            n_earlier = caller.n_prompt_tokens - run.n_tokens_left
            run.n_tokens_left -= n_tokens
            n_pairs = n_tokens * (n_earlier + n_tokens / 2)
            read_ms += n_tokens / engine.prefill_tokens_per_ms
            read_ms += self.load.pair_ms * n_pairs / 1e6
        return n_steps * step_ms + read_ms

    def _advance(self, rank: _Rank, run: _Run) -> None:
        """Advance one run by a pass; report its progress to its entry."""
        assert isinstance(run, OverloadRun)
        caller = run.caller
        assert isinstance(caller, OverloadCaller)
        if run.is_read_now or run.n_tokens_left > 0:
            return
        now_ms = self.now_ms
        caller.n_received += 1
        if caller.first_event_ms:
            gap_ms = now_ms - caller.last_event_ms
            caller.longest_gap_ms = max(caller.longest_gap_ms, gap_ms)
        caller.last_event_ms = now_ms
        caller.first_event_ms = caller.first_event_ms or now_ms
        if not run.last_event_ms:
            self._handle(run.entry, AttemptStarted(run.attempt_id, rank.endpoint_id))
        elif now_ms - run.progressed_at_ms >= PROGRESS_INTERVAL_MS:
            run.progressed_at_ms = now_ms
            gap_ms = now_ms - run.last_event_ms
            self._handle(run.entry, EndpointProgressed(rank.endpoint_id, gap_ms))
        run.last_event_ms = now_ms
        run.n_passes_left -= 1
        if run.n_passes_left <= 0 and run in rank.running:
            rank.running.remove(run)
            event = AttemptFinished(run.attempt_id, 200, 1, Usage(), rank.endpoint_id)
            self._handle(run.entry, event)

    def _report(self) -> None:
        """Send load reports; those to other domains are sent less often."""
        n_rounds = self.now_ms // REPORT_INTERVAL_MS
        for i, rank in enumerate(self.ranks):
            report = LoadReported(
                endpoint_id=rank.endpoint_id,
                sequence=next(self._n_reports),
                n_running=len(rank.running),
                n_queued=len(rank.queued),
                n_queued_tokens=0,
                n_slots=self.load.n_slots,
                kv_use=0.0,
                models=frozenset(),
                adapters=frozenset(),
                age_ms=0,
                is_open=self._is_open,
                group_id="g",
                epoch=self._epoch,
                step=self._step,
                pace=self.load.get_pace(i, self.now_ms),
            )
            for entry in self.entries:
                is_local = entry.index % N_DOMAINS == i % N_DOMAINS
                if is_local or n_rounds % REMOTE_REPORT_FACTOR == i % 4:
                    self._handle(entry, report)
        self._call_at(self.now_ms + REPORT_INTERVAL_MS, self._report)


def compute_capacity_per_s(load: OverloadLoad, engine: EngineModel) -> float:
    """Return the highest rate of answers whose gaps are kept, from the mean figures.

    The rate counts full ranks at every moment, mean answers and prompts, and the mean
    imbalance of the experts. The number of requests at a rank is the largest one with
    which a pass that reads as much of a prompt as possible is within the allowed gap.
    """
    best = 0.0
    skew = sum(load.skew_range) / 2
    factor = 1 + load.expert_share * (skew - 1)
    context_ms = engine.context_ms_per_1000 * load.n_prompt_tokens / 1_000
    n_most_read = engine.n_steps_per_pass * engine.n_chunk_tokens
    n_passes = load.n_events + 1
    for n in range(1, load.n_slots + 1):
        step_ms = engine.step_ms + (n - 1) * (engine.sequence_ms + context_ms)
        longest_ms = engine.n_steps_per_pass * step_ms
        longest_ms += n_most_read / engine.prefill_tokens_per_ms
        if longest_ms * factor > load.max_gap_ms:
            break
        step_ms += engine.sequence_ms + context_ms
        prompt_ms = load.n_prompt_tokens / engine.prefill_tokens_per_ms
        pass_ms = engine.n_steps_per_pass * step_ms + prompt_ms * n / n_passes
        pass_ms *= factor
        best = max(best, 1_000 * n * load.n_ranks / (pass_ms * n_passes))
    return best
