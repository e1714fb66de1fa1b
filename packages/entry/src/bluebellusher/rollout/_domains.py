"""Failure domains that have entries, and the connected peers in each of them."""

from collections.abc import Collection, Iterable, Mapping

from bluebellusher.links import PeerLinks
from bluebellusher.platform import PlatformClient
from bluebellusher.settings import Settings


class DomainView:
    """View of the failure domains in which a change must be staged.

    The domains are those of the configured peers, of the instance list and of all
    peers that were connected at any time since the start. A domain is kept when the
    connections to all its peers are lost, so that a change is refused and not accepted
    without the domain.

    Parameters
    ----------
    settings : Settings
        Failure domain of this entry, and configured peers.
    links : PeerLinks
        Connections to peers.
    platform : PlatformClient
        Client of the instance list.
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
        self._observed_domains: set[str] = set()
        self._listed_domains: set[str] = set()

    @property
    def own_domain(self) -> str:
        """Return the failure domain of this entry."""
        return self._settings.failure_domain

    def domain_by_peer(self) -> dict[str, str]:
        """Return the failure domain of each connected peer."""
        return {
            peer_id: connections[-1].hello.failure_domain
            for peer_id, connections in self._links.connections_by_peer_id.items()
        }

    def own_domain_peers(self) -> list[str]:
        """Return the connected peers in the failure domain of this entry."""
        own_domain = self._settings.failure_domain
        return [
            peer
            for peer, domain in self.domain_by_peer().items()
            if domain == own_domain
        ]

    def record_addresses(self, peer_id: str, addresses: Iterable[str]) -> None:
        """Record the failure domain of a connected peer for its addresses.

        Parameters
        ----------
        peer_id : str
            Instance id of the peer; an id without a connection is ignored.
        addresses : iterable of str
            Addresses, as ``host:port``, at which the peer listens. Addresses that are
            not configured are ignored.
        """
        domain = self.domain_by_peer().get(peer_id)
        if domain is None:
            return
        self._observed_domains.add(domain)
        for address in addresses:
            if address in self._domain_by_address:
                self._domain_by_address[address] = domain

    async def refresh(self) -> None:
        """Read the domains of running entries from the instance list.

        The previous domains are kept when the platform fails.
        """
        result = await self._platform.list_instances()
        if result.is_ok():
            self._listed_domains = {
                instance.failure_domain
                for instance in result.ok
                if instance.role == "entry" and instance.state == "running"
            }

    def peers_by_domain(
        self, excluded_domains: Collection[str]
    ) -> Mapping[str, list[str]]:
        """Return the connected peers of each other failure domain.

        A domain without a connected peer has an empty list. If a configured peer has
        never connected and its failure domain is not configured, its address is
        returned as a separate domain, because it may be the only entry of its domain.

        Parameters
        ----------
        excluded_domains : collection of str
            Domains that the operator listed as cut off, which are left out.
        """
        domains = self._observed_domains | self._listed_domains
        for address, domain in self._domain_by_address.items():
            domains.add(domain or address)
        domain_by_peer = self.domain_by_peer()
        domains |= set(domain_by_peer.values())
        domains -= {self._settings.failure_domain, *excluded_domains}
        return {
            domain: [
                peer
                for peer, peer_domain in domain_by_peer.items()
                if peer_domain == domain
            ]
            for domain in sorted(domains)
        }
