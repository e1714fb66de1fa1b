"""Server and client of an in-memory store of shared tables that can be interrupted."""

import asyncio
import base64
import json
from collections import deque
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp import web
from expression import Error, Ok, Result

from bluebellusher.links import open_session
from bluebellusher.ports import RowWrite, StoredRow, StoreError, TableRows
from bluebellusher_core.directory import MirrorRow

CALL_TIMEOUT_MS = 1_500
# A registration is removed after a time of three heartbeat periods without a heartbeat.
HEARTBEAT_MS = 400
REGISTRATION_TTL_MS = 3 * HEARTBEAT_MS
ENDPOINTS_TABLE = "endpoints"
UNAVAILABLE_STATUS = 503
HISTORY_LOST_STATUS = 410
# Time for which earlier contents are kept, in s.
COPIES_S = 20.0
_Key = tuple[str, str]


@dataclass(frozen=True)
class _StoreCopy:
    """Content of the store at a time of the event loop, in s."""

    made_at_s: float
    version: int
    row_by_key: dict[_Key, MirrorRow]


class StoreServer:
    """HTTP server of rows that are kept in memory.

    Attributes
    ----------
    is_unavailable : bool
        If True, the server answers every new call with status 503.
    port : int
        Port of the server after ``start``.
    """

    def __init__(self) -> None:
        self.is_unavailable = False
        self.port = 0
        self._version = 0
        self._store_epoch = 1
        self._copies: deque[_StoreCopy] = deque()
        self._row_by_key: dict[_Key, MirrorRow] = {}
        self._heartbeat_at_s_by_key: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        """Listen on a port that the kernel assigns, and expire registrations."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/rows", self._handle_read),
                web.get("/changes", self._handle_read_changes),
                web.post("/row", self._handle_write),
                web.post("/heartbeat", self._record_heartbeat),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        self.port = self._runner.addresses[0][1]
        self._expiry_task = asyncio.create_task(self._expire_registrations())

    async def stop(self) -> None:
        """Stop the expiry of registrations and close the server."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: bytes, is_removed: bool = False) -> None:
        """Write or remove a row without a condition, and wake waiting readers."""
        self._version += 1
        row = MirrorRow(key, self._version, value, is_removed)
        self._row_by_key[table, key] = row
        self._copy_rows()
        self._wake_readers()

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _copy_rows(self) -> None:
        """Keep a copy of all rows, and discard those older than ``COPIES_S``."""
        now_s = asyncio.get_running_loop().time()
        self._copies.append(_StoreCopy(now_s, self._version, dict(self._row_by_key)))
        while now_s - self._copies[0].made_at_s > COPIES_S:
            self._copies.popleft()

    def restore(self, age_s: float) -> None:
        """Return to the rows and the version of ``age_s`` seconds ago.

        Without a copy of that age, the oldest one is used. Heartbeats of endpoints
        count from now.
        """
        now_s = asyncio.get_running_loop().time()
        while len(self._copies) > 1 and self._copies[-1].made_at_s > now_s - age_s:
            self._copies.pop()
        copy = self._copies[-1]
        self._version, self._row_by_key = copy.version, dict(copy.row_by_key)
        self._store_epoch += 1
        self._heartbeat_at_s_by_key = {
            key: now_s
            for (table, key), row in self._row_by_key.items()
            if table == ENDPOINTS_TABLE and not row.is_removed
        }
        self._wake_readers()

    async def _expire_registrations(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            for key, at_s in list(self._heartbeat_at_s_by_key.items()):
                if loop.time() - at_s > REGISTRATION_TTL_MS / 1000:
                    del self._heartbeat_at_s_by_key[key]
                    self.put(ENDPOINTS_TABLE, key, b"", is_removed=True)

    async def _record_heartbeat(self, request: web.Request) -> web.Response:
        if self.is_unavailable:
            return web.Response(status=UNAVAILABLE_STATUS)
        body = await request.json()
        key, value = body["key"], body["value"].encode()
        self._heartbeat_at_s_by_key[key] = asyncio.get_running_loop().time()
        current_row = self._row_by_key.get((ENDPOINTS_TABLE, key))
        if current_row is None or current_row.value != value:
            self.put(ENDPOINTS_TABLE, key, value)
        return web.Response()

    async def _handle_read(self, request: web.Request) -> web.Response:
        if self.is_unavailable:
            return web.Response(status=UNAVAILABLE_STATUS)
        rows = self._rows_above(request.query["table"], 0)
        return self._make_response([row for row in rows if not row.is_removed])

    async def _handle_read_changes(self, request: web.Request) -> web.Response:
        if self.is_unavailable:
            return web.Response(status=UNAVAILABLE_STATUS)
        table, above = request.query["table"], int(request.query["above"])
        if above > self._version:
            return web.Response(status=HISTORY_LOST_STATUS)
        if not self._rows_above(table, above):
            try:
                async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                    while not self._rows_above(table, above):
                        await self._changed.wait()
            except TimeoutError:
                return self._make_response([])
        return self._make_response(self._rows_above(table, above))

    async def _handle_write(self, request: web.Request) -> web.Response:
        if self.is_unavailable:
            return web.Response(status=UNAVAILABLE_STATUS)
        body = await request.json()
        table, key = body["table"], body["key"]
        current_row = self._row_by_key.get((table, key))
        if body["expected_version"] == (current_row.version if current_row else 0):
            self.put(table, key, base64.b64decode(body["value"]))
        return self._make_response(
            [r for r in self._rows_above(table, 0) if r.key == key and not r.is_removed]
        )

    def _rows_above(self, table: str, above: int) -> list[MirrorRow]:
        rows = [r for (t, _), r in self._row_by_key.items() if t == table]
        return sorted((r for r in rows if r.version > above), key=lambda r: r.version)

    def _make_response(self, rows: list[MirrorRow]) -> web.Response:
        encoded_rows = [
            [r.key, r.version, base64.b64encode(r.value).decode(), r.is_removed]
            for r in rows
        ]
        body = {"version": self._version, "rows": encoded_rows}
        return web.json_response({**body, "store_epoch": self._store_epoch})


class StoreClient:
    """Client of a ``StoreServer``; implements ``bluebellusher.ports.RowStore``.

    Reads and writes return a ``StoreError`` if the store is unavailable or does not
    answer within the call's timeout.

    Parameters
    ----------
    address : str
        Host and port of the store, such as ``127.0.0.1:8080``.
    """

    def __init__(self, address: str) -> None:
        self._base_url = f"http://{address}"
        self._session = open_session(repeats_reads=True)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def read_table(self, table: str) -> Result[TableRows, StoreError]:
        """Return all rows of a table."""
        query = {"table": table}
        return await self._call("get", "/rows", CALL_TIMEOUT_MS, params=query)

    async def read_changes(
        self, table: str, above_version: int, wait_ms: int
    ) -> Result[TableRows, StoreError]:
        """Return the changes above a version.

        If there is none, wait up to ``wait_ms`` milliseconds for the first one.
        """
        query = {"table": table, "above": str(above_version), "wait_ms": str(wait_ms)}
        timeout_ms = wait_ms + CALL_TIMEOUT_MS
        return await self._call("get", "/changes", timeout_ms, params=query)

    async def write_row(self, write: RowWrite) -> Result[StoredRow, StoreError]:
        """Write a row if its version is still the expected one.

        Return the stored row after the call, which is the earlier one if the write was
        refused, or a removed row of version 0 if there is none.
        """
        body = {
            "table": write.table,
            "key": write.key,
            "value": base64.b64encode(write.value).decode(),
            "expected_version": write.expected_version,
        }
        result = await self._call("post", "/row", CALL_TIMEOUT_MS, json=body)
        absent = MirrorRow(write.key, 0, b"", is_removed=True)
        return result.map(
            lambda table: StoredRow(
                table.rows[0] if table.rows else absent, table.store_epoch
            )
        )

    async def _call(
        self, method: str, path: str, timeout_ms: int, **options: Any
    ) -> Result[TableRows, StoreError]:
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        try:
            async with self._session.request(
                method, self._base_url + path, timeout=timeout, **options
            ) as response:
                if response.status == HISTORY_LOST_STATUS:
                    return Error(StoreError(path, "history", is_history_lost=True))
                if response.status != 200:
                    return Error(StoreError(path, f"status {response.status}"))
                body = json.loads(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Error(StoreError(path, type(error).__name__, may_have_run=True))
        rows = [
            MirrorRow(key, version, base64.b64decode(value), is_removed)
            for key, version, value, is_removed in body["rows"]
        ]
        return Ok(TableRows(tuple(rows), body["version"], body["store_epoch"]))
