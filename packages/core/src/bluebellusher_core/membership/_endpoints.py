"""Views of the connected endpoints and their availability for new attempts."""

from dataclasses import dataclass, field, replace
from math import inf

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
from bluebellusher_core.membership._contested import ContestedAddresses
from bluebellusher_core.membership._entries import ActiveEntries
from bluebellusher_core.membership._evacuation import EvacuatedDomains
from bluebellusher_core.membership._groups import GroupStates
from bluebellusher_core.membership._limits import RequestLimits
from bluebellusher_core.membership._running_limits import RunningLimit, RunningLimits
from bluebellusher_core.membership._saved import MS_PER_S
from bluebellusher_core.membership._silence import RankSilence
from bluebellusher_core.routing import EndpointTracker, EndpointView

Pool = tuple[str, str, str]
"""Service, model and adapter; requests of one pool share candidates and a queue."""

# Age from which a load report is ignored, in ms.
REPORT_MAX_AGE_MS = 5_000
# Default of ``Endpoints.queue_factor``. The engine may queue one more batch, so that a
# freed slot is filled without a round trip.
ENGINE_QUEUE_FACTOR = 2
# Bounds of the time, in ms, in which an endpoint gets no attempts after a refusal.
MIN_DEFER_MS = 20
MAX_DEFER_MS = 1_000
# Upper bound of a pause, in ms. An endpoint that asks for a longer pause gets an
# attempt after this time.
MAX_PAUSE_MS = 60_000


def pool_of(request: RequestSpec) -> Pool:
    """Return the pool of a request."""
    return (request.service_id, request.model, request.adapter)


@dataclass(slots=True)
class Endpoints:
    """Connected endpoints and their availability for new attempts.

    Parameters
    ----------
    n_max : int
        Upper bound of connected endpoints; a further connection is closed.
    queue_factor : float
        Upper bound of the running and queued requests of an endpoint, as a multiple of
        its slots.
    announcements : Announcements
        Shutdowns and pauses that endpoints announced in their answers.
    limits : RequestLimits
        Limits of the request rate that endpoints named in their answers.
    running_limits : RunningLimits
        Limits of the requests that run at a rank at once.
    tracker : EndpointTracker
        Holds and updates the views; it receives only valid events.
    groups : GroupStates
        Groups of ranks that are closed or stalled.
    silence : RankSilence
        Ranks that send nothing while their group advances.
    opens_groups_at_once : bool
        Whether all ranks of a group count as open as soon as one of them reports that
        the group has opened.
    evacuated : EvacuatedDomains
        Failure domains whose endpoints get no attempts.
    contested : ContestedAddresses
        Endpoints whose address another endpoint has registered as well.
    """

    n_max: int
    queue_factor: float = ENGINE_QUEUE_FACTOR
    announcements: Announcements = field(
        default_factory=lambda: Announcements(MAX_PAUSE_MS)
    )
    limits: RequestLimits = field(
        default_factory=lambda: RequestLimits(ActiveEntries(""))
    )
    running_limits: RunningLimits = field(
        default_factory=lambda: RunningLimits(ActiveEntries(""))
    )
    tracker: EndpointTracker = field(default_factory=EndpointTracker)
    groups: GroupStates = field(default_factory=lambda: GroupStates(REPORT_MAX_AGE_MS))
    silence: RankSilence = field(default_factory=RankSilence)
    opens_groups_at_once: bool = False
    evacuated: EvacuatedDomains = field(
        default_factory=lambda: EvacuatedDomains(ActiveEntries(""))
    )
    contested: ContestedAddresses = field(default_factory=ContestedAddresses)
    _deferred_until_ms: dict[str, int] = field(default_factory=dict)
    _n_refusals: dict[str, int] = field(default_factory=dict)
    _views_by_pool: dict[Pool, list[EndpointView]] = field(default_factory=dict)

    @property
    def view_by_id(self) -> dict[str, EndpointView]:
        """Views by endpoint id."""
        return self.tracker.view_by_id

    def connect(self, event: EndpointConnected, now_ms: int) -> list[Effect]:
        """Add an endpoint, or replace its view after it reconnected.

        Returns an effect that closes the connection when ``n_max`` is reached.
        """
        info = event.endpoint
        is_new = info.endpoint_id not in self.view_by_id
        if is_new and len(self.view_by_id) >= self.n_max:
            return [CloseConnection(info.endpoint_id)]
        self.tracker.apply(event, now_ms)
        self.view_by_id[info.endpoint_id].is_draining = self._is_leaving(info)
        self._views_by_pool.clear()
        return []

    def update_info(self, info: EndpointInfo) -> None:
        """Replace the description of a connected endpoint; its attempts continue."""
        view = self.view_by_id[info.endpoint_id]
        view.info = info
        view.is_draining = self._is_leaving(info)
        self._views_by_pool.clear()

    def _is_leaving(self, info: EndpointInfo) -> bool:
        """Return whether the registration or an answer announced a shutdown."""
        has_announced = self.announcements.is_leaving(
            info.endpoint_id, info.incarnation
        )
        return info.is_draining or has_announced

    def set_evacuated(self, domains: frozenset[str], now_ms: int) -> None:
        """Replace the set of evacuated failure domains."""
        self.evacuated.replace(domains, now_ms)
        limits = self.running_limits
        limits.is_own_domain_usable = limits.failure_domain not in domains
        self._views_by_pool.clear()

    def is_evacuated(self, endpoint_id: str) -> bool:
        """Return whether a connected endpoint is in an evacuated domain."""
        view = self.view_by_id.get(endpoint_id)
        return view is not None and view.info.failure_domain in self.evacuated.domains

    def is_pool_evacuated(self, pool: Pool) -> bool:
        """Return whether only endpoints of evacuated domains serve a pool."""
        if not self.evacuated.domains or self.views_of(pool):
            return False
        return any(_serves(view, pool) for view in self.view_by_id.values())

    def record_leaving(
        self, endpoint_id: str, incarnation: int, announced_at_ms: int
    ) -> bool:
        """Record an announced shutdown and drain the endpoint; return whether new."""
        is_new = self.announcements.record_leaving(
            endpoint_id, incarnation, announced_at_ms
        )
        view = self.view_by_id.get(endpoint_id)
        if view is not None and view.info.incarnation <= incarnation:
            self.drain(endpoint_id)
        return is_new

    def start_pause(
        self, endpoint_id: str, incarnation: int, pause_ms: int, now_ms: int
    ) -> int:
        """Start a pause that an endpoint asked for; return its duration in ms."""
        return self.announcements.record_pause(
            endpoint_id, incarnation, pause_ms, now_ms
        )

    def pause_remaining_ms(self, pool: Pool, now_ms: int) -> int:
        """Return the time until the first endpoint of a pool may get an attempt, in ms.

        The time is 0 unless every endpoint of the pool pauses or has a limit that is
        used up. It is at most the longest pause.
        """
        if not self.announcements.has_limits and self.limits.is_empty:
            return 0
        waits_ms = [self._wait_ms(v, now_ms) for v in self.views_of(pool)]
        return int(min(min(waits_ms, default=0), self.announcements.max_pause_ms))

    def _wait_ms(self, view: EndpointView, now_ms: int) -> float:
        """Return the time until a pause and a limit allow an attempt, in ms."""
        info = view.info
        pause_ms = max(0, self._paused_until_ms(view, now_ms) - now_ms)
        limit_ms = self.limits.wait_ms(info.endpoint_id, info.incarnation, now_ms)
        return max(pause_ms, limit_ms)

    def find_limited_slots(
        self, view: EndpointView, service_ms: float, now_ms: int
    ) -> float:
        """Return the mean number of own attempts that an endpoint's limit allows.

        It is infinite for an endpoint without a limit. ``service_ms`` is the mean time
        of an attempt, in ms.
        """
        info = view.info
        rate = self.limits.find_rate(info.endpoint_id, info.incarnation, now_ms)
        return inf if rate is None else rate * service_ms / MS_PER_S

    def count_warming(self, now_ms: int) -> int:
        """Return the number of endpoints in use that may be cold."""
        find_ms = self.limits.warm_ups.find_remaining_ms
        views = (v for v in self.view_by_id.values() if not v.is_draining)
        return sum(find_ms(v.info.endpoint_id, now_ms) > 0 for v in views)

    def _paused_until_ms(self, view: EndpointView, now_ms: int) -> int:
        info = view.info
        return self.announcements.paused_until_ms(
            info.endpoint_id, info.incarnation, now_ms
        )

    def _allows_attempt(self, view: EndpointView, now_ms: int) -> bool:
        """Return whether pauses and limits allow another attempt."""
        if self._paused_until_ms(view, now_ms):
            return False
        info = view.info
        if self.limits.is_exhausted(info.endpoint_id, info.incarnation, now_ms):
            return False
        attempt_limit = self.announcements.attempt_limit(info.endpoint_id, info.n_slots)
        return view.n_own_in_flight < attempt_limit

    def remove(self, endpoint_id: str, now_ms: int) -> None:
        """Discard the state of a lost endpoint."""
        self._views_by_pool.clear()
        self._deferred_until_ms.pop(endpoint_id, None)
        self._n_refusals.pop(endpoint_id, None)
        self.contested.end(endpoint_id)
        self.contested.end_claims(endpoint_id)
        self.groups.discard(endpoint_id)
        self.silence.discard(endpoint_id)
        self.announcements.discard_ended_pause(endpoint_id, now_ms)
        self.tracker.apply(EndpointLost(endpoint_id), now_ms)

    def defer(self, endpoint_id: str, defer_ms: int, now_ms: int) -> None:
        """Exclude an endpoint from new attempts for a time after a refusal or crash.

        The time is the larger of ``defer_ms`` and ``MIN_DEFER_MS``, in ms. It doubles
        with each call since the last answer of the endpoint, up to ``MAX_DEFER_MS``.
        """
        if endpoint_id not in self.view_by_id:
            return
        n_refusals = self._n_refusals.get(endpoint_id, 0)
        defer_ms = max(defer_ms, MIN_DEFER_MS) << n_refusals
        self._n_refusals[endpoint_id] = min(n_refusals + 1, 8)
        self._deferred_until_ms[endpoint_id] = now_ms + min(defer_ms, MAX_DEFER_MS)

    def next_available_at_ms(self, now_ms: int) -> int | None:
        """Return the next time at which an endpoint may get an attempt again.

        It is the earliest end of a pause or deferral, or the earliest time at which a
        limit allows a request, in monotonic ms; None when nothing ends.
        """
        ended = [e for e, at in self._deferred_until_ms.items() if at <= now_ms]
        for endpoint_id in ended:
            del self._deferred_until_ms[endpoint_id]
        times_ms: list[int | None] = [
            *self._deferred_until_ms.values(),
            self.announcements.next_pause_end_ms(now_ms),
            self.limits.next_available_at_ms(now_ms),
        ]
        return min((at_ms for at_ms in times_ms if at_ms is not None), default=None)

    def views_with_capacity(self, pool: Pool, now_ms: int) -> list[EndpointView]:
        """Return the endpoints of a pool that have capacity for another attempt."""
        closed_ids = self.groups.find_closed(now_ms)
        if self.opens_groups_at_once and self._are_all_closed(pool, closed_ids, now_ms):
            # A rank without a report belongs to one of the closed groups.
            return []
        deferred_until_ms = self._deferred_until_ms
        reopened_ids = self._find_reopened(now_ms)
        has_limits = self.announcements.has_limits or not self.limits.is_empty
        is_limited = self.running_limits.is_active
        views = self.views_of(pool)
        if not self.contested.is_empty:
            views = views + self._find_unclaimed(pool, views)
            views = self.contested.select_usable(views)
        return [
            view
            for view in self.evacuated.select_usable(views, now_ms)
            if self._has_capacity(view, reopened_ids, now_ms)
            and (not has_limits or self._allows_attempt(view, now_ms))
            and (not is_limited or self.count_room(view, now_ms).n_top > 0)
            and view.info.endpoint_id not in closed_ids
            and deferred_until_ms.get(view.info.endpoint_id, 0) <= now_ms
            and not self.silence.is_excluded(view.info.endpoint_id, now_ms)
        ]

    def contest(self, endpoint_id: str, claimant_id: str, now_ms: int) -> bool:
        """Record that a claimant has registered the address of an endpoint.

        Returns whether the address is contested now. It is not if one of them is not
        connected, if the claimant was found not to run, or if it gets no attempts,
        whose answers would show which of the two runs.
        """
        claimant = self.view_by_id.get(claimant_id)
        if claimant is None or claimant.is_draining:
            return False
        if endpoint_id not in self.view_by_id:
            return False
        self._views_by_pool.clear()
        return self.contested.contest(endpoint_id, claimant_id, now_ms)

    def end_contest(self, endpoint_id: str) -> None:
        """Use an endpoint again that runs at its contested address."""
        self._views_by_pool.clear()
        self.contested.end(endpoint_id)

    def _find_unclaimed(
        self, pool: Pool, views: list[EndpointView]
    ) -> list[EndpointView]:
        """Return the contested endpoints of a pool that no claimant in it replaces.

        No attempt at the claimant would show whether they run.
        """
        endpoint_ids = {view.info.endpoint_id for view in views}
        return [
            view
            for view in self._list_serving(pool)
            if view.info.endpoint_id not in endpoint_ids
            and self.contested.find_claimant(view.info.endpoint_id) not in endpoint_ids
        ]

    def _find_reopened(self, now_ms: int) -> frozenset[str]:
        """Return the ranks that count as open because their group has opened."""
        if not self.opens_groups_at_once:
            return frozenset()
        return self.groups.find_reopened(now_ms)

    def _has_capacity(
        self, view: EndpointView, reopened_ids: frozenset[str], now_ms: int
    ) -> bool:
        """Return whether an endpoint has free capacity.

        Only own attempts count for a rank whose report is from an earlier epoch.
        """
        if view.info.endpoint_id in reopened_ids:
            return _has_own_capacity(view)
        return _has_reported_capacity(view, self.queue_factor, now_ms)

    def count_room(self, view: EndpointView, now_ms: int) -> RunningLimit:
        """Return how many more attempts this entry may start at an endpoint.

        An endpoint without a limit on running requests has room.
        """
        n_slots = view.info.n_slots
        room = self.running_limits.count_room(view, now_ms)
        return RunningLimit(n_slots, n_slots) if room is None else room

    def count_usable_slots(
        self, view: EndpointView, has_capacity: bool, now_ms: int
    ) -> int:
        """Return how many attempts of this entry an endpoint can run at once now.

        An endpoint without free capacity counts with the attempts of this entry,
        because the other entries use its remaining slots.
        """
        if not has_capacity:
            return view.n_own_in_flight
        room = self.running_limits.count_room(view, now_ms)
        if room is None:
            return view.info.n_slots
        return view.n_own_in_flight + max(0, room.n_usual)

    def list_usable(
        self, pool: Pool, service_ms: float, now_ms: int
    ) -> list[tuple[EndpointView, float]]:
        """Return the endpoints of a pool that may serve requests, full ones included.

        Closed, paused, silent and isolated endpoints are left out. With each endpoint
        comes the number of own attempts that its limit allows on average, which is
        infinite without one; ``service_ms`` is the mean time of an attempt, in ms.
        """
        closed_ids = self.groups.find_closed(now_ms)
        has_limits = self.announcements.has_limits or not self.limits.is_empty
        usable = []
        for view in self.views_of(pool):
            endpoint_id = view.info.endpoint_id
            if view.is_isolating or endpoint_id in closed_ids:
                continue
            if _is_closed(view, now_ms) or self.silence.is_excluded(
                endpoint_id, now_ms
            ):
                continue
            n_limited = inf
            if has_limits:
                if self._paused_until_ms(view, now_ms):
                    continue
                n_limited = self.find_limited_slots(view, service_ms, now_ms)
            usable.append((view, n_limited))
        return usable

    def is_pool_closed(self, pool: Pool, now_ms: int) -> bool:
        """Return whether no endpoint of a pool can run a request now.

        This is the case when each endpoint reports that it is closed or belongs to a
        group that is closed or stalled. A pool without endpoints is not closed. With
        ``opens_groups_at_once``, endpoints without a recent report do not count: ranks
        that have just started send their first report seconds later, and would
        otherwise make a closed pool appear open.
        """
        groups = self.groups
        closed_ids = groups.find_closed(now_ms) | groups.find_stalled(now_ms)
        return self._are_all_closed(pool, closed_ids, now_ms)

    def _are_all_closed(
        self, pool: Pool, closed_ids: frozenset[str], now_ms: int
    ) -> bool:
        """Return whether each endpoint of a pool is closed or in ``closed_ids``."""
        reopened_ids = self._find_reopened(now_ms)
        views = self.views_of(pool)
        if self.opens_groups_at_once:
            views = [v for v in views if _has_recent_report(v, now_ms)]
        return bool(views) and all(
            view.info.endpoint_id in closed_ids
            or (_is_closed(view, now_ms) and view.info.endpoint_id not in reopened_ids)
            for view in views
        )

    def drain(self, endpoint_id: str) -> None:
        """Mark the endpoint as draining, so that it gets no new work."""
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            view.is_draining = True
            self.contested.end_claims(endpoint_id)
            self._views_by_pool.clear()

    def record_load_report(self, event: LoadReported, now_ms: int) -> None:
        """Record a load report unless it is older than the recorded one."""
        self.tracker.apply(event, now_ms)
        view = self.view_by_id.get(event.endpoint_id)
        if view is None or view.report is not event:
            return
        self.groups.record_report(event, now_ms)
        self.silence.record_report(event.endpoint_id, event.group_id)
        info = view.info
        recorded = (info.models, info.adapters, info.n_slots)
        if recorded != (event.models, event.adapters, event.n_slots):
            view.info = _replace_loaded(info, event)
            self._views_by_pool.clear()

    def record_cache_report(self, event: CacheReported, now_ms: int) -> None:
        """Record cached prefixes that were added or removed."""
        self.tracker.apply(event, now_ms)

    def views_of(self, pool: Pool) -> list[EndpointView]:
        """Return the endpoints that serve a pool.

        Endpoints that are draining or in an evacuated domain are left out, and unless
        there are no others, those with a contested address.
        """
        views = self._views_by_pool.get(pool)
        if views is None:
            serving = self._list_serving(pool)
            find_claimant = self.contested.find_claimant
            settled = [v for v in serving if not find_claimant(v.info.endpoint_id)]
            views = settled or serving
            # Callers choose the names in a pool, so empty results are not stored:
            # arbitrary names would use unbounded memory.
            if views:
                self._views_by_pool[pool] = views
        return views

    def _list_serving(self, pool: Pool) -> list[EndpointView]:
        """Return the endpoints of a pool, also those with a contested address."""
        domains = self.evacuated.domains
        return [
            view
            for view in self.view_by_id.values()
            if _serves(view, pool) and view.info.failure_domain not in domains
        ]

    def record_output(self, endpoint_id: str) -> None:
        """Record an answer: reset the count of refusals and raise the attempt limit."""
        self._n_refusals.pop(endpoint_id, None)
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            self.announcements.record_output(endpoint_id, view.info.n_slots)

    def record_first_output(
        self, endpoint_id: str, waited_ms: int, now_ms: int
    ) -> None:
        """Record the first output of an attempt, ``waited_ms`` after its dispatch."""
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            self.silence.record_first_output(view, waited_ms, now_ms)


def _has_recent_report(view: EndpointView, now_ms: int) -> bool:
    """Return whether the endpoint's latest report still counts."""
    is_recent = now_ms - view.reported_at_ms <= REPORT_MAX_AGE_MS
    return view.report is not None and is_recent


def _is_closed(view: EndpointView, now_ms: int) -> bool:
    """Return whether the endpoint recently reported that it can run no request."""
    report = view.report
    return (
        report is not None and _has_recent_report(view, now_ms) and not report.is_open
    )


def _has_own_capacity(view: EndpointView) -> bool:
    """Return whether the own attempts leave free capacity."""
    return not view.is_isolating and view.n_own_in_flight < view.info.n_slots


def _has_reported_capacity(
    view: EndpointView, queue_factor: float, now_ms: int
) -> bool:
    """Return whether the own attempts and the latest report leave free capacity."""
    if not _has_own_capacity(view):
        return False
    report = view.report
    if report is None or now_ms - view.reported_at_ms > REPORT_MAX_AGE_MS:
        return True
    if not report.is_open:
        return False
    # Attempts that ended since the report no longer use the engine. If they counted,
    # fast requests would seem to fill it until the next report.
    n_change_since_report = len(view.own_dispatched_at_ms) - len(view.own_ended_at_ms)
    n_estimated = report.n_running + report.n_queued + n_change_since_report
    return n_estimated < queue_factor * view.info.n_slots


def _replace_loaded(info: EndpointInfo, event: LoadReported) -> EndpointInfo:
    """Return ``info`` with the models, adapters and slots of a load report."""
    return replace(
        info, models=event.models, adapters=event.adapters, n_slots=event.n_slots
    )


def _serves(view: EndpointView, pool: Pool) -> bool:
    """Return whether an endpoint that is not draining serves a pool."""
    service_id, model, adapter = pool
    info = view.info
    if view.is_draining or service_id not in info.services:
        return False
    has_model = not model or model in info.models
    return has_model and (not adapter or adapter in info.adapters)
