"""Tests that listed endpoints are dialed and removed endpoints no longer are."""

import asyncio

from expression import Error, Ok

from bluebellusher.platform import Instance, PlatformNotDoneError
from bluebellusher.runtime import EndpointDiscovery


class FakePlatform:
    """Platform with an instance list; it is unavailable while the list is None."""

    def __init__(self) -> None:
        self.instances: list[Instance] | None = []

    async def list_instances(self):
        """Return the instances, or an error while the platform is unavailable."""
        if self.instances is None:
            return Error(PlatformNotDoneError("list", "platform", "down"))
        return Ok(tuple(self.instances))


class FakeAgentLinks:
    """Agent links that record the dialed addresses.

    Addresses in ``connected`` have an open connection and remain dialed.
    """

    def __init__(self) -> None:
        self.dialed: set = set()
        self.connected: set = set()

    def dial(self, addresses) -> None:
        """Record the addresses."""
        self.dialed |= set(addresses)

    def stop_dialing(self, address) -> bool:
        """Stop dialing an address; return False while it is connected."""
        if address in self.connected:
            return False
        self.dialed.discard(address)
        return True

    def log(self, name, **fields) -> None:
        """Discard a log line."""


def make_instance(number: int, state="running", role="endpoint", service="desk"):
    """Return an entry of the instance list; its id and port contain ``number``."""
    return Instance(f"e{number}", role, state, "a", "10.0.0.1", number, (service,))


def test_listed_endpoints_are_dialed_and_connections_stay_open():
    """Guards against closed connections to endpoints that a lagging list omits.

    Also guards against dialing instances that are leaving, not endpoints or of other
    services, against dialing removed endpoints or too many of them, and against a
    changed set of endpoints while the list cannot be read.
    """
    platform, links = FakePlatform(), FakeAgentLinks()
    configured = [("10.0.0.1", 9)]
    discovery = EndpointDiscovery(
        platform, links, links, "entry-1", "a", ["desk"], 2, configured
    )

    def poll(*instances) -> set[int]:
        platform.instances = list(instances) if instances else None
        asyncio.run(discovery.poll())
        return {port for _, port in links.dialed}

    ignored = (
        make_instance(3, state="leaving"),
        make_instance(4, role="entry"),
        make_instance(5, service="other"),
        make_instance(9),
    )
    assert poll(make_instance(1), *ignored) == {1}
    assert poll() == {1}
    links.connected = {("10.0.0.1", 1)}
    assert poll(make_instance(2), make_instance(4, role="entry")) == {1, 2}
    links.connected = set()
    assert poll(make_instance(2)) == {2}
    assert len(poll(*(make_instance(n) for n in range(20, 40)))) == 2
