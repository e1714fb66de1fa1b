"""Queue by the time at which a late answer loses its use, with early refusal."""

import heapq
from collections import deque
from dataclasses import dataclass
from math import inf

from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import RequestSpec

# From dispatch to the first byte, until it has been observed.
DEFAULT_START_MS = 150.0
# Head start between neighbouring priorities.
PRIORITY_MS = 100.0
# A caller waits at most this share of its remaining time before it comes back.
RETURN_SHARE = 1 / 3
MIN_RETRY_AFTER_MS = 100
# Returns are spread over the upper part of the longest pause a caller accepts.
MIN_PAUSE_SHARE = 0.4
# While a service is closed its end is not known, and a longer pause reaches further.
MIN_CLOSED_PAUSE_SHARE = 0.8
# Time over which arrivals are counted.
ARRIVAL_WINDOW_MS = 2_000
# Under overload nothing is spare; a few that came back are served nevertheless.
MIN_SPARE_SHARE = 0.1
# Spreads successive values evenly over an interval (golden ratio).
SPREAD_STEP = 0.6180339887498949


@dataclass(slots=True)
class _Waiting:
    request: RequestSpec
    key_ms: float
    is_late: bool
    is_current: bool = True
    is_put_back: bool = False

    def __lt__(self, other: "_Waiting") -> bool:
        return self.key_ms < other.key_ms


class ObjectiveQueue:
    """Earliest time limit first, and refusal of what would be served late.

    An answer is of less use after its objective, and of none once its caller has
    stopped waiting; a request that came back is late already and can wait until the
    latter. Requests go in the order in which they reach the next of these times.

    Load pattern: bursts of two to three times the capacity. Serving everything in
    order of arrival would make every request late, so a fresh request that would wait
    past its objective is refused at once and told to come back when the burst is over;
    then it is accepted for as long as its caller waits.

    Parameters
    ----------
    start_ms : float
        Time from dispatch to the first byte, in ms.

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

    def offer(self, request: RequestSpec, now_ms: int) -> Rejection | None:
        """Add the request, or refuse it when it would be served too late."""
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
        """Remove and return the request whose next time limit comes first."""
        while self._heap:
            waiting = heapq.heappop(self._heap)
            if not waiting.is_current:
                continue
            if not waiting.is_late and waiting.key_ms <= now_ms:
                # Its objective is missed; it can wait as long as its caller does.
                waiting.is_late = True
                waiting.key_ms = self._latest_start_ms(waiting.request)
                heapq.heappush(self._heap, waiting)
                continue
            del self._waiting_by_id[waiting.request.request_id]
            waiting.is_current = False
            return waiting.request
        return None

    def put_back(self, request: RequestSpec, now_ms: int) -> None:
        """Return a request that could not be placed, to go first."""
        waiting = self._make_waiting(request, now_ms)
        waiting.key_ms, waiting.is_late = -inf, True
        waiting.is_put_back = True
        self._add(waiting)

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller left; return whether it was waiting."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return False
        waiting.is_current = False
        return True

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Rejection]]:
        """Remove and return requests that are better refused than kept waiting.

        These are requests whose callers will not wait long enough, and while every
        endpoint is closed also fresh ones, whose callers can come back.
        """
        expired: list[tuple[RequestSpec, Rejection]] = []
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
        """Tell how many own requests run at once and how long one takes."""
        self._interval_ms = service_ms / max(1, n_slots)

    def observe_closed(self, is_closed: bool) -> None:
        """Tell whether every endpoint states that it can run nothing now.

        Load pattern: a group of ranks stops for seconds when it loses a rank. Its end
        is not known, so that a fresh request is refused at once, with a pause after
        which its caller can still be served. For one that came back another refusal
        may be the last; it waits as long as its caller does. Only as many wait as the
        endpoints can serve beside fresh requests once they open, since those would
        otherwise all become late.
        """
        self._is_closed = is_closed

    def observe_pause(self, pause_ms: int) -> None:
        """Tell when the first endpoint takes work again; 0 when one does now.

        Load pattern: every endpoint of a service is full and asks for a pause. What can
        be served after it waits; others are refused at once and come back one after the
        other from its end on, at the rate at which requests are served.
        """
        if not pause_ms:
            self._n_refused_in_pause = 0
        self._paused_ms = pause_ms

    def __len__(self) -> int:
        """Return how many requests wait."""
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
        """Return the start after which refusing at once serves the caller better."""
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
        """Return the share of the endpoints that fresh requests leave free."""
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

    def _refuse(self, request: RequestSpec, reason: Reason, now_ms: int) -> Rejection:
        pause_ms = self._pause_ms(request, now_ms)
        return Rejection(Outcome.NOT_RUN, reason, "admission", "", pause_ms)

    def _pause_ms(self, request: RequestSpec, now_ms: int) -> int:
        """Return when to come back; callers that are refused together spread out."""
        if self._paused_ms:
            self._n_refused_in_pause += 1
            turn_ms = self._n_refused_in_pause * self._interval_ms
            return max(MIN_RETRY_AFTER_MS, self._paused_ms + int(turn_ms))
        self._spread = (self._spread + SPREAD_STEP) % 1.0
        longest_ms = max(0, request.deadline_ms - now_ms) * RETURN_SHARE
        least = MIN_CLOSED_PAUSE_SHARE if self._is_closed else MIN_PAUSE_SHARE
        share = least + (1 - least) * self._spread
        return max(MIN_RETRY_AFTER_MS, int(longest_ms * share))
