"""Queues of waiting requests and their placement on endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellusher_core.effects import Dispatch, Effect, SetTimer
from bluebellusher_core.errors import Reason, Refusal
from bluebellusher_core.membership import Pool, has_room, pool_of
from bluebellusher_core.requests import _final
from bluebellusher_core.requests._model import Attempt, Phase, Request
from bluebellusher_core.routing import EndpointView

if TYPE_CHECKING:
    from bluebellusher_core.reducer import EntryState


def enqueue(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Offer a request to the queue of its pool."""
    pool = pool_of(request.spec)
    queue = state.queue_by_pool.get(pool)
    if queue is None:
        queue = state.queue_by_pool[pool] = state.make_queue()
    request.phase = Phase.WAITING
    refusal = queue.offer(request.spec, now_ms)
    if refusal is None:
        return []
    return reject_waiting(state, request, refusal)


def reject_waiting(
    state: EntryState, request: Request, refusal: Refusal
) -> list[Effect]:
    """Give up a request that the queue refused."""
    return _final.give_up(state, request, refusal.reason, refusal.step, refusal.peer)


def withdraw(state: EntryState, request: Request) -> None:
    """Take a request out of its queue."""
    if request.phase is Phase.WAITING:
        queue = state.queue_by_pool.get(pool_of(request.spec))
        if queue is not None:
            queue.remove(request.spec.request_id)


def place_waiting(state: EntryState, now_ms: int) -> list[Effect]:
    """Dispatch waiting requests while endpoints have room."""
    effects: list[Effect] = []
    for pool in [p for p, queue in state.queue_by_pool.items() if len(queue)]:
        effects += _place_pool(state, pool, now_ms)
    return effects


def _place_pool(state: EntryState, pool: Pool, now_ms: int) -> list[Effect]:
    queue = state.queue_by_pool[pool]
    effects: list[Effect] = []
    for spec, refusal in queue.expire(now_ms):
        effects += reject_waiting(state, state.request_by_id[spec.request_id], refusal)
    while len(queue):
        views = [v for v in state.endpoints.views_of(pool) if has_room(v, now_ms)]
        if not views:
            break
        taken = queue.take(now_ms)
        if taken is None:
            break
        request = state.request_by_id[taken.request_id]
        if taken.deadline_ms <= now_ms:
            effects += _final.give_up(
                state, request, Reason.DEADLINE_EXCEEDED, "admission"
            )
            continue
        endpoint_id = _choose(state, request, views, now_ms)
        if endpoint_id is None:
            queue.put_back(taken, now_ms)
            break
        effects += dispatch(state, request, endpoint_id, now_ms)
    return effects


def _choose(
    state: EntryState, request: Request, views: list[EndpointView], now_ms: int
) -> str | None:
    if request.avoided:
        fresh = [v for v in views if v.info.endpoint_id not in request.avoided]
        views = fresh or views
    return state.policy.choose(request.spec, views, now_ms, state.random_state)


def dispatch(
    state: EntryState, request: Request, endpoint_id: str, now_ms: int
) -> list[Effect]:
    """Start an attempt on an endpoint."""
    state.n_attempts_made += 1
    config = state.config
    attempt_id = f"{config.entry_id}.{config.incarnation}.{state.n_attempts_made}"
    request_id = request.spec.request_id
    attempt = Attempt(attempt_id, request_id, endpoint_id, now_ms)
    request.phase = Phase.RUNNING
    request.attempts.append(attempt)
    state.attempt_by_id[attempt_id] = attempt
    state.endpoints.start_attempt(endpoint_id, request.spec, now_ms)
    return [Dispatch(attempt_id, request_id, endpoint_id, request.n_bytes_relayed)]


def watch_unserved(state: EntryState, now_ms: int) -> list[Effect]:
    """Set a timer for every pool whose last endpoint is gone."""
    effects: list[Effect] = []
    due_ms = now_ms + state.config.no_endpoint_grace_ms
    for pool, queue in list(state.queue_by_pool.items()):
        if state.endpoints.views_of(pool):
            continue
        if len(queue):
            effects.append(SetTimer("pool:", due_ms))
        else:
            del state.queue_by_pool[pool]
            state.service_ms_by_pool.pop(pool, None)
    return effects[:1]


def refuse_unserved(state: EntryState, now_ms: int) -> list[Effect]:
    """Refuse the requests of pools that still have no endpoint."""
    effects: list[Effect] = []
    for pool, queue in list(state.queue_by_pool.items()):
        if state.endpoints.views_of(pool):
            continue
        while (spec := queue.take(now_ms)) is not None:
            request = state.request_by_id[spec.request_id]
            effects += _final.give_up(state, request, Reason.NO_ENDPOINT, "routing")
        del state.queue_by_pool[pool]
        state.service_ms_by_pool.pop(pool, None)
    return effects
