"""Answers of endpoints that end inside their status line or headers."""

import asyncio
import contextlib

import pytest

from bluebellusher.gateway.tests.harness import HOST, make_route, run_scenario
from bluebellusher_core.directory import RequestKind

SEALED = b"HTTP/1.1 200 OK\r\nSeal: s\r\nAttempt: t1\r\n"
EVENTS = SEALED + b"Content-Type: text/event-stream\r\n"
EVENT = b"id: 1\ndata: a\n\n"
HEAD_BY_FRAMING = {
    "length": SEALED + b"Content-Length: 15\r\n\r\n",
    "chunks": SEALED + b"Transfer-Encoding: chunked\r\n\r\n",
    "close": SEALED + b"Connection: close\r\n\r\n",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSeal: s\r\n\r\n",
    "informational": b"HTTP/1.1 103 Early Hints\r\n\r\n" + SEALED + b"\r\n",
    "events": EVENTS + b"\r\n",
    "chunked events": EVENTS + b"Transfer-Encoding: chunked\r\n\r\n",
    "bare line ends": SEALED.replace(b"\r\n", b"\n") + b"Content-Length: 5\n\n",
}
BODY_BY_FRAMING = {
    "length": b"x" * 15,
    "chunks": b"1\r\nx\r\n0\r\n\r\n",
    "events": EVENT,
    "chunked events": b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENT), EVENT),
    "bare line ends": b"x" * 5,
}
ROUTES = [
    make_route(RequestKind.NON_IDEMPOTENT, n_max_attempts=1),
    make_route(
        RequestKind.STREAMING,
        path_prefix="/s/",
        route_id="s",
        is_resumable=True,
        n_max_attempts=1,
    ),
]


class TruncatingEndpoint:
    """Endpoint that closes each connection after the first bytes of a head.

    ``is_reset`` selects how the connection ends.
    """

    endpoint_id = "x"

    def __init__(self, is_reset):
        self.port = 0
        self.data = b""
        self.n_requests = 0
        self._is_reset = is_reset
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.n_requests += 1
            writer.write(self.data)
            await writer.drain()
            await asyncio.sleep(0.001)
            if self._is_reset:
                writer.transport.abort()
        writer.close()

    def close(self):
        """Close the port."""
        self._server.close()


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("path", ["/a/x", "/s/x"])
@pytest.mark.parametrize("framing", HEAD_BY_FRAMING)
def test_answer_that_ends_in_its_head_is_no_success(framing, path, is_reset):
    """Guards against an empty or short answer that the caller takes for complete."""
    head = HEAD_BY_FRAMING[framing]
    endpoint = TruncatingEndpoint(is_reset)

    async def scenario(harness):
        for n_bytes in range(len(head)):
            endpoint.data = head[:n_bytes]
            status, _, body = await harness.fetch("POST", path, data=b"q")
            assert status == 502, f"{n_bytes} bytes of the head: {status} {body}"
        assert endpoint.n_requests == len(head)
        endpoint.data = head + BODY_BY_FRAMING.get(framing, b"")
        if not is_reset:
            status, _, _ = await harness.fetch("POST", path, data=b"q")
            assert status == 200, "the whole answer"

    run_scenario(scenario, [], [endpoint], routes=ROUTES)
