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
from bluebellusher_core.reducer.tests._fakes import (
    Endpoint,
    FakeClaimTable,
    Link,
    expected_answer,
)
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
    text_by_request : dict
        Text that was relayed to the caller, by request.
    unanswered_writes : list of WriteClaims
        Claim writes that the table has not answered yet.
    delayed_batches : list of tuple of ClaimWrite
        Batches of claim writes that were reported as unanswered and may still apply.
    draining_endpoint_ids : set of str
        Endpoints that reported that they are draining.
    request_by_open_attempt : dict
        Request of each attempt that has not ended.
    last_end_by_request : dict
        How the last attempt of a request ended: ``lost``, ``broken`` or ``refused``.
    crashed_attempt_ids : set of str
        Attempts that a crash report named.
    n_arrived : int
        Number of requests that arrived.
    n_budget_spent : int
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
    text_by_request: dict = field(default_factory=dict)
    unanswered_writes: list = field(default_factory=list)
    delayed_batches: list = field(default_factory=list)
    draining_endpoint_ids: set = field(default_factory=set)
    request_by_open_attempt: dict = field(default_factory=dict)
    last_end_by_request: dict = field(default_factory=dict)
    crashed_attempt_ids: set = field(default_factory=set)
    n_arrived: int = 0
    n_budget_spent: int = 0
    is_stopping: bool = False


class EntrySimulation:
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
        self.poison_fingerprints = set(poison)
        self.table = FakeClaimTable()
        self.n_runs_by_request = Counter()
        self.n_runs_by_key = Counter()
        self.n_lost_by_fingerprint = Counter()
        self.finals_by_request = {}
        self.final_at_ms = {}
        self.relayed_request_ids = set()
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
        previous = self.entry_by_id[entry_id]
        for request_id in previous.spec_by_id:
            if not self.finals_by_request[request_id]:
                del self.finals_by_request[request_id]
        # Writes in flight may still take effect.
        delayed_batches = previous.delayed_batches + [
            batch.writes for batch in previous.unanswered_writes
        ]
        self.start_entry(entry_id, previous.incarnation + 1)
        self.entry_by_id[entry_id].delayed_batches = delayed_batches

    def submit(self, entry_id, spec):
        """Send a request to an entry; an entry that shuts down must reject it."""
        entry = self.entry_by_id[entry_id]
        entry.spec_by_id[spec.request_id] = spec
        entry.text_by_request[spec.request_id] = ""
        entry.n_arrived += 1
        self.finals_by_request[spec.request_id] = []
        self.handle_event(entry, RequestArrived(spec))
        if entry.is_stopping:
            final = self.finals_by_request[spec.request_id][0]
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

    def handle_event(self, entry, event):
        """Apply one event to an entry and execute the effects."""
        for effect in reduce(entry.state, event, self.now_ms):
            self.execute_effect(entry, effect)

    def execute_effect(self, entry, effect):
        """Execute one effect and check it against the request's expected answer."""
        match effect:
            case Dispatch():
                self.send_dispatch(entry, effect)
            case CancelAttempt():
                entry.request_by_open_attempt.pop(effect.attempt_id, None)
                entry.endpoint_by_attempt.pop(effect.attempt_id, None)
                link = self.links[entry.entry_id, effect.endpoint_id]
                link.to_endpoint.append(("cancel", effect.attempt_id))
            case Complete():
                spec = entry.spec_by_id[effect.request_id]
                expected = expected_answer(spec.fingerprint)
                assert entry.text_by_request[effect.request_id] == expected, (
                    "wrong complete answer"
                )
                self.record_final(effect.request_id, effect)
            case Reject():
                self.record_final(effect.request_id, effect)
            case ReplayAnswer():
                spec = entry.spec_by_id[effect.request_id]
                assert effect.answer_ref == spec.fingerprint, "wrong replayed answer"
                self.record_final(effect.request_id, effect)
            case WriteClaims():
                rows = [(w.customer_id, w.idempotency_key) for w in effect.writes]
                assert len(rows) == len(set(rows)), "two writes to one row in a batch"
                entry.unanswered_writes.append(effect)
            case SetTimer():
                entry.timers.append((effect.due_ms, effect.timer_id))
            case CloseConnection():
                self.cut_connection(entry.entry_id, effect.endpoint_id)

    def record_final(self, request_id, effect):
        """Record a final answer and check that it is the only one."""
        self.finals_by_request[request_id].append(effect)
        self.final_at_ms[request_id] = self.now_ms
        assert len(self.finals_by_request[request_id]) == 1, "second final answer"

    def send_dispatch(self, entry, effect):
        """Check a dispatch and send it to its endpoint.

        Checks the deadline, the resume offset, the draining state of the endpoint, the
        isolation of suspects and the retry budget.
        """
        spec = entry.spec_by_id[effect.request_id]
        is_new_run = effect.resume_offset == 0
        assert not self.finals_by_request[effect.request_id], (
            "dispatch after the final answer"
        )
        assert spec.deadline_ms > self.now_ms, "dispatch after the deadline"
        assert effect.resume_offset == len(entry.text_by_request[effect.request_id]), (
            "wrong offset"
        )
        if is_new_run:
            assert effect.endpoint_id not in entry.draining_endpoint_ids, (
                "endpoint is draining"
            )
            self.check_isolation(entry, effect, spec)
        is_hedge = effect.request_id in entry.request_by_open_attempt.values()
        last_end = entry.last_end_by_request.get(effect.request_id, "refused")
        if is_hedge or (is_new_run and last_end == "broken"):
            entry.n_budget_spent += 1
            n_allowed = N_MIN_RETRIES + entry.n_arrived * self.retry_percent / 100
            assert entry.n_budget_spent <= n_allowed, "retry budget exceeded"
        entry.request_by_open_attempt[effect.attempt_id] = effect.request_id
        entry.request_by_attempt[effect.attempt_id] = effect.request_id
        entry.endpoint_by_attempt[effect.attempt_id] = effect.endpoint_id
        link = self.links[entry.entry_id, effect.endpoint_id]
        link.to_endpoint.append(("dispatch", effect, spec))

    def check_isolation(self, entry, effect, spec):
        """Check that no other request with the fingerprint of an isolated run is open.

        A hedge may run beside the first attempt of its own request.
        """
        if not effect.is_isolated:
            return
        for attempt_id, request_id in entry.request_by_open_attempt.items():
            if attempt_id in entry.crashed_attempt_ids:
                # The attempt ended with its engine; its report has not arrived yet.
                continue
            other = entry.spec_by_id[request_id]
            is_same_fingerprint = other.fingerprint == spec.fingerprint
            is_hedge = request_id == effect.request_id
            assert not is_same_fingerprint or is_hedge, (
                "two requests of one suspect fingerprint run"
            )
            assert attempt_id != effect.attempt_id

    def fire_timer(self, entry):
        """Fire the timer with the earliest due time; return whether one was due."""
        due = min(entry.timers, default=None)
        if due is None or due[0] > self.now_ms:
            return False
        entry.timers.remove(due)
        self.handle_event(entry, TimerFired(due[1]))
        return True
