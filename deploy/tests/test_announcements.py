"""Answers in which engines say that they leave or pause, as bytes on a real socket."""

import asyncio

import pytest

from bluebellusher.gateway.tests.harness import HOST, run_scenario

from dialect import PlatformDialect

ATTEMPT = "t1"
CALLER = {"X-Bluebellusher-Attempt-Id": ATTEMPT, "X-Bluebellusher-Deadline-Ms": "3000"}
SEALED = (
    f"X-Bluebellusher-Attempt-Id: {ATTEMPT}\r\nX-Bluebellusher-Response-Seal: s\r\n"
)


class RawEndpoint:
    """Answers every request with the same bytes and closes."""

    def __init__(self, endpoint_id, answer):
        self.endpoint_id = endpoint_id
        self.answer = answer
        self.n_received = 0
        self.port = 0
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._handle, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _handle(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.n_received += 1
        writer.write(self.answer.encode())
        await writer.drain()
        writer.close()

    def close(self):
        """Accept no more."""
        self._server.close()


def whole(headers="", status="200 OK"):
    """Return an answer with a body."""
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: 5\r\n\r\nwhole"


def refusal(headers):
    """Return an answer of an engine that has not run the request."""
    return whole(
        f"X-Bluebellusher-Not-Executed: 1\r\n{headers}", "503 Service Unavailable"
    )


TRAILER = (
    f"HTTP/1.1 200 OK\r\n{SEALED}Transfer-Encoding: chunked\r\n\r\n"
    "5\r\nwhole\r\n0\r\nServer-Leaving: 1\r\nRetry-After: 9\r\n\r\n"
)
N_REQUESTS = 12


def count_received(answer):
    """Return how many of some requests a first endpoint gets, beside a sound one."""
    counts = []

    async def scenario(harness):
        for _ in range(N_REQUESTS):
            status, _, body = await harness.fetch(headers=CALLER)
            assert (status, body) == (200, b"whole")
        counts.append(harness.endpoints[0].n_received)

    endpoints = [RawEndpoint("x0", answer), RawEndpoint("x1", whole(SEALED))]
    run_scenario(scenario, [], endpoints, dialect=PlatformDialect())
    return counts[0]


@pytest.mark.parametrize(
    "answer",
    [
        whole(f"{SEALED}Server-Leaving: 1\r\n"),
        whole(f"{SEALED}server-leaving:1\r\n"),
        whole(f"{SEALED}SERVER-LEAVING: 1\r\nServer-Leaving: 1\r\n"),
        refusal("Server-Leaving: 1\r\n"),
        refusal("Retry-After: 5\r\n"),
        refusal("retry-after: 0.9\r\nRetry-After: 0\r\n"),
        refusal("Retry-After: 1e9\r\n"),
    ],
)
def test_word_of_an_engine_keeps_requests_away(answer):
    """Guards against requests to an engine that leaves or pauses."""
    assert count_received(answer) == 1


@pytest.mark.parametrize(
    "answer",
    [
        whole(SEALED),
        whole(f"{SEALED}Retry-After: 9\r\n"),
        whole(f"{SEALED}Server-Leaving: 0\r\n"),
        whole(f"{SEALED}Server-Leaving: \r\nRetry-After: 9\r\n"),
        TRAILER,
    ],
)
def test_what_is_no_word_of_an_engine_costs_no_capacity(answer):
    """Guards against sound engines that get nothing for a header that says nothing."""
    assert count_received(answer) > 1


@pytest.mark.parametrize(
    "value", ["0", "-1", "inf", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"]
)
def test_value_that_is_no_pause_is_a_plain_refusal(value):
    """Guards against a service that one malformed value stops."""
    assert 1 <= count_received(refusal(f"Retry-After: {value}\r\n")) <= N_REQUESTS
