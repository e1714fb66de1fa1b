"""Requests that ended without a complete answer, to recognize their retries."""

from collections import OrderedDict
from dataclasses import dataclass, field

# Largest difference, in ms, between the deadlines of a request and of its retry. A
# caller states the time it still waits, so that its deadline shifts by the time that
# the request needs to arrive, which a lost packet makes longer.
DEADLINE_TOLERANCE_MS = 300
# Upper bound of the remembered requests.
N_MAX_ENDED = 20_000


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """A request that ended without a complete answer, as one entry tells another.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    remaining_ms : int
        Time until the deadline of its caller, in ms.
    age_ms : int
        Time since the caller's first attempt arrived, in ms.
    """

    fingerprint: str
    remaining_ms: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class _Ended:
    """Monotonic times of a request: its caller's deadline and its first arrival."""

    deadline_ms: int
    arrived_at_ms: int


@dataclass(slots=True)
class EndedRequests:
    """Memory of requests that ended without a complete answer.

    A retry has the fingerprint of the ended request and the same deadline, because
    callers retry within one timeout. The entries of a failure domain tell each other
    of ended requests, because a retry may arrive at any of them. A request that is not
    in this memory counts as a fresh one.

    Parameters
    ----------
    n_max : int
        Upper bound of the remembered requests; the oldest is evicted first.

    Examples
    --------
    >>> ended = EndedRequests()
    >>> ended.record("f", deadline_ms=8_000, arrived_at_ms=0, now_ms=10)
    >>> ended.find_arrival_ms("f", deadline_ms=8_002)
    0
    >>> ended.find_arrival_ms("f", deadline_ms=9_000) is None
    True
    """

    n_max: int = N_MAX_ENDED
    _ended_by_fingerprint: OrderedDict[str, list[_Ended]] = field(
        default_factory=OrderedDict
    )
    _unsent: list[tuple[str, _Ended]] = field(default_factory=list)

    def record(
        self,
        fingerprint: str,
        deadline_ms: int,
        arrived_at_ms: int,
        now_ms: int,
        is_own: bool = False,
    ) -> None:
        """Remember a request until the deadline of its caller.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        deadline_ms : int
            Monotonic time until which the caller retries.
        arrived_at_ms : int
            Monotonic time of the caller's first attempt.
        now_ms : int
            Monotonic time; requests whose deadline has passed are discarded.
        is_own : bool
            Whether this entry served the request, so that its peers are told.
        """
        ended = _Ended(deadline_ms, arrived_at_ms)
        others = self._ended_by_fingerprint.pop(fingerprint, [])
        current = [other for other in others if other.deadline_ms > now_ms]
        self._ended_by_fingerprint[fingerprint] = [*current, ended]
        self._evict(now_ms)
        if is_own:
            self._unsent.append((fingerprint, ended))

    def find_arrival_ms(self, fingerprint: str, deadline_ms: int) -> int | None:
        """Return when the caller of a retry first arrived; None for a fresh request."""
        arrivals_ms = [
            ended.arrived_at_ms
            for ended in self._ended_by_fingerprint.get(fingerprint, ())
            if abs(ended.deadline_ms - deadline_ms) <= DEADLINE_TOLERANCE_MS
        ]
        return min(arrivals_ms, default=None)

    @property
    def has_unsent(self) -> bool:
        """Whether requests have ended here that the peers have not been told of."""
        return bool(self._unsent)

    def take_unsent(self, now_ms: int) -> tuple[EndedRequest, ...]:
        """Return the requests that the peers have not been told of, for one message."""
        unsent, self._unsent = self._unsent, []
        return tuple(
            EndedRequest(
                fingerprint, ended.deadline_ms - now_ms, now_ms - ended.arrived_at_ms
            )
            for fingerprint, ended in unsent
            if ended.deadline_ms > now_ms
        )

    def _evict(self, now_ms: int) -> None:
        """Discard the oldest fingerprints that have expired or are too many."""
        while self._ended_by_fingerprint:
            fingerprint, requests = next(iter(self._ended_by_fingerprint.items()))
            is_expired = all(ended.deadline_ms <= now_ms for ended in requests)
            if not is_expired and len(self._ended_by_fingerprint) <= self.n_max:
                return
            del self._ended_by_fingerprint[fingerprint]
