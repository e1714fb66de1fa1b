"""Stand-in of the platform's metadata store, with the calls that the entry uses."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from http_io import HttpError, read_request, write_response

Key = tuple[str, str, str]
# A call of the store takes this long, in s; the site files say 4 ms.
CALL_S = 0.004


class Store:
    """Rows in memory, with one counter of versions and a feed of changes.

    Attributes
    ----------
    is_silent : bool
        If True, calls get no answer until it is False again; a call that waits in the
        feed when the silence begins gets none at all.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self.host, self.port = "", 0
        self.version = 1
        self.rows: dict[Key, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.n_calls = 0
        self.on_call: Callable[[str, dict[str, str]], None] | None = None
        self._changed = asyncio.Event()
        self._silent_since = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self.host, self.port = host, port
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def begin_silence(self) -> None:
        """Answer nothing from now on; calls in progress stay unanswered for good."""
        self.is_silent = True
        self._silent_since += 1

    def end_silence(self) -> None:
        """Answer new calls again."""
        self.is_silent = False

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row of the part with the empty name; return its version."""
        return self._commit([(table, "", key, value)])

    def remove(self, table: str, key: str) -> int:
        """Remove a row of the part with the empty name; return the version."""
        return self._commit([(table, "", key, None)])

    def _commit(self, changes: list[tuple[str, str, str, bytes | None]]) -> int:
        self.version += 1
        for table, part, key, value in changes:
            row: dict[str, Any] = {
                "table": table,
                "part": part,
                "key": key,
                "schema_version": self.version,
            }
            if value is None:
                row["removed"] = True
                self.rows.pop((table, part, key), None)
            else:
                row["value"] = base64.b64encode(value).decode()
                self.rows[(table, part, key)] = row
            self.history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                silence = self._silent_since
                status, body = await self._handle(
                    request.method, request.target, request.body
                )
                if self.is_silent or silence != self._silent_since:
                    # This connection delivers nothing further.
                    await asyncio.sleep(600)
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                await write_response(writer, status, headers, json.dumps(body).encode())
        except (HttpError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        self.n_calls += 1
        await asyncio.sleep(CALL_S)
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        if self.on_call is not None:
            self.on_call(url.path, query)
        if url.path == "/rows-get":
            return 200, self._get(query)
        if url.path == "/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/rows-tx" and method == "POST":
            return self._transact(json.loads(body))
        return 404, {}

    def _stamp(self) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {"schema_version": self.version, "now_ms": now_ms}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        keys = sorted(
            (k for t, p, k in self.rows if t == table and p == part),
            key=lambda k: k.encode(),
        )
        keys = [k for k in keys if k >= first and (last is None or k < last)]
        limit = min(int(query.get("limit", "500")), 500)
        rows = [self.rows[(table, part, k)] for k in keys[:limit]]
        return {**self._stamp(), "rows": rows, "has_more": len(keys) > limit}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        table, since = query["table"], int(query["since_revision"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self._changed
            newest: dict[str, dict[str, Any]] = {}
            for row in self.history:
                if row["table"] == table and row["schema_version"] > since:
                    newest.pop(row["key"], None)
                    newest[row["key"]] = row
            left = end - time.monotonic()
            if newest or left <= 0:
                return {**self._stamp(), "rows": list(newest.values())}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        def key_of(row: dict[str, Any]) -> Key:
            return row["table"], row.get("part", ""), row["key"]

        expected = call.get("expected_revision", [])
        current = [self.rows.get(key_of(row)) for row in expected]
        for row, found in zip(expected, current, strict=True):
            if row["schema_version"] != (found["schema_version"] if found else 0):
                rows = [r for r in current if r is not None]
                return 412, {**self._stamp(), "rows": rows}
        changes: list[tuple[str, str, str, bytes | None]] = [
            (*key_of(row), base64.b64decode(row["value"]))
            for row in call.get("writes", [])
        ]
        changes += [(*key_of(row), None) for row in call.get("remove", [])]
        self._commit(changes)
        return 200, self._stamp()
