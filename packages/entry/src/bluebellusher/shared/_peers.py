"""Exchange of shared tables between entries.

The store may be unavailable to one entry while it answers the others, and an entry may
start while the store is unavailable. Each digest of an entry therefore contains the
positions of its copies, which are the store epoch and the version. An entry whose copy
has a lower position requests the changes from the peer that sent the digest. A peer
whose history does not reach back to that position sends all rows instead, because it
does not know which ones were removed. A copy of an earlier store epoch never replaces
rows of a later one, whatever its version.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from bluebellusher.links import PeerLinks
from bluebellusher.shared._copy import TableCopy
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import MirrorRow
from bluebellusher_core.wire import messages

# Interval at which a row that the restored store lacks is requested from peers, in ms.
RETAINED_ROW_INTERVAL_MS = 1_000
# Time for which a copy may have a lower position than a peer's before the changes are
# requested from the peer, in ms. It applies while the store is available, which usually
# returns a change milliseconds after the peer received it. A transfer between peers
# that duplicates the store's answer would waste bytes.
PULL_DELAY_MS = 400
# Version in a ``TableDelta`` that contains all rows of a copy instead of changes.
ALL_ROWS = 0


class RetainedRow(Protocol):
    """Row that stays in force although the restored store has an earlier one.

    An entry that starts before the row is written again gets it from its peers.
    """

    row_in_force: MirrorRow | None

    @property
    def version_in_force(self) -> int:
        """Version of the row's content, which rises across store epochs."""

    def apply_retained_row(self, row: MirrorRow) -> None:
        """Put a peer's row in force if its content has a higher version."""


@dataclass(slots=True)
class _SharedTable:
    """Copy of a table and the highest position that peers reported.

    ``latest_peer_position`` is that position, ``latest_peer_id`` the peer that changes
    are requested from, and ``outdated_since_ms`` the monotonic time, in ms, at which a
    peer first reported a position above the one of the copy. ``retained`` is the row
    that stays in force across restorations, and ``retained_requested_at_ms`` the time
    at which it was last requested.
    """

    copy: TableCopy
    is_store_available: Callable[[], bool]
    retained: RetainedRow | None = None
    retained_requested_at_ms: int | None = None
    outdated_since_ms: int = 0
    latest_peer_id: str = ""
    latest_peer_position: tuple[int, int] = (0, 0)

    @property
    def position(self) -> tuple[int, int]:
        """Store epoch and version of the copy."""
        return self.copy.mirror.position


class TableExchange:
    """Update copies of tables with changes that peers have received.

    Parameters
    ----------
    links : PeerLinks
        Connections to peers.
    clock : Clock
        Clock of the delay before changes are requested.
    """

    def __init__(self, links: PeerLinks, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self._shared_by_table: dict[str, _SharedTable] = {}

    def add(
        self,
        copy: TableCopy,
        is_store_available: Callable[[], bool],
        retained: RetainedRow | None = None,
    ) -> None:
        """Add a table to the exchange.

        Parameters
        ----------
        copy : TableCopy
            This entry's copy of the table.
        is_store_available : callable
            Returns whether the store is available and updates the copy.
        retained : RetainedRow or None
            Row of the table that stays in force across restorations.
        """
        shared = _SharedTable(copy, is_store_available, retained)
        self._shared_by_table[copy.mirror.table] = shared

    def versions(self) -> dict[str, int]:
        """Return the version of each copy by table name, for the digest."""
        return {
            name: shared.copy.mirror.version
            for name, shared in self._shared_by_table.items()
        }

    def store_epochs(self) -> dict[str, int]:
        """Return the store epoch of each copy by table name, for the digest."""
        return {
            name: shared.copy.mirror.store_epoch
            for name, shared in self._shared_by_table.items()
        }

    def on_digest(self, peer_id: str, digest: Any) -> None:
        """Record the positions of a peer's copies.

        Changes are requested immediately when the store is unavailable to this entry,
        and otherwise by ``tick``.
        """
        for table, position in _read_positions(digest).items():
            shared = self._shared_by_table.get(table)
            if shared is None:
                continue
            if position <= shared.position:
                self._pull_retained_row(shared, peer_id, digest.config_version or 0)
                continue
            if shared.latest_peer_position <= shared.position:
                shared.outdated_since_ms = self._clock.now_ms()
            shared.latest_peer_position = max(shared.latest_peer_position, position)
            shared.latest_peer_id = peer_id
            if not shared.is_store_available():
                self._pull(shared)

    def _pull_retained_row(
        self, shared: _SharedTable, peer_id: str, version_in_force: int
    ) -> None:
        """Request the row that a peer has in force if its content is newer.

        The copy of this entry is not behind that of the peer, so that the store lacks
        the row.
        """
        retained, now_ms = shared.retained, self._clock.now_ms()
        if retained is None or version_in_force <= retained.version_in_force:
            return
        requested_at_ms = shared.retained_requested_at_ms
        if (
            requested_at_ms is None
            or now_ms - requested_at_ms >= RETAINED_ROW_INTERVAL_MS
        ):
            shared.retained_requested_at_ms = now_ms
            self._send_pull(shared, peer_id)

    def tick(self, now_ms: int) -> None:
        """Request changes that the store has not returned within ``PULL_DELAY_MS``.

        Parameters
        ----------
        now_ms : int
            Monotonic time, in ms.
        """
        for shared in self._shared_by_table.values():
            is_outdated = shared.latest_peer_position > shared.position
            if is_outdated and now_ms - shared.outdated_since_ms >= PULL_DELAY_MS:
                self._pull(shared)

    def _pull(self, shared: _SharedTable) -> None:
        """Request the changes above this entry's position from the recorded peer."""
        self._send_pull(shared, shared.latest_peer_id)

    def _send_pull(self, shared: _SharedTable, peer_id: str) -> None:
        """Send a request for changes to a peer."""
        mirror = shared.copy.mirror
        pull = messages.TablePull(
            table=mirror.table,
            above_version=mirror.version,
            store_epoch=mirror.store_epoch,
        )
        self._links.send(peer_id, pull)

    def on_pull(self, peer_id: str, pull: Any) -> None:
        """Send a peer the changes that it requested, or all rows.

        It gets all rows of a later epoch, and when the history of this copy starts
        above its version. A peer of a later epoch gets only the row in force.
        """
        shared = self._shared_by_table.get(pull.table)
        if shared is None:
            return
        mirror = shared.copy.mirror
        peer_epoch = pull.store_epoch or 0
        above_version = pull.above_version or 0
        has_history = mirror.has_history_since(above_version)
        if peer_epoch != mirror.store_epoch or not has_history:
            above_version = ALL_ROWS
        is_useful = peer_epoch <= mirror.store_epoch
        rows = mirror.changes_since(above_version) if is_useful else []
        delta = messages.TableDelta(
            table=pull.table,
            above_version=above_version,
            version=mirror.version,
            rows=[_to_message(row) for row in rows],
            store_epoch=mirror.store_epoch,
            retained_rows=_find_retained_rows(shared, peer_epoch),
        )
        self._links.send(peer_id, delta)

    def on_delta(self, _peer_id: str, delta: Any) -> None:
        """Apply the changes that a peer sent.

        Rows of an earlier store epoch, and changes above a version that the copy has
        not reached, are ignored.
        """
        shared = self._shared_by_table.get(delta.table)
        if shared is None:
            return
        mirror = shared.copy.mirror
        store_epoch, version = delta.store_epoch or 0, delta.version or 0
        above_version = delta.above_version or 0
        rows = _to_rows(delta.rows or ())
        if store_epoch >= mirror.store_epoch and above_version == ALL_ROWS:
            current_rows = [row for row in rows if not row.is_removed]
            shared.copy.replace(current_rows, version, store_epoch)
        elif store_epoch == mirror.store_epoch and above_version <= mirror.version:
            shared.copy.apply(rows, version)
        if shared.retained is not None:
            for row in _to_rows(delta.retained_rows or ()):
                shared.retained.apply_retained_row(row)


def _read_positions(digest: Any) -> Mapping[str, tuple[int, int]]:
    """Return the store epoch and version of each table in a peer's digest."""
    epoch_by_table = digest.store_epoch_by_table or {}
    return {
        table: (epoch_by_table.get(table, 0), version)
        for table, version in (digest.version_by_table or {}).items()
    }


def _find_retained_rows(shared: _SharedTable, peer_epoch: int) -> list[Any]:
    """Return, as messages, the row in force if the peer may not get it otherwise.

    That is so if the copy of the table lacks the row, or is of an earlier epoch than
    that of the peer.
    """
    row = shared.retained.row_in_force if shared.retained is not None else None
    if row is None:
        return []
    mirror = shared.copy.mirror
    stored_row = mirror.row_by_key.get(row.key)
    is_stored = stored_row is not None and stored_row.value == row.value
    if is_stored and peer_epoch <= mirror.store_epoch:
        return []
    return [_to_message(row)]


def _to_message(row: MirrorRow) -> Any:
    """Return a row as a message for a peer."""
    return messages.TableRow(
        key=row.key, version=row.version, value=row.value, is_removed=row.is_removed
    )


def _to_rows(rows: Iterable[Any]) -> list[MirrorRow]:
    """Return the rows of a peer's message."""
    return [
        MirrorRow(row.key, row.version, row.value or b"", bool(row.is_removed))
        for row in rows
    ]
