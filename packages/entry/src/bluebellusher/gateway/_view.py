"""Gauges, digests and log fields computed from the state of an entry."""

from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from bluebellusher.observability import name_series
from bluebellusher_core.admission import PriorityQueue
from bluebellusher_core.events import Priority
from bluebellusher_core.routing import count_occupied_slots
from bluebellusher_core.wire import messages

if TYPE_CHECKING:
    from bluebellusher.gateway._gateway import Gateway

# Name of the lease that an entry holds while it changes expert maps.
MAP_LEASE = "expert-maps"


class GatewayView:
    """Gauges, digest and endpoint descriptions of one entry.

    Parameters
    ----------
    gateway : Gateway
        Entry whose state is read.
    """

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway

    def make_digest(self) -> Any:
        """Return the digest of the entry's state that is sent to its peers.

        It contains the fingerprints that the entry itself has marked, the versions of
        its tables and the leases it holds. The list of members stays empty.
        """
        gateway = self._gateway
        now_ms = gateway.clock.now_ms()
        blocked, suspects = gateway.state.digest(now_ms)
        routing = gateway.directory.routing
        return messages.Digest(
            config_version=routing.version if routing else 0,
            members=[],
            blocked_fingerprints=list(blocked),
            suspect_fingerprints=list(suspects),
            version_by_table=gateway.tables.versions(),
            store_epoch_by_table=gateway.tables.store_epochs(),
            held_leases=[MAP_LEASE] if gateway.lease.leading_token is not None else [],
        )

    def describe_endpoint(self, endpoint_id: str) -> dict[str, str | int | float]:
        """Return the routing policy's inputs for an endpoint as log fields.

        An endpoint that is not registered has no fields. ``report_age_ms`` is -1 until
        the endpoint has sent its first load report.
        """
        state = self._gateway.state
        view = state.endpoints.view_by_id.get(endpoint_id)
        if view is None:
            return {}
        now_ms = self._gateway.clock.now_ms()
        has_report = view.report is not None
        return {
            "domain": view.info.failure_domain,
            "n_taken": count_occupied_slots(view, now_ms),
            "n_own": view.n_own_in_flight,
            "report_age_ms": now_ms - view.reported_at_ms if has_report else -1,
            "failure_rate": view.failure_rate,
            "n_waiting": sum(len(q) for q in state.queue_by_pool.values()),
        }

    def compute_gauges(self) -> Mapping[str, float]:
        """Return the current value of each gauge by its Prometheus name."""
        gateway = self._gateway
        now_ms = gateway.clock.now_ms()
        routing = gateway.directory.routing
        views = gateway.state.endpoints.view_by_id.values()
        n_waiting = sum(len(queue) for queue in gateway.state.queue_by_pool.values())
        return {
            "bluebellusher_requests_in_progress": len(
                gateway.runtime.exchange_by_request_id
            ),
            "bluebellusher_requests_waiting": n_waiting,
            "bluebellusher_connections": gateway.server.n_connections,
            "bluebellusher_held_bytes": gateway.budget.n_bytes,
            "bluebellusher_held_bytes_max": gateway.budget.n_max_bytes,
            "bluebellusher_endpoints": sum(not v.is_draining for v in views),
            "bluebellusher_endpoints_draining": sum(v.is_draining for v in views),
            "bluebellusher_endpoints_warming": (
                gateway.state.endpoints.count_warming(now_ms)
            ),
            "bluebellusher_members": len(gateway.peers.connections_by_peer_id),
            "bluebellusher_agents": gateway.ranks.n_connected,
            "bluebellusher_map_lease_held": float(gateway.lease.token is not None),
            "bluebellusher_expert_skew": max(
                gateway.leader.skew_by_group.values(), default=0.0
            ),
            "bluebellusher_retries_left": gateway.state.retry_budget.n_available,
            "bluebellusher_config_version": routing.version if routing else 0,
            "bluebellusher_config_age_ms": now_ms
            - gateway.directory.routing_applied_at_ms,
            "bluebellusher_store_contact": float(
                gateway.routing_watcher.is_store_available
            ),
            "bluebellusher_log_lines_dropped": gateway.log.n_dropped,
            **self._compute_priority_gauges(now_ms),
            **self._compute_evacuation_gauges(),
            **gateway.domain_traffic.compute_gauges(),
        }

    def _compute_evacuation_gauges(self) -> dict[str, float]:
        """Return 1 for each evacuated domain and 0 for those that were evacuated."""
        evacuations = self._gateway.directory.evacuations
        evacuated_domains = self._gateway.state.endpoints.evacuated.domains
        return {
            name_series("bluebellusher_domain_evacuated", "domain", domain): float(
                domain in evacuated_domains
            )
            for domain in evacuations.known_domains
        }

    def _compute_priority_gauges(self, now_ms: int) -> dict[str, float]:
        """Return the gauges of services whose capacity priorities compete for.

        The limit is the lowest one of all endpoints. There are no such gauges without
        such a service.
        """
        state = self._gateway.state
        limits = state.endpoints.running_limits
        if not limits.is_active:
            return {}
        found = (
            limits.find_limit(v, now_ms) for v in state.endpoints.view_by_id.values()
        )
        gauges = {
            "bluebellusher_running_limit": float(
                min((limit.n_usual for limit in found if limit is not None), default=0)
            )
        }
        n_waiting = Counter[Priority]()
        for queue in state.queue_by_pool.values():
            if isinstance(queue, PriorityQueue):
                n_waiting.update(queue.count_by_priority())
        for priority in Priority:
            name = f"bluebellusher_priority_{int(priority)}_waiting"
            gauges[name] = float(n_waiting[priority])
        return gauges
