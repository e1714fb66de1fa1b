"""Answers over HTTP, read within bounds on bytes and time."""

import asyncio
from typing import Any

import aiohttp

from bluebellusher.links._sse import EventSplitter

# Informational answers (1xx) before the real one; endpoints send one or two.
MAX_INTERIM_ANSWERS = 16
_READ_BYTES = 256 * 1024


class BoundedResponse(aiohttp.ClientResponse):
    """A response with few informational answers that knows how its connection ended.

    An answer without a length ends with its connection; aiohttp takes it as whole
    even when the connection was reset. It also reads informational answers for as long
    as they come.
    """

    _connection_ended: asyncio.Future[None] | None = None

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Begin to read the answer."""
        protocol = connection.protocol
        self._connection_ended = protocol.closed if protocol is not None else None
        if self._connection_ended is not None:
            self._connection_ended.add_done_callback(_retrieve)
        bounded: Any = _BoundedConnection(connection)
        return await super().start(bounded)

    async def check_end(self) -> None:
        """Raise ``ClientConnectionError`` when an answer without a length was cut."""
        is_framed = "Content-Length" in self.headers
        is_framed |= "chunked" in self.headers.get("Transfer-Encoding", "")
        if not is_framed and self._connection_ended is not None:
            await self._connection_ended


class _BoundedConnection:
    """A connection whose protocol gives up endless informational answers."""

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self._protocol = _BoundedProtocol(connection)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)

    @property
    def protocol(self) -> "_BoundedProtocol | None":
        """Return what answers are read from; None once the connection is released."""
        return self._protocol if self._connection.protocol is not None else None


class _BoundedProtocol:
    """The protocol of a connection, from which few heads can be read."""

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self._n_heads = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection.protocol, name)

    async def read(self) -> Any:
        """Return the next head."""
        self._n_heads += 1
        if self._n_heads > MAX_INTERIM_ANSWERS + 1:
            self._connection.close()
            message = f"more than {MAX_INTERIM_ANSWERS} informational answers"
            raise aiohttp.ClientPayloadError(message)
        return await self._connection.protocol.read()


class EventReader:
    """Whole events of a stream, each within a time.

    A stream that sends bytes and never a whole event has stopped for its caller, whose
    patience only ends with the next event.

    Parameters
    ----------
    content : aiohttp.StreamReader
        Body of the answer.
    max_silence_ms : int
        Longest time to the next whole event.
    last_event_id : str
        Id of the last event of an earlier attempt; empty for none.
    """

    def __init__(
        self, content: aiohttp.StreamReader, max_silence_ms: int, last_event_id: str
    ) -> None:
        self._content = content
        self._max_silence_s = max_silence_ms / 1000
        self._splitter = EventSplitter(last_event_id)

    @property
    def last_event_id(self) -> str:
        """Id of the last whole event."""
        return self._splitter.last_event_id

    @property
    def n_pending(self) -> int:
        """Bytes of an event that is not whole yet."""
        return self._splitter.n_pending

    async def read(self) -> bytes:
        """Return the next whole events; empty at the end of the stream.

        Raises
        ------
        TimeoutError
            When no event is whole in time.
        ValueError
            When an event is longer than any engine sends.
        """
        async with asyncio.timeout(self._max_silence_s):
            while data := await self._content.readany():
                if events := self._splitter.feed(data):
                    return events
        return b""


async def read_whole(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body.

    Raises
    ------
    aiohttp.ClientPayloadError
        When the body is longer than ``max_bytes``.
    """
    body = bytearray()
    async for part in response.content.iter_chunked(_READ_BYTES):
        body += part
        if len(body) > max_bytes:
            raise aiohttp.ClientPayloadError(f"answer above {max_bytes} bytes")
    return bytes(body)


def _retrieve(future: asyncio.Future[None]) -> None:
    """Take a result that nobody may wait for."""
    if not future.cancelled():
        future.exception()
