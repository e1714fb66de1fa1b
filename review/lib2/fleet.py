"""A small deployment on loopback: stand-ins, a proxy, and the project's own programs.

The stand-ins follow the users' pages. They use the standard library only.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HISTORY_S = 20.0
STORE_DELAY_S = 0.004
SEAL = "X-Bluebellusher-Response-Seal"
ATTEMPT_ID = "X-Bluebellusher-Attempt-Id"
Headers = dict[str, str]


class Record:
    """Lines of ``record.txt``, with the time since the start of the case in s."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def now(self) -> float:
        """Return the time since the start of the case, in s."""
        return time.monotonic() - self._start_s

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Return the first line and the headers of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = []
    for line in lines:
        name, _, value = line.partition(":")
        fields.append((name.strip().lower(), value.strip()))
    return first, fields


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def free_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class HttpServer:
    """HTTP/1.1 server with kept connections."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def listen(self, host: str, port: int = 0) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ")
                headers = dict(fields)
                body = await read_body(reader, headers)
                await self.answer(method, target, headers, body, reader, writer)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        raise NotImplementedError


def write_answer(
    writer: asyncio.StreamWriter, status: int, body: bytes, headers: Headers
) -> None:
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


class Store(HttpServer):
    """The platform's store, as PROTOCOL.md describes its rows."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self._version = 100
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._history: list[tuple[float, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or an engine; None removes it."""
        self._version += 1
        self._set(table, "", key, None if value is None else _encode(value))
        self._wake()
        return self._version

    def _set(self, table: str, part: str, key: str, value: str | None) -> None:
        row: dict[str, Any] = {"table": table, "part": part, "key": key}
        row["schema_version"] = self._version
        if value is None:
            self._rows.pop((table, part, key), None)
            row["removed"] = True
        else:
            row["value"] = value
            self._rows[table, part, key] = row
        self._history.append((time.monotonic(), row))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one call."""
        path, _, text = target.partition("?")
        pairs = (pair.partition("=") for pair in text.split("&") if pair)
        query = {name: value for name, _, value in pairs}
        await asyncio.sleep(STORE_DELAY_S)
        status, answer = 404, dict[str, Any]()
        if path == "/rows-get":
            status, answer = 200, self._get(query)
        elif path == "/rows-feed":
            status, answer = await self._feed(query)
        elif path == "/rows-tx":
            status, answer = self._transact(json.loads(body))
        answer |= {"schema_version": self._version, "now_ms": _now_ms()}
        fields = {"Content-Type": "application/json"}
        write_answer(writer, status, json.dumps(answer).encode(), fields)

    def _get(self, query: Headers) -> dict[str, Any]:
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        limit = min(500, int(query.get("limit", "500")))
        return {"rows": rows[:limit], "has_more": len(rows) > limit}

    async def _feed(self, query: Headers) -> tuple[int, dict[str, Any]]:
        since, table = int(query["since_revision"]), query["table"]
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            oldest_s = time.monotonic() - HISTORY_S
            lost = [r for at, r in self._history if at < oldest_s]
            if any(r["schema_version"] > since for r in lost):
                return 410, {}
            newest: dict[tuple[str, str], dict[str, Any]] = {}
            for _, row in self._history:
                if row["table"] == table and row["schema_version"] > since:
                    newest[row["part"], row["key"]] = row
            rows = sorted(newest.values(), key=lambda r: int(r["schema_version"]))
            remaining_s = end_s - time.monotonic()
            if rows or remaining_s <= 0:
                return 200, {"rows": rows}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        def find(entry: dict[str, Any]) -> dict[str, Any] | None:
            return self._rows.get((entry["table"], entry["part"], entry["key"]))

        expected = body.get("expected_revision", [])
        for entry in expected:
            row = find(entry)
            if (row["schema_version"] if row else 0) != entry["schema_version"]:
                return 412, {"rows": [r for e in expected if (r := find(e))]}
        self._version += 1
        for write in body.get("writes", []):
            self._set(write["table"], write["part"], write["key"], write["value"])
        for removal in body.get("remove", []):
            self._set(removal["table"], removal["part"], removal["key"], None)
        self._wake()
        return 200, {}


def _encode(value: Any) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


class Link:
    """One machine's path to the store. While it is cut, bytes and connections wait."""

    def __init__(self, port: int) -> None:
        self._target_port = port
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._server: asyncio.Server | None = None
        self._n_silent = self._n_connections = 0
        self.port = 0

    async def listen(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Hold all bytes and new connections."""
        self._is_open.clear()

    def heal(self) -> None:
        """Let the held bytes and connections pass."""
        self._is_open.set()

    def silence(self) -> None:
        """Let nothing more pass on the connections that are open now; new ones work."""
        self._n_silent = self._n_connections

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._n_connections += 1
        number = self._n_connections
        await self._is_open.wait()
        try:
            far = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(number, reader, far[1]), self._pump(number, far[0], writer)
        )

    async def _pump(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._is_open.wait()
                if number > self._n_silent:
                    writer.write(data)
                    await writer.drain()
        await self._is_open.wait()
        writer.close()


class Service(HttpServer):
    """One server of a plain service, registered in the store.

    Parameters
    ----------
    store : Store
        Store of the registration.
    record : Record
        Receives a line for each request that arrives.
    server_id, backend, zone : str
        Fields of the registration.
    work_s : float
        Time that a request takes.
    slots : int
        Requests at once.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        server_id: str,
        backend: str,
        zone: str,
        work_s: float = 0.02,
        slots: int = 6,
    ) -> None:
        super().__init__()
        self.server_id, self.backend, self.zone = server_id, backend, zone
        self.work_s, self.slots = work_s, slots
        self.state = "ready"
        self.arrivals: list[tuple[float, str, str]] = []
        self.born_ms = int(time.time() * 1000)
        self._store, self._record = store, record
        self._sequence = 0
        self._host = ""

    async def start(self, host: str) -> None:
        """Listen and register.

        The row changes when more than ``sequence`` changes, so that the heartbeats that
        follow are left out.
        """
        await self.listen(host)
        self._host = host
        self.register()

    def register(self) -> None:
        """Write the registration."""
        self._sequence += 1
        row = {
            "backend": self.backend,
            "address": f"{self._host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        self._store.put("servers", self.server_id, row)

    def copy_row(self, backend: str) -> dict[str, Any]:
        """Return a row of another writer, for this server's address and now."""
        return {
            "backend": backend,
            "address": f"{self._host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 1,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }

    def leave(self) -> None:
        """Remove the registration; the server goes on serving."""
        self._store.put("servers", self.server_id, None)

    async def answer(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request, unless it expects another server."""
        attempt_id = headers.get(ATTEMPT_ID.lower(), "")
        expected = headers.get("x-bluebellusher-expect-instance", self.server_id)
        if expected != self.server_id:
            fields = {"X-Bluebellusher-Instance-Id": self.server_id}
            write_answer(writer, 421, b"", fields)
            return
        self.arrivals.append((self._record.now(), attempt_id, f"{method} {target}"))
        self._record.line(f"runs {self.server_id} {method} {target} {attempt_id}")
        await self.run(method, target, headers, body, reader, writer)

    async def run(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Work, and answer with a seal."""
        await asyncio.sleep(self.work_s)
        attempt_id = headers.get(ATTEMPT_ID.lower(), "")
        fields = {ATTEMPT_ID: attempt_id, SEAL: f"{self.server_id}.{attempt_id}"}
        write_answer(writer, 200, b"x" * 800, fields)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as DEPLOY.md tells: values, and sections of lists."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        values, inner = find(match[1]) or [], match[2]
        parts = []
        for i, value in enumerate(values):
            text = inner.replace("{{.}}", str(value))
            parts.append(text.replace("{{,}}", "," if i + 1 < len(values) else ""))
        return "".join(parts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value_of(match: re.Match[str]) -> str:
        value = find(match[1])
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


class Machine:
    """One machine that runs one role of ``deploy/system.toml`` as a process."""

    def __init__(self, record: Record, role: str, fields: dict[str, Any]) -> None:
        self.role, self.fields = role, fields
        self.name = fields["node_name"]
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._spec = deploy["roles"][role]
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._config = Path(self._folder.name) / "settings"
        self._log = (Path(self._folder.name) / "log").open("wb")

    @property
    def front(self) -> tuple[str, int]:
        """Address that clients connect to."""
        host, _, port = self.fields["listen"]["front"].rpartition(":")
        return host, int(port)

    @property
    def log_text(self) -> str:
        """What the process has written so far."""
        path = Path(self._folder.name) / "log"
        return path.read_text(errors="replace")

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        template = (ROOT / self._spec["template"]).read_text()
        self._config.write_text(render(template, self.fields))
        variables = {
            name: render(text, self.fields)
            for name, text in self._spec.get("env", {}).items()
        }
        variables |= {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BLUEBELLUSHER_CONFIG": str(self._config),
        }
        self.process = await asyncio.create_subprocess_exec(
            *self._spec["run"].split(),
            cwd=ROOT,
            env=variables,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.line(f"start {self.name}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self._record.line(f"{number.name} {self.name}")
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait until the process has ended; return its exit code or None."""
        assert self.process is not None
        try:
            code = await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            return None
        self._record.line(f"ended {self.name} with {code}")
        return code

    async def is_ready(self) -> bool:
        """Ask the ready address once."""
        host, _, port = self.fields["listen"]["ready"].rpartition(":")
        with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                return first.split(" ")[1] == "200"
        return False

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until the machine says that it is ready."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                self._record.line(f"ready {self.name}")
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self) -> None:
        """Kill the process if it still runs, and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._log.close()
        self._folder.cleanup()


class Fleet:
    """The whole deployment of a case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store(record)
        self.links: dict[str, Link] = {}
        self.machines: dict[str, Machine] = {}
        self.services: list[Service] = []
        self._net = f"127.{random.randint(64, 250)}.{random.randint(0, 250)}"
        self._n_hosts = 0

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.listen("127.0.0.1")

    async def add_entries(self, zones: list[str]) -> list[Machine]:
        """Return new edge machines, one for each zone, without starting them."""
        made = []
        for zone in zones:
            self._n_hosts += 1
            host = f"{self._net}.{self._n_hosts}"
            link = Link(self.store.port)
            await link.listen("127.0.0.1")
            name = f"edge-{zone}-{self._n_hosts}"
            self.links[name] = link
            fields = {
                "node_name": name,
                "zone": zone,
                "ip": host,
                "listen": {
                    "front": f"{host}:{free_port(host)}",
                    "ready": f"{host}:{free_port(host)}",
                    "control": f"{host}:{free_port(host)}",
                },
                "internal_ports": [free_port(host)],
                "platform": {"address": f"127.0.0.1:{link.port}"},
                "limits": {"memory_mb": 430, "max_fds": 6300},
                "bounds": {
                    "retry_budget_ratio": 0.2,
                    "budget_slack": 88,
                    "retry_window_s": 10,
                    "grace_period_s": 8,
                },
            }
            made.append(Machine(self.record, "entry", fields))
        known = [m for m in self.machines.values() if m.role == "entry"]
        seeds = [m.fields["listen"]["control"] for m in (known + made)[:3]]
        for machine in made:
            machine.fields["seed_nodes"] = seeds
            self.machines[machine.name] = machine
        return made

    async def add_service(self, service: Service) -> Service:
        """Start a server at an address of its own."""
        self._n_hosts += 1
        await service.start(f"{self._net}.{self._n_hosts}")
        self.services.append(service)
        return service

    async def end(self) -> None:
        """End everything that was started."""
        for machine in self.machines.values():
            await machine.end()
        for service in self.services:
            await service.close()
        await self.store.close()


def make_config(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration with the limits and one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"


def make_route(name: str, prefix: str, kind: str, backend: str) -> dict[str, Any]:
    """Return a route with the figures of ``order-lookup`` and ``delivery-book``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 800,
        "target_latency_ms": 300,
        "priority": 2,
        "backend": backend,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "allow_anonymous": False,
        "session_affinity": False,
        "stream_resumption": False,
    }


def make_service(name: str) -> dict[str, Any]:
    """Return a plain service of the configuration."""
    fields = {"health_check": "/healthz", "max_connections": 96}
    return {"name": name, "protocol": "h1", "tls": False, **fields}


class Answer:
    """Answer of one client attempt; ``status`` is 0 when there was none."""

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.status = 0
        self.headers: Headers = {}
        self.body = b""
        self.error = ""
        self.sent_s = self.ended_s = 0.0


async def ask(
    record: Record,
    machine: Machine,
    method: str,
    path: str,
    body: bytes = b"",
    deadline_ms: int = 1500,
    extra: Headers | None = None,
) -> Answer:
    """Send one request on a new connection, and return its answer."""
    answer = Answer(f"{random.getrandbits(64):016x}")
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{ATTEMPT_ID}: {answer.attempt_id}",
        f"X-Bluebellusher-Deadline-Ms: {deadline_ms}",
        f"X-Bluebellusher-Credential: {KEY}",
        *(f"{name}: {value}" for name, value in (extra or {}).items()),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    answer.sent_s = record.now()
    record.line(f"sent {answer.attempt_id} {method} {path} to {machine.name}")
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(*machine.front)
            try:
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                first, fields = await read_head(reader)
                answer.headers = dict(fields)
                answer.body = await read_body(reader, answer.headers)
                answer.status = int(first.split(" ")[1])
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        answer.error = type(error).__name__
    answer.ended_s = record.now()
    record.line(f"answered {answer.attempt_id} {answer.status} {answer.error}")
    return answer


def main(
    folder: Path, case: Callable[[Fleet, Record, bool], Awaitable[int | None]]
) -> None:
    """Run a case within its time; exit with its result, or 2 if it could not run.

    The case receives whether to bring about the disruption, and returns 1 if the rule
    was broken and 0 if it held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        record = Record(folder / "record.txt")
        record.line(f"trouble {int(has_trouble)}")
        fleet = Fleet(record)
        code: int | None = 2
        try:
            async with asyncio.timeout(110):
                code = await case(fleet, record, has_trouble)
        except Exception as error:
            record.line(f"could not run: {type(error).__name__}: {error}")
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                await fleet.end()
        code = 2 if code is None else code
        record.line(f"result {code}")
        print("\n".join((folder / "record.txt").read_text().splitlines()[-3:]))
        return code

    sys.exit(asyncio.run(run()))
