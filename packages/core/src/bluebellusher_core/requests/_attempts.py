"""Messages about attempts; late, repeated and crossed ones change nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellusher_core.effects import CloseConnection, Effect
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
)
from bluebellusher_core.requests import _final, _placing
from bluebellusher_core.requests._model import Attempt, Request

if TYPE_CHECKING:
    from bluebellusher_core.reducer import EntryState

AttemptEvent = AttemptStarted | AttemptFinished | AttemptRefused | AttemptBroken


def started(state: EntryState, event: AttemptStarted, now_ms: int) -> list[Effect]:
    """Let the attempt that answers first win."""
    attempt = state.attempt_by_id.get(event.attempt_id)
    if attempt is None or _is_crossed(attempt, event):
        return _stray(state, event)
    if attempt.is_started:
        return []
    request = state.request_by_id[attempt.request_id]
    attempt.is_started = True
    state.endpoints.leave_queue(attempt.endpoint_id, request.spec)
    return _cancel_others(state, request, attempt)


def finished(state: EntryState, event: AttemptFinished, now_ms: int) -> list[Effect]:
    """Complete the request with the attempt's whole answer."""
    attempt = state.attempt_by_id.get(event.attempt_id)
    if attempt is None or _is_crossed(attempt, event):
        return _stray(state, event)
    request = state.request_by_id[attempt.request_id]
    return _final.complete(state, request, attempt)


def refused(state: EntryState, event: AttemptRefused, now_ms: int) -> list[Effect]:
    """Go elsewhere with an attempt that certainly did not run."""
    attempt = state.attempt_by_id.get(event.attempt_id)
    if attempt is None or _is_crossed(attempt, event):
        return _stray(state, event)
    request = state.request_by_id[attempt.request_id]
    _final.end_attempt(state, request, attempt)
    request.n_refused += 1
    request.avoided.add(attempt.endpoint_id)
    if request.attempts:
        return []
    if request.n_refused > state.config.n_max_refusals:
        peer = attempt.endpoint_id
        return _final.give_up(state, request, event.reason, "dispatch", peer)
    return _placing.enqueue(state, request, now_ms)


def broken(state: EntryState, event: AttemptBroken, now_ms: int) -> list[Effect]:
    """Retry an attempt that may have run, where that is safe, or give up."""
    attempt = state.attempt_by_id.get(event.attempt_id)
    if attempt is None or _is_crossed(attempt, event):
        return _stray(state, event)
    return break_attempt(state, attempt, event.reason, event.n_bytes_relayed, now_ms)


def break_attempt(
    state: EntryState,
    attempt: Attempt,
    reason: Reason,
    n_bytes_relayed: int,
    now_ms: int,
) -> list[Effect]:
    """End an attempt that may have run."""
    request = state.request_by_id[attempt.request_id]
    _final.end_attempt(state, request, attempt)
    request.may_have_run = True
    request.n_broken += 1
    request.avoided.add(attempt.endpoint_id)
    if request.attempts:
        return []
    can_retry = request.spec.is_idempotent and not n_bytes_relayed
    if not can_retry or request.n_broken >= state.config.n_max_attempts:
        peer = attempt.endpoint_id
        return _final.give_up(state, request, reason, "attempt", peer)
    return _placing.enqueue(state, request, now_ms)


def _cancel_others(
    state: EntryState, request: Request, winner: Attempt
) -> list[Effect]:
    effects: list[Effect] = []
    for attempt in list(request.attempts):
        if attempt is not winner:
            effects += _final.cancel(state, request, attempt)
    return effects


def _is_crossed(attempt: Attempt, event: AttemptEvent) -> bool:
    return bool(event.endpoint_id) and event.endpoint_id != attempt.endpoint_id


def _stray(state: EntryState, event: AttemptEvent) -> list[Effect]:
    """Ignore a late message; close a connection that names a foreign attempt."""
    if not event.endpoint_id:
        return []
    if state.ended_attempts.get(event.attempt_id) == event.endpoint_id:
        return []
    return [CloseConnection(event.endpoint_id)]
