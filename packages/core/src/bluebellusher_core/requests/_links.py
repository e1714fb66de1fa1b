"""Handlers of endpoints that connect, register, crash or are lost."""

from bluebellusher_core.effects import CancelAttempt, Effect, SetTimer
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptBroken,
    EndpointConnected,
    EndpointCrashed,
    EndpointRegistered,
)
from bluebellusher_core.requests import (
    _crash_evidence,
    _final,
    _isolation,
    _recovery,
)
from bluebellusher_core.requests._model import Attempt
from bluebellusher_core.state import EntryState

# Time to wait for the agent's reports about broken attempts, in ms. An agent sends them
# right after the crash of its engine.
CRASH_WAIT_MS = 500
# Upper bound of the fingerprints and of the attempts read from one crash report.
N_MAX_CRASHED = 4_096


def handle_connected(
    state: EntryState, event: EndpointConnected, now_ms: int
) -> list[Effect]:
    """Add the endpoint of a new connection and break the attempts of the previous one.

    The restart of an endpoint whose connection was lost during an isolated run blocks
    that run's fingerprint. Broken streams of the endpoint are resumed.
    """
    info = event.endpoint
    effects = handle_lost(state, info.endpoint_id, now_ms)
    effects += state.endpoints.connect(event, now_ms)
    confirmed = state.poison.resolve_holds(info.endpoint_id, info.incarnation, now_ms)
    for fingerprint in confirmed:
        effects += _isolation.block_fingerprint(
            state, fingerprint, info.endpoint_id, True, now_ms
        )
    if info.endpoint_id in state.endpoints.view_by_id:
        effects += _recovery.resume_streams(state, info, now_ms)
    return effects


def handle_registered(
    state: EntryState, event: EndpointRegistered, now_ms: int
) -> list[Effect]:
    """Add or refresh an endpoint that registered.

    A new incarnation breaks the attempts of the previous start and confirms the crashes
    that were suspected of it.
    """
    info = event.endpoint
    view = state.endpoints.view_by_id.get(info.endpoint_id)
    if view is None or view.is_draining:
        state.crashes.record_reregistration(info.endpoint_id, info.incarnation)
    if view is None or view.info.incarnation != info.incarnation:
        effects = handle_connected(state, EndpointConnected(info), now_ms)
        started_at_ms = now_ms - event.age_ms
        return effects + _crash_evidence.confirm_crashes(
            state, info.endpoint_id, "started again", now_ms, started_at_ms
        )
    state.endpoints.update_info(info)
    state.next_placement_ms = 0
    return []


def handle_replaced(state: EntryState, endpoint_id: str, now_ms: int) -> list[Effect]:
    """Break the attempts of an endpoint whose address a later start has taken."""
    effects = handle_lost(state, endpoint_id, now_ms)
    return effects + _crash_evidence.confirm_crashes(
        state, endpoint_id, "address taken", now_ms
    )


def handle_lost(state: EntryState, endpoint_id: str, now_ms: int) -> list[Effect]:
    """Discard an endpoint whose connection is lost and break its attempts."""
    view = state.endpoints.view_by_id.get(endpoint_id)
    is_leaving = view is not None and view.is_draining
    _final.discard_endpoint(state, endpoint_id, now_ms)
    affected = [a for a in state.attempt_by_id.values() if a.endpoint_id == endpoint_id]
    for attempt in affected:
        attempt.is_leaving = is_leaving
    return _break_attempts(state, affected, Reason.ENDPOINT_LOST, now_ms)


def handle_crashed(
    state: EntryState, event: EndpointCrashed, now_ms: int
) -> list[Effect]:
    """Handle a crash of an engine whose agent continues to run.

    The fingerprints of its running requests become suspects. The fingerprint of an
    isolated run is blocked. The endpoint gets no new work for ``CRASH_WAIT_MS``.
    """
    effects: list[Effect] = []
    for fingerprint in event.fingerprints[:N_MAX_CRASHED]:
        state.poison.suspect(fingerprint, now_ms, is_own=True)
    if event.isolated_fingerprint:
        effects += _isolation.block_fingerprint(
            state, event.isolated_fingerprint, event.endpoint_id, True, now_ms
        )
    n_marked = 0
    for attempt_id in event.attempt_ids[:N_MAX_CRASHED]:
        attempt = state.attempt_by_id.get(attempt_id)
        if attempt is not None and attempt.endpoint_id == event.endpoint_id:
            attempt.is_crashed = True
            n_marked += 1
    state.endpoints.defer(event.endpoint_id, CRASH_WAIT_MS, now_ms)
    if n_marked:
        due_ms = now_ms + CRASH_WAIT_MS
        effects.append(SetTimer(f"crash:{event.endpoint_id}", due_ms))
    return effects


def handle_crash_wait_timeout(
    state: EntryState, endpoint_id: str, now_ms: int
) -> list[Effect]:
    """Break the crashed attempts that the agent reported nothing more about."""
    attempts = state.attempt_by_id.values()
    affected = [a for a in attempts if a.endpoint_id == endpoint_id and a.is_crashed]
    return _break_attempts(state, affected, Reason.ENGINE_ERROR, now_ms)


def _break_attempts(
    state: EntryState, attempts: list[Attempt], reason: Reason, now_ms: int
) -> list[Effect]:
    """Break attempts on behalf of a relay that reported nothing about them.

    Each one is cancelled first: its relay may still be reading the answer of an
    endpoint that runs on, and no other event would end it.
    """
    effects: list[Effect] = []
    for attempt in attempts:
        if attempt.attempt_id not in state.attempt_by_id:
            continue
        effects.append(CancelAttempt(attempt.attempt_id, attempt.endpoint_id))
        # Without a report of the relay, a started attempt counts as partly relayed.
        n_bytes = 1 if attempt.is_started else 0
        event = AttemptBroken(attempt.attempt_id, reason, n_bytes, False)
        effects += _recovery.break_attempt(state, attempt, event, now_ms)
    return effects
