"""Recognition of retries by the end of an earlier attempt."""

from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.effects import BroadcastEnded, Reject, SetTimer
from bluebellusher_core.events import (
    CallerDisconnected,
    EndedReceived,
    EndpointInfo,
    EndpointRegistered,
    RequestArrived,
    ShutdownStarted,
    TimerFired,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec
from bluebellusher_core.retry import EndedRequest, EndedRequests

OBJECTIVE_MS = 400
NAMES = frozenset({"s"}), frozenset(), frozenset()


def make_entry(entry_id="e1"):
    """Return an entry with one endpoint."""
    state = EntryState.from_config(EntryConfig(entry_id), make_queue=ObjectiveQueue)
    reduce(state, EndpointRegistered(EndpointInfo("x", "d", *NAMES, 4, 1)), 0)
    return state


def arrive(state, request_id, now_ms, deadline_ms, fingerprint="f"):
    """Let a request arrive; return it as the entry has recorded it."""
    spec = make_spec(
        request_id,
        fingerprint=fingerprint,
        deadline_ms=deadline_ms,
        caller_deadline_ms=deadline_ms,
        objective_at_ms=now_ms + OBJECTIVE_MS,
    )
    reduce(state, RequestArrived(spec), now_ms)
    return state.request_by_id[request_id].spec


def test_request_with_less_time_than_others_is_fresh():
    """Guards against fresh requests that are treated as retries.

    Callers of one route have different deadlines, so that the remaining time shows no
    earlier attempt.
    """
    state = make_entry()
    arrive(state, "r1", 0, 8_000, "f1")
    spec = arrive(state, "r2", 0, 6_800, "f2")
    assert not spec.is_returning
    assert spec.objective_at_ms == OBJECTIVE_MS


def test_retry_at_the_same_entry_is_recognized():
    """Guards against retries whose objective starts anew, and which are rejected."""
    state = make_entry()
    arrive(state, "r1", 100, 8_000)
    reduce(state, CallerDisconnected("r1"), 2_100)
    spec = arrive(state, "r2", 2_200, 8_003)
    assert spec.is_returning
    assert spec.arrived_at_ms == 100
    assert spec.objective_at_ms == 100 + OBJECTIVE_MS
    reduce(state, CallerDisconnected("r2"), 2_500)
    assert arrive(state, "r3", 2_600, 8_000).arrived_at_ms == 100


def test_rejected_arrival_is_remembered():
    """Guards against retries that are unknown because they were never admitted."""
    state = make_entry()
    reduce(state, ShutdownStarted(), 0)
    spec = make_spec("r1", fingerprint="f", deadline_ms=8_000, caller_deadline_ms=8_000)
    effects = reduce(state, RequestArrived(spec), 50)
    assert [e.request_id for e in effects if isinstance(e, Reject)] == ["r1"]
    assert state.ended_requests.find_arrival_ms("f", 8_000) == 50


def test_retry_at_another_entry_is_recognized():
    """Guards against retries that are fresh requests to every other entry."""
    first, second = make_entry("e1"), make_entry("e2")
    arrive(first, "r1", 100, 8_000)
    effects = reduce(first, CallerDisconnected("r1"), 300)
    (timer,) = [e for e in effects if isinstance(e, SetTimer) and e.timer_id == "ended"]
    effects = reduce(first, TimerFired("ended"), timer.due_ms)
    (message,) = [e for e in effects if isinstance(e, BroadcastEnded)]
    # The clocks of the entries differ by 5,000 ms.
    now_ms = timer.due_ms + 5_000
    reduce(second, EndedReceived("e1", message.requests), now_ms)
    spec = arrive(second, "r9", now_ms + 100, 13_000)
    assert spec.is_returning
    assert spec.arrived_at_ms == 5_100


def test_same_request_of_another_caller_is_fresh():
    """Guards against callers of a popular request that count as one caller."""
    state = make_entry()
    arrive(state, "r1", 0, 8_000)
    reduce(state, CallerDisconnected("r1"), 500)
    assert not arrive(state, "r2", 600, 8_600).is_returning
    assert not arrive(state, "r3", 600, 8_000, "g").is_returning


def test_completed_request_is_not_remembered():
    """Guards against identical requests that count as retries of a served one."""
    state = make_entry()
    arrive(state, "r1", 0, 8_000)
    assert not arrive(state, "r2", 10, 8_010).is_returning


def test_memory_of_ended_requests_is_bounded():
    """Guards against memory that grows with every rejection."""
    ended = EndedRequests(n_max=3)
    for i in range(10):
        ended.record(f"f{i}", 8_000 + i, i, i)
    assert ended.find_arrival_ms("f6", 8_006) is None
    assert ended.find_arrival_ms("f7", 8_007) == 7
    ended.record("g", 20_000, 9_000, 9_000)
    assert ended.find_arrival_ms("f9", 8_009) is None


def test_messages_contain_only_unexpired_requests_once():
    """Guards against peers that are told of requests whose callers have left."""
    ended = EndedRequests()
    ended.record("f", 1_000, 0, 500, is_own=True)
    ended.record("g", 9_000, 0, 500, is_own=True)
    ended.record("h", 9_000, 0, 500)
    assert ended.take_unsent(2_000) == (EndedRequest("g", 7_000, 2_000),)
    assert ended.take_unsent(2_000) == ()
