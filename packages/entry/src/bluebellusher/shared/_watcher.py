"""Update of the copy of a table from the store."""

import asyncio
from collections.abc import Callable
from random import Random

from expression import Result

from bluebellusher.ports import RowStore, StoreError, TableRows
from bluebellusher.shared._copy import TableCopy
from bluebellusher.shared._log import LogSink
from bluebellusher_core.clock import Clock

# Time for which one call asks the store to wait for a change, in ms. An outage may
# swallow the call, and the entry then receives no changes until the call's timeout. A
# change must be in force 3 s after the outage. A shorter wait requires more calls.
CHANGES_WAIT_MS = 2_000
# The same, in the first seconds after the store was restored. Another outage must then
# be noticed before the grace time of endpoints ends that have not registered again.
RESTORED_WAIT_MS = 300
RESTORED_PERIOD_MS = 4_000
# Bounds of the delay before a failed call is retried, in ms.
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 500
# Time within which the store must answer the call after one that timed out, in ms, to
# show that only the connection of that call had failed. The store answers within
# milliseconds.
MAX_CONFIRMATION_MS = 300
# Delay after changes before the next call, in ms, so that one call returns several
# changes. Endpoints register one after the other when a deployment starts, and every
# entry reads each change. The delay is short because a change must be in force within
# 2 s.
CHANGE_BATCHING_MS = 150
# Delay before the table is read again after the store has lost the history of changes,
# in ms. A read immediately after the loss may be stale.
HISTORY_LOSS_PAUSE_MS = 150


class TableWatcher:
    """Read a table once and then its changes.

    The whole table is read again when the store no longer keeps the changes since the
    version of the copy, and when the store was restored from an earlier copy of its
    rows (``TableRows.store_epoch``).

    A call that times out shows only that its connection failed, because open
    connections may go silent while the store answers on new ones. The store counts as
    unavailable if the call after it fails too, or is not answered within
    ``MAX_CONFIRMATION_MS``.

    Parameters
    ----------
    store : RowStore
        Contains the table.
    copy : TableCopy
        Copy of the table to update.
    on_availability_change : callable
        Called with whether the store is available when that changes.
    clock : Clock
        Clock of the time of the store's last answer.
    random_state : random.Random
        Spreads the retries of many entries.
    log : LogSink
        Receives the log lines.
    wait_ms : int
        Time for which one call asks the store to wait for a change, in ms.

    Attributes
    ----------
    wait_ms : int
        Time for which the next call asks the store to wait for a change, in ms.
    asked_at_ms : int
        Start of the latest call that has ended, with an answer or an error, in
        monotonic ms; -1 before the first. A later answer cannot be older.
    """

    def __init__(
        self,
        store: RowStore,
        copy: TableCopy,
        on_availability_change: Callable[[bool], None],
        clock: Clock,
        random_state: Random,
        log: LogSink,
        wait_ms: int = CHANGES_WAIT_MS,
    ) -> None:
        self.mirror = copy.mirror
        self.is_store_available = False
        self.store_answered_at_ms = 0
        self.asked_at_ms = -1
        self._store = store
        self._copy = copy
        self._on_availability_change = on_availability_change
        self._clock = clock
        self._random_state = random_state
        self._log = log
        self.wait_ms = wait_ms
        self._needs_snapshot = True
        self._n_failures = 0
        self._watched_epoch: int | None = None
        self._restored_at_ms: int | None = None

    async def run(self) -> None:
        """Read the table and its changes until cancelled."""
        while True:
            self._record_store_epoch()
            asked_epoch = self.mirror.store_epoch
            asked_at_ms = self._clock.now_ms()
            result = await self._read()
            self._record_call(asked_at_ms)
            match result:
                case Result(tag="ok", ok=rows):
                    if rows.store_epoch < self.mirror.store_epoch:
                        await self._handle_error(self._make_outdated_error(rows))
                        continue
                    self._apply(rows, asked_epoch, asked_at_ms)
                    if rows.rows:
                        await self._wait_for_further_changes()
                case Result(error=error):
                    await self._handle_error(error)

    async def refresh(self) -> None:
        """Read the whole table at once, beside the call that waits for changes.

        An error is left to ``run``, which notices and logs it by its own call.
        """
        asked_at_ms = self._clock.now_ms()
        result = await self._store.read_table(self.mirror.table)
        match result:
            case Result(tag="ok", ok=rows):
                if rows.store_epoch >= self.mirror.store_epoch:
                    self._copy.replace(rows.rows, rows.version, rows.store_epoch)
        self._record_call(asked_at_ms)

    def _record_call(self, asked_at_ms: int) -> None:
        """Record a call that has ended."""
        self.asked_at_ms = max(self.asked_at_ms, asked_at_ms)

    async def _read(self) -> Result[TableRows, StoreError]:
        """Read the whole table if necessary, otherwise wait for changes.

        After a failure the call does not wait, so that it is soon known to have failed.
        """
        if self._needs_snapshot:
            return await self._store.read_table(self.mirror.table)
        wait_ms = 0 if self._n_failures else self._choose_wait_ms()
        version = self.mirror.version
        return await self._store.read_changes(self.mirror.table, version, wait_ms)

    def _choose_wait_ms(self) -> int:
        """Return the time for which the store waits for a change, in ms."""
        if self._restored_at_ms is None:
            return self.wait_ms
        is_recent = self._clock.now_ms() - self._restored_at_ms < RESTORED_PERIOD_MS
        return min(self.wait_ms, RESTORED_WAIT_MS) if is_recent else self.wait_ms

    def _record_store_epoch(self) -> None:
        """Record a restoration that the store or a peer has reported to the copy."""
        if not self.mirror.version or self.mirror.store_epoch == self._watched_epoch:
            return
        if self._watched_epoch is not None:
            self._restored_at_ms = self._clock.now_ms()
        self._watched_epoch = self.mirror.store_epoch

    def _make_outdated_error(self, table_rows: TableRows) -> StoreError:
        """Return the error for an answer from before the restoration of the store."""
        reason = (
            f"answer of store epoch {table_rows.store_epoch}:"
            f" expected {self.mirror.store_epoch} or above"
        )
        return StoreError("read-changes", reason)

    def _apply(self, table_rows: TableRows, asked_epoch: int, asked_at_ms: int) -> None:
        """Apply an answer of the store to the copy.

        Parameters
        ----------
        table_rows : TableRows
            Answer of the store.
        asked_epoch : int
            Store epoch of the version that was sent with the call.
        asked_at_ms : int
            Monotonic time at which the call was sent.
        """
        self._record_answer(asked_at_ms)
        if not self._needs_snapshot and table_rows.store_epoch != asked_epoch:
            # The version in the call belongs to another history, so that the changes
            # above it may not be complete.
            self._needs_snapshot = True
            return
        if self._needs_snapshot:
            self._needs_snapshot = False
            self._copy.replace(
                table_rows.rows, table_rows.version, table_rows.store_epoch
            )
        else:
            self._copy.apply(table_rows.rows, table_rows.version)

    async def _wait_for_further_changes(self) -> None:
        """Wait so that the next call returns several changes, which saves calls."""
        await asyncio.sleep(CHANGE_BATCHING_MS / 1000)

    async def _handle_error(self, error: StoreError) -> None:
        """Record a failed call and wait before the next one.

        Only the first failures of an outage are logged.
        """
        if error.is_history_lost:
            self._needs_snapshot = True
            self._log.log("store-history-lost", table=self.mirror.table)
            await asyncio.sleep(HISTORY_LOSS_PAUSE_MS / 1000)
            return
        is_first = not self._n_failures
        if self.is_store_available and is_first and error.is_unanswered:
            self._log.log("store-call-unanswered", table=self.mirror.table)
        elif self.is_store_available or is_first:
            self._report_lost(error.step, error.reason)
        self._n_failures += 1
        await asyncio.sleep(self._backoff_ms() / 1000)

    def _report_lost(self, step: str, reason: str) -> None:
        """Log and report that the store is unavailable."""
        self.is_store_available = False
        self._log.log(
            "store-lost",
            table=self.mirror.table,
            step=step,
            reason=reason,
            version=self.mirror.version,
        )
        self._on_availability_change(False)

    def _record_answer(self, asked_at_ms: int) -> None:
        """Record an answer of the store; report it if the store was unavailable."""
        self.store_answered_at_ms = self._clock.now_ms()
        took_ms = self.store_answered_at_ms - asked_at_ms
        if (
            self._n_failures
            and self.is_store_available
            and took_ms > MAX_CONFIRMATION_MS
        ):
            self._report_lost("read-changes", f"answer after {took_ms} ms")
        self._n_failures = 0
        if not self.is_store_available:
            self.is_store_available = True
            if self._restored_at_ms is not None:
                # Endpoints that a restored store lacked can register again only now.
                self._restored_at_ms = self.store_answered_at_ms
            version = self.mirror.version
            self._log.log("store-regained", table=self.mirror.table, version=version)
            self._on_availability_change(True)

    def _backoff_ms(self) -> float:
        """Return the delay before the next retry, in ms.

        It is random between half and all of a limit that doubles with each failure up
        to ``MAX_BACKOFF_MS``.
        """
        limit_ms = FIRST_BACKOFF_MS * 2 ** min(self._n_failures, 8)
        limit_ms = min(MAX_BACKOFF_MS, limit_ms)
        return limit_ms * (0.5 + self._random_state.random() / 2)
