"""Crashes counted by what ran, where no agent tells of them."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellusher_core.poison._records import Crash, CrashRecord
from bluebellusher_core.poison._table import BLOCK_MS, drop_oldest

# A crashed endpoint is back within seconds; what tells of it may be away for longer.
CONFIRM_MS = 30_000
COUNT_MS = 600_000
# Entries tell each other how old a crash is. One that is about to be forgotten is not
# taken over, because the time on the way would make it young again each time.
MIN_LEFT_MS = 5_000
# Crashes after a whole run this long ago may still have hit a sound request.
SOUND_MS = 60_000
# Crashes may have hit a sound request by chance. One run decides, once endpoints that
# failed by themselves have had time to recover.
TRIAL_AFTER_MS = 30_000
N_MAX_COUNTED = 4_096
N_MAX_TOLD = 1_000


@dataclass(slots=True)
class _Suspicion:
    """A run that ended without an answer, and whose endpoint may have crashed.

    ``answered_at_ms`` is when the endpoint, or its next start, answered after that.
    """

    fingerprint: str
    incarnation: int
    sent_at_ms: int
    broken_at_ms: int
    answered_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class _Interval:
    """When a run began and when it broke."""

    sent_at_ms: int
    broken_at_ms: int


@dataclass(slots=True)
class CrashCounter:
    """Fingerprints whose runs were followed by a crash of their endpoint.

    A broken run tells little: the link may have been cut. It counts once its endpoint
    is known to have ended: its port is closed, or a later start is there. An endpoint
    that answers on rules that out, unless its next start gave the answer.

    A crash is named after the start of the endpoint that it ended, which can happen
    once only. Entries therefore unite what they know, in any order and as often as they
    like, and an entry that has started again takes over what all others remember. A
    whole run takes back all crashes before it.

    Parameters
    ----------
    n_max : int
        Upper bound of each table; the oldest is dropped first.

    Examples
    --------
    >>> counter = CrashCounter()
    >>> counter.suspect("f", "x1", incarnation=1, sent_at_ms=0, now_ms=50)
    >>> counter.confirm("x1", now_ms=900)
    ['f']
    >>> counter.count("f", now_ms=900)
    1
    """

    n_max: int = N_MAX_COUNTED
    _suspicions_by_endpoint_id: OrderedDict[str, list[_Suspicion]] = field(
        default_factory=OrderedDict
    )
    _run_by_start_by_fingerprint: OrderedDict[str, dict[str, _Interval]] = field(
        default_factory=OrderedDict
    )
    _sound_at_ms: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def suspect(
        self,
        fingerprint: str,
        endpoint_id: str,
        incarnation: int,
        sent_at_ms: int,
        now_ms: int,
    ) -> None:
        """Remember a run that broke."""
        suspicions = self._suspicions_by_endpoint_id.setdefault(endpoint_id, [])
        suspicions.append(_Suspicion(fingerprint, incarnation, sent_at_ms, now_ms))
        del suspicions[: -self.n_max]
        self._suspicions_by_endpoint_id.move_to_end(endpoint_id)
        drop_oldest(self._suspicions_by_endpoint_id, self.n_max)

    def note_answer(self, endpoint_id: str, since_ms: int, now_ms: int) -> list[str]:
        """Note that an endpoint answers; return the fingerprints that this clears.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        since_ms : int
            When it was asked; what broke later is not concerned.
        now_ms : int
            Monotonic time.
        """
        cleared: list[str] = []
        for suspicion in self._suspicions_by_endpoint_id.get(endpoint_id, ()):
            if suspicion.answered_at_ms is None and suspicion.broken_at_ms <= since_ms:
                suspicion.answered_at_ms = now_ms
                cleared.append(suspicion.fingerprint)
        return cleared

    def is_suspected(self, endpoint_id: str) -> bool:
        """Return whether a run broke at an endpoint that has not answered since."""
        suspicions = self._suspicions_by_endpoint_id.get(endpoint_id, ())
        return any(s.answered_at_ms is None for s in suspicions)

    def note_return(self, endpoint_id: str, incarnation: int) -> None:
        """Drop suspicions against runs on a start that is registered again."""
        suspicions = self._suspicions_by_endpoint_id.get(endpoint_id, [])
        suspicions[:] = [s for s in suspicions if s.incarnation != incarnation]

    def confirm(
        self, endpoint_id: str, now_ms: int, started_at_ms: int | None = None
    ) -> list[str]:
        """Count the runs that broke at an endpoint which is gone; return their names.

        Parameters
        ----------
        endpoint_id : str
            An endpoint whose port is closed, or that another start has replaced.
        now_ms : int
            Monotonic time.
        started_at_ms : int or None
            When the other start began, if it is known.
        """
        found: list[str] = []
        for suspicion in self._suspicions_by_endpoint_id.pop(endpoint_id, ()):
            if now_ms - suspicion.broken_at_ms > CONFIRM_MS:
                continue
            if started_at_ms is not None and started_at_ms <= suspicion.sent_at_ms:
                # The run was on the start whose registration arrives only now.
                self._suspicions_by_endpoint_id.setdefault(endpoint_id, []).append(
                    suspicion
                )
            elif _is_end(suspicion, started_at_ms):
                self._add(endpoint_id, suspicion)
                found.append(suspicion.fingerprint)
        return found

    def note_trial(self, fingerprint: str, trial_id: str, now_ms: int) -> None:
        """Count a trial run beforehand, so that no entry makes another one."""
        self._runs_of(fingerprint)[trial_id] = _Interval(now_ms, now_ms)

    def merge(self, record: CrashRecord, now_ms: int) -> bool:
        """Take over what another entry knows; return whether it is news."""
        fingerprint = record.fingerprint
        is_news = False
        if record.sound_age_ms is not None:
            is_news = self._note_sound(fingerprint, now_ms - record.sound_age_ms)
        sound_at_ms = self._sound_at_ms.get(fingerprint)
        for crash in record.crashes:
            run = _Interval(now_ms - crash.sent_age_ms, now_ms - crash.age_ms)
            is_over = crash.age_ms > COUNT_MS - MIN_LEFT_MS
            if is_over or (sound_at_ms is not None and run.broken_at_ms <= sound_at_ms):
                continue
            runs = self._runs_of(fingerprint)
            if crash.start_id not in runs:
                runs[crash.start_id] = run
                is_news = True
        return is_news

    def clear(self, fingerprint: str, now_ms: int) -> bool:
        """Take crashes back after a whole run; return whether there were any."""
        self._note_sound(fingerprint, now_ms)
        return bool(self._run_by_start_by_fingerprint.get(fingerprint))

    def count(self, fingerprint: str, now_ms: int) -> int:
        """Return the crashes since the last whole run.

        Copies of a request that has lately had a whole run may be cut by one and the
        same fault, so that those in flight at the same time count once.
        """
        return len(self._counted(fingerprint, now_ms))

    def left_ms(self, fingerprint: str, n_crashes: int, now_ms: int) -> int:
        """Return how long a fingerprint stays blocked after ``n_crashes`` crashes."""
        runs = self._counted(fingerprint, now_ms)
        if len(runs) < n_crashes:
            return 0
        return runs[n_crashes - 1].broken_at_ms + BLOCK_MS - now_ms

    def record(self, fingerprint: str, now_ms: int) -> CrashRecord:
        """Return what to tell of one fingerprint."""
        sound_at_ms = self._sound_at_ms.get(fingerprint)
        runs = self._run_by_start_by_fingerprint.get(fingerprint, {})
        crashes = tuple(
            Crash(start_id, now_ms - run.sent_at_ms, now_ms - run.broken_at_ms)
            for start_id, run in runs.items()
            if _is_valid(run, sound_at_ms, now_ms)
        )
        sound_age_ms = None if sound_at_ms is None else now_ms - sound_at_ms
        return CrashRecord(fingerprint, crashes, sound_age_ms)

    def records(self, now_ms: int) -> tuple[CrashRecord, ...]:
        """Return what to tell of every fingerprint with crashes, the latest last."""
        self._forget_old(now_ms)
        told = list(self._run_by_start_by_fingerprint)[-N_MAX_TOLD:]
        return tuple(self.record(fingerprint, now_ms) for fingerprint in told)

    def _add(self, endpoint_id: str, suspicion: _Suspicion) -> None:
        runs = self._runs_of(suspicion.fingerprint)
        start_id = name = f"{endpoint_id}@{suspicion.incarnation}"
        n_starts = 1
        # A start that had crashed before the run was sent did not run it; the endpoint
        # is back under its id, and its registration has not arrived yet.
        while name in runs and runs[name].broken_at_ms < suspicion.sent_at_ms:
            n_starts += 1
            name = f"{start_id}#{n_starts}"
        run = _Interval(suspicion.sent_at_ms, suspicion.broken_at_ms)
        runs.setdefault(name, run)

    def _counted(self, fingerprint: str, now_ms: int) -> list[_Interval]:
        sound_at_ms = self._sound_at_ms.get(fingerprint)
        runs = self._run_by_start_by_fingerprint.get(fingerprint, {}).values()
        valid = sorted(
            (run for run in runs if _is_valid(run, sound_at_ms, now_ms)),
            key=lambda run: run.broken_at_ms,
        )
        if sound_at_ms is None:
            return valid
        counted: list[_Interval] = []
        for run in valid:
            is_known_sound = run.broken_at_ms - sound_at_ms <= SOUND_MS
            is_copy = bool(counted) and run.sent_at_ms < counted[-1].broken_at_ms
            if not (is_known_sound and is_copy):
                counted.append(run)
        return counted

    def _note_sound(self, fingerprint: str, sound_at_ms: int) -> bool:
        known_at_ms = self._sound_at_ms.get(fingerprint)
        if known_at_ms is not None and known_at_ms >= sound_at_ms:
            return False
        self._sound_at_ms[fingerprint] = sound_at_ms
        self._sound_at_ms.move_to_end(fingerprint)
        drop_oldest(self._sound_at_ms, self.n_max)
        return True

    def _runs_of(self, fingerprint: str) -> dict[str, _Interval]:
        runs = self._run_by_start_by_fingerprint.setdefault(fingerprint, {})
        self._run_by_start_by_fingerprint.move_to_end(fingerprint)
        drop_oldest(self._run_by_start_by_fingerprint, self.n_max)
        return runs

    def _forget_old(self, now_ms: int) -> None:
        for fingerprint, runs in list(self._run_by_start_by_fingerprint.items()):
            for start_id, run in list(runs.items()):
                if now_ms - run.broken_at_ms >= COUNT_MS:
                    del runs[start_id]
            if not runs:
                del self._run_by_start_by_fingerprint[fingerprint]


def _is_end(suspicion: _Suspicion, started_at_ms: int | None) -> bool:
    """Return whether the run broke because its endpoint ended."""
    answered_at_ms = suspicion.answered_at_ms
    if answered_at_ms is None:
        return True
    # What answered after the break was the next start already.
    return started_at_ms is not None and started_at_ms <= answered_at_ms


def _is_valid(run: _Interval, sound_at_ms: int | None, now_ms: int) -> bool:
    is_young = now_ms - run.broken_at_ms < COUNT_MS
    return is_young and (sound_at_ms is None or run.broken_at_ms > sound_at_ms)
