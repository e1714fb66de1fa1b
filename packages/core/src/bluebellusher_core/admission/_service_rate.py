"""Estimate of how much work leaves a queue in a millisecond."""

from math import exp

# Long enough to average over single requests, short enough to follow the loss of
# a failure domain before most deadlines pass.
MEMORY_MS = 10_000.0
# The expected rate counts as much as this much measured time.
PRIOR_MS = 1_000.0


class ServiceRate:
    """Work taken from a queue per millisecond in which requests waited.

    Time without waiting requests tells nothing about the highest rate, so neither
    that time nor requests that did not wait are counted. Both sums decay with
    ``MEMORY_MS``.
    """

    def __init__(self) -> None:
        self._work = 0.0
        self._busy_ms = 0.0
        self._advanced_at_ms: int | None = None

    def advance(self, now_ms: int, has_backlog: bool) -> None:
        """Account for the time since the last call."""
        last_ms = now_ms if self._advanced_at_ms is None else self._advanced_at_ms
        elapsed_ms = now_ms - last_ms
        self._advanced_at_ms = now_ms
        if elapsed_ms <= 0:
            return
        decay = exp(-elapsed_ms / MEMORY_MS)
        self._work *= decay
        self._busy_ms *= decay
        if has_backlog:
            self._busy_ms += elapsed_ms

    def record(self, work: float) -> None:
        """Count work that left the queue; a negative amount takes it back."""
        self._work = max(0.0, self._work + work)

    def predict_wait_ms(
        self, work_ahead: float, expected_rate: float | None, mean_work: float
    ) -> float:
        """Return how long ``work_ahead`` takes; 0 while nothing was observed.

        Parameters
        ----------
        work_ahead : float
            Work that goes first.
        expected_rate : float or None
            Work per millisecond that is expected before anything was measured.
        mean_work : float
            Work of a mean request. Without an expected rate one such request is
            assumed to be about to leave, so that the estimate stays finite and grows
            during a stall.
        """
        if expected_rate is not None:
            work = self._work + expected_rate * PRIOR_MS
            return work_ahead * (self._busy_ms + PRIOR_MS) / work
        work = self._work + mean_work
        return work_ahead * self._busy_ms / work if work else 0.0
