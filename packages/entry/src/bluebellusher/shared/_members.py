"""Discovery of other entries through a table of the store."""

import asyncio
import json
from collections.abc import Callable

from bluebellusher.links import PeerLinks
from bluebellusher.ports import MAX_PORT, RowStore, RowWrite
from bluebellusher.shared._log import LogSink
from bluebellusher_core.directory import MirrorRow
from bluebellusher_core.events import MembersListed

MEMBERS_TABLE = "members"
# Interval at which the table is read, in ms. It may be long, because an entry that
# starts dials the other entries.
REFRESH_INTERVAL_MS = 30_000
# Time after which the table is read again after a failure, or after this entry has
# written its row, in ms. Entries that start at the same time read the table before the
# others have written their rows.
RETRY_INTERVAL_MS = 1_000


class Members:
    """Write this entry's address to the store, and dial the other entries listed there.

    Parameters
    ----------
    store : RowStore
        Contains one row for each entry.
    links : PeerLinks
        Dials peers.
    instance_id, host, port : str, str, int
        Id of this entry and the address at which it accepts peers.
    log : LogSink
        Receives the log lines.
    post : callable
        Receives ``MembersListed``.
    """

    def __init__(
        self,
        store: RowStore,
        links: PeerLinks,
        instance_id: str,
        host: str,
        port: int,
        log: LogSink,
        post: Callable[[MembersListed], None],
    ) -> None:
        self._store = store
        self._links = links
        self._instance_id = instance_id
        self._address = (host, port)
        self._log = log
        self._post = post
        self._known_store_epoch = 0
        self._restored = asyncio.Event()

    async def run(self) -> None:
        """Write this entry's row and dial listed entries at an interval.

        Runs until it is cancelled.
        """
        while True:
            is_restored = self._restored.is_set()
            self._restored.clear()
            is_current = await self._refresh() and not is_restored
            pause_ms = REFRESH_INTERVAL_MS if is_current else RETRY_INTERVAL_MS
            try:
                async with asyncio.timeout(pause_ms / 1000):
                    await self._restored.wait()
            except TimeoutError:
                # The next refresh is due.
                continue

    def record_store_epoch(self, store_epoch: int) -> None:
        """Record the store epoch of another table; refresh at once if it is later.

        A restored store lacks the rows of entries that started after its copy was made.
        They write them again, so that the table is read a second time soon.
        """
        if store_epoch > self._known_store_epoch:
            self._known_store_epoch = store_epoch
            self._restored.set()

    async def _refresh(self) -> bool:
        """Read the table, dial its entries and write this entry's row if it differs.

        Returns whether the table was read and contains this entry's row.
        """
        result = await self._store.read_table(MEMBERS_TABLE)
        if not result.is_ok():
            return False
        rows = result.ok.rows
        address_by_id = {row.key: _read_address(row) for row in rows}
        addresses = [a for a in address_by_id.values() if a is not None]
        member_ids = (i for i, a in address_by_id.items() if a is not None)
        self._post(MembersListed(frozenset(member_ids)))
        self._links.dial(a for a in addresses if a != self._address)
        own = next((row for row in rows if row.key == self._instance_id), None)
        value = json.dumps(self._address).encode()
        if own is not None and own.value == value:
            return True
        version = own.version if own else 0
        write = RowWrite(MEMBERS_TABLE, self._instance_id, value, version)
        # The next refresh finds out whether the write has succeeded.
        await self._store.write_row(write)
        return False


def _read_address(row: MirrorRow) -> tuple[str, int] | None:
    """Return the host and port of a row, or None when it contains no address."""
    try:
        host, port = json.loads(row.value)
        port = int(port)
        return (str(host), port) if 0 < port <= MAX_PORT else None
    except (OverflowError, RecursionError, TypeError, ValueError):
        # The row was written by another program and does not describe an entry.
        return None
