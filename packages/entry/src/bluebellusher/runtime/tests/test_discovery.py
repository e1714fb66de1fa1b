"""Guards against endpoints that are never found, or dialed for ever."""

import asyncio

from expression import Error, Ok

from bluebellusher.platform import Instance, PlatformNotDoneError
from bluebellusher.runtime import EndpointDiscovery


class Platform:
    """An instance list that the test changes; ``None`` means down."""

    def __init__(self) -> None:
        self.instances: list[Instance] | None = []

    async def list_instances(self):
        """Return the list."""
        if self.instances is None:
            return Error(PlatformNotDoneError("list", "platform", "down"))
        return Ok(tuple(self.instances))


class Links:
    """Remember what is dialed; ``connected`` addresses cannot be forgotten."""

    def __init__(self) -> None:
        self.dialed: set = set()
        self.connected: set = set()

    def dial(self, addresses) -> None:
        """Remember the addresses."""
        self.dialed |= set(addresses)

    def stop_dialing(self, address) -> bool:
        """Forget an address that is not connected."""
        if address in self.connected:
            return False
        self.dialed.discard(address)
        return True

    def log(self, name, **fields) -> None:
        """Drop a log line."""


def make_instance(number: int, state="running", role="endpoint", service="desk"):
    """Return a line of the instance list."""
    return Instance(f"e{number}", role, state, "a", "10.0.0.1", number, (service,))


def test_the_list_is_followed_but_connections_are_kept():
    """Guards against a lagging list that breaks streams, or dials the dead."""
    platform, links = Platform(), Links()
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
