"""The final answer of a request; every request gets exactly one."""

from bluebellusher_core.effects import (
    CancelAttempt,
    ClaimState,
    Complete,
    Effect,
    LogEvent,
    Reject,
    SetTimer,
    TellCrashes,
)
from bluebellusher_core.errors import Outcome, Reason, Refusal
from bluebellusher_core.membership import pool_of
from bluebellusher_core.requests._model import Attempt, Phase, Request
from bluebellusher_core.state import EntryState

MAX_ENDED_ATTEMPTS = 4_096
# A repeat of such a request cannot succeed, unless it is blocked for a time only.
FINAL_REASONS = frozenset({Reason.CRASHES_ENDPOINTS, Reason.CLAIM_KEY_REUSED})


def refusal(state: EntryState, reason: Reason, step: str, peer: str = "") -> Refusal:
    """Return a refusal of a request that no endpoint can have run."""
    retry_after_ms = None if reason in FINAL_REASONS else state.config.retry_after_ms
    return Refusal(Outcome.NOT_RUN, reason, step, peer, retry_after_ms)


def blocked_refusal(state: EntryState, fingerprint: str, now_ms: int) -> Refusal:
    """Return the refusal of a request that is known to crash endpoints."""
    pause_ms = _final_pause_ms(state, fingerprint, now_ms)
    reason = Reason.CRASHES_ENDPOINTS
    return Refusal(Outcome.NOT_RUN, reason, "admission", "", pause_ms)


def _final_pause_ms(state: EntryState, fingerprint: str, now_ms: int) -> int | None:
    """Return when a request may come back that cannot succeed now; None for never.

    Counted crashes may have had another cause, so that they block for a time. Where
    agents have seen the crash, a repeat is pointless.
    """
    if not state.config.n_crashes_to_block:
        return None
    return state.poison.blocked_ms(fingerprint, now_ms) or None


def give_up(
    state: EntryState,
    request: Request,
    reason: Reason,
    step: str,
    now_ms: int,
    peer: str = "",
    retry_after_ms: int | None = None,
) -> list[Effect]:
    """End a request without an answer; its outcome follows from its attempts."""
    may_have_run = request.may_have_run or bool(request.attempts)
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    if reason is Reason.CLAIM_IN_PROGRESS:
        outcome = Outcome.UNKNOWN
    # A repeat of work whose outcome is unknown is safe when it is idempotent, or
    # when its key keeps it from running again.
    spec = request.spec
    is_safe = outcome is Outcome.NOT_RUN or spec.is_idempotent or spec.idempotency_key
    if reason in FINAL_REASONS:
        retry_after_ms = _final_pause_ms(state, spec.fingerprint, now_ms)
    elif retry_after_ms is None and is_safe:
        retry_after_ms = state.config.retry_after_ms
    answer = Refusal(outcome, reason, step, peer, retry_after_ms)
    effects: list[Effect] = [Reject(spec.request_id, answer)]
    if request.claim is not None and request.attempts:
        return effects + _detach(state, request, now_ms)
    effects += _abandon_claim(state, request, outcome, now_ms)
    return effects + drop(state, request, now_ms)


def complete(
    state: EntryState, request: Request, winner: Attempt, now_ms: int
) -> list[Effect]:
    """End a request with the whole answer of one attempt."""
    effects: list[Effect] = []
    if request.phase is not Phase.DETACHED:
        effects.append(Complete(request.spec.request_id, winner.attempt_id))
    end_attempt(state, request, winner, now_ms)
    observe_service(state, request, winner, now_ms)
    state.poison.clear(request.spec.fingerprint, now_ms)
    effects += _clear_crashes(state, request.spec.fingerprint, now_ms)
    if request.claim is not None:
        effects += state.claims.record(
            request.claim, ClaimState.DONE, winner.attempt_id, now_ms
        )
    return effects + drop(state, request, now_ms)


def _clear_crashes(state: EntryState, fingerprint: str, now_ms: int) -> list[Effect]:
    """Take crashes and a block back, because a run of the request was whole."""
    if not state.config.n_crashes_to_block:
        return []
    if not state.crashes.clear(fingerprint, now_ms):
        return []
    effects: list[Effect] = [
        TellCrashes((state.crashes.record(fingerprint, now_ms),)),
    ]
    if state.poison.unblock(fingerprint):
        fields = (("fingerprint", fingerprint),)
        effects.append(LogEvent("fingerprint-unblocked", fields))
    return effects


def drop(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Forget a request and stop what still runs for it."""
    effects: list[Effect] = []
    for attempt in list(request.attempts):
        effects += cancel(state, request, attempt, now_ms)
    release(state, request)
    state.check_at_ms = 0
    state.isolate_at_ms.pop(request.spec.request_id, None)
    del state.request_by_id[request.spec.request_id]
    return effects


def cancel(
    state: EntryState, request: Request, attempt: Attempt, now_ms: int
) -> list[Effect]:
    """Stop an attempt whose answer is no longer wanted."""
    end_attempt(state, request, attempt, now_ms)
    request.may_have_run = True
    if attempt.is_isolated:
        # The cancel may come too late to keep the endpoint from dying.
        hold(state, request, attempt, False, now_ms)
    return [CancelAttempt(attempt.attempt_id, attempt.endpoint_id)]


def hold(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    is_lost: bool,
    now_ms: int,
) -> None:
    """Run no other copy until the end of an isolated run is understood."""
    state.poison.hold(
        request.spec.fingerprint,
        attempt.endpoint_id,
        attempt.incarnation,
        is_lost,
        now_ms,
    )


def end_attempt(
    state: EntryState, request: Request, attempt: Attempt, now_ms: int
) -> None:
    """Forget an attempt that ended; later messages about it are ignored."""
    state.check_at_ms = 0
    request.attempts.remove(attempt)
    del state.attempt_by_id[attempt.attempt_id]
    state.ended_attempts[attempt.attempt_id] = attempt.endpoint_id
    if len(state.ended_attempts) > MAX_ENDED_ATTEMPTS:
        state.ended_attempts.popitem(last=False)
    state.poison.end(request.spec.fingerprint)
    state.endpoints.tracker.record_cancel(attempt.attempt_id, now_ms)
    if attempt.is_isolated:
        _set_isolating(state, attempt.endpoint_id, False)


def forget_endpoint(state: EntryState, endpoint_id: str, now_ms: int) -> None:
    """Forget a lost endpoint and what was reserved there."""
    state.check_at_ms = 0
    state.endpoints.remove(endpoint_id, now_ms)
    for request_id in state.isolate_at_ms:
        request = state.request_by_id[request_id]
        if request.reserved_endpoint_id == endpoint_id:
            request.reserved_endpoint_id = ""
            request.n_reserved_tries = 0
    for pool, queue in list(state.queue_by_pool.items()):
        if not len(queue) and not state.endpoints.views_of(pool):
            del state.queue_by_pool[pool]
            state.service_ms_by_pool.pop(pool, None)
            state.waiting_pools.discard(pool)


def reserve(state: EntryState, request: Request, endpoint_id: str) -> None:
    """Keep an endpoint free of own new work for the next isolated try."""
    request.reserved_endpoint_id = endpoint_id
    _set_isolating(state, endpoint_id, True)


def release(state: EntryState, request: Request) -> None:
    """Give a reserved endpoint back."""
    if request.reserved_endpoint_id:
        _set_isolating(state, request.reserved_endpoint_id, False)
        request.reserved_endpoint_id = ""
        request.n_reserved_tries = 0


def observe_service(
    state: EntryState, request: Request, attempt: Attempt, now_ms: int
) -> None:
    """Update the mean service time of the request's pool."""
    pool = pool_of(request.spec)
    service_ms = max(1.0, float(now_ms - attempt.dispatched_at_ms))
    mean_ms = state.service_ms_by_pool.get(pool)
    if mean_ms is None:
        # Pools without a queue have no prediction to feed.
        if pool in state.queue_by_pool:
            state.service_ms_by_pool[pool] = service_ms
        return
    state.service_ms_by_pool[pool] = mean_ms + 0.1 * (service_ms - mean_ms)


def _set_isolating(state: EntryState, endpoint_id: str, is_isolating: bool) -> None:
    view = state.endpoints.view_by_id.get(endpoint_id)
    if view is not None:
        view.is_isolating = is_isolating


def _detach(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Let a claimed attempt go on, so that its outcome can be recorded."""
    request.phase = Phase.DETACHED
    due_ms = now_ms + state.config.detach_ms
    return [SetTimer(f"detach:{request.spec.request_id}", due_ms)]


def _abandon_claim(
    state: EntryState, request: Request, outcome: Outcome, now_ms: int
) -> list[Effect]:
    write = request.claim
    if request.phase is Phase.CLAIMING:
        write = state.claims.withdraw(request.spec.request_id)
    if write is None or outcome is not Outcome.NOT_RUN:
        return []
    return state.claims.record(write, ClaimState.ABANDONED, "", now_ms)
