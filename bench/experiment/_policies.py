"""Admission policies that an experiment compares, by name."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from bluebellusher.gateway import QUEUE_FACTOR
from bluebellusher_core.admission import (
    AdmissionQueue,
    FifoQueue,
    ObjectiveQueue,
    PriorityQueue,
)
from bluebellusher_core.directory import EngineModel, GapObjective
from bluebellusher_core.errors import Reason, Rejection
from bluebellusher_core.events import ObjectivesChanged, RequestSpec
from bluebellusher_core.reducer import EntryState, reduce
from bluebellusher_core.routing import RoundRobin, RoutingPolicy, SlotAware


class RejectWhileClosed(ObjectiveQueue):
    """Baseline that rejects fresh requests at once while the group is closed.

    Retried requests wait until their callers leave.
    """

    def offer(self, request: RequestSpec, now_ms: int) -> Rejection | None:
        """Reject a fresh request while the group is closed."""
        if self._is_closed and not request.is_returning:
            return self._reject(request, Reason.ENDPOINTS_CLOSED, now_ms)
        return super().offer(request, now_ms)


class NoClosedRule(ObjectiveQueue):
    """Baseline that does not distinguish a closed group from a busy one."""

    def observe_closed(self, is_closed: bool) -> None:
        """Ignore that the group is closed."""


class NoEarlyRejection(ObjectiveQueue):
    """Baseline that accepts requests which will be late or too late."""

    def _predict_wait_ms(self, waiting: Any) -> float:
        return 0.0


class NoObjective(ObjectiveQueue):
    """Baseline that orders requests only by the time at which their callers leave."""

    def _make_waiting(self, request: RequestSpec, now_ms: int) -> Any:
        return super()._make_waiting(replace(request, objective_at_ms=None), now_ms)


def _keep_state(state: EntryState, engine: EngineModel, max_gap_ms: int) -> None:
    """Leave an entry's state as it is."""


def _apply_objective(state: EntryState, engine: EngineModel, max_gap_ms: int) -> None:
    """Apply the configuration of a service whose capacity priorities compete for."""
    objective = GapObjective(engine, max_gap_ms)
    reduce(state, ObjectivesChanged({"s": objective}), 0)


def _limit_running(state: EntryState, engine: EngineModel, max_gap_ms: int) -> None:
    """Limit the requests that run at a rank at once; keep the queue of the policy."""
    _apply_objective(state, engine, max_gap_ms)
    state.queue_by_pool["s", "", ""] = state.make_queue()


def _order_by_priority(state: EntryState, engine: EngineModel, max_gap_ms: int) -> None:
    """Use the admission queue that orders by priority, without limits."""
    state.queue_by_pool["s", "", ""] = PriorityQueue(engine, max_gap_ms)


def _make_slot_aware() -> RoutingPolicy:
    """Return the routing policy of entries in the failure domain of all ranks."""
    return SlotAware("d")


@dataclass(frozen=True, slots=True)
class Policy:
    """Mechanisms of the entries in one simulated day.

    Parameters
    ----------
    make_queue : callable
        Returns an empty admission queue.
    recognizes_retries : bool
        Whether entries remember ended requests and tell each other of them.
    n_shared_retries : int
        Retries in a burst that all entries share.
    queue_factor : float
        Requests that a rank may hold, as a multiple of its slots.
    make_routing : callable
        Returns the routing policy of an entry.
    configure : callable
        Applies the engine's model and the allowed gap to an entry that starts.
    """

    make_queue: Callable[[], AdmissionQueue]
    recognizes_retries: bool = True
    n_shared_retries: int = 75
    queue_factor: float = QUEUE_FACTOR
    make_routing: Callable[[], RoutingPolicy] = _make_slot_aware
    configure: Callable[[EntryState, EngineModel, int], None] = _keep_state


POLICY_BY_NAME = {
    "fifo": Policy(FifoQueue),
    "objective": Policy(ObjectiveQueue),
    "priority": Policy(ObjectiveQueue, configure=_apply_objective),
    "limit-only": Policy(ObjectiveQueue, configure=_limit_running),
    "priority-only": Policy(ObjectiveQueue, configure=_order_by_priority),
    "no-closed-rule": Policy(NoClosedRule),
    "no-early-rejection": Policy(NoEarlyRejection),
    "no-objective": Policy(NoObjective),
    "no-retries": Policy(ObjectiveQueue, n_shared_retries=0),
    "no-retry-recognition": Policy(ObjectiveQueue, recognizes_retries=False),
    "round-robin-routing": Policy(ObjectiveQueue, make_routing=RoundRobin),
    "reject-while-closed": Policy(RejectWhileClosed),
    "queue-at-ranks": Policy(ObjectiveQueue, queue_factor=1.2),
    "two-batches-per-rank": Policy(ObjectiveQueue, queue_factor=2.0),
}
