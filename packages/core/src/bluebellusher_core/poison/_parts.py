"""Blocks of prompt parts that crash engines."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bluebellusher_core.poison._crashes import TRIAL_AFTER_MS, CrashCounter

_KEY_PREFIX = "part:"
# Crashes that block a part with which no run has produced output, and one with which
# runs have. An engine crashes before the first output, so that output speaks for all
# parts of its request.
N_CRASHES_OF_NEW_PART = 1
N_CRASHES_OF_USED_PART = 3
# Outputs that an entry must have seen to know which parts are in use.
MIN_OUTPUTS = 20
# Factor of the time until the next trial run of a blocked part for each further crash,
# so that a part that crashes engines for long crashes few of them.
TRIAL_FACTOR = 3


def part_key(part_id: str) -> str:
    """Return the key under which the crashes of a prompt part are counted."""
    return f"{_KEY_PREFIX}{part_id}"


def is_part_key(key: str) -> bool:
    """Return whether crashes counted under a key are those of a prompt part."""
    return key.startswith(_KEY_PREFIX)


@dataclass(slots=True)
class PartBlocks:
    """Decision which prompt parts are blocked, from the crashes counted for them.

    An engine runs several requests when it crashes, most of them harmless, and each has
    several parts. Two observations single out the part that crashes engines: the runs
    with it have produced no output, and no run with it has, on any entry.

    Load pattern: requests that share a part crash each engine that begins to answer
    them, no two alike, at any entry. Each crash closes the whole group for seconds.

    Parameters
    ----------
    counter : CrashCounter
        Crashes by the key of a part, merged from all entries.
    n_outputs : int
        Number of runs that have produced output on this entry.
    started_at_ms : int or None
        Monotonic time of the entry's first event; None before it.
    """

    counter: CrashCounter
    n_outputs: int = 0
    started_at_ms: int | None = None

    def find_block_ms(self, part_id: str, now_ms: int) -> int | None:
        """Return the time until a run with a part may start, in ms.

        None means that the part is not blocked, and 0 that a single trial run may
        start.
        """
        key = part_key(part_id)
        if not self.counter.has_crashes(key):
            return None
        n_crashes = _count_incidents(self._find_unexplained_starts(key, now_ms))
        n_excess = n_crashes - self._get_n_crashes_to_block(key, now_ms)
        if n_excess < 0:
            return None
        wait_ms = TRIAL_AFTER_MS * TRIAL_FACTOR**n_excess
        return max(0, self.counter.last_run_at_ms(key) + wait_ms - now_ms)

    def record_start(self, now_ms: int) -> None:
        """Record the time of the entry's first event."""
        if self.started_at_ms is None:
            self.started_at_ms = now_ms

    def _get_n_crashes_to_block(self, key: str, now_ms: int) -> int:
        """Return the number of crashes that blocks a part.

        An entry that has just started has seen output with few parts, and would take
        frequent ones for new ones. Crashes before its start were judged by others.
        """
        if self.counter.has_completed(key):
            return N_CRASHES_OF_USED_PART
        crashed_at_ms = self.counter.find_crashed_starts(key, now_ms).values()
        started_at_ms = self.started_at_ms or 0
        is_judged = any(broken_ms < started_at_ms for _, broken_ms in crashed_at_ms)
        if self.n_outputs < MIN_OUTPUTS and not is_judged:
            return N_CRASHES_OF_USED_PART
        return N_CRASHES_OF_NEW_PART

    def _find_unexplained_starts(self, key: str, now_ms: int) -> list[tuple[int, int]]:
        """Return the crashed runs of a part that no other part explains.

        Another part explains a crash when it was also running there and has crashed
        more engines, or as many without ever having had output.
        """
        starts = self.counter.find_crashed_starts(key, now_ms)
        rank = self._rank(key, starts)
        for other_key in self.counter.list_fingerprints() if starts else ():
            if other_key == key or not is_part_key(other_key):
                continue
            other_starts = self.counter.find_crashed_starts(other_key, now_ms)
            if self._rank(other_key, other_starts) > rank:
                starts = {s: run for s, run in starts.items() if s not in other_starts}
        return list(starts.values())

    def _rank(
        self, key: str, starts: Mapping[str, tuple[int, int]]
    ) -> tuple[int, bool]:
        """Return the weight of the evidence that a part crashes engines."""
        return _count_incidents(starts.values()), not self.counter.has_completed(key)


def _count_incidents(runs: Iterable[tuple[int, int]]) -> int:
    """Return the number of separate crashes among runs, as times sent and broken.

    Runs that overlap count as one crash, because one fault may have caused both.
    """
    n_incidents, last_broken_at_ms = 0, None
    for sent_at_ms, broken_at_ms in sorted(runs, key=lambda run: run[1]):
        if last_broken_at_ms is None or sent_at_ms > last_broken_at_ms:
            n_incidents += 1
            last_broken_at_ms = broken_at_ms
    return n_incidents
