"""What experts are chosen now, from counts that are samples."""

from collections import deque
from collections.abc import Sequence
from statistics import median

from bluebellusher_core.balance._model import Loads

# Weight of the newest counts. A plan that follows each sample copies experts for what
# a few prompts chose.
NEWEST_WEIGHT = 0.5
# Counts that differ by this much more than usual show another popularity.
SHIFT_RATIO = 1.8
# Counts from which the usual difference is known, and how many are looked back at.
N_MIN_DIFFERENCES = 3
N_MAX_DIFFERENCES = 15


class PopularityTracker:
    """Average of the counts since popularity last changed.

    Load pattern: the prompts of one interval are few and each has experts of its own,
    so that counts differ from one interval to the next while popularity holds; now and
    then popularity changes at once, and earlier counts say nothing any more.

    Examples
    --------
    >>> tracker = PopularityTracker()
    >>> tracker.observe([[1.0, 3.0]])
    >>> tracker.observe([[1.0, 1.0]])
    >>> tracker.shares
    [[0.375, 0.625]]
    """

    def __init__(self) -> None:
        self.shares: Loads = ()
        self._differences: deque[float] = deque(maxlen=N_MAX_DIFFERENCES)

    def observe(self, loads: Loads) -> None:
        """Take the choices counted in the last interval, by layer and expert."""
        newest = [_normalize(of_layer) for of_layer in loads]
        if not self.shares:
            self.shares = newest
            return
        difference = _compute_difference(newest, self.shares)
        if self._is_shift(difference):
            self.shares = newest
        else:
            self.shares = _mix(newest, self.shares)
        self._differences.append(difference)

    def _is_shift(self, difference: float) -> bool:
        if len(self._differences) < N_MIN_DIFFERENCES:
            return False
        return difference > SHIFT_RATIO * median(self._differences)


def _normalize(loads: Sequence[float]) -> list[float]:
    total = sum(loads) or 1.0
    return [load / total for load in loads]


def _compute_difference(one: Loads, other: Loads) -> float:
    """Return the total variation distance, as a mean over the layers."""
    distances = [
        sum(abs(a - b) for a, b in zip(x, y, strict=True)) / 2
        for x, y in zip(one, other, strict=True)
    ]
    return sum(distances) / len(distances)


def _mix(newest: Loads, older: Loads) -> list[list[float]]:
    return [
        [NEWEST_WEIGHT * a + (1 - NEWEST_WEIGHT) * b for a, b in zip(x, y, strict=True)]
        for x, y in zip(newest, older, strict=True)
    ]
