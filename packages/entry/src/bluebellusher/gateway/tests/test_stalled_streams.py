"""Streams of sound endpoints that pause for almost as long as their callers wait."""

import asyncio

import pytest
from aiohttp import web

from bluebellusher.gateway._admission import RESUME_MARGIN_MS, StreamTimeouts
from bluebellusher.gateway.tests.harness import make_route, run_scenario
from bluebellusher_core.directory import RequestKind

# Callers wait for 400 ms, so that a stream stalls after 100 ms.
TIMEOUTS = StreamTimeouts(RESUME_MARGIN_MS + 100, 0.0, 0.0)
N_EVENTS = 4


def make_event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: a\n\n" % number


ALL_EVENTS = b"".join(make_event(number) for number in range(1, N_EVENTS + 1))


async def answer_with_pause(request, body):
    """Stream all events, with a pause in the middle from which the stream stalls."""
    headers = {"Seal": "s", "Attempt": request.headers["Attempt"]}
    headers["Content-Type"] = "text/event-stream"
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    first = int(request.headers.get("Last-Event-Id", "0")) + 1
    for number in range(first, N_EVENTS + 1):
        if number == N_EVENTS // 2 + 1:
            await asyncio.sleep(0.25)
        await response.write(make_event(number))
    return response


# Reasons for which no other endpoint can go on with the stream: options of the route
# and of the entry, and the number of endpoints.
REASONS = {
    "not resumable": ({}, {}, 2),
    "last attempt": ({"is_resumable": True, "n_max_attempts": 1}, {}, 2),
    "no retry budget": (
        {"is_resumable": True},
        {"n_min_retries": 0, "retry_percent": 0},
        2,
    ),
    "no other endpoint": ({"is_resumable": True}, {}, 1),
}


@pytest.mark.parametrize("reason", REASONS)
def test_stream_that_no_other_endpoint_can_take_over_is_not_cut(reason):
    """Guards against pauses of a sound endpoint that end a stream for its caller."""
    route_options, config_options, n_endpoints = REASONS[reason]
    routes = [make_route(RequestKind.STREAMING, **route_options)]

    async def scenario(harness):
        status, _, body = await harness.fetch("POST", data=b"q")
        assert (status, body) == (200, ALL_EVENTS)
        assert sum(len(e.received) for e in harness.endpoints) == 1
        lines = harness.recorder.get_lines("stream-stalled")
        assert lines
        assert all("is_abandoned=0" in line for line in lines)

    answers = [answer_with_pause] * n_endpoints
    run_scenario(
        scenario, answers, routes=routes, stream_timeouts=TIMEOUTS, **config_options
    )


def test_more_streams_stall_than_the_retry_budget_pays_for():
    """Guards against streams that end together and are rejected for lack of budget."""
    n_streams, n_retries = 4, 1
    routes = [make_route(RequestKind.STREAMING, is_resumable=True)]

    async def scenario(harness):
        fetches = (harness.fetch("POST", data=b"q") for _ in range(n_streams))
        for status, _, body in await asyncio.gather(*fetches):
            assert (status, body) == (200, ALL_EVENTS)
        assert harness.recorder.count("attempt-abandoned") <= n_retries

    run_scenario(
        scenario,
        [answer_with_pause] * 2,
        routes=routes,
        stream_timeouts=TIMEOUTS,
        n_min_retries=n_retries,
        retry_percent=0,
    )
