"""Queues of waiting requests and their placement on endpoints."""

from dataclasses import replace
from math import inf
from typing import Protocol, runtime_checkable

from bluebellusher_core.admission import AdmissionQueue, PriorityQueue
from bluebellusher_core.effects import Dispatch, Effect, LogEvent, SetTimer
from bluebellusher_core.errors import Reason, Rejection
from bluebellusher_core.events import RequestSpec
from bluebellusher_core.membership import Pool, pool_of
from bluebellusher_core.requests import _final, _isolation, _parts
from bluebellusher_core.requests._model import Attempt, Phase, Request
from bluebellusher_core.routing import EndpointView
from bluebellusher_core.state import EntryState

# Longest interval between two checks of the queues, in ms. Requests that can no longer
# be served in time are rejected only when the queue's ``expire`` is called.
EXPIRY_CHECK_INTERVAL_MS = 100


@runtime_checkable
class WeightedQueue(Protocol):
    """A queue that divides its capacity among customers by weight."""

    def set_weights(self, weight_by_customer: dict[str, float]) -> None:
        """Replace the customers' weights."""


@runtime_checkable
class ClosableQueue(Protocol):
    """A queue with an admission rule of its own while every endpoint is closed."""

    def observe_closed(self, is_closed: bool) -> None:
        """Record whether no endpoint of the pool can run a request now."""

    def reject_closed(self, request: RequestSpec, now_ms: int) -> Rejection:
        """Return the rejection of a request that a closed endpoint has refused."""


@runtime_checkable
class PausableQueue(Protocol):
    """A queue with an admission rule of its own while every endpoint is paused."""

    def observe_pause(self, pause_ms: int) -> None:
        """Record the time until the first pause of the pool's endpoints ends.

        ``pause_ms`` is in ms; it is 0 when at least one endpoint is not paused.
        """


@runtime_checkable
class ReservingQueue(Protocol):
    """A queue that keeps slots free for higher priorities."""

    def observe_room(self, n_usual: int, n_top: int) -> None:
        """Record how many requests this entry may start.

        The requests of the highest priority may use ``n_top`` slots, the others
        ``n_usual`` of them.
        """


def enqueue(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Offer a request to the queue of its pool.

    A request with a blocked fingerprint is rejected, unless it is the trial run. A
    request with a suspect fingerprint does not enter the queue but waits for an
    isolated run.
    """
    request.phase = Phase.WAITING
    state.next_placement_ms = 0
    spec = request.spec
    if state.poison.is_blocked(spec.fingerprint, now_ms) and not request.is_trial:
        reason = Reason.CRASHES_ENDPOINTS
        return _final.reject_request(state, request, reason, "isolation", now_ms)
    if state.poison.is_suspect(spec.fingerprint, now_ms):
        state.isolate_at_ms[spec.request_id] = now_ms
        return []
    return _offer(state, request, now_ms)


def reject_if_closed(
    state: EntryState, request: Request, now_ms: int
) -> list[Effect] | None:
    """Reject a refused request if every endpoint of its pool is closed.

    Dispatching it again after the endpoints open would use the retry budget. Its caller
    is asked to retry instead, after the ``retry_after_ms`` that the queue chooses.
    Returns None, and does nothing, when an endpoint is open, when the queue has no rule
    for closed endpoints, when the request may have run, or when it is itself a retried
    request. The request is then handled as after any other refusal.
    """
    pool = pool_of(request.spec)
    has_no_retry = request.may_have_run or request.spec.is_returning
    if has_no_retry or not state.endpoints.is_pool_closed(pool, now_ms):
        return None
    queue = _get_queue(state, pool)
    if not isinstance(queue, ClosableQueue):
        return None
    rejection = queue.reject_closed(request.spec, now_ms)
    return _reject_waiting(state, request, rejection, now_ms)


def _offer(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Update the queue of a request's pool and offer the request to it.

    A request that the queue does not admit is rejected.
    """
    pool = pool_of(request.spec)
    queue = _get_queue(state, pool)
    _update_service_rate(state, pool, queue, now_ms)
    _update_closed(state, pool, queue, now_ms)
    _update_pause(state, pool, queue, now_ms)
    rejection = queue.offer(request.spec, now_ms)
    if rejection is None:
        state.waiting_pools.add(pool)
        return []
    return _reject_waiting(state, request, rejection, now_ms)


def requeue(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Put a request that was dispatched before at the front of its pool's queue.

    The queue does not predict again whether the request can be served in time. A
    request with a suspect fingerprint waits for an isolated run instead.
    """
    request.phase = Phase.WAITING
    state.next_placement_ms = 0
    spec = request.spec
    if state.poison.is_suspect(spec.fingerprint, now_ms):
        state.isolate_at_ms[spec.request_id] = now_ms
        return []
    if request.n_bytes_relayed:
        # A caller waits for the next bytes of a broken stream as long as for the
        # first byte, so the request gets a new limit in the queue.
        start_by_ms = now_ms + state.config.resume_wait_ms
        spec = replace(spec, start_by_ms=start_by_ms)
    pool = pool_of(spec)
    _get_queue(state, pool).requeue(spec, now_ms)
    state.waiting_pools.add(pool)
    return []


def remove_waiting(state: EntryState, request: Request) -> None:
    """Remove a waiting request from the queue of its pool."""
    if request.phase is not Phase.WAITING:
        return
    queue = state.queue_by_pool.get(pool_of(request.spec))
    if queue is not None:
        queue.remove(request.spec.request_id)


def reject_blocked(state: EntryState, now_ms: int) -> list[Effect]:
    """Reject the waiting requests with a blocked part of their prompt."""
    effects: list[Effect] = []
    for request in list(state.request_by_id.values()):
        if request.phase is not Phase.WAITING or request.is_trial:
            continue
        block_ms = _parts.find_block_ms(state, request.spec, now_ms)
        if block_ms:
            remove_waiting(state, request)
            effects += _parts.reject(state, request, block_ms, now_ms)
    return effects


def set_weights(state: EntryState) -> None:
    """Update the customers' weights in every queue that uses them."""
    for queue in state.queue_by_pool.values():
        if isinstance(queue, WeightedQueue):
            queue.set_weights(state.weight_by_customer)


def place_waiting(state: EntryState, now_ms: int) -> list[Effect]:
    """Dispatch waiting requests while endpoints have free capacity.

    Also rejects waiting requests that expired or whose pool has no endpoint, and sets
    the timer for the next check. Does nothing before ``state.next_placement_ms``.
    """
    if not state.waiting_pools and not state.isolate_at_ms:
        return []
    if now_ms < state.next_placement_ms:
        return []
    effects = _isolation.place_suspects(state, now_ms)
    n_suspects = len(state.isolate_at_ms)
    for pool in sorted(state.waiting_pools):
        effects += _place_pool(state, pool, now_ms)
        if not len(state.queue_by_pool[pool]):
            state.waiting_pools.discard(pool)
    if len(state.isolate_at_ms) > n_suspects:
        effects += _isolation.place_suspects(state, now_ms)
    effects += _reject_unserved(state, now_ms)
    return effects + _set_wake_timer(state, now_ms)


def dispatch(
    state: EntryState,
    request: Request,
    endpoint_id: str,
    now_ms: int,
    is_isolated: bool = False,
    is_resumed: bool = False,
) -> list[Effect]:
    """Create an attempt of a request and dispatch it to an endpoint.

    Idempotent work is scheduled for a hedge, unless the attempt is isolated or resumes
    a stream.
    """
    state.n_attempts_made += 1
    config = state.config
    attempt_id = f"{config.entry_id}.{config.incarnation}.{state.n_attempts_made}"
    request_id = request.spec.request_id
    view = state.endpoints.view_by_id[endpoint_id]
    attempt = Attempt(
        attempt_id=attempt_id,
        request_id=request_id,
        endpoint_id=endpoint_id,
        dispatched_at_ms=now_ms,
        incarnation=view.info.incarnation,
        is_isolated=is_isolated,
        is_resumed=is_resumed,
    )
    if is_isolated:
        view.is_isolating = True
    request.phase = Phase.RUNNING
    request.attempts.append(attempt)
    state.attempt_by_id[attempt_id] = attempt
    state.poison.start(request.spec.fingerprint)
    state.endpoints.silence.record_dispatch(view)
    state.endpoints.limits.record_dispatch(endpoint_id, view.info.incarnation, now_ms)
    predicted_ms = 0.0
    if state.predictor is not None and not is_resumed:
        predicted_ms = state.predictor.predict_normal_ms(request.spec, view, now_ms)
    state.endpoints.tracker.record_dispatch(
        attempt_id, endpoint_id, request.spec, predicted_ms, now_ms
    )
    offset = request.n_bytes_relayed
    effects: list[Effect] = []
    effects.append(Dispatch(attempt_id, request_id, endpoint_id, offset, is_isolated))
    may_hedge = request.spec.is_idempotent and not is_isolated and not is_resumed
    if config.hedge_after_ms and may_hedge:
        due_ms = now_ms + config.hedge_after_ms
        effects.append(SetTimer(f"hedge:{attempt_id}", due_ms))
    return effects


def choose_endpoint(
    state: EntryState, request: Request, views: list[EndpointView], now_ms: int
) -> str | None:
    """Choose an endpoint for a request by the routing policy.

    Endpoints that refused or broke an attempt of this request, and after a broken
    attempt those that have not sent anything lately, are chosen only when no other one
    is among ``views``. Several machines may have stopped responding at the same time.
    Returns None when the policy chooses none, or when the request waits for an endpoint
    that is known to exist.
    """
    if not state.endpoints.contested.is_empty and not state.retry_budget.n_available:
        views = _omit_unproven(state, request, views)
        if not views:
            return None
    if request.avoided_endpoint_ids:
        untried = [
            v for v in views if v.info.endpoint_id not in request.avoided_endpoint_ids
        ]
        views = untried or views
    if request.n_broken:
        views = [v for v in views if state.endpoints.silence.is_heard(v)] or views
    return state.policy.choose(request.spec, views, now_ms, state.random_state)


def _omit_unproven(
    state: EntryState, request: Request, views: list[EndpointView]
) -> list[EndpointView]:
    """Omit endpoints that may not exist, if the request can wait for another one.

    It addresses requests that find the retry budget used up, so that the refusal of an
    attempt would be final.
    """
    is_unproven = state.endpoints.contested.is_unproven
    in_pool = state.endpoints.views_of(pool_of(request.spec))
    if all(is_unproven(view.info.endpoint_id) for view in in_pool):
        return views
    return [view for view in views if not is_unproven(view.info.endpoint_id)]


def _place_pool(state: EntryState, pool: Pool, now_ms: int) -> list[Effect]:
    """Reject the expired requests of a pool and dispatch as many others as fit.

    Requests whose fingerprint became a suspect leave the queue for an isolated run.
    """
    queue = state.queue_by_pool[pool]
    effects: list[Effect] = []
    _update_closed(state, pool, queue, now_ms)
    _update_pause(state, pool, queue, now_ms)
    for spec, rejection in queue.expire(now_ms):
        request = state.request_by_id[spec.request_id]
        effects += _reject_waiting(state, request, rejection, now_ms)
    while len(queue):
        views = state.endpoints.views_with_capacity(pool, now_ms)
        usual_views = views
        if isinstance(queue, ReservingQueue):
            usual_views = _update_room(state, queue, views, now_ms)
        next_spec = queue.dequeue(now_ms) if views else None
        if next_spec is None:
            break
        views = usual_views or views
        request = state.request_by_id[next_spec.request_id]
        if next_spec.deadline_ms <= now_ms:
            reason = Reason.DEADLINE_EXCEEDED
            effects += _final.reject_request(
                state, request, reason, "admission", now_ms
            )
            continue
        if state.poison.is_suspect(next_spec.fingerprint, now_ms):
            state.isolate_at_ms[next_spec.request_id] = now_ms
            continue
        endpoint_id = choose_endpoint(state, request, views, now_ms)
        if endpoint_id is None:
            queue.requeue(next_spec, now_ms)
            break
        effects += _parts.prepare_dispatch(state, request, now_ms)
        if next_spec.request_id not in state.request_by_id:
            # A part of its prompt is blocked.
            continue
        effects += dispatch(state, request, endpoint_id, now_ms)
    return effects


def _update_room(
    state: EntryState, queue: ReservingQueue, views: list[EndpointView], now_ms: int
) -> list[EndpointView]:
    """Update a queue's record of the room; return the endpoints for all priorities."""
    n_usual = n_top = 0
    usual_views = []
    for view in views:
        room = state.endpoints.count_room(view, now_ms)
        n_top += room.n_top
        if room.n_usual > 0:
            n_usual += room.n_usual
            usual_views.append(view)
    queue.observe_room(n_usual, n_top)
    return usual_views


def _get_queue(state: EntryState, pool: Pool) -> AdmissionQueue:
    """Return the queue of a pool; create it on the first call."""
    queue = state.queue_by_pool.get(pool)
    if queue is None:
        queue = state.queue_by_pool[pool] = _make_queue(state, pool)
        if isinstance(queue, WeightedQueue):
            queue.set_weights(state.weight_by_customer)
    return queue


def _make_queue(state: EntryState, pool: Pool) -> AdmissionQueue:
    """Return an empty queue for a pool, by the objective of its service."""
    objective = state.endpoints.running_limits.find_objective(pool[0])
    if objective is None:
        return state.make_queue()
    return PriorityQueue(objective.engine, objective.max_gap_ms)


def _update_closed(
    state: EntryState, pool: Pool, queue: AdmissionQueue, now_ms: int
) -> None:
    """Update a queue's record of whether every endpoint of its pool is closed."""
    if isinstance(queue, ClosableQueue):
        queue.observe_closed(state.endpoints.is_pool_closed(pool, now_ms))


def _update_pause(
    state: EntryState, pool: Pool, queue: AdmissionQueue, now_ms: int
) -> None:
    """Update a queue's record of the time until an endpoint ends its pause."""
    if isinstance(queue, PausableQueue):
        queue.observe_pause(state.endpoints.pause_remaining_ms(pool, now_ms))


def _update_service_rate(
    state: EntryState, pool: Pool, queue: AdmissionQueue, now_ms: int
) -> None:
    """Update a non-empty queue's slots and mean service time, from which it predicts.

    An endpoint with free capacity counts with all its slots. An endpoint without free
    capacity counts only with the attempts of this entry, because the other entries
    use its remaining slots. An endpoint with a limit counts at most with the attempts
    that the limit allows.
    """
    service_ms = state.service_ms_by_pool.get(pool)
    if service_ms is None or not len(queue):
        return
    endpoints = state.endpoints
    free_views = endpoints.views_with_capacity(pool, now_ms)
    free_ids = {view.info.endpoint_id for view in free_views}
    n_slots = 0.0
    for view in endpoints.views_of(pool):
        is_free = view.info.endpoint_id in free_ids
        n_usable = endpoints.count_usable_slots(view, is_free, now_ms)
        n_limited = endpoints.find_limited_slots(view, service_ms, now_ms)
        n_slots += min(n_usable if n_limited == inf else view.info.n_slots, n_limited)
    queue.observe_service(max(1, round(n_slots)), service_ms)


def _reject_waiting(
    state: EntryState, request: Request, rejection: Rejection, now_ms: int
) -> list[Effect]:
    """Reject a waiting request with the reason that its queue returned.

    The rejection is logged where priorities compete for capacity.
    """
    spec = request.spec
    effects: list[Effect] = []
    if state.endpoints.running_limits.find_objective(spec.service_id) is not None:
        queue = state.queue_by_pool.get(pool_of(spec))
        fields = (
            ("request", spec.request_id),
            ("priority", int(spec.priority)),
            ("reason", rejection.reason.value),
            ("waited_ms", now_ms - spec.arrived_at_ms),
            ("n_waiting", len(queue) if queue is not None else 0),
            ("retry_after_ms", rejection.retry_after_ms or 0),
            ("is_returning", int(spec.is_returning)),
        )
        effects.append(LogEvent("request-not-admitted", fields))
    return effects + _final.reject_request(
        state,
        request,
        rejection.reason,
        rejection.step,
        now_ms,
        rejection.peer,
        rejection.retry_after_ms,
    )


def _reject_unserved(state: EntryState, now_ms: int) -> list[Effect]:
    """Reject the requests of pools that had no endpoint for the grace period.

    There is no grace period when only evacuated domains could serve a pool.
    Other pools without an endpoint keep waiting. The time since which a pool has had no
    endpoint is discarded once an endpoint serves it or no request waits for it.
    """
    waiting = set(state.waiting_pools)
    for request_id in state.isolate_at_ms:
        waiting.add(pool_of(state.request_by_id[request_id].spec))
    effects: list[Effect] = []
    for pool in sorted(waiting):
        if state.endpoints.views_of(pool):
            state.unserved_since_ms.pop(pool, None)
            continue
        since_ms = state.unserved_since_ms.setdefault(pool, now_ms)
        is_grace_over = now_ms - since_ms >= state.config.no_endpoint_grace_ms
        # An evacuation lasts until the operator ends it, so that waiting is useless.
        if is_grace_over or state.endpoints.is_pool_evacuated(pool):
            effects += _reject_pool(state, pool, now_ms)
    for pool in [p for p in state.unserved_since_ms if p not in waiting]:
        del state.unserved_since_ms[pool]
    return effects


def find_unserved_reason(state: EntryState, pool: Pool) -> Reason:
    """Return the reason of rejecting the requests of a pool without an endpoint."""
    if state.endpoints.is_pool_evacuated(pool):
        return Reason.DOMAIN_EVACUATED
    return Reason.NO_ENDPOINT


def _reject_pool(state: EntryState, pool: Pool, now_ms: int) -> list[Effect]:
    """Reject every waiting request of a pool and discard the pool's state."""
    state.queue_by_pool.pop(pool, None)
    state.waiting_pools.discard(pool)
    state.service_ms_by_pool.pop(pool, None)
    del state.unserved_since_ms[pool]
    waiting = [r for r in state.request_by_id.values() if r.phase is Phase.WAITING]
    rejected = [r for r in waiting if pool_of(r.spec) == pool]
    reason = find_unserved_reason(state, pool)
    effects: list[Effect] = []
    for request in rejected:
        effects += _final.reject_request(state, request, reason, "routing", now_ms)
    return effects


def _set_wake_timer(state: EntryState, now_ms: int) -> list[Effect]:
    """Set a timer for the next time at which a waiting request may be placed.

    No timer is set when nothing waits or when an earlier timer is already pending.
    """
    if not state.waiting_pools and not state.isolate_at_ms:
        return []
    due_times_ms: list[int] = _isolation.list_due_times_ms(state, now_ms)
    grace_ms = state.config.no_endpoint_grace_ms
    due_times_ms += [
        since_ms + grace_ms for since_ms in state.unserved_since_ms.values()
    ]
    # Requests that can no longer be served are rejected only when ``expire`` is called.
    due_times_ms.append(now_ms + EXPIRY_CHECK_INTERVAL_MS)
    undeferred_ms = state.endpoints.next_available_at_ms(now_ms)
    if undeferred_ms is not None:
        due_times_ms.append(undeferred_ms)
    due_ms = min(due_times_ms)
    state.next_placement_ms = due_ms
    if state.wake_at_ms > now_ms and state.wake_at_ms <= due_ms:
        return []
    state.wake_at_ms = due_ms
    return [SetTimer("wake", due_ms)]
