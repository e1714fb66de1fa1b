"""Decisions of ``SlotAware``."""

from random import Random

from bluebellusher_core.events import EndpointInfo, LoadReported
from bluebellusher_core.routing import EndpointView, SlotAware


def make_view(endpoint_id, n_running, domain="here", n_slots=6, pace=1.0):
    """Return the view of an endpoint with a recent report."""
    info = EndpointInfo(
        endpoint_id, domain, frozenset({"s"}), frozenset(), frozenset(), n_slots
    )
    report = LoadReported(
        endpoint_id,
        1,
        n_running,
        0,
        0,
        n_slots,
        0.0,
        frozenset(),
        frozenset(),
        0,
        pace=pace,
    )
    return EndpointView(info, report, reported_at_ms=0)


def choose(views, now_ms=10):
    """Return the id of the chosen endpoint."""
    return SlotAware("here").choose(None, views, now_ms, Random(1))


def test_least_loaded_endpoint_is_chosen_by_its_report():
    """Guards against entries that only count their own requests."""
    assert choose([make_view("a", 5), make_view("b", 2)]) == "b"


def test_own_attempts_since_the_report_count():
    """Guards against a burst of requests to one endpoint until its next report."""
    views = [make_view("a", 2), make_view("b", 3)]
    views[0].own_dispatched_at_ms = [1, 2]
    views[0].n_own_in_flight = 2
    assert choose(views) == "b"


def test_local_endpoint_is_chosen_unless_it_is_clearly_more_loaded():
    """Guards against traffic between failure domains without a benefit."""
    assert choose([make_view("local", 3), make_view("remote", 3, "there")]) == "local"
    assert choose([make_view("local", 5), make_view("remote", 2, "there")]) == "remote"


def test_slow_endpoint_gets_few_requests():
    """Guards against a slow rank with as many requests as the others of its group."""
    assert choose([make_view("slow", 0, pace=5.0), make_view("usual", 3)]) == "usual"
    assert choose([make_view("slow", 0, pace=1.5), make_view("usual", 3)]) == "slow"


def test_failing_endpoint_is_avoided_and_used_again_later():
    """Guards against an endpoint that fails fast and therefore gets all requests."""
    views = [make_view("bad", 0), make_view("good", 4)]
    views[0].failure_rate = 0.5
    assert choose(views) == "good"
    for view in views:
        view.reported_at_ms = 30_000
    assert choose(views, now_ms=30_000) == "bad"


def test_endpoint_that_stopped_answering_is_avoided():
    """Guards against requests that are sent to an unresponsive endpoint."""
    views = [make_view("unresponsive", 1), make_view("good", 5)]
    views[0].unanswered_at_ms = {"t": 0}
    assert choose(views, now_ms=1_000) == "good"


def test_choose_without_candidates_returns_none():
    """Guards against an exception when there is no candidate."""
    assert choose([]) is None
