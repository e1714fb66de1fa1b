"""Estimate of the popularity of experts from sampled counts."""

from collections import deque
from collections.abc import Sequence
from statistics import median

from bluebellusher_core.balance._model import Loads

# Weight of the newest counts in the average. With a weight of 1, plans would load
# experts that only the few prompts of one interval have chosen.
NEWEST_WEIGHT = 0.5
# Popularity is considered to have changed when the difference between the newest counts
# and the average exceeds the median of the earlier differences by this factor.
SHIFT_RATIO = 1.8
# Minimum number of earlier differences for a meaningful median, and maximum number of
# the latest differences that the median covers.
MIN_DIFFERENCES = 3
MAX_DIFFERENCES = 15


class PopularityTracker:
    """Moving average of the counts since popularity last changed.

    Load pattern: each interval has only a few prompts, and each prompt chooses its own
    experts, so that counts vary between intervals even when popularity does not change.
    Occasionally popularity changes abruptly, which makes earlier counts useless; the
    average then restarts with the newest counts.

    Attributes
    ----------
    shares : Loads
        Share of the choices of a layer that each expert has received, by layer and
        expert; empty before the first counts.

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
        self._differences: deque[float] = deque(maxlen=MAX_DIFFERENCES)

    def observe(self, loads: Loads) -> None:
        """Update the average with the counts of the last interval.

        Parameters
        ----------
        loads : Loads
            Number of times that each expert was chosen, by layer and expert.
        """
        newest = [_normalize(layer_loads) for layer_loads in loads]
        if not self.shares:
            self.shares = newest
            return
        difference = _compute_difference(newest, self.shares)
        if self._is_shift(difference):
            self.shares = newest
        else:
            self.shares = _blend(newest, self.shares)
        self._differences.append(difference)

    def _is_shift(self, difference: float) -> bool:
        """Return whether a difference shows that popularity has changed."""
        if len(self._differences) < MIN_DIFFERENCES:
            return False
        return difference > SHIFT_RATIO * median(self._differences)


def _normalize(loads: Sequence[float]) -> list[float]:
    """Return each load divided by their sum; zeros when all loads are 0."""
    total = sum(loads) or 1.0
    return [load / total for load in loads]


def _compute_difference(one: Loads, other: Loads) -> float:
    """Return the mean over the layers of the total variation distance."""
    distances = [
        sum(abs(a - b) for a, b in zip(x, y, strict=True)) / 2
        for x, y in zip(one, other, strict=True)
    ]
    return sum(distances) / len(distances)


def _blend(newest: Loads, older: Loads) -> list[list[float]]:
    """Return the weighted average of the newest shares and the previous average."""
    return [
        [NEWEST_WEIGHT * a + (1 - NEWEST_WEIGHT) * b for a, b in zip(x, y, strict=True)]
        for x, y in zip(newest, older, strict=True)
    ]
