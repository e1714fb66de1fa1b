"""Copy of a table whose changes are reported."""

from collections.abc import Callable, Iterable

from bluebellusher.shared._log import LogSink
from bluebellusher_core.directory import MirrorRow, TableMirror

ChangedRowsCallback = Callable[[list[MirrorRow]], None]


class TableCopy:
    """Copy of a table that the store and peers update.

    Parameters
    ----------
    mirror : TableMirror
        Rows of the copy.
    on_changed_rows : callable
        Receives the rows that changed in the copy, unless there are none.
    on_restored : callable
        Receives, after the store was restored from an earlier copy of its rows, the
        rows that differ from the previous ones; there may be none.
    log : LogSink
        Receives the log lines.
    """

    def __init__(
        self,
        mirror: TableMirror,
        on_changed_rows: ChangedRowsCallback,
        on_restored: ChangedRowsCallback,
        log: LogSink,
    ) -> None:
        self.mirror = mirror
        self._on_changed_rows = on_changed_rows
        self._on_restored = on_restored
        self._log = log

    def apply(self, rows: Iterable[MirrorRow], version: int) -> None:
        """Apply changes of the copy's store epoch."""
        self._report(self.mirror.apply(rows, version))

    def replace(
        self, rows: Iterable[MirrorRow], version: int, store_epoch: int
    ) -> None:
        """Replace the rows by a snapshot of the copy's store epoch or a later one."""
        mirror = self.mirror
        if store_epoch > mirror.store_epoch:
            self._restore(rows, version, store_epoch)
            return
        if version < mirror.version:
            self._log.log(
                "table-snapshot-ignored",
                table=mirror.table,
                found=version,
                version=mirror.version,
            )
        self._report(mirror.replace(rows, version))

    def _restore(
        self, rows: Iterable[MirrorRow], version: int, store_epoch: int
    ) -> None:
        """Replace the rows by a snapshot of a later store epoch."""
        mirror = self.mirror
        previous_epoch, previous_version = mirror.position
        changed_rows = mirror.restore(rows, version, store_epoch)
        if not previous_version:
            # This is the first answer, and nothing is known of an earlier epoch.
            self._report(changed_rows)
            return
        self._log.log(
            "store-restored",
            table=mirror.table,
            store_epoch=store_epoch,
            previous_epoch=previous_epoch,
            version=version,
            previous_version=previous_version,
            n_changed=len(changed_rows),
        )
        self._on_restored(changed_rows)

    def _report(self, changed_rows: list[MirrorRow]) -> None:
        if changed_rows:
            self._on_changed_rows(changed_rows)
