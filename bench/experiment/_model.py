"""Simulation of entries before a group of ranks that closes, in virtual time."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bench.experiment._callers import (
    MAX_PAUSE_SHARE,
    N_MAX_TRIES,
    Caller,
    CallerResult,
    draw_callers,
)
from bench.experiment._policies import Policy
from bench.experiment._settings import Load
from bluebellusher_core.effects import (
    BroadcastEnded,
    CancelAttempt,
    Complete,
    Dispatch,
    Reject,
    SetTimer,
)
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    CallerDisconnected,
    EndedReceived,
    EndpointInfo,
    EndpointRegistered,
    EntriesCounted,
    Event,
    LoadReported,
    Priority,
    RequestArrived,
    RequestSpec,
    TimerFired,
    Usage,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce

# Interval of the load reports of the ranks, in ms.
REPORT_INTERVAL_MS = 200
# Passes before the first event of a run, in which its prompt is read.
N_PREFILL_PASSES = 2
# Time until a caller retries after a broken connection, in ms.
RECONNECT_MS = 50
# Time that killed entries need until they accept requests again, in ms.
RESTART_MS = 600
LATENCY_MS = 1
GROUP_ID = "g"


@dataclass(slots=True)
class _Run:
    """An attempt at a rank."""

    entry: "_Entry"
    attempt_id: str
    caller: Caller
    n_passes_left: int
    n_prefill_left: int = N_PREFILL_PASSES


@dataclass(slots=True)
class _Rank:
    """A rank with its running and its queued attempts."""

    endpoint_id: str
    running: list[_Run] = field(default_factory=list)
    queued: list[_Run] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Entry:
    """One start of an entry and its requests."""

    index: int
    state: EntryState
    caller_by_request_id: dict[str, Caller] = field(default_factory=dict)
    is_alive: bool = True


class ClosedGroupModel:
    """Entries, callers and one group of ranks in virtual time.

    Every entry runs the reducer with its own admission queue. The group makes passes in
    lock-step. When it closes, it makes no pass, its ranks report that after
    ``stall_ms``, attempts that had started break and others are refused.

    Parameters
    ----------
    load : Load
        Load of the day.
    policy : Policy
        Mechanisms of the entries.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, load: Load, policy: Policy, seed: int) -> None:
        self.load = load
        self.now_ms = 0
        self._policy = policy
        self._random = Random(seed)
        self._calls: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._n_calls = itertools.count()
        self._n_requests = itertools.count(1)
        self._n_starts = itertools.count(1)
        self._n_reports = itertools.count(1)
        self.ranks = [_Rank(f"x{i}") for i in range(load.n_ranks)]
        self.callers = self._draw_callers()
        self.closures = self._draw_closures()
        self._is_stopped = False
        self._is_open = True
        self._is_pass_scheduled = False
        self._epoch = 1
        self._step = 0
        self.entries = [self._start_entry(i) for i in range(len(load.entry_shares))]
        for caller in self.callers:
            self._call_at(caller.first_sent_ms, self._send, caller)
        self._schedule_closures()
        self._report()

    @property
    def open_intervals(self) -> list[tuple[int, int]]:
        """Times in which the group makes passes, in ms."""
        edges = [0, *(at for closure in self.closures for at in closure), self._end_ms]
        return list(zip(edges[::2], edges[1::2], strict=True))

    @property
    def _end_ms(self) -> int:
        return self.load.scale(self.load.duration_ms + 10_000)

    def run(self) -> list[Caller]:
        """Run the day to its end and return the callers with their results."""
        while self._calls:
            self.now_ms, _, action, args = heapq.heappop(self._calls)
            if self.now_ms > self._end_ms:
                break
            action(*args)
        return self.callers

    def _draw_callers(self) -> list[Caller]:
        return draw_callers(self.load, self._random)

    def _call_at(self, at_ms: float, action: Callable[..., None], *args: Any) -> None:
        at_ms = max(self.now_ms, int(at_ms))
        heapq.heappush(self._calls, (at_ms, next(self._n_calls), action, args))

    def _draw_closures(self) -> list[tuple[int, int]]:
        """Return begin and end of each closure, one in each equal part of the day."""
        load = self.load
        part_ms = load.duration_ms / max(1, load.n_closures)
        closures = []
        for index in range(load.n_closures):
            duration_ms = self._random.uniform(*load.closure_range_ms)
            begin_ms = (index + self._random.uniform(0.3, 0.6)) * part_ms
            closures.append((load.scale(begin_ms), load.scale(begin_ms + duration_ms)))
        return closures

    def _schedule_closures(self) -> None:
        for begin_ms, end_ms in self.closures:
            self._call_at(begin_ms, self._stop_passes)
            closed_ms = begin_ms + self.load.scale(self.load.stall_ms)
            if closed_ms < end_ms:
                self._call_at(closed_ms, self._close)
            self._call_at(end_ms, self._open)
            if self._random.random() < self.load.kill_probability:
                delay_ms = self.load.scale(self._random.uniform(0, 3_000))
                self._call_at(end_ms + delay_ms, self._kill_entries)

    def _start_entry(self, index: int) -> _Entry:
        """Return an entry that has just started, with all ranks registered."""
        config = EntryConfig(
            f"e{index}",
            incarnation=next(self._n_starts),
            seed=self._random.getrandbits(32),
            n_min_retries=1,
            retry_percent=16,
            n_shared_retries=self._policy.n_shared_retries,
            queue_factor=self._policy.queue_factor,
            resume_wait_ms=self.load.scale(1_500),
            n_crashes_to_block=3,
        )
        policy = self._policy
        state = self._make_state(config)
        if not policy.recognizes_retries:
            state.ended_requests.n_max = 0
        names = frozenset({"s"}), frozenset[str](), frozenset[str]()
        for rank in self.ranks:
            info = EndpointInfo(rank.endpoint_id, "d", *names, self.load.n_slots, 1)
            reduce(state, EndpointRegistered(info), self.now_ms)
        reduce(state, EntriesCounted(len(self.load.entry_shares)), self.now_ms)
        return _Entry(index, state)

    def _make_state(self, config: EntryConfig) -> EntryState:
        """Return the state of an entry that starts."""
        policy = self._policy
        return EntryState.from_config(config, policy.make_routing(), policy.make_queue)

    def _kill_entries(self) -> None:
        """Kill all entries; their callers lose their connections."""
        for entry in self.entries:
            entry.is_alive = False
        for rank in self.ranks:
            rank.running.clear()
            rank.queued.clear()
        for entry in self.entries:
            for request_id, caller in list(entry.caller_by_request_id.items()):
                if caller.request_id == request_id:
                    self._retry(caller, RECONNECT_MS)
        self._call_at(self.now_ms + self.load.scale(RESTART_MS), self._restart_entries)

    def _restart_entries(self) -> None:
        self.entries = [self._start_entry(entry.index) for entry in self.entries]

    # Callers

    def _send(self, caller: Caller) -> None:
        """Send a caller's request to an entry."""
        caller.n_tries += 1
        caller.last_event_ms = self.now_ms
        (entry,) = self._random.choices(self.entries, self.load.entry_shares)
        if not entry.is_alive:
            caller.request_id = ""
            self._retry(caller, RECONNECT_MS)
            return
        load = self.load
        caller.request_id = f"r{next(self._n_requests)}"
        entry.caller_by_request_id[caller.request_id] = caller
        patience_ms = load.scale(load.patience_ms)
        spec = self._make_spec(caller, patience_ms)
        self._call_at(
            self.now_ms + patience_ms, self._lose_patience, entry, caller.request_id
        )
        self._handle(entry, RequestArrived(spec))

    def _make_spec(self, caller: Caller, patience_ms: int) -> RequestSpec:
        """Return the properties of a caller's request that entries use."""
        return RequestSpec(
            request_id=caller.request_id,
            customer_id="c",
            service_id="s",
            model="",
            adapter="",
            priority=Priority.NORMAL,
            deadline_ms=caller.deadline_ms,
            is_idempotent=False,
            idempotency_key=None,
            fingerprint=caller.caller_id,
            prefix_hashes=(),
            n_input_tokens=1,
            n_max_output_tokens=1,
            n_max_attempts=2,
            objective_at_ms=self.now_ms + self.load.scale(self.load.objective_ms),
            start_by_ms=min(caller.deadline_ms, self.now_ms + patience_ms),
            caller_deadline_ms=caller.deadline_ms,
            can_resume_elsewhere=True,
        )

    def _lose_patience(self, entry: _Entry, request_id: str) -> None:
        """Let a caller leave that has received nothing for its patience."""
        caller = entry.caller_by_request_id[request_id]
        if caller.request_id != request_id:
            return
        due_ms = caller.last_event_ms + self.load.scale(self.load.patience_ms)
        if due_ms > self.now_ms:
            self._call_at(due_ms, self._lose_patience, entry, request_id)
            return
        caller.request_id = ""
        if entry.is_alive:
            self._handle(entry, CallerDisconnected(request_id))
        self._retry(caller, RECONNECT_MS)

    def _retry(self, caller: Caller, pause_ms: float) -> None:
        """Let a caller send its request again, unless it has no try or time left."""
        caller.request_id = ""
        remaining_ms = caller.deadline_ms - self.now_ms
        if caller.n_tries < N_MAX_TRIES and remaining_ms > 0:
            pause_ms = min(pause_ms, MAX_PAUSE_SHARE * remaining_ms)
            self._call_at(self.now_ms + pause_ms, self._send, caller)

    def _reject(self, request_id: str, caller: Caller, rejection: Rejection) -> None:
        """Deliver a rejection to the caller."""
        if caller.request_id != request_id:
            return
        is_not_run = rejection.outcome is Outcome.NOT_RUN
        pause_ms = rejection.retry_after_ms or 0
        self._retry(caller, pause_ms if is_not_run else RECONNECT_MS)

    def _complete(self, request_id: str, caller: Caller) -> None:
        """Deliver the end of an answer to the caller."""
        if caller.request_id != request_id or self.now_ms > caller.deadline_ms:
            return
        objective_at_ms = caller.first_sent_ms + self.load.scale(self.load.objective_ms)
        is_on_time = caller.first_event_ms <= objective_at_ms
        caller.result = CallerResult.ON_TIME if is_on_time else CallerResult.LATE
        caller.request_id = ""

    # Entries

    def _handle(self, entry: _Entry, event: Event) -> None:
        """Apply an event at an entry and execute the effects."""
        if not entry.is_alive:
            return
        for effect in reduce(entry.state, event, self.now_ms):
            match effect:
                case Dispatch():
                    self._call_at(self.now_ms + LATENCY_MS, self._arrive, entry, effect)
                case CancelAttempt():
                    self._drop(effect.attempt_id)
                case SetTimer():
                    fired = TimerFired(effect.timer_id)
                    self._call_at(effect.due_ms, self._handle, entry, fired)
                case Reject():
                    caller = entry.caller_by_request_id[effect.request_id]
                    self._reject(effect.request_id, caller, effect.rejection)
                case Complete():
                    caller = entry.caller_by_request_id[effect.request_id]
                    self._complete(effect.request_id, caller)
                case BroadcastEnded():
                    received = EndedReceived("peer", effect.requests)
                    for other in self.entries:
                        if other is not entry:
                            self._call_at(
                                self.now_ms + LATENCY_MS, self._handle, other, received
                            )

    # Ranks

    def _arrive(self, entry: _Entry, dispatch: Dispatch) -> None:
        """Queue an attempt at its rank, or refuse it while the group is closed."""
        attempt_id, endpoint_id = dispatch.attempt_id, dispatch.endpoint_id
        if not entry.is_alive or attempt_id not in entry.state.attempt_by_id:
            return
        if not self._is_open:
            reason = Reason.ENDPOINTS_CLOSED
            event = AttemptRefused(attempt_id, reason, 0, endpoint_id, True)
            self._handle(entry, event)
            return
        caller = entry.caller_by_request_id[dispatch.request_id]
        n_passes_left = max(1, caller.n_events - caller.n_received)
        run = _Run(entry, attempt_id, caller, n_passes_left)
        self.ranks[int(endpoint_id[1:])].queued.append(run)
        self._schedule_pass()

    def _drop(self, attempt_id: str) -> None:
        """Remove a cancelled attempt from its rank."""
        for rank in self.ranks:
            rank.running = [r for r in rank.running if r.attempt_id != attempt_id]
            rank.queued = [r for r in rank.queued if r.attempt_id != attempt_id]

    def _schedule_pass(self) -> None:
        """Schedule the end of the next pass when there is work."""
        if self._is_pass_scheduled or self._is_stopped:
            return
        for rank in self.ranks:
            while rank.queued and len(rank.running) < self.load.n_slots:
                rank.running.append(rank.queued.pop(0))
        n_most = max(len(rank.running) for rank in self.ranks)
        if not n_most:
            return
        self._is_pass_scheduled = True
        self._step += 1
        pass_ms = self.load.pass_ms + self.load.pass_ms_per_run * n_most
        self._call_at(
            self.now_ms + self.load.scale(pass_ms), self._end_pass, self._epoch
        )

    def _end_pass(self, epoch: int) -> None:
        """Deliver the events of a pass and start the next one."""
        if epoch != self._epoch or self._is_stopped:
            return
        self._is_pass_scheduled = False
        for rank in self.ranks:
            for run in list(rank.running):
                # An event of another run may have cancelled this one.
                if run in rank.running:
                    self._advance(rank, run)
        self._schedule_pass()

    def _advance(self, rank: _Rank, run: _Run) -> None:
        """Advance one run by a pass."""
        if run.n_prefill_left > 0:
            run.n_prefill_left -= 1
            return
        caller = run.caller
        is_first = run.n_prefill_left == 0
        run.n_prefill_left = -1
        caller.n_received += 1
        caller.last_event_ms = self.now_ms
        caller.first_event_ms = caller.first_event_ms or self.now_ms
        if is_first:
            self._handle(run.entry, AttemptStarted(run.attempt_id, rank.endpoint_id))
        run.n_passes_left -= 1
        if run.n_passes_left <= 0 and run in rank.running:
            rank.running.remove(run)
            event = AttemptFinished(run.attempt_id, 200, 1, Usage(), rank.endpoint_id)
            self._handle(run.entry, event)

    def _stop_passes(self) -> None:
        self._is_stopped = True

    def _close(self) -> None:
        """Break the attempts that have started, refuse the others and report that."""
        self._is_open = False
        for rank in self.ranks:
            running, rank.running = rank.running, []
            queued, rank.queued = rank.queued, []
            for run in running:
                reason = Reason.CONNECTION_LOST
                broken = AttemptBroken(
                    run.attempt_id, reason, 1, False, rank.endpoint_id
                )
                self._handle(run.entry, broken)
            for run in queued:
                reason = Reason.ENDPOINTS_CLOSED
                refused = AttemptRefused(
                    run.attempt_id, reason, 0, rank.endpoint_id, True
                )
                self._handle(run.entry, refused)

    def _open(self) -> None:
        """Open the group in a new epoch."""
        self._is_stopped, self._is_open = False, True
        self._is_pass_scheduled = False
        self._epoch += 1
        self._step = 0
        self._schedule_pass()

    def _report(self) -> None:
        """Send the load reports of all ranks to all entries."""
        for rank in self.ranks:
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
                group_id=GROUP_ID,
                epoch=self._epoch,
                step=self._step,
            )
            for entry in self.entries:
                self._handle(entry, report)
        self._call_at(self.now_ms + REPORT_INTERVAL_MS, self._report)
