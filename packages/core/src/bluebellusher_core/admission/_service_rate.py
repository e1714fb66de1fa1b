"""Estimate of the work that leaves a queue per millisecond."""

from math import exp

# Time constant of the decay, in ms. It is long enough to average over single requests
# and short enough to follow the loss of a failure domain before most deadlines pass.
DECAY_MS = 10_000.0
# The expected rate has the same weight as a measurement over this time, in ms.
PRIOR_MS = 1_000.0


class ServiceRate:
    """Service rate: work dequeued per millisecond of the time with a backlog.

    Time without waiting requests gives no information about the highest possible
    rate, so neither that time nor requests that did not wait are counted. The sums of
    work and time decay with the time constant ``DECAY_MS``.
    """

    def __init__(self) -> None:
        self._work = 0.0
        self._busy_ms = 0.0
        self._advanced_at_ms: int | None = None

    def advance(self, now_ms: int, has_backlog: bool) -> None:
        """Decay both sums, and add the time since the last call if it had a backlog."""
        last_ms = now_ms if self._advanced_at_ms is None else self._advanced_at_ms
        elapsed_ms = now_ms - last_ms
        self._advanced_at_ms = now_ms
        if elapsed_ms <= 0:
            return
        decay = exp(-elapsed_ms / DECAY_MS)
        self._work *= decay
        self._busy_ms *= decay
        if has_backlog:
            self._busy_ms += elapsed_ms

    def record(self, work: float) -> None:
        """Add work that left the queue; a negative amount reverts an earlier call."""
        self._work = max(0.0, self._work + work)

    def predict_wait_ms(
        self, work_ahead: float, expected_rate: float | None, mean_work: float
    ) -> float:
        """Return the predicted time, in ms, in which ``work_ahead`` is served.

        Without an expected rate, the time is 0 until a backlog was observed.

        Parameters
        ----------
        work_ahead : float
            Cost of the requests that are served first.
        expected_rate : float or None
            Work per millisecond that is expected before the first measurement.
        mean_work : float
            Cost of a mean request. Without an expected rate, one such request is added
            to the served work, so that the estimate stays finite and grows during a
            stall.
        """
        if expected_rate is not None:
            work = self._work + expected_rate * PRIOR_MS
            return work_ahead * (self._busy_ms + PRIOR_MS) / work
        work = self._work + mean_work
        return work_ahead * self._busy_ms / work if work else 0.0
