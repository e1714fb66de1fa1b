"""HTTP client sessions that send each request once."""

from typing import Any

import aiohttp

# Errors of a session of ``open_session`` that prove that a request was not sent, unless
# it is a read that was repeated. The session makes one connection for each request and
# sends nothing before it is made.
NOT_CONNECTED_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class ConnectionLostError(aiohttp.ClientError):
    """Connection that failed after it was made, so that the request may have run.

    The message is the name of the error that aiohttp raised.
    """


def open_session(
    *, repeats_reads: bool = False, **options: Any
) -> aiohttp.ClientSession:
    """Return a client session that sends each request once.

    By itself, aiohttp repeats a request whose connection fails before the head of the
    answer is complete, if its method is GET, HEAD, OPTIONS, TRACE, PUT or DELETE. The
    method does not tell whether a request may run again, and a repeat has no attempt
    id, deadline and share of the retry budget of its own. Requests fail with
    ``ConnectionLostError`` instead.

    Callers pass ``allow_redirects=False`` with each request. The session cannot set it,
    and a redirect would send the request again.

    Parameters
    ----------
    repeats_reads : bool
        Whether aiohttp may repeat GET requests once. For servers whose GET requests
        have no effect and which may close an idle connection at any time.
    **options
        Arguments of ``aiohttp.ClientSession``.
    """
    middleware = _send_writes_once if repeats_reads else _send_once
    return aiohttp.ClientSession(middlewares=(middleware,), **options)


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Replace the errors after which aiohttp would repeat the request."""
    try:
        return await handler(request)
    except NOT_CONNECTED_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(type(error).__name__) from error


async def _send_writes_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Apply ``_send_once`` to all requests but GET requests."""
    if request.method == "GET":
        return await handler(request)
    return await _send_once(request, handler)
