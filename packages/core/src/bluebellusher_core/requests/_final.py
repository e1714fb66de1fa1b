"""The final answer of a request; every request gets exactly one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellusher_core.effects import CancelAttempt, Complete, Effect, Reject
from bluebellusher_core.errors import Outcome, Reason, Refusal
from bluebellusher_core.requests._model import Attempt, Request

if TYPE_CHECKING:
    from bluebellusher_core.reducer import EntryState

MAX_ENDED_ATTEMPTS = 4_096


def refusal(state: EntryState, reason: Reason, step: str, peer: str = "") -> Refusal:
    """Return a refusal of a request that no endpoint can have run."""
    retry_after_ms = state.config.retry_after_ms
    return Refusal(Outcome.NOT_RUN, reason, step, peer, retry_after_ms)


def give_up(
    state: EntryState, request: Request, reason: Reason, step: str, peer: str = ""
) -> list[Effect]:
    """End a request without an answer; its outcome follows from its attempts."""
    may_have_run = request.may_have_run or bool(request.attempts)
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    # A repeat of work whose outcome is unknown is safe only when idempotent.
    can_repeat = outcome is Outcome.NOT_RUN or request.spec.is_idempotent
    retry_after_ms = state.config.retry_after_ms if can_repeat else None
    answer = Refusal(outcome, reason, step, peer, retry_after_ms)
    effects: list[Effect] = [Reject(request.spec.request_id, answer)]
    for attempt in list(request.attempts):
        effects += cancel(state, request, attempt)
    del state.request_by_id[request.spec.request_id]
    return effects


def complete(state: EntryState, request: Request, winner: Attempt) -> list[Effect]:
    """End a request with the whole answer of one attempt."""
    end_attempt(state, request, winner)
    effects: list[Effect] = [Complete(request.spec.request_id, winner.attempt_id)]
    for attempt in list(request.attempts):
        effects += cancel(state, request, attempt)
    del state.request_by_id[request.spec.request_id]
    return effects


def cancel(state: EntryState, request: Request, attempt: Attempt) -> list[Effect]:
    """Stop an attempt whose answer is no longer wanted."""
    end_attempt(state, request, attempt)
    return [CancelAttempt(attempt.attempt_id, attempt.endpoint_id)]


def end_attempt(state: EntryState, request: Request, attempt: Attempt) -> None:
    """Forget an attempt that ended; later messages about it are ignored."""
    request.attempts.remove(attempt)
    del state.attempt_by_id[attempt.attempt_id]
    state.ended_attempts[attempt.attempt_id] = attempt.endpoint_id
    if len(state.ended_attempts) > MAX_ENDED_ATTEMPTS:
        state.ended_attempts.popitem(last=False)
    if not attempt.is_started:
        state.endpoints.leave_queue(attempt.endpoint_id, request.spec)
    state.endpoints.end_attempt(attempt.endpoint_id)
