"""Table of suspect, blocked and held fingerprints."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import Any

# Duration of a block and of a suspicion, in ms.
BLOCK_MS = 600_000
SUSPECT_MS = 600_000
# Duration of a hold, in ms. A restarted agent reconnects with a higher incarnation
# within seconds.
HOLD_MS = 5_000
# Upper bound of the fingerprints in each table.
N_MAX_FINGERPRINTS = 32_768
# Upper bound of the fingerprints of each kind that are sent to peers.
N_MAX_DIGEST = 1_000


@dataclass(frozen=True, slots=True)
class _Mark:
    """Expiry time of a mark, and whether this entry observed its cause itself."""

    expires_at_ms: int
    is_own: bool


@dataclass(frozen=True, slots=True)
class _Hold:
    """An isolated run whose end was not observed.

    No isolated run of its fingerprint starts before ``held_until_ms``. While
    ``is_lost`` is set, a restart of the endpoint before ``expires_at_ms`` confirms that
    the run crashed it.
    """

    endpoint_id: str
    incarnation: int
    held_until_ms: int
    expires_at_ms: int
    is_lost: bool


@dataclass(slots=True)
class PoisonTable:
    """Marks of fingerprints: blocked, suspect, cleared or held.

    A mark expires a fixed time after it was first set. A repeated message does not
    extend it, because entries that exchange their marks would otherwise keep it
    forever. For the same reason an entry sends its peers only the marks whose cause it
    observed itself.

    Parameters
    ----------
    n_max : int
        Upper bound of each table; the oldest mark is evicted first.
    """

    n_max: int = N_MAX_FINGERPRINTS
    _blocked: OrderedDict[str, _Mark] = field(default_factory=OrderedDict)
    _suspects: OrderedDict[str, _Mark] = field(default_factory=OrderedDict)
    _cleared_until_ms: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _holds: OrderedDict[str, _Hold] = field(default_factory=OrderedDict)
    _n_running: dict[str, int] = field(default_factory=dict)

    def block(
        self, fingerprint: str, now_ms: int, is_own: bool, block_ms: int = BLOCK_MS
    ) -> None:
        """Block a fingerprint for ``block_ms``, unless it is blocked already.

        ``is_own`` states whether this entry observed the cause itself.
        """
        self._holds.pop(fingerprint, None)
        self._suspects.pop(fingerprint, None)
        if self.is_blocked(fingerprint, now_ms):
            return
        self._blocked[fingerprint] = _Mark(now_ms + block_ms, is_own)
        evict_oldest(self._blocked, self.n_max)

    def unblock(self, fingerprint: str) -> bool:
        """Unblock a fingerprint; return whether it was blocked."""
        return self._blocked.pop(fingerprint, None) is not None

    def is_blocked(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether requests with the fingerprint are rejected now."""
        return _is_marked(self._blocked, fingerprint, now_ms)

    def blocked_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return the remaining time of a block, in ms; 0 without a block."""
        mark = self._blocked.get(fingerprint)
        return max(0, mark.expires_at_ms - now_ms) if mark is not None else 0

    def suspect(self, fingerprint: str, now_ms: int, is_own: bool) -> None:
        """Mark a fingerprint as suspect, so that it runs isolated.

        The mark is removed by ``clear`` or expires after ``SUSPECT_MS``. A peer's
        suspicion (``is_own`` is False) is ignored for a fingerprint that was cleared
        less than ``SUSPECT_MS`` ago.
        """
        if self.is_blocked(fingerprint, now_ms):
            return
        if not is_own and self._cleared_until_ms.get(fingerprint, now_ms) > now_ms:
            return
        if is_own:
            self._cleared_until_ms.pop(fingerprint, None)
        if self.is_suspect(fingerprint, now_ms):
            return
        self._suspects[fingerprint] = _Mark(now_ms + SUSPECT_MS, is_own)
        evict_oldest(self._suspects, self.n_max)

    def is_suspect(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether a fingerprint must run isolated."""
        return _is_marked(self._suspects, fingerprint, now_ms)

    def clear(self, fingerprint: str, now_ms: int) -> None:
        """Remove a hold and a suspicion after a completed run.

        Suspicions that peers send are ignored from then on for ``SUSPECT_MS``.
        """
        self._holds.pop(fingerprint, None)
        if self._suspects.pop(fingerprint, None) is None:
            return
        self._cleared_until_ms[fingerprint] = now_ms + SUSPECT_MS
        self._cleared_until_ms.move_to_end(fingerprint)
        evict_oldest(self._cleared_until_ms, self.n_max)

    def hold(
        self,
        fingerprint: str,
        endpoint_id: str,
        incarnation: int,
        is_lost: bool,
        now_ms: int,
    ) -> None:
        """Hold a fingerprint after an isolated run whose end was not observed.

        No isolated run of it starts for ``HOLD_MS``, in which the endpoint may restart.

        Parameters
        ----------
        fingerprint, endpoint_id, incarnation : str, str, int
            The request, the endpoint, and the incarnation of the agent that ran it.
        is_lost : bool
            Whether the connection was lost during the run, so that a restart of the
            endpoint confirms a crash.
        now_ms : int
            Monotonic time.
        """
        expires_at_ms = now_ms + SUSPECT_MS
        held_until_ms = now_ms + HOLD_MS
        hold = _Hold(endpoint_id, incarnation, held_until_ms, expires_at_ms, is_lost)
        self._holds[fingerprint] = hold
        self._holds.move_to_end(fingerprint)
        evict_oldest(self._holds, self.n_max)

    def held_until_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return the time at which a hold ends, in ms; 0 when none is in force."""
        hold = self._holds.get(fingerprint)
        if hold is None or hold.held_until_ms <= now_ms:
            return 0
        return hold.held_until_ms

    def resolve_holds(
        self, endpoint_id: str, incarnation: int, now_ms: int
    ) -> list[str]:
        """Return the fingerprints whose crash a new connection of an endpoint confirms.

        A higher incarnation proves that the endpoint restarted after the isolated run.
        """
        confirmed: list[str] = []
        for fingerprint, hold in list(self._holds.items()):
            if hold.endpoint_id != endpoint_id or not hold.is_lost:
                continue
            if incarnation > hold.incarnation and hold.expires_at_ms > now_ms:
                confirmed.append(fingerprint)
            # After this connection, a later restart has another cause than the run.
            self._holds[fingerprint] = replace(hold, is_lost=False)
        return confirmed

    def start(self, fingerprint: str) -> None:
        """Count the start of a run of a fingerprint on this entry."""
        self._n_running[fingerprint] = self._n_running.get(fingerprint, 0) + 1

    def end(self, fingerprint: str) -> None:
        """Count the end of a run of a fingerprint on this entry."""
        n_remaining = self._n_running[fingerprint] - 1
        if n_remaining:
            self._n_running[fingerprint] = n_remaining
        else:
            del self._n_running[fingerprint]

    def n_running(self, fingerprint: str) -> int:
        """Return the number of runs of a fingerprint in flight on this entry."""
        return self._n_running.get(fingerprint, 0)

    def digest(self, now_ms: int) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the blocked and the suspect fingerprints to send to peers.

        Each holds at most ``N_MAX_DIGEST`` fingerprints, the latest ones.
        """
        return _list_own(self._blocked, now_ms), _list_own(self._suspects, now_ms)


def _is_marked(marks: OrderedDict[str, _Mark], fingerprint: str, now_ms: int) -> bool:
    """Return whether a mark is in force; discard it when it has expired."""
    mark = marks.get(fingerprint)
    if mark is None:
        return False
    if mark.expires_at_ms <= now_ms:
        del marks[fingerprint]
        return False
    return True


def _list_own(marks: OrderedDict[str, _Mark], now_ms: int) -> tuple[str, ...]:
    """Return the fingerprints of marks whose cause this entry observed itself."""
    own_fingerprints = [
        f for f, m in marks.items() if m.is_own and m.expires_at_ms > now_ms
    ]
    return tuple(own_fingerprints[-N_MAX_DIGEST:])


def evict_oldest(table: OrderedDict[str, Any], n_max: int) -> None:
    """Evict the oldest items of a table beyond ``n_max``."""
    while len(table) > n_max:
        table.popitem(last=False)
