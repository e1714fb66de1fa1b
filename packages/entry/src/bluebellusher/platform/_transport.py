"""HTTP exchanges with the platform, classified by what is known of their effect."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import aiohttp
from expression import Error, Ok, Result

from bluebellusher.links import BoundedResponse, read_response_body
from bluebellusher.platform._errors import (
    PlatformError,
    PlatformNotDoneError,
    PlatformOutcomeUnknownError,
)

# A refused or unreachable address fails well before the deadline of the operation.
CONNECT_TIMEOUT_MS = 500
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Reply:
    """Status, headers and whole body of an answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class PlatformTransport:
    """Send one request and classify every way in which it can fail.

    Parameters
    ----------
    base_url : str
        Address of the platform.
    failure_domain : str
        Sent in ``X-Failure-Domain``.
    deadline_ms : int
        Default time for a whole exchange.
    """

    def __init__(self, base_url: str, failure_domain: str, deadline_ms: int) -> None:
        self.peer = urlsplit(base_url).netloc
        self._base_url = base_url.rstrip("/")
        self._failure_domain = failure_domain
        self._deadline_ms = deadline_ms
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def exchange(
        self,
        step: str,
        method: str,
        path: str,
        deadline_ms: int | None = None,
        **options: Any,
    ) -> Result[Reply, PlatformError]:
        """Return any answer below 500, or an error.

        A connection that was never made and a 503, with which the platform says
        that it is down, had no effect. Everything else that is not an answer may
        have had one.
        """
        if deadline_ms is not None and deadline_ms <= 0:
            reason = f"deadline_ms={deadline_ms}: expected more than 0"
            return Error(PlatformNotDoneError(step, self.peer, reason))
        try:
            reply = await self._send(method, path, deadline_ms, options)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Error(PlatformNotDoneError(step, self.peer, _describe(error)))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Error(PlatformOutcomeUnknownError(step, self.peer, _describe(error)))
        if reply.status == 503:
            reason = "status 503: the platform is down"
            return Error(PlatformNotDoneError(step, self.peer, reason))
        if reply.status >= 500:
            reason = f"status {reply.status}: expected below 500"
            return Error(PlatformOutcomeUnknownError(step, self.peer, reason))
        return Ok(reply)

    async def _send(
        self, method: str, path: str, deadline_ms: int | None, options: dict[str, Any]
    ) -> Reply:
        total_s = (deadline_ms or self._deadline_ms) / 1000
        timeout = aiohttp.ClientTimeout(
            total=total_s, sock_connect=min(total_s, CONNECT_TIMEOUT_MS / 1000)
        )
        url = self._base_url + path
        session = self._open_session()
        async with session.request(method, url, timeout=timeout, **options) as answer:
            body = await read_response_body(answer, MAX_ANSWER_BYTES)
            return Reply(answer.status, answer.headers, body)

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            headers = {"X-Failure-Domain": self._failure_domain}
            self._session = aiohttp.ClientSession(
                headers=headers,
                connector=aiohttp.TCPConnector(limit=64, keepalive_timeout=15),
                response_class=BoundedResponse,
                auto_decompress=False,
            )
        return self._session


def _describe(error: BaseException) -> str:
    if isinstance(error, asyncio.TimeoutError):
        return "no answer within the deadline"
    return f"{type(error).__name__}: {error}"[:200]
