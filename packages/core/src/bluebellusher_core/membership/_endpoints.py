"""Endpoint events folded into views."""

from dataclasses import dataclass, field, replace

from bluebellusher_core.effects import CloseConnection, Effect
from bluebellusher_core.events import (
    CacheReported,
    EndpointConnected,
    EndpointInfo,
    LoadReported,
    RequestSpec,
)
from bluebellusher_core.routing import EndpointView

Pool = tuple[str, str, str]
"""Service, model and adapter; requests of one pool share candidates and a queue."""

REPORT_MAX_AGE_MS = 5_000
MAX_CACHED_PREFIXES = 65_536
# The engine may hold one further batch in its queue, so that a slot that becomes
# free is filled without a round trip.
ENGINE_QUEUE_FACTOR = 2
MIN_DEFER_MS = 20
MAX_DEFER_MS = 1_000


def pool_of(request: RequestSpec) -> Pool:
    """Return the pool of a request."""
    return (request.service_id, request.model, request.adapter)


@dataclass(slots=True)
class Endpoints:
    """Views of the connected endpoints.

    Parameters
    ----------
    n_max : int
        Upper bound of connected endpoints; a further connection is closed.
    """

    n_max: int
    view_by_id: dict[str, EndpointView] = field(default_factory=dict)
    _deferred_until_ms: dict[str, int] = field(default_factory=dict)
    _n_refusals: dict[str, int] = field(default_factory=dict)
    _views_by_pool: dict[Pool, list[EndpointView]] = field(default_factory=dict)

    def connect(self, event: EndpointConnected) -> list[Effect]:
        """Add an endpoint, or replace its view after a reconnect."""
        endpoint_id = event.endpoint.endpoint_id
        is_new = endpoint_id not in self.view_by_id
        if is_new and len(self.view_by_id) >= self.n_max:
            return [CloseConnection(endpoint_id)]
        self.view_by_id[endpoint_id] = EndpointView(
            info=event.endpoint, is_draining=event.endpoint.is_draining
        )
        self._views_by_pool.clear()
        return []

    def remove(self, endpoint_id: str) -> EndpointView | None:
        """Forget a lost endpoint."""
        self._views_by_pool.clear()
        self._deferred_until_ms.pop(endpoint_id, None)
        self._n_refusals.pop(endpoint_id, None)
        return self.view_by_id.pop(endpoint_id, None)

    def defer(self, endpoint_id: str, pause_ms: int, now_ms: int) -> None:
        """Start nothing there for a while; the pause doubles with each refusal."""
        if endpoint_id not in self.view_by_id:
            return
        n_before = self._n_refusals.get(endpoint_id, 0)
        pause_ms = max(pause_ms, MIN_DEFER_MS) << n_before
        self._n_refusals[endpoint_id] = min(n_before + 1, 8)
        self._deferred_until_ms[endpoint_id] = now_ms + min(pause_ms, MAX_DEFER_MS)

    def next_undeferred_ms(self, now_ms: int) -> int | None:
        """Return when the next endpoint may be used again."""
        if not self._deferred_until_ms:
            return None
        ended = [e for e, at in self._deferred_until_ms.items() if at <= now_ms]
        for endpoint_id in ended:
            del self._deferred_until_ms[endpoint_id]
        return min(self._deferred_until_ms.values(), default=None)

    def views_with_room(self, pool: Pool, now_ms: int) -> list[EndpointView]:
        """Return the endpoints of a pool that can start another attempt now."""
        deferred = self._deferred_until_ms
        return [
            view
            for view in self.views_of(pool)
            if _has_room(view, now_ms)
            and deferred.get(view.info.endpoint_id, 0) <= now_ms
        ]

    def drain(self, endpoint_id: str) -> None:
        """Give the endpoint no new work from now on."""
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            view.is_draining = True
            self._views_by_pool.clear()

    def report_load(self, event: LoadReported, now_ms: int) -> None:
        """Take a load report unless a newer one is known."""
        view = self.view_by_id.get(event.endpoint_id)
        if view is None:
            return
        if view.report is not None and event.sequence <= view.report.sequence:
            return
        view.report = event
        view.reported_at_ms = now_ms
        read_at_ms = now_ms - event.age_ms
        later = [at for at in view.own_dispatched_at_ms if at > read_at_ms]
        view.own_dispatched_at_ms = later
        info = view.info
        loaded = (info.models, info.adapters, info.n_slots)
        if loaded != (event.models, event.adapters, event.n_slots):
            view.info = _with_loaded(info, event)
            self._views_by_pool.clear()

    def report_cache(self, event: CacheReported) -> None:
        """Add and remove cached prefixes; forget all of them after a gap."""
        view = self.view_by_id.get(event.endpoint_id)
        if view is None:
            return
        if event.has_gap:
            view.cached_prefixes.clear()
        view.cached_prefixes.difference_update(event.removed)
        n_free = MAX_CACHED_PREFIXES - len(view.cached_prefixes)
        view.cached_prefixes.update(event.added[:n_free])

    def views_of(self, pool: Pool) -> list[EndpointView]:
        """Return the endpoints that serve a pool and are not draining."""
        views = self._views_by_pool.get(pool)
        if views is None:
            views = [v for v in self.view_by_id.values() if _serves(v, pool)]
            # Names in a pool come from callers, so empty pools are not kept.
            if views:
                self._views_by_pool[pool] = views
        return views

    def start_attempt(
        self, endpoint_id: str, request: RequestSpec, now_ms: int
    ) -> None:
        """Count a dispatch."""
        view = self.view_by_id[endpoint_id]
        view.n_own_in_flight += 1
        view.n_own_queued_tokens += request.n_input_tokens
        view.own_dispatched_at_ms.append(now_ms)
        # Without reports nothing else would shorten the list.
        if len(view.own_dispatched_at_ms) > 2 * view.info.n_slots + 16:
            del view.own_dispatched_at_ms[0]

    def note_output(self, endpoint_id: str) -> None:
        """Forget earlier refusals; the endpoint works."""
        self._n_refusals.pop(endpoint_id, None)

    def leave_queue(self, endpoint_id: str, request: RequestSpec) -> None:
        """Count the first output or the end of an attempt without output."""
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            view.n_own_queued_tokens -= request.n_input_tokens

    def end_attempt(self, endpoint_id: str) -> None:
        """Count the end of an attempt."""
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            view.n_own_in_flight -= 1


def _has_room(view: EndpointView, now_ms: int) -> bool:
    """Return whether another attempt fits, by own attempts and the last report."""
    if view.is_isolating or view.n_own_in_flight >= view.info.n_slots:
        return False
    report = view.report
    if report is None or now_ms - view.reported_at_ms > REPORT_MAX_AGE_MS:
        return True
    n_known = report.n_running + report.n_queued + len(view.own_dispatched_at_ms)
    return n_known < ENGINE_QUEUE_FACTOR * view.info.n_slots


def _with_loaded(info: EndpointInfo, event: LoadReported) -> EndpointInfo:
    return replace(
        info, models=event.models, adapters=event.adapters, n_slots=event.n_slots
    )


def _serves(view: EndpointView, pool: Pool) -> bool:
    service_id, model, adapter = pool
    info = view.info
    if view.is_draining or service_id not in info.services:
        return False
    has_model = not model or model in info.models
    return has_model and (not adapter or adapter in info.adapters)
