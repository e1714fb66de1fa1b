"""Stand-in of an engine or plain service; it records every request that it runs."""

import asyncio
import itertools
import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable

from http_io import HttpError, Message, read_request, write_response
from record import Record

from store import Store

PREFIX = "X-Bluebellusher-"
HEARTBEAT_S = 1.2
Answer = Callable[
    ["Engine", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


async def answer_whole(
    engine: "Engine",
    request: Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answer 200 with the seal and a body; return that the connection stays open."""
    headers = [
        (f"{PREFIX}Attempt-Id", request.get(f"{PREFIX}Attempt-Id")),
        (f"{PREFIX}Response-Seal", f"seal-{engine.engine_id}"),
        ("Keep-Alive", "timeout=5"),
    ]
    await write_response(writer, 200, headers, b"whole answer")
    return True


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Engine:
    """One engine, which registers itself in the store.

    Parameters
    ----------
    store : Store
        Store to register in.
    record : Record
        Receives a line for each request that begins to run.
    engine_id, service, zone : str
        Id, service and zone of the engine.
    answer : callable
        Answers a request that runs; returns whether the connection stays open.
    work_s : float
        Time for which a request runs, in s.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        engine_id: str,
        service: str,
        zone: str = "z1",
        answer: Answer = answer_whole,
        work_s: float = 0.02,
    ) -> None:
        self.store, self.record = store, record
        self.engine_id, self.service, self.zone = engine_id, service, zone
        self.answer, self.work_s = answer, work_s
        self.host, self.port = "", 0
        self.born = int(time.time() * 1000)
        self.runs: list[Message] = []
        self._sequence = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address and register, with a heartbeat from then on."""
        self.host, self.port = host, port
        self._server = await asyncio.start_server(self._serve, host, port)
        self._heartbeat = asyncio.create_task(self._beat())

    def close(self) -> None:
        """Stop listening and registering."""
        if self._server is not None:
            self._server.close()
        if self._heartbeat is not None:
            self._heartbeat.cancel()

    def register(self, state: str = "ready") -> None:
        """Write the entry of this engine to the store."""
        entry = {
            "backend": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": next(self._sequence),
            "born": self.born,
        }
        self.store.put("servers", self.engine_id, json.dumps(entry).encode())

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._run(request, reader, writer):
                    break
        except (HttpError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        expected = request.get(f"{PREFIX}Expect-Instance")
        if expected and expected != self.engine_id:
            await write_response(writer, 421, [(f"{PREFIX}Not-Executed", "1")], b"")
            return True
        self.runs.append(request)
        self.record.write(
            "run",
            engine=self.engine_id,
            attempt=request.get(f"{PREFIX}Attempt-Id"),
            method=request.method,
            target=request.target,
            n_body=len(request.body),
        )
        await asyncio.sleep(self.work_s)
        return await self.answer(self, request, reader, writer)
