"""Queue ordered by latency objective and caller timeout, with early rejection."""

import heapq
from collections import deque
from dataclasses import dataclass
from math import inf

from bluebellusher_core.errors import Outcome, Reason, Refusal
from bluebellusher_core.events import RequestSpec

# Default time from dispatch to the first byte, in ms.
DEFAULT_START_MS = 150.0
# Head start of a request over one of the next lower priority, in ms.
PRIORITY_MS = 100.0
# A caller retries only when ``retry_after_ms`` is at most this share of the time to
# its deadline.
RETURN_SHARE = 1 / 3
MIN_RETRY_AFTER_MS = 100
# Retries are spread between this share of the longest ``retry_after_ms`` that a caller
# accepts and the whole of it.
MIN_PAUSE_SHARE = 0.4
# The same share while a service is closed. The time at which it opens is not known; a
# longer ``retry_after_ms`` is more likely to end after it.
MIN_CLOSED_PAUSE_SHARE = 0.8
# Window over which arrivals of fresh requests are counted, in ms.
ARRIVAL_WINDOW_MS = 2_000
# Least share of the capacity that retried requests are predicted to get. Under
# overload, fresh requests use all of it, and a few retried ones must still be served.
MIN_SPARE_SHARE = 0.1
# Golden ratio without its integer part; steps of this size modulo 1 spread successive
# values evenly over an interval.
SPREAD_STEP = 0.6180339887498949


@dataclass(slots=True)
class _Waiting:
    """A waiting request and the time limit that orders it."""

    request: RequestSpec
    # Latest start that meets the next time limit, plus the handicap of the priority.
    key_ms: float
    # Whether the objective is missed, so that only the caller's timeout counts.
    is_late: bool
    is_current: bool = True
    is_put_back: bool = False

    def __lt__(self, other: "_Waiting") -> bool:
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
    start_ms : float
        Expected time from dispatch to the first byte, in ms.

    Examples
    --------
    >>> queue = ObjectiveQueue()
    >>> len(queue)
    0
    """

    def __init__(self, start_ms: float = DEFAULT_START_MS) -> None:
        self._start_ms = start_ms
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._heap: list[_Waiting] = []
        self._interval_ms = 0.0
        self._spread = 0.0
        self._is_closed = False
        self._paused_ms = 0
        self._n_refused_in_pause = 0
        self._fresh_at_ms: deque[int] = deque()

    def offer(self, request: RequestSpec, now_ms: int) -> Refusal | None:
        """Add the request, or reject it when it would be served too late."""
        self._note_arrival(request, now_ms)
        if request.deadline_ms <= now_ms:
            return self._refuse(request, Reason.DEADLINE_EXCEEDED, now_ms)
        if self._is_closed and not request.is_returning:
            return self._refuse(request, Reason.ENDPOINTS_CLOSED, now_ms)
        waiting = self._make_waiting(request, now_ms)
        wait_ms = self._predict_wait_ms(waiting)
        is_unreachable = now_ms + wait_ms > self._give_up_ms(waiting)
        if self._paused_ms and is_unreachable:
            return self._refuse(request, Reason.ENDPOINTS_PAUSED, now_ms)
        if self._waiting_by_id and is_unreachable:
            return self._refuse(request, Reason.DEADLINE_UNREACHABLE, now_ms)
        self._add(waiting)
        return None

    def take(self, now_ms: int) -> RequestSpec | None:
        """Remove and return the request whose next time limit is earliest."""
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
            del self._waiting_by_id[waiting.request.request_id]
            waiting.is_current = False
            return waiting.request
        return None

    def put_back(self, request: RequestSpec, now_ms: int) -> None:
        """Put a dequeued request that could not be dispatched back to the front."""
        waiting = self._make_waiting(request, now_ms)
        waiting.key_ms, waiting.is_late = -inf, True
        waiting.is_put_back = True
        self._add(waiting)

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller disconnected; return whether it waited."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return False
        waiting.is_current = False
        return True

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Refusal]]:
        """Remove requests that must not wait any longer, with their rejections.

        These are requests that cannot start before the timeout of their caller. While
        every endpoint is closed, they are also the fresh requests, whose callers can
        retry.
        """
        expired: list[tuple[RequestSpec, Refusal]] = []
        for waiting in list(self._waiting_by_id.values()):
            request = waiting.request
            reason = Reason.DEADLINE_UNREACHABLE
            latest_ms = self._latest_start_ms(request)
            if now_ms < latest_ms <= now_ms + self._paused_ms:
                reason = Reason.ENDPOINTS_PAUSED
            elif latest_ms > now_ms:
                if not self._is_closed or request.is_returning or waiting.is_put_back:
                    continue
                reason = Reason.ENDPOINTS_CLOSED
            self.remove(request.request_id)
            expired.append((request, self._refuse(request, reason, now_ms)))
        return expired

    def observe_service(self, n_slots: int, service_ms: float) -> None:
        """Set the number of concurrent requests and their mean service time in ms."""
        self._interval_ms = service_ms / max(1, n_slots)

    def observe_closed(self, is_closed: bool) -> None:
        """Set whether every endpoint is closed, that is, can run no request now.

        Load pattern: a group of ranks stops for seconds when it loses a rank. The time
        at which it opens again is not known. A fresh request is therefore rejected at
        once, with a ``retry_after_ms`` after which it can still be served. A retried
        request may not be retried again, so it waits until the timeout of its caller.
        Only as many retried requests wait as the endpoints can serve in addition to
        fresh ones after they open, because more would make all fresh requests late.
        """
        self._is_closed = is_closed

    def observe_pause(self, pause_ms: int) -> None:
        """Set the time until the first pause of an endpoint ends, in ms; 0 for none.

        Load pattern: every endpoint of a service is full and asks for a pause. Requests
        that can still be served after the pause wait. Others are rejected at once and
        asked to retry one after another from the end of the pause on, at the rate at
        which requests are served.
        """
        if not pause_ms:
            self._n_refused_in_pause = 0
        self._paused_ms = pause_ms

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_by_id)

    def _make_waiting(self, request: RequestSpec, now_ms: int) -> _Waiting:
        latest_ms = self._latest_start_ms(request)
        objective_ms = request.objective_at_ms
        priority_ms = PRIORITY_MS * float(request.priority)
        if objective_ms is None or request.is_returning:
            return _Waiting(request, latest_ms + priority_ms, True)
        on_time_ms = objective_ms - self._start_ms
        if on_time_ms <= now_ms:
            return _Waiting(request, latest_ms + priority_ms, True)
        return _Waiting(request, on_time_ms + priority_ms, False)

    def _latest_start_ms(self, request: RequestSpec) -> float:
        start_by_ms = request.start_by_ms
        limit_ms = request.deadline_ms if start_by_ms is None else start_by_ms
        return min(limit_ms, request.deadline_ms) - self._start_ms

    def _give_up_ms(self, waiting: _Waiting) -> float:
        """Return the latest predicted start at which a request is still accepted."""
        if waiting.is_late:
            return self._latest_start_ms(waiting.request)
        return waiting.key_ms

    def _predict_wait_ms(self, waiting: _Waiting) -> float:
        n_ahead = sum(
            1
            for other in self._waiting_by_id.values()
            if other.key_ms <= waiting.key_ms
        )
        wait_ms = self._paused_ms + n_ahead * self._interval_ms
        return wait_ms / self._spare_share() if self._is_closed else wait_ms

    def _spare_share(self) -> float:
        """Return the share of the capacity that fresh requests leave free."""
        used_share = len(self._fresh_at_ms) * self._interval_ms / ARRIVAL_WINDOW_MS
        return max(MIN_SPARE_SHARE, 1 - used_share)

    def _note_arrival(self, request: RequestSpec, now_ms: int) -> None:
        if not request.is_returning:
            self._fresh_at_ms.append(now_ms)
        while self._fresh_at_ms and self._fresh_at_ms[0] <= now_ms - ARRIVAL_WINDOW_MS:
            self._fresh_at_ms.popleft()

    def _add(self, waiting: _Waiting) -> None:
        self._waiting_by_id[waiting.request.request_id] = waiting
        heapq.heappush(self._heap, waiting)

    def _refuse(self, request: RequestSpec, reason: Reason, now_ms: int) -> Refusal:
        pause_ms = self._pause_ms(request, now_ms)
        return Refusal(Outcome.NOT_RUN, reason, "admission", "", pause_ms)

    def _pause_ms(self, request: RequestSpec, now_ms: int) -> int:
        """Return the ``retry_after_ms`` of a rejection; retries are spread in time."""
        if self._paused_ms:
            self._n_refused_in_pause += 1
            turn_ms = self._n_refused_in_pause * self._interval_ms
            return max(MIN_RETRY_AFTER_MS, self._paused_ms + int(turn_ms))
        self._spread = (self._spread + SPREAD_STEP) % 1.0
        longest_ms = max(0, request.deadline_ms - now_ms) * RETURN_SHARE
        least = MIN_CLOSED_PAUSE_SHARE if self._is_closed else MIN_PAUSE_SHARE
        share = least + (1 - least) * self._spread
        return max(MIN_RETRY_AFTER_MS, int(longest_ms * share))
