"""Reading of a caller's body under limits."""

import asyncio
from typing import Any

from sanic import Request

from bluebellusher.server._parse import BadRequestError
from bluebellusher.settings import LimitSettings
from bluebellusher_core.errors import Reason


async def read_body(request: Request, limits: LimitSettings) -> bytes:
    """Return the whole body.

    The time limit is on the whole body, because a sender that trickles bytes
    would otherwise hold a connection for as long as it likes. Sanic lifts its
    limit on the size for handlers that read the body themselves.
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
        # The rest is not awaited, and the connection closes after the answer.
        stream.request_body = None
        stream.keep_alive = False
        detail = f"body: expected within {timeout_ms} ms"
        raise BadRequestError(Reason.SLOW_SENDER, detail) from None
    return b"".join(parts)
