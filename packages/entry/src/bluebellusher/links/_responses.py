"""HTTP responses, read with limits on their size and time."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp

from bluebellusher.links._sse import EventSplitter

# Number of informational responses (1xx) accepted before the final response; endpoints
# send one or two.
MAX_INTERIM_RESPONSES = 16
# Bounds of the status of a final response (RFC 9110, section 15).
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
_READ_BYTES = 256 * 1024
# Upper bound of the part of an answer that is relayed in one step, and of the bytes
# that wait to be read before the endpoint has to wait, in bytes.
READ_PART_BYTES = 16 * 1024


class InvalidResponseError(aiohttp.ClientError):
    """Response whose head is not that of a final HTTP/1 response."""


class BoundedResponse(aiohttp.ClientResponse):
    """Response with a limit on informational responses and checks of its head and end.

    A response without a length ends with its connection, and aiohttp treats it as
    complete even when the connection was reset. aiohttp also reads an unlimited number
    of informational responses, and accepts every version and every status of up to
    three digits.
    """

    _connection_ended: asyncio.Future[None] | None = None

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Read the head of the response."""
        protocol = connection.protocol
        self._connection_ended = protocol.closed if protocol is not None else None
        if self._connection_ended is not None:
            self._connection_ended.add_done_callback(_retrieve_exception)
        bounded: Any = _BoundedConnection(connection)
        await super().start(bounded)
        self._check_head()
        return self

    def _check_head(self) -> None:
        """Raise ``InvalidResponseError`` unless the head is that of a final response.

        Status 101 is none, because no request asks for another protocol.
        """
        version = self.version
        is_http_1 = version is not None and version.major == 1
        is_final = MIN_FINAL_STATUS <= self.status <= MAX_STATUS
        if not (is_http_1 and is_final):
            raise InvalidResponseError(
                f"status={self.status} version={version}: expected a final response"
            )

    async def check_complete(self) -> None:
        """Raise ``ClientConnectionError`` when a response without a length was cut."""
        is_framed = "Content-Length" in self.headers
        is_framed |= "chunked" in self.headers.get("Transfer-Encoding", "")
        if not is_framed and self._connection_ended is not None:
            await self._connection_ended


class _BoundedConnection:
    """Connection whose protocol limits the number of informational responses."""

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self._protocol = _BoundedProtocol(connection)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)

    @property
    def protocol(self) -> "_BoundedProtocol | None":
        """Protocol to read responses from; None once the connection is released."""
        return self._protocol if self._connection.protocol is not None else None


class _BoundedProtocol:
    """Protocol of a connection that limits the number of response heads."""

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self._n_heads = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection.protocol, name)

    async def read(self) -> Any:
        """Return the next response head; close the connection above the limit."""
        self._n_heads += 1
        if self._n_heads > MAX_INTERIM_RESPONSES + 1:
            self._connection.close()
            message = f"more than {MAX_INTERIM_RESPONSES} informational responses"
            raise aiohttp.ClientPayloadError(message)
        return await self._connection.protocol.read()


class EventReader:
    """Reader of the complete events of a stream, which reports stalls.

    Bytes that do not complete an event do not end a stall, because the caller receives
    complete events only. The reader goes on after a stall, because the silence of an
    endpoint does not end a stream.

    Parameters
    ----------
    content : aiohttp.StreamReader
        Body of the response.
    max_gap_ms : int
        Time without a complete event from which the stream stalls, in ms.
    last_event_id : str
        Id of the last event of the previous attempt; empty when there is none.
    on_stalled : callable
        Called once for each stall.
    """

    def __init__(
        self,
        content: aiohttp.StreamReader,
        max_gap_ms: int,
        last_event_id: str,
        on_stalled: Callable[[], None],
    ) -> None:
        self._content = content
        self._max_gap_s = max_gap_ms / 1000
        self._on_stalled = on_stalled
        self._splitter = EventSplitter(last_event_id)

    @property
    def last_event_id(self) -> str:
        """Id of the last complete event."""
        return self._splitter.last_event_id

    @property
    def is_continuous(self) -> bool:
        """Whether the stream goes on after the last event of the previous attempt."""
        return self._splitter.is_continuous

    @property
    def n_pending_bytes(self) -> int:
        """Number of bytes of the incomplete event at the end of the stream."""
        return self._splitter.n_pending_bytes

    async def read(self) -> bytes:
        """Return the next complete events, or no bytes at the end of the stream.

        Raises
        ------
        ValueError
            When an event is longer than 256 KiB, which no engine sends.
        """
        max_gap = asyncio.timeout(self._max_gap_s)
        try:
            async with max_gap:
                return await self._read_events()
        except TimeoutError:
            if not max_gap.expired():
                raise
        self._on_stalled()
        return await self._read_events()

    async def _read_events(self) -> bytes:
        """Return the next complete events, however long they take."""
        while data := await self._content.read(READ_PART_BYTES):
            if events := self._splitter.feed(data):
                return events
        return b""


async def read_response_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Read the whole body of a response.

    Raises
    ------
    aiohttp.ClientPayloadError
        When the body is longer than ``max_bytes``.
    """
    body = bytearray()
    async for part in response.content.iter_chunked(_READ_BYTES):
        body += part
        if len(body) > max_bytes:
            raise aiohttp.ClientPayloadError(f"body of more than {max_bytes} bytes")
    return bytes(body)


def _retrieve_exception(future: asyncio.Future[None]) -> None:
    """Retrieve the exception of a future that may never be awaited.

    Otherwise asyncio logs that the exception was never retrieved.
    """
    if not future.cancelled():
        future.exception()
