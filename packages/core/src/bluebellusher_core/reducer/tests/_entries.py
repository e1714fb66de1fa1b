"""A small independent world around the reducer: entries and their effects.

Nothing here uses the reducer's own tables: executions, bytes and crashes are counted
where they happen, so that the promises are checked from outside.
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
    """An entry process: the reducer's state and what the runtime keeps."""

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
    """Executes effects, delivers events and counts what really happened."""

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
        """Lose everything that the entry knew; its callers get no answer."""
        old = self.entry_by_id[entry_id]
        for request_id in old.spec_by_id:
            if not self.finals[request_id]:
                del self.finals[request_id]
        # Writes that were under way may still take effect.
        limbo = old.limbo + [op.writes for op in old.operations]
        self.start_entry(entry_id, old.incarnation + 1)
        self.entry_by_id[entry_id].limbo = limbo

    def arrive(self, entry_id, spec):
        """Hand a request to an entry."""
        entry = self.entry_by_id[entry_id]
        entry.spec_by_id[spec.request_id] = spec
        entry.sent[spec.request_id] = ""
        entry.n_fresh += 1
        self.finals[spec.request_id] = []
        self.step(entry, RequestArrived(spec))
        if entry.is_stopping:
            final = self.finals[spec.request_id][0]
            assert final.rejection.outcome is Outcome.NOT_RUN, "accepted while stopping"

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
        """Feed one event and execute the effects."""
        for effect in reduce(entry.state, event, self.now_ms):
            self.execute(entry, effect)

    def execute(self, entry, effect):
        """Do what an effect says."""
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
                assert entry.sent[effect.request_id] == right, "I2"
                self.end(effect.request_id, effect)
            case Reject():
                self.end(effect.request_id, effect)
            case ReplayAnswer():
                spec = entry.spec_by_id[effect.request_id]
                assert effect.answer_ref == spec.fingerprint, "I2 replay"
                self.end(effect.request_id, effect)
            case WriteClaims():
                rows = [(w.customer_id, w.idempotency_key) for w in effect.writes]
                assert len(rows) == len(set(rows)), "one row twice in a batch"
                entry.operations.append(effect)
            case SetTimer():
                entry.timers.append((effect.due_ms, effect.timer_id))
            case CloseConnection():
                self.cut(entry.entry_id, effect.endpoint_id)

    def end(self, request_id, effect):
        """Note a final answer."""
        self.finals[request_id].append(effect)
        self.final_at_ms[request_id] = self.now_ms
        assert len(self.finals[request_id]) == 1, "second final answer"

    def dispatch(self, entry, effect):
        """Check a dispatch against the promises and send it."""
        spec = entry.spec_by_id[effect.request_id]
        is_fresh = effect.resume_offset == 0
        assert not self.finals[effect.request_id], "dispatch after the final answer"
        assert spec.deadline_ms > self.now_ms, "dispatch after the deadline"
        assert effect.resume_offset == len(entry.sent[effect.request_id]), "offset"
        if is_fresh:
            assert effect.endpoint_id not in entry.drained, "I5"
            self.check_copies(entry, effect, spec)
        is_hedge = effect.request_id in entry.open_attempts.values()
        last_end = entry.last_end.get(effect.request_id, "refused")
        if is_hedge or (is_fresh and last_end == "broken"):
            entry.n_budgeted += 1
            n_allowed = N_MIN_RETRIES + entry.n_fresh * self.retry_percent / 100
            assert entry.n_budgeted <= n_allowed, "retry budget"
        entry.open_attempts[effect.attempt_id] = effect.request_id
        entry.request_by_attempt[effect.attempt_id] = effect.request_id
        entry.endpoint_by_attempt[effect.attempt_id] = effect.endpoint_id
        link = self.links[entry.entry_id, effect.endpoint_id]
        link.to_endpoint.append(("dispatch", effect, spec))

    def check_copies(self, entry, effect, spec):
        """Check that suspects run one at a time, alone among this entry's work."""
        if not effect.is_isolated:
            return
        for attempt_id, request_id in entry.open_attempts.items():
            if attempt_id in entry.crashed:
                # It died with its engine; the word on the attempt is on its way.
                continue
            other = entry.spec_by_id[request_id]
            is_copy = other.fingerprint == spec.fingerprint
            is_hedge = request_id == effect.request_id
            assert not is_copy or is_hedge, "two copies of a suspect"
            assert attempt_id != effect.attempt_id

    def fire_timer(self, entry):
        """Fire the timer that is due longest; return whether there was one."""
        due = min(entry.timers, default=None)
        if due is None or due[0] > self.now_ms:
            return False
        entry.timers.remove(due)
        self.step(entry, TimerFired(due[1]))
        return True
