"""Endpoints that say in their answers that they leave, or want nothing for a while."""

from bluebellusher_core.effects import Effect, LogEvent, TellLeaving
from bluebellusher_core.events import (
    EndpointAnnounced,
    LeavingLearned,
    LeavingMark,
)
from bluebellusher_core.state import EntryState

Field = tuple[str, str | int | float]

N_MAX_MARKS = 1_000


def announced(state: EntryState, event: EndpointAnnounced, now_ms: int) -> list[Effect]:
    """Take in what an endpoint said with an answer to this entry."""
    effects: list[Effect] = []
    endpoint_id, incarnation = event.endpoint_id, event.incarnation
    if event.is_leaving:
        mark = LeavingMark(endpoint_id, incarnation, 0)
        news = _leave(state, mark, "answer", now_ms)
        # Peers that learn it do not pass it on; each is told by the one that heard it.
        effects += [*news, TellLeaving((mark,))] if news else []
    if event.pause_ms:
        pause_ms = state.endpoints.start_pause(
            endpoint_id, incarnation, event.pause_ms, now_ms
        )
        fields: list[Field] = [
            ("endpoint", endpoint_id),
            ("asked_ms", event.pause_ms),
            ("pause_ms", pause_ms),
        ]
        fields += _use(state, endpoint_id)
        effects.append(LogEvent("endpoint-paused", tuple(fields)))
    state.check_at_ms = 0
    return effects


def learned(state: EntryState, event: LeavingLearned, now_ms: int) -> list[Effect]:
    """Take over what endpoints said to a peer."""
    effects: list[Effect] = []
    for mark in event.marks[:N_MAX_MARKS]:
        effects += _leave(state, mark, event.source, now_ms)
    state.check_at_ms = 0
    return effects


def _leave(
    state: EntryState, mark: LeavingMark, source: str, now_ms: int
) -> list[Effect]:
    endpoint_id = mark.endpoint_id
    noted_at_ms = now_ms - mark.age_ms
    if not state.endpoints.record_leaving(endpoint_id, mark.incarnation, noted_at_ms):
        return []
    fields: list[Field] = [
        ("endpoint", endpoint_id),
        ("incarnation", mark.incarnation),
        ("source", source),
        ("age_ms", mark.age_ms),
    ]
    return [LogEvent("endpoint-leaving", (*fields, *_use(state, endpoint_id)))]


def _use(state: EntryState, endpoint_id: str) -> list[Field]:
    """Return what is known of the use of an endpoint, for the log."""
    view = state.endpoints.view_by_id.get(endpoint_id)
    n_waiting = sum(len(queue) for queue in state.queue_by_pool.values())
    n_own = view.n_own_in_flight if view is not None else 0
    return [("n_own", n_own), ("n_waiting", n_waiting)]
