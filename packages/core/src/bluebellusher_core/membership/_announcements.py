"""Shutdowns and pauses that endpoints announce in their answers."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellusher_core.events import LeavingMark

# Age from which a leaving mark is discarded, in ms. It is longer than any endpoint
# continues to serve after it has announced its shutdown.
LEAVING_MS = 600_000
# Upper bound of the stored leaving marks, and of the stored pauses.
N_MAX_MARKS = 16_384
# Upper bound of the leaving marks in one announcement to peers.
N_MAX_TOLD = 1_000


@dataclass(frozen=True, slots=True)
class _Leaving:
    """The start of an endpoint that announced its shutdown, and the time of that."""

    incarnation: int
    noted_at_ms: int


@dataclass(frozen=True, slots=True)
class _Pause:
    """The start of an endpoint that asked for a pause, and the end of the pause."""

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
    >>> announcements.note_pause("x1", incarnation=1, pause_ms=500, now_ms=0)
    500
    >>> announcements.paused_until_ms("x1", incarnation=1, now_ms=499)
    500
    >>> announcements.paused_until_ms("x1", incarnation=2, now_ms=499)
    0
    """

    max_pause_ms: int
    _leaving_by_id: OrderedDict[str, _Leaving] = field(default_factory=OrderedDict)
    _pause_by_id: OrderedDict[str, _Pause] = field(default_factory=OrderedDict)
    _n_ramp_by_id: dict[str, int] = field(default_factory=dict)

    def note_leaving(self, endpoint_id: str, incarnation: int, at_ms: int) -> bool:
        """Record that an endpoint announced its shutdown; return whether it is new.

        An endpoint without a known start (``incarnation`` 0) is not recorded, because
        its next start could not be distinguished from this one.
        """
        if not incarnation:
            return False
        known = self._leaving_by_id.get(endpoint_id)
        if known is not None and known.incarnation >= incarnation:
            return False
        self._leaving_by_id[endpoint_id] = _Leaving(incarnation, at_ms)
        self._leaving_by_id.move_to_end(endpoint_id)
        while len(self._leaving_by_id) > N_MAX_MARKS:
            self._leaving_by_id.popitem(last=False)
        return True

    def is_leaving(self, endpoint_id: str, incarnation: int) -> bool:
        """Return whether this start, or a later one, announced its shutdown."""
        known = self._leaving_by_id.get(endpoint_id)
        return known is not None and incarnation <= known.incarnation

    def marks(self, now_ms: int) -> tuple[LeavingMark, ...]:
        """Discard expired leaving marks; return the latest ones for the peers."""
        over = [
            endpoint_id
            for endpoint_id, known in self._leaving_by_id.items()
            if now_ms - known.noted_at_ms > LEAVING_MS
        ]
        for endpoint_id in over:
            del self._leaving_by_id[endpoint_id]
        told = list(self._leaving_by_id.items())[-N_MAX_TOLD:]
        return tuple(
            LeavingMark(endpoint_id, known.incarnation, now_ms - known.noted_at_ms)
            for endpoint_id, known in told
        )

    @property
    def has_limits(self) -> bool:
        """Whether any endpoint pauses or has a limit of attempts after a pause."""
        return bool(self._pause_by_id or self._n_ramp_by_id)

    def forget_pause(self, endpoint_id: str, now_ms: int) -> None:
        """Discard the attempt limit of a lost endpoint once its pause has ended."""
        pause = self._pause_by_id.get(endpoint_id)
        if pause is None or pause.until_ms <= now_ms:
            self._pause_by_id.pop(endpoint_id, None)
            self._n_ramp_by_id.pop(endpoint_id, None)

    def note_pause(
        self, endpoint_id: str, incarnation: int, pause_ms: int, now_ms: int
    ) -> int:
        """Start or extend a pause; return the time until it ends, in ms."""
        pause_ms = max(0, min(pause_ms, self.max_pause_ms))
        until_ms = now_ms + pause_ms
        known = self._pause_by_id.get(endpoint_id)
        if known is not None and known.incarnation == incarnation:
            until_ms = max(until_ms, known.until_ms)
        if pause_ms:
            self._pause_by_id[endpoint_id] = _Pause(incarnation, until_ms)
            self._n_ramp_by_id[endpoint_id] = 1
            while len(self._pause_by_id) > N_MAX_MARKS:
                oldest_id, _ = self._pause_by_id.popitem(last=False)
                self._n_ramp_by_id.pop(oldest_id, None)
        return until_ms - now_ms

    def paused_until_ms(self, endpoint_id: str, incarnation: int, now_ms: int) -> int:
        """Return the end of an endpoint's pause, in monotonic ms; 0 without a pause."""
        pause = self._pause_by_id.get(endpoint_id)
        if pause is None:
            return 0
        if pause.incarnation != incarnation:
            if pause.incarnation < incarnation:
                del self._pause_by_id[endpoint_id]
                self._n_ramp_by_id.pop(endpoint_id, None)
            return 0
        if pause.until_ms <= now_ms:
            del self._pause_by_id[endpoint_id]
            return 0
        return pause.until_ms

    def next_end_ms(self, now_ms: int) -> int | None:
        """Return the earliest end of a pause, in monotonic ms, or ``None``."""
        ends = [p.until_ms for p in self._pause_by_id.values() if p.until_ms > now_ms]
        return min(ends, default=None)

    def n_allowed(self, endpoint_id: str, n_slots: int) -> int:
        """Return the limit of concurrent own attempts, which grows after a pause."""
        return min(n_slots, self._n_ramp_by_id.get(endpoint_id, n_slots))

    def note_output(self, endpoint_id: str, n_slots: int) -> None:
        """Double the limit of attempts after an answer of the endpoint."""
        n_allowed = self._n_ramp_by_id.get(endpoint_id)
        if n_allowed is None:
            return
        if 2 * n_allowed >= n_slots:
            del self._n_ramp_by_id[endpoint_id]
        else:
            self._n_ramp_by_id[endpoint_id] = 2 * n_allowed
