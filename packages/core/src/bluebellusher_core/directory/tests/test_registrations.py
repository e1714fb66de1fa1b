"""Events of endpoints that register, drain, expire, restart or are replaced."""

from dataclasses import replace

from bluebellusher_core.directory import EndpointRegistration, Registrations
from bluebellusher_core.directory._registrations import (
    CONTEST_TIMEOUT_MS,
    DRAIN_TIMEOUT_MS,
    EXPIRY_GRACE_MS,
    MAX_UNCONFIRMED_MS,
    RESTORED_CONFIRMATION_MS,
)
from bluebellusher_core.events import (
    EndpointConfirmed,
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


SUCCESSOR = replace(READY, endpoint_id="y", started_wall_ms=200)


def test_endpoint_with_a_reused_address_is_contested():
    """Guards against an entry that starts and uses an endpoint that no longer runs.

    The registration of the endpoint has not expired yet. Its row may be read before or
    with that of its successor.
    """
    for batches in (
        [{"x": READY, "y": SUCCESSOR}],
        [{"y": SUCCESSOR, "x": READY}],
        [{"x": READY}, {"y": SUCCESSOR}],
    ):
        registrations = Registrations()
        events = [e for batch in batches for e in registrations.update(batch, 0)]
        assert [event.claimed_id for event in events] == ["", "x"]
        assert registrations.update({"x": None}, 50) == [EndpointDraining("x")]
        assert registrations.tick(CONTEST_TIMEOUT_MS) == []


def test_registration_at_the_address_of_an_endpoint_ends_nothing():
    """Guards against endpoints that another writer's row drains until they restart."""
    for started_wall_ms in (101, 4_102_444_800_000):
        registrations = make_registrations()
        row = replace(SUCCESSOR, started_wall_ms=started_wall_ms)
        events = registrations.update({"y": row}, 10)
        assert [type(e) for e in events] == [EndpointRegistered]
        assert events[0].claimed_id == "x"
        assert registrations.registration_by_id["x"] == READY
        assert registrations.tick(10 + CONTEST_TIMEOUT_MS - 1) == []
        events = registrations.tick(10 + CONTEST_TIMEOUT_MS)
        assert events == [EndpointConfirmed("x")]
        assert registrations.tick(DRAIN_TIMEOUT_MS) == []


def test_later_start_of_a_claimant_contests_the_address_again():
    """Guards against a claimant that is trusted because it registers repeatedly."""
    registrations = make_registrations()
    registrations.update({"y": SUCCESSOR}, 10)
    (event,) = registrations.update({"y": replace(SUCCESSOR, n_slots=5)}, 20)
    assert event.claimed_id == ""
    later = replace(SUCCESSOR, started_wall_ms=300)
    (event,) = registrations.update({"y": later}, 30)
    assert event.claimed_id == "x"
    registrations.update({"x": None}, 40)
    registrations.update({"y": None}, 50)
    (event,) = registrations.update({"y": replace(later, started_wall_ms=400)}, 60)
    assert event.claimed_id == ""


def test_kept_registration_confirms_nothing_during_an_outage_of_the_store():
    """Guards against use of an ended endpoint whose registration cannot expire."""
    registrations = make_registrations()
    registrations.update({"y": SUCCESSOR}, 10)
    registrations.record_store_unavailable()
    assert registrations.tick(DRAIN_TIMEOUT_MS) == []
    registrations.record_store_available(DRAIN_TIMEOUT_MS)
    assert registrations.tick(DRAIN_TIMEOUT_MS, store_answered_at_ms=10) == []
    assert registrations.tick(DRAIN_TIMEOUT_MS) == [EndpointConfirmed("x")]


def test_draining_endpoint_contests_no_address():
    """Guards against an address that is contested by an endpoint without attempts."""
    registrations = make_registrations()
    assert registrations.update({"y": replace(SUCCESSOR, is_draining=True)}, 10) == []


def test_address_of_an_endpoint_that_has_moved_is_not_contested():
    """Guards against attempts that are cut when a former address is used again."""
    registrations = make_registrations()
    registrations.update({"x": replace(READY, started_wall_ms=150, port=81)}, 10)
    (event,) = registrations.update({"y": SUCCESSOR}, 20)
    assert event.claimed_id == ""


def test_address_of_an_endpoint_that_has_left_is_contested():
    """Guards against callers that wait for an endpoint whose successor answers."""
    registrations = make_registrations()
    registrations.update({"x": None}, 10)
    (event,) = registrations.update({"y": SUCCESSOR}, 20)
    assert event.claimed_id == "x"


def test_running_endpoint_at_a_contested_address_drains_after_a_restoration():
    """Guards against requests to a leaving endpoint because of another writer's row."""
    registrations = make_registrations()
    registrations.update({"y": SUCCESSOR}, 10)
    events = registrations.update_restored({"x": replace(READY, is_draining=True)}, 20)
    assert events == [EndpointDraining("x")]


def test_successor_that_seems_older_is_used():
    """Guards against a new endpoint that is unused because its clock was set back."""
    registrations = make_registrations()
    successor = replace(READY, endpoint_id="y", started_wall_ms=50)
    events = registrations.update({"y": successor}, 10)
    assert [type(event) for event in events] == [EndpointRegistered]
    assert registrations.update({"x": None}, 20) == [EndpointDraining("x")]


DRAINING = replace(READY, is_draining=True)


def test_endpoint_that_drains_is_not_ready_again_after_a_restoration():
    """Guards against requests to a leaving endpoint that an old copy has as ready."""
    registrations = make_registrations()
    registrations.update({"x": DRAINING}, 10)
    assert registrations.update_restored({"x": READY}, 20) == []
    assert registrations.registration_by_id["x"].is_draining
    assert registrations.update({"x": DRAINING}, 30) == []


def test_endpoint_that_had_ended_is_not_used_again_after_a_restoration():
    """Guards against requests to an endpoint that left before the store was restored.

    Its registration is in the copy, until the store removes it.
    """
    registrations = make_registrations()
    registrations.update({"x": None}, 10)
    assert registrations.update_restored({"x": READY}, 20) == []
    assert registrations.tick(20 + RESTORED_CONFIRMATION_MS - 1) == []
    assert "x" not in registrations.registration_by_id
    registrations.update({"x": None}, 20 + RESTORED_CONFIRMATION_MS - 1)
    assert registrations.tick(20 + RESTORED_CONFIRMATION_MS) == []


def test_second_restoration_delays_the_use_of_an_endpoint_that_had_ended():
    """Guards against use of an ended endpoint when copies are restored in a row."""
    registrations = make_registrations()
    registrations.update({"x": None}, 10)
    registrations.update_restored({"x": READY}, 20)
    registrations.update_restored({}, 4_000)
    assert registrations.tick(20 + RESTORED_CONFIRMATION_MS) == []
    registered = registrations.tick(4_000 + RESTORED_CONFIRMATION_MS)
    assert [type(event) for event in registered] == [EndpointRegistered]


def test_endpoint_that_runs_is_used_although_it_seemed_to_have_ended():
    """Guards against an endpoint that stays unused when its renewals were cut off."""
    registrations = make_registrations()
    registrations.update({"x": None}, 10)
    registrations.update_restored({"x": READY}, 20)
    registered = registrations.tick(20 + RESTORED_CONFIRMATION_MS)
    assert [type(event) for event in registered] == [EndpointRegistered]
    assert registrations.registration_by_id["x"] == READY


def test_endpoint_that_started_after_the_copy_stays_in_use():
    """Guards against running endpoints that are drained until they register again."""
    registrations = make_registrations()
    assert registrations.update_restored({"x": None}, 5_000) == []
    assert registrations.tick(5_000 + EXPIRY_GRACE_MS - 1) == []
    assert registrations.update({"x": READY}, 6_000) == []
    assert registrations.tick(5_000 + EXPIRY_GRACE_MS) == []
    registrations.update_restored({"x": None}, 9_000)
    assert registrations.tick(9_000 + EXPIRY_GRACE_MS) == [EndpointDraining("x")]


def test_endpoint_missing_in_a_copy_stays_in_use_during_another_outage():
    """Guards against running endpoints that are drained between two restorations.

    They cannot register again while the store is unavailable, which an entry may notice
    only after their grace time.
    """
    registrations = make_registrations()
    registrations.update_restored({"x": None}, 5_000)
    assert registrations.update({"x": None}, 6_000) == []
    assert registrations.tick(8_000, store_answered_at_ms=6_900) == []
    registrations.record_store_unavailable()
    registrations.record_store_available(12_000)
    end_ms = 12_000 + EXPIRY_GRACE_MS
    assert registrations.tick(end_ms, store_answered_at_ms=end_ms - 1) == []
    events = registrations.tick(end_ms, store_answered_at_ms=end_ms)
    assert events == [EndpointDraining("x")]


def test_endpoint_missing_in_a_copy_is_drained_although_the_store_is_silent():
    """Guards against ended endpoints that an entry without the store uses for good."""
    registrations = make_registrations()
    registrations.update_restored({"x": None}, 5_000)
    end_ms = 5_000 + EXPIRY_GRACE_MS + MAX_UNCONFIRMED_MS
    assert registrations.tick(end_ms - 1, store_answered_at_ms=5_000) == []
    events = registrations.tick(end_ms, store_answered_at_ms=5_000)
    assert events == [EndpointDraining("x")]


def test_earlier_start_in_a_restored_store_is_ignored():
    """Guards against the use of a previous start of an endpoint, or of its address."""
    registrations = make_registrations()
    restarted = replace(READY, started_wall_ms=200)
    registrations.update({"x": restarted}, 10)
    assert registrations.update_restored({"x": READY}, 20) == []
    assert registrations.registration_by_id["x"] == restarted
    other = replace(READY, endpoint_id="y")
    assert registrations.update_restored({"y": other}, 30) == []
    assert "y" not in registrations.registration_by_id
