"""Evacuated failure domains, over real sockets and in a whole entry."""

import asyncio
import json
import time

import pytest

from bluebellusher.gateway import Gateway
from bluebellusher.gateway.tests.harness import (
    LogRecorder,
    PlainDialect,
    answer_sealed,
    make_route,
    make_settings,
    run_scenario,
)
from bluebellusher.links import open_session
from bluebellusher.observability import KeyValueLog
from bluebellusher.ports import PlatformPorts
from bluebellusher.shared._domain_check import SUSPENSION_MS
from bluebellusher.shared.tests.fakes import FakeStore, wait_until
from bluebellusher_core.clock import SystemClock
from bluebellusher_core.directory import (
    EndpointRegistration,
    RequestKind,
    RoutingTable,
    Service,
)
from bluebellusher_core.events import DomainsEvacuated

NON_IDEMPOTENT = [make_route(RequestKind.NON_IDEMPOTENT)]


@pytest.mark.parametrize(("method", "n_checks"), [("GET", 1), ("POST", 1), ("POST", 2)])
def test_attempt_is_not_written_when_its_domain_was_evacuated_meanwhile(
    method, n_checks
):
    """Guards against a head that is written after the domain was evacuated.

    The domain is evacuated between the choice and the write: while the connection is
    made, and for a request with a body also right before the task that writes it. The
    request has not run, so that it is placed again although it is not idempotent.
    """
    checked_domains = []

    async def scenario(harness):
        async def is_evacuated(domain):
            checked_domains.append(domain)
            return len(checked_domains) == n_checks

        harness.dispatcher.is_evacuated = is_evacuated
        options = {"data": b"body"} if method == "POST" else {}
        status, _, body = await harness.fetch(method, **options)
        assert (status, body) == (200, b"whole")
        assert sum(len(e.received) for e in harness.endpoints) == 1
        assert harness.recorder.count("attempt-withheld") == 1
        assert set(checked_domains) == {"here"}

    run_scenario(scenario, [answer_sealed] * 2, routes=NON_IDEMPOTENT)


def test_attempts_that_are_always_withheld_end_with_a_rejection():
    """Guards against connections without end for a request that is never sent.

    The reducer does not know the evacuation, as after a fault in its handler.
    """
    n_checks = 0

    async def scenario(harness):
        async def is_evacuated(domain):
            nonlocal n_checks
            n_checks += 1
            return True

        harness.dispatcher.is_evacuated = is_evacuated
        status, headers, _ = await harness.fetch()
        assert status == 503
        assert "Retry-After" in headers
        assert n_checks == harness.state.config.n_max_refusals + 1

    run_scenario(scenario, [answer_sealed])


class RawEndpoint:
    """Endpoint that records all bytes of its connections and answers none."""

    endpoint_id = "x0"

    def __init__(self):
        self.data = b""
        self.n_connections = 0
        self.port = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _handle(self, reader, writer):
        self.n_connections += 1
        self.data += await reader.read()
        writer.close()

    def close(self):
        """Close the port."""
        self._server.close()


@pytest.mark.parametrize(("method", "n_checks"), [("GET", 1), ("POST", 1), ("POST", 2)])
def test_no_byte_of_a_withheld_attempt_is_sent(method, n_checks):
    """Guards against a head without its body, which the endpoint counts as a request.

    The connection is open when the domain is found to be evacuated.
    """
    endpoint = RawEndpoint()

    async def scenario(harness):
        n_left = n_checks

        async def is_evacuated(domain):
            nonlocal n_left
            n_left -= 1
            if not n_left:
                event = DomainsEvacuated(frozenset({domain}), ((domain, 5),), "row", 0)
                harness.runtime.post(event)
            return not n_left

        harness.dispatcher.is_evacuated = is_evacuated
        options = {"data": b"body"} if method == "POST" else {}
        status, _, body = await harness.fetch(method, **options)
        assert status == 503
        assert json.loads(body)["error"]["reason"] == "domain_evacuated"
        await wait_until(lambda: endpoint.n_connections)
        await asyncio.sleep(0.05)
        assert endpoint.data == b""

    run_scenario(scenario, [], [endpoint])


def test_request_is_rejected_as_not_run_when_all_domains_are_evacuated():
    """Guards against a request that waits, or an answer without ``Retry-After``."""

    async def scenario(harness):
        event = DomainsEvacuated(frozenset({"here"}), (("here", 5),), "row", 0)
        harness.runtime.post(event)
        status, headers, body = await harness.fetch()
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        error = json.loads(body)["error"]
        assert (error["outcome"], error["reason"]) == ("not_run", "domain_evacuated")
        assert not any(e.received for e in harness.endpoints)

    run_scenario(scenario, [answer_sealed])


class Codec:
    """Codec of rows; the value of a registration is the port in the domain ``d``."""

    routing_table, routing_key, registration_table = "op", "config", "servers"

    def read_routing(self, value):
        """Return a routing table of the version in the row."""
        services = [Service("desk", 10)]
        return RoutingTable.from_parts(int(value), [make_route()], services, None)

    def read_evacuation(self, key):
        """Return the domain in a key ``evacuate/DOMAIN``, or None."""
        return key.partition("evacuate/")[2] or None

    def read_registration(self, endpoint_id, value):
        """Return a registration."""
        return EndpointRegistration(
            endpoint_id, "desk", "127.0.0.1", int(value), "d", 4, False, 1
        )


def test_row_takes_effect_in_a_whole_entry():
    """Guards against rows that no component reads, and missing logs and metrics.

    The entry starts while its own domain is evacuated. The endpoint stays registered,
    so that the links to its agent and the expert maps are not affected.
    """
    recorder = LogRecorder()
    log = KeyValueLog.from_config("info", recorder)
    store = FakeStore()
    store.put("op", "evacuate/d", b"\xff")
    store.put("op", "config", b"1")
    store.put("servers", "x0", b"1")

    async def main():
        ports = PlatformPorts(store, PlainDialect(), Codec())
        gateway = Gateway(make_settings(evacuation_ms=5_000), ports, SystemClock(), log)
        endpoints = gateway.state.endpoints
        assert "domain_evacuated" not in gateway._metrics_page().text
        await gateway.start()
        try:
            await wait_until(lambda: "x0" in endpoints.view_by_id)
            assert endpoints.evacuated.domains == {"d"}
            assert await gateway.dispatcher.is_evacuated("d")
            assert gateway.directory.find("x0") is not None
            series = 'bluebellusher_domain_evacuated{domain="d"}'
            assert f"gauge\n{series} 1\n" in gateway._metrics_page().text
            (line,) = recorder.get_lines("domain-evacuated")
            assert "row_version=1 " in line
            store.put("op", "evacuate/d", b"", is_removed=True)
            await wait_until(lambda: recorder.count("domain-restored"))
            assert f"{series} 0\n" in gateway._metrics_page().text
            assert not await gateway.dispatcher.is_evacuated("d")
        finally:
            await gateway.stop()
            log.close()

    asyncio.run(main())


def test_entry_that_was_suspended_after_its_choice_sends_nothing():
    """Guards against a request of a frozen entry to a domain evacuated meanwhile.

    The event loop stands still between the choice of the endpoint and the write of the
    attempt. The row is written in that time.
    """
    recorder = LogRecorder()
    log = KeyValueLog.from_config("info", recorder)
    store = FakeStore()
    store.put("op", "config", b"1")

    async def main():
        endpoint = RawEndpoint()
        await endpoint.start()
        store.put("servers", "x0", str(endpoint.port).encode())
        ports = PlatformPorts(store, PlainDialect(), Codec())
        gateway = Gateway(make_settings(evacuation_ms=5_000), ports, SystemClock(), log)
        start_attempt = gateway.dispatcher.start

        def start_before_suspension(effect, exchange):
            is_started = start_attempt(effect, exchange)
            store.put("op", "evacuate/d", b"{}")
            time.sleep(1.1 * SUSPENSION_MS / 1_000)
            return is_started

        gateway.dispatcher.start = start_before_suspension
        await gateway.start()
        session = open_session()
        try:
            await wait_until(lambda: "x0" in gateway.state.endpoints.view_by_id)
            port = gateway.server._listener.sockets[0].getsockname()[1]
            headers = {"Host": "h.example", "Attempt": "t1", "Remaining": "8000"}
            url = f"http://127.0.0.1:{port}/a/x"
            async with session.get(url, headers=headers) as response:
                assert response.status == 503
                assert "domain_evacuated" in await response.text()
            assert recorder.count("process-resumed") == 1
            assert recorder.count("attempt-withheld") == 1
            assert endpoint.data == b""
        finally:
            await session.close()
            await gateway.stop()
            endpoint.close()
            log.close()

    asyncio.run(main())
