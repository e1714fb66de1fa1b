"""Upper bound of what any policy could have served, computed with foresight."""

import heapq

from bench.experiment._callers import LATE_VALUE, MAX_PAUSE_SHARE, Caller
from bench.experiment._settings import Load

# Width of the intervals in which starts are counted, in ms.
INTERVAL_MS = 100


def compute_best_share(
    callers: list[Caller], open_intervals: list[tuple[int, int]], load: Load
) -> float:
    """Return an upper bound of the mean value of the callers' answers.

    A caller can start in the time that it waits in its first attempt, in the longest
    pause that it accepts, and in the wait of its second attempt. The numbers of
    callers that could start at all, and of those that could start on time, are each
    maximal by earliest deadline first; they are not both reachable by one schedule.
    Starts are limited by the rate at which full ranks finish answers of mean length.
    """
    n_served = _count_started(
        [(c.first_sent_ms, _last_start_ms(c, load)) for c in callers],
        open_intervals,
        load,
    )
    objective_ms = load.scale(load.objective_ms)
    n_on_time = _count_started(
        [(c.first_sent_ms, c.first_sent_ms + objective_ms) for c in callers],
        open_intervals,
        load,
    )
    value = LATE_VALUE * n_served + (1 - LATE_VALUE) * n_on_time
    return value / max(1, len(callers))


def _last_start_ms(caller: Caller, load: Load) -> int:
    """Return the latest time at which the caller could receive its first event."""
    patience_ms = load.scale(load.patience_ms)
    left_ms = caller.first_sent_ms + patience_ms
    pause_ms = MAX_PAUSE_SHARE * (caller.deadline_ms - left_ms)
    return min(caller.deadline_ms, int(left_ms + pause_ms + patience_ms))


def _count_started(
    windows_ms: list[tuple[int, int]],
    open_intervals: list[tuple[int, int]],
    load: Load,
) -> int:
    """Return how many windows contain a start, by earliest deadline first."""
    per_interval = _starts_per_ms(load) * INTERVAL_MS
    releases = sorted(windows_ms)
    due_ms: list[int] = []
    n_started, n_released, allowance = 0, 0, 0.0
    for begin_ms, end_ms in open_intervals:
        allowance = float(load.n_ranks * load.n_slots)
        for now_ms in range(begin_ms, end_ms, INTERVAL_MS):
            while n_released < len(releases) and releases[n_released][0] <= now_ms:
                heapq.heappush(due_ms, releases[n_released][1])
                n_released += 1
            while due_ms and allowance >= 1:
                if heapq.heappop(due_ms) >= now_ms:
                    n_started += 1
                    allowance -= 1
            allowance = min(
                allowance + per_interval, float(load.n_ranks * load.n_slots)
            )
    return n_started


def _starts_per_ms(load: Load) -> float:
    """Return the rate of starts of a group whose slots are all occupied."""
    pass_ms = load.scale(load.pass_ms + load.pass_ms_per_run * load.n_slots)
    return load.n_ranks * load.n_slots / (load.n_events * pass_ms)
