"""What endpoints say of themselves in their answers: leaving, and a pause."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellusher_core.events import LeavingMark

# Longer than any endpoint goes on serving after it has said that it leaves.
LEAVING_MS = 600_000
N_MAX_MARKS = 16_384
N_MAX_TOLD = 1_000


@dataclass(frozen=True, slots=True)
class _Leaving:
    incarnation: int
    noted_at_ms: int


@dataclass(frozen=True, slots=True)
class _Pause:
    incarnation: int
    until_ms: int


@dataclass(slots=True)
class Announcements:
    """Marks by endpoint; each holds for one start of it and no later one.

    They are kept apart from the views, because a registration that lapses and returns
    makes a new view of the same start.

    Load pattern of the ramp: an endpoint that asked for a pause is full. When its pause
    ends, every entry has requests waiting, and the sum of what each would send at once
    is several times what it can take. Each entry therefore sends one, and twice as many
    after each of them that is answered.

    Parameters
    ----------
    max_pause_ms : int
        Upper bound of a pause, whatever an endpoint asks for.

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
        """Mark a start of an endpoint; return whether that is news.

        One that does not say when it started is not marked, because its next start
        could not be told from it.
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
        """Return whether a start, or a later one, said that it leaves."""
        known = self._leaving_by_id.get(endpoint_id)
        return known is not None and incarnation <= known.incarnation

    def marks(self, now_ms: int) -> tuple[LeavingMark, ...]:
        """Return what to tell peers, and forget marks that are over."""
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
        """Whether any endpoint pauses or takes fewer attempts after a pause."""
        return bool(self._pause_by_id or self._n_ramp_by_id)

    def forget_pause(self, endpoint_id: str, now_ms: int) -> None:
        """Forget a pause that is over, of an endpoint that is gone."""
        pause = self._pause_by_id.get(endpoint_id)
        if pause is None or pause.until_ms <= now_ms:
            self._pause_by_id.pop(endpoint_id, None)
            self._n_ramp_by_id.pop(endpoint_id, None)

    def note_pause(
        self, endpoint_id: str, incarnation: int, pause_ms: int, now_ms: int
    ) -> int:
        """Begin or extend a pause; return how long it lasts, in ms."""
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
        """Return when an endpoint may be used again; 0 when it may be used now."""
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
        """Return when the next pause ends."""
        ends = [p.until_ms for p in self._pause_by_id.values() if p.until_ms > now_ms]
        return min(ends, default=None)

    def n_allowed(self, endpoint_id: str, n_slots: int) -> int:
        """Return how many own attempts an endpoint may hold after a pause."""
        return min(n_slots, self._n_ramp_by_id.get(endpoint_id, n_slots))

    def note_output(self, endpoint_id: str, n_slots: int) -> None:
        """Allow more after an answer."""
        n_allowed = self._n_ramp_by_id.get(endpoint_id)
        if n_allowed is None:
            return
        if 2 * n_allowed >= n_slots:
            del self._n_ramp_by_id[endpoint_id]
        else:
            self._n_ramp_by_id[endpoint_id] = 2 * n_allowed
