"""Transactional table of the platform stand-in, usable without HTTP as a fake."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from bluebellusher_core.clock import Clock

# Older copies that are kept of each row, for eventual reads.
N_COPIES_KEPT = 64


@dataclass(frozen=True, slots=True)
class TableRow:
    """One row; version 0 and value ``None`` mean that the row is absent."""

    key: str
    version: int
    value: Any


class Table:
    """Rows with versions, changed in transactions under conditions.

    Parameters
    ----------
    clock : Clock
        Decides which copy an eventual read sees.

    Examples
    --------
    >>> from bluebellusher_core.clock import ManualClock
    >>> table = Table(ManualClock())
    >>> table.transact({"a": 0}, {"a": 1})
    1
    >>> table.transact({"a": 0}, {"a": 2})
    [TableRow(key='a', version=1, value=1)]
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._row_by_key: dict[str, TableRow] = {}
        self._copies_by_key: dict[str, list[tuple[int, TableRow]]] = {}
        self._version = 0

    def transact(
        self,
        conditions: Mapping[str, int],
        puts: Mapping[str, Any],
        deletes: Sequence[str] = (),
    ) -> int | list[TableRow]:
        """Write everything and return the version, or return the conflicts."""
        rows = [self.read(key) for key in conditions]
        conflicts = [row for row in rows if row.version != conditions[row.key]]
        if conflicts:
            return conflicts
        self._version += 1
        for key, value in puts.items():
            self._store(TableRow(key, self._version, value))
        for key in deletes:
            self._store(TableRow(key, 0, None))
        return self._version

    def read(self, key: str, stale_ms: int = 0) -> TableRow:
        """Return the row as it was ``stale_ms`` ago."""
        if stale_ms > 0:
            return self._read_copy(key, self._clock.now_ms() - stale_ms)
        return self._row_by_key.get(key, TableRow(key, 0, None))

    def read_prefix(self, prefix: str) -> list[TableRow]:
        """Return all present rows whose key starts with ``prefix``, by key."""
        keys = sorted(key for key in self._row_by_key if key.startswith(prefix))
        return [self._row_by_key[key] for key in keys]

    def _store(self, row: TableRow) -> None:
        copies = self._copies_by_key.setdefault(row.key, [])
        copies.append((self._clock.now_ms(), row))
        del copies[:-N_COPIES_KEPT]
        if row.version:
            self._row_by_key[row.key] = row
        else:
            self._row_by_key.pop(row.key, None)

    def _read_copy(self, key: str, at_ms: int) -> TableRow:
        found = TableRow(key, 0, None)
        for written_at_ms, row in self._copies_by_key.get(key, ()):
            if written_at_ms > at_ms:
                break
            found = row
        return found
