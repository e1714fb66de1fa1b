"""End of requests and attempts; every request gets exactly one final answer."""

from bluebellusher_core.effects import (
    BroadcastCrashes,
    CancelAttempt,
    ClaimState,
    Complete,
    Effect,
    LogEvent,
    Reject,
    SetTimer,
)
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.membership import pool_of
from bluebellusher_core.requests import _retries
from bluebellusher_core.requests._model import Attempt, Phase, Request
from bluebellusher_core.state import EntryState

# Upper bound of recorded ids of ended attempts.
MAX_ENDED_ATTEMPTS = 4_096
# A retried request fails again for these reasons, so that its rejection has no
# ``retry_after_ms``. The exception is a fingerprint that is blocked for a limited time.
NO_RETRY_REASONS = frozenset({Reason.CRASHES_ENDPOINTS, Reason.CLAIM_KEY_REUSED})


def make_rejection(
    state: EntryState, reason: Reason, step: str, peer: str = ""
) -> Rejection:
    """Return the rejection of a request that no endpoint can have run."""
    retry_after_ms = None if reason in NO_RETRY_REASONS else state.config.retry_after_ms
    return Rejection(Outcome.NOT_RUN, reason, step, peer, retry_after_ms)


def make_blocked_rejection(
    state: EntryState, fingerprint: str, now_ms: int
) -> Rejection:
    """Return the rejection of a request whose fingerprint is blocked."""
    retry_after_ms = _blocked_retry_after_ms(state, fingerprint, now_ms)
    reason = Reason.CRASHES_ENDPOINTS
    return Rejection(Outcome.NOT_RUN, reason, "admission", "", retry_after_ms)


def _blocked_retry_after_ms(
    state: EntryState, fingerprint: str, now_ms: int
) -> int | None:
    """Return the time after which a blocked request may be retried, in ms.

    Crashes that the entry counts by itself may have another cause than the request, so
    that they block its fingerprint for a limited time. Where agents report the crash,
    the request is its cause and a retry cannot succeed; the result is then None.
    """
    if not state.config.n_crashes_to_block:
        return None
    return state.poison.blocked_ms(fingerprint, now_ms) or None


def reject_request(
    state: EntryState,
    request: Request,
    reason: Reason,
    step: str,
    now_ms: int,
    peer: str = "",
    retry_after_ms: int | None = None,
) -> list[Effect]:
    """Reject a request with an outcome that follows from its attempts.

    Attempts in flight are cancelled. With a granted claim they continue instead, so
    that the claim's outcome can be recorded.
    """
    may_have_run = request.may_have_run or bool(request.attempts)
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    if reason is Reason.CLAIM_IN_PROGRESS:
        outcome = Outcome.UNKNOWN
    # A retry of a request with unknown outcome is safe when the request is idempotent
    # or has an idempotency key, which keeps it from running a second time.
    spec = request.spec
    is_retry_safe = (
        outcome is Outcome.NOT_RUN or spec.is_idempotent or spec.idempotency_key
    )
    if reason in NO_RETRY_REASONS and retry_after_ms is None:
        retry_after_ms = _blocked_retry_after_ms(state, spec.fingerprint, now_ms)
    elif retry_after_ms is None and is_retry_safe:
        retry_after_ms = state.config.retry_after_ms
    rejection = Rejection(outcome, reason, step, peer, retry_after_ms)
    effects: list[Effect] = [Reject(spec.request_id, rejection)]
    effects += _retries.record_ended(state, spec, now_ms)
    if request.claim is not None and request.attempts:
        return effects + _detach_request(state, request, now_ms)
    effects += _abandon_claim(state, request, outcome, now_ms)
    return effects + discard_request(state, request, now_ms)


def complete_request(
    state: EntryState, request: Request, finished_attempt: Attempt, now_ms: int
) -> list[Effect]:
    """End a request with the complete answer of one attempt and cancel the others.

    The completed run clears the suspicions of the request's fingerprint.
    """
    effects: list[Effect] = []
    if request.phase is not Phase.DETACHED:
        effects.append(Complete(request.spec.request_id, finished_attempt.attempt_id))
    end_attempt(state, request, finished_attempt, now_ms)
    record_service_time(state, request, finished_attempt, now_ms)
    state.poison.clear(request.spec.fingerprint, now_ms)
    if request.claim is not None:
        effects += state.claims.record(
            request.claim, ClaimState.DONE, finished_attempt.attempt_id, now_ms
        )
    return effects + discard_request(state, request, now_ms)


def clear_crashes(state: EntryState, fingerprint: str, now_ms: int) -> list[Effect]:
    """Clear the crashes and the block of a fingerprint after a completed run.

    The new crash record is broadcast when there were crashes.
    """
    if not state.config.n_crashes_to_block:
        return []
    if not state.crashes.clear(fingerprint, now_ms):
        return []
    effects: list[Effect] = [
        LogEvent("crash-cleared", (("fingerprint", fingerprint),)),
        BroadcastCrashes((state.crashes.record(fingerprint, now_ms),)),
    ]
    if state.poison.unblock(fingerprint):
        fields = (("fingerprint", fingerprint),)
        effects.append(LogEvent("fingerprint-unblocked", fields))
    return effects


def discard_request(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Discard the state of a request and cancel its attempts in flight."""
    effects: list[Effect] = []
    for attempt in list(request.attempts):
        effects += cancel_attempt(state, request, attempt, now_ms)
    release_endpoint(state, request)
    state.next_placement_ms = 0
    state.isolate_at_ms.pop(request.spec.request_id, None)
    del state.request_by_id[request.spec.request_id]
    return effects


def cancel_attempt(
    state: EntryState, request: Request, attempt: Attempt, now_ms: int
) -> list[Effect]:
    """Cancel an attempt whose answer is no longer needed.

    The cancelled attempt may have run, so the request counts as one that may have run.
    If the attempt was isolated, its fingerprint is held.
    """
    end_attempt(state, request, attempt, now_ms)
    request.may_have_run = True
    if attempt.is_isolated:
        # The endpoint may crash before the cancellation reaches it.
        hold_fingerprint(state, request, attempt, False, now_ms)
    return [CancelAttempt(attempt.attempt_id, attempt.endpoint_id)]


def hold_fingerprint(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    is_lost: bool,
    now_ms: int,
) -> None:
    """Hold a fingerprint after an isolated run whose end was not observed.

    No isolated run of it starts for ``HOLD_MS``. ``is_lost`` states whether the
    connection was lost during the run, so that a restart of the endpoint confirms a
    crash.
    """
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
    """Discard the state of an attempt that ended.

    Its id is kept, up to ``MAX_ENDED_ATTEMPTS`` ids, so that later events about it can
    be recognized and ignored.
    """
    state.next_placement_ms = 0
    request.attempts.remove(attempt)
    del state.attempt_by_id[attempt.attempt_id]
    state.ended_attempts[attempt.attempt_id] = attempt.endpoint_id
    if len(state.ended_attempts) > MAX_ENDED_ATTEMPTS:
        state.ended_attempts.popitem(last=False)
    state.poison.end(request.spec.fingerprint)
    state.endpoints.tracker.record_cancel(attempt.attempt_id, now_ms)
    if attempt.is_isolated:
        _set_isolating(state, attempt.endpoint_id, False)


def discard_endpoint(state: EntryState, endpoint_id: str, now_ms: int) -> None:
    """Discard the state of a lost endpoint and its reservations for isolated runs.

    Queues that are empty and have no other endpoint are discarded as well.
    """
    state.next_placement_ms = 0
    state.endpoints.remove(endpoint_id, now_ms)
    for request_id in state.isolate_at_ms:
        request = state.request_by_id[request_id]
        if request.reserved_endpoint_id == endpoint_id:
            request.reserved_endpoint_id = ""
            request.n_reserved_refusals = 0
    for pool, queue in list(state.queue_by_pool.items()):
        if not len(queue) and not state.endpoints.views_of(pool):
            del state.queue_by_pool[pool]
            state.service_ms_by_pool.pop(pool, None)
            state.waiting_pools.discard(pool)


def reserve_endpoint(state: EntryState, request: Request, endpoint_id: str) -> None:
    """Reserve an endpoint for a request's next isolated attempt.

    This entry starts no other new work there; other entries are not affected.
    """
    request.reserved_endpoint_id = endpoint_id
    _set_isolating(state, endpoint_id, True)


def release_endpoint(state: EntryState, request: Request) -> None:
    """Release the endpoint that is reserved for a request, if there is one."""
    if request.reserved_endpoint_id:
        _set_isolating(state, request.reserved_endpoint_id, False)
        request.reserved_endpoint_id = ""
        request.n_reserved_refusals = 0


def record_service_time(
    state: EntryState, request: Request, attempt: Attempt, now_ms: int
) -> None:
    """Update the smoothed service time of a request's pool, in ms.

    The newest value has a weight of 0.1.
    """
    pool = pool_of(request.spec)
    service_ms = max(1.0, float(now_ms - attempt.dispatched_at_ms))
    mean_ms = state.service_ms_by_pool.get(pool)
    if mean_ms is None:
        # Only queues use the service time, for their predictions.
        if pool in state.queue_by_pool:
            state.service_ms_by_pool[pool] = service_ms
        return
    state.service_ms_by_pool[pool] = mean_ms + 0.1 * (service_ms - mean_ms)


def _set_isolating(state: EntryState, endpoint_id: str, is_isolating: bool) -> None:
    """Set whether an endpoint is kept free for an isolated run."""
    view = state.endpoints.view_by_id.get(endpoint_id)
    if view is not None:
        view.is_isolating = is_isolating


def _detach_request(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Continue a claimed attempt without its caller, to record the claim's outcome.

    The request is discarded after ``detach_ms``.
    """
    request.phase = Phase.DETACHED
    due_ms = now_ms + state.config.detach_ms
    return [SetTimer(f"detach:{request.spec.request_id}", due_ms)]


def _abandon_claim(
    state: EntryState, request: Request, outcome: Outcome, now_ms: int
) -> list[Effect]:
    """Abandon the claim of a request that did not run, so that its key is free."""
    write = request.claim
    if request.phase is Phase.CLAIMING:
        write = state.claims.withdraw(request.spec.request_id)
    if write is None or outcome is not Outcome.NOT_RUN:
        return []
    return state.claims.record(write, ClaimState.ABANDONED, "", now_ms)
