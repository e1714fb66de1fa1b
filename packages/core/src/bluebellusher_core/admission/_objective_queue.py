"""Queue ordered by latency objective and caller timeout, with early rejection."""

import heapq
from dataclasses import dataclass
from math import inf

from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import RequestSpec

# Default time from dispatch to the first byte, in ms.
DEFAULT_FIRST_BYTE_MS = 150.0
# Head start of a request over one of the next lower priority, in ms.
PRIORITY_HEAD_START_MS = 100.0
# A caller retries only when ``retry_after_ms`` is at most this share of the time to
# its deadline.
MAX_RETRY_AFTER_SHARE = 1 / 3
# Lower bound of ``retry_after_ms``.
MIN_RETRY_AFTER_MS = 100
# Retries are spread between this share of the longest ``retry_after_ms`` that a caller
# accepts and the whole of it.
MIN_RETRY_AFTER_SHARE = 0.4
# The same share while a service is closed. The time at which it opens is not known; a
# longer ``retry_after_ms`` is more likely to end after it.
MIN_CLOSED_RETRY_AFTER_SHARE = 0.8
# Golden ratio without its integer part; steps of this size modulo 1 spread successive
# values evenly over an interval.
SPREAD_STEP = 0.6180339887498949


@dataclass(slots=True)
class _WaitingRequest:
    """A waiting request and the time limit that orders it."""

    request: RequestSpec
    # Latest start that meets the next time limit, plus the handicap of the priority.
    key_ms: float
    # Whether the objective is missed, so that only the caller's timeout counts.
    is_late: bool
    is_current: bool = True
    is_requeued: bool = False

    def __lt__(self, other: "_WaitingRequest") -> bool:
        return self.key_ms < other.key_ms


class ObjectiveQueue:
    """Earliest-deadline-first queue that rejects requests that would be late.

    A request has two time limits. After its latency objective the answer is worth less;
    after the timeout of its caller it is worth nothing. Requests are ordered by the
    next limit that they reach. A retried request has missed its objective already, so
    that only the timeout of its caller counts.

    Load pattern: bursts of two to three times the capacity. Serving all requests in
    order of arrival would make every request late. A fresh request, which is not a
    retry, is therefore rejected at once when it would wait past its objective, and its
    caller is asked to retry when the burst is over. The retried request is accepted
    when it can start before the timeout of its caller.

    Parameters
    ----------
    first_byte_ms : float
        Expected time from dispatch to the first byte, in ms.

    Examples
    --------
    >>> queue = ObjectiveQueue()
    >>> len(queue)
    0
    """

    def __init__(self, first_byte_ms: float = DEFAULT_FIRST_BYTE_MS) -> None:
        self._first_byte_ms = first_byte_ms
        self._waiting_by_id: dict[str, _WaitingRequest] = {}
        self._heap: list[_WaitingRequest] = []
        self._service_interval_ms = 0.0
        self._spread_position = 0.0
        self._is_closed = False
        self._pause_remaining_ms = 0
        self._n_rejected_in_pause = 0

    def offer(self, request: RequestSpec, now_ms: int) -> Rejection | None:
        """Add the request, or reject it when it would be served too late."""
        if request.deadline_ms <= now_ms:
            return self._reject(request, Reason.DEADLINE_EXCEEDED, now_ms)
        waiting = self._make_waiting(request, now_ms)
        if self._is_closed and not self._pause_remaining_ms:
            # It is not known when the service opens, nor how much it can then serve.
            self._enqueue(waiting)
            return None
        wait_ms = self._predict_wait_ms(waiting)
        is_unreachable = now_ms + wait_ms > self._latest_accepted_start_ms(waiting)
        if self._pause_remaining_ms and is_unreachable:
            return self._reject(request, Reason.ENDPOINTS_PAUSED, now_ms)
        if self._waiting_by_id and is_unreachable:
            return self._reject(request, Reason.DEADLINE_UNREACHABLE, now_ms)
        self._enqueue(waiting)
        return None

    def dequeue(self, now_ms: int) -> RequestSpec | None:
        """Remove and return the request whose next time limit is earliest.

        A closed service may still accept requests, which it runs when it opens. Fresh
        requests then stay in the queue, because a request that has been dispatched
        cannot be rejected as not run.
        """
        held_back: list[_WaitingRequest] = []
        waiting = self._pop_earliest(now_ms)
        while waiting is not None and self._must_hold_back(waiting):
            held_back.append(waiting)
            waiting = self._pop_earliest(now_ms)
        for other in held_back:
            heapq.heappush(self._heap, other)
        if waiting is None:
            return None
        del self._waiting_by_id[waiting.request.request_id]
        waiting.is_current = False
        return waiting.request

    def _must_hold_back(self, waiting: _WaitingRequest) -> bool:
        """Return whether a request stays in the queue because the service is closed."""
        is_fresh = not (waiting.request.is_returning or waiting.is_requeued)
        return self._is_closed and is_fresh

    def _pop_earliest(self, now_ms: int) -> _WaitingRequest | None:
        """Remove the request with the earliest time limit from the heap."""
        while self._heap:
            waiting = heapq.heappop(self._heap)
            if not waiting.is_current:
                continue
            if not waiting.is_late and waiting.key_ms <= now_ms:
                # The objective is missed, so only the caller's timeout counts.
                waiting.is_late = True
                waiting.key_ms = self._latest_start_ms(waiting.request)
                heapq.heappush(self._heap, waiting)
                continue
            return waiting
        return None

    def requeue(self, request: RequestSpec, now_ms: int) -> None:
        """Put a dequeued request that could not be dispatched back to the front."""
        waiting = self._make_waiting(request, now_ms)
        waiting.key_ms, waiting.is_late = -inf, True
        waiting.is_requeued = True
        self._enqueue(waiting)

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller disconnected; return whether it waited."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return False
        waiting.is_current = False
        return True

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Rejection]]:
        """Remove and reject requests that cannot start before their caller leaves."""
        expired: list[tuple[RequestSpec, Rejection]] = []
        for waiting in list(self._waiting_by_id.values()):
            request = waiting.request
            latest_start_ms = self._latest_start_ms(request)
            if latest_start_ms > now_ms + self._pause_remaining_ms:
                continue
            if latest_start_ms > now_ms:
                reason = Reason.ENDPOINTS_PAUSED
            elif self._is_closed:
                reason = Reason.ENDPOINTS_CLOSED
            else:
                reason = Reason.DEADLINE_UNREACHABLE
            self.remove(request.request_id)
            expired.append((request, self._reject(request, reason, now_ms)))
        return expired

    def observe_service(self, n_slots: int, service_ms: float) -> None:
        """Set the number of concurrent requests and their mean service time in ms."""
        self._service_interval_ms = service_ms / max(1, n_slots)

    def observe_closed(self, is_closed: bool) -> None:
        """Set whether every endpoint is closed, that is, can run no request now.

        Load pattern: a group of ranks stops for seconds when it loses a rank. The time
        at which it opens again is not known. A caller waits some time for its first
        byte and retries once or twice. A request therefore waits until its caller would
        leave, and is then rejected with a long ``retry_after_ms``; the retried request
        waits once more. Together, the two waits and the pause cover most of the time to
        the caller's deadline.
        """
        self._is_closed = is_closed

    def reject_closed(self, request: RequestSpec, now_ms: int) -> Rejection:
        """Return the rejection of a request that a closed endpoint has refused."""
        return self._reject(request, Reason.ENDPOINTS_CLOSED, now_ms)

    def observe_pause(self, pause_ms: int) -> None:
        """Set the time until an endpoint takes work again, in ms; 0 when one does now.

        Load pattern: every endpoint of a service is full and asks for a pause. Requests
        that can still be served after the pause wait. Others are rejected at once and
        asked to retry one after another from the end of the pause on, at the rate at
        which requests are served.
        """
        if not pause_ms:
            self._n_rejected_in_pause = 0
        self._pause_remaining_ms = pause_ms

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_by_id)

    def _make_waiting(self, request: RequestSpec, now_ms: int) -> _WaitingRequest:
        """Return a queue item, limited by its objective or by its caller's timeout."""
        latest_start_ms = self._latest_start_ms(request)
        objective_ms = request.objective_at_ms
        priority_ms = PRIORITY_HEAD_START_MS * float(request.priority)
        if objective_ms is None or request.is_returning:
            return _WaitingRequest(request, latest_start_ms + priority_ms, True)
        latest_on_time_start_ms = objective_ms - self._first_byte_ms
        if latest_on_time_start_ms <= now_ms:
            return _WaitingRequest(request, latest_start_ms + priority_ms, True)
        return _WaitingRequest(request, latest_on_time_start_ms + priority_ms, False)

    def _latest_start_ms(self, request: RequestSpec) -> float:
        """Return the latest start, in monotonic ms, before the caller times out."""
        start_by_ms = request.start_by_ms
        limit_ms = request.deadline_ms if start_by_ms is None else start_by_ms
        return min(limit_ms, request.deadline_ms) - self._first_byte_ms

    def _latest_accepted_start_ms(self, waiting: _WaitingRequest) -> float:
        """Return the latest start, in monotonic ms, for which a request is accepted."""
        if waiting.is_late:
            return self._latest_start_ms(waiting.request)
        return waiting.key_ms

    def _predict_wait_ms(self, waiting: _WaitingRequest) -> float:
        """Return the predicted wait, in ms, behind the pause and earlier requests."""
        n_ahead = sum(
            1
            for other in self._waiting_by_id.values()
            if other.key_ms <= waiting.key_ms
        )
        return self._pause_remaining_ms + n_ahead * self._service_interval_ms

    def _enqueue(self, waiting: _WaitingRequest) -> None:
        self._waiting_by_id[waiting.request.request_id] = waiting
        heapq.heappush(self._heap, waiting)

    def _reject(self, request: RequestSpec, reason: Reason, now_ms: int) -> Rejection:
        retry_after_ms = self._compute_retry_after_ms(request, now_ms)
        return Rejection(Outcome.NOT_RUN, reason, "admission", "", retry_after_ms)

    def _compute_retry_after_ms(self, request: RequestSpec, now_ms: int) -> int:
        """Return the ``retry_after_ms`` of a rejection; retries are spread in time."""
        if self._pause_remaining_ms:
            self._n_rejected_in_pause += 1
            turn_ms = self._n_rejected_in_pause * self._service_interval_ms
            return max(MIN_RETRY_AFTER_MS, self._pause_remaining_ms + int(turn_ms))
        self._spread_position = (self._spread_position + SPREAD_STEP) % 1.0
        max_retry_after_ms = (
            max(0, request.deadline_ms - now_ms) * MAX_RETRY_AFTER_SHARE
        )
        min_share = (
            MIN_CLOSED_RETRY_AFTER_SHARE if self._is_closed else MIN_RETRY_AFTER_SHARE
        )
        share = min_share + (1 - min_share) * self._spread_position
        return max(MIN_RETRY_AFTER_MS, int(max_retry_after_ms * share))
