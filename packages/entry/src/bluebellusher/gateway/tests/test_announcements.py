"""Announcements of endpoints in their answers, over real sockets."""

import asyncio

import pytest
from aiohttp import web

from bluebellusher.gateway.tests.harness import answer_sealed, make_route, run_scenario
from bluebellusher_core.directory import RequestKind

NON_IDEMPOTENT = [make_route(RequestKind.NON_IDEMPOTENT)]


def make_leaving_answer(status, **headers):
    """Return an answer function of an endpoint that is leaving."""

    async def answer(request, body):
        answer_headers = {
            "Attempt": request.headers["Attempt"],
            "Leaving": "1",
            **headers,
        }
        if status == 200:
            answer_headers["Seal"] = "s"
        return web.Response(status=status, headers=answer_headers, body=b"whole")

    return answer


@pytest.mark.parametrize(
    "answer",
    [
        make_leaving_answer(200),
        make_leaving_answer(500, Seal="s"),
        make_leaving_answer(503, **{"Not-Run": "1"}),
        make_leaving_answer(200, Attempt="another"),
    ],
)
def test_leaving_endpoint_gets_at_most_one_request(answer):
    """Guards against announcements that are ignored in some kinds of answers.

    The endpoint announces its shutdown in a success, an error, a refusal or the answer
    to another request.
    """

    async def scenario(harness):
        for _ in range(10):
            await harness.fetch()
        assert len(harness.endpoints[0].received) <= 1
        assert harness.recorder.count("endpoint-leaving") <= 1

    run_scenario(scenario, [answer, answer_sealed])


def test_answer_in_progress_completes_while_its_endpoint_is_leaving():
    """Guards against truncated answers of an endpoint that is leaving.

    The next request is rejected with a ``Retry-After``, because there is no other
    endpoint.
    """

    async def stream_while_leaving(request, body):
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

    run_scenario(scenario, [stream_while_leaving])


def test_endpoint_gets_no_request_during_its_pause():
    """Guards against attempts at an endpoint that has asked for a pause."""

    async def refuse_with_pause(request, body):
        return web.Response(status=503, headers={"Not-Run": "1", "Pause-Ms": "700"})

    async def scenario(harness):
        for _ in range(10):
            assert (await harness.fetch())[0] == 200
        assert len(harness.endpoints[0].received) == 1
        await asyncio.sleep(0.8)
        for _ in range(10):
            assert (await harness.fetch())[0] == 200
        assert len(harness.endpoints[0].received) == 2

    run_scenario(scenario, [refuse_with_pause, answer_sealed])


def test_rejection_contains_the_remaining_time_of_the_pause():
    """Guards against requests that wait, or are retried too early, during a pause.

    The only endpoint has asked for 5 s without work, so that requests are rejected
    immediately with the remaining time of the pause.
    """

    async def refuse_with_pause(request, body):
        return web.Response(status=503, headers={"Not-Run": "1", "Pause-Ms": "5000"})

    async def scenario(harness):
        await harness.fetch()
        status, headers, body = await harness.fetch()
        assert status == 503
        assert b"endpoints_paused" in body
        assert 3 < float(headers["Retry-After"]) <= 5.5
        assert len(harness.endpoints[0].received) == 1

    run_scenario(scenario, [refuse_with_pause], routes=NON_IDEMPOTENT)


def make_limited_answer(*limits):
    """Return an answer function of an endpoint that names limits, one after the other.

    The last one, or None for no limit, is repeated.
    """
    remaining = list(limits)

    async def answer(request, body):
        limit = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        response = await answer_sealed(request, body)
        if limit is not None:
            response.headers["Limit"] = limit
        return response

    return answer


def test_endpoint_gets_no_request_above_the_limit_that_it_names():
    """Guards against limits in answers that are ignored."""

    async def scenario(harness):
        for _ in range(20):
            assert (await harness.fetch())[0] == 200
        assert len(harness.endpoints[0].received) <= 1
        assert len(harness.endpoints[1].received) >= 19

    run_scenario(scenario, [make_limited_answer("0.001"), answer_sealed])


def test_answer_without_a_limit_ends_it():
    """Guards against an endpoint that stays limited after it has recovered."""

    async def scenario(harness):
        for _ in range(10):
            assert (await harness.fetch())[0] == 200
            await asyncio.sleep(0.01)
        assert harness.recorder.count("endpoint-limited") == 1
        assert harness.recorder.count("endpoint-unlimited") == 1

    run_scenario(scenario, [make_limited_answer("1000", "1000", None)])
