"""Tests of shared tables while the store is unavailable or has lost its history."""

import asyncio
from random import Random

from bluebellusher.shared import Directory, TableExchange, TableWatcher
from bluebellusher.shared.tests.fakes import DOWN, FakeLog, FakeStore, until
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.directory import (
    EndpointRegistration,
    MirrorRow,
    RoutingTable,
    TableMirror,
)
from bluebellusher_core.events import EndpointDraining, EndpointRegistered
from bluebellusher_core.wire import messages


class Follower:
    """An entry's copy of a table with its watcher, changed rows and availability."""

    def __init__(self, store, clock):
        self.log = FakeLog()
        self.news = []
        self.contacts = []
        self.mirror = TableMirror("t")
        self.watcher = TableWatcher(
            store,
            self.mirror,
            self.news.extend,
            self.contacts.append,
            clock,
            Random(1),
            self.log,
        )
        self.task = asyncio.create_task(self.watcher.run())


def run(scenario):
    """Run a scenario with a store and a clock."""

    async def main():
        await scenario(FakeStore(), ManualClock())

    asyncio.run(main())


def test_changes_arrive_and_a_loss_of_history_is_repaired():
    """Guards against changes that entries miss while the store is unavailable."""

    async def scenario(store, clock):
        store.put("t", "a", b"1")
        follower = Follower(store, clock)
        await until(lambda: "a" in follower.mirror.row_by_key)
        store.put("t", "b", b"2")
        await until(lambda: "b" in follower.mirror.row_by_key)
        store.fault = DOWN
        store.put("t", "a", b"", is_removed=True)
        store.put("t", "c", b"3")
        store.oldest_kept = store.version
        await until(lambda: "store-lost" in follower.log.names())
        store.fault = None
        await until(lambda: set(follower.mirror.row_by_key) == {"b", "c"})
        assert "store-history-lost" in follower.log.names()
        assert follower.contacts == [True, False, True]
        follower.task.cancel()

    run(scenario)


def test_outage_is_told_once_and_calls_are_spread():
    """Guards against a flood of log lines and calls while the store is unavailable."""

    async def scenario(store, clock):
        store.fault = DOWN
        follower = Follower(store, clock)
        await asyncio.sleep(1.5)
        assert follower.log.names().count("store-lost") == 1
        assert store.n_calls <= 12
        follower.task.cancel()

    run(scenario)


class Wire:
    """Network between table exchanges that delivers messages immediately."""

    def __init__(self):
        self.exchange_by_id = {}
        self.n_deltas = 0

    def links_of(self, own_id):
        """Return the links of an entry; its messages are delivered with its id."""
        wire = self

        class Links:
            def send(self, peer_id, message):
                other = wire.exchange_by_id[peer_id]
                if isinstance(message, messages.TablePull):
                    other.on_pull(own_id, message)
                else:
                    wire.n_deltas += 1
                    other.on_delta(own_id, message)

        return Links()


def make_exchanges(clock, is_in_contact):
    """Return a network of an entry with a change and one without, and changed rows.

    ``is_in_contact`` states whether the store is available to the entry without the
    change.
    """
    wire, news = Wire(), []
    for entry_id, contact in (("ahead", True), ("behind", is_in_contact)):
        exchange = TableExchange(wire.links_of(entry_id), clock)
        mirror = TableMirror("t")
        exchange.add(mirror, news.extend, lambda contact=contact: contact)
        wire.exchange_by_id[entry_id] = exchange
        if entry_id == "ahead":
            mirror.apply([MirrorRow("a", 3, b"new")], 3)
    return wire, news


def make_digest(exchange):
    """Return the digest that an exchange's entry sends to its peers."""
    return messages.Digest(version_by_table=exchange.versions())


def test_entry_that_the_store_turns_away_learns_from_its_peers_at_once():
    """Guards against outdated routes and keys while the store is unavailable."""
    wire, news = make_exchanges(ManualClock(), is_in_contact=False)
    digest = make_digest(wire.exchange_by_id["ahead"])
    wire.exchange_by_id["behind"].on_digest("ahead", digest)
    assert [row.key for row in news] == ["a"]
    assert wire.exchange_by_id["behind"].versions() == {"t": 3}


def test_entry_in_contact_asks_its_peers_only_when_it_stays_behind():
    """Guards against transfers between peers that duplicate the store's answers."""
    clock = ManualClock()
    wire, news = make_exchanges(clock, is_in_contact=True)
    behind = wire.exchange_by_id["behind"]
    behind.on_digest("ahead", make_digest(wire.exchange_by_id["ahead"]))
    behind.tick(clock.now_ms())
    assert wire.n_deltas == 0
    clock.advance(500)
    behind.tick(clock.now_ms())
    assert [row.key for row in news] == ["a"]


class Codec:
    """Codec of rows whose values are numbers.

    The number is the version of a routing table or the slots of a registration.
    """

    routing_table, routing_key, registration_table = "op", "config", "servers"

    def read_routing(self, value):
        """Return a routing table of the version in the row, or None for a bad row."""
        if not value.isdigit():
            return None
        return RoutingTable.from_parts(int(value), [], [], None)

    def read_registration(self, endpoint_id, value):
        """Return a registration, or None for a bad row."""
        if not value.isdigit():
            return None
        return EndpointRegistration(
            endpoint_id, "s", "10.0.0.1", 80, "d", int(value), False, 1
        )


def make_directory():
    """Return a directory and the log that collects its lines and events."""
    log = FakeLog()
    return Directory(Codec(), log.post, ManualClock(), log), log


def test_configuration_never_goes_back():
    """Guards against removed routes and keys that are put in force again."""
    directory, log = make_directory()
    assert not directory.is_ready
    for row_version, value in ((1, b"5"), (2, b"4"), (3, b"junk"), (4, b"9")):
        directory.take_routing([MirrorRow("config", row_version, value)])
    assert directory.routing.version == 9
    assert log.names().count("configuration-ignored") == 2


def test_unreadable_registration_takes_an_endpoint_out_of_use():
    """Guards against requests sent to an endpoint whose registration is unreadable."""
    directory, log = make_directory()
    directory.take_registrations([MirrorRow("x", 1, b"4")])
    directory.take_registrations([MirrorRow("x", 2, b"torn")])
    kinds = [type(event) for event in log.events]
    assert kinds == [EndpointRegistered, EndpointDraining]
    assert directory.find("x") is None
    assert "registration-unreadable" in log.names()
