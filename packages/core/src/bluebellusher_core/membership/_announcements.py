"""Shutdowns and pauses that endpoints announce in their answers."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellusher_core.events import LeavingMark

# Age from which a leaving mark is discarded, in ms. It is longer than any endpoint
# continues to serve after it has announced its shutdown.
LEAVING_MAX_AGE_MS = 600_000
# Upper bound of the stored leaving marks, and of the stored pauses.
N_MAX_MARKS = 16_384
# Upper bound of the leaving marks in one announcement to peers.
N_MAX_ANNOUNCED = 1_000


@dataclass(frozen=True, slots=True)
class _Leaving:
    """Start of an endpoint that announced its shutdown, and when it did so."""

    incarnation: int
    announced_at_ms: int


@dataclass(frozen=True, slots=True)
class _Pause:
    """Start of an endpoint that asked for a pause, and the end of the pause."""

    incarnation: int
    until_ms: int


@dataclass(slots=True)
class Announcements:
    """Leaving marks and pauses by endpoint.

    A leaving mark applies to the start of the endpoint that announced it and to earlier
    starts, a pause only to the start that asked for it. Both are stored apart from the
    views, because an endpoint whose registration expired and was renewed gets a new
    view for the same start.

    Load pattern: an endpoint that asks for a pause is full. When the pause ends, every
    entry has waiting requests, and together they would dispatch several times the
    capacity of the endpoint at once. After a pause, each entry therefore dispatches a
    single attempt and doubles the number of concurrent attempts with each answer.

    Parameters
    ----------
    max_pause_ms : int
        Upper bound of a pause, in ms; a longer one is shortened to it.

    Examples
    --------
    >>> announcements = Announcements(max_pause_ms=60_000)
    >>> announcements.record_pause("x1", incarnation=1, pause_ms=500, now_ms=0)
    500
    >>> announcements.paused_until_ms("x1", incarnation=1, now_ms=499)
    500
    >>> announcements.paused_until_ms("x1", incarnation=2, now_ms=499)
    0
    """

    max_pause_ms: int
    _leaving_by_id: OrderedDict[str, _Leaving] = field(default_factory=OrderedDict)
    _pause_by_id: OrderedDict[str, _Pause] = field(default_factory=OrderedDict)
    _attempt_limit_by_id: dict[str, int] = field(default_factory=dict)

    def record_leaving(
        self, endpoint_id: str, incarnation: int, announced_at_ms: int
    ) -> bool:
        """Record that an endpoint announced its shutdown; return whether it is new.

        An endpoint that does not report its start (``incarnation`` 0) is not recorded,
        because its next start could not be distinguished from this one.
        """
        if not incarnation:
            return False
        mark = self._leaving_by_id.get(endpoint_id)
        if mark is not None and mark.incarnation >= incarnation:
            return False
        self._leaving_by_id[endpoint_id] = _Leaving(incarnation, announced_at_ms)
        self._leaving_by_id.move_to_end(endpoint_id)
        while len(self._leaving_by_id) > N_MAX_MARKS:
            self._leaving_by_id.popitem(last=False)
        return True

    def is_leaving(self, endpoint_id: str, incarnation: int) -> bool:
        """Return whether this start, or a later one, announced its shutdown."""
        mark = self._leaving_by_id.get(endpoint_id)
        return mark is not None and incarnation <= mark.incarnation

    def leaving_marks(self, now_ms: int) -> tuple[LeavingMark, ...]:
        """Discard expired leaving marks; return the latest ones for the peers."""
        expired_ids = [
            endpoint_id
            for endpoint_id, mark in self._leaving_by_id.items()
            if now_ms - mark.announced_at_ms > LEAVING_MAX_AGE_MS
        ]
        for endpoint_id in expired_ids:
            del self._leaving_by_id[endpoint_id]
        latest = list(self._leaving_by_id.items())[-N_MAX_ANNOUNCED:]
        return tuple(
            LeavingMark(endpoint_id, mark.incarnation, now_ms - mark.announced_at_ms)
            for endpoint_id, mark in latest
        )

    @property
    def has_limits(self) -> bool:
        """Whether any endpoint pauses or has a limit of attempts after a pause."""
        return bool(self._pause_by_id or self._attempt_limit_by_id)

    def discard_ended_pause(self, endpoint_id: str, now_ms: int) -> None:
        """Discard a lost endpoint's pause, if it has ended, and its attempt limit."""
        pause = self._pause_by_id.get(endpoint_id)
        if pause is None or pause.until_ms <= now_ms:
            self._pause_by_id.pop(endpoint_id, None)
            self._attempt_limit_by_id.pop(endpoint_id, None)

    def record_pause(
        self, endpoint_id: str, incarnation: int, pause_ms: int, now_ms: int
    ) -> int:
        """Start or extend a pause; return the time until it ends, in ms."""
        pause_ms = max(0, min(pause_ms, self.max_pause_ms))
        until_ms = now_ms + pause_ms
        previous = self._pause_by_id.get(endpoint_id)
        if previous is not None and previous.incarnation == incarnation:
            until_ms = max(until_ms, previous.until_ms)
        if pause_ms:
            self._pause_by_id[endpoint_id] = _Pause(incarnation, until_ms)
            self._attempt_limit_by_id[endpoint_id] = 1
            while len(self._pause_by_id) > N_MAX_MARKS:
                oldest_id, _ = self._pause_by_id.popitem(last=False)
                self._attempt_limit_by_id.pop(oldest_id, None)
        return until_ms - now_ms

    def paused_until_ms(self, endpoint_id: str, incarnation: int, now_ms: int) -> int:
        """Return the end of an endpoint's pause, in monotonic ms; 0 without a pause."""
        pause = self._pause_by_id.get(endpoint_id)
        if pause is None:
            return 0
        if pause.incarnation != incarnation:
            if pause.incarnation < incarnation:
                del self._pause_by_id[endpoint_id]
                self._attempt_limit_by_id.pop(endpoint_id, None)
            return 0
        if pause.until_ms <= now_ms:
            del self._pause_by_id[endpoint_id]
            return 0
        return pause.until_ms

    def next_pause_end_ms(self, now_ms: int) -> int | None:
        """Return the earliest end of a pause, in monotonic ms, or ``None``."""
        ends = [p.until_ms for p in self._pause_by_id.values() if p.until_ms > now_ms]
        return min(ends, default=None)

    def attempt_limit(self, endpoint_id: str, n_slots: int) -> int:
        """Return the limit of concurrent own attempts, which grows after a pause."""
        return min(n_slots, self._attempt_limit_by_id.get(endpoint_id, n_slots))

    def record_output(self, endpoint_id: str, n_slots: int) -> None:
        """Double the limit of attempts after an answer of the endpoint."""
        attempt_limit = self._attempt_limit_by_id.get(endpoint_id)
        if attempt_limit is None:
            return
        if 2 * attempt_limit >= n_slots:
            del self._attempt_limit_by_id[endpoint_id]
        else:
            self._attempt_limit_by_id[endpoint_id] = 2 * attempt_limit
