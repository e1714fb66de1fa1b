"""Answers that never end, or arrive so slowly that their callers time out."""

import asyncio
import contextlib
import gc
import logging
import socket
import tracemalloc

import aiohttp
import pytest
from aiohttp.client_proto import ResponseHandler

from bluebellusher.gateway import _connection_guard
from bluebellusher.gateway.tests.harness import (
    HOST,
    answer_sealed,
    make_route,
    run_scenario,
)
from bluebellusher.links import AnswerStream
from bluebellusher.shared.tests.fakes import wait_until
from bluebellusher_core.directory import RequestKind
from bluebellusher_core.events import EndpointInfo, EndpointLost, EndpointRegistered

SEALED = b"HTTP/1.1 200 OK\r\nSeal: s\r\nAttempt: t1\r\n"
EVENTS = SEALED + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 16_384
# Upper bound of the memory that one answer may use in the entry, in bytes; follows from
# the bounds in the modules that read and relay answers.
MAX_PEAK_BYTES = 8 * 1024 * 1024
# Size of the largest read of the event loop, in bytes.
LOOP_READ_BYTES = 256_000
# Upper bound of the bytes that the entry reads of one answer: the limit of an event,
# which is the largest limit, and four reads until the connection is closed.
MAX_READ_BYTES = 256 * 1024 + 4 * LOOP_READ_BYTES
# Size of the send buffer of an endpoint, in bytes. It bounds what the endpoint sends
# before the entry can read, which shares the event loop with it.
SEND_BUFFER_BYTES = 64 * 1024
STREAMING = [make_route(RequestKind.STREAMING, is_resumable=True, n_max_attempts=1)]


def as_chunk(data):
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class RawEndpoint:
    """Endpoint that calls a function of the test to write raw bytes to a connection."""

    def __init__(self, endpoint_id, write):
        self.endpoint_id = endpoint_id
        self.port = 0
        self.n_bytes = 0
        self.closed = asyncio.Event()
        self._write = write
        self._server = None

    async def start(self):
        """Listen on a free port."""
        listener = socket.create_server((HOST, 0))
        # Accepted connections inherit the size.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.port = listener.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await self._write(self, writer)
        self.closed.set()
        writer.close()

    async def send(self, writer, data):
        """Write data to the connection and count its bytes."""
        writer.write(data)
        self.n_bytes += len(data)
        await writer.drain()

    def close(self):
        """Close the port; open connections stay open."""
        self._server.close()


async def write_endless_informational(endpoint, writer):
    """Send informational (1xx) answers until the connection closes."""
    while True:
        await endpoint.send(writer, b"HTTP/1.1 102 Processing\r\n\r\n")


async def write_endless_head(endpoint, writer):
    """Send header lines until the connection closes."""
    await endpoint.send(writer, b"HTTP/1.1 200 OK\r\n")
    while True:
        await endpoint.send(writer, b"X-Filler: " + BLOCK[:1_000] + b"\r\n")


async def write_endless_event(endpoint, writer):
    """Send a single event that has no end, until the connection closes."""
    await endpoint.send(writer, EVENTS + CHUNKED + as_chunk(b"id: 1\ndata: "))
    while True:
        await endpoint.send(writer, as_chunk(BLOCK))


async def write_endless_body(endpoint, writer):
    """Send a body without an end, until the connection closes."""
    await endpoint.send(writer, SEALED + CHUNKED)
    while True:
        await endpoint.send(writer, as_chunk(BLOCK))


async def write_single_bytes(endpoint, writer):
    """Send a complete event, then a byte of the next one every 100 ms."""
    await endpoint.send(writer, EVENTS + CHUNKED + as_chunk(b"id: 1\ndata: a\n\n"))
    while True:
        await endpoint.send(writer, as_chunk(b"x"))
        await asyncio.sleep(0.1)


async def write_rest(endpoint, writer):
    """Send the second and last event."""
    event = as_chunk(b"id: 2\ndata: b\n\n")
    await endpoint.send(writer, EVENTS + CHUNKED + event + b"0\r\n\r\n")


@pytest.fixture
def read_sizes(monkeypatch):
    """Sizes of all reads from endpoints, in bytes."""
    sizes = []
    receive = ResponseHandler.data_received

    def record_and_receive(protocol, data):
        sizes.append(len(data))
        receive(protocol, data)

    monkeypatch.setattr(ResponseHandler, "data_received", record_and_receive)
    return sizes


@pytest.mark.parametrize(
    ("write", "error"),
    [
        (write_endless_informational, "ClientPayloadError"),
        (write_endless_head, "ClientResponseError"),
        (write_endless_event, "ValueError"),
    ],
)
def test_endless_answer_is_abandoned(write, error, read_sizes):
    """Guards against an endpoint that exhausts the memory of the entry.

    Without an upper bound, informational answers are read until the deadline, and an
    endless event uses megabytes for each of many requests.
    """
    endpoint = RawEndpoint("x9", write)

    async def scenario(harness):
        tracemalloc.start()
        try:
            with contextlib.suppress(aiohttp.ClientError):
                await harness.fetch(method="POST", data=b"q")
            await endpoint.closed.wait()
            _, n_peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert n_peak_bytes < MAX_PEAK_BYTES
        assert sum(read_sizes) < MAX_READ_BYTES
        (line,) = harness.recorder.get_lines("attempt-broken")
        assert f"error={error}" in line, "a limit other than that of the size ended it"

    run_scenario(scenario, [], endpoints=[endpoint], routes=STREAMING)


def test_endless_body_is_not_buffered_while_its_caller_does_not_read():
    """Guards against answers that are buffered in memory while callers do not read."""
    endpoint = RawEndpoint("x9", write_endless_body)

    async def scenario(harness):
        tracemalloc.start()
        try:
            async with harness.request() as response:
                await response.content.readany()
                await asyncio.sleep(1.0)
                _, n_peak_bytes = tracemalloc.get_traced_memory()
                response.close()
        finally:
            tracemalloc.stop()
        assert n_peak_bytes < MAX_PEAK_BYTES
        await endpoint.closed.wait()

    run_scenario(scenario, [], endpoints=[endpoint])


def test_stream_that_sends_single_bytes_counts_as_stalled():
    """Guards against a stalled stream that is kept because single bytes still arrive.

    Its caller receives no event and times out, although another endpoint can resume the
    stream.
    """
    slow_endpoint = RawEndpoint("x0", write_single_bytes)
    other_endpoint = RawEndpoint("x1", write_rest)
    routes = [make_route(RequestKind.STREAMING, is_resumable=True, timeout_ms=8_000)]

    async def scenario(harness):
        harness.runtime.post(EndpointLost("x1"))
        headers = {"Remaining": "8000"}
        async with harness.request("POST", data=b"q", headers=headers) as response:
            await response.content.readuntil(b"\n\n")
            info = EndpointInfo(
                "x1", "here", frozenset({"desk"}), frozenset(), frozenset(), 4
            )
            harness.runtime.post(EndpointRegistered(info))
            rest = await response.read()
        assert rest == b"id: 2\ndata: b\n\n"
        assert harness.recorder.count("attempt-abandoned") == 1
        line, *_ = harness.recorder.get_lines("stream-stalled")
        assert "is_abandoned=1" in line
        await slow_endpoint.closed.wait()

    run_scenario(scenario, [], endpoints=[slow_endpoint, other_endpoint], routes=routes)


def test_slow_but_valid_stream_is_not_truncated():
    """Guards against streams that are truncated although their callers still wait.

    Callers of this route time out after four times its latency objective of 800 ms,
    and events arrive every 2.2 s.
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

    run_scenario(scenario, [], endpoints=[endpoint], routes=routes)


def test_unexpected_error_of_an_attempt_ends_it_at_once():
    """Guards against a request that waits for its deadline after an internal error."""

    async def scenario(harness):
        def fail(status, headers):
            raise RuntimeError("unexpected error in the dialect")

        harness.dispatcher._dialect.read_answer = fail
        status, _, _ = await harness.fetch()
        assert status == 502
        assert harness.recorder.count("attempt-fault") >= 1

    run_scenario(scenario, [answer_sealed])


def test_cancelled_attempt_releases_its_answer(caplog):
    """Guards against answers that occupy memory until the garbage collector runs.

    It counts objects and not their bytes, so that it may run much later.
    """
    # A captured log record of the server would refer to the answer.
    caplog.set_level(logging.CRITICAL + 1, "aiohttp.server")
    endpoint = RawEndpoint("x", write_endless_body)

    async def scenario(harness):
        async with harness.request() as response:
            await response.content.readany()
        await endpoint.closed.wait()
        await wait_until(lambda: not harness.runtime.exchange_by_request_id)
        await wait_until(lambda: not find_answers())

    gc.collect()
    gc.disable()
    try:
        run_scenario(scenario, [], endpoints=[endpoint])
    finally:
        gc.enable()


def test_memory_of_unread_answers_is_returned_to_the_system(monkeypatch):
    """Guards against answers whose memory stays resident after their callers have left.

    The C library retains it, unless the entry returns it.
    """
    released_by_n_unread = []
    endpoint = RawEndpoint("x9", write_endless_body)

    async def scenario(harness):
        guard = harness.server._guard
        # One unread answer exceeds a quarter of it.
        guard.budget.n_max_bytes = 1_000_000
        monkeypatch.setattr(
            _connection_guard,
            "release_free_memory",
            lambda: released_by_n_unread.append(len(guard.unread)),
        )
        for listener in harness.server._listener.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        async with harness.request() as response:
            await response.content.readany()
            await wait_until(lambda: guard.unread)
            await asyncio.sleep(2 * _connection_guard.SWEEP_INTERVAL_MS / 1000)
            response.close()
        await wait_until(lambda: released_by_n_unread)
        assert released_by_n_unread == [0]

    run_scenario(scenario, [], endpoints=[endpoint])


def find_answers():
    """Return all answers that are in memory."""
    return [o for o in gc.get_objects() if isinstance(o, AnswerStream)]
