"""Endpoint events folded into views."""

from dataclasses import dataclass, field, replace

from bluebellusher_core.effects import CloseConnection, Effect
from bluebellusher_core.events import (
    CacheReported,
    EndpointConnected,
    EndpointInfo,
    EndpointLost,
    LoadReported,
    RequestSpec,
)
from bluebellusher_core.membership._announcements import Announcements
from bluebellusher_core.membership._groups import GroupStates
from bluebellusher_core.routing import EndpointTracker, EndpointView

Pool = tuple[str, str, str]
"""Service, model and adapter; requests of one pool share candidates and a queue."""

REPORT_MAX_AGE_MS = 5_000
# The engine may hold one further batch in its queue, so that a slot that becomes
# free is filled without a round trip.
ENGINE_QUEUE_FACTOR = 2
MIN_DEFER_MS = 20
MAX_DEFER_MS = 1_000
# An endpoint that asks for more is asked again after this time.
MAX_PAUSE_MS = 60_000


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
    queue_factor : float
        Requests that an endpoint may hold by its report, as a multiple of its slots.
    tracker : EndpointTracker
        Keeps the views; it is told only of events that were found valid.
    announcements : Announcements
        What endpoints said of themselves in their answers.
    groups : GroupStates
        Tells which groups of ranks can run nothing.
    """

    n_max: int
    queue_factor: float = ENGINE_QUEUE_FACTOR
    announcements: Announcements = field(
        default_factory=lambda: Announcements(MAX_PAUSE_MS)
    )
    tracker: EndpointTracker = field(default_factory=EndpointTracker)
    groups: GroupStates = field(default_factory=lambda: GroupStates(REPORT_MAX_AGE_MS))
    _deferred_until_ms: dict[str, int] = field(default_factory=dict)
    _n_refusals: dict[str, int] = field(default_factory=dict)
    _views_by_pool: dict[Pool, list[EndpointView]] = field(default_factory=dict)

    @property
    def view_by_id(self) -> dict[str, EndpointView]:
        """Views by endpoint id."""
        return self.tracker.view_by_id

    def connect(self, event: EndpointConnected, now_ms: int) -> list[Effect]:
        """Add an endpoint, or replace its view after a reconnect."""
        info = event.endpoint
        is_new = info.endpoint_id not in self.view_by_id
        if is_new and len(self.view_by_id) >= self.n_max:
            return [CloseConnection(info.endpoint_id)]
        self.tracker.apply(event, now_ms)
        self.view_by_id[info.endpoint_id].is_draining = self._is_leaving(info)
        self._views_by_pool.clear()
        return []

    def refresh(self, info: EndpointInfo) -> None:
        """Take what an endpoint newly says of itself; its attempts go on."""
        view = self.view_by_id[info.endpoint_id]
        view.info = info
        view.is_draining = self._is_leaving(info)
        self._views_by_pool.clear()

    def _is_leaving(self, info: EndpointInfo) -> bool:
        """Return whether an endpoint leaves, by its registration or its answers."""
        said = self.announcements.is_leaving(info.endpoint_id, info.incarnation)
        return info.is_draining or said

    def note_leaving(self, endpoint_id: str, incarnation: int, at_ms: int) -> bool:
        """Take that an endpoint said it leaves; return whether that is news."""
        is_news = self.announcements.note_leaving(endpoint_id, incarnation, at_ms)
        view = self.view_by_id.get(endpoint_id)
        if view is not None and view.info.incarnation <= incarnation:
            self.drain(endpoint_id)
        return is_news

    def pause(
        self, endpoint_id: str, incarnation: int, pause_ms: int, now_ms: int
    ) -> int:
        """Start nothing there for as long as the endpoint asks; return how long."""
        return self.announcements.note_pause(endpoint_id, incarnation, pause_ms, now_ms)

    def pause_left_ms(self, pool: Pool, now_ms: int) -> int:
        """Return until the first endpoint of a pool takes work again, in ms.

        Returns 0 unless every endpoint of the pool has asked for a pause.
        """
        if not self.announcements.has_limits:
            return 0
        ends = [self._paused_until_ms(v, now_ms) for v in self.views_of(pool)]
        return max(0, min(ends, default=0) - now_ms)

    def _paused_until_ms(self, view: EndpointView, now_ms: int) -> int:
        info = view.info
        return self.announcements.paused_until_ms(
            info.endpoint_id, info.incarnation, now_ms
        )

    def _may_take(self, view: EndpointView, now_ms: int) -> bool:
        """Return whether an endpoint wants another attempt, by what it said."""
        if self._paused_until_ms(view, now_ms):
            return False
        info = view.info
        n_allowed = self.announcements.n_allowed(info.endpoint_id, info.n_slots)
        return view.n_own_in_flight < n_allowed

    def remove(self, endpoint_id: str, now_ms: int) -> None:
        """Forget a lost endpoint."""
        self._views_by_pool.clear()
        self._deferred_until_ms.pop(endpoint_id, None)
        self._n_refusals.pop(endpoint_id, None)
        self.groups.forget(endpoint_id)
        self.announcements.forget_pause(endpoint_id, now_ms)
        self.tracker.apply(EndpointLost(endpoint_id), now_ms)

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
        pause_end_ms = self.announcements.next_end_ms(now_ms)
        if not self._deferred_until_ms:
            return pause_end_ms
        ended = [e for e, at in self._deferred_until_ms.items() if at <= now_ms]
        for endpoint_id in ended:
            del self._deferred_until_ms[endpoint_id]
        ends = list(self._deferred_until_ms.values())
        if pause_end_ms is not None:
            ends.append(pause_end_ms)
        return min(ends, default=None)

    def views_with_room(self, pool: Pool, now_ms: int) -> list[EndpointView]:
        """Return the endpoints of a pool that can start another attempt now."""
        deferred = self._deferred_until_ms
        closed = self.groups.find_closed(now_ms)
        has_limits = self.announcements.has_limits
        return [
            view
            for view in self.views_of(pool)
            if _has_room(view, self.queue_factor, now_ms)
            and (not has_limits or self._may_take(view, now_ms))
            and view.info.endpoint_id not in closed
            and deferred.get(view.info.endpoint_id, 0) <= now_ms
        ]

    def are_closed(self, pool: Pool, now_ms: int) -> bool:
        """Return whether no endpoint of a pool can run anything now.

        Each states so itself, or is in a group that is closed or stands still.
        """
        groups = self.groups
        closed = groups.find_closed(now_ms) | groups.find_standing(now_ms)
        views = self.views_of(pool)
        return bool(views) and all(
            view.info.endpoint_id in closed or _is_closed(view, now_ms)
            for view in views
        )

    def drain(self, endpoint_id: str) -> None:
        """Give the endpoint no new work from now on."""
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            view.is_draining = True
            self._views_by_pool.clear()

    def report_load(self, event: LoadReported, now_ms: int) -> None:
        """Take a load report unless a newer one is known."""
        self.tracker.apply(event, now_ms)
        view = self.view_by_id.get(event.endpoint_id)
        if view is None or view.report is not event:
            return
        self.groups.note_report(event, now_ms)
        info = view.info
        loaded = (info.models, info.adapters, info.n_slots)
        if loaded != (event.models, event.adapters, event.n_slots):
            view.info = _with_loaded(info, event)
            self._views_by_pool.clear()

    def report_cache(self, event: CacheReported, now_ms: int) -> None:
        """Add and remove cached prefixes; forget all of them after a gap."""
        self.tracker.apply(event, now_ms)

    def views_of(self, pool: Pool) -> list[EndpointView]:
        """Return the endpoints that serve a pool and are not draining."""
        views = self._views_by_pool.get(pool)
        if views is None:
            views = [v for v in self.view_by_id.values() if _serves(v, pool)]
            # Names in a pool come from callers, so empty pools are not kept.
            if views:
                self._views_by_pool[pool] = views
        return views

    def note_output(self, endpoint_id: str) -> None:
        """Forget earlier refusals; the endpoint works."""
        self._n_refusals.pop(endpoint_id, None)
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            self.announcements.note_output(endpoint_id, view.info.n_slots)


def _is_closed(view: EndpointView, now_ms: int) -> bool:
    report = view.report
    if report is None or now_ms - view.reported_at_ms > REPORT_MAX_AGE_MS:
        return False
    return not report.is_open


def _has_room(view: EndpointView, queue_factor: float, now_ms: int) -> bool:
    """Return whether another attempt fits, by own attempts and the last report."""
    if view.is_isolating or view.n_own_in_flight >= view.info.n_slots:
        return False
    report = view.report
    if report is None or now_ms - view.reported_at_ms > REPORT_MAX_AGE_MS:
        return True
    if not report.is_open:
        return False
    # Attempts that ended since the report have left the engine again. Otherwise fast
    # requests would fill it on paper and wait for the next report.
    n_since = len(view.own_dispatched_at_ms) - len(view.own_ended_at_ms)
    n_known = report.n_running + report.n_queued + n_since
    return n_known < queue_factor * view.info.n_slots


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
