"""An entry on a platform, with the store and the header names of the soak."""

import json
import sys

from bluebellusher.gateway import run_gateway
from bluebellusher.gateway.tests.harness import PlainDialect
from bluebellusher.ports import PlatformPorts
from bluebellusher.settings import GatewaySettings, load_gateway_settings
from bluebellusher_core.directory import (
    CallerLimits,
    EndpointRegistration,
    RequestKind,
    Route,
    RoutingTable,
    Service,
)
from soak.store import ENDPOINTS_TABLE, StoreClient

SERVICE = "desk"
HOST_NAME = "h.example"


class Codec:
    """Decoder of the rows in the soak's store.

    The interface is ``bluebellusher.ports.TableCodec``.
    """

    routing_table = "routing"
    routing_key = "current"
    registration_table = ENDPOINTS_TABLE

    def read_routing(self, value: bytes) -> RoutingTable | None:
        """Return the routes of the version in ``value``.

        Each version adds a route to those of the versions before. ``value`` is the
        version, or an object with the version and the limits on callers.
        """
        decoded = json.loads(value)
        fields = decoded if isinstance(decoded, dict) else {"version": decoded}
        version = fields["version"]
        limits = CallerLimits(**fields.get("limits", {}))
        routes = [
            *(
                _make_route(make_prefix(n), RequestKind.IDEMPOTENT, 2)
                for n in range(1, version + 1)
            ),
            _make_route("/once/", RequestKind.NON_IDEMPOTENT, 1),
            _make_route("/any/", RequestKind.IDEMPOTENT, 2),
        ]
        services = [Service(SERVICE, 0)]
        return RoutingTable.from_parts(version, routes, services, None, limits)

    def read_evacuation(self, key: str) -> str | None:
        """Return no failure domain, because the soak evacuates none."""
        return None

    def read_registration(
        self, endpoint_id: str, value: bytes
    ) -> EndpointRegistration | None:
        """Return the registration of an endpoint from its JSON fields."""
        fields = json.loads(value)
        return EndpointRegistration(endpoint_id=endpoint_id, **fields)


def make_prefix(version: int) -> str:
    """Return the path prefix of the route that a configuration version adds."""
    return f"/v{version}/"


def _make_route(prefix: str, kind: RequestKind, n_max_attempts: int) -> Route:
    return Route(
        route_id=prefix,
        host=HOST_NAME,
        path_prefix=prefix,
        kind=kind,
        timeout_ms=3_000,
        objective_ms=500,
        max_gap_ms=100,
        priority=1,
        n_max_attempts=n_max_attempts,
        weight_by_service={SERVICE: 1},
    )


def _make_ports(settings: GatewaySettings) -> PlatformPorts:
    return PlatformPorts(StoreClient(str(settings.store)), PlainDialect(), Codec())


if __name__ == "__main__":
    run_gateway(load_gateway_settings(sys.argv[1]), _make_ports, sys.argv[1])
