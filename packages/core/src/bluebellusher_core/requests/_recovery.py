"""Recovery after an attempt breaks: resume, retry, hedge or reject the request."""

from bluebellusher_core.effects import DiscardAnswer, Effect, SetTimer
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import AttemptBroken, EndpointInfo
from bluebellusher_core.poison import HOLD_MS
from bluebellusher_core.requests import (
    _crash_evidence,
    _final,
    _isolation,
    _placing,
)
from bluebellusher_core.requests._model import Attempt, Phase, Request
from bluebellusher_core.state import EntryState


def break_attempt(
    state: EntryState, attempt: Attempt, event: AttemptBroken, now_ms: int
) -> list[Effect]:
    """End an attempt that may have run, and recover its request.

    An isolated attempt that the agent had accepted is evidence that its request crashes
    endpoints when the endpoint was lost or its engine failed. The fingerprint is then
    held, and the request is rejected unless another attempt of it is in flight.
    """
    request = state.request_by_id[attempt.request_id]
    is_loss = event.reason is Reason.ENDPOINT_LOST or attempt.is_crashed
    if event.reason is Reason.ENDPOINT_LOST:
        # The relay reports the broken attempt before the EndpointLost event of its
        # connection. Nothing may be dispatched to the endpoint in between.
        _final.discard_endpoint(state, attempt.endpoint_id, now_ms)
    _final.end_attempt(state, request, attempt, now_ms)
    request.may_have_run = True
    request.n_broken += 1
    state.endpoints.tracker.record_failure(attempt.endpoint_id, now_ms)
    has_answered = event.reason is Reason.UNCONFIRMED_REFUSAL
    if not has_answered:
        state.endpoints.limits.warm_ups.record_cut(attempt.endpoint_id, now_ms)
    request.avoided_endpoint_ids.add(attempt.endpoint_id)
    request.n_bytes_relayed = max(request.n_bytes_relayed, event.n_bytes_relayed)
    is_fatal = is_loss or event.reason is Reason.ENGINE_ERROR
    if has_answered:
        effects = _crash_evidence.dismiss_before_attempt(
            state, attempt, "answer", now_ms
        )
    else:
        effects = _crash_evidence.record_broken_run(
            state, request, attempt, is_fatal, now_ms
        )
    # An isolated attempt that was lost before the agent accepted it is no evidence.
    is_crash_evidence = is_fatal and attempt.is_isolated and attempt.is_accepted
    if is_crash_evidence:
        is_lost = event.reason is Reason.ENDPOINT_LOST
        _final.hold_fingerprint(state, request, attempt, is_lost, now_ms)
    if request.attempts:
        return effects
    if request.phase is Phase.DETACHED:
        return effects + _final.discard_request(state, request, now_ms)
    if is_crash_evidence:
        # A retry before the crash is confirmed or dismissed could crash another
        # endpoint.
        reason, peer = event.reason, attempt.endpoint_id
        return effects + _final.reject_request(
            state, request, reason, "isolation", now_ms, peer, HOLD_MS
        )
    return effects + _recover(state, request, attempt, event, is_loss, now_ms)


def _recover(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    event: AttemptBroken,
    is_loss: bool,
    now_ms: int,
) -> list[Effect]:
    """Resume, requeue or reject a request that has no attempt in flight."""
    if request.spec.deadline_ms <= now_ms:
        reason = Reason.DEADLINE_EXCEEDED
        return _reject(state, request, attempt, reason, now_ms)
    can_repeat = request.spec.is_idempotent and not request.is_trial
    if not can_repeat or not _has_attempts_left(state, request):
        return _reject(state, request, attempt, event.reason, now_ms)
    if request.n_bytes_relayed and not request.spec.can_resume_elsewhere:
        if event.is_resumable:
            return _resume_stream(state, request, attempt, now_ms)
        return _reject(state, request, attempt, event.reason, now_ms)
    # Retries after a lost endpoint do not use the retry budget. They run isolated,
    # one for each endpoint, which bounds their number. With the budget as well, a
    # request could be rejected because another request crashes endpoints.
    if not is_loss and not state.retry_budget.try_spend():
        reason = Reason.RETRY_BUDGET_EXHAUSTED
        return _reject(state, request, attempt, reason, now_ms)
    return _placing.requeue(state, request, now_ms)


def can_replace_failure(state: EntryState, request: Request) -> bool:
    """Return whether another attempt may replace an answer with a server error.

    Counts the answer as a broken attempt of a request that may be repeated. Spends a
    token of the retry budget when it returns True.
    """
    can_repeat = request.spec.is_idempotent and not request.is_trial
    if not can_repeat or request.phase is Phase.DETACHED:
        return False
    request.n_broken += 1
    if request.n_bytes_relayed or not _has_attempts_left(state, request):
        return False
    return state.retry_budget.try_spend()


def replace_failure(
    state: EntryState, request: Request, attempt: Attempt, now_ms: int
) -> list[Effect]:
    """Discard an answer with a server error and requeue its request."""
    _final.end_attempt(state, request, attempt, now_ms)
    request.may_have_run = True
    request.avoided_endpoint_ids.add(attempt.endpoint_id)
    effects: list[Effect] = [DiscardAnswer(request.spec.request_id)]
    return effects + _placing.requeue(state, request, now_ms)


def _has_attempts_left(state: EntryState, request: Request) -> bool:
    """Return whether fewer attempts broke than the request or the settings allow."""
    n_max = request.spec.n_max_attempts or state.config.n_max_attempts
    return request.n_broken < n_max


def _reject(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    reason: Reason,
    now_ms: int,
) -> list[Effect]:
    """Reject a request because of its broken attempt."""
    peer = attempt.endpoint_id
    return _final.reject_request(state, request, reason, "attempt", now_ms, peer)


def _resume_stream(
    state: EntryState, request: Request, attempt: Attempt, now_ms: int
) -> list[Effect]:
    """Fetch the rest of a broken stream from the endpoint that holds it.

    If the endpoint is not connected, wait ``resume_wait_ms`` for it to reconnect. If it
    is in an evacuated domain, reject the request.
    """
    endpoint_id = attempt.endpoint_id
    if state.endpoints.is_evacuated(endpoint_id):
        return _reject(state, request, attempt, Reason.DOMAIN_EVACUATED, now_ms)
    if endpoint_id in state.endpoints.view_by_id:
        return _placing.dispatch(state, request, endpoint_id, now_ms, is_resumed=True)
    request.phase = Phase.RESUMING
    request.resume_endpoint_id = endpoint_id
    request.resume_incarnation = attempt.incarnation
    due_ms = now_ms + state.config.resume_wait_ms
    return [SetTimer(f"resume:{request.spec.request_id}", due_ms)]


def resume_streams(state: EntryState, info: EndpointInfo, now_ms: int) -> list[Effect]:
    """Resume the broken streams of an endpoint that reconnected.

    An endpoint of another incarnation holds no streams, and one in an evacuated domain
    gets no attempts, so their requests are rejected.
    """
    effects: list[Effect] = []
    for request in list(state.request_by_id.values()):
        is_waiting = request.phase is Phase.RESUMING
        if not is_waiting or request.resume_endpoint_id != info.endpoint_id:
            continue
        if request.spec.deadline_ms <= now_ms:
            # The deadline timer rejects this request.
            continue
        if state.endpoints.is_evacuated(info.endpoint_id):
            reason = Reason.DOMAIN_EVACUATED
            effects += _reject_resume(state, request, now_ms, reason)
        elif info.incarnation == request.resume_incarnation:
            effects += _placing.dispatch(
                state, request, info.endpoint_id, now_ms, is_resumed=True
            )
        else:
            effects += _reject_resume(state, request, now_ms)
    return effects


def handle_resume_timeout(
    state: EntryState, request_id: str, now_ms: int
) -> list[Effect]:
    """Reject a request whose endpoint did not reconnect within ``resume_wait_ms``."""
    request = state.request_by_id.get(request_id)
    if request is None or request.phase is not Phase.RESUMING:
        return []
    return _reject_resume(state, request, now_ms)


def _reject_resume(
    state: EntryState,
    request: Request,
    now_ms: int,
    reason: Reason = Reason.ENDPOINT_LOST,
) -> list[Effect]:
    """Reject a request whose stream can no longer be resumed."""
    peer = request.resume_endpoint_id
    return _final.reject_request(state, request, reason, "resume", now_ms, peer)


def handle_hedge_due(state: EntryState, attempt_id: str, now_ms: int) -> list[Effect]:
    """Start a second attempt of an idempotent request whose first has no output yet.

    The hedge runs isolated. If the request crashes endpoints, a crash of the second
    endpoint confirms that, and no third endpoint is lost. No hedge starts while other
    requests of the pool wait.
    """
    attempt = state.attempt_by_id.get(attempt_id)
    if attempt is None or attempt.is_started:
        return []
    request = state.request_by_id[attempt.request_id]
    spec = request.spec
    if spec.deadline_ms <= now_ms:
        return []
    if request.n_bytes_relayed:
        return []
    is_only_run = state.poison.n_running(spec.fingerprint) == 1
    if not is_only_run or state.poison.is_suspect(spec.fingerprint, now_ms):
        return []
    pool = _placing.pool_of(spec)
    if pool in state.waiting_pools or not _isolation.has_isolation_capacity(
        state, pool
    ):
        return []
    views = state.endpoints.views_with_capacity(pool, now_ms)
    other_views = [v for v in views if v.info.endpoint_id != attempt.endpoint_id]
    if not other_views:
        return []
    endpoint_id = _placing.choose_endpoint(state, request, other_views, now_ms)
    # Hedges leave the minimum of the budget to retries.
    n_reserved = state.config.n_min_retries
    if endpoint_id is None or not state.retry_budget.try_spend(n_reserved):
        return []
    return _placing.dispatch(state, request, endpoint_id, now_ms, is_isolated=True)
