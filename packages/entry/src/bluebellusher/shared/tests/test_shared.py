"""Tests of shared tables while the store is unavailable or has lost its history."""

import asyncio
from random import Random

from bluebellusher.shared import (
    Directory,
    Members,
    TableCopy,
    TableExchange,
    TableWatcher,
)
from bluebellusher.shared.tests.fakes import DOWN, FakeLog, FakeStore, wait_until
from bluebellusher.shared.tests.virtual_time import run_in_virtual_time
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.directory import (
    CallerLimits,
    EndpointRegistration,
    MirrorRow,
    RoutingTable,
    TableMirror,
)
from bluebellusher_core.wire import messages


class WatchedTable:
    """An entry's copy of a table with its watcher, changed rows and availability."""

    def __init__(self, store, clock):
        self.log = FakeLog()
        self.changed_rows = []
        self.availability_changes = []
        self.mirror = TableMirror("t")
        self.watcher = TableWatcher(
            store,
            TableCopy(
                self.mirror,
                self.changed_rows.extend,
                self.changed_rows.extend,
                self.log,
            ),
            self.availability_changes.append,
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


def test_copy_recovers_from_an_outage_and_a_loss_of_history():
    """Guards against changes that entries miss while the store is unavailable."""

    async def scenario(store, clock):
        store.put("t", "a", b"1")
        table_copy = WatchedTable(store, clock)
        await wait_until(lambda: "a" in table_copy.mirror.row_by_key)
        store.put("t", "b", b"2")
        await wait_until(lambda: "b" in table_copy.mirror.row_by_key)
        store.fault = DOWN
        store.put("t", "a", b"", is_removed=True)
        store.put("t", "c", b"3")
        store.oldest_readable_version = store.version
        await wait_until(lambda: "store-lost" in table_copy.log.names())
        store.fault = None
        await wait_until(lambda: set(table_copy.mirror.row_by_key) == {"b", "c"})
        assert "store-history-lost" in table_copy.log.names()
        assert table_copy.availability_changes == [True, False, True]
        table_copy.task.cancel()

    run(scenario)


def test_outage_is_logged_once_and_calls_are_spread():
    """Guards against a flood of log lines and calls while the store is unavailable."""

    async def scenario(store, clock):
        store.fault = DOWN
        table_copy = WatchedTable(store, clock)
        await asyncio.sleep(1.5)
        assert table_copy.log.names().count("store-lost") == 1
        assert store.n_calls <= 12
        table_copy.task.cancel()

    run(scenario)


class FakeNetwork:
    """Network between table exchanges that delivers messages immediately."""

    def __init__(self):
        self.exchange_by_id = {}
        self.n_deltas = 0

    def make_links(self, own_id):
        """Return the links of an entry; its messages are delivered with its id."""
        network = self

        class NetworkLinks:
            def send(self, peer_id, message):
                other = network.exchange_by_id[peer_id]
                if isinstance(message, messages.TablePull):
                    other.on_pull(own_id, message)
                else:
                    network.n_deltas += 1
                    other.on_delta(own_id, message)

        return NetworkLinks()


def make_exchanges(clock, is_store_available):
    """Return a network of an entry with a change and one without, and changed rows.

    ``is_store_available`` states whether the store is available to the entry that lacks
    the change.
    """
    network, changed_rows = FakeNetwork(), []
    for entry_id, is_available in (("ahead", True), ("behind", is_store_available)):
        exchange = TableExchange(network.make_links(entry_id), clock)
        mirror = TableMirror("t")
        exchange.add(
            TableCopy(mirror, changed_rows.extend, changed_rows.extend, FakeLog()),
            lambda is_available=is_available: is_available,
        )
        network.exchange_by_id[entry_id] = exchange
        if entry_id == "ahead":
            mirror.apply([MirrorRow("a", 3, b"new")], 3)
    return network, changed_rows


def make_digest(exchange):
    """Return the digest that an exchange's entry sends to its peers."""
    return messages.Digest(
        version_by_table=exchange.versions(),
        store_epoch_by_table=exchange.store_epochs(),
    )


def test_entry_without_the_store_gets_changes_from_peers_immediately():
    """Guards against outdated routes and keys while the store is unavailable."""
    network, changed_rows = make_exchanges(ManualClock(), is_store_available=False)
    digest = make_digest(network.exchange_by_id["ahead"])
    network.exchange_by_id["behind"].on_digest("ahead", digest)
    assert [row.key for row in changed_rows] == ["a"]
    assert network.exchange_by_id["behind"].versions() == {"t": 3}


def test_entry_with_the_store_requests_changes_from_peers_only_after_a_delay():
    """Guards against transfers between peers that duplicate the store's answers."""
    clock = ManualClock()
    network, changed_rows = make_exchanges(clock, is_store_available=True)
    behind = network.exchange_by_id["behind"]
    behind.on_digest("ahead", make_digest(network.exchange_by_id["ahead"]))
    behind.tick(clock.now_ms())
    assert network.n_deltas == 0
    clock.advance(500)
    behind.tick(clock.now_ms())
    assert [row.key for row in changed_rows] == ["a"]


class FakeCodec:
    """Codec of rows whose values are numbers.

    The number is the version of a routing table or the slots of a registration.
    """

    routing_table, routing_key, registration_table = "op", "config", "servers"

    def read_routing(self, value):
        """Return a routing table of the version in the row, or None for a bad row."""
        if not value.isdigit():
            return None
        return RoutingTable.from_parts(int(value), [], [], None)

    def read_evacuation(self, key):
        """Return the domain in a key ``evacuate/DOMAIN``, or None."""
        return key.removeprefix("evacuate/") if "/" in key else None

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
    return Directory(FakeCodec(), log.post, ManualClock(), log), log


def test_configuration_version_never_decreases():
    """Guards against removed routes and keys that are put in force again."""
    directory, log = make_directory()
    assert not directory.is_ready
    for row_version, value in ((1, b"5"), (2, b"4"), (3, b"junk"), (4, b"9")):
        directory.apply_routing_rows([MirrorRow("config", row_version, value)])
    assert directory.routing.version == 9
    assert log.names().count("configuration-ignored") == 2


class SharedDirectory:
    """Entry whose directory and copy of the routing table are shared with peers."""

    def __init__(self, network, entry_id, clock):
        self.directory, log = make_directory()
        self.mirror = TableMirror("op")
        apply_rows = self.directory.apply_routing_rows
        self.copy = TableCopy(self.mirror, apply_rows, apply_rows, log)
        self.exchange = TableExchange(network.make_links(entry_id), clock)
        self.exchange.add(self.copy, lambda: True, self.directory)
        network.exchange_by_id[entry_id] = self.exchange

    def make_digest(self):
        """Return the digest that the entry sends to its peers."""
        return messages.Digest(
            config_version=self.directory.version_in_force,
            version_by_table=self.exchange.versions(),
            store_epoch_by_table=self.exchange.store_epochs(),
        )


def test_entry_gets_the_configuration_that_a_restored_store_lacks_from_a_peer():
    """Guards against withdrawn keys that entries accept after a restoration.

    The store has an earlier configuration until the operator writes the last one again.
    Entries that start in between read the earlier one.
    """
    network, clock = FakeNetwork(), ManualClock()
    old = SharedDirectory(network, "old", clock)
    old.copy.apply([MirrorRow("config", 8, b"13")], 9)
    restored_row = MirrorRow("config", 5, b"10")
    old.copy.replace([restored_row], 6, 1)
    assert old.directory.routing.version == 13
    new = SharedDirectory(network, "new", clock)
    new.copy.replace([restored_row], 6, 1)
    assert new.directory.routing.version == 10
    new.exchange.on_digest("old", old.make_digest())
    assert new.directory.routing.version == 13
    assert new.mirror.row_by_key["config"] == restored_row
    assert network.n_deltas == 1
    old.exchange.on_digest("new", new.make_digest())
    new.exchange.on_digest("old", old.make_digest())
    assert network.n_deltas == 1
    written_again = MirrorRow("config", 7, b"13")
    for entry in (old, new):
        entry.copy.apply([written_again], 7)
        assert entry.directory.version_in_force == 13


def test_entry_gets_the_configuration_from_a_peer_that_the_store_refuses():
    """Guards against a lower configuration beside a peer before the restoration."""
    network, clock = FakeNetwork(), ManualClock()
    old = SharedDirectory(network, "old", clock)
    old.copy.apply([MirrorRow("config", 8, b"13")], 9)
    new = SharedDirectory(network, "new", clock)
    new.copy.replace([MirrorRow("config", 5, b"10")], 6, 1)
    new.exchange.on_digest("old", old.make_digest())
    assert new.directory.version_in_force == 13
    assert new.mirror.position == (1, 6)


def test_configuration_that_an_entry_cannot_read_is_not_requested_all_the_time():
    """Guards against requests to peers that cannot put their answer in force."""
    network, clock = FakeNetwork(), ManualClock()
    old = SharedDirectory(network, "old", clock)
    old.copy.apply([MirrorRow("config", 8, b"13")], 9)
    new = SharedDirectory(network, "new", clock)
    new.directory._codec.read_routing = lambda value: None
    for _ in range(10):
        new.exchange.on_digest("old", old.make_digest())
        new.copy.apply([], 9)
        clock.advance(100)
    assert network.n_deltas <= 2


def test_configuration_with_the_same_version_and_other_content_is_put_in_force():
    """Guards against a change that is ignored because a lost one had its version."""
    directory, _ = make_directory()
    directory._codec.read_routing = lambda value: RoutingTable.from_parts(
        7, [], [], None, CallerLimits(max_body_bytes=int(value))
    )
    directory.apply_routing_rows([MirrorRow("config", 3, b"100")])
    directory.apply_routing_rows([MirrorRow("config", 2, b"200")])
    assert directory.routing.limits.max_body_bytes == 200


class DistantStore(FakeStore):
    """Store that answers each call after 4 ms."""

    async def read_table(self, table):
        """Return all rows of a table."""
        await asyncio.sleep(0.004)
        return await super().read_table(table)

    async def write_row(self, write):
        """Write a row if its version is the expected one; return the current row."""
        await asyncio.sleep(0.004)
        return await super().write_row(write)


class DialedAddresses(set):
    """Addresses that an entry has dialed; stands for its connections to peers."""

    dial = set.update


def test_entries_that_start_at_the_same_time_find_each_other():
    """Guards against entries that share limits and retries with a few peers only.

    Each of them reads the table before the others have written their rows.
    """

    async def scenario():
        store = DistantStore()
        dialed_by_port = {port: DialedAddresses() for port in range(1, 9)}
        tasks = []
        for port, dialed in dialed_by_port.items():
            log = FakeLog()
            members = Members(store, dialed, f"e{port}", "h", port, log, log.post)
            tasks.append(asyncio.create_task(members.run()))
        await asyncio.sleep(3)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return dialed_by_port

    for port, dialed in run_in_virtual_time(scenario()).items():
        assert dialed == {("h", other) for other in range(1, 9) if other != port}


def test_entries_that_a_restored_store_has_lost_are_listed_again():
    """Guards against entries that new ones cannot find after a restoration."""

    async def scenario():
        store = DistantStore()
        copy = store.copy()
        entries, tasks = [], []
        for port in range(1, 4):
            log = FakeLog()
            members = Members(
                store, DialedAddresses(), f"e{port}", "h", port, log, log.post
            )
            entries.append((members, log))
            tasks.append(asyncio.create_task(members.run()))
        await asyncio.sleep(5)
        store.restore(copy)
        for members, _ in entries:
            members.record_store_epoch(store.store_epoch)
        await asyncio.sleep(3)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return store, [log.events[-1].member_ids for _, log in entries]

    store, listed_ids = run_in_virtual_time(scenario())
    assert set(store.rows_by_table["members"]) == {"e1", "e2", "e3"}
    assert listed_ids == [{"e1", "e2", "e3"}] * 3
