"""HTTP/1.1 client for the engine or plain service on the same instance."""

import asyncio
import time
from collections import deque
from http import HTTPStatus
from typing import Any

import httptools

from bluebellusher_core.errors import StepError

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
# Limit of informational answers (1xx) before the final answer; servers usually send one
# or two, and a faulty server could send them without end.
MAX_INFORMATIONAL_ANSWERS = 16
# Bounds of the status of an answer (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599
MAX_CONTROL_BODY_BYTES = 4 * 1024 * 1024
# Servers commonly close idle connections after 5 s or more. Reusing only connections
# that were idle for less than 2 s avoids a request that is written just as the server
# closes the connection.
MAX_IDLE_S = 2.0
MAX_IDLE_CONNECTIONS = 64


class NotSentError(StepError):
    """The request failed before its first byte was written, so it has not run."""


class PortClosedError(NotSentError):
    """No process listens at the address, which shows that the server has ended."""


class ExchangeError(StepError):
    """The exchange failed; the request may have been sent and may have run."""


class HttpConnection:
    """One TCP connection to the target and the time since which it is idle."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.idle_since_s = 0.0

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has failed or was closed by either side."""
        has_failed = self.reader.exception() is not None or self.reader.at_eof()
        return has_failed or self.writer.is_closing()

    def can_be_reused(self, now_s: float) -> bool:
        """Return whether the connection is open and idle for under ``MAX_IDLE_S``."""
        return not self.is_closed and now_s - self.idle_since_s < MAX_IDLE_S

    async def has_unread_bytes(self) -> bool:
        """Return whether the server has written or closed since the last answer.

        Such bytes belong to no request. They are consumed, so that the connection must
        not be used again.
        """
        try:
            async with asyncio.timeout(0):
                await self.reader.read(1)
        except TimeoutError:
            return False
        except OSError:
            # The connection has failed, so that it cannot be used either.
            return True
        return True

    def close(self) -> None:
        """Abort the connection without flushing its write buffer."""
        self.writer.transport.abort()


class Exchange:
    """A written request and the parser of its answer.

    ``HttpResponseParser`` calls the methods whose names start with ``on_``.

    Parameters
    ----------
    client : HttpClient
        Client that receives the connection back for reuse.
    connection : HttpConnection
        Connection on which the request was written.
    is_bodiless : bool
        Whether the answer has no body, as for a HEAD request.
    """

    def __init__(
        self, client: "HttpClient", connection: HttpConnection, is_bodiless: bool
    ) -> None:
        self._client = client
        self._is_bodiless = is_bodiless
        self._connection: HttpConnection | None = connection
        self._parser = httptools.HttpResponseParser(self)
        self._body_parts: deque[bytes] = deque()
        self._n_header_bytes = 0
        # Bytes received since the last part of the body or informational answer.
        self._n_overhead_bytes = 0
        self._n_informational = 0
        self._is_head_complete = False
        self._is_complete = False
        self._is_delimited = False
        self._is_keep_alive = False
        self.status = 0
        self.header_by_name: dict[str, str] = {}

    def on_message_begin(self) -> None:
        """Raise ``ValueError`` for data after the answer; it belongs to no request."""
        if self._is_complete:
            raise ValueError("bytes after the answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header under its lower-case name.

        Raises
        ------
        ValueError
            If the names and values together exceed ``MAX_HEADER_BYTES``.
        """
        self._n_header_bytes += len(name) + len(value)
        if self._n_header_bytes > MAX_HEADER_BYTES:
            raise ValueError("headers too long")
        key = name.decode("latin-1").lower()
        self.header_by_name[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Record the status of the final answer; discard informational answers.

        Raises
        ------
        ValueError
            If the version or the status is not one of HTTP/1, or if there are more than
            ``MAX_INFORMATIONAL_ANSWERS`` informational answers.
        """
        self.status = self._parser.get_status_code()
        is_http_1 = self._parser.get_http_version().startswith("1.")
        is_valid = is_http_1 and MIN_STATUS <= self.status <= MAX_STATUS
        # No request asks for another protocol.
        if not is_valid or self.status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise ValueError(f"status {self.status}: expected one of HTTP/1")
        if self.status < HTTPStatus.OK:
            self.header_by_name.clear()
            self._n_overhead_bytes = 0
            self._n_informational += 1
            if self._n_informational > MAX_INFORMATIONAL_ANSWERS:
                raise ValueError("too many informational answers")
            return
        self._is_head_complete = True
        self._n_overhead_bytes = 0
        # The parser does not recognise that an answer to HEAD has no body.
        self._is_complete = self._is_bodiless
        names = ("content-length", "transfer-encoding")
        self._is_delimited = any(name in self.header_by_name for name in names)

    def on_body(self, data: bytes) -> None:
        """Store a part of the body for ``read_body``."""
        if data:
            self._body_parts.append(data)
            self._n_overhead_bytes = 0

    def on_message_complete(self) -> None:
        """Record the end of the final answer and whether the connection stays open."""
        if self._is_head_complete:
            self._is_complete = True
            # The parser resets this state before it accepts the next answer.
            self._is_keep_alive = self._parser.should_keep_alive()

    @property
    def is_broken(self) -> bool:
        """Return whether the connection closed before the answer was complete."""
        if self._is_complete:
            return False
        connection = self._connection
        return connection is None or connection.is_closed

    async def read_head(self) -> int:
        """Receive the status and headers of the answer and return the status.

        Raises
        ------
        ExchangeError
            If the connection fails or the answer is not valid HTTP.
        """
        while not self._is_head_complete:
            await self._receive()
        return self.status

    async def read_body(self) -> bytes:
        """Return the next part of the body, empty at the end of the answer.

        Raises
        ------
        ExchangeError
            If the connection fails or the answer is not valid HTTP.
        """
        while not self._body_parts and not self._is_complete:
            await self._receive()
        if self._body_parts:
            data = b"".join(self._body_parts)
            self._body_parts.clear()
            return data
        self._release_connection()
        return b""

    def close(self) -> None:
        """Abort the connection, unless the answer was read to its end."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def _receive(self) -> None:
        """Read from the connection and pass the data to the parser."""
        if self._connection is None:
            raise ExchangeError("read-answer", self._client.peer, "closed")
        try:
            data = await self._connection.reader.read(READ_BYTES)
            if data:
                self._n_overhead_bytes += len(data)
                self._parser.feed_data(data)
                # The parser keeps a line without end, of a head or of trailers.
                if self._n_overhead_bytes > MAX_HEADER_BYTES + READ_BYTES:
                    raise ValueError("no end of a line")
                return
        except (OSError, ValueError, httptools.HttpParserError) as error:
            if self._is_complete:
                # The bytes after the answer belong to no request.
                self._is_keep_alive = False
                return
            self.close()
            reason = f"{type(error).__name__}: expected an HTTP answer"
            raise ExchangeError("read-answer", self._client.peer, reason) from error
        if self._is_head_complete and not self._is_delimited:
            self._is_complete = True
            return
        self.close()
        raise ExchangeError("read-answer", self._client.peer, "connection closed")

    def _release_connection(self) -> None:
        """Return the connection to the client if it can be reused, else close it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        is_reusable = self._is_delimited and not self._is_bodiless
        if is_reusable and self._is_keep_alive:
            self._client.store_idle(connection)
        else:
            connection.close()


class HttpClient:
    """HTTP client for one address with a pool of idle connections.

    Parameters
    ----------
    host, port : str, int
        Address of the engine or plain service.
    """

    def __init__(self, host: str, port: int) -> None:
        self.peer = f"{host}:{port}"
        self._host = host
        self._port = port
        self._idle: deque[HttpConnection] = deque()

    async def acquire(self, is_idempotent: bool = True) -> HttpConnection:
        """Return an idle connection, or a new one if no idle connection can be reused.

        A request that is not idempotent gets a new connection. The server may close
        an idle connection just as the request is written, and the request could then
        not be repeated.

        Raises
        ------
        NotSentError
            If the connection cannot be established within ``CONNECT_TIMEOUT_S``.
        """
        connection = await self._pop_idle() if is_idempotent else None
        return connection or await self._connect()

    async def send(
        self,
        connection: HttpConnection,
        method: str,
        path: str,
        header_by_name: dict[str, str],
        body: bytes,
    ) -> Exchange:
        """Write a request and return the exchange from which its answer is read.

        Raises
        ------
        ExchangeError
            If writing fails.
        """
        head = self._encode_head(method, path, header_by_name, len(body))
        try:
            connection.writer.write(head + body)
            await connection.writer.drain()
        except OSError as error:
            connection.close()
            reason = type(error).__name__
            raise ExchangeError("write-request", self.peer, reason) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        return Exchange(self, connection, method == "HEAD")

    async def fetch(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_ms: int = 1000,
        is_reusing: bool = True,
    ) -> tuple[int, bytes]:
        """Send a request and return the status and the complete body of its answer.

        Parameters
        ----------
        method, path : str
            Method and request target.
        body : bytes
            JSON body; empty for none.
        timeout_ms : int
            Timeout of the whole exchange, in milliseconds.
        is_reusing : bool
            Whether a GET or DELETE may use an idle connection.

        Returns
        -------
        tuple of int and bytes
            Status and body.

        Raises
        ------
        NotSentError
            If the connection cannot be established.
        ExchangeError
            If the exchange fails later, the timeout expires, or the body is longer
            than ``MAX_CONTROL_BODY_BYTES``.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._fetch(method, path, body, is_reusing)
        except TimeoutError as error:
            reason = f"no answer within {timeout_ms} ms"
            raise ExchangeError("read-answer", self.peer, reason) from error

    async def _fetch(
        self, method: str, path: str, body: bytes, is_reusing: bool
    ) -> tuple[int, bytes]:
        header_by_name = {"content-type": "application/json"} if body else {}
        is_idempotent = method in ("GET", "DELETE")
        connection = await self.acquire(is_idempotent and is_reusing)
        exchange = await self.send(connection, method, path, header_by_name, body)
        try:
            status = await exchange.read_head()
            parts = bytearray()
            while data := await exchange.read_body():
                parts += data
                if len(parts) > MAX_CONTROL_BODY_BYTES:
                    raise ExchangeError("read-answer", self.peer, "answer too long")
            return status, bytes(parts)
        finally:
            exchange.close()

    def store_idle(self, connection: HttpConnection) -> None:
        """Store an idle connection for reuse; close the oldest one above the limit."""
        connection.idle_since_s = time.monotonic()
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.popleft().close()

    def close_idle(self, is_all: bool = False) -> None:
        """Close connections idle for ``MAX_IDLE_S`` or longer, or all idle ones."""
        now_s = time.monotonic()
        while self._idle and (is_all or not self._idle[0].can_be_reused(now_s)):
            self._idle.popleft().close()

    async def _pop_idle(self) -> HttpConnection | None:
        """Return the most recently used idle connection, None if none can be reused."""
        now_s = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            is_usable = connection.can_be_reused(now_s)
            if is_usable and not await connection.has_unread_bytes():
                return connection
            connection.close()
        return None

    async def _connect(self) -> HttpConnection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                streams = await asyncio.open_connection(
                    self._host, self._port, limit=READ_BYTES
                )
        except ConnectionRefusedError as error:
            reason = "connection refused: expected a listener"
            raise PortClosedError("connect", self.peer, reason) from error
        except (OSError, TimeoutError) as error:
            reason = f"{type(error).__name__}: expected a connection"
            raise NotSentError("connect", self.peer, reason) from error
        return HttpConnection(*streams)

    def _encode_head(
        self, method: str, path: str, header_by_name: dict[str, str], n_bytes: int
    ) -> bytes:
        """Return the request line and headers for a body of ``n_bytes``."""
        lines = [f"{method} {path} HTTP/1.1", f"host: {self.peer}"]
        lines += [f"{name}: {value}" for name, value in header_by_name.items()]
        if n_bytes or method in ("POST", "PUT", "PATCH"):
            lines.append(f"content-length: {n_bytes}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def is_token(text: Any) -> bool:
    """Return whether ``text`` is valid as an HTTP method or header name."""
    if not isinstance(text, str) or not 0 < len(text) <= 256:
        return False
    return all(c.isascii() and (c.isalnum() or c in "!#$%&'*+-.^_`|~") for c in text)


def is_header_value(text: Any) -> bool:
    """Return whether ``text`` is valid as a header value."""
    if not isinstance(text, str) or len(text) > 16_384:
        return False
    return all(c == "\t" or (" " <= c <= "ÿ" and c != "\x7f") for c in text)


def is_path(text: Any) -> bool:
    """Return whether ``text`` is a valid request target in origin form."""
    if not isinstance(text, str) or not 0 < len(text) <= 16_384:
        return False
    return text[0] == "/" and all("!" <= c <= "~" for c in text)
