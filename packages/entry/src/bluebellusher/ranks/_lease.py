"""A lease in the store, held by at most one entry."""

import asyncio
import json
from collections.abc import Callable

from expression import Result

from bluebellusher.ports import RowStore, RowWrite
from bluebellusher.shared import LogSink
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import MirrorRow
from bluebellusher_core.lease import LeaseRow, LeaseTracker, LeaseWrite

LEASES_TABLE = "leases"
# A group whose leader is gone keeps its map; a held step waits for the next leader.
TERM_MS = 3_000
RENEW_AFTER_MS = 1_000
GUARD_MS = 500
HOLDER_POLL_MS = 250
FOLLOWER_POLL_MS = 1_500


class LeaseKeeper:
    """Acquire and renew one lease as long as the process runs.

    Parameters
    ----------
    store : RowStore
        Keeps the lease.
    tracker : LeaseTracker
        Decides when to write.
    name : str
        Key of the lease's row.
    clock : Clock
        Measures terms.
    log : LogSink
        Takes log lines.
    is_held_elsewhere : callable
        Returns whether a connected entry says that it holds the lease; the store is
        then not asked.
    """

    def __init__(
        self,
        store: RowStore,
        tracker: LeaseTracker,
        name: str,
        clock: Clock,
        log: LogSink,
        is_held_elsewhere: Callable[[], bool],
    ) -> None:
        self._store = store
        self._tracker = tracker
        self._name = name
        self._clock = clock
        self._log = log
        self._is_held_elsewhere = is_held_elsewhere
        self._last_token: int | None = None
        self._is_released = False
        self._is_store_away = False
        self._last_led_token: int | None = None

    @classmethod
    def from_parts(
        cls,
        store: RowStore,
        name: str,
        holder_id: str,
        takeover_delay_ms: int,
        clock: Clock,
        log: LogSink,
        is_held_elsewhere: Callable[[], bool],
    ) -> "LeaseKeeper":
        """Return a keeper with the terms of this module."""
        tracker = LeaseTracker(
            name, holder_id, takeover_delay_ms, TERM_MS, RENEW_AFTER_MS, GUARD_MS
        )
        return cls(store, tracker, name, clock, log, is_held_elsewhere)

    @property
    def token(self) -> int | None:
        """Return the fencing token while the lease is held."""
        return self._tracker.held_token(self._clock.now_ms())

    @property
    def leading_token(self) -> int | None:
        """Return the token to lead with, also beyond the lease while the store is away.

        Nobody else can acquire the lease then, and a group without a leader keeps a
        map that no longer fits. Orders stay safe without the lease: another leader has
        a higher token, and agents refuse the lower one.
        """
        token = self.token
        if token is None and self._is_store_away and not self._is_released:
            return self._last_led_token
        return token

    def record_seen_token(self, token: int) -> None:
        """Stop leading when an agent has seen a higher token than the own one.

        Where the own lease is held nevertheless, the next write raises its token.
        """
        self._tracker.record_seen_token(token)
        if self._last_led_token is not None and token > self._last_led_token:
            self._last_led_token = None

    async def run(self) -> None:
        """Hold the lease whenever it is free, until cancelled."""
        while not self._is_released:
            if self.token is None and self._is_held_elsewhere():
                self._note_token()
                await asyncio.sleep(HOLDER_POLL_MS / 1000)
                continue
            if self.token is None:
                await self._observe()
            write = self._tracker.plan_write(self._clock.now_ms())
            if write is not None:
                await self._write(write)
            self._note_token()
            poll_ms = FOLLOWER_POLL_MS if self.token is None else HOLDER_POLL_MS
            await asyncio.sleep(poll_ms / 1000)

    async def release(self) -> None:
        """Let another entry acquire the lease at once; ``run`` ends."""
        self._is_released = True
        write = self._tracker.plan_release(self._clock.now_ms())
        if write is not None:
            await self._store.write_row(_to_write(write))
        self._note_token()

    async def _observe(self) -> None:
        result = await self._store.read_table(LEASES_TABLE)
        self._is_store_away = not result.is_ok()
        if not result.is_ok():
            return
        row = next((r for r in result.ok.rows if r.key == self._name), None)
        version = row.version if row else 0
        self._tracker.observe(version, self._read_row(row), self._clock.now_ms())

    async def _write(self, write: LeaseWrite) -> None:
        result = await self._store.write_row(_to_write(write))
        self._is_store_away = not result.is_ok()
        now_ms = self._clock.now_ms()
        match result:
            case Result(tag="ok", ok=row):
                found = self._read_row(row)
                if found == write.row:
                    self._tracker.write_succeeded(write, row.version, now_ms)
                else:
                    self._tracker.write_conflicted(write, row.version, found, now_ms)
            case Result(error=error):
                self._log.log(
                    "lease-write-failed", step=error.step, reason=error.reason
                )

    def _read_row(self, row: MirrorRow | None) -> LeaseRow | None:
        """Return who holds the lease; a row that cannot be read counts as free.

        Agents tell the tokens that they have seen, so that the next token is higher
        than that of the unreadable row.
        """
        if row is None or row.is_removed:
            return None
        try:
            holder, token, renewal = json.loads(row.value)
            return LeaseRow(str(holder), int(token), int(renewal))
        except (ValueError, TypeError) as error:
            self._log.log(
                "lease-unreadable",
                lease=self._name,
                row_version=row.version,
                reason=str(error),
            )
            return None

    def _note_token(self) -> None:
        token = self.token
        if token is not None:
            self._last_led_token = token
        if token != self._last_token:
            name = "lease-held" if token is not None else "lease-lost"
            shown = token if token is not None else self._last_token or 0
            is_leading = self.leading_token is not None
            self._log.log(name, lease=self._name, token=shown, is_leading=is_leading)
            self._last_token = token


def _to_write(write: LeaseWrite) -> RowWrite:
    row = write.row
    value = json.dumps([row.holder, row.fencing_token, row.renewal]).encode()
    return RowWrite(LEASES_TABLE, write.name, value, write.row_version)
