"""Lease in the store, held by at most one entry at a time."""

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
# Duration of the lease. After the failure of a leader, groups keep their maps and held
# steps are not released until another entry has acquired the lease.
TERM_MS = 3_000
# Time after which the holder renews the lease.
RENEW_AFTER_MS = 1_000
# Time that other entries wait after the lease has expired, because clocks run at
# different rates.
GUARD_MS = 500
# Interval at which the holder checks whether it must renew the lease, and at which the
# other entries check whether a connected entry still reports that it holds the lease.
HOLDER_POLL_MS = 250
# Interval at which an entry reads the lease from the store while no connected entry
# reports that it holds the lease.
FOLLOWER_POLL_MS = 1_500


class LeaseKeeper:
    """Background task that acquires and renews one lease while the process runs.

    Parameters
    ----------
    store : RowStore
        Store that contains the lease.
    tracker : LeaseTracker
        State machine that decides when to write the lease.
    name : str
        Key of the lease's row.
    clock : Clock
        Source of monotonic time.
    log : LogSink
        Receives log events.
    is_held_elsewhere : callable
        Returns whether a connected entry reports that it holds the lease. The lease is
        not read from the store then.
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
        self._last_logged_token: int | None = None
        self._is_released = False
        self._is_store_unavailable = False
        self._last_leading_token: int | None = None

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
        """Return a keeper whose lease has the durations defined in this module.

        Parameters
        ----------
        store : RowStore
            Store that contains the lease.
        name : str
            Key of the lease's row.
        holder_id : str
            Instance id and incarnation of this entry, separated by a slash.
        takeover_delay_ms : int
            Additional time to wait before a free or expired lease is acquired.
        clock : Clock
            Source of monotonic time.
        log : LogSink
            Receives log events.
        is_held_elsewhere : callable
            Returns whether a connected entry reports that it holds the lease.
        """
        tracker = LeaseTracker(
            name, holder_id, takeover_delay_ms, TERM_MS, RENEW_AFTER_MS, GUARD_MS
        )
        return cls(store, tracker, name, clock, log, is_held_elsewhere)

    @property
    def token(self) -> int | None:
        """Fencing token of the lease; None when this entry does not hold it."""
        return self._tracker.held_token(self._clock.now_ms())

    @property
    def leading_token(self) -> int | None:
        """Fencing token of the leader; None when this entry does not lead.

        While the store is unavailable, an entry whose lease has expired continues to
        lead. No other entry can acquire the lease, and a group without a leader would
        keep a map that no longer suits its load. Orders remain safe without the lease:
        another leader would have a higher token, and agents refuse the lower one.
        """
        token = self.token
        if token is None and self._is_store_unavailable and not self._is_released:
            return self._last_leading_token
        return token

    def record_seen_token(self, token: int) -> None:
        """Record a fencing token that an agent has accepted.

        A token above that of this entry belongs to another leader. If the lease of this
        entry has expired, the entry then stops leading. If it still holds the lease,
        its next write raises the token of the lease.
        """
        self._tracker.record_seen_token(token)
        if self._last_leading_token is not None and token > self._last_leading_token:
            self._last_leading_token = None

    async def run(self) -> None:
        """Acquire the lease when it is free, and renew it, until released or cancelled.

        While a connected entry reports that it holds the lease, this entry does not
        read the lease from the store.
        """
        while not self._is_released:
            if self.token is None and self._is_held_elsewhere():
                self._record_token()
                await asyncio.sleep(HOLDER_POLL_MS / 1000)
                continue
            if self.token is None:
                await self._read_lease()
            write = self._tracker.plan_write(self._clock.now_ms())
            if write is not None:
                await self._write_lease(write)
            self._record_token()
            await asyncio.sleep(self._choose_poll_ms() / 1000)

    def _choose_poll_ms(self) -> int:
        """Return the time until the lease is next renewed or read from the store."""
        if self.token is not None:
            return HOLDER_POLL_MS
        acquire_ms = self._tracker.next_acquire_ms(self._clock.now_ms())
        if acquire_ms is None:
            return FOLLOWER_POLL_MS
        # A lease that can be acquired now was refused to this entry just before.
        return min(FOLLOWER_POLL_MS, acquire_ms or FOLLOWER_POLL_MS)

    async def release(self) -> None:
        """End ``run``, and release the lease so that another entry can acquire it."""
        self._is_released = True
        write = self._tracker.plan_release(self._clock.now_ms())
        if write is not None:
            await self._store.write_row(_to_write(write))
        self._record_token()

    async def _read_lease(self) -> None:
        """Read the lease from the store and pass it to the tracker."""
        result = await self._store.read_table(LEASES_TABLE)
        self._is_store_unavailable = not result.is_ok()
        if not result.is_ok():
            return
        row = next((r for r in result.ok.rows if r.key == self._name), None)
        version = row.version if row else 0
        self._tracker.observe(
            version,
            self._decode_row(row),
            self._clock.now_ms(),
            result.ok.store_epoch,
        )

    async def _write_lease(self, write: LeaseWrite) -> None:
        """Write the lease to the store and pass the result to the tracker."""
        result = await self._store.write_row(_to_write(write))
        self._is_store_unavailable = not result.is_ok()
        now_ms = self._clock.now_ms()
        match result:
            case Result(tag="ok", ok=stored):
                version, epoch = stored.row.version, stored.store_epoch
                stored_row = self._decode_row(stored.row)
                if stored_row == write.row:
                    self._tracker.write_succeeded(write, version, now_ms, epoch)
                else:
                    self._tracker.write_conflicted(
                        write, version, stored_row, now_ms, epoch
                    )
            case Result(error=error):
                self._log.log(
                    "lease-write-failed", step=error.step, reason=error.reason
                )

    def _decode_row(self, row: MirrorRow | None) -> LeaseRow | None:
        """Return the content of the lease's row; None for a free lease.

        A row that cannot be decoded is logged and treated as a free lease. Agents
        report the highest token that they have accepted, so that the next token is
        higher than that of the damaged row.
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

    def _record_token(self) -> None:
        """Store the current token, and log when the lease was acquired or lost."""
        token = self.token
        if token is not None:
            self._last_leading_token = token
        if token != self._last_logged_token:
            event_name = "lease-held" if token is not None else "lease-lost"
            logged_token = token if token is not None else self._last_logged_token or 0
            is_leading = self.leading_token is not None
            self._log.log(
                event_name, lease=self._name, token=logged_token, is_leading=is_leading
            )
            self._last_logged_token = token


def _to_write(write: LeaseWrite) -> RowWrite:
    """Return the write of the table row that corresponds to a write of the lease."""
    row = write.row
    value = json.dumps([row.holder, row.fencing_token, row.renewal]).encode()
    return RowWrite(LEASES_TABLE, write.name, value, write.row_version)
