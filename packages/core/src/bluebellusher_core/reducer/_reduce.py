"""Dispatch of each event to the handler of its subject."""

from bluebellusher_core.effects import Effect
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    CacheReported,
    CallerLeft,
    EndpointConnected,
    EndpointDraining,
    EndpointLost,
    Event,
    LoadReported,
    RequestArrived,
    ShutdownStarted,
    TimerFired,
)
from bluebellusher_core.reducer._state import EntryState
from bluebellusher_core.requests import _arrival, _attempts, _links, _placing


def reduce(state: EntryState, event: Event, now_ms: int) -> list[Effect]:
    """Change the state by one event and return the effects to execute, in order.

    Parameters
    ----------
    state : EntryState
        State of the entry; it is changed in place.
    event : Event
        What happened.
    now_ms : int
        Monotonic time at which the event is handled.
    """
    effects = _handle(state, event, now_ms)
    effects += _placing.place_waiting(state, now_ms)
    return effects


def _handle(state: EntryState, event: Event, now_ms: int) -> list[Effect]:
    match event:
        case RequestArrived():
            return _arrival.arrive(state, event.request, now_ms)
        case AttemptStarted():
            return _attempts.started(state, event, now_ms)
        case AttemptFinished():
            return _attempts.finished(state, event, now_ms)
        case AttemptRefused():
            return _attempts.refused(state, event, now_ms)
        case AttemptBroken():
            return _attempts.broken(state, event, now_ms)
        case CallerLeft():
            return _arrival.caller_left(state, event.request_id, now_ms)
        case TimerFired():
            return _arrival.timer_fired(state, event.timer_id, now_ms)
        case LoadReported():
            state.endpoints.report_load(event, now_ms)
        case CacheReported():
            state.endpoints.report_cache(event)
        case EndpointConnected():
            return _links.connected(state, event, now_ms)
        case EndpointLost():
            return _links.lost(state, event.endpoint_id, now_ms)
        case EndpointDraining():
            state.endpoints.drain(event)
            return _placing.watch_unserved(state, now_ms)
        case ShutdownStarted():
            state.is_shutting_down = True
    return []
