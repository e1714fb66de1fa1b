"""Views of ``EndpointTracker`` after events in any order."""

from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    CacheReported,
    EndpointConnected,
    EndpointDraining,
    EndpointInfo,
    EndpointLost,
    Usage,
)
from bluebellusher_core.routing import EndpointTracker
from bluebellusher_core.routing._tracker import MAX_CACHED_PREFIXES, MAX_HISTORY
from bluebellusher_core.routing.tests.test_policies import make_report, make_request

INFO = EndpointInfo("e", "north", frozenset(), frozenset(), frozenset(), n_slots=4)


def make_tracker():
    """Return a tracker with one connected endpoint."""
    tracker = EndpointTracker()
    tracker.apply(EndpointConnected(INFO), now_ms=0)
    return tracker


def make_events(attempt_id):
    """Return one event of each kind by the name of its step."""
    return {
        "start": AttemptStarted(attempt_id),
        "finish": AttemptFinished(attempt_id, 200, 1, Usage()),
        "refuse": AttemptRefused(attempt_id, Reason.ENDPOINT_DRAINING, 1),
        "break": AttemptBroken(attempt_id, Reason.ENGINE_ERROR, 0, False),
        "drain": EndpointDraining("e"),
        "lose": EndpointLost("e"),
        "connect": EndpointConnected(INFO),
        "report": make_report("e", 3),
    }


# Ends are rare, so that an attempt runs during several other events.
STEPS = [*["dispatch", "start"] * 8, "cancel", *make_events("")]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(STEPS),
            st.integers(0, 2),
        ),
        min_size=20,
        max_size=60,
    )
)
def test_property_counts_match_the_attempts_that_run(steps):
    """Guards against counters that drift after repeated or late events."""
    tracker = make_tracker()
    unanswered_by_id = {}
    for now_ms, (step, number) in enumerate(steps):
        attempt_id = f"a{number}"
        if step == "dispatch":
            if "e" not in tracker.view_by_id or attempt_id in unanswered_by_id:
                continue
            request = make_request((), n_input_tokens=50)
            tracker.record_dispatch(attempt_id, "e", request, 9.0, now_ms)
            unanswered_by_id[attempt_id] = True
            continue
        if step == "cancel":
            tracker.record_cancel(attempt_id, now_ms)
        else:
            tracker.apply(make_events(attempt_id)[step], now_ms)
        if step == "start" and attempt_id in unanswered_by_id:
            unanswered_by_id[attempt_id] = False
        if step in ("finish", "refuse", "break", "cancel"):
            unanswered_by_id.pop(attempt_id, None)
        if step in ("lose", "connect"):
            unanswered_by_id.clear()
        view = tracker.view_by_id.get("e")
        if view is not None:
            assert view.n_own_in_flight == len(unanswered_by_id)
            waiting = {
                key for key, is_unanswered in unanswered_by_id.items() if is_unanswered
            }
            assert set(view.unanswered_at_ms) == waiting
            assert view.n_own_queued_tokens == 50 * len(waiting)


def test_first_byte_counts_once():
    """Guards against queued tokens that are subtracted more than once."""
    tracker = make_tracker()
    for attempt_id in ("a", "b"):
        request = make_request((), n_input_tokens=50)
        tracker.record_dispatch(attempt_id, "e", request, 9.0, 0)
    for event in (AttemptStarted("a"), AttemptStarted("a"), make_events("a")["finish"]):
        tracker.apply(event, now_ms=1)
        assert tracker.view_by_id["e"].n_own_queued_tokens == 50


def test_report_discards_the_dispatches_that_it_includes():
    """Guards against own dispatches that are counted twice or not at all."""
    tracker = make_tracker()
    for now_ms in (10, 20, 30):
        tracker.record_dispatch(f"a{now_ms}", "e", make_request(), 9.0, now_ms)
    tracker.apply(make_report("e", 2, age_ms=15, sequence=2), now_ms=40)
    view = tracker.view_by_id["e"]
    assert view.own_dispatched_at_ms == [30]
    tracker.apply(make_report("e", 9, age_ms=0, sequence=1), now_ms=41)
    assert view.report.n_running == 2, "a late report replaced a newer one"


def test_slow_endpoint_is_detected_by_own_attempts():
    """Guards against a slow endpoint that reports a normal load."""
    tracker = make_tracker()
    view = tracker.view_by_id["e"]
    for number in range(30):
        tracker.record_dispatch(f"a{number}", "e", make_request(), 50.0, 0)
        tracker.apply(AttemptStarted(f"a{number}"), now_ms=150)
    assert 2.5 < view.slowness <= 3.0
    tracker.apply(AttemptFinished("a0", 200, 1, Usage()), now_ms=900)
    assert (view.last_progress_at_ms, view.own_service_ms) == (900, 900.0)


def test_memory_is_bounded_without_reports_and_removals():
    """Guards against unbounded growth when load reports or removals are missing."""
    tracker = make_tracker()
    view = tracker.view_by_id["e"]
    for number in range(3 * MAX_HISTORY):
        tracker.record_dispatch(f"a{number}", "e", make_request(), 9.0, number)
        tracker.record_cancel(f"a{number}", number)
    assert len(view.own_dispatched_at_ms) <= MAX_HISTORY
    assert len(view.own_ended_at_ms) <= MAX_HISTORY
    added = tuple(range(2 * MAX_CACHED_PREFIXES))
    tracker.apply(CacheReported("e", added, (), True), now_ms=1)
    assert len(view.cached_prefixes) == MAX_CACHED_PREFIXES
    assert not tracker._attempt_by_id
