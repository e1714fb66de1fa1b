"""Choice of an endpoint for a request."""

from bluebellusher_core.routing._baselines import LeastInFlight
from bluebellusher_core.routing._protocol import EndpointView, RoutingPolicy

__all__ = ["EndpointView", "LeastInFlight", "RoutingPolicy"]
