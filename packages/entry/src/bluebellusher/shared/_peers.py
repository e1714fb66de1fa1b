"""Exchange of shared tables between entries.

The store may turn one entry away while it serves the others, and an entry may start
while the store is down. Entries therefore tell each other the versions of their
copies in every digest, and who is behind asks for the difference.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from bluebellusher.links import PeerLinks
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import MirrorRow, TableMirror
from bluebellusher_core.wire import messages

OnNews = Callable[[list[MirrorRow]], None]

# An entry that follows the store itself usually learns a change milliseconds after
# its peers; only when that has not happened does the difference justify its bytes.
CATCH_UP_MS = 400


@dataclass(slots=True)
class _Shared:
    mirror: TableMirror
    on_news: OnNews
    is_in_contact: Callable[[], bool]
    behind_since_ms: int = 0
    behind_peer_id: str = ""
    behind_version: int = 0


class TableExchange:
    """Bring copies of tables up to date from peers.

    Parameters
    ----------
    links : PeerLinks
        Connections to peers.
    clock : Clock
        Times how long a copy is behind.
    """

    def __init__(self, links: PeerLinks, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self._shared_by_table: dict[str, _Shared] = {}

    def add(
        self, mirror: TableMirror, on_news: OnNews, is_in_contact: Callable[[], bool]
    ) -> None:
        """Exchange a table.

        Parameters
        ----------
        mirror : TableMirror
            The own copy.
        on_news : callable
            Receives the rows that are new to it.
        is_in_contact : callable
            Returns whether the store itself brings the copy up to date.
        """
        self._shared_by_table[mirror.table] = _Shared(mirror, on_news, is_in_contact)

    def versions(self) -> dict[str, int]:
        """Return the version of each copy, for the digest."""
        return {name: one.mirror.version for name, one in self._shared_by_table.items()}

    def on_digest(self, peer_id: str, digest: Any) -> None:
        """Ask a peer for what it knows beyond the own copies."""
        for table, version in (digest.version_by_table or {}).items():
            shared = self._shared_by_table.get(table)
            if shared is None or version <= shared.mirror.version:
                continue
            if shared.behind_version <= shared.mirror.version:
                shared.behind_since_ms = self._clock.now_ms()
            shared.behind_version = max(shared.behind_version, version)
            shared.behind_peer_id = peer_id
            if not shared.is_in_contact():
                self._pull(shared)

    def tick(self, now_ms: int) -> None:
        """Catch up where the store did not bring a change that a peer knows."""
        for shared in self._shared_by_table.values():
            is_behind = shared.behind_version > shared.mirror.version
            if is_behind and now_ms - shared.behind_since_ms >= CATCH_UP_MS:
                self._pull(shared)

    def _pull(self, shared: _Shared) -> None:
        version = shared.mirror.version
        pull = messages.TablePull(table=shared.mirror.table, above_version=version)
        self._links.send(shared.behind_peer_id, pull)

    def on_pull(self, peer_id: str, pull: Any) -> None:
        """Send the changes that a peer asks for."""
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
        """Take the changes that a peer sent."""
        shared = self._shared_by_table.get(delta.table)
        # A difference to a version that this copy has not reached has a gap.
        if shared is None or (delta.above_version or 0) > shared.mirror.version:
            return
        news = shared.mirror.apply(_to_rows(delta.rows or ()), delta.version or 0)
        if news:
            shared.on_news(news)


def _to_message(row: MirrorRow) -> Any:
    return messages.TableRow(
        key=row.key, version=row.version, value=row.value, is_removed=row.is_removed
    )


def _to_rows(rows: Iterable[Any]) -> list[MirrorRow]:
    return [
        MirrorRow(row.key, row.version, row.value or b"", bool(row.is_removed))
        for row in rows
    ]
