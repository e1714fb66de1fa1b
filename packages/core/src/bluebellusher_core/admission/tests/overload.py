"""Simulation of an overload in virtual time, with callers that time out and retry."""

import heapq
import itertools
from dataclasses import dataclass, replace
from random import Random

from bluebellusher_core.events import Priority, RequestSpec

OBJECTIVE_MS = 400
PATIENCE_MS = 2_000
DEADLINE_MS = 8_000
START_MS = 150
SERVICE_MS = 1_500
N_SLOTS = 18
LATE_UTILITY = 0.5
POLL_MS = 50


@dataclass
class Result:
    """Number of callers by the end of their requests."""

    n_asked: int = 0
    n_on_time: int = 0
    n_late: int = 0
    n_refused: int = 0
    n_left: int = 0
    n_refused_while_free: int = 0
    longest_refusal_ms: int = 0

    @property
    def utility(self):
        """Mean utility per caller: 1 on time, ``LATE_UTILITY`` late, else 0."""
        return (self.n_on_time + LATE_UTILITY * self.n_late) / self.n_asked


def make_request(request_id, now_ms, first_ms, n_refusals):
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
        start_by_ms=min(deadline_ms, now_ms + PATIENCE_MS),
        is_returning=n_refusals > 0,
    )


def replay(queue, load_at, length_ms=12_000, closed_ms=(0, 0), n_returns=1, seed=5):
    """Simulate arrivals at one service; return the number of callers by result.

    Parameters
    ----------
    queue : AdmissionQueue
        The queue under test.
    load_at : callable
        Returns the load at a time, as a multiple of the capacity.
    length_ms : int
        Duration in which new callers arrive, in ms.
    closed_ms : tuple of int
        Start and end of the time in which the service runs no request.
    n_returns : int
        Number of times that a caller retries after a rejection.
    """
    chance, result, ids = Random(seed), Result(), itertools.count()
    events, order = [], itertools.count()

    def push(at_ms, kind, value):
        heapq.heappush(events, (at_ms, next(order), kind, value))

    per_ms = N_SLOTS / SERVICE_MS
    at_ms = 0.0
    while at_ms < length_ms:
        at_ms += chance.expovariate(per_ms * max(load_at(at_ms), 0.01))
        push(int(at_ms), "ask", (int(at_ms), 0))
    push(0, "poll", None)
    n_busy, caller_by_id = 0, {}
    while events:
        now_ms, _, kind, value = heapq.heappop(events)
        if now_ms > length_ms + 2 * DEADLINE_MS:
            break
        is_closed = closed_ms[0] <= now_ms < closed_ms[1]
        refusals = []
        if kind == "ask":
            first_ms, n_refusals = value
            result.n_asked += n_refusals == 0
            request = make_request(f"r{next(ids)}", now_ms, first_ms, n_refusals)
            caller_by_id[request.request_id] = (first_ms, n_refusals, now_ms)
            if len(queue):
                queue.observe_service(N_SLOTS, SERVICE_MS)
            if hasattr(queue, "observe_closed"):
                queue.observe_closed(is_closed)
            is_free = n_busy < N_SLOTS and not len(queue) and not is_closed
            refusal = queue.offer(request, now_ms)
            if refusal is not None:
                result.n_refused_while_free += is_free
                refusals.append((request, refusal))
            push(now_ms + PATIENCE_MS, "leave", request.request_id)
        elif kind == "leave":
            if value in caller_by_id and queue.remove(value):
                del caller_by_id[value]
                result.n_left += 1
        elif kind == "end":
            n_busy -= 1
        else:
            push(now_ms + POLL_MS, "poll", None)
        refusals += queue.expire(now_ms)
        for request, refusal in refusals:
            first_ms, n_refusals, asked_ms = caller_by_id.pop(request.request_id)
            held_ms = now_ms - asked_ms
            result.longest_refusal_ms = max(result.longest_refusal_ms, held_ms)
            pause_ms = refusal.retry_after_ms
            can_return = n_refusals < n_returns
            if can_return and pause_ms < (request.deadline_ms - now_ms) / 3 + 1:
                push(now_ms + pause_ms, "ask", (first_ms, n_refusals + 1))
            else:
                result.n_refused += 1
        while n_busy < N_SLOTS and not is_closed and len(queue):
            taken = queue.take(now_ms)
            if taken is None:
                break
            first_ms, _, asked_ms = caller_by_id.pop(taken.request_id)
            if now_ms - asked_ms > PATIENCE_MS:
                continue
            n_busy += 1
            push(now_ms + SERVICE_MS, "end", None)
            is_on_time = now_ms + START_MS <= first_ms + OBJECTIVE_MS
            result.n_on_time += is_on_time
            result.n_late += not is_on_time
    return result


def with_deadline(request, deadline_ms):
    """Return a request with another deadline."""
    return replace(request, deadline_ms=deadline_ms)
