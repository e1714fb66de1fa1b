"""Dispatch of each event to its handler."""

from bluebellusher_core.effects import Effect
from bluebellusher_core.events import (
    ArrivalsEnded,
    AttemptAccepted,
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStalled,
    AttemptStarted,
    CacheReported,
    CallerDisconnected,
    ClaimsAnswered,
    ClaimsUnanswered,
    CrashesReceived,
    DigestReceived,
    DomainsEvacuated,
    EndedReceived,
    EndpointAnnounced,
    EndpointChecked,
    EndpointConfirmed,
    EndpointConnected,
    EndpointCrashed,
    EndpointDraining,
    EndpointLimited,
    EndpointLost,
    EndpointProgressed,
    EndpointRegistered,
    EntriesCounted,
    Event,
    LeavingReceived,
    LimitsReceived,
    LoadReported,
    MembersListed,
    ObjectivesChanged,
    PeersConnected,
    PolicyChanged,
    RequestArrived,
    ShutdownStarted,
    SilentReceived,
    TimerFired,
    WarmUpsReported,
)
from bluebellusher_core.requests import (
    _addresses,
    _announced,
    _arrival,
    _attempts,
    _claiming,
    _crash_evidence,
    _evacuation,
    _isolation,
    _links,
    _objectives,
    _parts,
    _placing,
    _recovery,
    _retries,
    _shutdown,
    _silence,
    _warm_up,
)
from bluebellusher_core.state import EntryState

# Prefix of the ids of timers that resend a batch of claims; the batch id follows.
CLAIM_RETRY_PREFIX = "claims:retry:"


def reduce(state: EntryState, event: Event, now_ms: int) -> list[Effect]:
    """Apply one event to the state and return the effects to execute, in order.

    Afterwards, waiting requests are dispatched to endpoints with free capacity, if the
    event may allow that or the next placement is due.

    Parameters
    ----------
    state : EntryState
        State of the entry; it is changed in place.
    event : Event
        The event to apply.
    now_ms : int
        Monotonic time at which the event is handled, in ms.

    Returns
    -------
    list of Effect
        Effects for the runtime to execute in this order.
    """
    state.part_blocks.record_start(now_ms)
    effects = _handle_event(state, event, now_ms)
    effects += _placing.place_waiting(state, now_ms)
    return effects


def _handle_event(state: EntryState, event: Event, now_ms: int) -> list[Effect]:
    """Call the handler of an event and return its effects."""
    match event:
        case RequestArrived():
            return _arrival.handle_arrival(state, event.request, now_ms)
        case AttemptStarted():
            return _attempts.handle_started(state, event, now_ms)
        case AttemptFinished():
            return _attempts.handle_finished(state, event, now_ms)
        case TimerFired():
            return _handle_timer(state, event.timer_id, now_ms)
        case LoadReported():
            state.endpoints.record_load_report(event, now_ms)
            state.next_placement_ms = 0
            return _addresses.record_report(state, event.endpoint_id)
        case CacheReported():
            state.endpoints.record_cache_report(event, now_ms)
        case AttemptAccepted():
            return _attempts.handle_accepted(state, event)
        case AttemptRefused():
            return _attempts.handle_refused(state, event, now_ms)
        case AttemptBroken():
            return _attempts.handle_broken(state, event, now_ms)
        case CallerDisconnected():
            return _arrival.handle_caller_disconnected(state, event.request_id, now_ms)
        case ClaimsAnswered():
            return _claiming.handle_claims_answered(state, event, now_ms)
        case ClaimsUnanswered():
            return state.claims.schedule_resend(event.batch_id, now_ms)
        case EndpointConnected():
            return _links.handle_connected(state, event, now_ms)
        case EndpointRegistered():
            effects = _links.handle_registered(state, event, now_ms)
            return effects + _addresses.handle_claimed(state, event, now_ms)
        case EndpointLost():
            state.endpoints.limits.warm_ups.discard(event.endpoint_id)
            return _links.handle_lost(state, event.endpoint_id, now_ms)
        case WarmUpsReported():
            return _warm_up.handle_reported(state, event, now_ms)
        case EndpointDraining():
            state.endpoints.drain(event.endpoint_id)
            state.next_placement_ms = 0
        case EndpointCrashed():
            return _links.handle_crashed(state, event, now_ms)
        case EndpointConfirmed():
            return _addresses.end_contest(state, event.endpoint_id, "registration")
        case EndpointChecked():
            return _crash_evidence.handle_endpoint_checked(state, event, now_ms)
        case EndpointProgressed():
            effects = _addresses.record_answer(state, event.endpoint_id, now_ms)
            return effects + _silence.handle_progressed(state, event, now_ms)
        case AttemptStalled():
            return _silence.handle_stalled(state, event, now_ms)
        case SilentReceived():
            return _silence.handle_received(state, event, now_ms)
        case EndpointAnnounced():
            return _announced.handle_announced(state, event, now_ms)
        case EndedReceived():
            return _retries.handle_received(state, event, now_ms)
        case EndpointLimited():
            return _announced.handle_limited(state, event, now_ms)
        case LimitsReceived():
            return _announced.handle_limits_received(state, event, now_ms)
        case LeavingReceived():
            return _announced.handle_received(state, event, now_ms)
        case CrashesReceived():
            return _crash_evidence.handle_received(state, event, now_ms)
        case DigestReceived():
            return _isolation.handle_digest(state, event, now_ms)
        case DomainsEvacuated():
            return _evacuation.handle_evacuated(state, event, now_ms)
        case PolicyChanged():
            _handle_policy_changed(state, event)
        case EntriesCounted():
            state.n_entries = max(1, event.n_entries)
            _resize_retry_budget(state)
        case ObjectivesChanged():
            return _objectives.handle_changed(state, event, now_ms)
        case PeersConnected():
            state.endpoints.limits.entries.record_connected(
                event.peer_ids, now_ms, event.domain_peer_ids
            )
            state.next_placement_ms = 0
        case MembersListed():
            entries = state.endpoints.limits.entries
            entries.record_listed(event.member_ids, now_ms)
            if not event.is_from_peer:
                state.member_ids = event.member_ids
        case ShutdownStarted():
            state.is_shutting_down = True
        case ArrivalsEnded():
            return _shutdown.handle_arrivals_ended(state, event.answer_by_ms, now_ms)
    return []


def _handle_timer(state: EntryState, timer_id: str, now_ms: int) -> list[Effect]:
    """Handle a timer by the kind that its id begins with.

    A timer of a request, attempt, batch or endpoint whose state no longer exists has no
    effect.
    """
    kind, _, subject = timer_id.partition(":")
    match kind:
        case "deadline":
            return _arrival.handle_deadline(state, subject, now_ms)
        case "claim":
            return _claiming.handle_claim_timeout(state, subject, now_ms)
        case "claims":
            if timer_id.startswith(CLAIM_RETRY_PREFIX):
                return state.claims.resend(timer_id.removeprefix(CLAIM_RETRY_PREFIX))
            return state.claims.flush()
        case "resume":
            return _recovery.handle_resume_timeout(state, subject, now_ms)
        case "hedge":
            return _recovery.handle_hedge_due(state, subject, now_ms)
        case "detach":
            return _arrival.handle_detach_timeout(state, subject, now_ms)
        case "crash":
            return _links.handle_crash_wait_timeout(state, subject, now_ms)
        case _retries.TIMER_ID:
            return _retries.broadcast_ended(state, now_ms)
        case "check":
            return _crash_evidence.handle_check_due(state, subject, now_ms)
        case _shutdown.TIMER_ID:
            return _shutdown.handle_timeout(state, now_ms)
        case _parts.TIMER_ID:
            return _placing.reject_blocked(state, now_ms)
        case "wake":
            state.wake_at_ms = 0
            state.next_placement_ms = 0
    return []


def _resize_retry_budget(state: EntryState) -> None:
    """Resize the retry budget to this entry's equal share of the shared retries."""
    n_shared = state.config.n_shared_retries
    if n_shared is not None:
        state.retry_budget.resize(n_shared // state.n_entries)


def _handle_policy_changed(state: EntryState, event: PolicyChanged) -> None:
    """Replace the customers' weights, unless the configuration version is not newer."""
    if event.config_version <= state.config_version:
        return
    state.config_version = event.config_version
    weights = {policy.customer_id: policy.weight for policy in event.customers}
    state.weight_by_customer = weights
    _placing.set_weights(state)
