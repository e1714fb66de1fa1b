"""Handlers of endpoints that announce their shutdown, a pause or a limit.

Endpoints do so in the headers of their answers. Entries broadcast shutdowns and limits
to each other.
"""

from bluebellusher_core.effects import (
    BroadcastLeaving,
    BroadcastLimits,
    Effect,
    LogEvent,
)
from bluebellusher_core.events import (
    EndpointAnnounced,
    EndpointLimited,
    LeavingMark,
    LeavingReceived,
    LimitsReceived,
)
from bluebellusher_core.state import EntryState

LogField = tuple[str, str | int | float]

# Upper bound of the leaving endpoints, and of the limits, that are read from one
# announcement.
N_MAX_MARKS = 1_000


def handle_announced(
    state: EntryState, event: EndpointAnnounced, now_ms: int
) -> list[Effect]:
    """Record that an endpoint is leaving or asks for a pause, by its own answer."""
    effects: list[Effect] = []
    endpoint_id, incarnation = event.endpoint_id, event.incarnation
    if event.is_leaving:
        mark = LeavingMark(endpoint_id, incarnation, 0)
        leaving_effects = _record_leaving(state, mark, "answer", now_ms)
        # Only the entry that received the answer broadcasts it. Peers that receive
        # the broadcast do not forward it.
        effects += (
            [*leaving_effects, BroadcastLeaving((mark,))] if leaving_effects else []
        )
    if event.pause_ms:
        pause_ms = state.endpoints.start_pause(
            endpoint_id, incarnation, event.pause_ms, now_ms
        )
        fields: list[LogField] = [
            ("endpoint", endpoint_id),
            ("asked_ms", event.pause_ms),
            ("pause_ms", pause_ms),
        ]
        fields += _make_load_fields(state, endpoint_id)
        effects.append(LogEvent("endpoint-paused", tuple(fields)))
    state.next_placement_ms = 0
    return effects


def handle_received(
    state: EntryState, event: LeavingReceived, now_ms: int
) -> list[Effect]:
    """Record the leaving endpoints that a peer announced."""
    effects: list[Effect] = []
    for mark in event.marks[:N_MAX_MARKS]:
        effects += _record_leaving(state, mark, event.source, now_ms)
    state.next_placement_ms = 0
    return effects


def handle_limited(
    state: EntryState, event: EndpointLimited, now_ms: int
) -> list[Effect]:
    """Record the limit that an endpoint named, or its end, by its own answer."""
    limits, endpoint_id = state.endpoints.limits, event.endpoint_id
    was_limited = limits.is_limited(endpoint_id)
    has_news = limits.record_answer(
        endpoint_id,
        event.incarnation,
        event.requests_per_s,
        event.sent_at_ms,
        now_ms,
    )
    state.next_placement_ms = 0
    effects: list[Effect] = []
    if was_limited != limits.is_limited(endpoint_id):
        effects += _log_limit(state, endpoint_id, "answer", now_ms)
    if has_news:
        mark = limits.make_mark(endpoint_id, now_ms)
        effects.append(BroadcastLimits((mark,)))
    return effects


def handle_limits_received(
    state: EntryState, event: LimitsReceived, now_ms: int
) -> list[Effect]:
    """Record the limits that a peer was told."""
    effects: list[Effect] = []
    for mark in event.marks[:N_MAX_MARKS]:
        if state.endpoints.limits.merge(mark, now_ms):
            effects += _log_limit(state, mark.endpoint_id, event.source, now_ms)
    state.next_placement_ms = 0
    return effects


def _log_limit(
    state: EntryState, endpoint_id: str, source: str, now_ms: int
) -> list[Effect]:
    """Log that a limit begins, with this entry's share, or ends."""
    limits = state.endpoints.limits
    mark = limits.make_mark(endpoint_id, now_ms)
    fields: list[LogField] = [("endpoint", endpoint_id), ("source", source)]
    if mark.requests_per_s is None:
        return [LogEvent("endpoint-unlimited", tuple(fields))]
    rate = limits.find_rate(endpoint_id, mark.incarnation, now_ms) or 0.0
    fields += [
        ("requests_per_s", mark.requests_per_s),
        ("own_requests_per_s", round(rate, 3)),
        ("age_ms", mark.age_ms),
    ]
    return [LogEvent("endpoint-limited", tuple(fields))]


def _record_leaving(
    state: EntryState, mark: LeavingMark, source: str, now_ms: int
) -> list[Effect]:
    """Record one leaving endpoint; log it unless it was recorded before."""
    endpoint_id = mark.endpoint_id
    announced_at_ms = now_ms - mark.age_ms
    if not state.endpoints.record_leaving(
        endpoint_id, mark.incarnation, announced_at_ms
    ):
        return []
    fields: list[LogField] = [
        ("endpoint", endpoint_id),
        ("incarnation", mark.incarnation),
        ("source", source),
        ("age_ms", mark.age_ms),
    ]
    return [
        LogEvent("endpoint-leaving", (*fields, *_make_load_fields(state, endpoint_id)))
    ]


def _make_load_fields(state: EntryState, endpoint_id: str) -> list[LogField]:
    """Return log fields with an endpoint's own attempts and all waiting requests."""
    view = state.endpoints.view_by_id.get(endpoint_id)
    n_waiting = sum(len(queue) for queue in state.queue_by_pool.values())
    n_own = view.n_own_in_flight if view is not None else 0
    return [("n_own", n_own), ("n_waiting", n_waiting)]
