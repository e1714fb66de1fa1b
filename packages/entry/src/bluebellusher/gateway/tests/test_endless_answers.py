"""Answers that never end, or that come too slowly to be of use."""

import asyncio
import contextlib
import time
import tracemalloc

import aiohttp
import pytest

from bluebellusher.gateway.tests.harness import HOST, answer_whole, make_route, run
from bluebellusher_core.directory import RequestKind

SEALED = b"HTTP/1.1 200 OK\r\nSeal: s\r\nAttempt: t1\r\n"
EVENTS = SEALED + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 16_384
# Peak of what one answer may take in the entry, as its modules bound it.
MAX_PEAK_BYTES = 8 * 1024 * 1024
STREAMING = [make_route(RequestKind.STREAMING, is_resumable=True, n_max_attempts=1)]


def as_chunk(data):
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class RawEndpoint:
    """An endpoint that writes bytes of the test's choice on each connection."""

    def __init__(self, endpoint_id, write):
        self.endpoint_id = endpoint_id
        self.port = 0
        self.n_bytes = 0
        self.closed = asyncio.Event()
        self._write = write
        self._server = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await self._write(self, writer)
        self.closed.set()
        writer.close()

    async def send(self, writer, data):
        """Write and count."""
        writer.write(data)
        self.n_bytes += len(data)
        await writer.drain()

    def close(self):
        """Accept no more."""
        self._server.close()


async def write_endless_interim(endpoint, writer):
    """Send informational answers for as long as the connection is open."""
    while True:
        await endpoint.send(writer, b"HTTP/1.1 102 Processing\r\n\r\n")


async def write_endless_head(endpoint, writer):
    """Send header lines for as long as the connection is open."""
    await endpoint.send(writer, b"HTTP/1.1 200 OK\r\n")
    while True:
        await endpoint.send(writer, b"X-Filler: " + BLOCK[:1_000] + b"\r\n")


async def write_endless_event(endpoint, writer):
    """Send one event that never ends."""
    await endpoint.send(writer, EVENTS + CHUNKED + as_chunk(b"id: 1\ndata: "))
    while True:
        await endpoint.send(writer, as_chunk(BLOCK))


async def write_endless_body(endpoint, writer):
    """Send a body that never ends."""
    await endpoint.send(writer, SEALED + CHUNKED)
    while True:
        await endpoint.send(writer, as_chunk(BLOCK))


async def write_dripping_event(endpoint, writer):
    """Send a byte of an event now and then."""
    await endpoint.send(writer, EVENTS + CHUNKED + as_chunk(b"id: 1\ndata: a\n\n"))
    while True:
        await endpoint.send(writer, as_chunk(b"x"))
        await asyncio.sleep(0.1)


@pytest.mark.parametrize(
    "write", [write_endless_interim, write_endless_head, write_endless_event]
)
def test_bytes_without_end_are_given_up(write):
    """Guards against an endpoint whose bytes fill the memory of the entry.

    Without a bound, interim answers are read until the deadline, and the event takes
    megabytes for each of many requests.
    """
    endpoint = RawEndpoint("x9", write)

    async def scenario(harness):
        tracemalloc.start()
        try:
            started_s = time.monotonic()
            with contextlib.suppress(aiohttp.ClientError):
                await harness.fetch(method="POST", data=b"q")
            await endpoint.closed.wait()
            took_s = time.monotonic() - started_s
            _, n_peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert n_peak < MAX_PEAK_BYTES
        assert took_s < 2.0, "the timeout of the route, by when it is closed anyway"
        assert harness.recorder.count("attempt-broken") == 1

    run(scenario, [], endpoints=[endpoint], routes=STREAMING)


def test_body_without_end_takes_no_memory_while_its_caller_does_not_read():
    """Guards against answers that are kept in memory for callers that read slowly."""
    endpoint = RawEndpoint("x9", write_endless_body)

    async def scenario(harness):
        tracemalloc.start()
        try:
            async with harness.request() as response:
                await response.content.readany()
                await asyncio.sleep(1.0)
                _, n_peak = tracemalloc.get_traced_memory()
                response.close()
        finally:
            tracemalloc.stop()
        assert n_peak < MAX_PEAK_BYTES
        await endpoint.closed.wait()

    run(scenario, [], endpoints=[endpoint])


def test_stream_that_sends_single_bytes_counts_as_stalled():
    """Guards against a stalled stream that never ends because a byte comes at times.

    Its caller sees no event and leaves; another endpoint could have gone on.
    """
    dripping = RawEndpoint("x9", write_dripping_event)
    routes = [make_route(RequestKind.STREAMING, is_resumable=True, timeout_ms=8_000)]

    async def scenario(harness):
        with contextlib.suppress(aiohttp.ClientError):
            await harness.fetch(method="POST", data=b"q", headers={"Remaining": "8000"})
        assert harness.recorder.count("attempt-broken") >= 1
        (line, *_) = harness.recorder.lines_of("attempt-broken")
        assert "TimeoutError" in line

    run(scenario, [], endpoints=[dripping], routes=routes)


def test_slow_but_sound_stream_is_not_cut():
    """Guards against streams that are cut although their callers still wait.

    Callers of this route wait for four times its objective of 800 ms.
    """

    async def write_slow_events(endpoint, writer):
        await endpoint.send(writer, EVENTS + CHUNKED)
        for number in (1, 2):
            await asyncio.sleep(2.2)
            event = b"id: %d\ndata: a\n\n" % number
            await endpoint.send(writer, as_chunk(event))
        await endpoint.send(writer, b"0\r\n\r\n")

    endpoint = RawEndpoint("x9", write_slow_events)
    routes = [
        make_route(RequestKind.STREAMING, timeout_ms=9_000, objective_ms=800),
    ]

    async def scenario(harness):
        status, _, body = await harness.fetch(
            method="POST", data=b"q", headers={"Remaining": "9000"}
        )
        assert (status, body.count(b"data:")) == (200, 2)

    run(scenario, [], endpoints=[endpoint], routes=routes)


def test_unexpected_error_of_an_attempt_ends_it_at_once():
    """Guards against a request that waits for its deadline after an internal error."""

    async def scenario(harness):
        def fail(status, headers):
            raise RuntimeError("not foreseen")

        harness.dispatcher._dialect.read_answer = fail
        status, _, _ = await harness.fetch()
        assert status == 502
        assert harness.recorder.count("attempt-fault") >= 1

    run(scenario, [answer_whole])
