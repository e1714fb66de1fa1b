"""Registrations of other programs on the host of a rank."""

import asyncio
from random import Random

from bluebellusher.ranks import RankLinks
from bluebellusher.shared.tests.fakes import FakeLog
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.directory import EndpointRegistration
from bluebellusher_core.wire import messages


class UndialedLinks(RankLinks):
    """Connections to agents that are never opened."""

    async def _dial(self, host):
        await asyncio.Event().wait()


def make_endpoint(endpoint_id, started_wall_ms):
    """Return a registration on the host ``h``."""
    return EndpointRegistration(
        endpoint_id, "s", "h", 80, "d", 4, False, started_wall_ms
    )


def run_with_links(scenario):
    """Run a scenario with links and the function that reports a start from ``h``.

    The function returns the endpoint that the report is taken for, or None.
    """

    async def main():
        log = FakeLog()
        links = UndialedLinks(None, log, None, ManualClock(), Random(1), 1)

        def report(started_wall_ms):
            log.events.clear()
            message = messages.RankReport(
                group_id="g", is_open=True, started_wall_ms=started_wall_ms
            )
            links._handle_report(links._agent_by_host["h"], message)
            return next((event.endpoint_id for event in log.events), None)

        try:
            scenario(links, report)
        finally:
            await links.close()

    asyncio.run(main())


def test_report_is_that_of_the_endpoint_with_the_same_start():
    """Guards against a rank without reports and orders because of a foreign row.

    The row names its host, or its address, and a later start.
    """

    def scenario(links, report):
        endpoints = [make_endpoint("x", 100), make_endpoint("seen-x", 200)]
        links.update(endpoints)
        assert report(100) == "x"
        links.update(endpoints)
        assert report(100) == "x"
        (state,) = [agent.state for agent in links._agent_by_host.values()]
        assert state.rank_id == "x"
        assert links.find_domain("x") == "d"
        assert report(150) is None

    run_with_links(scenario)


def test_report_of_a_successor_is_not_that_of_its_predecessor():
    """Guards against orders to a rank that has been replaced on its host."""

    def scenario(links, report):
        links.update([make_endpoint("x", 100)])
        assert report(100) == "x"
        links.update([make_endpoint("x", 100), make_endpoint("y", 200)])
        assert links._agent_by_host["h"].state is None
        assert report(200) == "y"
        links.update([make_endpoint("y", 200)])
        assert report(200) == "y"
        assert links.find_domain("x") == ""

    run_with_links(scenario)
