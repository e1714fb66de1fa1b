"""Routing after answers that announce an engine's shutdown or pause, over sockets."""

import asyncio

import pytest

from bluebellusher.gateway.tests.harness import HOST, run_scenario

from dialect import PlatformDialect

ATTEMPT_ID = "t1"
CALLER_HEADERS = {
    "X-Bluebellusher-Attempt-Id": ATTEMPT_ID,
    "X-Bluebellusher-Deadline-Ms": "3000",
}
SEALED_HEADERS = (
    f"X-Bluebellusher-Attempt-Id: {ATTEMPT_ID}\r\nX-Bluebellusher-Response-Seal: s\r\n"
)


class RawEndpoint:
    """Endpoint that sends the same bytes for every request, then disconnects."""

    def __init__(self, endpoint_id, answer):
        self.endpoint_id = endpoint_id
        self.answer = answer
        self.n_received = 0
        self.port = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._handle, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _handle(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.n_received += 1
        writer.write(self.answer.encode())
        await writer.drain()
        writer.close()

    def close(self):
        """Stop accepting connections."""
        self._server.close()


def complete_answer(headers="", status="200 OK"):
    """Return a complete answer with the body ``whole``."""
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: 5\r\n\r\nwhole"


def refusal(headers):
    """Return the answer of an engine that refuses a request without running it."""
    return complete_answer(
        f"X-Bluebellusher-Not-Executed: 1\r\n{headers}", "503 Service Unavailable"
    )


ANSWER_WITH_TRAILER = (
    f"HTTP/1.1 200 OK\r\n{SEALED_HEADERS}Transfer-Encoding: chunked\r\n\r\n"
    "5\r\nwhole\r\n0\r\nServer-Leaving: 1\r\nRetry-After: 9\r\n\r\n"
)
N_REQUESTS = 12


def count_received(answer):
    """Return how many of ``N_REQUESTS`` reach an endpoint that sends ``answer``.

    A second endpoint answers normally, so every request succeeds.
    """
    received_counts = []

    async def scenario(harness):
        for _ in range(N_REQUESTS):
            status, _, body = await harness.fetch(headers=CALLER_HEADERS)
            assert (status, body) == (200, b"whole")
        received_counts.append(harness.endpoints[0].n_received)

    endpoints = [
        RawEndpoint("x0", answer),
        RawEndpoint("x1", complete_answer(SEALED_HEADERS)),
    ]
    run_scenario(scenario, [], endpoints, dialect=PlatformDialect())
    return received_counts[0]


@pytest.mark.parametrize(
    "answer",
    [
        complete_answer(f"{SEALED_HEADERS}Server-Leaving: 1\r\n"),
        complete_answer(f"{SEALED_HEADERS}server-leaving:1\r\n"),
        complete_answer(f"{SEALED_HEADERS}SERVER-LEAVING: 1\r\nServer-Leaving: 1\r\n"),
        refusal("Server-Leaving: 1\r\n"),
        refusal("Retry-After: 5\r\n"),
        refusal("retry-after: 0.9\r\nRetry-After: 0\r\n"),
        refusal("Retry-After: 1e9\r\n"),
    ],
)
def test_leaving_or_paused_engine_receives_no_further_requests(answer):
    """Guards against requests to an engine that announced its shutdown or a pause."""
    assert count_received(answer) == 1


@pytest.mark.parametrize(
    "answer",
    [
        complete_answer(SEALED_HEADERS),
        complete_answer(f"{SEALED_HEADERS}Retry-After: 9\r\n"),
        complete_answer(f"{SEALED_HEADERS}Server-Leaving: 0\r\n"),
        complete_answer(f"{SEALED_HEADERS}Server-Leaving: \r\nRetry-After: 9\r\n"),
        ANSWER_WITH_TRAILER,
    ],
)
def test_answer_without_announcement_keeps_the_engine_in_use(answer):
    """Guards against healthy engines excluded because of a header without effect.

    ``Retry-After`` counts only in refusals, ``Server-Leaving`` only with the value 1,
    and neither counts in the trailer of an answer.
    """
    assert count_received(answer) > 1


@pytest.mark.parametrize(
    "value", ["0", "-1", "inf", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"]
)
def test_requests_succeed_after_refusal_with_invalid_retry_after(value):
    """Guards against failed requests after one invalid value of ``Retry-After``."""
    assert 1 <= count_received(refusal(f"Retry-After: {value}\r\n")) <= N_REQUESTS
