"""Failure domains that have entries, and the entries that can be reached there."""

from collections.abc import Collection, Iterable, Mapping

from bluebellusher.links import PeerLinks
from bluebellusher.platform import PlatformClient
from bluebellusher.settings import Settings


class DomainView:
    """Know every failure domain in which a change has to be staged.

    Domains come from the configured peers, the instance list and the peers that were
    connected at any time since the start. A domain stays known when its peers are
    lost, because losing them is what must refuse a change.

    Parameters
    ----------
    settings : Settings
        Own failure domain and configured peers.
    links : PeerLinks
        Connections to peers.
    platform : PlatformClient
        Gives the instance list.
    """

    def __init__(
        self, settings: Settings, links: PeerLinks, platform: PlatformClient
    ) -> None:
        self._settings = settings
        self._links = links
        self._platform = platform
        self._domain_by_address = {
            str(peer): peer.failure_domain for peer in settings.peers
        }
        self._seen_domains: set[str] = set()
        self._listed_domains: set[str] = set()

    @property
    def own_domain(self) -> str:
        """Return the failure domain of this entry."""
        return self._settings.failure_domain

    def connected(self) -> dict[str, str]:
        """Return the failure domain of each connected peer."""
        return {
            peer_id: connections[-1].hello.failure_domain
            for peer_id, connections in self._links.connections_by_peer_id.items()
        }

    def own_members(self) -> list[str]:
        """Return the connected peers of the own failure domain."""
        own = self._settings.failure_domain
        return [peer for peer, domain in self.connected().items() if domain == own]

    def learn(self, peer_id: str, addresses: Iterable[str]) -> None:
        """Take in that a connected peer listens at ``addresses``."""
        domain = self.connected().get(peer_id)
        if domain is None:
            return
        self._seen_domains.add(domain)
        for address in addresses:
            if address in self._domain_by_address:
                self._domain_by_address[address] = domain

    async def refresh(self) -> None:
        """Read the instance list; without an answer the last one is kept."""
        result = await self._platform.list_instances()
        if result.is_ok():
            self._listed_domains = {
                instance.failure_domain
                for instance in result.ok
                if instance.role == "entry" and instance.state == "running"
            }

    def peers_by_domain(self, without: Collection[str]) -> Mapping[str, list[str]]:
        """Return the connected peers of each other failure domain.

        A domain without a connected peer has an empty list. A configured peer that
        never connected and whose domain is unknown counts as a domain of its own,
        named by its address, because it may be the only entry of a domain.

        Parameters
        ----------
        without : collection of str
            Domains that the operator named as cut off.
        """
        domains = self._seen_domains | self._listed_domains
        for address, domain in self._domain_by_address.items():
            domains.add(domain or address)
        connected = self.connected()
        domains |= set(connected.values())
        domains -= {self._settings.failure_domain, *without}
        return {
            domain: [peer for peer, home in connected.items() if home == domain]
            for domain in sorted(domains)
        }
