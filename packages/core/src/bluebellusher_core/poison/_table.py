"""Suspected, blocked and held fingerprints."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import Any

BLOCK_MS = 600_000
SUSPECT_MS = 600_000
# An agent that was restarted is back, with a higher incarnation, within seconds.
HOLD_MS = 5_000
N_MAX_FINGERPRINTS = 32_768
N_MAX_DIGEST = 1_000


@dataclass(frozen=True, slots=True)
class _Mark:
    until_ms: int
    is_own: bool


@dataclass(frozen=True, slots=True)
class _Hold:
    endpoint_id: str
    incarnation: int
    held_until_ms: int
    until_ms: int
    is_lost: bool


@dataclass(slots=True)
class PoisonTable:
    """What is known about fingerprints.

    A mark is set once and expires a constant time later; a repeated message does not
    extend it, because entries that tell each other would keep it for ever. For the
    same reason only marks of the entry's own observation are told to peers.

    Parameters
    ----------
    n_max : int
        Upper bound of each table; the oldest mark is dropped first.
    """

    n_max: int = N_MAX_FINGERPRINTS
    _blocked: OrderedDict[str, _Mark] = field(default_factory=OrderedDict)
    _suspects: OrderedDict[str, _Mark] = field(default_factory=OrderedDict)
    _cleared: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _holds: OrderedDict[str, _Hold] = field(default_factory=OrderedDict)
    _n_running: dict[str, int] = field(default_factory=dict)

    def block(
        self, fingerprint: str, now_ms: int, is_own: bool, block_ms: int = BLOCK_MS
    ) -> None:
        """Refuse the fingerprint for ``block_ms``."""
        self._holds.pop(fingerprint, None)
        self._suspects.pop(fingerprint, None)
        if self.is_blocked(fingerprint, now_ms):
            return
        self._blocked[fingerprint] = _Mark(now_ms + block_ms, is_own)
        drop_oldest(self._blocked, self.n_max)

    def unblock(self, fingerprint: str) -> bool:
        """Take a block back; return whether there was one."""
        return self._blocked.pop(fingerprint, None) is not None

    def is_blocked(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether the fingerprint is known to crash endpoints."""
        return _is_marked(self._blocked, fingerprint, now_ms)

    def blocked_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return for how long the fingerprint is still refused; 0 when it is not."""
        mark = self._blocked.get(fingerprint)
        return max(0, mark.until_ms - now_ms) if mark is not None else 0

    def suspect(self, fingerprint: str, now_ms: int, is_own: bool) -> None:
        """Run the fingerprint isolated until a run of it finishes."""
        if self.is_blocked(fingerprint, now_ms):
            return
        if not is_own and self._cleared.get(fingerprint, now_ms) > now_ms:
            return
        if is_own:
            self._cleared.pop(fingerprint, None)
        if self.is_suspect(fingerprint, now_ms):
            return
        self._suspects[fingerprint] = _Mark(now_ms + SUSPECT_MS, is_own)
        drop_oldest(self._suspects, self.n_max)

    def is_suspect(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether the fingerprint must run isolated."""
        return _is_marked(self._suspects, fingerprint, now_ms)

    def clear(self, fingerprint: str, now_ms: int) -> None:
        """Take back a suspicion after a whole run; peers' marks count no more."""
        self._holds.pop(fingerprint, None)
        if self._suspects.pop(fingerprint, None) is None:
            return
        self._cleared[fingerprint] = now_ms + SUSPECT_MS
        self._cleared.move_to_end(fingerprint)
        drop_oldest(self._cleared, self.n_max)

    def hold(
        self,
        fingerprint: str,
        endpoint_id: str,
        incarnation: int,
        is_lost: bool,
        now_ms: int,
    ) -> None:
        """Wait for evidence after an isolated run whose end was not seen.

        Parameters
        ----------
        fingerprint, endpoint_id, incarnation : str, str, int
            What ran, where, and on which start of the agent.
        is_lost : bool
            The connection was lost during the run, so that a restart convicts.
        now_ms : int
            Monotonic time.
        """
        until_ms = now_ms + SUSPECT_MS
        held_until_ms = now_ms + HOLD_MS
        hold = _Hold(endpoint_id, incarnation, held_until_ms, until_ms, is_lost)
        self._holds[fingerprint] = hold
        self._holds.move_to_end(fingerprint)
        drop_oldest(self._holds, self.n_max)

    def held_until_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return when the fingerprint may run again; 0 when it may run now."""
        hold = self._holds.get(fingerprint)
        if hold is None or hold.held_until_ms <= now_ms:
            return 0
        return hold.held_until_ms

    def resolve_holds(
        self, endpoint_id: str, incarnation: int, now_ms: int
    ) -> list[str]:
        """Return the fingerprints that a restart of the endpoint convicts."""
        convicted: list[str] = []
        for fingerprint, hold in list(self._holds.items()):
            if hold.endpoint_id != endpoint_id or not hold.is_lost:
                continue
            if incarnation > hold.incarnation and hold.until_ms > now_ms:
                convicted.append(fingerprint)
            # The agent lived on, so that a later restart has another cause.
            self._holds[fingerprint] = replace(hold, is_lost=False)
        return convicted

    def start(self, fingerprint: str) -> None:
        """Count a running copy."""
        self._n_running[fingerprint] = self._n_running.get(fingerprint, 0) + 1

    def end(self, fingerprint: str) -> None:
        """Count the end of a running copy."""
        n_left = self._n_running[fingerprint] - 1
        if n_left:
            self._n_running[fingerprint] = n_left
        else:
            del self._n_running[fingerprint]

    def n_running(self, fingerprint: str) -> int:
        """Return how many copies this entry runs."""
        return self._n_running.get(fingerprint, 0)

    def digest(self, now_ms: int) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the blocked and suspect fingerprints to tell to peers."""
        return _own(self._blocked, now_ms), _own(self._suspects, now_ms)


def _is_marked(marks: OrderedDict[str, _Mark], fingerprint: str, now_ms: int) -> bool:
    mark = marks.get(fingerprint)
    if mark is None:
        return False
    if mark.until_ms <= now_ms:
        del marks[fingerprint]
        return False
    return True


def _own(marks: OrderedDict[str, _Mark], now_ms: int) -> tuple[str, ...]:
    own = [f for f, m in marks.items() if m.is_own and m.until_ms > now_ms]
    return tuple(own[-N_MAX_DIGEST:])


def drop_oldest(table: OrderedDict[str, Any], n_max: int) -> None:
    """Keep the last ``n_max`` items of a table."""
    while len(table) > n_max:
        table.popitem(last=False)
