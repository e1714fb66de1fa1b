"""Requests through a gateway to endpoints that answer, refuse, fail or break."""

import asyncio
import socket
import struct

import aiohttp
import pytest
from aiohttp import web

from bluebellusher.gateway.tests.harness import (
    HOST,
    answer_sealed,
    make_customer,
    make_route,
    run_scenario,
)
from bluebellusher_core.directory import RequestKind

NON_IDEMPOTENT = [make_route(RequestKind.NON_IDEMPOTENT)]
STREAMING = [make_route(RequestKind.STREAMING, is_resumable=True)]
POST = {"method": "POST", "data": b"order"}


def make_headers(request):
    """Return the headers of an answer with a seal."""
    return {"Seal": "s", "Attempt": request.headers["Attempt"]}


async def refuse_not_run(request, body):
    """Refuse the request and state that it has not run."""
    return web.Response(status=503, headers={"Not-Run": "1"})


async def answer_server_error(request, body):
    """Answer with a server error after the request has run."""
    return web.Response(status=500, headers=make_headers(request), body=b"oops")


async def truncate(request, body):
    """Close the connection in the middle of the body."""
    response = web.StreamResponse(headers=make_headers(request))
    response.content_length = 100
    await response.prepare(request)
    await response.write(b"half")
    request.transport.abort()
    return response


async def answer_unsealed(request, body):
    """Return a successful answer without a seal."""
    return web.Response(body=b"forged")


async def answer_other_request(request, body):
    """Return an answer with the attempt id of another request."""
    return web.Response(body=b"other", headers={"Seal": "s", "Attempt": "zzz"})


async def answer_never(request, body):
    """Return no answer within the test."""
    await asyncio.sleep(30)


async def answer_misdirected(request, body):
    """Answer as another endpoint than the expected one (421)."""
    return web.Response(status=421)


def test_answer_is_relayed_unchanged():
    """Guards against changed targets or bodies, lost seals and leaked credentials.

    The endpoint also receives the customer and the remaining time of the route.
    """

    async def scenario(harness):
        status, headers, body = await harness.fetch(
            path="/a/x%2Fy?q=%41", headers={"Key": "k1"}
        )
        assert (status, body, headers["Seal"]) == (200, b"whole", "s")
        request, _ = harness.endpoints[0].received[0]
        assert request.raw_path == "/a/x%2Fy?q=%41"
        assert request.headers["Customer"] == "tenant"
        assert request.headers["Host"] == "h.example"
        assert "Key" not in request.headers
        assert int(request.headers["Remaining"]) <= 2_000

    run_scenario(scenario, [answer_sealed], customers=[make_customer("k1")])


def test_end_of_an_answer_logs_no_error_in_a_library(caplog):
    """Guards against an error in a callback that runs at the end of every answer."""

    async def scenario(harness):
        for _ in range(3):
            assert (await harness.fetch())[0] == 200

    run_scenario(scenario, [answer_sealed])
    assert not caplog.records


@pytest.mark.parametrize(
    ("options", "status"),
    [
        ({"path": "/b/"}, 404),
        ({"headers": {"Host": "other.example"}}, 404),
        ({"headers": {"Key": "unknown"}}, 401),
        ({"headers": {"Key": "k1", "Remaining": "soon"}}, 400),
        ({"headers": {"Key": "k1"}, "data": b"x" * 5_000_000}, 413),
    ],
)
def test_denied_request_reaches_no_endpoint(options, status):
    """Guards against attempts for requests that the configuration does not allow."""

    async def scenario(harness):
        assert (await harness.fetch(**options))[0] == status
        assert not harness.endpoints[0].received
        (line,) = harness.recorder.get_lines("request-denied")
        assert "caller_attempt=t1 " in line

    run_scenario(scenario, [answer_sealed], customers=[make_customer("k1")])


def test_entry_without_configuration_rejects_requests_as_not_run():
    """Guards against a 401 or 404 from an entry that has no configuration yet."""

    async def scenario(harness):
        harness.directory.routing = None
        status, headers, _ = await harness.fetch()
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        (line,) = harness.recorder.get_lines("request-ended")
        assert "caller_attempt=t1 " in line
        assert "status=503 reason=not_ready " in line

    run_scenario(scenario, [answer_sealed])


@pytest.mark.parametrize(
    "failing_answer", [refuse_not_run, answer_server_error, truncate, answer_unsealed]
)
def test_idempotent_request_is_retried_on_another_endpoint(failing_answer):
    """Guards against a failed request that another endpoint could have completed."""

    async def scenario(harness):
        for _ in range(4):
            status, _, body = await harness.fetch()
            assert (status, body) == (200, b"whole")

    run_scenario(scenario, [failing_answer, answer_sealed])


@pytest.mark.parametrize("method", ["POST", "GET", "PUT", "DELETE"])
@pytest.mark.parametrize(
    "failing_answer", [truncate, answer_unsealed, answer_other_request]
)
def test_non_idempotent_request_that_may_have_run_is_not_retried(
    failing_answer, method
):
    """Guards against a second run, and against a ``Retry-After`` that invites one."""

    async def scenario(harness):
        status, headers, _ = await harness.fetch(method, data=b"order")
        assert status == 502
        assert "Retry-After" not in headers
        assert sum(len(e.received) for e in harness.endpoints) == 1

    run_scenario(scenario, [failing_answer, failing_answer], routes=NON_IDEMPOTENT)


def test_server_error_of_an_endpoint_is_relayed_with_its_seal():
    """Guards against an endpoint's error that the entry replaces with its own.

    The request is not idempotent and cannot be retried, so that the caller must get
    the endpoint's answer.
    """

    async def scenario(harness):
        status, headers, body = await harness.fetch(**POST)
        assert (status, headers["Seal"], body) == (500, "s", b"oops")

    run_scenario(scenario, [answer_server_error], routes=NON_IDEMPOTENT)


@pytest.mark.parametrize("failing_answer", [refuse_not_run, answer_misdirected])
def test_refused_attempt_is_retried_elsewhere_or_rejected_as_not_run(failing_answer):
    """Guards against a rejection or an unknown outcome after a refused attempt.

    A refused attempt has certainly not run. It is retried on another endpoint, or
    rejected with a ``Retry-After`` when there is none.
    """

    async def scenario(harness):
        status, _, body = await harness.fetch(**POST)
        assert (status, body) == (200, b"whole")

    run_scenario(scenario, [failing_answer, answer_sealed], routes=NON_IDEMPOTENT)

    async def without_other_endpoint(harness):
        status, headers, _ = await harness.fetch(**POST)
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    run_scenario(without_other_endpoint, [failing_answer], routes=NON_IDEMPOTENT)


def test_request_is_rejected_as_not_run_when_no_connection_is_made():
    """Guards against an unknown outcome of an attempt whose connection failed."""

    async def scenario(harness):
        harness.endpoints[0].close()
        await asyncio.sleep(0.05)
        status, headers, _ = await harness.fetch(headers={"Remaining": "700"}, **POST)
        assert status == 503
        assert "Retry-After" in headers

    run_scenario(scenario, [answer_sealed], routes=NON_IDEMPOTENT)


def test_request_past_the_timeout_of_its_route_is_rejected():
    """Guards against requests that last longer than the timeout of their route.

    The caller gets a 504 and the attempt is cancelled.
    """

    async def scenario(harness):
        status, _, _ = await harness.fetch(**POST)
        assert status == 504
        await asyncio.wait_for(harness.endpoints[0].cancelled.wait(), 2)

    routes = [make_route(RequestKind.NON_IDEMPOTENT, timeout_ms=300)]
    run_scenario(scenario, [answer_never], routes=routes)


def test_attempt_is_cancelled_when_its_caller_disconnects():
    """Guards against endpoints that work on requests of disconnected callers."""

    async def scenario(harness):
        task = asyncio.create_task(harness.fetch())
        await harness.endpoints[0].has_received.wait()
        task.cancel()
        await asyncio.wait_for(harness.endpoints[0].cancelled.wait(), 2)

    run_scenario(scenario, [answer_never])


class UnframedEndpoint:
    """Endpoint whose answers have no length and end when the connection closes.

    The connection is reset instead of closed if ``is_reset`` is set.
    """

    def __init__(self, endpoint_id, is_reset, head_lines=b"", body=b"part"):
        self.endpoint_id = endpoint_id
        self.port = 0
        self._is_reset = is_reset
        self._answer_bytes = b"HTTP/1.1 200 OK\r\nSeal: s\r\n%s\r\n%s" % (
            head_lines,
            body,
        )
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._answer, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _answer(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._answer_bytes)
        await writer.drain()
        await asyncio.sleep(0.05)
        if self._is_reset:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    def close(self):
        """Close the port; open connections stay open."""
        self._server.close()


@pytest.mark.parametrize(("is_reset", "status"), [(True, 502), (False, 200)])
def test_answer_without_length_is_complete_unless_its_connection_is_reset(
    is_reset, status
):
    """Guards against a truncated answer that looks complete to the caller.

    A crashed engine resets the connection of an answer without a length. The entry
    must not send the received part with a content length of its own.
    """

    async def scenario(harness):
        assert (await harness.fetch(**POST))[0] == status

    endpoints = [UnframedEndpoint("x0", is_reset)]
    run_scenario(scenario, [], endpoints=endpoints, routes=NON_IDEMPOTENT)


def make_stream_answer(last_id, n_sent=None, ends_inside_event=False):
    """Return an answer function that streams events up to the id ``last_id``.

    It starts after the ``Last-Event-Id`` of the request. The connection breaks after
    ``n_sent`` events, if given, or inside the next event if ``ends_inside_event`` is
    set.
    """

    async def answer(request, body):
        headers = {**make_headers(request), "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, last_id + 1):
            if n_sent is not None and number - first >= n_sent:
                if ends_inside_event:
                    await response.write(f"id: {number}\nda".encode())
                await asyncio.sleep(0.02)
                request.transport.abort()
                return response
            await response.write(f"id: {number}\ndata: piece\n\n".encode())
            await asyncio.sleep(0.005)
        return response

    return answer


def read_ids(body):
    """Return the ids of the events in a response body."""
    lines = body.decode().splitlines()
    return [int(line[3:]) for line in lines if line.startswith("id:")]


@pytest.mark.parametrize("ends_inside_event", [False, True])
def test_broken_stream_resumes_at_another_endpoint_without_a_gap(ends_inside_event):
    """Guards against missing, incomplete or repeated events after a broken stream."""

    async def scenario(harness):
        for _ in range(3):
            _, _, body = await harness.fetch(**POST)
            assert read_ids(body) == list(range(1, 7))
            assert body.count(b"data: piece\n\n") == 6

    answers = [
        make_stream_answer(6, n_sent=2, ends_inside_event=ends_inside_event),
        make_stream_answer(6),
    ]
    run_scenario(scenario, answers, routes=STREAMING)


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize(
    ("is_reset", "last_event", "is_complete"),
    [
        (False, b"id: 2\ndata: piece\n\n", True),
        (False, b"id: 2\r\ndata: piece\r\n\r\n", True),
        (False, b"id: 2\ndata: piece\n", False),
        (False, b"id: 2\nda", False),
        (False, b"id: 2\r\ndata: piece\r\n\r", False),
        (True, b"id: 2\ndata: piece\n\n", False),
        (True, b"id: 2\nda", False),
    ],
)
@pytest.mark.parametrize("is_resumable", [True, False])
def test_stream_without_length_is_complete_only_at_the_end_of_an_event(
    is_resumable, is_reset, last_event, is_complete, version
):
    """Guards against a broken stream that looks complete to its caller.

    A stream may have neither a length nor chunks and end with its connection. One that
    ends inside an event, or is reset, has been broken off: it is resumed, or its
    caller's connection ends without the final chunk.
    """
    endpoint = UnframedEndpoint(
        "x9",
        is_reset,
        b"Content-Type: text/event-stream\r\n",
        b"id: 1\ndata: piece\n\n" + last_event,
    )
    endpoint._answer_bytes = endpoint._answer_bytes.replace(b"HTTP/1.1", version, 1)
    routes = [make_route(RequestKind.STREAMING, is_resumable=is_resumable)]

    async def scenario(harness):
        # The first attempt goes to the other endpoint, which answers after 50 ms.
        harness.state.endpoints.defer("x0", 30, harness.runtime.now_ms())
        if is_complete:
            _, _, body = await harness.fetch(**POST)
            assert read_ids(body) == [1, 2]
        elif is_resumable:
            _, _, body = await harness.fetch(**POST)
            assert read_ids(body) == list(range(1, 7))
            assert body.count(b"data: piece") == 6
        else:
            with pytest.raises(aiohttp.ClientError):
                await harness.fetch(**POST)
        assert harness.recorder.count("attempt-broken") == (not is_complete)

    run_scenario(scenario, [make_stream_answer(6)], endpoints=[endpoint], routes=routes)


def test_caller_resumes_after_its_last_event():
    """Guards against a resumed stream that starts from its first event."""

    async def scenario(harness):
        _, _, body = await harness.fetch(headers={"Last-Event-Id": "4"}, **POST)
        assert read_ids(body) == [5, 6]

    run_scenario(scenario, [make_stream_answer(6)], routes=STREAMING)


def test_stream_that_cannot_resume_does_not_look_complete():
    """Guards against a truncated stream that looks complete to the caller."""

    async def scenario(harness):
        with pytest.raises(aiohttp.ClientError):
            await harness.fetch(**POST)

    run_scenario(scenario, [make_stream_answer(6, n_sent=2)], routes=STREAMING)


def test_idle_connections_are_closed_and_busy_ones_finish_at_shutdown():
    """Guards against lost requests on connections that are open during a shutdown.

    A connection that stays open without a reader after SIGTERM loses the next request
    that its caller sends.
    """

    async def answer_slowly(request, body):
        await asyncio.sleep(0.2)
        return await answer_sealed(request, body)

    async def scenario(harness):
        idle = await asyncio.open_connection(HOST, harness.port)
        idle[1].write(b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt: t\r\n\r\n")
        await idle[0].readuntil(b"whole")
        busy = asyncio.create_task(harness.fetch())
        await asyncio.sleep(0.05)
        harness.runtime.is_shutting_down = True
        harness.server.stop_accepting()
        harness.server.close_idle()
        assert await asyncio.wait_for(idle[0].read(), 2) == b""
        status, headers, body = await busy
        assert (status, body) == (200, b"whole")
        assert headers["Connection"] == "close"
        await asyncio.sleep(0.05)
        assert harness.server.n_connections == 0
        idle[1].close()

    run_scenario(scenario, [answer_slowly])


def test_log_contains_the_events_of_a_request():
    """Guards against failures that cannot be analysed from the log and the metrics."""

    async def scenario(harness):
        await harness.fetch()
        await asyncio.sleep(0.05)
        events = (
            "request-arrived",
            "attempt-sent",
            "attempt-finished",
            "request-ended",
        )
        for event in events:
            assert harness.recorder.count(event) == 1, event
        metrics_text = harness.runtime.metrics.to_prometheus({})
        assert 'bluebellusher_requests_total{outcome="completed"} 1' in metrics_text

    run_scenario(scenario, [answer_sealed])
