"""Simulated entries that execute the effects of the reducer and check them.

The simulation counts executions, relayed bytes and crashes where they happen, at the
endpoints and callers. It does not read the reducer's own tables, so that its checks are
independent of them.
"""

from collections import Counter
from dataclasses import dataclass, field

from bluebellusher_core.admission import FairQueue
from bluebellusher_core.effects import (
    CancelAttempt,
    CloseConnection,
    Complete,
    Dispatch,
    Reject,
    ReplayAnswer,
    SetTimer,
    WriteClaims,
)
from bluebellusher_core.errors import Outcome
from bluebellusher_core.events import (
    Priority,
    RequestArrived,
    RequestSpec,
    TimerFired,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._model import Endpoint, Link, Table, answer_to
from bluebellusher_core.routing import PredictedLatency

N_MIN_RETRIES = 1


@dataclass
class Entry:
    """An entry process: the reducer's state and the state of its runtime.

    Parameters
    ----------
    entry_id : str
        Id of the entry.
    incarnation : int
        Number of the entry's start.
    state : EntryState
        State that the reducer changes.
    timers : list of (int, str)
        Due time in ms and id of each timer that is set.
    endpoint_by_attempt : dict
        Endpoint of each attempt whose messages the runtime still accepts.
    spec_by_id : dict
        Request specification of each request that arrived.
    request_by_attempt : dict
        Request of each attempt that was ever dispatched.
    sent : dict
        Text that was relayed to the caller, by request.
    operations : list of WriteClaims
        Claim writes that the table has not answered yet.
    limbo : list
        Claim writes that were reported as unanswered and may still take effect.
    drained : set of str
        Endpoints that reported that they are draining.
    open_attempts : dict
        Request of each attempt that has not ended.
    last_end : dict
        How the last attempt of a request ended: ``lost``, ``broken`` or ``refused``.
    crashed : set of str
        Attempts that a crash report named.
    n_fresh : int
        Number of requests that arrived.
    n_budgeted : int
        Number of attempts that must have used the retry budget.
    is_stopping : bool
        Whether the entry was ordered to shut down.
    """

    entry_id: str
    incarnation: int
    state: EntryState
    timers: list = field(default_factory=list)
    endpoint_by_attempt: dict = field(default_factory=dict)
    spec_by_id: dict = field(default_factory=dict)
    request_by_attempt: dict = field(default_factory=dict)
    sent: dict = field(default_factory=dict)
    operations: list = field(default_factory=list)
    limbo: list = field(default_factory=list)
    drained: set = field(default_factory=set)
    open_attempts: dict = field(default_factory=dict)
    last_end: dict = field(default_factory=dict)
    crashed: set = field(default_factory=set)
    n_fresh: int = 0
    n_budgeted: int = 0
    is_stopping: bool = False


class EntryWorld:
    """Executes the effects of entries and checks each dispatch and final answer.

    Parameters
    ----------
    n_entries, n_endpoints : int
        Number of entries and of endpoints.
    poison : collection of str
        Fingerprints of the requests that crash endpoints.
    **options
        ``retry_percent``, ``hedge_after_ms``, ``make_queue`` and ``make_policy`` of
        the entries.
    """

    def __init__(self, n_entries, n_endpoints, poison=(), **options):
        self.now_ms = 1_000
        self.retry_percent = options.get("retry_percent", 10)
        self.hedge_after_ms = options.get("hedge_after_ms", 0)
        self.make_queue = options.get("make_queue", FairQueue)
        self.make_policy = options.get("make_policy", PredictedLatency)
        self.poison = set(poison)
        self.table = Table()
        self.n_runs = Counter()
        self.n_key_runs = Counter()
        self.lost_to = Counter()
        self.finals = {}
        self.final_at_ms = {}
        self.had_bytes = set()
        self.n_requests = 0
        names = [f"x{i}" for i in range(n_endpoints)]
        self.endpoint_by_id = {name: Endpoint(name) for name in names}
        self.entry_by_id = {}
        self.links = {}
        for i in range(n_entries):
            self.start_entry(f"e{i}", 1)
        self.connect_all()

    # Entries.

    def start_entry(self, entry_id, incarnation):
        """Start an entry with empty state."""
        config = EntryConfig(
            entry_id,
            incarnation,
            n_min_retries=N_MIN_RETRIES,
            retry_percent=self.retry_percent,
            hedge_after_ms=self.hedge_after_ms,
        )
        state = EntryState.from_config(config, self.make_policy(), self.make_queue)
        self.entry_by_id[entry_id] = Entry(entry_id, incarnation, state)
        for endpoint_id in self.endpoint_by_id:
            self.links[entry_id, endpoint_id] = Link()

    def restart_entry(self, entry_id):
        """Replace an entry by a new start with empty state.

        Its callers without a final answer get none and are no longer checked.
        """
        old = self.entry_by_id[entry_id]
        for request_id in old.spec_by_id:
            if not self.finals[request_id]:
                del self.finals[request_id]
        # Writes in flight may still take effect.
        limbo = old.limbo + [op.writes for op in old.operations]
        self.start_entry(entry_id, old.incarnation + 1)
        self.entry_by_id[entry_id].limbo = limbo

    def arrive(self, entry_id, spec):
        """Send a request to an entry; an entry that shuts down must reject it."""
        entry = self.entry_by_id[entry_id]
        entry.spec_by_id[spec.request_id] = spec
        entry.sent[spec.request_id] = ""
        entry.n_fresh += 1
        self.finals[spec.request_id] = []
        self.step(entry, RequestArrived(spec))
        if entry.is_stopping:
            final = self.finals[spec.request_id][0]
            assert final.rejection.outcome is Outcome.NOT_RUN, (
                "request not rejected during the shutdown"
            )

    def make_spec(self, fingerprint, is_idempotent, key, lifetime_ms):
        """Return a request with a new id."""
        self.n_requests += 1
        return RequestSpec(
            request_id=f"r{self.n_requests}",
            customer_id="c",
            service_id="s",
            model="m",
            adapter="",
            priority=Priority.NORMAL,
            deadline_ms=self.now_ms + lifetime_ms,
            is_idempotent=is_idempotent,
            idempotency_key=key,
            fingerprint=fingerprint,
            prefix_hashes=(),
            n_input_tokens=3,
            n_max_output_tokens=3,
        )

    def step(self, entry, event):
        """Apply one event to an entry and execute the effects."""
        for effect in reduce(entry.state, event, self.now_ms):
            self.execute(entry, effect)

    def execute(self, entry, effect):
        """Execute one effect and check it against the request's expected answer."""
        match effect:
            case Dispatch():
                self.dispatch(entry, effect)
            case CancelAttempt():
                entry.open_attempts.pop(effect.attempt_id, None)
                entry.endpoint_by_attempt.pop(effect.attempt_id, None)
                link = self.links[entry.entry_id, effect.endpoint_id]
                link.to_endpoint.append(("cancel", effect.attempt_id))
            case Complete():
                spec = entry.spec_by_id[effect.request_id]
                right = answer_to(spec.fingerprint)
                assert entry.sent[effect.request_id] == right, "wrong complete answer"
                self.end(effect.request_id, effect)
            case Reject():
                self.end(effect.request_id, effect)
            case ReplayAnswer():
                spec = entry.spec_by_id[effect.request_id]
                assert effect.answer_ref == spec.fingerprint, "wrong replayed answer"
                self.end(effect.request_id, effect)
            case WriteClaims():
                rows = [(w.customer_id, w.idempotency_key) for w in effect.writes]
                assert len(rows) == len(set(rows)), "two writes to one row in a batch"
                entry.operations.append(effect)
            case SetTimer():
                entry.timers.append((effect.due_ms, effect.timer_id))
            case CloseConnection():
                self.cut(entry.entry_id, effect.endpoint_id)

    def end(self, request_id, effect):
        """Record a final answer and check that it is the only one."""
        self.finals[request_id].append(effect)
        self.final_at_ms[request_id] = self.now_ms
        assert len(self.finals[request_id]) == 1, "second final answer"

    def dispatch(self, entry, effect):
        """Check a dispatch and send it to its endpoint.

        Checks the deadline, the resume offset, the draining state of the endpoint, the
        isolation of suspects and the retry budget.
        """
        spec = entry.spec_by_id[effect.request_id]
        is_fresh = effect.resume_offset == 0
        assert not self.finals[effect.request_id], "dispatch after the final answer"
        assert spec.deadline_ms > self.now_ms, "dispatch after the deadline"
        assert effect.resume_offset == len(entry.sent[effect.request_id]), (
            "wrong offset"
        )
        if is_fresh:
            assert effect.endpoint_id not in entry.drained, "endpoint is draining"
            self.check_copies(entry, effect, spec)
        is_hedge = effect.request_id in entry.open_attempts.values()
        last_end = entry.last_end.get(effect.request_id, "refused")
        if is_hedge or (is_fresh and last_end == "broken"):
            entry.n_budgeted += 1
            n_allowed = N_MIN_RETRIES + entry.n_fresh * self.retry_percent / 100
            assert entry.n_budgeted <= n_allowed, "retry budget exceeded"
        entry.open_attempts[effect.attempt_id] = effect.request_id
        entry.request_by_attempt[effect.attempt_id] = effect.request_id
        entry.endpoint_by_attempt[effect.attempt_id] = effect.endpoint_id
        link = self.links[entry.entry_id, effect.endpoint_id]
        link.to_endpoint.append(("dispatch", effect, spec))

    def check_copies(self, entry, effect, spec):
        """Check that no other request with the fingerprint of an isolated run is open.

        A hedge may run beside the first attempt of its own request.
        """
        if not effect.is_isolated:
            return
        for attempt_id, request_id in entry.open_attempts.items():
            if attempt_id in entry.crashed:
                # The attempt ended with its engine; its report has not arrived yet.
                continue
            other = entry.spec_by_id[request_id]
            is_copy = other.fingerprint == spec.fingerprint
            is_hedge = request_id == effect.request_id
            assert not is_copy or is_hedge, (
                "two requests of one suspect fingerprint run"
            )
            assert attempt_id != effect.attempt_id

    def fire_timer(self, entry):
        """Fire the timer with the earliest due time; return whether one was due."""
        due = min(entry.timers, default=None)
        if due is None or due[0] > self.now_ms:
            return False
        entry.timers.remove(due)
        self.step(entry, TimerFired(due[1]))
        return True
