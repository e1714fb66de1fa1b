"""Routing configuration and endpoint registrations that this entry uses."""

from collections.abc import Callable, Mapping
from dataclasses import replace

from bluebellusher.ports import TableCodec
from bluebellusher.shared._evacuations import (
    CHANGED_ROW,
    RESTORED_STORE,
    Evacuations,
)
from bluebellusher.shared._log import LogSink
from bluebellusher.shared._warm_up import WarmUpReports
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import (
    EndpointRegistration,
    MirrorRow,
    Registrations,
    RoutingTable,
)
from bluebellusher_core.events import (
    EndpointConfirmed,
    EndpointDraining,
    EndpointLost,
    EndpointRegistered,
    Event,
    ObjectivesChanged,
)

_LOG_NAME_BY_EVENT_TYPE = {
    EndpointRegistered: "endpoint-ready",
    EndpointDraining: "endpoint-draining",
    EndpointLost: "endpoint-forgotten",
    EndpointConfirmed: "registration-kept",
}


class Directory:
    """Decode changed rows of the shared tables and apply them to this entry.

    Any program can write to the table of registrations. A row takes effect only if it
    names an endpoint to use: it can be read, and the configuration in force names its
    service. A row of another service waits until a configuration names that service.

    Parameters
    ----------
    codec : TableCodec
        Decodes the rows.
    post : callable
        Receives events for the reducer.
    clock : Clock
        Clock of grace times and of the ages of endpoints.
    log : LogSink
        Receives the log lines.
    """

    def __init__(
        self,
        codec: TableCodec,
        post: Callable[[Event], None],
        clock: Clock,
        log: LogSink,
    ) -> None:
        self.routing: RoutingTable | None = None
        self.row_in_force: MirrorRow | None = None
        self.routing_applied_at_ms = 0
        self.registrations = Registrations()
        self.evacuations = Evacuations(codec, post, clock)
        self.on_endpoints_changed: Callable[[], None] | None = None
        self._codec = codec
        self._post = post
        self._clock = clock
        self._log = log
        self._warm_ups = WarmUpReports(post, clock)
        # Readable registrations whose service the configuration lacks.
        self._unconfigured_by_id: dict[str, EndpointRegistration] = {}

    @property
    def is_ready(self) -> bool:
        """Whether a routing configuration is in force."""
        return self.routing is not None

    def find(self, endpoint_id: str) -> EndpointRegistration | None:
        """Return the registration of an endpoint, or None if it must not be used."""
        return self.registrations.registration_by_id.get(endpoint_id)

    def apply_routing_rows(self, rows: list[MirrorRow]) -> None:
        """Put a newer routing configuration and the evacuations in force."""
        # Evacuations come first, so that an entry that starts does not place a request
        # between the two.
        self.evacuations.apply_rows(rows, CHANGED_ROW)
        self._apply_configuration(rows)

    def apply_restored_routing_rows(self, rows: list[MirrorRow]) -> None:
        """Apply the rows that differ after the store was restored.

        The configuration in force stays until a newer one is written. Evacuations are
        those of the restored store.
        """
        self.evacuations.apply_rows(rows, RESTORED_STORE)
        self._apply_configuration(rows)

    def _apply_configuration(self, rows: list[MirrorRow]) -> None:
        """Put a newer routing configuration in force.

        A configuration that cannot be read, or whose version is below the current one,
        is logged and ignored. The operator may assign the same version to another
        content after the store has lost the first one, and the content that was written
        last is in force.
        """
        for row in rows:
            if row.key != self._codec.routing_key or row.is_removed:
                continue
            table = self._codec.read_routing(row.value)
            current_version = self.routing.version if self.routing else -1
            if (
                table is None
                or table.version < current_version
                or table == self.routing
            ):
                self._log.log(
                    "configuration-ignored",
                    found=table.version if table else "unreadable",
                    in_force=current_version,
                    row_version=row.version,
                )
                continue
            self._put_in_force(table, row)

    def _put_in_force(self, table: RoutingTable, row: MirrorRow) -> None:
        previous = self.routing.find_gap_objectives() if self.routing else {}
        objectives = table.find_gap_objectives()
        if objectives != previous:
            self._post(ObjectivesChanged(objectives))
        self.routing, self.row_in_force = table, row
        self.routing_applied_at_ms = self._clock.now_ms()
        registrations = self.registrations.registration_by_id.values()
        self._warm_ups.set_routing(table, registrations)
        self._log.log(
            "configuration-in-force",
            version=table.version,
            row_version=row.version,
            n_hosts=len(table.routes_by_host),
            n_credentials=len(table.customer_by_credential),
        )
        self._apply_configured_registrations(table)

    def _apply_configured_registrations(self, table: RoutingTable) -> None:
        """Apply the registrations whose service a new configuration has added."""
        configured = {
            endpoint_id: registration
            for endpoint_id, registration in self._unconfigured_by_id.items()
            if registration.service_id in table.named_service_ids
        }
        for endpoint_id in configured:
            del self._unconfigured_by_id[endpoint_id]
        if configured:
            self._apply_registrations(configured)

    @property
    def version_in_force(self) -> int:
        """Version of the configuration in force; 0 when there is none."""
        return self.routing.version if self.routing else 0

    def apply_retained_row(self, row: MirrorRow) -> None:
        """Put the configuration in force that a peer has and the store lacks."""
        table = self._codec.read_routing(row.value)
        if table is not None and table.version > self.version_in_force:
            self._put_in_force(table, row)
            if self.on_endpoints_changed is not None:
                self.on_endpoints_changed()

    def apply_registration_rows(self, rows: list[MirrorRow]) -> None:
        """Apply changed registrations and post the events that follow.

        A row that names no endpoint to use changes nothing: an endpoint that registered
        under its key before stays in use until the row is removed.
        """
        self._apply_registrations(self._read_registrations(rows))

    def _apply_registrations(
        self, changes: Mapping[str, EndpointRegistration | None]
    ) -> None:
        """Apply registrations, or None for those that ended, and post the events."""
        # Comes first, so that no request is sent before the endpoint counts as cold.
        self._warm_ups.apply(changes)
        self._log_and_post(self.registrations.update(changes, self._clock.now_ms()))

    def apply_restored_registration_rows(self, rows: list[MirrorRow]) -> None:
        """Apply the registrations that differ after the store was restored."""
        changes = self._read_registrations(rows)
        now_ms = self._clock.now_ms()
        self._warm_ups.apply(changes, is_restored=True)
        self._log_and_post(self.registrations.update_restored(changes, now_ms))

    def _read_registrations(
        self, rows: list[MirrorRow]
    ) -> dict[str, EndpointRegistration | None]:
        """Return the registration in each row, or None when it ended.

        Rows that name no endpoint to use are logged and left out.
        """
        changes: dict[str, EndpointRegistration | None] = {}
        for row in rows:
            self._unconfigured_by_id.pop(row.key, None)
            if row.is_removed:
                changes[row.key] = None
                continue
            registration = self._codec.read_registration(row.key, row.value)
            if registration is None:
                self._log.log(
                    "registration-unreadable",
                    endpoint=row.key,
                    row_version=row.version,
                )
            elif not self._has_service(registration):
                self._unconfigured_by_id[row.key] = registration
                self._log.log(
                    "registration-unconfigured",
                    endpoint=row.key,
                    service=registration.service_id,
                    row_version=row.version,
                )
            else:
                changes[row.key] = registration
        return changes

    def _has_service(self, registration: EndpointRegistration) -> bool:
        """Return whether a registration is of a service that is, or was, configured.

        An endpoint in use keeps its service when a configuration drops it, because
        requests that were accepted before may still be waiting for the endpoint.
        """
        service_id = registration.service_id
        if self.routing and service_id in self.routing.named_service_ids:
            return True
        known = self.find(registration.endpoint_id)
        return known is not None and known.service_id == service_id

    @property
    def has_warm_up_rates(self) -> bool:
        """Whether a service of a registered endpoint states a rate for cold ones."""
        return not self._warm_ups.is_empty

    def record_store_availability(self, is_store_available: bool) -> None:
        """Record whether the store is available, for the grace of registrations."""
        if is_store_available:
            self.registrations.record_store_available(self._clock.now_ms())
        else:
            self.registrations.record_store_unavailable()

    def tick(self, now_ms: int, store_answered_at_ms: int) -> None:
        """Post the events of grace times and drain times that have ended.

        Parameters
        ----------
        now_ms : int
            Monotonic time, in ms.
        store_answered_at_ms : int
            Time of the store's last answer about registrations.
        """
        self._warm_ups.tick(store_answered_at_ms)
        self._log_and_post(self.registrations.tick(now_ms, store_answered_at_ms))

    def _age_ms(self, started_wall_ms: int) -> int:
        """Return the time since an endpoint started, in ms.

        Returns 0 when the endpoint does not report its start.
        """
        if not started_wall_ms:
            return 0
        return max(0, self._clock.wall_ms() - started_wall_ms)

    def _log_and_post(self, events: list[Event]) -> None:
        """Log and post events; call ``on_endpoints_changed`` if there were any."""
        for event in events:
            match event:
                case EndpointRegistered(endpoint=info):
                    endpoint_id = info.endpoint_id
                    event = replace(event, age_ms=self._age_ms(info.incarnation))
                case EndpointLost():
                    endpoint_id = event.endpoint_id
                    self._warm_ups.discard(endpoint_id)
                case EndpointDraining() | EndpointConfirmed():
                    endpoint_id = event.endpoint_id
                case _:
                    endpoint_id = ""
            registration = self.find(endpoint_id)
            self._log.log(
                _LOG_NAME_BY_EVENT_TYPE.get(type(event), "endpoint-changed"),
                endpoint=endpoint_id,
                service=registration.service_id if registration else "",
                domain=registration.failure_domain if registration else "",
                started=registration.started_wall_ms if registration else 0,
            )
            self._post(event)
        if events and self.on_endpoints_changed is not None:
            self.on_endpoints_changed()
