"""Log lines, metrics and settings of the traffic between failure domains."""

from collections.abc import Mapping
from typing import Protocol

from bluebellusher.observability import Metrics, name_series
from bluebellusher.settings import DomainTrafficSettings, GatewaySettings
from bluebellusher_core.domain_traffic import N_HEAD_BYTES, TrafficPrice
from bluebellusher_core.reducer import EntryState
from bluebellusher_core.routing import DomainAware, RoutingPolicy, SlotAware

# Change of a share since its last log line from which it is logged again.
LOGGED_CHANGE = 0.1
# Shortest time between two log lines of one service and domain, in ms.
LOG_INTERVAL_MS = 1_000


class EventLog(Protocol):
    """Receiver of log lines."""

    def log(self, name: str, **fields: str | int | float) -> None:
        """Write one line."""


def make_policy(settings: GatewaySettings) -> RoutingPolicy:
    """Return the routing policy: ``SlotAware`` unless a price of traffic is set."""
    if settings.domain_traffic is None:
        return SlotAware(failure_domain=settings.failure_domain)
    return DomainAware(settings.failure_domain, _make_price(settings.domain_traffic))


class DomainTraffic:
    """Observation of the traffic that leaves the failure domain of an entry.

    Without a price in the settings, all methods do nothing.

    Parameters
    ----------
    state : EntryState
        State whose policy decides the shares; it is connected to the endpoints.
    failure_domain : str
        Failure domain of the entry.
    log : EventLog
        Receives a line when a share has changed by ``LOGGED_CHANGE``.
    metrics : Metrics
        Counts the attempts and bytes that left, by service.
    """

    def __init__(
        self, state: EntryState, failure_domain: str, log: EventLog, metrics: Metrics
    ) -> None:
        policy = state.policy
        self._policy = policy if isinstance(policy, DomainAware) else None
        self._failure_domain = failure_domain
        self._log, self._metrics = log, metrics
        self._logged_by_key: dict[tuple[str, str], tuple[float, int]] = {}
        if self._policy is not None:
            self._policy.endpoints = state.endpoints
            self._policy.count_entries = lambda: state.n_entries

    def reload(self, settings: DomainTrafficSettings | None) -> None:
        """Apply a changed price; adding or removing it takes effect at a restart."""
        if self._policy is not None and settings is not None:
            self._policy.price = _make_price(settings)

    def tick(self, now_ms: int) -> None:
        """Log the shares that have changed by a large amount."""
        if self._policy is None:
            return
        for (service_id, _, _), traffic in self._policy.traffic_by_pool.items():
            share_by_domain = traffic.by_price.share_by_domain
            for domain, load in traffic.load_by_domain.items():
                share = share_by_domain.get(domain, 0.0)
                logged, logged_at_ms = self._logged_by_key.get(
                    (service_id, domain), (0.0, now_ms - LOG_INTERVAL_MS)
                )
                is_change = abs(share - logged) >= LOGGED_CHANGE or (
                    bool(logged) and not share
                )
                if not is_change or now_ms - logged_at_ms < LOG_INTERVAL_MS:
                    continue
                self._logged_by_key[service_id, domain] = (share, now_ms)
                own = traffic.load_by_domain.get(self._failure_domain)
                self._log.log(
                    "domain-share",
                    service=service_id,
                    domain=domain,
                    share=round(share, 3),
                    previous=round(logged, 3),
                    cost=round(traffic.cost, 5),
                    own_slots=round(own.n_slots, 1) if own else 0,
                    own_occupied=round(own.n_occupied, 1) if own else 0,
                    slots=round(load.n_slots, 1),
                    occupied=round(load.n_occupied, 1),
                )

    def count_attempt(self, service_id: str, failure_domain: str, n_bytes: int) -> None:
        """Count the bytes of an attempt that has ended, in both directions.

        ``n_bytes`` are those of the bodies; heads are added as an estimate.
        """
        if self._policy is None or failure_domain == self._failure_domain:
            return
        metrics = self._metrics
        metrics.count(
            "bluebellusher_domain_traffic_attempts_total", "service", service_id
        )
        metrics.count(
            "bluebellusher_domain_traffic_bytes_total",
            "service",
            service_id,
            n_bytes + N_HEAD_BYTES,
        )

    def compute_gauges(self) -> Mapping[str, float]:
        """Return the share of the requests that leaves, by service."""
        if self._policy is None:
            return {}
        gauges: dict[str, float] = {}
        for (service_id, _, _), traffic in self._policy.traffic_by_pool.items():
            name = name_series(
                "bluebellusher_domain_traffic_share", "service", service_id
            )
            gauges[name] = max(gauges.get(name, 0.0), traffic.by_price.total_share)
        return gauges


def _make_price(settings: DomainTrafficSettings) -> TrafficPrice:
    return TrafficPrice(
        settings.price_per_gb, settings.answer_value, settings.round_trip_ms
    )
