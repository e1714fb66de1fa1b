"""A minimal entry for tests, which records the messages of an agent."""

import asyncio
import contextlib
import json
import zlib

import uvloop

from bluebellusher_agent import Address, Agent, AgentSettings
from bluebellusher_core.wire import (
    FrameDecoder,
    compute_hello_mac,
    encode,
    messages,
    verify_hello,
)
from bluebellusher_standins.engine import EngineServer, EngineSettings

SECRET = "a shared secret of tests"
CREDIT = 1 << 20


class EntryClient:
    """Connection of a test entry to an agent."""

    def __init__(self, port, entry_id="entry-1", secret=SECRET, domain="a"):
        self.port, self.entry_id, self.secret = port, entry_id, secret.encode()
        self.domain = domain
        self.received = []
        self.hello = None
        self.data_by_attempt = {}
        self.is_closed = False
        self.sends_heartbeats = True
        self._changed = asyncio.Event()

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._decoder = FrameDecoder("agent")
        self._tasks = [asyncio.create_task(self._read())]
        challenge = await self.next(messages.Hello)
        hello = messages.Hello(
            protocol_version=1,
            instance_id=self.entry_id,
            incarnation=1,
            failure_domain=self.domain,
            role=messages.Role.ENTRY,
            nonce=b"n" * 16,
        )
        hello.mac = compute_hello_mac(self.secret, challenge.nonce, hello)
        self.send(hello)
        self.hello = await self.next(messages.Hello)
        assert verify_hello(self.secret, hello.nonce, self.hello)
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        return self

    async def __aexit__(self, *_):
        self.abort()
        for task in self._tasks:
            task.cancel()

    def abort(self):
        """Abort the connection, as a network fault would."""
        self.writer.transport.abort()

    def send(self, message):
        """Send one message."""
        self.writer.write(encode(message))

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(0.5)
            if self.sends_heartbeats:
                self.send(messages.Heartbeat(1))

    async def _read(self):
        with contextlib.suppress(OSError):
            while data := await self.reader.read(65536):
                for message in self._decoder.feed(data):
                    self._record(message)
        self.is_closed = True
        self._changed.set()

    def _record(self, message):
        self.received.append(message)
        if isinstance(message, messages.ChunkBatch):
            for chunk in message.chunks:
                received_part = self.data_by_attempt.setdefault(
                    chunk.attempt_id, [chunk.offset, bytearray()]
                )
                assert chunk.offset == received_part[0] + len(received_part[1])
                received_part[1] += chunk.data
        self._changed.set()

    async def wait(self, condition):
        """Wait until ``condition()`` is true; after 20 s the test fails."""
        async with asyncio.timeout(20):
            while not condition():
                self._changed.clear()
                await self._changed.wait()

    def find(self, kind, attempt_id=None):
        """Return the first received message of a type and an attempt, else None."""
        for message in self.received:
            is_kind = isinstance(message, kind)
            if is_kind and attempt_id in (None, getattr(message, "attempt_id", None)):
                return message
        return None

    async def next(self, kind, attempt_id=None):
        """Wait for a message of a type, remove it from ``received`` and return it."""
        await self.wait(lambda: self.find(kind, attempt_id) or self.is_closed)
        message = self.find(kind, attempt_id)
        assert message is not None, f"closed; received {self.received}"
        self.received.remove(message)
        return message

    def data(self, attempt_id):
        """Return the received bytes of an attempt."""
        return bytes(self.data_by_attempt.get(attempt_id, (0, b""))[1])

    def dispatch(self, attempt_id, body, **overrides):
        """Send a dispatch with default values, some replaced by ``overrides``."""
        values = {
            "attempt_id": attempt_id,
            "request_id": "r-" + attempt_id,
            "method": "POST",
            "path": "/v1/chat/completions",
            "headers": {"content-type": "application/json"},
            "body": body,
            "priority": 1,
            "remaining_ms": 30_000,
            "is_idempotent": True,
            "resume_offset": 0,
            "is_isolated": False,
            "fingerprint": "f-" + str(zlib.crc32(body)),
            "traceparent": "",
            "credit_bytes": CREDIT,
            "service_id": "s",
        }
        self.send(messages.Dispatch(**{**values, **overrides}))

    async def finish(self, attempt_id):
        """Wait for ``Finish``, check length and CRC, and return the received bytes."""
        finish = await self.next(messages.Finish, attempt_id)
        start, data = self.data_by_attempt.get(attempt_id, (0, b""))
        assert start + len(data) == finish.n_bytes
        if start == 0:
            assert zlib.crc32(data) == finish.crc32
        return bytes(data)


def make_body(text="hello", n_tokens=8, is_stream=True):
    """Return the body of a chat completion request."""
    body = {
        "model": "model-a",
        "stream": is_stream,
        "max_tokens": n_tokens,
        "messages": [{"role": "user", "content": text}],
    }
    return json.dumps(body).encode()


def make_settings(port, **overrides):
    """Return settings of an agent beside the target on ``port``."""
    values = {
        "instance_id": "endpoint-1",
        "failure_domain": "a",
        "shared_secret": SECRET,
        "listen": Address("127.0.0.1", 0),
        "target": Address("127.0.0.1", port),
        "services": ("s",),
    }
    return AgentSettings(**{**values, **overrides})


@contextlib.asynccontextmanager
async def run_agent(port, clock=None, **overrides):
    """Run an agent beside the target on ``port``."""
    agent = Agent(make_settings(port, **overrides), clock)
    await agent.start()
    try:
        yield agent
    finally:
        await agent.stop()


def with_engine(scenario, settings=None, **overrides):
    """Run ``scenario(entry, agent, engine)`` with an engine behind an agent."""
    values = {"token_interval_ms": 2.0, "crash_marker": "CRASH", "restart_ms": 100}
    engine_settings = EngineSettings(**{**values, **(settings or {})})

    async def main():
        async with (
            EngineServer(engine_settings) as engine,
            run_agent(engine.port, **overrides) as agent,
            EntryClient(agent.port) as entry,
        ):
            await entry.next(messages.LoadReport)
            await scenario(entry, agent, engine)

    uvloop.run(main())
