"""A store and a log for tests of shared tables."""

import asyncio

from expression import Error, Ok

from bluebellusher.ports import StoreError, TableRows
from bluebellusher_core.directory import MirrorRow

# No condition of these tests takes longer than a few seconds.
MAX_WAIT_S = 10


async def until(condition, clock=None):
    """Wait until a condition holds; a given clock goes on meanwhile.

    Raises ``TimeoutError`` after ``MAX_WAIT_S`` seconds.
    """
    async with asyncio.timeout(MAX_WAIT_S):
        while not condition():
            if clock is not None:
                clock.advance(50)
            await asyncio.sleep(0.01)


class FakeStore:
    """Tables in memory; ``fault`` makes every call fail."""

    def __init__(self):
        self.rows_by_table = {}
        self.version = 0
        self.fault = None
        self.loses_answers = False
        self.n_calls = 0
        self.oldest_kept = 0
        self._changed = asyncio.Event()

    def put(self, table, key, value, is_removed=False):
        """Write a row as another program does."""
        self.version += 1
        row = MirrorRow(key, self.version, value, is_removed)
        self.rows_by_table.setdefault(table, {})[key] = row
        self._changed.set()
        self._changed = asyncio.Event()
        return row

    def _rows(self, table):
        return list(self.rows_by_table.get(table, {}).values())

    async def read_table(self, table):
        """Return all rows."""
        self.n_calls += 1
        if self.fault is not None:
            return Error(self.fault)
        rows = tuple(r for r in self._rows(table) if not r.is_removed)
        return Ok(TableRows(rows, self.version))

    async def read_changes(self, table, above_version, wait_ms):
        """Return changes, or wait for one."""
        self.n_calls += 1
        if self.fault is not None:
            return Error(self.fault)
        if above_version < self.oldest_kept:
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
        return Ok(TableRows(tuple(rows), self.version))

    async def write_row(self, write):
        """Write under a condition."""
        self.n_calls += 1
        if self.fault is not None:
            return Error(self.fault)
        known = self.rows_by_table.get(write.table, {}).get(write.key)
        if (known.version if known else 0) != write.expected_version:
            return Ok(known or MirrorRow(write.key, 0, b"", is_removed=True))
        row = self.put(write.table, write.key, write.value)
        if self.loses_answers:
            return Error(StoreError("write-row", "lost", may_have_run=True))
        return Ok(row)

    async def close(self):
        """Nothing is open."""


class FakeLog:
    """Keeps log lines and events."""

    def __init__(self):
        self.lines = []
        self.events = []

    def log(self, name, **fields):
        """Keep a line."""
        self.lines.append((name, fields))

    def post(self, event):
        """Keep an event."""
        self.events.append(event)

    def names(self):
        """Return the names of the lines."""
        return [name for name, _ in self.lines]


DOWN = StoreError("read", "status 503")
