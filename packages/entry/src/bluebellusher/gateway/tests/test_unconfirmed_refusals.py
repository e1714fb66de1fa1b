"""Answers that promise that a request has not run, without the endpoint's statement."""

import asyncio

import pytest
from aiohttp import web

from bluebellusher.gateway.tests.harness import (
    answer_sealed,
    make_route,
    run_scenario,
)
from bluebellusher_core.directory import RequestKind

ROUTES = [
    make_route(RequestKind.IDEMPOTENT, path_prefix="/any/", n_max_attempts=2),
    make_route(RequestKind.NON_IDEMPOTENT, path_prefix="/once/", n_max_attempts=2),
    make_route(RequestKind.STREAMING, path_prefix="/stream/", n_max_attempts=2),
]
STATUSES = (408, 429, 503)
# Further headers of the answer.
FORMS = {
    "sealed": {"Seal": "s"},
    "without a seal": {},
    "with a pause": {"Seal": "s", "Retry-After": "1", "Pause-Ms": "1"},
    "encoded": {"Seal": "s", "Content-Encoding": "gzip"},
    "events": {"Seal": "s", "Content-Type": "text/event-stream"},
}
# Above the size that the entry holds back until an answer is complete.
LONG_BODY = b"b" * 300_000


def make_failing(status, headers, body=b"the database did not confirm", delay_s=0.0):
    """Return the function of an endpoint that runs a request and then fails it."""

    async def answer(request, _):
        await asyncio.sleep(delay_s)
        all_headers = {"Attempt": request.headers["Attempt"], **headers}
        return web.Response(status=status, body=body, headers=all_headers)

    return answer


def check_unknown_outcome(status, headers):
    """Check that an answer promises nothing and is not that of an endpoint."""
    assert status == 502
    names = {name.lower() for name in headers}
    assert not names & {"seal", "retry-after", "content-encoding"}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
@pytest.mark.parametrize("body", [b"", b"failed", LONG_BODY], ids=["0", "6", "300k"])
def test_refusal_of_a_request_that_has_run_is_not_relayed(status, form, path, body):
    """Guards against a caller that repeats a request which has run."""

    async def scenario(harness):
        found, headers, text = await harness.fetch("POST", path, data=b"q")
        check_unknown_outcome(found, headers)
        assert b"unconfirmed_refusal" in text
        assert sum(len(e.received) for e in harness.endpoints) == 1
        (line,) = harness.recorder.get_lines("attempt-refusal-unconfirmed")
        assert f"status={status}" in line
        (line,) = harness.recorder.get_lines("request-ended")
        assert "outcome=unknown status=502 reason=unconfirmed_refusal" in line

    answers = [make_failing(status, FORMS[form], body)] * 2
    run_scenario(scenario, answers, routes=ROUTES)


@pytest.mark.parametrize("status", STATUSES)
def test_repeatable_request_with_an_unconfirmed_refusal_is_repeated(status):
    """Guards against a failure that another endpoint could have prevented."""

    async def scenario(harness):
        for _ in range(2):
            found, _, body = await harness.fetch("GET", "/any/x")
            assert (found, body) == (200, b"whole")

    answers = [make_failing(status, FORMS["sealed"]), answer_sealed]
    run_scenario(scenario, answers, routes=ROUTES)


@pytest.mark.parametrize("status", STATUSES)
def test_repeated_request_keeps_to_its_attempts(status):
    """Guards against a promise after the last attempt, and against one attempt more."""

    async def scenario(harness):
        found, headers, _ = await harness.fetch("GET", "/any/x")
        check_unknown_outcome(found, headers)
        assert sum(len(e.received) for e in harness.endpoints) == 2

    answers = [make_failing(status, FORMS["sealed"], delay_s=0.05)] * 3
    run_scenario(scenario, answers, routes=ROUTES)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", ["/any/x", "/once/x"])
def test_refusal_with_the_statement_is_retried_elsewhere(status, path):
    """Guards against requests that fail although none of their attempts has run."""

    async def scenario(harness):
        found, _, body = await harness.fetch("POST", path, data=b"q")
        assert (found, body) == (200, b"whole")

    answers = [make_failing(status, {"Not-Run": "1"}), answer_sealed]
    run_scenario(scenario, answers, routes=ROUTES)


def test_refusal_confirms_no_crash():
    """Guards against a request that is blocked because endpoints fail it."""

    async def scenario(harness):
        for _ in range(4):
            found, _, _ = await harness.fetch("POST", "/once/x", data=b"q")
            assert found == 502
        assert not harness.recorder.count("crash-suspected")
        assert not harness.recorder.count("endpoint-checked")

    answers = [make_failing(503, FORMS["sealed"])]
    run_scenario(scenario, answers, routes=ROUTES, n_crashes_to_block=3)


def test_resumed_stream_that_is_refused_is_continued_by_another_endpoint():
    """Guards against a stream that ends because one endpoint fails its rest."""
    event = b"id: 1\ndata: a\n\n"

    async def answer_part(request, _):
        headers = {"Seal": "s", "Attempt": request.headers["Attempt"]}
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(event)
        request.transport.abort()
        return response

    async def answer_rest(request, _):
        if "Last-Event-Id" not in request.headers:
            return await answer_part(request, _)
        if not refused:
            refused.append(request)
            return web.Response(status=503, headers={"Seal": "s"})
        headers = {"Seal": "s", "Content-Type": "text/event-stream"}
        return web.Response(body=b"id: 2\ndata: b\n\n", headers=headers)

    refused = []

    async def scenario(harness):
        found, _, body = await harness.fetch("POST", "/stream/x", data=b"q")
        assert (found, body) == (200, event + b"id: 2\ndata: b\n\n")
        assert len(refused) == 1

    route = make_route(
        RequestKind.STREAMING,
        path_prefix="/stream/",
        n_max_attempts=3,
        is_resumable=True,
    )
    run_scenario(scenario, [answer_rest] * 3, routes=[route])
