"""Reports of registrations about endpoints that warm up."""

from collections.abc import Callable, Iterable, Mapping

from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import EndpointRegistration, RoutingTable, Service
from bluebellusher_core.events import Event, WarmUpMark, WarmUpSource, WarmUpsReported

# Time without a call from which this process has been frozen, in ms. Registrations that
# it reads within this time afterwards may have arrived long before.
FROZEN_MS = 1_000


class WarmUpReports:
    """Report registrations of services that state a rate for cold endpoints.

    Nothing is reported while no service states such a rate.

    Parameters
    ----------
    post : callable
        Receives ``WarmUpsReported``.
    clock : Clock
        Detects that this process was frozen.
    """

    def __init__(self, post: Callable[[Event], None], clock: Clock) -> None:
        self._post = post
        self._clock = clock
        self._service_by_id: Mapping[str, Service] = {}
        self._start_by_id: dict[str, int] = {}
        self._reported_ids: set[str] = set()
        self._called_at_ms = clock.now_ms()
        self._resumed_at_ms: int | None = None

    def apply(
        self,
        changes: Mapping[str, EndpointRegistration | None],
        is_restored: bool = False,
    ) -> None:
        """Report changed registrations; None stands for one that ended.

        The first one of a start, after a gap, from a restored store or after this
        process was frozen does not show that the endpoint is warm.
        """
        self._record_call()
        marks = []
        for endpoint_id, registration in changes.items():
            if registration is None:
                self._start_by_id.pop(endpoint_id, None)
                continue
            start = registration.started_wall_ms
            is_known = self._start_by_id.get(endpoint_id) == start
            if start < self._start_by_id.get(endpoint_id, 0):
                # A late write by the previous start of the endpoint.
                continue
            self._start_by_id[endpoint_id] = start
            is_renewal = is_known and not is_restored and not self._has_resumed()
            source = WarmUpSource.RENEWAL if is_renewal else WarmUpSource.FIRST
            marks += self._make_marks(registration, source)
        if marks:
            self._post(WarmUpsReported(tuple(marks)))

    def set_routing(
        self, table: RoutingTable, registrations: Iterable[EndpointRegistration]
    ) -> None:
        """Report the rates of a new configuration for all registered endpoints."""
        self._service_by_id = table.service_by_id
        source = WarmUpSource.CONFIGURATION
        marks = [m for r in registrations for m in self._make_marks(r, source)]
        if marks:
            self._post(WarmUpsReported(tuple(marks)))

    @property
    def is_empty(self) -> bool:
        """Whether no service of a known endpoint states a rate."""
        return not self._reported_ids

    def tick(self, store_answered_at_ms: int) -> None:
        """Report endpoints that became warm, or unknown, by the passing of time.

        Parameters
        ----------
        store_answered_at_ms : int
            Time of the store's last answer about registrations. An answer that this
            process reads after it was frozen may have arrived long before.
        """
        self._record_call()
        if self._reported_ids:
            read_at_ms = None if self._has_resumed() else store_answered_at_ms
            self._post(WarmUpsReported(table_read_at_ms=read_at_ms))

    def discard(self, endpoint_id: str) -> None:
        """Discard the state of an endpoint that has left."""
        self._start_by_id.pop(endpoint_id, None)
        self._reported_ids.discard(endpoint_id)

    def _record_call(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._called_at_ms > FROZEN_MS:
            self._resumed_at_ms = now_ms
        self._called_at_ms = now_ms

    def _has_resumed(self) -> bool:
        """Return whether this process may still read what arrived while it froze."""
        resumed_at_ms = self._resumed_at_ms
        if resumed_at_ms is None:
            return False
        return self._clock.now_ms() - resumed_at_ms <= FROZEN_MS

    def _make_marks(
        self, registration: EndpointRegistration, source: WarmUpSource
    ) -> list[WarmUpMark]:
        """Return the mark of a registration; none if its service states no rate."""
        endpoint_id = registration.endpoint_id
        service = self._service_by_id.get(registration.service_id)
        rate = service.warm_up_requests_per_s if service else 0.0
        if rate > 0:
            self._reported_ids.add(endpoint_id)
        elif endpoint_id not in self._reported_ids:
            return []
        else:
            self._reported_ids.discard(endpoint_id)
        return [
            WarmUpMark(
                endpoint_id,
                registration.started_wall_ms,
                rate,
                service.warm_up_ms if service else 0,
                registration.warm_up_remaining_ms,
                source,
            )
        ]
