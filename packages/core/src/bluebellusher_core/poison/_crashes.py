"""Crashes counted by what ran, where no agent tells of them."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellusher_core.poison._table import drop_oldest

# A crashed endpoint that comes back under a new id has lost its registration by then.
CONFIRM_MS = 15_000
# Digests are sent once a second or more often; one that is lost is made up for.
TELL_MS = 10_000
COUNT_MS = 600_000
N_MAX_COUNTED = 4_096
N_MAX_TOLD = 1_000


@dataclass(slots=True)
class _BrokenRun:
    """A run that ended without an answer, and whose endpoint may have crashed."""

    fingerprint: str
    broken_at_ms: int


@dataclass(slots=True)
class _Count:
    """Crashes in a row after runs of one fingerprint."""

    until_ms: int
    n_own: int = 0
    noted_at_ms: int = 0
    peer_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class CrashCounter:
    """Fingerprints whose runs were followed by a crash of their endpoint.

    A broken run tells little: the link may have been cut. It counts once the endpoint
    turns out to be gone, and is forgotten when the endpoint answers an attempt that
    was sent later. A whole run takes all counts of its fingerprint back.

    Each entry tells which fingerprints it has counted at least once. Of three crashes,
    either one entry saw three, or one saw two and another one, or three saw one each;
    in every case one of them counts three, as own crashes plus entries that tell.

    Parameters
    ----------
    n_max : int
        Upper bound of each table; the oldest is dropped first.

    Examples
    --------
    >>> counter = CrashCounter()
    >>> counter.note_broken("f", "x1", sent_at_ms=0, now_ms=50)
    >>> counter.confirm("x1", now_ms=900)
    ['f']
    >>> counter.count("f", now_ms=900)
    1
    """

    n_max: int = N_MAX_COUNTED
    _broken_by_endpoint_id: OrderedDict[str, list[_BrokenRun]] = field(
        default_factory=OrderedDict
    )
    _count_by_fingerprint: OrderedDict[str, _Count] = field(default_factory=OrderedDict)
    _last_broken_at_ms: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _cleared_until_ms: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def note_broken(
        self, fingerprint: str, endpoint_id: str, sent_at_ms: int, now_ms: int
    ) -> bool:
        """Remember a run that broke, unless it began before the last one broke.

        Copies that run at the same time may be cut by one and the same fault. Returns
        whether the run is remembered.
        """
        if sent_at_ms < self._last_broken_at_ms.get(fingerprint, sent_at_ms):
            return False
        self._last_broken_at_ms[fingerprint] = now_ms
        self._last_broken_at_ms.move_to_end(fingerprint)
        drop_oldest(self._last_broken_at_ms, self.n_max)
        runs = self._broken_by_endpoint_id.setdefault(endpoint_id, [])
        runs.append(_BrokenRun(fingerprint, now_ms))
        del runs[: -self.n_max]
        self._broken_by_endpoint_id.move_to_end(endpoint_id)
        drop_oldest(self._broken_by_endpoint_id, self.n_max)
        return True

    def note_answer(self, endpoint_id: str, sent_at_ms: int) -> list[str]:
        """Forget the runs that broke before an answered attempt was sent.

        Returns the fingerprints of the runs that are forgotten.
        """
        runs = self._broken_by_endpoint_id.get(endpoint_id)
        if not runs:
            return []
        forgotten = [run for run in runs if run.broken_at_ms <= sent_at_ms]
        runs[:] = [run for run in runs if run.broken_at_ms > sent_at_ms]
        if not runs:
            del self._broken_by_endpoint_id[endpoint_id]
        return [run.fingerprint for run in forgotten]

    def confirm(self, endpoint_id: str, now_ms: int) -> list[str]:
        """Count the runs that broke at an endpoint which is gone; return their names.

        Parameters
        ----------
        endpoint_id : str
            An endpoint that takes no connection, or whose registration ended.
        now_ms : int
            Monotonic time.
        """
        runs = self._broken_by_endpoint_id.pop(endpoint_id, [])
        found: list[str] = []
        for run in runs:
            if now_ms - run.broken_at_ms > CONFIRM_MS:
                continue
            counted = self._counted(run.fingerprint, now_ms)
            counted.n_own += 1
            counted.noted_at_ms = now_ms
            found.append(run.fingerprint)
        return found

    def note_peer(self, fingerprint: str, peer_id: str, now_ms: int) -> None:
        """Take over that a peer has counted a crash."""
        if self._cleared_until_ms.get(fingerprint, now_ms) > now_ms:
            return
        self._counted(fingerprint, now_ms).peer_ids.add(peer_id)

    def clear(self, fingerprint: str, now_ms: int) -> None:
        """Take all counts back after a whole run."""
        self._last_broken_at_ms.pop(fingerprint, None)
        if self._count_by_fingerprint.pop(fingerprint, None) is not None:
            self._cleared_until_ms[fingerprint] = now_ms + TELL_MS
            self._cleared_until_ms.move_to_end(fingerprint)
            drop_oldest(self._cleared_until_ms, self.n_max)

    def count(self, fingerprint: str, now_ms: int) -> int:
        """Return the crashes in a row, own ones and those of peers."""
        counted = self._count_by_fingerprint.get(fingerprint)
        if counted is None or counted.until_ms <= now_ms:
            return 0
        return counted.n_own + len(counted.peer_ids)

    def told(self, now_ms: int) -> tuple[str, ...]:
        """Return the fingerprints to tell to peers."""
        own = [
            fingerprint
            for fingerprint, counted in self._count_by_fingerprint.items()
            if counted.n_own and now_ms - counted.noted_at_ms < TELL_MS
        ]
        return tuple(own[-N_MAX_TOLD:])

    def _counted(self, fingerprint: str, now_ms: int) -> _Count:
        counted = self._count_by_fingerprint.get(fingerprint)
        if counted is None or counted.until_ms <= now_ms:
            counted = _Count(now_ms + COUNT_MS)
            self._count_by_fingerprint[fingerprint] = counted
            drop_oldest(self._count_by_fingerprint, self.n_max)
        return counted
