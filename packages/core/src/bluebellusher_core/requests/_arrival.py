"""Handlers of a request's arrival, its deadline and a disconnected caller."""

from bluebellusher_core.effects import Effect, Reject, SetTimer
from bluebellusher_core.errors import Reason, Rejection
from bluebellusher_core.events import RequestSpec
from bluebellusher_core.membership import pool_of
from bluebellusher_core.requests import (
    _crash_evidence,
    _final,
    _parts,
    _placing,
    _retries,
    _shutdown,
)
from bluebellusher_core.requests._model import Phase, Request
from bluebellusher_core.state import EntryState


def handle_arrival(state: EntryState, spec: RequestSpec, now_ms: int) -> list[Effect]:
    """Admit a new request or reject it at once.

    A non-idempotent request with an idempotency key waits for its claim first. The
    arrival of a request id that is already in progress is ignored.
    """
    if spec.request_id in state.request_by_id:
        return []
    spec, effects = _retries.recognize(state, spec, now_ms)
    rejection = _find_rejection(state, spec, now_ms)
    if rejection is not None:
        effects.append(Reject(spec.request_id, rejection))
        return effects + _retries.record_ended(state, spec, now_ms)
    is_trial = state.poison.is_blocked(spec.fingerprint, now_ms)
    if is_trial:
        effects += _crash_evidence.start_trial(state, spec.fingerprint, now_ms)
    request = Request(spec, is_trial=is_trial)
    state.request_by_id[spec.request_id] = request
    state.retry_budget.earn()
    effects.append(SetTimer(f"deadline:{spec.request_id}", spec.deadline_ms))
    if spec.is_idempotent or spec.idempotency_key is None:
        return effects + _placing.enqueue(state, request, now_ms)
    request.phase = Phase.CLAIMING
    due_ms = now_ms + state.config.claim_wait_ms
    effects.append(SetTimer(f"claim:{spec.request_id}", due_ms))
    return effects + state.claims.claim(spec, now_ms)


def _find_rejection(
    state: EntryState, spec: RequestSpec, now_ms: int
) -> Rejection | None:
    """Return the rejection of a request that cannot be admitted, or None."""
    if state.is_shutting_down:
        return _final.make_rejection(state, Reason.SHUTTING_DOWN, "admission")
    if _shutdown.may_outlast(state, spec):
        return _shutdown.make_rejection()
    if spec.deadline_ms <= now_ms:
        return _final.make_rejection(state, Reason.DEADLINE_EXCEEDED, "admission")
    is_blocked = state.poison.is_blocked(spec.fingerprint, now_ms)
    if is_blocked and not _crash_evidence.may_start_trial(
        state, spec.fingerprint, now_ms
    ):
        return _final.make_blocked_rejection(state, spec.fingerprint, now_ms)
    block_ms = _parts.find_block_ms(state, spec, now_ms)
    if block_ms:
        return _parts.make_rejection(block_ms)
    if len(state.request_by_id) >= state.config.n_max_requests:
        return _final.make_rejection(state, Reason.DEADLINE_UNREACHABLE, "admission")
    pool = pool_of(spec)
    if not state.endpoints.views_of(pool):
        return _final.make_rejection(
            state, _placing.find_unserved_reason(state, pool), "admission"
        )
    return None


def handle_caller_disconnected(
    state: EntryState, request_id: str, now_ms: int
) -> list[Effect]:
    """End a request whose caller has disconnected.

    Its attempts are cancelled, unless a granted claim needs their outcome.
    """
    request = state.request_by_id.get(request_id)
    if request is None or request.phase is Phase.DETACHED:
        return []
    _placing.remove_waiting(state, request)
    return _final.reject_request(
        state, request, Reason.CALLER_DISCONNECTED, "relay", now_ms
    )


def handle_deadline(state: EntryState, request_id: str, now_ms: int) -> list[Effect]:
    """Reject a request that has no final answer at its deadline.

    The timer is set again when it fires before the deadline.
    """
    request = state.request_by_id.get(request_id)
    if request is None or request.phase is Phase.DETACHED:
        return []
    if now_ms < request.spec.deadline_ms:
        return [SetTimer(f"deadline:{request_id}", request.spec.deadline_ms)]
    _placing.remove_waiting(state, request)
    peer = request.attempts[0].endpoint_id if request.attempts else ""
    step = request.phase.name.lower()
    return _final.reject_request(
        state, request, Reason.DEADLINE_EXCEEDED, step, now_ms, peer
    )


def handle_detach_timeout(
    state: EntryState, request_id: str, now_ms: int
) -> list[Effect]:
    """Discard a detached request whose claim outcome did not arrive in time."""
    request = state.request_by_id.get(request_id)
    if request is None or request.phase is not Phase.DETACHED:
        return []
    return _final.discard_request(state, request, now_ms)
