"""Registrations by programs that are not endpoints of a configured service."""

import json

import pytest

from bluebellusher.shared import Directory
from bluebellusher.shared.tests.fakes import FakeLog
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.directory import (
    EndpointRegistration,
    MirrorRow,
    RequestKind,
    Route,
    RoutingTable,
    Service,
)
from bluebellusher_core.directory._registrations import DRAIN_TIMEOUT_MS
from bluebellusher_core.events import (
    EndpointDraining,
    EndpointRegistered,
)


class JsonCodec:
    """Codec of rows in JSON: the names of services, or the fields of an endpoint."""

    routing_table, routing_key, registration_table = "op", "config", "servers"

    def read_routing(self, value):
        """Return a routing table whose version is the length of the row."""
        services = [Service(name, 10) for name in json.loads(value)]
        return RoutingTable.from_parts(len(value), [], services, None)

    def read_evacuation(self, key):
        """Return None: no row evacuates a domain."""

    def read_registration(self, endpoint_id, value):
        """Return a registration, or None when it names no endpoint to use."""
        try:
            body = json.loads(value)
            if body["state"] not in ("ready", "draining"):
                return None
            is_draining = body["state"] == "draining"
            address = ("10.0.0.1", int(body["port"]))
            return EndpointRegistration(
                endpoint_id, body["service"], *address, "d", 4, is_draining, body["at"]
            )
        except (KeyError, TypeError, ValueError):
            return None


def make_row(key, version, service="desk", at=100, port=80, state="ready"):
    """Return a row that registers an endpoint."""
    body = {"service": service, "port": port, "at": at, "state": state}
    return MirrorRow(key, version, json.dumps(body).encode())


class ForeignRows:
    """Directory with the endpoint ``x`` of the configured service ``desk``."""

    def __init__(self):
        self.log = FakeLog()
        clock = ManualClock()
        self.directory = Directory(JsonCodec(), self.log.post, clock, self.log)
        self.configure("desk")
        self.apply(make_row("x", 1))
        assert self.take_events() == [EndpointRegistered]

    def configure(self, *services):
        """Put a configuration with these services in force; spaces raise its length."""
        n_spaces = self.directory.version_in_force
        value = json.dumps(services) + " " * n_spaces
        row = MirrorRow("config", n_spaces + 1, value.encode())
        self.directory.apply_routing_rows([row])
        assert self.directory.row_in_force == row

    def apply(self, *rows):
        """Apply changed registrations."""
        self.directory.apply_registration_rows(list(rows))

    def take_events(self):
        """Return the types of the events that were posted since the last call."""
        events, self.log.events = self.log.events, []
        return [type(event) for event in events]

    def tick(self):
        """Let all grace, drain and confirmation times end."""
        now_ms = 10 * DRAIN_TIMEOUT_MS
        self.directory.tick(now_ms, now_ms)


UNUSABLE_ROWS = {
    "service that is not configured": make_row("y", 2, service="probe", at=200),
    "unknown state": make_row("y", 2, state="paused", at=200),
    "port of another type": make_row("y", 2, port=[80], at=200),
    "missing field": MirrorRow("y", 2, b'{"service": "desk", "at": 200}'),
    "bytes that are not text": MirrorRow("y", 2, b"\xff\xfe"),
}


@pytest.mark.parametrize("reason", UNUSABLE_ROWS)
@pytest.mark.parametrize("key", ["x", "y"])
@pytest.mark.parametrize("is_restored", [False, True])
def test_row_that_names_no_endpoint_to_use_ends_nothing(reason, key, is_restored):
    """Guards against endpoints that are drained or cut by rows of another writer.

    The row claims the address of the endpoint, or is written under its key.
    """
    foreign = ForeignRows()
    directory = foreign.directory
    row = MirrorRow(key, 2, UNUSABLE_ROWS[reason].value)
    if is_restored:
        directory.apply_restored_registration_rows([row])
    else:
        foreign.apply(row)
    foreign.tick()
    assert foreign.take_events() == []
    assert directory.find("x").started_wall_ms == 100
    names = foreign.log.names()
    assert {"registration-unreadable", "registration-unconfigured"} & set(names)
    foreign.apply(MirrorRow(key, 3, b"", is_removed=True))
    foreign.tick()
    assert foreign.take_events()[:1] == ([EndpointDraining] if key == "x" else [])


def test_unreadable_row_of_an_unknown_endpoint_is_not_used():
    """Guards against requests to an address that no valid row names."""
    foreign = ForeignRows()
    foreign.apply(*(MirrorRow(k, 2, r.value) for k, r in UNUSABLE_ROWS.items()))
    assert list(foreign.directory.registrations.registration_by_id) == ["x"]
    assert foreign.take_events() == []


def test_endpoint_is_used_once_its_service_is_configured():
    """Guards against endpoints that stay unused because they registered too early."""
    foreign = ForeignRows()
    foreign.apply(make_row("y", 2, service="press", at=200))
    foreign.apply(make_row("z", 3, service="press", port=81))
    foreign.apply(MirrorRow("z", 4, b"", is_removed=True))
    foreign.configure("desk", "press")
    assert foreign.take_events() == [
        EndpointRegistered,
    ]
    assert list(foreign.directory.registrations.registration_by_id) == ["x", "y"]


def test_registrations_that_arrive_before_the_configuration_are_used_later():
    """Guards against an entry without endpoints after it read their table first."""
    log = FakeLog()
    directory = Directory(JsonCodec(), log.post, ManualClock(), log)
    rows = [make_row("x", 1), make_row("y", 2, service="probe", at=200)]
    directory.apply_registration_rows(rows)
    assert log.events == []
    directory.apply_routing_rows([MirrorRow("config", 3, b'["desk"]')])
    assert [event.endpoint.endpoint_id for event in log.events] == ["x"]


def test_endpoint_of_a_dropped_service_still_drains():
    """Guards against requests to a leaving endpoint whose service was taken away.

    Requests that were accepted earlier may still be waiting for the endpoint.
    """
    foreign = ForeignRows()
    foreign.configure("press")
    assert foreign.take_events() == []
    foreign.apply(make_row("x", 2, state="draining"))
    assert foreign.take_events() == [EndpointDraining]


def test_endpoint_of_a_service_that_only_a_route_names_is_used():
    """Guards against routes whose endpoints are taken for rows of another writer."""
    route = Route(
        "r", "h", "/", RequestKind.IDEMPOTENT, 1_000, 100, 0, 0, 1, {"press": 1}
    )
    table = RoutingTable.from_parts(1, [route], [], None)
    log = FakeLog()
    directory = Directory(JsonCodec(), log.post, ManualClock(), log)
    directory.routing = table
    directory.apply_registration_rows([make_row("x", 1, service="press")])
    assert [type(event) for event in log.events] == [EndpointRegistered]
