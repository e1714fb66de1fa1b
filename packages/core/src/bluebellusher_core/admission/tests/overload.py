"""Simulation of an overload in virtual time, with callers that time out and retry."""

import heapq
import itertools
from dataclasses import dataclass, replace
from random import Random

from bluebellusher_core.events import Priority, RequestSpec

OBJECTIVE_MS = 400
CALLER_TIMEOUT_MS = 2_000
DEADLINE_MS = 8_000
FIRST_BYTE_MS = 150
SERVICE_MS = 1_500
N_SLOTS = 18
LATE_UTILITY = 0.5
POLL_MS = 50


@dataclass
class SimulationResult:
    """Number of callers by the result of their requests."""

    n_callers: int = 0
    n_on_time: int = 0
    n_late: int = 0
    n_rejected: int = 0
    n_disconnected: int = 0
    n_rejected_while_free: int = 0
    max_wait_before_rejection_ms: int = 0

    @property
    def utility(self):
        """Mean utility per caller: 1 on time, ``LATE_UTILITY`` late, else 0."""
        return (self.n_on_time + LATE_UTILITY * self.n_late) / self.n_callers


def make_request(request_id, now_ms, first_ms, n_rejections):
    """Return a request of a caller whose first request was sent at ``first_ms``."""
    deadline_ms = first_ms + DEADLINE_MS
    return RequestSpec(
        request_id=request_id,
        customer_id="c",
        service_id="s",
        model="",
        adapter="",
        priority=Priority.NORMAL,
        deadline_ms=deadline_ms,
        is_idempotent=True,
        idempotency_key=None,
        fingerprint=request_id,
        prefix_hashes=(),
        n_input_tokens=1,
        n_max_output_tokens=1,
        objective_at_ms=first_ms + OBJECTIVE_MS,
        start_by_ms=min(deadline_ms, now_ms + CALLER_TIMEOUT_MS),
        is_returning=n_rejections > 0,
    )


def simulate(
    queue,
    get_load,
    simulated_ms=12_000,
    closed_interval_ms=(0, 0),
    n_max_retries=1,
    seed=5,
):
    """Simulate arrivals at one service; return the number of callers by result.

    Parameters
    ----------
    queue : AdmissionQueue
        The queue under test.
    get_load : callable
        Returns the load at a time, as a multiple of the capacity.
    simulated_ms : int
        Duration in which new callers arrive, in ms.
    closed_interval_ms : tuple of int
        Start and end of the time in which the service runs no request.
    n_max_retries : int
        Number of times that a caller retries after a rejection.
    """
    random_state, result, ids = Random(seed), SimulationResult(), itertools.count()
    events, order = [], itertools.count()

    def push(at_ms, kind, value):
        heapq.heappush(events, (at_ms, next(order), kind, value))

    arrivals_per_ms = N_SLOTS / SERVICE_MS
    at_ms = 0.0
    while at_ms < simulated_ms:
        at_ms += random_state.expovariate(arrivals_per_ms * max(get_load(at_ms), 0.01))
        push(int(at_ms), "send", (int(at_ms), 0))
    push(0, "poll", None)
    n_busy, caller_by_id = 0, {}
    while events:
        now_ms, _, kind, value = heapq.heappop(events)
        if now_ms > simulated_ms + 2 * DEADLINE_MS:
            break
        is_closed = closed_interval_ms[0] <= now_ms < closed_interval_ms[1]
        rejections = []
        if kind == "send":
            first_ms, n_rejections = value
            result.n_callers += n_rejections == 0
            request = make_request(f"r{next(ids)}", now_ms, first_ms, n_rejections)
            caller_by_id[request.request_id] = (first_ms, n_rejections, now_ms)
            if len(queue):
                queue.observe_service(N_SLOTS, SERVICE_MS)
            if hasattr(queue, "observe_closed"):
                queue.observe_closed(is_closed)
            has_free_slot = n_busy < N_SLOTS and not len(queue) and not is_closed
            rejection = queue.offer(request, now_ms)
            if rejection is not None:
                result.n_rejected_while_free += has_free_slot
                rejections.append((request, rejection))
            push(now_ms + CALLER_TIMEOUT_MS, "time_out", request.request_id)
        elif kind == "time_out":
            if value in caller_by_id and queue.remove(value):
                del caller_by_id[value]
                result.n_disconnected += 1
        elif kind == "end":
            n_busy -= 1
        else:
            push(now_ms + POLL_MS, "poll", None)
        rejections += queue.expire(now_ms)
        for request, rejection in rejections:
            first_ms, n_rejections, sent_ms = caller_by_id.pop(request.request_id)
            waited_ms = now_ms - sent_ms
            result.max_wait_before_rejection_ms = max(
                result.max_wait_before_rejection_ms, waited_ms
            )
            retry_after_ms = rejection.retry_after_ms
            can_retry = n_rejections < n_max_retries
            if can_retry and retry_after_ms < (request.deadline_ms - now_ms) / 3 + 1:
                push(now_ms + retry_after_ms, "send", (first_ms, n_rejections + 1))
            else:
                result.n_rejected += 1
        while n_busy < N_SLOTS and not is_closed and len(queue):
            dequeued = queue.dequeue(now_ms)
            if dequeued is None:
                break
            first_ms, _, sent_ms = caller_by_id.pop(dequeued.request_id)
            if now_ms - sent_ms > CALLER_TIMEOUT_MS:
                continue
            n_busy += 1
            push(now_ms + SERVICE_MS, "end", None)
            is_on_time = now_ms + FIRST_BYTE_MS <= first_ms + OBJECTIVE_MS
            result.n_on_time += is_on_time
            result.n_late += not is_on_time
    return result


def with_deadline(request, deadline_ms):
    """Return a request with another deadline."""
    return replace(request, deadline_ms=deadline_ms)
