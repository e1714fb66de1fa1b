"""Evacuated failure domains, over real sockets and in a whole entry."""

import asyncio
import json

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
from bluebellusher.observability import KeyValueLog
from bluebellusher.ports import PlatformPorts
from bluebellusher.shared.tests.fakes import FakeStore, wait_until
from bluebellusher_core.clock import SystemClock
from bluebellusher_core.directory import EndpointRegistration, RequestKind, RoutingTable
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
    """Codec of rows with registrations of any value in the domain ``d``."""

    routing_table, routing_key, registration_table = "op", "config", "servers"

    def read_routing(self, value):
        """Return an empty routing table of the version in the row."""
        return RoutingTable.from_parts(int(value), [], [], None)

    def read_evacuation(self, key):
        """Return the domain in a key ``evacuate/DOMAIN``, or None."""
        return key.partition("evacuate/")[2] or None

    def read_registration(self, endpoint_id, value):
        """Return a registration."""
        return EndpointRegistration(endpoint_id, "s", "127.0.0.1", 1, "d", 4, False, 1)


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
    store.put("servers", "x0", b"{}")

    async def main():
        ports = PlatformPorts(store, PlainDialect(), Codec())
        gateway = Gateway(make_settings(), ports, SystemClock(), log)
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
