"""HTTP request that is checked once more right before it is written."""

from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import Any

import aiohttp

BEFORE_WRITE: ContextVar[Callable[[], Awaitable[None]] | None] = ContextVar(
    "before_write", default=None
)
"""Called in the context of a request before its head is written; raises an error to
prevent that. Set by the task that sends the request."""


class CheckedRequest(aiohttp.ClientRequest):
    """Request whose ``BEFORE_WRITE`` is called when its connection is open.

    Connecting takes time, and the process may be suspended in it. aiohttp writes the
    head in ``send`` for a request without a body, and otherwise together with the body
    in ``write_bytes``, which runs as a task of its own.
    """

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Check and send the request."""
        await _check()
        return await super().send(conn)

    async def write_bytes(
        self, writer: Any, conn: Any, content_length: int | None = None
    ) -> None:
        """Check again and write the head and body."""
        try:
            await _check()
        except Exception as error:
            # An error of this task reaches the reader of the answer by the protocol.
            if conn.protocol is not None:
                conn.protocol.set_exception(error)
            return
        await super().write_bytes(writer, conn, content_length)


async def _check() -> None:
    before_write = BEFORE_WRITE.get()
    if before_write is not None:
        await before_write()
