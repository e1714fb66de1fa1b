"""Copies of tables after the store was restored from an earlier copy of its rows."""

import asyncio
from random import Random

from bluebellusher.shared import TableWatcher
from bluebellusher.shared.tests.fakes import FakeLog, FakeStore
from bluebellusher.shared.tests.virtual_time import LoopClock, run_in_virtual_time
from bluebellusher_core.directory import TableMirror

# Time within which a change must be in the copy of an entry that reaches the store.
MAX_DELAY_S = 1.0


class WatchedTable:
    """Copy of the table ``t`` that a watcher keeps, and the values it reported."""

    def __init__(self, store):
        self.mirror = TableMirror("t")
        self.log = FakeLog()
        self.values = []
        self.watcher = TableWatcher(
            store,
            self.mirror,
            lambda rows: self.values.extend(row.value for row in rows),
            lambda _: None,
            LoopClock(),
            Random(1),
            self.log,
        )
        self.task = asyncio.create_task(self.watcher.run())

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
