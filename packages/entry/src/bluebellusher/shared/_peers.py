"""Exchange of shared tables between entries.

The store may be unavailable to one entry while it answers the others, and an entry may
start while the store is unavailable. Each digest of an entry therefore contains the
versions of its copies. An entry whose copy has a lower version requests the changes
from the peer that sent the digest.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from bluebellusher.links import PeerLinks
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import MirrorRow, TableMirror
from bluebellusher_core.wire import messages

ChangedRowsCallback = Callable[[list[MirrorRow]], None]

# Time for which a copy may have a lower version than a peer's before the changes are
# requested from the peer, in ms. It applies while the store is available, which usually
# returns a change milliseconds after the peer received it. A transfer between peers
# that duplicates the store's answer would waste bytes.
PULL_DELAY_MS = 400


@dataclass(slots=True)
class _SharedTable:
    """Copy of a table and the highest version that peers reported.

    ``latest_peer_version`` is that version, ``latest_peer_id`` the peer that changes
    are requested from, and ``outdated_since_ms`` the monotonic time, in ms, at which a
    peer first reported a version above the one of the copy.
    """

    mirror: TableMirror
    on_changed_rows: ChangedRowsCallback
    is_store_available: Callable[[], bool]
    outdated_since_ms: int = 0
    latest_peer_id: str = ""
    latest_peer_version: int = 0


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
        mirror: TableMirror,
        on_changed_rows: ChangedRowsCallback,
        is_store_available: Callable[[], bool],
    ) -> None:
        """Add a table to the exchange.

        Parameters
        ----------
        mirror : TableMirror
            This entry's copy of the table.
        on_changed_rows : callable
            Receives the rows that a peer's changes replaced, added or removed.
        is_store_available : callable
            Returns whether the store is available and updates the copy.
        """
        self._shared_by_table[mirror.table] = _SharedTable(
            mirror, on_changed_rows, is_store_available
        )

    def versions(self) -> dict[str, int]:
        """Return the version of each copy by table name, for the digest."""
        return {
            name: shared.mirror.version
            for name, shared in self._shared_by_table.items()
        }

    def on_digest(self, peer_id: str, digest: Any) -> None:
        """Record the versions of a peer's copies.

        Changes are requested immediately when the store is unavailable to this entry,
        and otherwise by ``tick``.
        """
        for table, version in (digest.version_by_table or {}).items():
            shared = self._shared_by_table.get(table)
            if shared is None or version <= shared.mirror.version:
                continue
            if shared.latest_peer_version <= shared.mirror.version:
                shared.outdated_since_ms = self._clock.now_ms()
            shared.latest_peer_version = max(shared.latest_peer_version, version)
            shared.latest_peer_id = peer_id
            if not shared.is_store_available():
                self._pull(shared)

    def tick(self, now_ms: int) -> None:
        """Request changes that the store has not returned within ``PULL_DELAY_MS``.

        Parameters
        ----------
        now_ms : int
            Monotonic time, in ms.
        """
        for shared in self._shared_by_table.values():
            is_outdated = shared.latest_peer_version > shared.mirror.version
            if is_outdated and now_ms - shared.outdated_since_ms >= PULL_DELAY_MS:
                self._pull(shared)

    def _pull(self, shared: _SharedTable) -> None:
        """Request the changes above this entry's version from the recorded peer."""
        version = shared.mirror.version
        pull = messages.TablePull(table=shared.mirror.table, above_version=version)
        self._links.send(shared.latest_peer_id, pull)

    def on_pull(self, peer_id: str, pull: Any) -> None:
        """Send a peer the changes that it requested."""
        shared = self._shared_by_table.get(pull.table)
        if shared is None:
            return
        mirror = shared.mirror
        rows = mirror.changes_since(pull.above_version or 0)
        delta = messages.TableDelta(
            table=pull.table,
            above_version=pull.above_version or 0,
            version=mirror.version,
            rows=[_to_message(row) for row in rows],
        )
        self._links.send(peer_id, delta)

    def on_delta(self, _peer_id: str, delta: Any) -> None:
        """Apply the changes that a peer sent."""
        shared = self._shared_by_table.get(delta.table)
        # Changes above a version that this copy has not reached would leave a gap.
        if shared is None or (delta.above_version or 0) > shared.mirror.version:
            return
        changed_rows = shared.mirror.apply(
            _to_rows(delta.rows or ()), delta.version or 0
        )
        if changed_rows:
            shared.on_changed_rows(changed_rows)


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
