"""Status of an entry, for operators, load balancers and peers."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from bluebellusher_core.wire import messages

if TYPE_CHECKING:
    from bluebellusher.cli._entry import Entry


class EntryStatus:
    """Readiness, status document, gauges and digest of one entry."""

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry
        self._started_at_ms = entry.clock.now_ms()

    def is_ready(self) -> bool:
        """Return whether load balancers should send requests; false while stopping."""
        return not self._entry.runtime.is_shutting_down

    def status(self) -> dict[str, Any]:
        """Return the document of ``/admin/status``.

        It contains members, endpoints, configuration, claims and latencies. Values
        whose keys end in ``_ms`` are durations in milliseconds.
        """
        entry = self._entry
        now_ms = entry.clock.now_ms()
        config = entry.rollout.in_force.status()
        return {
            "instance_id": entry.settings.instance_id,
            "failure_domain": entry.settings.failure_domain,
            "incarnation": entry.incarnation,
            "is_ready": self.is_ready(),
            "age_ms": now_ms - self._started_at_ms,
            "n_requests": len(entry.runtime.exchange_by_request_id),
            "n_bytes_relayed": sum(
                exchange.answer.n_bytes
                for exchange in entry.runtime.exchange_by_request_id.values()
            ),
            "n_connections": entry.server.n_connections,
            "n_claims_in_flight": entry.runtime.n_claims_in_flight,
            "config_version": self._config_version(),
            "config_age_ms": config["in_force_ms"],
            "config": config,
            "members": self._members(now_ms),
            "endpoints": self._endpoints(now_ms),
            "latency_ms": entry.runtime.metrics.quantiles(),
        }

    def gauges(self) -> Mapping[str, float]:
        """Return current values of the gauges by Prometheus metric name."""
        entry = self._entry
        n_requests = len(entry.runtime.exchange_by_request_id)
        return {
            "bluebellusher_requests_in_progress": n_requests,
            "bluebellusher_connections": entry.server.n_connections,
            "bluebellusher_endpoints": len(entry.agents.link_by_endpoint_id),
            "bluebellusher_members": len(entry.peers.connections_by_peer_id),
            "bluebellusher_claims_in_flight": entry.runtime.n_claims_in_flight,
            "bluebellusher_config_version": self._config_version(),
        }

    def make_digest(self) -> Any:
        """Return the digest that is announced to peers.

        It contains this entry as a member, its configuration version, and the blocked
        and suspect fingerprints.
        """
        entry = self._entry
        blocked, suspects = entry.state.digest(entry.clock.now_ms())
        return messages.Digest(
            config_version=self._config_version(),
            members=[self._own_member()],
            blocked_fingerprints=list(blocked),
            suspect_fingerprints=list(suspects),
        )

    def _config_version(self) -> int:
        return self._entry.rollout.in_force.version

    def _own_member(self) -> Any:
        """Return this entry as the member that its digest announces."""
        settings = self._entry.settings
        return messages.Member(
            instance_id=settings.instance_id,
            incarnation=self._entry.incarnation,
            failure_domain=settings.failure_domain,
            state="running" if self.is_ready() else "leaving",
            host=settings.peer_listen.host,
            port=settings.peer_listen.port,
            role=messages.Role.ENTRY,
            services=[],
        )

    def _members(self, now_ms: int) -> list[dict[str, Any]]:
        """Return the connected peers; ``age_ms`` is the time since the last message."""
        exchange = self._entry.peer_exchange
        return [
            {
                "instance_id": peer_id,
                "failure_domain": connections[-1].hello.failure_domain,
                "incarnation": connections[-1].hello.incarnation,
                "age_ms": now_ms - connections[-1].received_at_ms,
                "config_version": exchange.config_version_by_peer_id.get(peer_id, 0),
            }
            for peer_id, connections in self._entry.peers.connections_by_peer_id.items()
        ]

    def _endpoints(self, now_ms: int) -> list[dict[str, Any]]:
        """Return the endpoints with a connected agent.

        ``n_started`` counts the attempts whose answer goes to the caller, and
        ``age_ms`` is the time since the last message of the agent.
        """
        view_by_id = self._entry.state.endpoints.view_by_id
        documents = []
        for endpoint_id, link in self._entry.agents.link_by_endpoint_id.items():
            view = view_by_id.get(endpoint_id)
            is_draining = view is not None and view.is_draining
            hello = link.connection.hello
            documents.append(
                {
                    "endpoint_id": endpoint_id,
                    "failure_domain": hello.failure_domain,
                    "services": sorted(hello.services or ()),
                    "state": "draining" if is_draining else "connected",
                    "n_attempts": len(link.relay_by_attempt_id),
                    "n_started": sum(
                        relay.answer.owner_attempt_id == attempt_id
                        for attempt_id, relay in link.relay_by_attempt_id.items()
                    ),
                    "age_ms": now_ms - link.connection.received_at_ms,
                }
            )
        return documents
