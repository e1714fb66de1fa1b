"""Handlers of registrations and attempts that show whether endpoints are cold."""

from bluebellusher_core.effects import Effect, LogEvent
from bluebellusher_core.events import WarmUpsReported
from bluebellusher_core.state import EntryState


def handle_reported(
    state: EntryState, event: WarmUpsReported, now_ms: int
) -> list[Effect]:
    """Record reports, and log the endpoints that began or ended to count as cold."""
    warm_ups = state.endpoints.limits.warm_ups
    if event.table_read_at_ms is not None:
        warm_ups.record_table_read(event.table_read_at_ms)
    for mark in event.marks:
        warm_ups.record(mark, now_ms)
    # Ranks that have just started crash if all entries send to the first of them that
    # report the opening of their group.
    state.endpoints.opens_groups_at_once = not warm_ups.is_empty
    effects: list[Effect] = []
    views = state.endpoints.view_by_id.values()
    used_ids = {v.info.endpoint_id for v in views if not v.is_draining}
    for change in warm_ups.pop_changes(used_ids, now_ms):
        state.next_placement_ms = 0
        if not change.is_warming:
            fields = (("endpoint", change.endpoint_id),)
            effects.append(LogEvent("endpoint-warm", fields))
            continue
        effects.append(
            LogEvent(
                "endpoint-warming",
                (
                    ("endpoint", change.endpoint_id),
                    ("cause", change.cause),
                    ("requests_per_s", change.requests_per_s),
                    ("own_requests_per_s", round(change.own_requests_per_s, 3)),
                    ("remaining_ms", change.remaining_ms),
                ),
            )
        )
    return effects
