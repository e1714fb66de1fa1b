"""Crash records of all entries in a table of the store.

Entries announce crashes to their peers immediately. The table serves entries that start
while no peer runs, and entries that can reach the store but no peer.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from bluebellusher.ports import RowStore, RowWrite
from bluebellusher.shared._copy import TableCopy
from bluebellusher.shared._log import LogSink
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import MirrorRow, TableMirror
from bluebellusher_core.events import STORE_SOURCE, CrashesReceived
from bluebellusher_core.poison import CRASH_MAX_AGE_MS, Crash, CrashRecord

CRASH_TABLE = "crashes"
CRASH_ROW_KEY = "recent"
# Upper bound of the stored fingerprints, and of the bytes of their crashes. A row has
# at most 65,536 bytes, and a fingerprint with three crashes and a completed run takes
# about 310 bytes.
N_MAX_STORED_FINGERPRINTS = 180
MAX_STORED_BYTES = 60_000
# Upper bounds of the encoded bytes of a fingerprint with its completed run, and of a
# crash without its start id.
_FINGERPRINT_BYTES = 120
_CRASH_BYTES = 72
# Least delay before an entry writes a crash that a peer announced, in ms. The peer
# itself normally writes the crash within this time.
MIN_PEER_WRITE_DELAY_MS = 3_000
# Upper bound of the random delay before an entry writes a crash that it observed, in
# ms. It spreads the writes of entries that observed the same crash.
MAX_OWN_WRITE_DELAY_MS = 200
# Upper bound of the random delay before an entry writes its records to a restored
# store, in ms. Usually the first entry writes the records of all.
MAX_RESTORED_WRITE_DELAY_MS = 1_000
# Delay before the table is checked again after it was restored, in ms. A write from
# before the restoration whose condition still holds may be carried out 6 s late.
RESTORED_CHECK_DELAY_MS = 7_000
# Delay before a write is retried that failed or met a conflict, in ms.
RETRY_INTERVAL_MS = 1_000


class _StoredCrash(BaseModel):
    """Crash of one start of an endpoint.

    ``sent_at`` and ``broken_at`` are the Unix times, in ms, at which the run was sent
    and at which it broke.
    """

    model_config = ConfigDict(frozen=True)

    start_id: str
    sent_at: int
    broken_at: int


class _StoredTable(BaseModel):
    """Value of the table's only row.

    ``sound_at_by_fingerprint`` contains the Unix time, in ms, of the last completed run
    before the crashes, where there was one. Entries that have forgotten which prompt
    parts are in use read it from here.
    """

    model_config = ConfigDict(frozen=True)

    crashes_by_fingerprint: dict[str, tuple[_StoredCrash, ...]] = Field(
        default_factory=dict
    )
    sound_at_by_fingerprint: dict[str, int] = Field(default_factory=dict)


class CrashTable:
    """Merge the crash records of this entry with those of the store, in both places.

    Parameters
    ----------
    store : RowStore
        Contains the table.
    mirror : TableMirror
        Copy of the table, which a watcher updates.
    find_records : callable
        Returns the crash records of this entry.
    post : callable
        Receives ``CrashesReceived``.
    clock : Clock
        Clock of the delays. Its wall time converts ages to Unix times and back; only
        differences of a few minutes are computed from it.
    random_state : random.Random
        Spreads the writes of entries that observed the same crash.
    log : LogSink
        Receives the log lines.
    """

    def __init__(
        self,
        store: RowStore,
        mirror: TableMirror,
        find_records: Callable[[], tuple[CrashRecord, ...]],
        post: Callable[[CrashesReceived], None],
        clock: Clock,
        random_state: Random,
        log: LogSink,
    ) -> None:
        self.copy = TableCopy(
            mirror, self.post_stored_crashes, self._receive_restored_rows, log
        )
        self._store = store
        self._mirror = mirror
        self._find_records = find_records
        self._post = post
        self._clock = clock
        self._random_state = random_state
        self._log = log
        self._known_store_epoch = 0
        self._needs_check = False
        self._schedule_changed = asyncio.Event()
        self._write_due_ms: int | None = None

    def post_stored_crashes(self, rows: Iterable[MirrorRow]) -> None:
        """Post the crash records in changed rows of the table."""
        for row in rows:
            if row.key == CRASH_ROW_KEY and not row.is_removed:
                table = self._read_table(row)
                records = tuple(
                    _to_record(
                        fingerprint,
                        crashes,
                        table.sound_at_by_fingerprint.get(fingerprint),
                        self._clock.wall_ms(),
                    )
                    for fingerprint, crashes in table.crashes_by_fingerprint.items()
                )
                self._post(CrashesReceived(STORE_SOURCE, records))

    def _receive_restored_rows(self, rows: list[MirrorRow]) -> None:
        """Post the records of a restored store, and schedule a write to it.

        The store has lost the crashes that were written after its copy.
        """
        self.post_stored_crashes(rows)
        self.record_store_epoch(self._mirror.store_epoch)

    def record_store_epoch(self, store_epoch: int) -> None:
        """Record the store epoch of another table; schedule a write if it is later.

        The watcher of this table may learn of the restoration many seconds later.
        """
        if store_epoch <= self._known_store_epoch:
            return
        self._known_store_epoch = store_epoch
        self._needs_check = True
        delay_ms = self._random_state.randrange(MAX_RESTORED_WRITE_DELAY_MS)
        self._schedule_write_after(delay_ms)

    def schedule_own_write(self) -> None:
        """Schedule a write of crashes that this entry observed.

        The write is due within ``MAX_OWN_WRITE_DELAY_MS``.
        """
        self._schedule_write_after(self._random_state.randrange(MAX_OWN_WRITE_DELAY_MS))

    def schedule_peer_write(self) -> None:
        """Schedule a write of crashes that a peer announced.

        The write is due after at least ``MIN_PEER_WRITE_DELAY_MS`` and makes no call
        when the peer has stored the crashes itself.
        """
        spread_ms = self._random_state.randrange(MIN_PEER_WRITE_DELAY_MS)
        self._schedule_write_after(MIN_PEER_WRITE_DELAY_MS + spread_ms)

    def _schedule_write_after(self, delay_ms: int) -> None:
        """Schedule a write after ``delay_ms`` unless an earlier one is scheduled."""
        due_ms = self._clock.now_ms() + delay_ms
        if self._write_due_ms is None or due_ms < self._write_due_ms:
            self._write_due_ms = due_ms
            self._schedule_changed.set()

    async def run(self) -> None:
        """Write scheduled changes to the store, and retry failed writes.

        Runs until it is cancelled.
        """
        while True:
            self._schedule_changed.clear()
            if self._write_due_ms is None:
                await self._schedule_changed.wait()
                continue
            remaining_ms = self._write_due_ms - self._clock.now_ms()
            if remaining_ms > 0:
                await self._wait_for_schedule_change(remaining_ms)
                continue
            self._write_due_ms = None
            if not await self._write():
                self._schedule_write_after(RETRY_INTERVAL_MS)
            elif self._needs_check:
                self._needs_check = False
                self._schedule_write_after(RESTORED_CHECK_DELAY_MS)

    async def _wait_for_schedule_change(self, timeout_ms: int) -> None:
        """Wait until the schedule changes or ``timeout_ms`` has passed."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._schedule_changed.wait()
        except TimeoutError:
            # The scheduled write is due.
            return

    async def _write(self) -> bool:
        """Write the merged records once; return whether the store contains them now."""
        if self._known_store_epoch > self._mirror.store_epoch:
            await self._read_restored_table()
        if self._known_store_epoch > self._mirror.store_epoch:
            return False
        row = self._mirror.row_by_key.get(CRASH_ROW_KEY)
        stored = self._read_table(row) if row is not None else _StoredTable()
        table = merge_records(stored, self._find_records(), self._clock.wall_ms())
        if table == stored:
            return True
        value = table.model_dump_json().encode()
        version = row.version if row is not None else 0
        write = RowWrite(CRASH_TABLE, CRASH_ROW_KEY, value, version)
        result = await self._store.write_row(write)
        if not result.is_ok():
            self._log.log("crashes-not-stored", reason=result.error.reason)
            return False
        current, store_epoch = result.ok.row, result.ok.store_epoch
        if store_epoch != self._mirror.store_epoch:
            self.record_store_epoch(store_epoch)
            return False
        is_written = current.value == value
        n_records = len(table.crashes_by_fingerprint)
        if is_written:
            self._log.log(
                "crashes-stored", n_records=n_records, version=current.version
            )
        # The version of the copy is not raised to that of the row, because the copy may
        # lack changes of other rows between the two.
        self.post_stored_crashes(self._mirror.apply([current], self._mirror.version))
        return is_written

    async def _read_restored_table(self) -> None:
        """Read the table of a restored store into the copy."""
        result = await self._store.read_table(CRASH_TABLE)
        if result.is_ok() and result.ok.store_epoch > self._mirror.store_epoch:
            rows = result.ok
            self.copy.replace(rows.rows, rows.version, rows.store_epoch)

    def _read_table(self, row: MirrorRow) -> _StoredTable:
        """Return the value of the row; an unreadable value counts as empty."""
        try:
            return _StoredTable.model_validate_json(row.value)
        except ValidationError as error:
            # The next write replaces the unreadable value.
            self._log.log(
                "crashes-unreadable", version=row.version, n_errors=error.error_count()
            )
            return _StoredTable()


def merge_records(
    stored: _StoredTable, records: Iterable[CrashRecord], wall_ms: int
) -> _StoredTable:
    """Return a stored table merged with an entry's crash records.

    Expired crashes and crashes before the last completed run are left out. Crashes that
    are already stored keep their times, so that entries with the same crashes compute
    the same table and need not write it. The result contains at most
    ``N_MAX_STORED_FINGERPRINTS`` fingerprints and ``MAX_STORED_BYTES`` bytes: those
    with the most crashes, and among equals those with the latest crash.

    Parameters
    ----------
    stored : _StoredTable
        Current value of the row.
    records : iterable of CrashRecord
        Crash records of this entry.
    wall_ms : int
        Unix time, in ms.
    """
    merged = {
        fingerprint: _select_after(crashes, wall_ms - CRASH_MAX_AGE_MS)
        for fingerprint, crashes in stored.crashes_by_fingerprint.items()
    }
    sound_at_by_fingerprint = dict(stored.sound_at_by_fingerprint)
    for record in records:
        stored_crashes = merged.get(record.fingerprint, ())
        merged[record.fingerprint] = _merge_record(stored_crashes, record, wall_ms)
        if record.sound_age_ms is not None:
            sound_at = wall_ms - record.sound_age_ms
            sound_at_by_fingerprint.setdefault(record.fingerprint, sound_at)
    sorted_items = sorted(
        ((f, crashes) for f, crashes in merged.items() if crashes),
        key=lambda item: (len(item[1]), item[1][-1].broken_at),
        reverse=True,
    )
    crashes_by_fingerprint = _select_within_row(sorted_items)
    return _StoredTable(
        crashes_by_fingerprint=crashes_by_fingerprint,
        sound_at_by_fingerprint={
            fingerprint: sound_at
            for fingerprint, sound_at in sound_at_by_fingerprint.items()
            if fingerprint in crashes_by_fingerprint
        },
    )


def _select_within_row(
    sorted_items: Iterable[tuple[str, tuple[_StoredCrash, ...]]],
) -> dict[str, tuple[_StoredCrash, ...]]:
    """Return the first fingerprints with their crashes that fit into one row."""
    crashes_by_fingerprint: dict[str, tuple[_StoredCrash, ...]] = {}
    n_bytes = 0
    for fingerprint, crashes in sorted_items:
        n_item_bytes = _FINGERPRINT_BYTES + len(fingerprint)
        n_item_bytes += sum(_CRASH_BYTES + len(crash.start_id) for crash in crashes)
        if len(crashes_by_fingerprint) == N_MAX_STORED_FINGERPRINTS:
            break
        if n_bytes + n_item_bytes <= MAX_STORED_BYTES:
            n_bytes += n_item_bytes
            crashes_by_fingerprint[fingerprint] = crashes
    return crashes_by_fingerprint


def _merge_record(
    stored_crashes: tuple[_StoredCrash, ...], record: CrashRecord, wall_ms: int
) -> tuple[_StoredCrash, ...]:
    """Return the stored crashes of a fingerprint merged with an entry's record.

    The result is ordered by the time of the crashes, without those that have expired or
    happened before the last completed run.
    """
    crash_by_start_id = {crash.start_id: crash for crash in stored_crashes}
    for crash in record.crashes:
        stored = _StoredCrash(
            start_id=crash.start_id,
            sent_at=wall_ms - crash.sent_age_ms,
            broken_at=wall_ms - crash.age_ms,
        )
        crash_by_start_id.setdefault(crash.start_id, stored)
    crashes = sorted(crash_by_start_id.values(), key=lambda crash: crash.broken_at)
    sound_age_ms = (
        CRASH_MAX_AGE_MS if record.sound_age_ms is None else record.sound_age_ms
    )
    return _select_after(tuple(crashes), wall_ms - min(sound_age_ms, CRASH_MAX_AGE_MS))


def _select_after(
    crashes: tuple[_StoredCrash, ...], since_wall_ms: int
) -> tuple[_StoredCrash, ...]:
    """Return the crashes that happened after a Unix time in ms."""
    return tuple(crash for crash in crashes if crash.broken_at > since_wall_ms)


def _to_record(
    fingerprint: str,
    crashes: tuple[_StoredCrash, ...],
    sound_at: int | None,
    wall_ms: int,
) -> CrashRecord:
    """Return a crash record with the ages of stored times at a Unix time in ms."""
    return CrashRecord(
        fingerprint,
        tuple(
            Crash(
                crash.start_id,
                max(0, wall_ms - crash.sent_at),
                max(0, wall_ms - crash.broken_at),
            )
            for crash in crashes
        ),
        None if sound_at is None else max(0, wall_ms - sound_at),
    )
