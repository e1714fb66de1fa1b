"""HTTP exchanges with the platform, with errors classified by possible effects."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import aiohttp
from expression import Error, Ok, Result

from bluebellusher.links import (
    NOT_CONNECTED_ERRORS,
    BoundedResponse,
    open_session,
    read_response_body,
)
from bluebellusher.platform._errors import (
    PlatformError,
    PlatformNotDoneError,
    PlatformOutcomeUnknownError,
)

# Time in milliseconds to connect. An unreachable address then fails well before the
# default deadline of an operation.
CONNECT_TIMEOUT_MS = 500
# Size limit for the body of an answer.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Reply:
    """Status, headers and complete body of an answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class PlatformTransport:
    """HTTP transport that classifies each failure by its possible effect.

    Parameters
    ----------
    base_url : str
        Address of the platform, such as ``"http://10.0.0.5:8080"``.
    failure_domain : str
        Failure domain of this instance, sent in ``X-Failure-Domain``.
    deadline_ms : int
        Default deadline of an exchange in milliseconds, from connecting to the last
        byte of the answer.
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
        **request_options: Any,
    ) -> Result[Reply, PlatformError]:
        """Send a request; return an answer with a status below 500, or an error.

        The operation had no effect when no connection was made, and when the status
        is 503, by which the platform reports that it is down. After any other failure
        it may have had an effect.

        Parameters
        ----------
        step : str
            Name of the operation for errors.
        method, path : str
            HTTP method, and path below the base address.
        deadline_ms : int or None
            Deadline of this exchange; ``None`` for the default.
        **request_options
            Further arguments of ``aiohttp.ClientSession.request``.
        """
        if deadline_ms is not None and deadline_ms <= 0:
            reason = f"deadline_ms={deadline_ms}: expected more than 0"
            return Error(PlatformNotDoneError(step, self.peer, reason))
        try:
            reply = await self._send(method, path, deadline_ms, request_options)
        except NOT_CONNECTED_ERRORS as error:
            return Error(PlatformNotDoneError(step, self.peer, _describe_error(error)))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Error(
                PlatformOutcomeUnknownError(step, self.peer, _describe_error(error))
            )
        if reply.status == 503:
            reason = "status 503: the platform is down"
            return Error(PlatformNotDoneError(step, self.peer, reason))
        if reply.status >= 500:
            reason = f"status {reply.status}: expected below 500"
            return Error(PlatformOutcomeUnknownError(step, self.peer, reason))
        return Ok(reply)

    async def _send(
        self,
        method: str,
        path: str,
        deadline_ms: int | None,
        request_options: dict[str, Any],
    ) -> Reply:
        """Send a request and read the whole answer.

        Redirects are not followed: an error at their target would not show whether the
        platform has executed the request.

        Raises
        ------
        aiohttp.ClientError, TimeoutError, OSError, ValueError
            When the exchange fails.
        """
        total_s = (deadline_ms or self._deadline_ms) / 1000
        timeout = aiohttp.ClientTimeout(
            total=total_s, sock_connect=min(total_s, CONNECT_TIMEOUT_MS / 1000)
        )
        url = self._base_url + path
        session = self._open_session()
        async with session.request(
            method, url, timeout=timeout, allow_redirects=False, **request_options
        ) as response:
            body = await read_response_body(response, MAX_ANSWER_BYTES)
            return Reply(response.status, response.headers, body)

    def _open_session(self) -> aiohttp.ClientSession:
        """Return the session, which is created on first use."""
        if self._session is None:
            headers = {"X-Failure-Domain": self._failure_domain}
            self._session = open_session(
                repeats_reads=True,
                headers=headers,
                connector=aiohttp.TCPConnector(limit=64, keepalive_timeout=15),
                response_class=BoundedResponse,
                auto_decompress=False,
            )
        return self._session


def _describe_error(error: BaseException) -> str:
    """Return a description of at most 200 characters."""
    if isinstance(error, asyncio.TimeoutError):
        return "no answer within the deadline"
    return f"{type(error).__name__}: {error}"[:200]
