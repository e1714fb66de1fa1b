"""Requests that crash endpoints which no agent watches."""

from bluebellusher_core.effects import Dispatch, Reject
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    DigestReceived,
    EndpointInfo,
    EndpointLost,
    EndpointRegistered,
    Priority,
    RequestArrived,
    RequestSpec,
    Usage,
)
from bluebellusher_core.poison import CrashCounter
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce

N_TO_BLOCK = 3


class Entry:
    """One entry with endpoints ``x0``, ``x1``, ...; time goes on with each step."""

    def __init__(self, entry_id="e1", n_endpoints=8):
        config = EntryConfig(entry_id, n_crashes_to_block=N_TO_BLOCK, n_min_retries=99)
        self.state = EntryState.from_config(config)
        self.now_ms = 0
        self.n_requests = 0
        for i in range(n_endpoints):
            self.register(f"x{i}")

    def register(self, endpoint_id, incarnation=1):
        """Register an endpoint, or a new start of one."""
        names = frozenset({"s"}), frozenset(), frozenset()
        info = EndpointInfo(endpoint_id, "d", *names, 4, incarnation)
        return self.handle(EndpointRegistered(info))

    def handle(self, event):
        """Reduce an event 10 ms later than the last one."""
        self.now_ms += 10
        return reduce(self.state, event, self.now_ms)

    def send(self, fingerprint="poison"):
        """Hand in a booking; return its dispatch or its refusal."""
        self.n_requests += 1
        spec = RequestSpec(
            request_id=f"r{self.n_requests}",
            customer_id="c",
            service_id="s",
            model="",
            adapter="",
            priority=Priority.NORMAL,
            deadline_ms=self.now_ms + 60_000,
            is_idempotent=False,
            idempotency_key=None,
            fingerprint=fingerprint,
            prefix_hashes=(),
            n_input_tokens=1,
            n_max_output_tokens=1,
            n_max_attempts=1,
        )
        effects = self.handle(RequestArrived(spec))
        own = [e for e in effects if isinstance(e, Dispatch | Reject)]
        return next(e for e in own if e.request_id == spec.request_id)

    def break_run(self, dispatch):
        """Cut the connection of an attempt."""
        return self.handle(
            AttemptBroken(
                dispatch.attempt_id,
                Reason.CONNECTION_LOST,
                0,
                False,
                dispatch.endpoint_id,
            )
        )

    def crash(self, dispatch):
        """Cut the attempt because its endpoint died, which shows a moment later."""
        effects = self.break_run(dispatch)
        return effects + self.handle(EndpointLost(dispatch.endpoint_id))


def exchange(entry, other):
    """Tell ``other`` what ``entry`` knows."""
    blocked, suspects = entry.state.digest(entry.now_ms)
    event = DigestReceived(entry.state.config.entry_id, 1, blocked, suspects)
    return other.handle(event)


def test_request_that_crashed_three_endpoints_is_refused():
    """Guards against one request that takes down endpoint after endpoint."""
    entry = Entry()
    for _ in range(N_TO_BLOCK):
        entry.crash(entry.send())
    refused = entry.send()
    assert refused.refusal.reason is Reason.CRASHES_ENDPOINTS
    assert refused.refusal.outcome is Outcome.NOT_RUN
    assert isinstance(entry.send("another"), Dispatch)


def test_blocked_request_is_told_when_the_block_ends():
    """Guards against callers that repeat at once what is refused for minutes."""
    entry = Entry()
    for _ in range(N_TO_BLOCK):
        entry.crash(entry.send())
    first = entry.send().refusal.retry_after_ms
    entry.now_ms += first // 2
    left_ms = entry.send().refusal.retry_after_ms
    assert left_ms == first - first // 2 - 10
    entry.now_ms += left_ms
    assert isinstance(entry.send(), Dispatch)


def test_copy_in_flight_is_answered_when_its_fingerprint_is_blocked():
    """Guards against callers that wait for a run which is not wanted any more."""
    entry = Entry()
    for _ in range(N_TO_BLOCK - 1):
        entry.crash(entry.send())
    third, copy = entry.send(), entry.send()
    effects = entry.crash(third)
    finals = {e.request_id: e.refusal for e in effects if isinstance(e, Reject)}
    assert finals[copy.request_id].reason is Reason.CRASHES_ENDPOINTS
    assert finals[copy.request_id].outcome is Outcome.UNKNOWN


def test_crashes_that_several_entries_saw_add_up():
    """Guards against repeats that reach another entry each time."""
    entries = [Entry(f"e{i}") for i in range(3)]
    for entry in entries:
        entry.crash(entry.send())
    for entry in entries[1:]:
        exchange(entry, entries[0])
    assert entries[0].send().refusal.reason is Reason.CRASHES_ENDPOINTS
    exchange(entries[0], entries[1])
    assert entries[1].send().refusal.reason is Reason.CRASHES_ENDPOINTS


def test_two_crashes_here_and_one_elsewhere_block():
    """Guards against a split of the crashes that no entry counts as three."""
    first, second = Entry("e1"), Entry("e2")
    for _ in range(2):
        first.crash(first.send())
    second.crash(second.send())
    exchange(second, first)
    assert first.send().refusal.reason is Reason.CRASHES_ENDPOINTS


def test_broken_runs_at_endpoints_that_answer_on_do_not_count():
    """Guards against blocked callers where endpoints reset connections."""
    entry = Entry(n_endpoints=1)
    for i in range(2 * N_TO_BLOCK):
        broken = entry.send()
        entry.break_run(broken)
        later = entry.send(f"another-{i}")
        entry.handle(AttemptStarted(later.attempt_id, later.endpoint_id))
        entry.handle(EndpointLost(broken.endpoint_id))
        entry.register(broken.endpoint_id, 2)
    assert isinstance(entry.send(), Dispatch)


def test_whole_run_takes_the_counts_back():
    """Guards against a common request blocked for crashes over a long time."""
    entry, peer = Entry("e1"), Entry("e2")
    for _ in range(N_TO_BLOCK - 1):
        entry.crash(entry.send())
        peer.crash(peer.send())
    done = entry.send()
    entry.handle(
        AttemptFinished(done.attempt_id, 200, 1, Usage(), done.endpoint_id),
    )
    exchange(peer, entry)
    entry.crash(entry.send())
    assert isinstance(entry.send(), Dispatch)


def test_copies_cut_by_one_fault_count_once():
    """Guards against a popular request blocked because a failure domain was cut."""
    entry = Entry()
    copies = [entry.send() for _ in range(N_TO_BLOCK)]
    for copy in copies:
        entry.break_run(copy)
    for copy in copies:
        entry.handle(EndpointLost(copy.endpoint_id))
    assert isinstance(entry.send(), Dispatch)


def test_refused_connection_shows_the_crash_before_the_registration_lapses():
    """Guards against crashes that count only after the next ones have happened."""
    entry = Entry(n_endpoints=1)
    for _ in range(N_TO_BLOCK):
        entry.break_run(entry.send())
        probe = entry.send("another")
        entry.handle(
            AttemptRefused(
                probe.attempt_id, Reason.CONNECT_FAILED, 0, probe.endpoint_id, False
            )
        )
        entry.now_ms += 2_000
    assert entry.send().refusal.reason is Reason.CRASHES_ENDPOINTS


def test_suspects_of_peers_do_not_run_isolated():
    """Guards against endpoints reserved for single requests after a large crash."""
    entry = Entry()
    entry.handle(DigestReceived("peer", 1, (), ("poison",)))
    assert not entry.send().is_isolated


def test_tables_stay_bounded():
    """Guards against memory that grows with every broken run."""
    counter = CrashCounter(n_max=3)
    for i in range(10):
        counter.note_broken(f"f{i}", f"x{i}", i, i)
        counter.note_broken(f"g{i}", "x", i, i)
        counter.note_peer(f"p{i}", "peer", i)
    for i in range(10):
        counter.confirm(f"x{i}", 20)
    assert counter.confirm("x", 20) == ["g7", "g8", "g9"]
    assert counter.told(21) == ("g7", "g8", "g9")
