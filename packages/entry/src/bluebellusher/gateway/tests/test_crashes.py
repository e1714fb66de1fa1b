"""Requests that crash the endpoints which run them, over real sockets."""

import asyncio

from bluebellusher.gateway import Gateway
from bluebellusher.gateway.tests.harness import (
    CODEC,
    LogRecorder,
    PlainDialect,
    answer_sealed,
    make_route,
    make_settings,
    run_scenario,
)
from bluebellusher.observability import KeyValueLog
from bluebellusher.ports import PlatformPorts
from bluebellusher.shared import CRASH_TABLE
from bluebellusher.shared._crashes import CRASH_ROW_KEY
from bluebellusher.shared.tests.fakes import FakeStore, wait_until
from bluebellusher_core.clock import SystemClock
from bluebellusher_core.directory import RequestKind

NON_IDEMPOTENT = [make_route(RequestKind.NON_IDEMPOTENT)]
POISON_REQUEST = {"method": "POST", "data": b"poison"}
# Time from the broken connection until the port closes, in s. It is far longer than the
# check of the port takes, so that the check always finds the port open.
PORT_CLOSES_AFTER_S = 1.0


def make_crashing_answer(endpoint_by_id, has_open_port=False):
    """Return an answer function that breaks the connection of a poison request.

    It also closes the port of the endpoint that runs the request, unless
    ``has_open_port`` is set.
    """

    async def answer(request, body):
        if body == b"poison":
            if not has_open_port:
                endpoint_by_id[request.headers["Endpoint"]].close()
            request.transport.abort()
        return await answer_sealed(request, body)

    return answer


def run_poison_scenario(scenario, has_open_port):
    """Run a scenario with five endpoints that crash on the poison request."""
    endpoint_by_id = {}

    async def run_with_endpoints(harness):
        endpoint_by_id.update({e.endpoint_id: e for e in harness.endpoints})
        await scenario(harness)

    answer = make_crashing_answer(endpoint_by_id, has_open_port)
    run_scenario(
        run_with_endpoints, [answer] * 5, routes=NON_IDEMPOTENT, n_crashes_to_block=3
    )


def test_third_closed_port_blocks_the_request_that_was_running():
    """Guards against crashes that count only if another request finds the port closed.

    The entry must check the port itself after a broken run. Three crashes block the
    request, and other requests are still served.
    """

    async def scenario(harness):
        for n_crashes in range(1, 4):
            assert (await harness.fetch(**POISON_REQUEST))[0] == 502
            await wait_until(
                lambda n=n_crashes: harness.recorder.count("crash-counted") == n
            )
        status, headers, body = await harness.fetch(**POISON_REQUEST)
        assert status == 503
        assert b"crashes_endpoints" in body
        assert float(headers["Retry-After"]) > 1
        assert sum(len(e.received) for e in harness.endpoints) == 3
        assert (await harness.fetch(method="POST", data=b"sound"))[0] == 200

    run_poison_scenario(scenario, has_open_port=False)


def test_broken_connections_at_open_ports_block_no_request():
    """Guards against blocked requests because endpoints reset connections.

    A port that is open after the break dismisses the crash.
    """

    async def scenario(harness):
        for n_broken in range(1, 6):
            assert (await harness.fetch(**POISON_REQUEST))[0] == 502
            await wait_until(
                lambda n=n_broken: harness.recorder.count("crash-ruled-out") == n
            )
        assert not harness.recorder.count("crash-counted")

    run_poison_scenario(scenario, has_open_port=True)


def test_restarted_entry_receives_earlier_crashes_from_the_store():
    """Guards against a restarted entry that runs a request which others have blocked.

    The entry starts without crashes, receives those in the store and then blocks the
    request. Its readiness requires ``has_received_crashes``, among other conditions.
    """
    stored_crashes = b'{"crashes_by_fingerprint":{"f":[%s]}}' % b",".join(
        b'{"start_id":"x%d@1","sent_at":%d,"broken_at":%d}' % (i, now, now)
        for i, now in enumerate([SystemClock().wall_ms()] * 3)
    )

    async def main():
        store = FakeStore()
        store.put(CRASH_TABLE, CRASH_ROW_KEY, stored_crashes)
        log = KeyValueLog.from_config("info", LogRecorder())
        ports = PlatformPorts(store, PlainDialect(), CODEC)
        gateway = Gateway(make_settings(), ports, SystemClock(), log)
        assert not gateway.has_received_crashes
        await gateway.start()
        try:
            await wait_until(lambda: gateway.has_received_crashes)
            now_ms = gateway.clock.now_ms()
            await wait_until(lambda: gateway.state.poison.is_blocked("f", now_ms))
        finally:
            await gateway.stop()
            log.close()

    asyncio.run(main())


def test_port_that_closes_after_the_connection_counts_as_a_crash():
    """Guards against a crash that is dismissed because its process has not ended yet.

    The port of a crashed endpoint still accepts connections for a short time after the
    connection broke, and a check in this time finds it open.
    """

    async def scenario(harness):
        (endpoint,) = harness.endpoints

        async def crash_with_delay(request, body):
            asyncio.get_running_loop().call_later(PORT_CLOSES_AFTER_S, endpoint.close)
            request.transport.abort()
            return await answer_sealed(request, body)

        endpoint.answer = crash_with_delay
        assert (await harness.fetch(**POISON_REQUEST))[0] == 502
        await wait_until(lambda: harness.recorder.count("crash-counted"))

    run_scenario(scenario, [answer_sealed], routes=NON_IDEMPOTENT, n_crashes_to_block=3)
