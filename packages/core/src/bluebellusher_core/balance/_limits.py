"""Limits on the weight loads of a plan, and rate limit of the weight store."""

from dataclasses import dataclass

from bluebellusher_core.balance._protocol import Conditions


@dataclass(frozen=True, slots=True)
class MoveBudget:
    """Limits on the weight loads of the plans of one group.

    Parameters
    ----------
    max_loads : int
        Maximum number of weight loads in progress at the same time.
    max_bytes : int
        Maximum number of bytes that one plan reads from the weight store.
    store_bytes_per_s : int
        Bytes per second that this group may read from the weight store on average.
    store_burst_bytes : int
        Bytes that this group may read at once when it has read nothing for a while;
        the capacity of the token bucket.

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
    """Limiter of weight loads, with a token bucket for reads from the weight store.

    Parameters
    ----------
    budget : MoveBudget
        Limits to enforce.
    n_expert_bytes : int
        Size of the weights of one expert of one layer, in bytes.
    """

    def __init__(self, budget: MoveBudget, n_expert_bytes: int) -> None:
        self._budget = budget
        self._n_expert_bytes = n_expert_bytes
        self._n_available_bytes = budget.store_burst_bytes
        self._refilled_at_ms: int | None = None

    def compute_max_loads(self, conditions: Conditions) -> int:
        """Return the maximum number of weight loads of a plan that is made now."""
        self._refill(conditions.now_ms)
        if conditions.is_capacity_short:
            return 0
        if conditions.now_ms < conditions.store_retry_at_ms:
            return 0
        n_bytes = min(self._budget.max_bytes, self._n_available_bytes)
        n_free_loads = self._budget.max_loads - conditions.n_loads_in_progress
        return max(0, min(n_free_loads, n_bytes // self._n_expert_bytes))

    def consume(self, n_bytes: int) -> None:
        """Deduct the bytes that a plan will read from the store's token bucket."""
        self._n_available_bytes -= n_bytes

    def _refill(self, now_ms: int) -> None:
        """Add the bytes of the time since the last refill to the token bucket."""
        if self._refilled_at_ms is None:
            self._refilled_at_ms = now_ms
        elapsed_ms = max(0, now_ms - self._refilled_at_ms)
        n_refilled_bytes = elapsed_ms * self._budget.store_bytes_per_s // 1000
        capacity_bytes = self._budget.store_burst_bytes
        # No plan consumes more bytes than the bucket holds, so that reads never exceed
        # the burst plus the refilled bytes.
        self._n_available_bytes = min(
            capacity_bytes, self._n_available_bytes + n_refilled_bytes
        )
        if n_refilled_bytes:
            self._refilled_at_ms += elapsed_ms
