"""In-memory store and log for tests of shared tables."""

import asyncio

from expression import Error, Ok

from bluebellusher.ports import StoredRow, StoreError, TableRows
from bluebellusher_core.directory import MirrorRow

# Time limit for a condition of a test, in s. The conditions take a few seconds at most.
MAX_WAIT_S = 10


async def wait_until(condition, clock=None):
    """Wait until a condition holds.

    Parameters
    ----------
    condition : callable
        Returns whether the condition holds.
    clock : ManualClock or None
        Clock to advance by 50 ms every 10 ms while waiting.

    Raises
    ------
    TimeoutError
        When the condition does not hold within ``MAX_WAIT_S`` seconds.
    """
    async with asyncio.timeout(MAX_WAIT_S):
        while not condition():
            if clock is not None:
                clock.advance(50)
            await asyncio.sleep(0.01)


class FakeStore:
    """Store with tables in memory.

    While ``fault`` is set, every call fails with it. While ``loses_answers`` is set,
    writes take effect but return an error. ``oldest_readable_version`` is the lowest
    version from which changes can still be read.
    """

    def __init__(self):
        self.rows_by_table = {}
        self.version = 0
        self.store_epoch = 0
        self.fault = None
        self.loses_answers = False
        self.n_calls = 0
        self.oldest_readable_version = 0
        self._changed = asyncio.Event()

    def put(self, table, key, value, is_removed=False):
        """Write a row without a condition, as another program does."""
        self.version += 1
        row = MirrorRow(key, self.version, value, is_removed)
        self.rows_by_table.setdefault(table, {})[key] = row
        self._changed.set()
        self._changed = asyncio.Event()
        return row

    def copy(self):
        """Return a copy of all rows, to which ``restore`` returns later."""
        return self.version, {t: dict(rows) for t, rows in self.rows_by_table.items()}

    def restore(self, copy):
        """Replace all rows and the version by those of a copy, as after a disaster."""
        self.version, rows_by_table = copy
        self.rows_by_table = {t: dict(rows) for t, rows in rows_by_table.items()}
        self.store_epoch += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _rows(self, table):
        return list(self.rows_by_table.get(table, {}).values())

    async def read_table(self, table):
        """Return all rows of a table."""
        self.n_calls += 1
        if self.fault is not None:
            return Error(self.fault)
        rows = tuple(r for r in self._rows(table) if not r.is_removed)
        return Ok(TableRows(rows, self.version, self.store_epoch))

    async def read_changes(self, table, above_version, wait_ms):
        """Return the changes above a version, or wait up to ``wait_ms`` for one."""
        self.n_calls += 1
        if self.fault is not None:
            return Error(self.fault)
        is_unknown = above_version > self.version
        if is_unknown or above_version < self.oldest_readable_version:
            return Error(StoreError("read-changes", "history", is_history_lost=True))
        rows = [r for r in self._rows(table) if r.version > above_version]
        if not rows:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
            rows = [r for r in self._rows(table) if r.version > above_version]
        if self.fault is not None:
            return Error(self.fault)
        return Ok(TableRows(tuple(rows), self.version, self.store_epoch))

    async def write_row(self, write):
        """Write a row if its version is the expected one; return the current row."""
        self.n_calls += 1
        if self.fault is not None:
            return Error(self.fault)
        current = self.rows_by_table.get(write.table, {}).get(write.key)
        if (current.version if current else 0) != write.expected_version:
            absent_row = MirrorRow(write.key, 0, b"", is_removed=True)
            return Ok(StoredRow(current or absent_row, self.store_epoch))
        row = self.put(write.table, write.key, write.value)
        if self.loses_answers:
            return Error(StoreError("write-row", "lost", may_have_run=True))
        return Ok(StoredRow(row, self.store_epoch))

    async def close(self):
        """Do nothing; there are no connections."""


class CutStore:
    """Access of one entry to a store, which fails while the entry is cut off."""

    def __init__(self, store):
        self.is_cut = False
        self._store = store

    async def read_table(self, table):
        """Return all rows of a table."""
        return Error(DOWN) if self.is_cut else await self._store.read_table(table)

    async def read_changes(self, table, above_version, wait_ms):
        """Return the changes above a version."""
        if self.is_cut:
            return Error(DOWN)
        result = await self._store.read_changes(table, above_version, wait_ms)
        return Error(DOWN) if self.is_cut else result


class FakeLog:
    """Log and event sink that collects log lines and events."""

    def __init__(self):
        self.lines = []
        self.events = []

    def log(self, name, **fields):
        """Collect a log line."""
        self.lines.append((name, fields))

    def post(self, event):
        """Collect an event."""
        self.events.append(event)

    def names(self):
        """Return the names of the collected log lines."""
        return [name for name, _ in self.lines]


DOWN = StoreError("read", "status 503")
