"""Answers that are lost after their request has run, counted at the endpoints.

The caller and the endpoints use sockets without an HTTP client, so that each request
that arrives was sent by the entry, and each run is one that a caller pays for.
"""

import asyncio
import contextlib
import socket
import struct

import pytest

from bluebellusher.gateway.tests.harness import HOST, make_route, run_scenario
from bluebellusher_core.directory import RequestKind

METHODS = (
    "GET",
    "HEAD",
    "OPTIONS",
    "TRACE",
    "PUT",
    "DELETE",
    "POST",
    "PATCH",
    "PROPFIND",
)
HEAD = b"HTTP/1.1 200 OK\r\nSeal: s\r\nAttempt: t1\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
# Bytes of the answer that arrive before it is lost.
PART_BY_NAME = {
    "before the first byte": b"",
    "in the status line": HEAD[:12],
    "in the head": HEAD,
    "in the body": HEAD + b"Content-Length: 100\r\n\r\npart",
}
# What the endpoint does with the requests that arrive after the lost answer.
AFTERWARDS = ("answers", "refuses requests", "refuses connections")
# Larger than the buffers of a connection, so that the answer is lost while the entry
# still writes the request.
LARGE_BODY = b"x" * 1_000_000
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class LosingEndpoint:
    """Endpoint that runs each request and loses the answer to the first one.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint.
    part : bytes
        Bytes of the lost answer that are sent.
    is_reset : bool
        Whether the connection is reset instead of closed.
    afterwards : str
        One of ``AFTERWARDS``.
    reads_body : bool
        Whether the body is read before the request runs.
    """

    def __init__(self, endpoint_id, part, is_reset, afterwards, *, reads_body=True):
        self.endpoint_id = endpoint_id
        self.port = 0
        self.n_arrived = 0
        self._part = part
        self._is_reset = is_reset
        self._afterwards = afterwards
        self._reads_body = reads_body
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await self._run(reader, writer)
        writer.close()

    async def _run(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        _, _, length = head.partition(b"content-length: ")
        if length and self._reads_body:
            await reader.readexactly(int(length.split(b"\r\n")[0]))
        self.n_arrived += 1
        if self.n_arrived == 1:
            writer.write(self._part)
            await writer.drain()
            # The entry must read the part before the connection is reset.
            await asyncio.sleep(0.005 if self._part else 0)
            if self._afterwards == "refuses connections":
                self._server.close()
            if self._is_reset:
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        elif self._afterwards == "refuses requests":
            writer.write(REFUSAL)
        else:
            writer.write(HEAD + b"Content-Length: 5\r\n\r\nwhole")

    def close(self):
        """Close the port."""
        self._server.close()


async def send(port, method, body):
    """Send a request once; return the status and the head of the answer.

    The status is 0 if the connection ends without an answer.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    head = f"{method} /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt: t1\r\n"
    head += f"Remaining: 3000\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    try:
        answer_head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, b""
    finally:
        writer.close()
    return int(answer_head.split(b" ")[1]), answer_head


@pytest.mark.parametrize("afterwards", AFTERWARDS)
@pytest.mark.parametrize("is_reset", [True, False], ids=["reset", "closed"])
@pytest.mark.parametrize("part_name", PART_BY_NAME)
@pytest.mark.parametrize("method", METHODS)
def test_request_that_may_not_be_repeated_runs_once(
    method, part_name, is_reset, afterwards
):
    """Guards against a second run of a request whose answer was lost.

    The caller must not learn that the request has not run either, because it would
    send it again.
    """
    for kind in (RequestKind.NON_IDEMPOTENT, RequestKind.STREAMING):
        check_runs_once(kind, method, PART_BY_NAME[part_name], is_reset, afterwards)


@pytest.mark.parametrize("afterwards", AFTERWARDS)
@pytest.mark.parametrize("method", METHODS)
def test_request_whose_body_was_not_read_runs_once(method, afterwards):
    """Guards against a second run when the connection fails while a body is sent."""
    kind = RequestKind.NON_IDEMPOTENT
    check_runs_once(
        kind, method, b"", True, afterwards, reads_body=False, body=LARGE_BODY
    )


def check_runs_once(kind, method, *endpoint_options, reads_body=True, body=b"order"):
    """Check that a request runs once, and that its caller is not told otherwise.

    ``endpoint_options`` are those of ``LosingEndpoint`` after the id.
    """
    endpoints = [
        LosingEndpoint(name, *endpoint_options, reads_body=reads_body)
        for name in ("x0", "x1")
    ]

    async def scenario(harness):
        status, answer_head = await send(harness.port, method, body)
        await asyncio.sleep(0.02)
        assert sum(endpoint.n_arrived for endpoint in endpoints) == 1
        assert status not in NOT_RUN_STATUSES
        assert b"retry-after" not in answer_head.lower()
        assert harness.recorder.count("attempt-sent") == 1

    run_scenario(scenario, [], endpoints=endpoints, routes=[make_route(kind)])


@pytest.mark.parametrize("afterwards", AFTERWARDS)
@pytest.mark.parametrize("is_reset", [True, False], ids=["reset", "closed"])
@pytest.mark.parametrize("part_name", PART_BY_NAME)
@pytest.mark.parametrize("method", METHODS)
def test_each_repeat_is_an_attempt_at_another_endpoint(
    method, part_name, is_reset, afterwards
):
    """Guards against repeats that the retry budget and the log do not count.

    An HTTP client that repeats a request by itself sends it to the same endpoint, with
    the remaining time of the first attempt.
    """
    endpoints = [
        LosingEndpoint(name, PART_BY_NAME[part_name], is_reset, afterwards)
        for name in ("x0", "x1")
    ]

    async def scenario(harness):
        status, _ = await send(harness.port, method, b"order")
        assert status not in NOT_RUN_STATUSES
        assert [endpoint.n_arrived for endpoint in endpoints] == [1, 1]
        assert harness.recorder.count("attempt-sent") == 2

    run_scenario(scenario, [], endpoints=endpoints)
