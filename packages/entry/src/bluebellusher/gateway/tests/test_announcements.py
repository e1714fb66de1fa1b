"""Announcements of endpoints in their answers, over real sockets."""

import asyncio

import pytest
from aiohttp import web

from bluebellusher.gateway.tests.harness import answer_whole, make_route, run
from bluebellusher_core.directory import RequestKind

NON_IDEMPOTENT = [make_route(RequestKind.NON_IDEMPOTENT)]


def leave_with(status, **headers):
    """Return an answer function of an endpoint that is leaving."""

    async def answer(request, body):
        found = {"Attempt": request.headers["Attempt"], "Leaving": "1", **headers}
        if status == 200:
            found["Seal"] = "s"
        return web.Response(status=status, headers=found, body=b"whole")

    return answer


@pytest.mark.parametrize(
    "answer",
    [
        leave_with(200),
        leave_with(500, Seal="s"),
        leave_with(503, **{"Not-Run": "1"}),
        leave_with(200, Attempt="another"),
    ],
)
def test_endpoint_that_leaves_gets_one_request(answer):
    """Guards against announcements that are ignored in some kinds of answers.

    The endpoint announces its shutdown in a success, an error, a refusal or the answer
    to another request.
    """

    async def scenario(harness):
        for _ in range(10):
            await harness.fetch()
        assert len(harness.endpoints[0].received) <= 1
        assert harness.recorder.count("endpoint-leaving") <= 1

    run(scenario, [answer, answer_whole])


def test_answer_in_progress_ends_when_its_endpoint_says_that_it_leaves():
    """Guards against truncated answers of an endpoint that is leaving.

    The request after it is rejected with a ``Retry-After``, because there is no other
    endpoint.
    """

    async def stream_and_leave(request, body):
        headers = {"Attempt": request.headers["Attempt"], "Leaving": "1", "Seal": "s"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(b"first ")
        await asyncio.sleep(0.2)
        await response.write(b"last")
        return response

    async def scenario(harness):
        status, _, body = await harness.fetch()
        assert (status, body) == (200, b"first last")
        status, headers, _ = await harness.fetch()
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert len(harness.endpoints[0].received) == 1

    run(scenario, [stream_and_leave])


def test_endpoint_gets_nothing_during_the_pause_that_it_asked_for():
    """Guards against attempts at an endpoint that has asked for a pause."""

    async def pause(request, body):
        return web.Response(status=503, headers={"Not-Run": "1", "Pause-Ms": "700"})

    async def scenario(harness):
        for _ in range(10):
            assert (await harness.fetch())[0] == 200
        assert len(harness.endpoints[0].received) == 1
        await asyncio.sleep(0.8)
        for _ in range(10):
            assert (await harness.fetch())[0] == 200
        assert len(harness.endpoints[0].received) == 2

    run(scenario, [pause, answer_whole])


def test_callers_learn_when_the_shortest_pause_ends():
    """Guards against requests that wait, or are retried too early, during a pause.

    The only endpoint has asked for 5 s without work, so that requests are rejected
    immediately with the remaining time of the pause.
    """

    async def pause(request, body):
        return web.Response(status=503, headers={"Not-Run": "1", "Pause-Ms": "5000"})

    async def scenario(harness):
        await harness.fetch()
        status, headers, body = await harness.fetch()
        assert status == 503
        assert b"endpoints_paused" in body
        assert 3 < float(headers["Retry-After"]) <= 5.5
        assert len(harness.endpoints[0].received) == 1

    run(scenario, [pause], routes=NON_IDEMPOTENT)
