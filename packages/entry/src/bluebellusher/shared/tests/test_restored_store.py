"""Copies of tables after the store was restored from an earlier copy of its rows."""

import asyncio
from random import Random

import pytest
from expression import Ok

from bluebellusher.ports import TableRows
from bluebellusher.shared import TableCopy, TableExchange, TableWatcher
from bluebellusher.shared.tests.fakes import DOWN, CutStore, FakeLog, FakeStore
from bluebellusher.shared.tests.virtual_time import LoopClock, run_in_virtual_time
from bluebellusher_core.directory import MirrorRow, TableMirror
from bluebellusher_core.wire import messages

# Time within which a change must be in the copy of an entry that reaches the store.
MAX_DELAY_S = 1.0


class WatchedTable:
    """Copy of the table ``t`` that a watcher keeps, and the values it reported."""

    def __init__(self, store):
        self.mirror = TableMirror("t")
        self.log = FakeLog()
        self.values = []
        self.copy = TableCopy(
            self.mirror, self._record_values, self._record_values, self.log
        )
        self.watcher = TableWatcher(
            store,
            self.copy,
            lambda _: None,
            LoopClock(),
            Random(1),
            self.log,
        )
        self.task = asyncio.create_task(self.watcher.run())

    def _record_values(self, rows):
        self.values.extend(row.value for row in rows)

    def value(self, key):
        """Return the value of a row of the copy, or None."""
        row = self.mirror.row_by_key.get(key)
        return row.value if row else None


def test_change_after_a_restoration_is_read_in_time():
    """Guards against copies that refuse all answers until versions have caught up."""

    async def scenario():
        store = FakeStore()
        store.put("t", "route", b"1")
        copy = store.copy()
        table = WatchedTable(store)
        for value in (b"2", b"3", b"4"):
            await asyncio.sleep(1)
            store.put("t", "route", value)
        await asyncio.sleep(1)
        store.restore(copy)
        store.put("t", "other", b"5")
        await asyncio.sleep(MAX_DELAY_S)
        assert table.value("other") == b"5"
        assert table.value("route") == b"1"
        table.task.cancel()

    run_in_virtual_time(scenario())


async def run_random_restorations(random, n_restorations):
    """Restore a store from random copies while it is written and read.

    Each copy is 1 to 18 s old, and each outage takes 0.2 to 6 s. Some watchers start in
    between. Returns the store and the watched tables, ``MAX_DELAY_S`` after the last
    restoration and write.
    """
    loop, store = asyncio.get_running_loop(), FakeStore()
    copies, tables = [], [WatchedTable(store)]

    async def write_for(seconds):
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            copies.append((loop.time(), store.copy()))
            is_removed = random.random() < 0.3
            value = b"" if is_removed else random.randbytes(2)
            store.put("t", random.choice("abcdef"), value, is_removed)
            await asyncio.sleep(random.uniform(0.01, 0.6))

    await write_for(random.uniform(2, 20))
    for _ in range(n_restorations):
        store.fault = DOWN
        outage_start_s = loop.time()
        await asyncio.sleep(random.uniform(0.2, 6))
        age_s = random.uniform(1, 18)
        candidates = [c for at_s, c in copies if at_s <= outage_start_s - age_s]
        store.restore(candidates[-1] if candidates else copies[0][1])
        store.fault = None
        if random.random() < 0.5:
            tables.append(WatchedTable(store))
        await write_for(random.choice([0.05, 0.5, 5.0]))
    await asyncio.sleep(MAX_DELAY_S)
    for table in tables:
        table.task.cancel()
    return store, tables


@pytest.mark.parametrize("n_restorations", [1, 2, 3])
def test_copies_equal_the_store_after_random_restorations(n_restorations):
    """Guards against rows that stay outdated, or are missing, for good."""
    for seed in range(40):
        store, tables = run_in_virtual_time(
            run_random_restorations(Random(seed), n_restorations)
        )
        expected = {k: r for k, r in store.rows_by_table["t"].items() if r.value}
        for table in tables:
            assert table.mirror.row_by_key == expected, f"seed {seed}"


class AnsweringStore(FakeStore):
    """Store whose answers to reads of changes are replaced by given ones, in turn."""

    def __init__(self, answers):
        super().__init__()
        self.answers = answers

    async def read_changes(self, table, above_version, wait_ms):
        """Return the next given answer, or that of the store when there is none."""
        await asyncio.sleep(0.01)
        if self.answers:
            return Ok(self.answers.pop(0))
        return await super().read_changes(table, above_version, wait_ms)


@pytest.mark.parametrize("late_epoch", [0, 1, 4])
def test_late_answer_of_an_earlier_store_epoch_changes_nothing(late_epoch):
    """Guards against an old answer, or one without the epoch, that reverts rows."""

    async def scenario():
        late_row = MirrorRow("route", 90, b"old")
        store = AnsweringStore([TableRows((late_row,), 90, late_epoch)])
        store.store_epoch = 5
        store.put("t", "route", b"new")
        table = WatchedTable(store)
        await asyncio.sleep(MAX_DELAY_S)
        assert table.value("route") == b"new"
        assert table.mirror.position == (5, 1)
        store.put("t", "route", b"newer")
        await asyncio.sleep(MAX_DELAY_S)
        assert table.value("route") == b"newer"
        table.task.cancel()

    run_in_virtual_time(scenario())


def test_changes_of_a_later_store_epoch_are_not_applied_to_an_older_copy():
    """Guards against missing rows when versions have caught up before the next read.

    The store knows the version of the copy again, so that it does not report that its
    history is lost.
    """

    async def scenario():
        store = FakeStore()
        store.put("t", "removed", b"1")
        copy = store.copy()
        for value in (b"2", b"3", b"4"):
            store.put("t", "lost", value)
        table = WatchedTable(store)
        await asyncio.sleep(0.5)
        store.fault = DOWN
        await asyncio.sleep(0.5)
        store.restore(copy)
        for value in (b"5", b"6", b"7", b"8"):
            store.put("t", "other", value)
        store.put("t", "removed", b"", is_removed=True)
        store.fault = None
        await asyncio.sleep(MAX_DELAY_S)
        assert set(table.mirror.row_by_key) == {"other"}
        table.task.cancel()

    run_in_virtual_time(scenario())


DIGEST_INTERVAL_S = 0.1


class ConnectedEntries:
    """Entries that read a store and exchange their copies with random delays."""

    def __init__(self, store, n_entries, random):
        self.store_by_id = {f"e{i}": CutStore(store) for i in range(n_entries)}
        self.table_by_id = {i: WatchedTable(s) for i, s in self.store_by_id.items()}
        self.exchange_by_id = {}
        self._random = random
        for own_id, table in self.table_by_id.items():
            exchange = TableExchange(EntryLinks(self, own_id), LoopClock())
            watcher = table.watcher
            exchange.add(table.copy, lambda w=watcher: w.is_store_available)
            self.exchange_by_id[own_id] = exchange
        self._task = asyncio.create_task(self._send_digests())

    async def _send_digests(self):
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S)
            for own_id, exchange in self.exchange_by_id.items():
                exchange.tick(LoopClock().now_ms())
                digest = messages.Digest(
                    version_by_table=exchange.versions(),
                    store_epoch_by_table=exchange.store_epochs(),
                )
                for peer_id in self.exchange_by_id:
                    if peer_id != own_id:
                        self.deliver(own_id, peer_id, digest)

    def deliver(self, own_id, peer_id, message):
        """Deliver a message after a random delay, so that messages overtake others."""
        peer = self.exchange_by_id[peer_id]
        receive = {
            messages.Digest: peer.on_digest,
            messages.TablePull: peer.on_pull,
            messages.TableDelta: peer.on_delta,
        }[type(message)]
        delay_s = self._random.choice([0.001, 0.05, 0.8])
        asyncio.get_running_loop().call_later(delay_s, receive, own_id, message)

    def stop(self):
        """Cancel all tasks."""
        self._task.cancel()
        for table in self.table_by_id.values():
            table.task.cancel()


class EntryLinks:
    """Links of one entry to its peers."""

    def __init__(self, entries, own_id):
        self._entries = entries
        self._own_id = own_id

    def send(self, peer_id, message):
        """Send a message to a peer."""
        self._entries.deliver(self._own_id, peer_id, message)


async def run_cut_entries(random):
    """Restore a store twice while some of four entries cannot reach it.

    One entry stays cut off. Returns the store and the copies at the end.
    """
    store = FakeStore()
    entries = ConnectedEntries(store, 4, random)
    cut_stores = list(entries.store_by_id.values())
    for _ in range(2):
        for _ in range(random.randrange(1, 8)):
            store.put("t", random.choice("abc"), random.randbytes(2))
            await asyncio.sleep(random.uniform(0.05, 0.5))
        copy = store.copy()
        for _ in range(random.randrange(1, 8)):
            store.put("t", random.choice("abcd"), random.randbytes(2))
            await asyncio.sleep(random.uniform(0.05, 0.5))
        for cut_store in cut_stores[1:]:
            cut_store.is_cut = random.random() < 0.6
        store.fault = DOWN
        await asyncio.sleep(random.uniform(0.1, 3))
        store.restore(copy)
        store.fault = None
        store.put("t", "written again", random.randbytes(2))
        await asyncio.sleep(random.uniform(0.1, 2))
    for cut_store in cut_stores[1:-1]:
        cut_store.is_cut = False
    cut_stores[-1].is_cut = True
    await asyncio.sleep(5)
    entries.stop()
    return store, entries


def test_entries_that_are_cut_off_follow_a_restored_store():
    """Guards against rows of an earlier store epoch that peers pass on.

    An entry that had applied them took all later answers of the store for stale ones.
    """
    for seed in range(60):
        store, entries = run_in_virtual_time(run_cut_entries(Random(seed)))
        for entry_id, table in entries.table_by_id.items():
            rows = table.mirror.row_by_key
            assert rows == store.rows_by_table["t"], f"seed {seed}, {entry_id}"
