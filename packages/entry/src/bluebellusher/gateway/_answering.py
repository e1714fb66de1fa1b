"""Connections of callers, as far as their answers are concerned."""

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from bluebellusher.gateway._admission import Denial
from bluebellusher_core.memory import Account

if TYPE_CHECKING:
    from bluebellusher.gateway._connection_guard import ConnectionGuard

# Time in which the client of a rejected request can read the answer, in ms.
LINGER_MS = 1_000
# Text of aiohttp's error for a head with more headers than it accepts.
_TOO_MANY_HEADERS = "Too many headers"


class BodyRefusedError(Exception):
    """Body that is not read to its end, because the request is rejected."""

    def __init__(self, denial: Denial) -> None:
        super().__init__(denial.reason)
        self.denial = denial


class AnsweringConnection(web.RequestHandler):
    """Connection that ends if its caller does not read, with short error responses.

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
    is_refused : bool
        Whether everything that is still received is discarded.
    """

    __slots__ = (
        "_guard",
        "_n_unsent_bytes",
        "_unsent_since_ms",
        "account",
        "is_refused",
    )

    def __init__(
        self, guard: "ConnectionGuard", manager: web.Server, **options: Any
    ) -> None:
        super().__init__(manager, **options)
        self._guard = guard
        self.account = Account("")
        self.is_refused = False
        # Bytes that wait in the transport, and the time of their last change.
        self._n_unsent_bytes = 0
        self._unsent_since_ms = 0

    def pause_writing(self) -> None:
        """Watch a caller that does not read its answer as fast as it arrives."""
        super().pause_writing()
        self._n_unsent_bytes = 0
        self._guard.unread.add(self)

    def resume_writing(self) -> None:
        """Stop to watch a caller that has read most of what was sent."""
        super().resume_writing()
        self._guard.unread.discard(self)

    def check_unread(self, now_ms: int) -> None:
        """Abort a connection whose caller reads nothing for the idle timeout.

        Its answer cannot be delivered, and would otherwise be held without end.
        """
        if self.transport is None:
            self._guard.unread.discard(self)
            return
        n_unsent_bytes = self.transport.get_write_buffer_size()
        if n_unsent_bytes != self._n_unsent_bytes:
            self._n_unsent_bytes = n_unsent_bytes
            self._unsent_since_ms = now_ms
        elif now_ms - self._unsent_since_ms > self._guard.limits.idle_timeout_ms:
            self._guard.count_refused("unread_answer", self.account.owner)
            self.transport.abort()

    def postpone(self, gap_ms: int) -> None:
        """Add time to the limits, in which the process was not running."""
        self._unsent_since_ms += gap_ms

    async def linger(self) -> None:
        """Wait until the client of a rejected request has read the answer."""
        if self.is_refused and self.transport is not None:
            await asyncio.sleep(LINGER_MS / 1000)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a short response to an invalid request.

        aiohttp would repeat the client's bytes in the response and in the log.
        """
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR or request.writer.output_size:
            return super().handle_error(request, status, exc, message)
        code = HTTPStatus(status)
        if isinstance(exc, LineTooLong) or _TOO_MANY_HEADERS in str(message):
            code = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        response = web.Response(status=code.value, text=code.phrase)
        response.force_close()
        return response

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an exception, except that of a body whose rejection has been counted."""
        if not isinstance(options.get("exc_info"), BodyRefusedError):
            super().log_exception(*args, **options)
