"""Discovery of endpoints in the platform's instance list."""

import asyncio
from collections.abc import Iterable

from bluebellusher.links import AgentLinks, EventSink
from bluebellusher.platform import Instance, PlatformClient
from bluebellusher_core.events import EndpointInfo
from bluebellusher_core.membership import choose_subset

# Interval at which the instance list is read, in s.
POLL_INTERVAL_S = 5.0
Address = tuple[str, int]


class EndpointDiscovery:
    """Connect to a bounded subset of the listed endpoints.

    The list lags behind the instances, so that it serves only to find their addresses.
    The agent of an endpoint reports whether the endpoint runs or drains. A connection
    stays open when its endpoint is no longer listed. While the list cannot be read, the
    set of dialed endpoints does not change.

    Parameters
    ----------
    client : PlatformClient
        Reads the instance list.
    agents : AgentLinks
        Connects to agents.
    sink : EventSink
        Receives the log lines.
    entry_id, failure_domain : str
        Id and failure domain of this entry, which determine its subset of the
        endpoints.
    service_ids : iterable of str
        Services of this deployment; endpoints of others are not used.
    n_per_service : int
        Upper bound of the endpoints of each service.
    configured : iterable of tuple
        Addresses from the settings, which are dialed independently of the list.
    """

    def __init__(
        self,
        client: PlatformClient,
        agents: AgentLinks,
        sink: EventSink,
        entry_id: str,
        failure_domain: str,
        service_ids: Iterable[str],
        n_per_service: int,
        configured: Iterable[Address],
    ) -> None:
        self._client = client
        self._agents = agents
        self._sink = sink
        self._entry_id = entry_id
        self._failure_domain = failure_domain
        self._service_ids = frozenset(service_ids)
        self._n_per_service = n_per_service
        self._configured = frozenset(configured)
        self._dialed: set[Address] = set()

    async def run(self) -> None:
        """Read the list every ``POLL_INTERVAL_S`` seconds until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self) -> None:
        """Read the list once, dial new endpoints and stop dialing removed ones.

        An address that is still connected remains in the set of dialed endpoints until
        its connection has ended.
        """
        result = await self._client.list_instances()
        if not result.is_ok():
            self._sink.log("instances-unread", step="list", error=str(result.error))
            return
        target_addresses = self._choose_addresses(result.ok) - self._configured
        removed_addresses = self._dialed - target_addresses
        connected_addresses = {
            address
            for address in removed_addresses
            if not self._agents.stop_dialing(address)
        }
        self._agents.dial(target_addresses)
        self._dialed = target_addresses | connected_addresses

    def _choose_addresses(self, instances: Iterable[Instance]) -> set[Address]:
        """Return the addresses of this entry's subset of the running endpoints."""
        instance_by_id = {
            instance.instance_id: instance
            for instance in instances
            if instance.role == "endpoint" and instance.state == "running"
        }
        infos = [self._to_info(instance) for instance in instance_by_id.values()]
        chosen_ids = choose_subset(
            self._entry_id, self._failure_domain, infos, self._n_per_service
        )
        return {(instance_by_id[i].host, instance_by_id[i].port) for i in chosen_ids}

    def _to_info(self, instance: Instance) -> EndpointInfo:
        """Return an instance in the form that ``choose_subset`` takes.

        Its number of slots, models and adapters are placeholders; the subset does not
        depend on them.
        """
        return EndpointInfo(
            endpoint_id=instance.instance_id,
            failure_domain=instance.failure_domain,
            services=self._service_ids.intersection(instance.services),
            models=frozenset(),
            adapters=frozenset(),
            n_slots=1,
        )
