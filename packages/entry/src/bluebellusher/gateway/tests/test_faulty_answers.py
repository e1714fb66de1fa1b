"""Answers of faulty endpoints to a request that another answer has preceded."""

import aiohttp
import pytest
from aiohttp import web

from bluebellusher.gateway.tests.harness import make_route, run_scenario
from bluebellusher_core.directory import RequestKind

STREAMING = [make_route(RequestKind.STREAMING, is_resumable=True, n_max_attempts=3)]
NON_IDEMPOTENT = [make_route(RequestKind.NON_IDEMPOTENT)]
POST = {"method": "POST", "data": b"order"}
FIRST_EVENTS = b"id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n"
EVENT_STREAM = {"Content-Type": "text/event-stream"}


async def break_after_two_events(request, body):
    """Begin a stream and break the connection after two events."""
    headers = {"Seal": "s", "Attempt": request.headers["Attempt"], **EVENT_STREAM}
    response = web.StreamResponse(headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(FIRST_EVENTS)
    request.transport.abort()
    return response


def make_error(status, body=b"oops", **headers):
    """Return an answer function of an endpoint that answers a resume with an error."""

    async def answer(request, _body):
        if "Last-Event-Id" not in request.headers:
            return await break_after_two_events(request, _body)
        values = {"Attempt": request.headers["Attempt"], **headers}
        return web.Response(status=status, headers=values, body=body)

    return answer


async def read_stream(harness):
    """Return the bytes that the caller of a stream gets, and whether it was cut."""
    received = bytearray()
    try:
        async with harness.request(**POST) as response:
            async for part in response.content.iter_any():
                received += part
    except aiohttp.ClientError:
        return bytes(received), True
    return bytes(received), False


@pytest.mark.parametrize(
    "answer",
    [
        make_error(500, Seal="s"),
        make_error(500),
        make_error(404, Seal="s"),
        make_error(503, **{"Not-Run": "1"}),
        make_error(503, Seal="s"),
        make_error(421),
        make_error(301, Seal="s"),
        make_error(200),
        make_error(200, Seal="s"),
        make_error(200, Seal="s", body=b'{"error": "oops"}'),
        make_error(500, Seal="s", body=b"data: oops\n\n", **EVENT_STREAM),
        make_error(200, body=b"HTTP/1.1 500 oops\r\n\r\n\n\n", **EVENT_STREAM),
        make_error(200, Seal="s", body=b"HTTP/1.1 500 oops\r\n\r\n", **EVENT_STREAM),
    ],
)
def test_error_after_a_broken_stream_does_not_enter_it(answer):
    """Guards against an error's text, or a false end, in the middle of a stream."""

    async def scenario(harness):
        received, is_cut = await read_stream(harness)
        assert received == FIRST_EVENTS
        assert is_cut

    run_scenario(scenario, [answer, answer, answer], routes=STREAMING)


@pytest.mark.parametrize("first_id", [1, 2])
def test_stream_that_starts_again_is_not_joined(first_id):
    """Guards against repeated events where an endpoint ignores the resume.

    The last event that the caller has is 2.
    """

    async def scenario(harness):
        received, is_cut = await read_stream(harness)
        assert received == FIRST_EVENTS
        assert is_cut

    events = b"".join(b"id: %d\ndata: x\n\n" % i for i in range(first_id, 7))
    answer = make_error(200, Seal="s", body=events, **EVENT_STREAM)
    run_scenario(scenario, [answer, answer, answer], routes=STREAMING)


@pytest.mark.parametrize("status", [503, 429, 421])
def test_refusal_of_another_request_is_not_believed(status):
    """Guards against a request reported as not run because of an earlier refusal.

    The endpoint runs the request and writes a refusal of another one.
    """

    async def answer(request, body):
        return web.Response(
            status=status, headers={"Not-Run": "1", "Attempt": "another"}
        )

    async def scenario(harness):
        status, _, _ = await harness.fetch(**POST)
        assert status == 502
        n_received = sum(len(e.received) for e in harness.endpoints)
        assert n_received == 1

    run_scenario(scenario, [answer, answer], routes=NON_IDEMPOTENT)
