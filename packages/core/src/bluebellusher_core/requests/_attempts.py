"""Handlers of events about attempts.

A late or repeated event, or one from an endpoint other than the attempt's, has no
effect on the request.
"""

from bluebellusher_core.effects import ClaimState, CloseConnection, Effect
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptAccepted,
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
)
from bluebellusher_core.requests import (
    _addresses,
    _crash_evidence,
    _final,
    _isolation,
    _parts,
    _placing,
    _recovery,
)
from bluebellusher_core.requests._model import Attempt, Phase, Request
from bluebellusher_core.state import EntryState

# Lowest HTTP status of an error, and of a server error.
ERROR = 400
SERVER_ERROR = 500
_NOT_CONNECTED = frozenset((Reason.CONNECT_FAILED, Reason.CONNECT_REFUSED))

AttemptEvent = (
    AttemptAccepted | AttemptStarted | AttemptFinished | AttemptRefused | AttemptBroken
)


def handle_accepted(state: EntryState, event: AttemptAccepted) -> list[Effect]:
    """Record that the agent confirmed the start of an isolated run."""
    attempt = _find_attempt(state, event)
    if attempt is None:
        return _handle_unmatched(state, event)
    attempt.is_accepted = True
    return []


def handle_started(
    state: EntryState, event: AttemptStarted, now_ms: int
) -> list[Effect]:
    """Record the first output of an attempt and cancel the request's other attempts.

    An error shows that the endpoint runs, but not that it has run the request.
    """
    attempt = _find_attempt(state, event)
    if attempt is None:
        return _handle_unmatched(state, event)
    if attempt.is_started:
        return []
    request = state.request_by_id[attempt.request_id]
    attempt.is_accepted = attempt.is_started = True
    effects = _crash_evidence.dismiss_before_attempt(state, attempt, "output", now_ms)
    state.endpoints.record_output(attempt.endpoint_id)
    waited_ms = now_ms - attempt.dispatched_at_ms
    state.endpoints.record_first_output(attempt.endpoint_id, waited_ms, now_ms)
    state.endpoints.tracker.apply(event, now_ms)
    if not event.is_error:
        effects += _parts.record_output(state, request.spec, now_ms)
    for other in [a for a in request.attempts if a is not attempt]:
        effects += _final.cancel_attempt(state, request, other, now_ms)
    if not event.is_error:
        effects += _addresses.record_answer(state, attempt.endpoint_id, now_ms)
    return effects


def handle_finished(
    state: EntryState, event: AttemptFinished, now_ms: int
) -> list[Effect]:
    """Complete a request with the complete answer of an attempt.

    An answer with a server error is discarded and the request is requeued if another
    attempt is allowed.
    """
    attempt = _find_attempt(state, event)
    if attempt is None:
        return _handle_unmatched(state, event)
    request = state.request_by_id[attempt.request_id]
    state.endpoints.tracker.apply(event, now_ms)
    effects = _crash_evidence.dismiss_before_attempt(state, attempt, "answer", now_ms)
    if not attempt.is_started:
        # An answer without a body has no AttemptStarted event.
        state.endpoints.record_output(attempt.endpoint_id)
    if event.status >= SERVER_ERROR:
        state.endpoints.tracker.record_failure(attempt.endpoint_id, now_ms)
        if _recovery.can_replace_failure(state, request):
            return effects + _recovery.replace_failure(state, request, attempt, now_ms)
    if event.status < ERROR:
        fingerprint = request.spec.fingerprint
        effects += _final.clear_crashes(state, fingerprint, now_ms)
        effects += _addresses.record_answer(state, attempt.endpoint_id, now_ms)
    return effects + _final.complete_request(state, request, attempt, now_ms)


def handle_refused(
    state: EntryState, event: AttemptRefused, now_ms: int
) -> list[Effect]:
    """Retry a request elsewhere after an endpoint or agent refused its attempt.

    A refused attempt has not run. A closed port, or a later start that answers at the
    address, also confirms the suspected crashes of the endpoint.
    """
    attempt = _find_attempt(state, event)
    if attempt is None:
        return _handle_unmatched(state, event)
    request = state.request_by_id[attempt.request_id]
    endpoint_id = attempt.endpoint_id
    _final.end_attempt(state, request, attempt, now_ms)
    _record_refusal(state, event, endpoint_id, now_ms)
    effects = _retry_or_reject(state, request, attempt, event, now_ms)
    if event.reason is Reason.CONNECT_REFUSED:
        effects += _crash_evidence.confirm_crashes(
            state, endpoint_id, "port closed", now_ms
        )
    elif event.reason is Reason.ENDPOINT_DRAINING and event.has_arrived:
        effects += _addresses.record_misdirected(state, endpoint_id, now_ms)
    return effects


def _retry_or_reject(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    event: AttemptRefused,
    now_ms: int,
) -> list[Effect]:
    """Requeue a request after a refused attempt, or reject it.

    The request is rejected after too many refusals, when a retry that adds load has no
    budget, or when the refused attempt would have resumed a stream.
    """
    endpoint_id = attempt.endpoint_id
    if request.attempts:
        return []
    if request.phase is Phase.DETACHED:
        return _end_detached(state, request, now_ms)
    if attempt.is_resumed:
        is_evacuated = event.reason is Reason.DOMAIN_EVACUATED
        reason = event.reason if is_evacuated else Reason.ENDPOINT_LOST
        return _final.reject_request(
            state, request, reason, "resume", now_ms, endpoint_id
        )
    if attempt.is_isolated:
        retry_after_ms = event.retry_after_ms
        return _isolation.retry_refused_run(
            state, request, attempt, retry_after_ms, now_ms
        )
    request.avoided_endpoint_ids.add(endpoint_id)
    if event.reason is Reason.ENDPOINTS_CLOSED:
        rejected = _placing.reject_if_closed(state, request, now_ms)
        if rejected is not None:
            return rejected
    request.n_refused += event.reason is not Reason.ENDPOINT_ISOLATING
    is_in_budget = not event.has_arrived or state.retry_budget.try_spend()
    if request.n_refused > state.config.n_max_refusals or not is_in_budget:
        return _final.reject_request(
            state, request, event.reason, "dispatch", now_ms, endpoint_id
        )
    return _placing.requeue(state, request, now_ms)


def handle_broken(state: EntryState, event: AttemptBroken, now_ms: int) -> list[Effect]:
    """Resume, retry or reject a request whose attempt broke and may have run."""
    attempt = _find_attempt(state, event)
    if attempt is None:
        return _handle_unmatched(state, event)
    return _recovery.break_attempt(state, attempt, event, now_ms)


def _record_refusal(
    state: EntryState, event: AttemptRefused, endpoint_id: str, now_ms: int
) -> None:
    """Stop or defer new work for an endpoint that refused an attempt, by its reason."""
    if event.reason is Reason.DOMAIN_EVACUATED:
        # The dispatcher held the attempt back; the endpoint itself refused nothing.
        return
    if event.reason is Reason.ENDPOINT_DRAINING:
        if not event.has_arrived:
            state.endpoints.drain(endpoint_id)
        return
    if event.reason is Reason.ENDPOINTS_CLOSED:
        state.endpoints.groups.record_closed(endpoint_id, now_ms)
    if event.reason in _NOT_CONNECTED:
        state.endpoints.limits.warm_ups.record_cut(endpoint_id, now_ms)
        state.endpoints.tracker.record_failure(endpoint_id, now_ms)
    state.endpoints.defer(endpoint_id, event.retry_after_ms, now_ms)


def _end_detached(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Discard a detached request, and abandon its claim unless it may have run."""
    effects: list[Effect] = []
    if request.claim is not None and not request.may_have_run:
        effects = state.claims.record(request.claim, ClaimState.ABANDONED, "", now_ms)
    return effects + _final.discard_request(state, request, now_ms)


def _find_attempt(state: EntryState, event: AttemptEvent) -> Attempt | None:
    """Return the attempt in flight that an event names.

    Returns None when the attempt has ended or when the event came from an endpoint
    other than the attempt's.
    """
    attempt = state.attempt_by_id.get(event.attempt_id)
    if attempt is None:
        return None
    is_other_endpoint = (
        bool(event.endpoint_id) and event.endpoint_id != attempt.endpoint_id
    )
    return None if is_other_endpoint else attempt


def _handle_unmatched(state: EntryState, event: AttemptEvent) -> list[Effect]:
    """Handle an event that matches no attempt in flight.

    Late events are ignored. The connection is closed when an endpoint names an attempt
    of another endpoint or one that this entry never made.
    """
    if not event.endpoint_id:
        return []
    ended_endpoint_id = state.ended_attempts.get(event.attempt_id)
    if ended_endpoint_id == event.endpoint_id:
        return []
    is_recorded = (
        ended_endpoint_id is not None or event.attempt_id in state.attempt_by_id
    )
    if not is_recorded and _was_created_here(state, event.attempt_id):
        # The attempt ended so long ago that its record was evicted.
        return []
    return [CloseConnection(event.endpoint_id)]


def _was_created_here(state: EntryState, attempt_id: str) -> bool:
    """Return whether this start of the entry made an attempt with this id."""
    prefix = f"{state.config.entry_id}.{state.config.incarnation}."
    number = attempt_id.removeprefix(prefix)
    if number == attempt_id or not number.isdecimal():
        return False
    return 0 < int(number) <= state.n_attempts_made
