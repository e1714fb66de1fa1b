"""Count of crashes by the requests that were running, where no agent reports them."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellusher_core.poison._records import Crash, CrashRecord
from bluebellusher_core.poison._table import BLOCK_MS, evict_oldest

# Longest time between a broken run and the evidence that confirms its crash, in ms. A
# crashed endpoint restarts within seconds, but the sources of the evidence may be
# unavailable for longer.
CONFIRM_TIMEOUT_MS = 30_000
# Age at which a crash expires, in ms.
CRASH_MAX_AGE_MS = 600_000
# Entries exchange the ages of crashes, which do not include the time in transit. Each
# exchange would make an old crash younger, and it would never expire. A crash that has
# less than this time until it expires, in ms, is therefore not merged.
MIN_REMAINING_MS = 5_000
# Time after a completed run of a fingerprint, in ms, in which crashes may still be
# unrelated to the request. Concurrent runs that break in it count as one crash.
COMPLETED_RUN_WINDOW_MS = 60_000
# Time between the block of a fingerprint and its trial run, in ms. A harmless request
# may have been running in the crashes by chance. Endpoints that failed for another
# reason need this time to recover before the trial can decide.
TRIAL_AFTER_MS = 30_000
# Upper bound of the endpoints or fingerprints in each table.
N_MAX_COUNTED = 4_096
# Upper bound of the crash records in one announcement.
N_MAX_ANNOUNCED = 1_000
# Prefix of the ids under which trial runs of prompt parts are recorded.
_TRIAL_PREFIX = "trial:"


@dataclass(slots=True)
class _Suspicion:
    """A broken run whose endpoint may have crashed.

    ``answered_at_ms`` is the time at which an answer from the endpoint's address after
    the break was recorded, from this start or the next one; None without an answer.
    """

    fingerprint: str
    incarnation: int
    sent_at_ms: int
    broken_at_ms: int
    answered_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class _CrashedRun:
    """Monotonic times at which a run was sent and at which it broke."""

    sent_at_ms: int
    broken_at_ms: int


@dataclass(slots=True)
class CrashCounter:
    """Count of the crashes of endpoints by the fingerprints that were running there.

    A broken run alone proves no crash, because the link may have been cut. The crash is
    confirmed once the endpoint's process has ended: its port is closed, or a later
    start has taken its address. It is dismissed when the endpoint still answers, unless
    the answer came from its next start.

    A crash is identified by the start of the endpoint that it ended, and each start can
    end only once. Entries can therefore merge their records in any order and any number
    of times, and a restarted entry takes over the records of all others. A completed
    run of a fingerprint clears all its earlier crashes.

    Parameters
    ----------
    n_max : int
        Upper bound of each table; the oldest item is evicted first.

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
    _run_by_start_id_by_fingerprint: OrderedDict[str, dict[str, _CrashedRun]] = field(
        default_factory=OrderedDict
    )
    _completed_at_ms: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def suspect(
        self,
        fingerprint: str,
        endpoint_id: str,
        incarnation: int,
        sent_at_ms: int,
        now_ms: int,
    ) -> None:
        """Record a broken run as a possible crash.

        Parameters
        ----------
        fingerprint, endpoint_id, incarnation : str, str, int
            The request, the endpoint, and the start of the endpoint that ran it.
        sent_at_ms : int
            Monotonic time at which the run was sent.
        now_ms : int
            Monotonic time.
        """
        suspicions = self._suspicions_by_endpoint_id.setdefault(endpoint_id, [])
        suspicions.append(_Suspicion(fingerprint, incarnation, sent_at_ms, now_ms))
        del suspicions[: -self.n_max]
        self._suspicions_by_endpoint_id.move_to_end(endpoint_id)
        evict_oldest(self._suspicions_by_endpoint_id, self.n_max)

    def record_answer(
        self, endpoint_id: str, asked_at_ms: int, now_ms: int
    ) -> list[str]:
        """Record an answer of an endpoint; return the fingerprints it dismisses.

        Parameters
        ----------
        endpoint_id : str
            The endpoint.
        asked_at_ms : int
            Monotonic time at which the request or check was sent to the endpoint. Runs
            that broke later are not dismissed.
        now_ms : int
            Monotonic time.
        """
        dismissed: list[str] = []
        for suspicion in self._suspicions_by_endpoint_id.get(endpoint_id, ()):
            if (
                suspicion.answered_at_ms is None
                and suspicion.broken_at_ms <= asked_at_ms
            ):
                suspicion.answered_at_ms = now_ms
                dismissed.append(suspicion.fingerprint)
        return dismissed

    def last_suspected_at_ms(self, endpoint_id: str) -> int | None:
        """Return the time of an endpoint's last broken run without an answer since.

        Returns None when the endpoint has answered since its last broken run.
        """
        suspicions = self._suspicions_by_endpoint_id.get(endpoint_id, ())
        broken_at_ms = [s.broken_at_ms for s in suspicions if s.answered_at_ms is None]
        return max(broken_at_ms, default=None)

    def record_reregistration(self, endpoint_id: str, incarnation: int) -> None:
        """Discard the suspected crashes of a start that has registered again."""
        suspicions = self._suspicions_by_endpoint_id.get(endpoint_id, [])
        suspicions[:] = [s for s in suspicions if s.incarnation != incarnation]

    def confirm(
        self, endpoint_id: str, now_ms: int, started_at_ms: int | None = None
    ) -> list[str]:
        """Confirm the suspected crashes of an endpoint; return their fingerprints.

        Runs that broke more than ``CONFIRM_TIMEOUT_MS`` ago are discarded.

        Parameters
        ----------
        endpoint_id : str
            An endpoint whose port is closed, or that another start has replaced.
        now_ms : int
            Monotonic time.
        started_at_ms : int or None
            Monotonic time at which the other start began, if known.
        """
        confirmed: list[str] = []
        for suspicion in self._suspicions_by_endpoint_id.pop(endpoint_id, ()):
            if now_ms - suspicion.broken_at_ms > CONFIRM_TIMEOUT_MS:
                continue
            if started_at_ms is not None and started_at_ms <= suspicion.sent_at_ms:
                # The run was sent to the start whose registration arrives only now,
                # so its registration does not confirm a crash.
                self._suspicions_by_endpoint_id.setdefault(endpoint_id, []).append(
                    suspicion
                )
            elif _is_crash(suspicion, started_at_ms):
                self._add_crash(endpoint_id, suspicion)
                confirmed.append(suspicion.fingerprint)
        return confirmed

    def record_trial(self, fingerprint: str, trial_id: str, now_ms: int) -> None:
        """Count a trial run as a crash at its start, so that no entry starts another.

        A completed trial clears the crash.
        """
        self._get_or_add_runs(fingerprint)[trial_id] = _CrashedRun(now_ms, now_ms)

    def merge(self, record: CrashRecord, now_ms: int) -> bool:
        """Merge a record of another entry; return whether it held anything new."""
        fingerprint = record.fingerprint
        has_new_data = False
        if record.sound_age_ms is not None:
            has_new_data = self._record_completed(
                fingerprint, now_ms - record.sound_age_ms
            )
        completed_at_ms = self._completed_at_ms.get(fingerprint)
        for crash in record.crashes:
            run = _CrashedRun(now_ms - crash.sent_age_ms, now_ms - crash.age_ms)
            is_expiring = crash.age_ms > CRASH_MAX_AGE_MS - MIN_REMAINING_MS
            if is_expiring or (
                completed_at_ms is not None and run.broken_at_ms <= completed_at_ms
            ):
                continue
            runs = self._get_or_add_runs(fingerprint)
            if crash.start_id not in runs:
                runs[crash.start_id] = run
                has_new_data = True
        return has_new_data

    def clear(self, fingerprint: str, now_ms: int) -> bool:
        """Clear the crashes of a fingerprint after a completed run.

        Returns whether there were any.
        """
        completed_at_ms = self._completed_at_ms.get(fingerprint)
        runs = self._run_by_start_id_by_fingerprint.get(fingerprint, {}).values()
        is_cleared = any(_is_valid(run, completed_at_ms, now_ms) for run in runs)
        self._record_completed(fingerprint, now_ms)
        return is_cleared

    def has_crashes(self, fingerprint: str) -> bool:
        """Return whether runs are recorded that may count as crashes."""
        return fingerprint in self._run_by_start_id_by_fingerprint

    def has_completed(self, fingerprint: str) -> bool:
        """Return whether a completed run is recorded here or was by a peer."""
        return fingerprint in self._completed_at_ms

    def find_crashed_starts(
        self, fingerprint: str, now_ms: int
    ) -> dict[str, tuple[int, int]]:
        """Return when each crashed run since the last completed one was sent and broke.

        The keys are the ids of the starts that crashed. Trial runs are left out.
        """
        completed_at_ms = self._completed_at_ms.get(fingerprint)
        runs = self._run_by_start_id_by_fingerprint.get(fingerprint, {})
        return {
            start_id: (run.sent_at_ms, run.broken_at_ms)
            for start_id, run in runs.items()
            if not start_id.startswith(_TRIAL_PREFIX)
            and _is_valid(run, completed_at_ms, now_ms)
        }

    def list_fingerprints(self) -> list[str]:
        """Return the fingerprints of all recorded runs."""
        return list(self._run_by_start_id_by_fingerprint)

    def last_run_at_ms(self, fingerprint: str) -> int:
        """Return the time of the last crash or trial run of a fingerprint."""
        runs = self._run_by_start_id_by_fingerprint[fingerprint].values()
        return max(run.broken_at_ms for run in runs)

    def record_part_trial(self, key: str, trial_id: str, now_ms: int) -> None:
        """Record a trial run of a prompt part, which is not counted as a crash."""
        run = _CrashedRun(now_ms, now_ms)
        self._get_or_add_runs(key)[f"{_TRIAL_PREFIX}{trial_id}"] = run

    def count(self, fingerprint: str, now_ms: int) -> int:
        """Return the number of crashes since the last completed run.

        One fault may break several concurrent runs of a request. Concurrent runs that
        break within ``COMPLETED_RUN_WINDOW_MS`` after a completed run of the request
        count as one crash.
        """
        return len(self._list_counted_runs(fingerprint, now_ms))

    def block_remaining_ms(self, fingerprint: str, n_crashes: int, now_ms: int) -> int:
        """Return the remaining time of the block after ``n_crashes`` crashes, in ms.

        Returns 0 when there were fewer crashes.
        """
        runs = self._list_counted_runs(fingerprint, now_ms)
        if len(runs) < n_crashes:
            return 0
        return runs[n_crashes - 1].broken_at_ms + BLOCK_MS - now_ms

    def record(self, fingerprint: str, now_ms: int) -> CrashRecord:
        """Return the crash record of one fingerprint, to announce to peers."""
        completed_at_ms = self._completed_at_ms.get(fingerprint)
        runs = self._run_by_start_id_by_fingerprint.get(fingerprint, {})
        crashes = tuple(
            Crash(start_id, now_ms - run.sent_at_ms, now_ms - run.broken_at_ms)
            for start_id, run in runs.items()
            if _is_valid(run, completed_at_ms, now_ms)
        )
        sound_age_ms = None if completed_at_ms is None else now_ms - completed_at_ms
        return CrashRecord(fingerprint, crashes, sound_age_ms)

    def records(self, now_ms: int) -> tuple[CrashRecord, ...]:
        """Return the records of the fingerprints with crashes, the latest ones last.

        Discards expired crashes first. Returns at most ``N_MAX_ANNOUNCED`` records.
        """
        self._discard_expired(now_ms)
        fingerprints = list(self._run_by_start_id_by_fingerprint)[-N_MAX_ANNOUNCED:]
        return tuple(self.record(fingerprint, now_ms) for fingerprint in fingerprints)

    def _add_crash(self, endpoint_id: str, suspicion: _Suspicion) -> None:
        """Count a confirmed crash under the id of the start that it ended."""
        runs = self._get_or_add_runs(suspicion.fingerprint)
        start_id = unique_id = f"{endpoint_id}@{suspicion.incarnation}"
        n_starts = 1
        # A start that had crashed before the run was sent cannot have run it. The
        # endpoint has restarted under the same id, and the registration of that start
        # has not arrived yet.
        while unique_id in runs and runs[unique_id].broken_at_ms < suspicion.sent_at_ms:
            n_starts += 1
            unique_id = f"{start_id}#{n_starts}"
        run = _CrashedRun(suspicion.sent_at_ms, suspicion.broken_at_ms)
        runs.setdefault(unique_id, run)

    def _list_counted_runs(self, fingerprint: str, now_ms: int) -> list[_CrashedRun]:
        """Return the runs that count as crashes, ordered by the time they broke."""
        completed_at_ms = self._completed_at_ms.get(fingerprint)
        runs = self._run_by_start_id_by_fingerprint.get(fingerprint, {}).values()
        valid = sorted(
            (run for run in runs if _is_valid(run, completed_at_ms, now_ms)),
            key=lambda run: run.broken_at_ms,
        )
        if completed_at_ms is None:
            return valid
        counted: list[_CrashedRun] = []
        for run in valid:
            is_recently_completed = (
                run.broken_at_ms - completed_at_ms <= COMPLETED_RUN_WINDOW_MS
            )
            is_concurrent = bool(counted) and run.sent_at_ms < counted[-1].broken_at_ms
            if not (is_recently_completed and is_concurrent):
                counted.append(run)
        return counted

    def _record_completed(self, fingerprint: str, completed_at_ms: int) -> bool:
        """Record the time of a completed run; return whether it is the latest."""
        latest_at_ms = self._completed_at_ms.get(fingerprint)
        if latest_at_ms is not None and latest_at_ms >= completed_at_ms:
            return False
        self._completed_at_ms[fingerprint] = completed_at_ms
        self._completed_at_ms.move_to_end(fingerprint)
        evict_oldest(self._completed_at_ms, self.n_max)
        return True

    def _get_or_add_runs(self, fingerprint: str) -> dict[str, _CrashedRun]:
        """Return the crashed runs of a fingerprint, marked as the latest in use."""
        runs = self._run_by_start_id_by_fingerprint.setdefault(fingerprint, {})
        self._run_by_start_id_by_fingerprint.move_to_end(fingerprint)
        evict_oldest(self._run_by_start_id_by_fingerprint, self.n_max)
        return runs

    def _discard_expired(self, now_ms: int) -> None:
        """Discard crashes older than ``CRASH_MAX_AGE_MS``."""
        for fingerprint, runs in list(self._run_by_start_id_by_fingerprint.items()):
            for start_id, run in list(runs.items()):
                if now_ms - run.broken_at_ms >= CRASH_MAX_AGE_MS:
                    del runs[start_id]
            if not runs:
                del self._run_by_start_id_by_fingerprint[fingerprint]


def _is_crash(suspicion: _Suspicion, started_at_ms: int | None) -> bool:
    """Return whether the run broke because its endpoint's process ended."""
    answered_at_ms = suspicion.answered_at_ms
    if answered_at_ms is None:
        return True
    # An answer after the break that came from the next start does not dismiss it.
    return started_at_ms is not None and started_at_ms <= answered_at_ms


def _is_valid(run: _CrashedRun, completed_at_ms: int | None, now_ms: int) -> bool:
    """Return whether a crash has neither expired nor been cleared."""
    is_unexpired = now_ms - run.broken_at_ms < CRASH_MAX_AGE_MS
    return is_unexpired and (
        completed_at_ms is None or run.broken_at_ms > completed_at_ms
    )
