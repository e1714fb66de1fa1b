"""Keeping the copy of one table up to date from the store."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from expression import Result

from bluebellusher.ports import RowStore, StoreError, TableRows
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import MirrorRow, TableMirror

# A wait whose answer is lost hears nothing more, and a change must be in force 2 s
# after a disturbance of up to 3 s; a shorter wait costs calls.
WAIT_MS = 2_500
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 500
# Endpoints register one after the other when a deployment starts, and every entry
# follows them; a change may take 2 s to be in force.
GATHER_MS = 150
# A read right after a loss of history may be stale.
STALE_READ_PAUSE_MS = 150


class LogSink(Protocol):
    """Takes log lines."""

    def log(self, name: str, **fields: str | int | float) -> None:
        """Write one log line."""


class TableWatcher:
    """Read a table once, then follow its changes; start over when they are lost.

    Parameters
    ----------
    store : RowStore
        Where the table is kept.
    mirror : TableMirror
        The copy to keep up to date.
    on_news : callable
        Receives the rows that are new to the copy.
    on_contact : callable
        Told whether the store answers, whenever that changes.
    clock : Clock
        Times the contact.
    random_state : random.Random
        Spreads the retries of many entries.
    log : LogSink
        Takes log lines.
    wait_ms : int
        How long the store is asked to wait for a change.
    """

    def __init__(
        self,
        store: RowStore,
        mirror: TableMirror,
        on_news: Callable[[list[MirrorRow]], None],
        on_contact: Callable[[bool], None],
        clock: Clock,
        random_state: Random,
        log: LogSink,
        wait_ms: int = WAIT_MS,
    ) -> None:
        self.mirror = mirror
        self.is_in_contact = False
        self.contact_at_ms = 0
        self._store = store
        self._on_news = on_news
        self._on_contact = on_contact
        self._clock = clock
        self._random_state = random_state
        self._log = log
        self._wait_ms = wait_ms
        self._needs_snapshot = True
        self._n_failures = 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            result = await self._read()
            match result:
                case Result(tag="ok", ok=rows):
                    self._take(rows)
                    if rows.rows:
                        await self._pause_after_news()
                case Result(error=error):
                    await self._fail(error)

    async def _read(self) -> Result[TableRows, StoreError]:
        if self._needs_snapshot:
            return await self._store.read_table(self.mirror.table)
        version = self.mirror.version
        return await self._store.read_changes(self.mirror.table, version, self._wait_ms)

    def _take(self, found: TableRows) -> None:
        self._note_contact()
        if self._needs_snapshot:
            news = self.mirror.replace(found.rows, found.version)
            self._needs_snapshot = False
        else:
            news = self.mirror.apply(found.rows, found.version)
        if news:
            self._on_news(news)

    async def _pause_after_news(self) -> None:
        """Let changes that come together be read together, which saves calls."""
        await asyncio.sleep(GATHER_MS / 1000)

    async def _fail(self, error: StoreError) -> None:
        if error.is_history_lost:
            self._needs_snapshot = True
            self._log.log("store-history-lost", table=self.mirror.table)
            await asyncio.sleep(STALE_READ_PAUSE_MS / 1000)
            return
        if self.is_in_contact or not self._n_failures:
            self.is_in_contact = False
            self._log.log(
                "store-lost",
                table=self.mirror.table,
                step=error.step,
                reason=error.reason,
                version=self.mirror.version,
            )
            self._on_contact(False)
        self._n_failures += 1
        await asyncio.sleep(self._backoff_ms() / 1000)

    def _note_contact(self) -> None:
        self.contact_at_ms = self._clock.now_ms()
        self._n_failures = 0
        if not self.is_in_contact:
            self.is_in_contact = True
            version = self.mirror.version
            self._log.log("store-regained", table=self.mirror.table, version=version)
            self._on_contact(True)

    def _backoff_ms(self) -> float:
        limit_ms = FIRST_BACKOFF_MS * 2 ** min(self._n_failures, 8)
        limit_ms = min(MAX_BACKOFF_MS, limit_ms)
        return limit_ms * (0.5 + self._random_state.random() / 2)
