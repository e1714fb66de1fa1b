"""Transactional table of the platform stand-in, also usable in tests without HTTP."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from bluebellusher_core.clock import Clock

# Number of recent versions that are kept of each row, for eventual reads.
N_KEPT_VERSIONS = 64


@dataclass(frozen=True, slots=True)
class TableRow:
    """Row of a table; an absent row has version 0 and value ``None``."""

    key: str
    version: int
    value: Any


class Table:
    """Table of versioned rows that are changed by conditional transactions.

    Parameters
    ----------
    clock : Clock
        Time source that decides which version of a row an eventual read returns.

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
        self._history_by_key: dict[str, list[tuple[int, TableRow]]] = {}
        self._version = 0

    def transact(
        self,
        conditions: Mapping[str, int],
        puts: Mapping[str, Any],
        deletes: Sequence[str] = (),
    ) -> int | list[TableRow]:
        """Apply all writes if every row has the version in ``conditions``.

        Returns the new version of the table. When a condition fails, nothing is written
        and the rows with another version are returned.
        """
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
        """Return the row as it was ``stale_ms`` milliseconds ago."""
        if stale_ms > 0:
            return self._read_past_version(key, self._clock.now_ms() - stale_ms)
        return self._row_by_key.get(key, TableRow(key, 0, None))

    def read_prefix(self, prefix: str) -> list[TableRow]:
        """Return the rows whose key starts with ``prefix``, ordered by key."""
        keys = sorted(key for key in self._row_by_key if key.startswith(prefix))
        return [self._row_by_key[key] for key in keys]

    def _store(self, row: TableRow) -> None:
        history = self._history_by_key.setdefault(row.key, [])
        history.append((self._clock.now_ms(), row))
        del history[:-N_KEPT_VERSIONS]
        if row.version:
            self._row_by_key[row.key] = row
        else:
            self._row_by_key.pop(row.key, None)

    def _read_past_version(self, key: str, at_ms: int) -> TableRow:
        """Return the row as it was at the clock time ``at_ms``."""
        latest = TableRow(key, 0, None)
        for written_at_ms, row in self._history_by_key.get(key, ()):
            if written_at_ms > at_ms:
                break
            latest = row
        return latest
