"""Streams whose endpoint sends nothing while the other ranks of its group advance."""

import asyncio

from aiohttp import web

from bluebellusher.gateway.tests.harness import make_route, run_scenario
from bluebellusher_core.directory import RequestKind
from bluebellusher_core.events import LoadReported

N_EVENTS = 60
GAP_S = 0.05
STREAMING = [
    make_route(
        RequestKind.STREAMING, is_resumable=True, timeout_ms=9_000, n_max_attempts=3
    )
]


def make_event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: a\n\n" % number


class Rank:
    """Rank that streams events, and none while its machine is frozen."""

    def __init__(self):
        self.running = asyncio.Event()
        self.running.set()
        self.requested = asyncio.Event()

    async def answer(self, request, body):
        """Stream the events behind the last one that the caller has."""
        self.requested.set()
        response = web.StreamResponse(
            headers={
                "Seal": "s",
                "Attempt": request.headers["Attempt"],
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, N_EVENTS + 1):
            await self.running.wait()
            await response.write(make_event(number))
            await asyncio.sleep(GAP_S)
        return response


def report_group(harness):
    """Report that the endpoints are ranks of one group."""
    for endpoint in harness.endpoints:
        report = LoadReported(
            endpoint_id=endpoint.endpoint_id,
            sequence=1,
            n_running=0,
            n_queued=0,
            n_queued_tokens=0,
            n_slots=4,
            kv_use=0.0,
            models=frozenset(),
            adapters=frozenset(),
            age_ms=0,
            group_id="g",
            epoch=1,
        )
        harness.runtime.post(report)


def test_stream_on_a_frozen_machine_continues_at_another_rank():
    """Guards against callers that leave a rank that sends nothing.

    The caller of the frozen rank receives all events, in order and once.
    """
    ranks = [Rank(), Rank()]

    async def scenario(harness):
        report_group(harness)
        headers = {"Remaining": "9000"}
        fetches = [
            asyncio.create_task(harness.fetch("POST", data=b"q", headers=headers))
            for _ in range(2)
        ]
        for rank in ranks:
            await rank.requested.wait()
        await asyncio.sleep(0.5)
        ranks[0].running.clear()
        answers = await asyncio.gather(*fetches)
        expected = b"".join(make_event(number) for number in range(1, N_EVENTS + 1))
        assert [body for _, _, body in answers] == [expected, expected]
        assert harness.recorder.count("endpoint-silent") == 1
        assert harness.recorder.count("attempt-abandoned") == 1
        ranks[0].running.set()

    run_scenario(scenario, [rank.answer for rank in ranks], routes=STREAMING)
