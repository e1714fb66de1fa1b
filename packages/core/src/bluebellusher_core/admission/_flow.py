"""Waiting requests of one customer."""

from dataclasses import dataclass, field
from math import exp

from bluebellusher_core.admission._service_rate import MEMORY_MS, ServiceRate
from bluebellusher_core.events import Priority, RequestSpec

# A prompt token takes about a sixteenth of the engine time of an output token,
# because prefill runs over many tokens at once.
INPUT_TOKENS_PER_OUTPUT_TOKEN = 16
# A waiting request overtakes a later one of the same customer and of the next
# higher priority when it is this much older.
AGEING_MS = 5_000
N_OVERTAKING_ROUNDS = 4


@dataclass(slots=True, eq=False)
class Waiting:
    """One waiting request and its place."""

    request: RequestSpec
    cost: float
    order: tuple[float, int]
    # The time after which the answer would come too late.
    latest_start_ms: float
    offered_at_ms: int
    is_in_flow: bool = True


@dataclass(slots=True)
class Flow:
    """The waiting requests and the position of one customer."""

    weight: float
    start_tag: float
    heap: list[tuple[tuple[float, int], Waiting]] = field(default_factory=list)
    cost_by_priority: list[float] = field(default_factory=lambda: [0.0] * len(Priority))
    # Accepted work, decayed with ``MEMORY_MS``.
    recent_by_priority: list[float] = field(
        default_factory=lambda: [0.0] * len(Priority)
    )
    recent_at_ms: int = 0
    n_waiting: int = 0
    rate: ServiceRate = field(default_factory=ServiceRate)
    head: Waiting | None = None
    # Entries of the heap of flows with another generation are outdated.
    generation: int = 0

    def note_accepted(self, priority: Priority, cost: float, now_ms: int) -> None:
        """Count accepted work for the rate of arrivals by priority."""
        decay = exp((self.recent_at_ms - now_ms) / MEMORY_MS)
        self.recent_by_priority = [work * decay for work in self.recent_by_priority]
        self.recent_by_priority[priority] += cost
        self.recent_at_ms = now_ms


def with_overtaking(
    flow: Flow, priority: Priority, work_ahead: float, unit_ms: float
) -> float:
    """Return the wait with later arrivals of higher priority.

    Such a request overtakes when it arrives before the wait ends and at most
    ``AGEING_MS`` later for each level. Each round adds those that the round before
    let in; a few rounds come close enough.
    """
    wait_ms = work_ahead * unit_ms
    for _ in range(N_OVERTAKING_ROUNDS):
        work = work_ahead
        for level in range(priority):
            window_ms = min(wait_ms, AGEING_MS * float(priority - level))
            work += flow.recent_by_priority[level] * window_ms / MEMORY_MS
        wait_ms = work * unit_ms
    return wait_ms


def compute_cost(request: RequestSpec) -> float:
    """Return the engine time of a request in units of one output token."""
    n_input = request.n_input_tokens / INPUT_TOKENS_PER_OUTPUT_TOKEN
    return 1.0 + n_input + request.n_max_output_tokens
