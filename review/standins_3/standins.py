"""Stand-ins of the platform's store, of engines and of callers, and real entries.

The cases of the third review share them. They speak what the users' pages say, on
loopback addresses only, and behave soundly unless a case gives them another behaviour.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import pathlib
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
HOST_NAME = "shop.example"
API_KEY = "key1"
TENANT = "tenant1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of a small deployment, from its sheet.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
ADDRESS_REUSE_S = 2.0
GRACE_S = 8
HEARTBEAT_S = 1.2
PAGE_ROWS = 500


def is_disrupted() -> bool:
    """Return whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Record of a run, with the time of each line since the start.

    Parameters
    ----------
    path : pathlib.Path
        File to write.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file: TextIO = path.open("w")
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        at_s = time.monotonic() - self._started_s
        self._file.write(f"{at_s:8.3f} s  {text}\n")
        self._file.flush()


@dataclass
class Message:
    """Request or answer of HTTP/1.1; ``is_complete`` states that it is whole."""

    start: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    is_complete: bool = True

    def get(self, name: str) -> str:
        """Return the first value of a header; empty when it is missing."""
        found = (v for n, v in self.headers if n.lower() == name.lower())
        return next(found, "")

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message without its body; None when the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = [line for line in head.decode("latin-1").split("\r\n") if line]
    items = [line.partition(":") for line in lines[1:]]
    return Message(lines[0], [(name, value.strip()) for name, _, value in items])


async def read_body(
    reader: asyncio.StreamReader, message: Message, is_answer: bool = False
) -> None:
    """Read the body of a message into it, and note whether it is whole."""
    length = message.get("Content-Length")
    is_chunked = "chunked" in message.get("Transfer-Encoding").lower()
    try:
        if is_chunked:
            await _read_chunks(reader, message)
        elif length:
            while len(message.body) < int(length):
                data = await reader.read(min(65_536, int(length) - len(message.body)))
                if not data:
                    message.is_complete = False
                    return
                message.body += data
        elif is_answer and message.status not in (204, 304):
            while data := await reader.read(65_536):
                message.body += data
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_complete = False


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size:
            message.body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return


class Store:
    """The platform's metadata store, with rows of an empty ``part`` only.

    Attributes
    ----------
    port : int
        Port of the store after ``start``.
    """

    def __init__(self) -> None:
        self.port = 0
        self._version = 1
        self._rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._removed: dict[tuple[str, str], int] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row; a value other than bytes is encoded as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._version += 1
        self._rows[table, key] = (self._version, raw)
        self._removed.pop((table, key), None)
        self._wake()

    def remove(self, table: str, key: str) -> None:
        """Remove a row, if it exists."""
        if self._rows.pop((table, key), None) is not None:
            self._version += 1
            self._removed[table, key] = self._version
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, table: str, key: str) -> dict[str, Any]:
        version, raw = self._rows[table, key]
        value = base64.b64encode(raw).decode()
        names = {"table": table, "part": "", "key": key}
        return {**names, "schema_version": version, "value": value}

    def _meta(self) -> dict[str, int]:
        now_ms = int(time.monotonic() * 1000)
        return {"schema_version": self._version, "now_ms": now_ms}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_head(reader)) is not None:
                await read_body(reader, message)
                await asyncio.sleep(0.003)
                status, body = await self._answer(message)
                raw = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n"
                )
                writer.write(head.encode() + raw)
                await writer.drain()
        writer.close()

    async def _answer(self, message: Message) -> tuple[int, dict[str, Any]]:
        url = urlsplit(message.start.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-get":
            return 200, self._read_table(query)
        if url.path == "/rows-feed":
            return 200, await self._read_changes(query)
        if url.path == "/rows-tx":
            return self._write(json.loads(message.body))
        return 404, {}

    def _read_table(self, query: dict[str, str]) -> dict[str, Any]:
        table, first = query["table"], query.get("from", "")
        keys = sorted(k for t, k in self._rows if t == table and k >= first)
        n_max = int(query.get("limit", PAGE_ROWS))
        rows = [self._encode(table, key) for key in keys[:n_max]]
        return {**self._meta(), "rows": rows, "has_more": len(keys) > n_max}

    async def _read_changes(self, query: dict[str, str]) -> dict[str, Any]:
        table, since = query["table"], int(query["since_revision"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            rows = [
                self._encode(t, key)
                for (t, key), (version, _) in self._rows.items()
                if t == table and version > since
            ]
            rows += [
                {"table": t, "part": "", "key": key, "schema_version": version}
                | {"removed": True}
                for (t, key), version in self._removed.items()
                if t == table and version > since
            ]
            remaining_s = end_s - time.monotonic()
            if rows or remaining_s <= 0:
                rows.sort(key=lambda row: row["schema_version"])
                return {**self._meta(), "rows": rows}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()

    def _write(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = body.get("expected_revision", [])
        found = [self._rows.get((r["table"], r["key"]), (0, b""))[0] for r in expected]
        if found != [row["schema_version"] for row in expected]:
            names = [(r["table"], r["key"]) for r in expected]
            rows = [self._encode(*name) for name in names if name in self._rows]
            return 412, {**self._meta(), "rows": rows}
        for row in body.get("writes", []):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("remove", []):
            self.remove(row["table"], row["key"])
        return 200, self._meta()


@dataclass
class Run:
    """Request that an engine began to run."""

    engine_id: str
    attempt_id: str
    message: Message = field(repr=False)
    began_at_s: float


Work = Callable[["Engine", Run, asyncio.StreamWriter], Awaitable[None]]


class Engine:
    """Engine of a service. Its work ends when its connection closes.

    Parameters
    ----------
    store : Store
        Store in which the engine registers.
    service, engine_id, zone : str
        Its service, id and zone.
    work : callable
        Runs a request and writes the answer.
    record : Record
        Receives a line for each run.

    Attributes
    ----------
    runs : list of Run
        Requests that the engine began to run.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        engine_id: str,
        zone: str,
        work: Work,
        record: Record,
    ) -> None:
        self.engine_id = engine_id
        self.port = 0
        self.runs: list[Run] = []
        self._store = store
        self._service = service
        self._zone = zone
        self._work = work
        self._record = record
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._state = "ready"
        self._registered: dict[str, Any] = {}
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen and register; 0 stands for a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeat = asyncio.create_task(self._beat())
        self._record.note(f"{self.engine_id} ({self._service}) starts at {self.port}")

    def drain(self) -> None:
        """Report that the engine is about to leave."""
        self._state = "draining"
        self._register()
        self._record.note(f"{self.engine_id} reports draining")

    async def stop(self) -> None:
        """End: close the port and send no further heartbeat."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        self._record.note(f"{self.engine_id} ends at {self.port}")

    async def _beat(self) -> None:
        while True:
            self._register()
            await asyncio.sleep(HEARTBEAT_S)

    def _register(self) -> None:
        """Write the registration; it changes when more than ``sequence`` changes."""
        self._sequence += 1
        body: dict[str, Any] = {
            "backend": self._service,
            "address": f"{HOST}:{self.port}",
            "zone": self._zone,
            "version": "1",
            "slots": 12,
            "state": self._state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        fields = {name: value for name, value in body.items() if name != "sequence"}
        if fields != self._registered:
            self._registered = fields
            self._store.put("servers", self.engine_id, body)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_head(reader)) is not None:
                await read_body(reader, message)
                if not message.is_complete:
                    break
                expected = message.get("X-Bluebellusher-Expect-Instance")
                if expected not in ("", self.engine_id):
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\n"
                        + f"At-Server: {self.engine_id}\r\n".encode()
                        + b"Content-Length: 0\r\n\r\n"
                    )
                    await writer.drain()
                    continue
                attempt_id = message.get("X-Bluebellusher-Attempt-Id")
                run = Run(self.engine_id, attempt_id, message, time.monotonic())
                self.runs.append(run)
                self._record.note(f"{self.engine_id} runs {attempt_id}")
                try:
                    await self._work(self, run, writer)
                except ConnectionError:
                    self._record.note(f"{self.engine_id}: {attempt_id} was cut off")
                    raise
        writer.close()


def compute_seal(engine_id: str, body: bytes) -> str:
    """Return the seal of an answer."""
    return hashlib.blake2b(engine_id.encode() + body, digest_size=8).hexdigest()


def write_answer(
    writer: asyncio.StreamWriter, run: Run, status: int, body: bytes
) -> None:
    """Write a whole sealed answer."""
    head = (
        f"HTTP/1.1 {status} -\r\nX-Bluebellusher-Attempt-Id: {run.attempt_id}\r\n"
        f"X-Bluebellusher-Response-Seal: {compute_seal(run.engine_id, body)}\r\n"
        f"Content-Type: text/plain\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)


async def answer_soundly(
    _engine: Engine, run: Run, writer: asyncio.StreamWriter
) -> None:
    """Answer after a short time."""
    await asyncio.sleep(0.03)
    write_answer(writer, run, 200, b"done " + run.attempt_id.encode())
    await writer.drain()


def make_streaming(n_events: int, gap_s: float) -> Work:
    """Return the work of an engine that answers with a stream of events."""

    async def stream(_engine: Engine, run: Run, writer: asyncio.StreamWriter) -> None:
        head = (
            f"HTTP/1.1 200 OK\r\nX-Bluebellusher-Attempt-Id: {run.attempt_id}\r\n"
            f"X-Bluebellusher-Response-Seal: {compute_seal(run.engine_id, b'')}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        first = int(run.message.get("Last-Event-Id") or 0) + 1
        for number in range(first, n_events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(gap_s)
            if writer.is_closing():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return stream


def make_route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int, **fields: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "backend": service,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        **fields,
    }


def make_config(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "max_connections": 268} for name in services],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [API_KEY]}],
    }


def _reserve_ports(n_ports: int) -> list[int]:
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Entry:
    """An entry of the project, started by the command of the deploy file.

    Parameters
    ----------
    store : Store
        Store of the deployment.
    folder : pathlib.Path
        Temporary folder for the settings and the log.
    name, zone : str
        Name and zone of its machine.
    seeds : sequence of Entry
        Entries that started before.
    """

    def __init__(
        self,
        store: Store,
        folder: pathlib.Path,
        name: str,
        zone: str,
        seeds: "tuple[Entry, ...]" = (),
    ) -> None:
        self.name = name
        self.process: asyncio.subprocess.Process | None = None
        ports = _reserve_ports(5)
        self.front, self.ready, self.control, self.metrics, self.agent = ports
        self._path = folder / f"{name}.json5"
        self._log = folder / f"{name}.log"
        self._settings = {
            "instance_id": name,
            "failure_domain": zone,
            "shared_secret": "bluebellusher-entries-of-one-deployment",
            "callers": f"{HOST}:{self.front}",
            "readiness": f"{HOST}:{self.ready}",
            "peers": f"{HOST}:{self.control}",
            "metrics": f"{HOST}:{self.metrics}",
            "store": f"{HOST}:{store.port}",
            "seeds": [f"{HOST}:{seed.control}" for seed in seeds],
            "agent_port": self.agent,
            "retries": {"share": 0.2, "n_extra": 94, "window_s": 10},
            "shutdown_grace_s": GRACE_S,
        }

    def write_settings(self) -> None:
        """Write the settings file, as at each start and change of the settings."""
        self._path.write_text(json.dumps(self._settings))

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "BLUEBELLUSHER_CONFIG": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ENTRY_SETTING_MEMORY_MB": "430",
            "ENTRY_SETTING_MAX_DESCRIPTORS": "6150",
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "platform/serve.py", "entry"),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await read_head(reader)
        writer.close()
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the entry is ready; raise ``TimeoutError`` after the timeout."""
        end_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    async def kill(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def _read_answer(
    reader: asyncio.StreamReader, end_s: float, patience_s: float | None
) -> Message | None:
    """Return an answer, which is not complete when the caller has left before."""
    gap_s = patience_s or end_s - time.monotonic()
    try:
        async with asyncio.timeout(min(gap_s, end_s - time.monotonic())):
            answer = await read_head(reader)
    except TimeoutError:
        return None
    if answer is None:
        return None
    body = asyncio.create_task(read_body(reader, answer, is_answer=True))
    n_bytes, changed_at_s = 0, time.monotonic()
    while not body.done():
        await asyncio.wait([body], timeout=0.05)
        now_s = time.monotonic()
        if len(answer.body) > n_bytes:
            n_bytes, changed_at_s = len(answer.body), now_s
        if not body.done() and (now_s > end_s or now_s - changed_at_s > gap_s):
            answer.is_complete = False
            body.cancel()
            break
    return answer


@dataclass
class Call:
    """Request of a caller and what it saw of the answer.

    ``status`` is 0 when the connection ended without a head.
    """

    attempt_id: str
    entry: str
    sent_at_s: float
    status: int = 0
    is_complete: bool = False
    body: bytes = b""
    seal: str = ""
    retry_after_s: float | None = None
    ended_at_s: float = 0.0


class Caller:
    """A caller that keeps its connection to an entry open for many requests.

    Parameters
    ----------
    entry : Entry
        Entry to call.
    name : str
        Prefix of the ids of its attempts.
    record : Record
        Receives a line for each request and answer.
    """

    def __init__(self, entry: Entry, name: str, record: Record) -> None:
        self.calls: list[Call] = []
        self._entry = entry
        self._name = name
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self,
        method: str,
        target: str,
        deadline_ms: int,
        body: bytes = b"",
        patience_s: float | None = None,
    ) -> Call:
        """Send a request, and return it with its answer.

        The caller leaves after its deadline, and after a time of ``patience_s`` without
        a byte.
        """
        attempt_id = f"{self._name}-{len(self.calls) + 1}"
        if self._streams is None:
            self._streams = await asyncio.open_connection(HOST, self._entry.front)
        reader, writer = self._streams
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Bluebellusher-Attempt-Id: {attempt_id}\r\n"
            f"X-Bluebellusher-Deadline-Ms: {deadline_ms}\r\n"
            f"X-Bluebellusher-Credential: {API_KEY}\r\n"
        )
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        call = Call(attempt_id, self._entry.name, time.monotonic())
        self.calls.append(call)
        self._record.note(f"{attempt_id} {method} {target} sent to {call.entry}")
        answer: Message | None = None
        end_s = call.sent_at_s + deadline_ms / 1000
        with contextlib.suppress(ConnectionError):
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            answer = await _read_answer(reader, end_s, patience_s)
        if answer is not None:
            call.status, call.is_complete = answer.status, answer.is_complete
            call.body = answer.body
            call.seal = answer.get("X-Bluebellusher-Response-Seal")
            if answer.get("Retry-After"):
                call.retry_after_s = float(answer.get("Retry-After"))
        call.ended_at_s = time.monotonic()
        whole = "whole" if call.is_complete else "not whole"
        self._record.note(
            f"{attempt_id} answered {call.status or 'nothing'}, {whole}, "
            f"{len(call.body)} B, seal {call.seal or '-'}"
        )
        is_closing = answer is not None and answer.get("Connection").lower() == "close"
        if not call.is_complete or is_closing:
            self.close()
        return call

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
