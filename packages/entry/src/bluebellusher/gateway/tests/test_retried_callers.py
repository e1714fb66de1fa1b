"""Recognition of callers that retry, through the server and its headers."""

import asyncio

from aiohttp import web

from bluebellusher.gateway.tests.harness import (
    answer_sealed,
    make_route,
    run_scenario,
)
from bluebellusher_core.directory import RequestKind

NON_IDEMPOTENT = [make_route(RequestKind.NON_IDEMPOTENT)]


def with_remaining(remaining_ms):
    """Return the headers of a caller that waits for a time in ms."""
    return {"headers": {"Remaining": str(remaining_ms)}}


def test_callers_with_different_deadlines_are_fresh():
    """Guards against fresh requests that count as retries.

    The callers of one route choose their own deadlines; a shorter one than that of an
    earlier caller is no sign of an earlier attempt.
    """

    async def scenario(harness):
        for remaining_ms in (8_000, 6_800, 7_100):
            body = str(remaining_ms).encode()
            status, *_ = await harness.fetch(
                "POST", data=body, **with_remaining(remaining_ms)
            )
            assert status == 200
        assert not harness.recorder.count("retry-recognized")
        for record in harness.state.request_by_id.values():
            assert not record.spec.is_returning

    run_scenario(scenario, [answer_sealed], routes=NON_IDEMPOTENT)


def test_failed_request_and_its_retry_are_one_caller():
    """Guards against retries that are unknown although their caller was rejected.

    The route's timeout is shorter than the caller's deadline and does not count.
    """

    async def fail_first(request, body):
        if request.headers["Attempt"] == "t1":
            request.transport.abort()
            return web.Response()
        return await answer_sealed(request, body)

    async def scenario(harness):
        first = await harness.fetch("POST", data=b"x", **with_remaining(6_000))
        assert first[0] == 502
        await asyncio.sleep(0.05)
        headers = {"Attempt": "t2", "Remaining": "5950"}
        status, *_ = await harness.fetch("POST", data=b"x", headers=headers)
        assert status == 200
        assert harness.recorder.count("retry-recognized") == 1

    run_scenario(scenario, [fail_first], routes=NON_IDEMPOTENT)
