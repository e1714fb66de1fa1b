"""Handler of a change of the evacuated failure domains."""

from bluebellusher_core.effects import Effect, LogEvent
from bluebellusher_core.events import DomainsEvacuated
from bluebellusher_core.state import EntryState


def handle_evacuated(
    state: EntryState, event: DomainsEvacuated, now_ms: int
) -> list[Effect]:
    """Apply the set of evacuated domains and log each domain that changed.

    Attempts in flight continue. The placement that follows rejects the waiting requests
    that only evacuated domains could serve.
    """
    endpoints = state.endpoints
    previous_domains = endpoints.evacuated.domains
    endpoints.set_evacuated(event.domains, now_ms)
    state.next_placement_ms = 0
    effects: list[Effect] = []
    for domain, row_version in event.row_versions:
        is_evacuated = domain in event.domains
        if is_evacuated == (domain in previous_domains):
            continue
        views = [
            view
            for view in endpoints.view_by_id.values()
            if view.info.failure_domain == domain
        ]
        for view in views:
            # Endpoints of the domain may be cold without having started again.
            endpoints.limits.warm_ups.record_cut(view.info.endpoint_id, now_ms)
        name = "domain-evacuated" if is_evacuated else "domain-restored"
        fields = (
            ("domain", domain),
            ("row_version", row_version),
            ("cause", event.cause),
            ("took_ms", now_ms - event.known_at_ms),
            ("n_endpoints", len(views)),
            ("n_own", sum(view.n_own_in_flight for view in views)),
            ("n_domains", len(event.domains)),
        )
        effects.append(LogEvent(name, fields))
    return effects
