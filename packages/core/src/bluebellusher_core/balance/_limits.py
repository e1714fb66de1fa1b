"""Budget of moves and the rate limit of the weight store."""

from dataclasses import dataclass

from bluebellusher_core.balance._protocol import Conditions


@dataclass(frozen=True, slots=True)
class MoveBudget:
    """Limits of one plan.

    Parameters
    ----------
    max_loads : int
        Expert loads in progress at a time.
    max_bytes : int
        Bytes of one plan.
    store_bytes_per_s : int
        Rate of the weight store that this group may use.
    store_burst_bytes : int
        Bytes that may be read at once after a pause.

    Raises
    ------
    ValueError
        When a limit is negative.
    """

    max_loads: int
    max_bytes: int
    store_bytes_per_s: int
    store_burst_bytes: int

    def __post_init__(self) -> None:
        for name in self.__slots__:
            value = getattr(self, name)
            if value < 0:
                raise ValueError(f"{name} is {value}, expected at least 0")


class MoveLimiter:
    """Number of experts that may be loaded now; one token bucket for the store."""

    def __init__(self, budget: MoveBudget, n_expert_bytes: int) -> None:
        self._budget = budget
        self._n_expert_bytes = n_expert_bytes
        self._n_store_bytes = budget.store_burst_bytes
        self._refilled_at_ms: int | None = None

    def compute_max_loads(self, conditions: Conditions) -> int:
        """Return how many experts one plan may load under the conditions."""
        self._refill(conditions.now_ms)
        if conditions.is_capacity_short:
            return 0
        if conditions.now_ms < conditions.store_retry_at_ms:
            return 0
        n_bytes = min(self._budget.max_bytes, self._n_store_bytes)
        n_free = self._budget.max_loads - conditions.n_loads_in_progress
        return max(0, min(n_free, n_bytes // self._n_expert_bytes))

    def take(self, n_bytes: int) -> None:
        """Count bytes that a plan reads from the store."""
        self._n_store_bytes -= n_bytes

    def _refill(self, now_ms: int) -> None:
        if self._refilled_at_ms is None:
            self._refilled_at_ms = now_ms
        elapsed_ms = max(0, now_ms - self._refilled_at_ms)
        n_new = elapsed_ms * self._budget.store_bytes_per_s // 1000
        limit = self._budget.store_burst_bytes
        # A plan never takes more than is there, so the sum stays within the burst.
        self._n_store_bytes = min(limit, self._n_store_bytes + n_new)
        if n_new:
            self._refilled_at_ms += elapsed_ms
