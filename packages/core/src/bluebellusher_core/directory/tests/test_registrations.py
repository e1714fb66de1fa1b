"""Events of endpoints that register, drain, expire, restart or are replaced."""

from dataclasses import replace

from bluebellusher_core.directory import EndpointRegistration, Registrations
from bluebellusher_core.directory._registrations import (
    DRAIN_TIMEOUT_MS,
    EXPIRY_GRACE_MS,
)
from bluebellusher_core.events import (
    EndpointDraining,
    EndpointLost,
    EndpointRegistered,
)

READY = EndpointRegistration("x", "desk", "10.0.0.1", 80, "d", 4, False, 100)


def make_registrations():
    """Return ``Registrations`` with one endpoint in use."""
    registrations = Registrations()
    events = registrations.update({"x": READY}, 0)
    assert [type(event) for event in events] == [EndpointRegistered]
    return registrations


def test_repeated_registration_changes_nothing():
    """Guards against renewals that reconnect the endpoint and break its attempts."""
    assert make_registrations().update({"x": READY}, 10) == []


def test_draining_endpoint_gets_no_new_work_and_is_not_lost():
    """Guards against requests in progress that break when their endpoint drains."""
    registrations = make_registrations()
    draining = replace(READY, is_draining=True)
    assert registrations.update({"x": draining}, 10) == [EndpointDraining("x")]
    assert registrations.update({"x": None}, 20) == []
    assert registrations.tick(20 + DRAIN_TIMEOUT_MS) == [EndpointLost("x")]


def test_endpoint_without_a_registration_gets_no_new_work():
    """Guards against requests to endpoints that stop without announcing it."""
    registrations = make_registrations()
    assert registrations.update({"x": None}, 10) == [EndpointDraining("x")]


def test_expiry_during_a_store_outage_is_tolerated_for_two_seconds():
    """Guards against draining endpoints only because the store was unavailable."""
    registrations = make_registrations()
    registrations.record_store_unavailable()
    registrations.record_store_available(5_000)
    assert registrations.update({"x": None}, 5_100) == []
    assert registrations.update({"x": READY}, 6_000) == []
    assert registrations.tick(5_000 + EXPIRY_GRACE_MS) == []


def test_endpoint_that_stays_missing_after_a_store_outage_is_drained():
    """Guards against stopped endpoints that stay in use after the grace time."""
    registrations = make_registrations()
    registrations.record_store_unavailable()
    registrations.record_store_available(5_000)
    registrations.update({"x": None}, 5_100)
    assert registrations.tick(5_000 + EXPIRY_GRACE_MS) == [EndpointDraining("x")]


def test_restart_under_the_same_id_is_registered():
    """Guards against requests that wait for an endpoint that lost them in a restart."""
    registrations = make_registrations()
    events = registrations.update({"x": replace(READY, started_wall_ms=200)}, 10)
    assert [event.endpoint.incarnation for event in events] == [200]


def test_late_write_of_a_previous_start_is_ignored():
    """Guards against using the address of a process that no longer runs."""
    registrations = make_registrations()
    registrations.update({"x": replace(READY, started_wall_ms=200, port=81)}, 10)
    assert registrations.update({"x": READY}, 20) == []
    assert registrations.registration_by_id["x"].port == 81


def test_endpoint_that_registers_again_is_used_without_being_lost():
    """Guards against requests that break when an expired endpoint registers again."""
    registrations = make_registrations()
    registrations.update({"x": None}, 10)
    events = registrations.update({"x": READY}, 4_000)
    assert [type(event) for event in events] == [EndpointRegistered]
    assert registrations.tick(10 + DRAIN_TIMEOUT_MS) == []


def test_endpoint_with_a_reused_address_is_not_used():
    """Guards against an entry that starts and uses an endpoint that no longer runs.

    The registration of the endpoint has not expired yet. Its row may be read before or
    after that of its successor.
    """
    successor = replace(READY, endpoint_id="y", started_wall_ms=200)
    for changes in ({"x": READY, "y": successor}, {"y": successor, "x": READY}):
        registrations = Registrations()
        events = registrations.update(changes, 0)
        assert EndpointDraining("x") in events
        assert set(registrations.registration_by_id) == {"y"}
        assert registrations.update({"x": None}, 50) == []


def test_successor_that_seems_older_is_used():
    """Guards against a new endpoint that is unused because its clock was set back."""
    registrations = make_registrations()
    successor = replace(READY, endpoint_id="y", started_wall_ms=50)
    events = registrations.update({"y": successor}, 10)
    assert [type(event) for event in events] == [EndpointRegistered]
    assert registrations.update({"x": None}, 20) == [EndpointDraining("x")]
