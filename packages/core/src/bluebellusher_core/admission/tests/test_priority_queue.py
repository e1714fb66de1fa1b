"""``PriorityQueue`` under bursts of several priorities and customers."""

from dataclasses import replace

from bluebellusher_core.admission import PriorityQueue
from bluebellusher_core.admission.tests.overload import make_request
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import Priority
from bluebellusher_core.membership.tests.test_running_limits import ENGINE


def make_spec(number, priority=Priority.NORMAL, at_ms=1_000, **options):
    """Return a request that arrives at ``at_ms``."""
    values = {
        "request_id": f"r{number}",
        "priority": priority,
        "objective_at_ms": at_ms + 500,
        "start_by_ms": at_ms + 2_000,
        "deadline_ms": at_ms + 8_000,
        "n_input_tokens": 868,
        "n_max_output_tokens": 96,
    }
    return replace(make_request(f"r{number}", at_ms, at_ms, 0), **{**values, **options})


def make_queue(n_room=1):
    """Return a queue of an entry that starts 10 requests a second."""
    queue = PriorityQueue(ENGINE, 150)
    queue.observe_service(20, 2_000.0)
    queue.observe_room(n_room, n_room)
    return queue


def test_higher_priority_comes_first_and_late_requests_last():
    """Guards against a lower priority that takes capacity from a higher one."""
    queue = make_queue(n_room=5)
    late = make_spec(0, Priority.HIGH, objective_at_ms=1_050)
    for spec in (late, make_spec(1), make_spec(2, Priority.HIGH)):
        assert queue.offer(spec, 1_000) is None
    order = [queue.dequeue(1_000).request_id for _ in range(3)]
    assert order == ["r2", "r1", "r0"]


def test_burst_is_rejected_at_once_and_returns_spread():
    """Guards against requests held until they are late, and against their return."""
    queue = make_queue()
    rejections = [queue.offer(make_spec(i), 1_000) for i in range(60)]
    rejected = [r for r in rejections if r is not None]
    assert len(queue) < 15
    assert all(r.outcome is Outcome.NOT_RUN for r in rejected)
    assert {r.reason for r in rejected} == {Reason.DEADLINE_UNREACHABLE}
    retries_ms = sorted(r.retry_after_ms for r in rejected)
    assert retries_ms[0] >= 100 and retries_ms[-1] <= 8_000 / 3
    assert retries_ms[-1] - retries_ms[0] > 1_000
    assert len(set(retries_ms)) > len(retries_ms) / 2


def test_lower_priority_leaves_room_for_a_higher_one_that_arrives():
    """Guards against a last free slot that is taken shortly before a higher priority.

    Without arrivals of the higher priority, the slot is not kept free.
    """
    queue = make_queue()
    assert queue.offer(make_spec(0, Priority.LOW), 1_000) is None
    assert queue.dequeue(1_000).request_id == "r0"
    for number in range(1, 12):
        queue.offer(make_spec(number, Priority.HIGH), 1_000)
        queue.remove(f"r{number}")
    queue.offer(make_spec(20, Priority.LOW), 1_000)
    assert queue.dequeue(1_000) is None
    queue.observe_room(5, 5)
    assert queue.dequeue(1_000).request_id == "r20"


def test_large_customer_waits_behind_others():
    """Guards against a customer that takes the share of others by its numbers."""
    queue = make_queue(n_room=5)
    for number in range(3):
        queue.offer(make_spec(number, customer_id="large"), 1_000)
    assert queue.dequeue(1_000).customer_id == "large"
    queue.offer(make_spec(9, customer_id="small", at_ms=1_010), 1_010)
    assert queue.dequeue(1_010).customer_id == "small"


def test_requests_wait_for_a_closed_service_and_are_then_rejected():
    """Guards against rejections before the opening, and against a wait without end."""
    queue = make_queue()
    queue.observe_closed(True)
    assert all(queue.offer(make_spec(i), 1_000) is None for i in range(30))
    assert queue.dequeue(1_000) is None
    assert queue.expire(2_000) == []
    expired = queue.expire(3_000)
    assert len(expired) == 30
    assert {r.reason for _, r in expired} == {Reason.ENDPOINTS_CLOSED}
