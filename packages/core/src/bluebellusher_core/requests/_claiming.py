"""Handlers of requests that wait for the claim of their idempotency key."""

from bluebellusher_core.effects import ClaimWrite, Effect, ReplayAnswer
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import ClaimOutcome, ClaimResult, ClaimsAnswered
from bluebellusher_core.requests import _final, _placing
from bluebellusher_core.requests._model import Phase, Request
from bluebellusher_core.state import EntryState

# Step and peer of the rejections because of a claim.
STEP = "claim"
PEER = "table"


def handle_claims_answered(
    state: EntryState, event: ClaimsAnswered, now_ms: int
) -> list[Effect]:
    """Continue the requests whose claims the table answered."""
    results, effects = state.claims.apply_answer(event)
    for write, result in results:
        request = state.request_by_id.get(write.request_id)
        if request is not None and request.phase is Phase.CLAIMING:
            effects += _resolve(state, request, write, result, now_ms)
    return effects


def handle_claim_timeout(
    state: EntryState, request_id: str, now_ms: int
) -> list[Effect]:
    """Reject a request whose claim was not answered within ``claim_wait_ms``."""
    request = state.request_by_id.get(request_id)
    if request is None or request.phase is not Phase.CLAIMING:
        return []
    reason = Reason.CLAIM_STORE_UNAVAILABLE
    return _final.reject_request(state, request, reason, STEP, now_ms, PEER)


def _resolve(
    state: EntryState,
    request: Request,
    write: ClaimWrite,
    result: ClaimResult,
    now_ms: int,
) -> list[Effect]:
    """Enqueue, replay or reject a request by the result of its claim."""
    match result.outcome:
        case ClaimOutcome.GRANTED:
            request.claim = write
            # If the process was paused past the deadline, the queue rejects the
            # request.
            return _placing.enqueue(state, request, now_ms)
        case ClaimOutcome.DONE:
            request_id = request.spec.request_id
            _final.discard_request(state, request, now_ms)
            return [ReplayAnswer(request_id, result.answer_ref)]
        case ClaimOutcome.IN_PROGRESS:
            reason = Reason.CLAIM_IN_PROGRESS
        case ClaimOutcome.KEY_REUSED:
            reason = Reason.CLAIM_KEY_REUSED
    return _final.reject_request(state, request, reason, STEP, now_ms, PEER)
