"""Connections of callers, with bounds on what they may send before they are served.

aiohttp parses requests and bounds single header lines, the number of headers and the
parsed parts of a body that wait for their reader. This module adds what it does not
bound: the size and duration of a whole head, the parts of a chunked body that are not
data, the work for small chunks, and the bytes that all connections hold together. See
docs/decisions/http.md.
"""

import asyncio
import contextlib
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage

from bluebellusher.gateway._admission import Denial
from bluebellusher.gateway._answering import (
    LINGER_MS,
    AnsweringConnection,
    BodyRefusedError,
)

if TYPE_CHECKING:
    from bluebellusher.gateway._connection_guard import ConnectionGuard

# Part of a chunked body, in bytes, that is parsed at once, and the part if its chunks
# are small. Parsing 4 KiB of chunks of 1 byte takes about as long as a whole ordinary
# request.
_PART_BYTES = 16_384
_DENSE_PART_BYTES = 4_096
# A part of a chunked body is dense if its data are less than this share of it. Chunks
# of up to 2 bytes are dense.
_DENSE_SHARE = 0.35
# Bytes that are read and discarded after a rejection, so that the client can read the
# answer before its connection is reset.
_MAX_DISCARDED_BYTES = 262_144
# Empty line that ends a chunked body and its trailers.
_END_OF_BODY = b"\r\n\r\n"
# Interval at which the end of an answer is awaited that is written slowly, in s.
_RECHECK_S = 0.01


# Denial of a request whose body is above the limit.
BODY_TOO_LARGE = Denial(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too long")
# Denial of a request that gave up its memory before it was sent.
GIVEN_UP = Denial(HTTPStatus.SERVICE_UNAVAILABLE, "out of memory", 1_000)


class CallerConnection(AnsweringConnection):
    """Connection of a caller, within the limits of a guard.

    Parameters
    ----------
    guard : ConnectionGuard
        Limits, budget and counters that connections share.
    manager : web.Server
        Server that handles the requests.
    options
        Options of ``web.RequestHandler``.

    Attributes
    ----------
    account : Account
        Bytes that the process holds for the connection.
    body : bytearray
        Body of the request in progress, as far as it has been read.
    idle_since_ms : int
        Time at which the last request ended or the connection was made.
    is_refused : bool
        Whether everything that is still received is discarded.
    """

    __slots__ = (
        "_held",
        "_is_body_unread",
        "_is_chunked",
        "_is_delayed",
        "_is_dense",
        "_is_reading_held",
        "_n_body_bytes",
        "_n_discarded",
        "_n_head_bytes",
        "_n_overhead_bytes",
        "_payload",
        "_since_ms",
        "_tail",
        "body",
        "idle_since_ms",
    )

    def __init__(
        self, guard: "ConnectionGuard", manager: web.Server, **options: Any
    ) -> None:
        super().__init__(guard, manager, **options)
        self.body = bytearray()
        self.idle_since_ms = guard.now_ms
        # Time of the first byte of an incomplete head, of the last byte of data of an
        # incomplete body, or of the rejection.
        self._since_ms = 0
        self._n_head_bytes = 0
        self._n_overhead_bytes = 0
        self._n_discarded = 0
        # Announced length of a body that is not chunked.
        self._n_body_bytes = 0
        self._payload: StreamReader | None = None
        # Whether the request was answered before its body ended. aiohttp discards the
        # rest as it arrives.
        self._is_body_unread = False
        self._is_chunked = False
        self._is_dense = False
        # Last bytes of a chunked body, which may end between two parts.
        self._tail = b""
        # Received bytes that are parsed later.
        self._held = b""
        self._is_reading_held = False
        self._is_delayed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; close it if there are too many."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.account.owner = str(peer[0]) if peer else ""
        self._guard.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the process holds for the connection."""
        super().connection_lost(exc)
        self._held = b""
        self._guard.remove(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in bounded steps, within the limits of the guard."""
        if not data:
            # aiohttp continues with bytes that its parser has kept.
            if not self.is_refused:
                self._feed(data)
        elif self.is_refused:
            self._discard(len(data))
        elif self._held:
            self._hold(data)
        else:
            self._process(data)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Continue after the reader of a body has taken the earlier parts."""
        super().resume_reading(resume_parser)
        if self._held and not self._reading_paused and not self._is_delayed:
            # The parser may call this method, and cannot be entered again.
            self._loop.call_soon(self.resume_held)

    def _resume_transport_reading(self) -> None:
        if not self._is_reading_held:
            super()._resume_transport_reading()

    def resume_held(self) -> None:
        """Process the bytes that were received earlier and are still held."""
        self._is_delayed = False
        if self.transport is None or self._reading_paused:
            # ``resume_reading`` continues when the reader has taken the earlier parts.
            return
        if self._held and self._payload is None and self._request_in_progress:
            # The answer is still being written.
            self._loop.call_later(_RECHECK_S, self.resume_held)
            return
        data, self._held = self._held, b""
        self._guard.budget.release(self.account, len(data))
        if self.is_refused:
            self._discard(len(data))
        elif data:
            self._process(data)
        if not self._held:
            self._is_reading_held = False
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _process(self, data: bytes) -> None:
        while data and not self.is_refused:
            if self._payload is not None:
                data = self._feed_body(self._payload, data)
            elif self._request_in_progress:
                self._hold(data)
                return
            else:
                data = self._feed_head(data)

    def _feed(self, data: bytes) -> None:
        """Pass bytes to aiohttp and follow which part of a request comes next."""
        n_requests = self._request_count
        super().data_received(data)
        if self._request_count != n_requests:
            self._begin_request()
        if self._payload is not None and self._payload.is_eof():
            self._payload = None
            self._guard.watched.discard(self)

    def _begin_request(self) -> None:
        """Follow the last request that aiohttp has parsed the head of."""
        message, payload = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            if self._payload is None or self._payload.is_eof():
                # aiohttp answers with the response of ``handle_error``.
                self.refuse("invalid_head")
            else:
                self._messages.pop()
                denial = Denial(HTTPStatus.BAD_REQUEST, "invalid body")
                self.refuse_body(denial, "invalid_body")
            return
        self._n_head_bytes = 0
        self._n_overhead_bytes = 0
        if payload.is_eof():
            self._payload = None
            self._guard.watched.discard(self)
            return
        self._payload = payload
        self._is_body_unread = False
        self._is_chunked = message.chunked
        self._tail = b""
        self._n_body_bytes = int(message.headers.get("Content-Length", 0))
        self._is_dense = False
        self._watch()
        self._charge(payload.total_bytes)

    def _feed_head(self, data: bytes) -> bytes:
        """Pass at most the rest of a head to the parser; return the bytes behind."""
        room = self._guard.limits.max_header_bytes - self._n_head_bytes
        part = data[:room] if len(data) > room else data
        n_requests = self._request_count
        self._feed(part)
        if self._request_count != n_requests:
            return data[len(part) :]
        if len(part) < len(data):
            self.refuse_head(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large"
            )
            return b""
        # Some clients send an empty line behind a body and keep the connection idle.
        if self not in self._guard.watched and part.strip(b"\r\n"):
            self._watch()
        self._n_head_bytes += len(part)
        self._charge(len(part))
        return b""

    def _begin_head_behind(self, part: bytes) -> None:
        """Watch the head that begins behind a chunked body in the same part.

        The empty line that ends the body may have begun in the part before.
        """
        if not self._is_chunked:
            return
        _, end, behind = (self._tail + part).rpartition(_END_OF_BODY)
        if end and behind.strip(b"\r\n"):
            self._n_head_bytes = len(behind)
            self._watch()

    def _feed_body(self, payload: StreamReader, data: bytes) -> bytes:
        """Pass a part of a body to the parser; return the bytes behind that part."""
        n_before = payload.total_bytes
        limits = self._guard.limits
        part = data
        if self._is_chunked:
            part = data[: _DENSE_PART_BYTES if self._is_dense else _PART_BYTES]
        elif (n_left := self._n_body_bytes - payload.total_raw_bytes) < len(data):
            # What follows is a head, whose bytes are counted.
            part = data[: max(1, n_left)]
        n_requests = self._request_count
        self._feed(part)
        if self._payload is None and self._request_count == n_requests:
            self._begin_head_behind(part)
        self._tail = (self._tail + part)[1 - len(_END_OF_BODY) :]
        if self.is_refused:
            return b""
        rest = data[len(part) :]
        n_data_bytes = payload.total_bytes - n_before
        if n_data_bytes:
            self._since_ms = self._guard.now_ms
            self._n_overhead_bytes = 0
            if payload.total_bytes > limits.max_body_bytes:
                self.refuse_body(BODY_TOO_LARGE, "body_too_large")
                return b""
            if not self._is_body_unread:
                self._charge(n_data_bytes)
        elif self._payload is not None:
            self._n_overhead_bytes += len(part)
            if self._n_overhead_bytes > limits.max_header_bytes:
                denial = Denial(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "chunk overhead"
                )
                self.refuse_body(denial, "chunk_overhead")
                return b""
        if not rest or self._payload is None or self.is_refused:
            return rest
        self._is_dense = n_data_bytes < len(part) * _DENSE_SHARE
        if self._is_dense:
            self._is_delayed = True
            self._guard.delay(self)
        elif not self._reading_paused:
            return rest
        self._hold(rest)
        return b""

    def _hold(self, data: bytes) -> None:
        """Keep bytes for later; stop reading above the size of a head.

        A client that sends the next request early is read again after its answer. Its
        disconnection is noticed as long as reading has not stopped.
        """
        self._held += data
        self._charge(len(data))
        if (
            self._payload is not None
            or len(self._held) > self._guard.limits.max_header_bytes
        ):
            self._is_reading_held = True
            self._pause_transport_reading()

    def _charge(self, n_bytes: int) -> None:
        """Add bytes to the account; others or this connection may be evicted."""
        if n_bytes:
            self._guard.charge(self.account, n_bytes)

    def _watch(self) -> None:
        self._since_ms = self._guard.now_ms
        self._guard.watched.add(self)

    def postpone(self, gap_ms: int) -> None:
        """Add time to the limits, in which the process was not running."""
        super().postpone(gap_ms)
        self._since_ms += gap_ms

    def check(self, now_ms: int) -> None:
        """End a request whose caller has stopped sending; called periodically."""
        age_ms = now_ms - self._since_ms
        if self.transport is None:
            self._guard.watched.discard(self)
        elif self.is_refused:
            if age_ms > LINGER_MS and not self._request_in_progress:
                self.force_close()
        elif self._is_reading_held or self._reading_paused:
            self._since_ms = now_ms
        elif age_ms > self._guard.limits.header_timeout_ms:
            if self._payload is None:
                self.refuse_head(HTTPStatus.REQUEST_TIMEOUT, "slow_head")
            else:
                denial = Denial(HTTPStatus.REQUEST_TIMEOUT, "slow sender")
                self.refuse_body(denial, "slow_body")

    def evict(self) -> None:
        """Give up a request that has not been read completely, for its memory."""
        if self._payload is None:
            self.refuse("memory")
            self.force_close()
        else:
            self.refuse_body(GIVEN_UP, "memory")

    def refuse_head(self, status: HTTPStatus, reason: str) -> None:
        """Answer a request without a complete head; read nothing more.

        Behind a request in progress, the connection is closed after its answer.
        """
        self.refuse(reason)
        if self._request_in_progress or self._messages:
            self.close()
        elif self.transport is not None:
            head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            fields = "Content-Length: 0\r\nConnection: close\r\n\r\n"
            self.transport.write((head + fields).encode())

    def refuse_body(self, denial: Denial, reason: str) -> None:
        """Let the reader of the body answer with a denial; release the body."""
        payload = self._payload
        self.refuse(reason)
        if payload is not None and payload.exception() is None:
            # The reader holds no bytes if it waits for some.
            with contextlib.suppress(RuntimeError):
                payload.read_nowait()
            payload.set_exception(BodyRefusedError(denial))

    def refuse(self, reason: str) -> None:
        """Discard what is received from now on, and release what is held."""
        self.is_refused = True
        self._guard.count_refused(reason, self.account.owner)
        self._watch()
        self._held = b""
        self.body = bytearray()
        self._guard.budget.release(self.account)
        if self._is_reading_held:
            self._is_reading_held = False
            self._resume_transport_reading()

    def _discard(self, n_bytes: int) -> None:
        self._n_discarded += n_bytes
        if self._n_discarded > _MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.abort()

    def end_request(self, payload: StreamReader) -> None:
        """Release the memory of a request that has been answered.

        ``payload`` is its body. The body of the next request may already arrive, and
        stays charged.
        """
        self.body = bytearray()
        self._is_body_unread = self._payload is payload
        self._guard.budget.release(self.account)
        self.account.is_evictable = True
        self.idle_since_ms = self._guard.now_ms
        if self._payload is not None and not self._is_body_unread:
            self._charge(self._payload.total_bytes)
        if self._held:
            self._charge(len(self._held))
            # The connection counts as busy until aiohttp has ended the request.
            self._loop.call_soon(self.resume_held)
