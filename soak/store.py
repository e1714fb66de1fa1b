"""A store of shared tables with outages, and the client that entries use."""

import asyncio
import base64
import json
from typing import Any

import aiohttp
from aiohttp import web
from expression import Error, Ok, Result

from bluebellusher.ports import RowWrite, StoreError, TableRows
from bluebellusher_core.directory import MirrorRow

CALL_TIMEOUT_MS = 1_500
# Registrations end after three heartbeats without word.
HEARTBEAT_MS = 400
LAPSE_MS = 3 * HEARTBEAT_MS
ENDPOINTS_TABLE = "endpoints"
UNAVAILABLE = 503


class StoreServer:
    """Rows in memory, served over HTTP; away when told so."""

    def __init__(self) -> None:
        self.is_away = False
        self.port = 0
        self._version = 0
        self._row_by_key: dict[tuple[str, str], MirrorRow] = {}
        self._heard_at_s: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._lapses: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        """Listen on a port that the kernel chooses."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/rows", self._read),
                web.get("/changes", self._read_changes),
                web.post("/row", self._write),
                web.post("/heartbeat", self._take_heartbeat),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        self.port = self._runner.addresses[0][1]
        self._lapses = asyncio.create_task(self._end_lapsed())

    async def stop(self) -> None:
        """Close."""
        if self._lapses is not None:
            self._lapses.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: bytes, is_removed: bool = False) -> None:
        """Write a row as an operator does."""
        self._version += 1
        row = MirrorRow(key, self._version, value, is_removed)
        self._row_by_key[table, key] = row
        self._changed.set()
        self._changed = asyncio.Event()

    async def _end_lapsed(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            for key, at_s in list(self._heard_at_s.items()):
                if loop.time() - at_s > LAPSE_MS / 1000:
                    del self._heard_at_s[key]
                    self.put(ENDPOINTS_TABLE, key, b"", is_removed=True)

    async def _take_heartbeat(self, request: web.Request) -> web.Response:
        if self.is_away:
            return web.Response(status=UNAVAILABLE)
        body = await request.json()
        key, value = body["key"], body["value"].encode()
        self._heard_at_s[key] = asyncio.get_running_loop().time()
        known = self._row_by_key.get((ENDPOINTS_TABLE, key))
        if known is None or known.value != value:
            self.put(ENDPOINTS_TABLE, key, value)
        return web.Response()

    async def _read(self, request: web.Request) -> web.Response:
        if self.is_away:
            return web.Response(status=UNAVAILABLE)
        rows = self._rows(request.query["table"], 0)
        return self._answer([row for row in rows if not row.is_removed])

    async def _read_changes(self, request: web.Request) -> web.Response:
        if self.is_away:
            return web.Response(status=UNAVAILABLE)
        table, above = request.query["table"], int(request.query["above"])
        if not self._rows(table, above):
            try:
                async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                    while not self._rows(table, above):
                        await self._changed.wait()
            except TimeoutError:
                return self._answer([])
        return self._answer(self._rows(table, above))

    async def _write(self, request: web.Request) -> web.Response:
        if self.is_away:
            return web.Response(status=UNAVAILABLE)
        body = await request.json()
        table, key = body["table"], body["key"]
        known = self._row_by_key.get((table, key))
        if body["expected_version"] == (known.version if known else 0):
            self.put(table, key, base64.b64decode(body["value"]))
        return self._answer(
            [r for r in self._rows(table, 0) if r.key == key and not r.is_removed]
        )

    def _rows(self, table: str, above: int) -> list[MirrorRow]:
        rows = [r for (t, _), r in self._row_by_key.items() if t == table]
        return sorted((r for r in rows if r.version > above), key=lambda r: r.version)

    def _answer(self, rows: list[MirrorRow]) -> web.Response:
        found = [
            [r.key, r.version, base64.b64encode(r.value).decode(), r.is_removed]
            for r in rows
        ]
        return web.json_response({"version": self._version, "rows": found})


class StoreClient:
    """Rows of the store; see ``bluebellusher.ports.RowStore``."""

    def __init__(self, address: str) -> None:
        self._base_url = f"http://{address}"
        self._session = aiohttp.ClientSession()

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
        """Return the changes above a version, waiting for the first one."""
        query = {"table": table, "above": str(above_version), "wait_ms": str(wait_ms)}
        timeout_ms = wait_ms + CALL_TIMEOUT_MS
        return await self._call("get", "/changes", timeout_ms, params=query)

    async def write_row(self, write: RowWrite) -> Result[MirrorRow, StoreError]:
        """Write a row under its condition; return the row that is there then."""
        body = {
            "table": write.table,
            "key": write.key,
            "value": base64.b64encode(write.value).decode(),
            "expected_version": write.expected_version,
        }
        result = await self._call("post", "/row", CALL_TIMEOUT_MS, json=body)
        absent = MirrorRow(write.key, 0, b"", is_removed=True)
        return result.map(lambda found: found.rows[0] if found.rows else absent)

    async def _call(
        self, method: str, path: str, timeout_ms: int, **options: Any
    ) -> Result[TableRows, StoreError]:
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        try:
            async with self._session.request(
                method, self._base_url + path, timeout=timeout, **options
            ) as response:
                if response.status != 200:
                    return Error(StoreError(path, f"status {response.status}"))
                body = json.loads(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Error(StoreError(path, type(error).__name__, may_have_run=True))
        rows = [
            MirrorRow(key, version, base64.b64decode(value), is_removed)
            for key, version, value, is_removed in body["rows"]
        ]
        return Ok(TableRows(tuple(rows), body["version"]))
