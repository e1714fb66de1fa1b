"""Tests that crash records survive restarts of entries and faults of the store."""

import asyncio
from random import Random

from bluebellusher.shared import CRASH_TABLE, CrashTable
from bluebellusher.shared._crashes import CRASH_ROW_KEY, N_MAX_STORED_FINGERPRINTS
from bluebellusher.shared.tests.fakes import DOWN, FakeLog, FakeStore, wait_until
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.directory import TableMirror
from bluebellusher_core.poison import CRASH_MAX_AGE_MS, Crash, CrashCounter, CrashRecord

# Size limit of a row in the store, in bytes, which applies before the encoding for
# transport.
MAX_ROW_BYTES = 65_536


class Entry:
    """Components of an entry that record crashes."""

    def __init__(self, store, clock):
        self.log = FakeLog()
        self.counter = CrashCounter()
        self.store = store
        self.clock = clock
        self.mirror = TableMirror(CRASH_TABLE)
        self.table = CrashTable(
            store,
            self.mirror,
            lambda: self.counter.records(clock.now_ms()),
            self.merge_received,
            clock,
            Random(1),
            self.log,
        )
        self.task = asyncio.create_task(self.table.run())

    def merge_received(self, event):
        """Merge received crash records, as the reducer does."""
        for record in event.records:
            self.counter.merge(record, self.clock.now_ms())

    def record_crashes(self, fingerprint, n_crashes, sound_age_ms=None):
        """Record crashes of a fingerprint that this entry observed."""
        now_ms = self.clock.now_ms()
        crashes = tuple(Crash(f"x{i}@1", 20, 10) for i in range(n_crashes))
        self.counter.merge(CrashRecord(fingerprint, crashes, sound_age_ms), now_ms)
        self.table.schedule_own_write()

    async def start(self):
        """Read the crash table from the store; return the entry."""
        stored = (await self.store.read_table(CRASH_TABLE)).ok
        self.table.post_stored_crashes(self.mirror.replace(stored.rows, stored.version))
        return self

    def count(self, fingerprint):
        """Return the number of recorded crashes of a fingerprint."""
        return self.counter.count(fingerprint, self.clock.now_ms())


def run(scenario):
    """Run a scenario with a store and a clock, then cancel the tasks it started."""

    async def main():
        await scenario(FakeStore(), ManualClock(1_000_000))
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    asyncio.run(main())


def get_stored_row(store):
    """Return the stored row of the crash table, or None."""
    return store.rows_by_table.get(CRASH_TABLE, {}).get(CRASH_ROW_KEY)


def test_entry_that_starts_alone_knows_which_parts_had_output_before_their_crash():
    """Guards against frequent prompt parts that all new entries take for new ones."""

    async def scenario(store, clock):
        entry = Entry(store, clock)
        entry.record_crashes("part:frequent", 1, sound_age_ms=5_000)
        entry.record_crashes("part:new", 1)
        await wait_until(lambda: get_stored_row(store), clock)
        clock.advance(4_000)
        later_entry = await Entry(store, clock).start()
        assert later_entry.count("part:frequent") == 1
        assert later_entry.counter.has_completed("part:frequent")
        assert later_entry.counter.count("part:new", clock.now_ms()) == 1
        assert not later_entry.counter.has_completed("part:new")

    run(scenario)


def test_entry_that_starts_alone_reads_the_crashes_of_earlier_entries():
    """Guards against a blocked request that runs again after all entries ended."""

    async def scenario(store, clock):
        (await Entry(store, clock).start()).record_crashes("f", 3)
        await wait_until(lambda: get_stored_row(store), clock)
        clock.advance(CRASH_MAX_AGE_MS // 2)
        assert (await Entry(store, clock).start()).count("f") == 3
        clock.advance(CRASH_MAX_AGE_MS // 2)
        assert (await Entry(store, clock).start()).count("f") == 0

    run(scenario)


def test_concurrent_writes_lose_no_crashes():
    """Guards against crash records that a concurrent write overwrites."""

    async def scenario(store, clock):
        first = await Entry(store, clock).start()
        second = await Entry(store, clock).start()
        first.record_crashes("f", 2)
        second.record_crashes("g", 1)
        await wait_until(lambda: _has_both(get_stored_row(store)), clock)
        third = await Entry(store, clock).start()
        assert (third.count("f"), third.count("g")) == (2, 1)

    run(scenario)


def _has_both(row):
    """Return whether a row contains the crashes of ``f`` and ``g``."""
    return row is not None and b'"f"' in row.value and b'"g"' in row.value


def test_crash_is_stored_when_the_store_is_available_again():
    """Guards against crashes that are lost because the store was unavailable."""

    async def scenario(store, clock):
        entry = await Entry(store, clock).start()
        store.fault = DOWN
        entry.record_crashes("f", 2)
        await wait_until(lambda: "crashes-not-stored" in entry.log.names(), clock)
        store.fault = None
        await wait_until(lambda: get_stored_row(store), clock)

    run(scenario)


def test_lost_answer_of_the_store_causes_no_further_writes():
    """Guards against repeated writes of records that are already stored."""

    async def scenario(store, clock):
        entry = await Entry(store, clock).start()
        store.loses_answers = True
        entry.record_crashes("f", 2)
        await wait_until(lambda: get_stored_row(store), clock)
        store.loses_answers = False
        await wait_until(
            lambda: get_stored_row(store).version in _list_versions(entry), clock
        )
        n_calls = store.n_calls
        for _ in range(20):
            clock.advance(1_000)
            await asyncio.sleep(0.01)
        assert store.n_calls == n_calls

    run(scenario)


def _list_versions(entry):
    """Return the versions of the rows in an entry's copy."""
    return {row.version for row in entry.mirror.row_by_key.values()}


def test_entries_with_the_same_crashes_write_them_once():
    """Guards against a write by every entry for each crash."""

    async def scenario(store, clock):
        entries = [await Entry(store, clock).start() for _ in range(8)]
        entries[0].record_crashes("f", 1)
        await wait_until(lambda: get_stored_row(store), clock)
        n_calls = store.n_calls
        for entry in entries[1:]:
            await entry.start()
            entry.table.schedule_peer_write()
        for _ in range(20):
            clock.advance(1_000)
            await asyncio.sleep(0.01)
        assert store.n_calls == n_calls + len(entries) - 1, "one read each"

    run(scenario)


def test_completed_run_clears_stored_crashes():
    """Guards against a cleared block that is restored from the store at a restart."""

    async def scenario(store, clock):
        entry = await Entry(store, clock).start()
        entry.record_crashes("f", 3)
        await wait_until(lambda: get_stored_row(store), clock)
        version = get_stored_row(store).version
        clock.advance(100)
        entry.counter.clear("f", clock.now_ms())
        entry.table.schedule_own_write()
        await wait_until(lambda: get_stored_row(store).version > version, clock)
        assert not (await Entry(store, clock).start()).count("f")

    run(scenario)


def test_unreadable_row_is_replaced():
    """Guards against crashes that are never stored after another program's write."""

    async def scenario(store, clock):
        store.put(CRASH_TABLE, CRASH_ROW_KEY, b"\xff{")
        entry = await Entry(store, clock).start()
        assert "crashes-unreadable" in entry.log.names()
        entry.record_crashes("f", 2)
        await wait_until(lambda: get_stored_row(store).version > 1, clock)
        assert (await Entry(store, clock).start()).count("f") == 2

    run(scenario)


def test_row_stays_within_the_size_limit_of_the_store():
    """Guards against a row above the size limit, which the store would refuse.

    The fingerprints with the most crashes are stored.
    """

    async def scenario(store, clock):
        entry = await Entry(store, clock).start()
        entry.record_crashes("f" * 32, 3)
        for i in range(2 * N_MAX_STORED_FINGERPRINTS):
            entry.record_crashes(f"{i:032}", 1)
        await wait_until(lambda: get_stored_row(store), clock)
        assert len(get_stored_row(store).value) < MAX_ROW_BYTES
        assert (await Entry(store, clock).start()).count("f" * 32) == 3

    run(scenario)


def test_row_with_many_crashes_of_each_fingerprint_stays_within_the_size_limit():
    """Guards against crashes that are never stored because their row is too long.

    Ranks that crash again and again break all requests of their group each time.
    """

    async def scenario(store, clock):
        entry = await Entry(store, clock).start()
        for i in range(N_MAX_STORED_FINGERPRINTS):
            entry.record_crashes(f"{i:032}", 9)
        await wait_until(lambda: get_stored_row(store), clock)
        assert len(get_stored_row(store).value) < MAX_ROW_BYTES

    run(scenario)


def test_crashes_that_a_restored_store_has_lost_are_written_again():
    """Guards against a blocked request that runs again after all entries ended.

    The store was restored before that from a copy without the crashes. The watcher of
    the table has not noticed it, because its call waits for a change.
    """

    async def scenario(store, clock):
        store.put("other", "row", b"")
        copy = store.copy()
        entry = await Entry(store, clock).start()
        entry.record_crashes("f", 3)
        await wait_until(lambda: get_stored_row(store), clock)
        store.restore(copy)
        entry.table.record_store_epoch(store.store_epoch)
        await wait_until(lambda: get_stored_row(store), clock)
        assert (await Entry(store, clock).start()).count("f") == 3

    run(scenario)


def test_late_write_to_a_restored_store_loses_no_crashes():
    """Guards against crashes that a write from before the restoration overwrites.

    Its condition holds by chance, as versions are assigned again.
    """

    async def scenario(store, clock):
        entry = await Entry(store, clock).start()
        copy = store.copy()
        entry.record_crashes("f", 3)
        await wait_until(lambda: get_stored_row(store), clock)
        store.restore(copy)
        entry.table.record_store_epoch(store.store_epoch)
        await wait_until(lambda: get_stored_row(store), clock)
        late_row = store.put(CRASH_TABLE, CRASH_ROW_KEY, b"{}")
        entry.table.post_stored_crashes(entry.mirror.apply([late_row], store.version))
        await wait_until(lambda: get_stored_row(store).value != b"{}", clock)
        assert (await Entry(store, clock).start()).count("f") == 3

    run(scenario)


def test_crashes_are_stored_when_an_answer_shows_the_restoration():
    """Guards against a copy of the table that mixes rows of two store epochs."""

    async def scenario(store, clock):
        entry = await Entry(store, clock).start()
        entry.record_crashes("f", 3)
        await wait_until(lambda: get_stored_row(store), clock)
        copy = store.copy()
        entry.record_crashes("g", 3)
        await wait_until(lambda: b'"g"' in get_stored_row(store).value, clock)
        store.restore(copy)
        entry.record_crashes("h", 3)
        await wait_until(lambda: b'"h"' in get_stored_row(store).value, clock)
        assert entry.mirror.store_epoch == store.store_epoch
        later_entry = await Entry(store, clock).start()
        assert [later_entry.count(name) for name in "fgh"] == [3, 3, 3]

    run(scenario)
