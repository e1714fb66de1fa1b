"""Reading of request bodies with limits on size and time."""

import asyncio
from typing import Any

from sanic import Request

from bluebellusher.server._parse import BadRequestError
from bluebellusher.settings import LimitSettings
from bluebellusher_core.errors import Reason


async def read_body(request: Request, limits: LimitSettings) -> bytes:
    """Read the whole body of a request.

    The time limit applies to the whole body, because a sender of single bytes could
    otherwise hold a connection without a limit. The size limit is set here, because
    sanic disables its own for handlers that read the body themselves.

    Raises
    ------
    BadRequestError
        When the body does not arrive within the time limit.
    """
    stream: Any = request.stream
    timeout_ms = limits.slow_sender_timeout_ms
    stream.request_max_size = limits.max_body_bytes
    parts = []
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            while stream.request_body:
                data = await stream.read()
                if data:
                    parts.append(data)
    except TimeoutError:
        # The rest of the body is not read, and the connection closes after the answer.
        stream.request_body = None
        stream.keep_alive = False
        detail = f"body: expected within {timeout_ms} ms"
        raise BadRequestError(Reason.SLOW_SENDER, detail) from None
    return b"".join(parts)
