"""A minimal engine and entry that put load on an agent process for measurements."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
from typing import Any, Self

from bluebellusher_core.wire import (
    FrameDecoder,
    compute_hello_mac,
    encode,
    messages,
    verify_hello,
)

SECRET = "a shared secret of measurements"
CREDIT_BYTES = 1 << 40
EVENT_BYTES = 160
_LOAD = json.dumps(
    {
        "n_running": 0,
        "n_queued": 0,
        "n_queued_tokens": 0,
        "n_slots": 64,
        "kv_use": 0.5,
        "models": ["model-a"],
        "adapters": [],
        "boot_id": "b",
        "events": [],
    }
).encode()


class _EngineConnection(asyncio.Protocol):
    def __init__(self, engine: "MinimalEngine") -> None:
        self._engine = engine
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._engine.streams.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"GET "):
            length = str(len(_LOAD)).encode()
            head = b"HTTP/1.1 200 OK\r\ncontent-length: " + length + b"\r\n\r\n"
            self._transport.write(head + _LOAD)
        elif data.startswith(b"POST "):
            head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            self._transport.write(head + b"transfer-encoding: chunked\r\n\r\n")
            self._engine.streams.add(self._transport)
            self._engine.stream_opened.set()


class MinimalEngine:
    """Engine that accepts streaming requests and sends events of a fixed size."""

    def __init__(self) -> None:
        self.streams: set[Any] = set()
        self.n_events = 0
        self.port = 0
        self.stream_opened = asyncio.Event()

    async def wait_for_streams(self, n_streams: int) -> None:
        """Wait until at least ``n_streams`` streams are open."""
        while len(self.streams) < n_streams:
            self.stream_opened.clear()
            await self.stream_opened.wait()

    async def start(self) -> None:
        """Listen on a port that the kernel assigns."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _EngineConnection(self), "127.0.0.1", 0
        )
        self.port = server.sockets[0].getsockname()[1]

    async def stream(self, n_events_per_second: int, duration_s: float) -> None:
        """Send events at a fixed rate, spread evenly over the open streams."""
        body = b"data: " + b"x" * (EVENT_BYTES - 8) + b"\n\n"
        event = f"{len(body):x}\r\n".encode() + body + b"\r\n"
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        n_sent = 0
        transports = list(self.streams)
        while (elapsed_s := loop.time() - start_s) < duration_s:
            while n_sent < elapsed_s * n_events_per_second:
                transports[n_sent % len(transports)].write(event)
                n_sent += 1
            await asyncio.sleep(0.001)
        self.n_events += n_sent


class MinimalEntry:
    """Entry that connects to an agent, dispatches streams and counts received bytes."""

    def __init__(self, port: int, entry_id: str) -> None:
        self._port = port
        self._entry_id = entry_id
        self.n_bytes_received = 0
        self.n_stream_bytes = 0
        self._bytes_received = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        streams = await asyncio.open_connection("127.0.0.1", self._port)
        self._reader, self._writer = streams
        await self._perform_handshake()
        self._tasks = [asyncio.create_task(self._read_messages())]
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        self._writer.transport.abort()

    async def _perform_handshake(self) -> None:
        challenge = await self._read_hello()
        hello = messages.Hello(
            protocol_version=1,
            instance_id=self._entry_id,
            incarnation=1,
            failure_domain="a",
            role=messages.Role.ENTRY,
            nonce=os.urandom(16),
        )
        hello.mac = compute_hello_mac(SECRET.encode(), challenge.nonce, hello)
        self._writer.write(encode(hello))
        answer = await self._read_hello()
        assert verify_hello(SECRET.encode(), hello.nonce, answer)

    async def _read_hello(self) -> Any:
        head = await self._reader.readexactly(4)
        payload = await self._reader.readexactly(int.from_bytes(head, "big"))
        return FrameDecoder("agent").feed(head + payload)[0]

    async def _read_messages(self) -> None:
        decoder = FrameDecoder("agent")
        while data := await self._reader.read(262_144):
            self.n_bytes_received += len(data)
            self._bytes_received.set()
            for message in decoder.feed(data):
                if isinstance(message, messages.ChunkBatch):
                    self.n_stream_bytes += sum(len(c.data) for c in message.chunks)

    async def _send_heartbeats(self) -> None:
        while True:
            self._writer.write(encode(messages.Heartbeat(1)))
            await asyncio.sleep(0.5)

    async def wait_for_bytes(self, n_bytes: int) -> None:
        """Wait until at least ``n_bytes`` bytes of streams were received."""
        while self.n_stream_bytes < n_bytes:
            self._bytes_received.clear()
            await self._bytes_received.wait()

    def dispatch(self, attempt_id: str) -> None:
        """Send one streaming request to the agent."""
        dispatch = messages.Dispatch(
            attempt_id=attempt_id,
            request_id="r-" + attempt_id,
            method="POST",
            path="/v1/chat/completions",
            headers={},
            body=b"{}",
            priority=1,
            remaining_ms=600_000,
            is_idempotent=True,
            resume_offset=0,
            is_isolated=False,
            fingerprint="f",
            traceparent="",
            credit_bytes=CREDIT_BYTES,
            service_id="s",
        )
        self._writer.write(encode(dispatch))


class AgentProcess:
    """An agent process that uses a bytecode cache, like an installed agent."""

    def __init__(self, engine_port: int) -> None:
        self._engine_port = engine_port
        self._directory = tempfile.TemporaryDirectory()
        self.port = 0

    async def __aenter__(self) -> Self:
        # The first start fills the bytecode cache; the second process is measured.
        await self._start()
        await self._stop()
        await self._start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stop()
        self._directory.cleanup()

    async def _start(self) -> None:
        directory = pathlib.Path(self._directory.name)
        settings = {
            "instance_id": "endpoint-1",
            "failure_domain": "a",
            "shared_secret": SECRET,
            "listen": {"host": "127.0.0.1", "port": 0},
            "target": {"host": "127.0.0.1", "port": self._engine_port},
        }
        path = directory / "agent.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = dict(os.environ)
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        environment["PYTHONPYCACHEPREFIX"] = str(directory / "cache")
        command = ("-m", "bluebellusher_agent.main", "--config", str(path))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, *command, env=environment, stdout=asyncio.subprocess.PIPE
        )
        self.port = await self._read_port()

    async def _read_port(self) -> int:
        assert self._process.stdout is not None
        while line := await self._process.stdout.readline():
            if b"event=listening" in line:
                self._output_reader = asyncio.create_task(self._process.stdout.read())
                return int(line.split(b"port=")[1])
        raise RuntimeError("the agent ended before it was listening")

    async def _stop(self) -> None:
        self._process.kill()
        await self._process.wait()
        await self._output_reader

    def read_cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        path = pathlib.Path(f"/proc/{self._process.pid}/schedstat")
        return int(path.read_text(encoding="ascii").split()[0]) / 1e9

    def read_resident_mb(self) -> float:
        """Return the resident memory (``VmRSS``) in megabytes of 1,000,000 bytes."""
        path = pathlib.Path(f"/proc/{self._process.pid}/status")
        lines = path.read_text(encoding="ascii").splitlines()
        row = next(line for line in lines if line.startswith("VmRSS"))
        return int(row.split()[1]) * 1024 / 1e6
