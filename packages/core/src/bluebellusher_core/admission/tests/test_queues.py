"""Common checks for every queue, and properties of the fair queue."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.admission import FairQueue, FifoQueue
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import Priority, RequestSpec

QUEUES = [FifoQueue, FairQueue]


def make_request(
    request_id, customer_id="c", deadline_ms=10**9, priority=Priority.NORMAL, cost=100
):
    """Return a request whose cost, as the queue computes it, is ``cost``."""
    return RequestSpec(
        request_id=request_id,
        customer_id=customer_id,
        service_id="chat",
        model="model",
        adapter="",
        priority=priority,
        deadline_ms=deadline_ms,
        is_idempotent=True,
        idempotency_key=None,
        fingerprint=request_id,
        prefix_hashes=(),
        n_input_tokens=0,
        n_max_output_tokens=cost - 1,
    )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "dequeue", "requeue", "remove", "expire", "serve"]),
        st.integers(0, 400),
        st.sampled_from(["a", "b", "c"]),
        st.sampled_from(list(Priority)),
        st.integers(-5, 3000),
    ),
    max_size=80,
)


class QueueModel:
    """Calls a queue and records which requests are waiting."""

    def __init__(self, queue):
        self.queue = queue
        self.now_ms = 0
        self.waiting = {}
        self.dequeued = None
        self.service_ms = 0.0

    def check_rejection(self, rejection):
        """Check the fields that every rejection of a queue must have."""
        assert rejection.outcome is Outcome.NOT_RUN
        assert rejection.retry_after_ms > 0
        assert rejection.step == "admission"

    def offer(self, index, customer_id, priority, margin_ms):
        """Offer a request; one without remaining time must be rejected."""
        deadline_ms = self.now_ms + margin_ms
        request = make_request(f"r{index}", customer_id, deadline_ms, priority)
        rejection = self.queue.offer(request, self.now_ms)
        assert rejection is not None or margin_ms > 0
        if rejection is None:
            self.waiting[request.request_id] = request
        else:
            self.check_rejection(rejection)

    def dequeue(self):
        """Dequeue the next request."""
        self.dequeued = self.queue.dequeue(self.now_ms)
        if self.dequeued is not None:
            assert self.waiting.pop(self.dequeued.request_id) is self.dequeued

    def requeue(self):
        """Requeue the dequeued request; it must be the next one.

        A request that can no longer be served before its deadline may be skipped. All
        requests of this test cost the same, so that each takes ``service_ms``.
        """
        if self.dequeued is None:
            return
        self.queue.requeue(self.dequeued, self.now_ms)
        self.waiting[self.dequeued.request_id] = self.dequeued
        if self.dequeued.deadline_ms - self.service_ms > self.now_ms:
            dequeued_again = self.queue.dequeue(self.now_ms)
            assert dequeued_again is self.dequeued
            self.queue.requeue(dequeued_again, self.now_ms)
        self.dequeued = None

    def remove(self, index):
        """Remove a request, whether or not it is waiting."""
        is_removed = self.queue.remove(f"r{index}")
        assert is_removed == (self.waiting.pop(f"r{index}", None) is not None)

    def set_service(self, n_slots, service_ms):
        """Set the number of slots and the service time of the queue."""
        self.service_ms = service_ms
        self.queue.observe_service(n_slots, service_ms)

    def expire(self):
        """Expire requests; none that is past its deadline may remain."""
        for request, rejection in self.queue.expire(self.now_ms):
            self.check_rejection(rejection)
            assert self.waiting.pop(request.request_id) is request
        assert all(r.deadline_ms > self.now_ms for r in self.waiting.values())


@pytest.mark.parametrize("queue_type", QUEUES)
@given(steps=STEPS)
def test_property_no_request_is_lost_or_duplicated(queue_type, steps):
    """Guards against requests that are lost, returned twice or not rejected."""
    queue_model = QueueModel(queue_type())
    for index, (step, value, customer_id, priority, margin_ms) in enumerate(steps):
        queue_model.now_ms += value if step in ("dequeue", "expire") else 0
        match step:
            case "offer":
                queue_model.offer(index, customer_id, priority, margin_ms)
            case "dequeue":
                queue_model.dequeue()
            case "requeue":
                queue_model.requeue()
            case "remove":
                queue_model.remove(value % (index + 1))
            case "expire":
                queue_model.expire()
            case "serve":
                queue_model.set_service(1 + value % 8, 1.0 + value)
        assert len(queue_model.queue) == len(queue_model.waiting)
    queue_model.now_ms += 10_000
    queue_model.expire()
    assert len(queue_model.queue) == 0


@pytest.mark.parametrize("queue_type", QUEUES)
@given(margins=st.lists(st.integers(1, 50), max_size=30), elapsed_ms=st.integers(0, 60))
def test_property_expire_removes_exactly_the_overdue_requests(
    queue_type, margins, elapsed_ms
):
    """Guards against requests that keep waiting past their deadline."""
    queue = queue_type()
    for index, margin_ms in enumerate(margins):
        assert queue.offer(make_request(f"r{index}", "c", margin_ms), 0) is None
    expired = {request.request_id for request, _ in queue.expire(elapsed_ms)}
    assert expired == {f"r{i}" for i, m in enumerate(margins) if m <= elapsed_ms}
    assert queue.expire(elapsed_ms) == []


@given(
    weights=st.lists(st.sampled_from([0.5, 1.0, 2.0, 5.0]), min_size=2, max_size=5),
    costs=st.lists(st.integers(20, 200), min_size=5, max_size=5),
    priorities=st.lists(st.sampled_from(list(Priority)), min_size=5, max_size=5),
    n_dequeued=st.integers(1, 120),
)
def test_property_shares_follow_weights(weights, costs, priorities, n_dequeued):
    """Guards against a customer that gains a larger share by priority or load.

    While all customers have waiting requests, the work per weight of two customers
    differs by at most the bound of start-time fair queueing plus the head starts.
    """
    weight_by_customer = {f"c{i}": weight for i, weight in enumerate(weights)}
    queue = FairQueue(weight_by_customer)
    for index, customer_id in enumerate(weight_by_customer):
        for n in range(n_dequeued):
            name = f"{customer_id}-{n}"
            spec = (name, customer_id, 10**9, priorities[index], costs[index])
            assert queue.offer(make_request(*spec), 0) is None
    work = Counter()
    for _ in range(n_dequeued):
        request = queue.dequeue(0)
        work[request.customer_id] += request.n_max_output_tokens + 1
    head_start = 2 * 2.0 * max(costs)
    for i, one in enumerate(weights):
        for j, other in enumerate(weights):
            gap = work[f"c{i}"] / one - work[f"c{j}"] / other
            assert gap <= costs[i] / one + costs[j] / other + head_start


@given(
    competitor_weights=st.lists(st.sampled_from([1.0, 4.0]), min_size=1, max_size=4),
    priority=st.sampled_from(list(Priority)),
)
def test_property_no_request_starves(competitor_weights, priority):
    """Guards against a low-priority request that waits forever behind new ones.

    Every dequeued request is replaced by a new one of the highest priority, from the
    same customer and from competing customers.
    """
    queue = FairQueue({f"c{i}": weight for i, weight in enumerate(competitor_weights)})
    now_ms = 0
    for customer_id in ["own", *(f"c{i}" for i in range(len(competitor_weights)))]:
        for n in range(3):
            name = f"{customer_id}-{n}"
            queue.offer(make_request(name, customer_id, 10**9, Priority.HIGH), 0)
    queue.offer(make_request("slow", "own", 10**9, priority), 0)
    for n in range(2000):
        now_ms += 20
        dequeued = queue.dequeue(now_ms)
        if dequeued.request_id == "slow":
            return
        new = make_request(f"n{n}", dequeued.customer_id, 10**9, Priority.HIGH)
        assert queue.offer(new, now_ms) is None
    raise AssertionError("the request was never dequeued")


def test_priority_orders_requests_of_a_customer_and_between_customers():
    """Guards against priorities that have no effect."""
    queue = FairQueue()
    queue.offer(make_request("low", "a", priority=Priority.LOW), 0)
    queue.offer(make_request("high", "a", priority=Priority.HIGH), 1)
    queue.offer(make_request("other", "b", priority=Priority.NORMAL), 1)
    assert [queue.dequeue(2).request_id for _ in range(3)] == ["high", "other", "low"]


@pytest.mark.parametrize("queue_type", QUEUES)
def test_requeued_request_goes_first(queue_type):
    """Guards against a request that loses its turn because no endpoint is free."""
    queue = queue_type()
    queue.offer(make_request("low", "a", priority=Priority.LOW), 0)
    dequeued = queue.dequeue(1)
    queue.offer(make_request("high", "b", priority=Priority.HIGH), 1)
    queue.requeue(dequeued, 2)
    assert [queue.dequeue(3).request_id for _ in range(2)] == ["low", "high"]


def test_request_is_rejected_early_when_the_wait_exceeds_its_deadline():
    """Guards against requests that wait for a deadline they cannot meet."""
    queue = FairQueue()
    assert queue.offer(make_request("first"), 0) is None
    queue.observe_service(n_slots=1, service_ms=100.0)
    for n in range(9):
        assert queue.offer(make_request(f"r{n}"), 0) is None
    rejection = queue.offer(make_request("late", deadline_ms=600), 0)
    assert rejection.reason is Reason.DEADLINE_UNREACHABLE
    assert 500 <= rejection.retry_after_ms <= 2000
    small = make_request("small", "other", deadline_ms=600)
    assert queue.offer(small, 0) is None, "the other customer's share is free"


def test_dequeue_skips_requests_that_cannot_meet_their_deadline():
    """Guards against capacity spent on answers that miss their deadline."""
    queue = FairQueue()
    queue.offer(make_request("first"), 0)
    queue.observe_service(n_slots=1, service_ms=100.0)
    queue.offer(make_request("tight", deadline_ms=250), 0)
    assert queue.dequeue(200).request_id == "first"
    assert queue.dequeue(200) is None
    [(request, rejection)] = queue.expire(200)
    assert request.request_id == "tight"
    assert rejection.reason is Reason.DEADLINE_UNREACHABLE


def test_memory_is_bounded_when_callers_disconnect_and_customers_change():
    """Guards against heaps that keep entries of removed requests."""
    queue = FairQueue()
    queue.offer(make_request("keep", "keeper"), 0)
    for n in range(5000):
        queue.offer(make_request(f"r{n}", f"c{n}"), n)
        assert queue.remove(f"r{n}")
        queue.offer(make_request(f"k{n}", "keeper"), n)
        assert queue.remove(f"k{n}")
    sizes = [len(queue._deadline_heap), len(queue._flow_heap)]
    sizes += [len(queue._flow_by_customer)]
    sizes += [len(queue._flow_by_customer["keeper"].heap)]
    assert max(sizes) < 300


def test_invalid_weight_and_service_time_raise_value_error():
    """Guards against invalid settings that cause a division by zero later."""
    with pytest.raises(ValueError, match="weight of a=0"):
        FairQueue({"a": 0.0})
    with pytest.raises(ValueError, match="service_ms=0"):
        FairQueue().observe_service(1, 0.0)
