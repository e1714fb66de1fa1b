"""Routes, customers and endpoints in force on this entry."""

from collections.abc import Callable
from dataclasses import replace

from bluebellusher.ports import TableCodec
from bluebellusher.shared._watcher import LogSink
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import (
    EndpointRegistration,
    MirrorRow,
    Registrations,
    RoutingTable,
)
from bluebellusher_core.events import (
    EndpointDraining,
    EndpointLost,
    EndpointRegistered,
    EndpointReplaced,
    Event,
)

_EVENT_NAMES = {
    EndpointRegistered: "endpoint-ready",
    EndpointDraining: "endpoint-draining",
    EndpointLost: "endpoint-forgotten",
    EndpointReplaced: "endpoint-replaced",
}


class Directory:
    """Decode shared rows once and pass on what they change.

    Parameters
    ----------
    codec : TableCodec
        Decodes the rows.
    post : callable
        Receives events for the reducer.
    clock : Clock
        Times lapses.
    log : LogSink
        Takes log lines.
    """

    def __init__(
        self,
        codec: TableCodec,
        post: Callable[[Event], None],
        clock: Clock,
        log: LogSink,
    ) -> None:
        self.routing: RoutingTable | None = None
        self.routing_at_ms = 0
        self.registrations = Registrations()
        self.on_endpoints: Callable[[], None] | None = None
        self._codec = codec
        self._post = post
        self._clock = clock
        self._log = log

    @property
    def is_ready(self) -> bool:
        """Whether any configuration is known."""
        return self.routing is not None

    def find(self, endpoint_id: str) -> EndpointRegistration | None:
        """Return the registration of an endpoint that may be used."""
        return self.registrations.registration_by_id.get(endpoint_id)

    def take_routing(self, rows: list[MirrorRow]) -> None:
        """Put a newer configuration in force; versions never go back."""
        for row in rows:
            if row.key != self._codec.routing_key or row.is_removed:
                continue
            table = self._codec.read_routing(row.value)
            known = self.routing.version if self.routing else -1
            if table is None or table.version <= known:
                self._log.log(
                    "configuration-ignored",
                    found=table.version if table else "unreadable",
                    in_force=known,
                    row_version=row.version,
                )
                continue
            self.routing = table
            self.routing_at_ms = self._clock.now_ms()
            self._log.log(
                "configuration-in-force",
                version=table.version,
                row_version=row.version,
                n_hosts=len(table.routes_by_host),
                n_credentials=len(table.customer_by_credential),
            )

    def take_registrations(self, rows: list[MirrorRow]) -> None:
        """Pass on which endpoints came, drain or went."""
        changes: dict[str, EndpointRegistration | None] = {}
        for row in rows:
            found = None
            if not row.is_removed:
                found = self._codec.read_registration(row.key, row.value)
                if found is None:
                    self._log.log(
                        "registration-unreadable",
                        endpoint=row.key,
                        row_version=row.version,
                    )
            changes[row.key] = found
        self._emit(self.registrations.update(changes, self._clock.now_ms()))

    def note_contact(self, is_in_contact: bool) -> None:
        """Note whether the store answers."""
        if is_in_contact:
            self.registrations.record_store_available(self._clock.now_ms())
        else:
            self.registrations.record_store_unavailable()

    def tick(self, now_ms: int) -> None:
        """End the grace of lapsed registrations."""
        self._emit(self.registrations.tick(now_ms))

    def _age_ms(self, started_wall_ms: int) -> int:
        """Return how long ago an endpoint started; 0 when it does not say."""
        if not started_wall_ms:
            return 0
        return max(0, self._clock.wall_ms() - started_wall_ms)

    def _emit(self, events: list[Event]) -> None:
        for event in events:
            match event:
                case EndpointRegistered(endpoint=info):
                    endpoint_id = info.endpoint_id
                    event = replace(event, age_ms=self._age_ms(info.incarnation))
                case EndpointDraining() | EndpointLost() | EndpointReplaced():
                    endpoint_id = event.endpoint_id
                case _:
                    endpoint_id = ""
            registration = self.find(endpoint_id)
            self._log.log(
                _EVENT_NAMES.get(type(event), "endpoint-changed"),
                endpoint=endpoint_id,
                service=registration.service_id if registration else "",
                domain=registration.failure_domain if registration else "",
                started=registration.started_wall_ms if registration else 0,
            )
            self._post(event)
        if events and self.on_endpoints is not None:
            self.on_endpoints()
