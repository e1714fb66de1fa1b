"""Copy of one table of the store, updated by changes, snapshots and peers."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Upper bound of recorded removals. Peers request changes within seconds, and a removal
# stays recorded for much longer than that.
N_MAX_REMOVED = 4_096


@dataclass(frozen=True, slots=True)
class MirrorRow:
    """A row or the removal of one, with the ``version`` of its last change."""

    key: str
    version: int
    value: bytes
    is_removed: bool = False


@dataclass(slots=True)
class TableMirror:
    """Rows of one table as of ``version``.

    A row is replaced only by one of a higher version, so that late, repeated and stale
    answers never revert a change. Versions are comparable only within one store epoch:
    a store that is restored from an earlier copy assigns them again. ``restore``
    therefore replaces all rows, whatever their versions.

    A copy records the removals that it has seen. It cannot know what was removed before
    its latest snapshot, so it has a history only from that version on
    (``has_history_since``). A peer with a lower version needs all rows.

    Parameters
    ----------
    table : str
        Name of the table.
    version : int
        Version of the store up to which every change is included; 0 before the first
        answer.
    store_epoch : int
        Number of the store's history that ``version`` belongs to. It rises each time
        the store is restored from a copy; 0 when the store does not report it.
    row_by_key : dict of str to MirrorRow
        Current rows by key.

    Examples
    --------
    >>> mirror = TableMirror("endpoints")
    >>> [row.key for row in mirror.apply([MirrorRow("a", 5, b"x")], 7)]
    ['a']
    >>> mirror.apply([MirrorRow("a", 4, b"old")], 6)
    []
    >>> mirror.version
    7
    """

    table: str
    version: int = 0
    store_epoch: int = 0
    row_by_key: dict[str, MirrorRow] = field(default_factory=dict)
    _history_start: int = 0
    _removed_by_key: dict[str, MirrorRow] = field(default_factory=dict)

    @property
    def position(self) -> tuple[int, int]:
        """Store epoch and version of this copy; a later copy has a higher position."""
        return self.store_epoch, self.version

    def apply(self, rows: Iterable[MirrorRow], version: int) -> list[MirrorRow]:
        """Apply changes; return the rows that are newer than those of this copy.

        A row that this copy lacks was removed if its version is not above that of the
        copy, which includes every change up to there.
        """
        changed_rows = [
            row for row in rows if not self._was_removed(row) and self._apply_row(row)
        ]
        self.version = max(self.version, version)
        return changed_rows

    def replace(self, rows: Iterable[MirrorRow], version: int) -> list[MirrorRow]:
        """Replace all rows by a snapshot; return the changed and removed rows.

        A snapshot whose version is lower than that of this copy comes from a stale
        read and is ignored.
        """
        if version < self.version:
            return []
        rows = list(rows)
        if version > self.version:
            # A row may have been added and removed since the previous version.
            self._history_start = version
        changed_rows = [row for row in rows if self._apply_row(row)]
        self.version = version
        snapshot_keys = {row.key for row in rows}
        missing_keys = [key for key in self.row_by_key if key not in snapshot_keys]
        for key in missing_keys:
            removed = MirrorRow(key, version, b"", is_removed=True)
            if self._apply_row(removed):
                changed_rows.append(removed)
        return changed_rows

    def restore(
        self, rows: Iterable[MirrorRow], version: int, store_epoch: int
    ) -> list[MirrorRow]:
        """Replace all rows by a snapshot of a later store epoch.

        Returns the rows whose value differs from the previous one, and the removed
        rows.
        """
        previous_by_key = self.row_by_key
        self.row_by_key = {row.key: row for row in rows}
        self.version, self.store_epoch = version, store_epoch
        self._history_start = version
        self._removed_by_key = {
            key: MirrorRow(key, version, b"", is_removed=True)
            for key in previous_by_key
            if key not in self.row_by_key
        }
        changed_rows = [
            row
            for key, row in self.row_by_key.items()
            if key not in previous_by_key or previous_by_key[key].value != row.value
        ]
        return [*changed_rows, *self._removed_by_key.values()]

    def has_history_since(self, version: int) -> bool:
        """Return whether every change above ``version`` is recorded."""
        return version >= self._history_start

    def changes_since(self, version: int) -> list[MirrorRow]:
        """Return every recorded change above ``version``, oldest first.

        Removals may be missing unless ``has_history_since`` is true.
        """
        rows = [*self.row_by_key.values(), *self._removed_by_key.values()]
        return sorted(
            (row for row in rows if row.version > version), key=lambda r: r.version
        )

    def _was_removed(self, row: MirrorRow) -> bool:
        """Return whether a row was removed before this copy received its version."""
        is_recorded = row.key in self.row_by_key or row.key in self._removed_by_key
        return not is_recorded and row.version <= self.version

    def _apply_row(self, row: MirrorRow) -> bool:
        """Apply a row unless its version is not above the recorded one."""
        current = self.row_by_key.get(row.key) or self._removed_by_key.get(row.key)
        if current is not None and current.version >= row.version:
            return False
        if row.is_removed:
            self.row_by_key.pop(row.key, None)
            self._removed_by_key[row.key] = row
            self._evict_oldest_removals()
        else:
            self._removed_by_key.pop(row.key, None)
            self.row_by_key[row.key] = row
        return True

    def _evict_oldest_removals(self) -> None:
        while len(self._removed_by_key) > N_MAX_REMOVED:
            oldest = min(self._removed_by_key.values(), key=lambda r: r.version)
            del self._removed_by_key[oldest.key]
            self._history_start = max(self._history_start, oldest.version)
