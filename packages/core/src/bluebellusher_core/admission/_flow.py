"""Waiting requests of one customer."""

from dataclasses import dataclass, field
from math import exp

from bluebellusher_core.admission._service_rate import DECAY_MS, ServiceRate
from bluebellusher_core.events import Priority, RequestSpec

# A prompt token takes about a sixteenth of the engine time of an output token,
# because prefill runs over many tokens at once.
INPUT_TOKENS_PER_OUTPUT_TOKEN = 16
# Age difference that offsets one priority level, in ms: within a customer, a request
# goes before one of the next higher priority that arrived at least this much later.
AGEING_MS = 5_000
# Iterations of the estimate in ``predict_wait_with_overtaking``.
N_OVERTAKING_ITERATIONS = 4


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A waiting request, its cost and its position within its customer."""

    request: RequestSpec
    cost: float
    # Arrival time shifted by the priority, in ms, and a number that breaks ties.
    order: tuple[float, int]
    # Latest start of service with which the answer still meets the deadline.
    latest_start_ms: float
    offered_at_ms: int
    is_in_flow: bool = True


@dataclass(slots=True)
class Flow:
    """The waiting requests of one customer and its fair-queueing state."""

    weight: float
    start_tag: float
    heap: list[tuple[tuple[float, int], WaitingRequest]] = field(default_factory=list)
    cost_by_priority: list[float] = field(default_factory=lambda: [0.0] * len(Priority))
    # Accepted work, decayed with the time constant ``DECAY_MS``.
    recent_work_by_priority: list[float] = field(
        default_factory=lambda: [0.0] * len(Priority)
    )
    recent_work_at_ms: int = 0
    n_waiting: int = 0
    rate: ServiceRate = field(default_factory=ServiceRate)
    head: WaitingRequest | None = None
    # An entry in the heap of flows that has another generation is stale.
    generation: int = 0

    def record_accepted(self, priority: Priority, cost: float, now_ms: int) -> None:
        """Add accepted work to the recent arrivals of its priority."""
        decay = exp((self.recent_work_at_ms - now_ms) / DECAY_MS)
        self.recent_work_by_priority = [
            work * decay for work in self.recent_work_by_priority
        ]
        self.recent_work_by_priority[priority] += cost
        self.recent_work_at_ms = now_ms


def predict_wait_with_overtaking(
    flow: Flow, priority: Priority, work_ahead: float, ms_per_unit: float
) -> float:
    """Return the wait, in ms, including later arrivals of higher priority.

    A later request overtakes when it arrives before the wait ends and at most
    ``AGEING_MS`` later for each level by which its priority is higher. Overtaking
    lengthens the wait, so that more requests can overtake; a few iterations come
    close enough to the fixed point.

    Parameters
    ----------
    flow : Flow
        The customer's waiting requests and recent arrivals.
    priority : Priority
        Priority of the request that waits.
    work_ahead : float
        Cost of the customer's requests that are served first.
    ms_per_unit : float
        Time in which one unit of cost is served, in ms.
    """
    wait_ms = work_ahead * ms_per_unit
    for _ in range(N_OVERTAKING_ITERATIONS):
        work = work_ahead
        for level in range(priority):
            window_ms = min(wait_ms, AGEING_MS * float(priority - level))
            work += flow.recent_work_by_priority[level] * window_ms / DECAY_MS
        wait_ms = work * ms_per_unit
    return wait_ms


def compute_cost(request: RequestSpec) -> float:
    """Return the engine time of a request in units of one output token."""
    input_cost = request.n_input_tokens / INPUT_TOKENS_PER_OUTPUT_TOKEN
    return 1.0 + input_cost + request.n_max_output_tokens
