"""Change of the admission queues with the objectives of the configuration."""

from bluebellusher_core.effects import Effect, LogEvent
from bluebellusher_core.events import ObjectivesChanged
from bluebellusher_core.membership import Pool, pool_of
from bluebellusher_core.requests import _placing
from bluebellusher_core.requests._model import Phase
from bluebellusher_core.state import EntryState


def handle_changed(
    state: EntryState, event: ObjectivesChanged, now_ms: int
) -> list[Effect]:
    """Apply the objectives; replace the queues of services whose objective changed.

    The new queue of a pool decides about its waiting requests. Attempts that run are
    not affected.
    """
    limits = state.endpoints.running_limits
    changed_pools = [
        pool
        for pool in state.queue_by_pool
        if limits.find_objective(pool[0]) != event.objective_by_service.get(pool[0])
    ]
    ended_ids = limits.service_ids - event.objective_by_service.keys()
    limits.set_objectives(event.objective_by_service)
    state.next_placement_ms = 0
    effects: list[Effect] = []
    for service_id, objective in sorted(event.objective_by_service.items()):
        fields = (("service", service_id), ("max_gap_ms", objective.max_gap_ms))
        effects.append(LogEvent("overload-control-applied", fields))
    for service_id in sorted(ended_ids):
        fields_of_end = (("service", service_id),)
        effects.append(LogEvent("overload-control-ended", fields_of_end))
    for pool in sorted(changed_pools):
        effects += _replace_queue(state, pool, now_ms)
    return effects


def _replace_queue(state: EntryState, pool: Pool, now_ms: int) -> list[Effect]:
    """Replace the queue of a pool and move its waiting requests to the new one."""
    queue = state.queue_by_pool.pop(pool)
    state.waiting_pools.discard(pool)
    effects: list[Effect] = []
    for request in list(state.request_by_id.values()):
        spec = request.spec
        if request.phase is not Phase.WAITING or pool_of(spec) != pool:
            continue
        if not queue.remove(spec.request_id):
            continue
        if request.may_have_run or request.n_broken:
            effects += _placing.requeue(state, request, now_ms)
        else:
            effects += _placing.enqueue(state, request, now_ms)
    return effects
