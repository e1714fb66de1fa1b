"""Routing policies, which choose an endpoint for a request."""

from bluebellusher_core.routing._baselines import (
    LeastInFlight,
    PrefixHash,
    RoundRobin,
    TwoChoices,
)
from bluebellusher_core.routing._domain_aware import DomainAware, UsableEndpoints
from bluebellusher_core.routing._predicted_latency import PredictedLatency
from bluebellusher_core.routing._protocol import EndpointView, RoutingPolicy
from bluebellusher_core.routing._slot_aware import SlotAware, count_occupied_slots
from bluebellusher_core.routing._tracker import EndpointTracker

__all__ = [
    "DomainAware",
    "EndpointTracker",
    "EndpointView",
    "LeastInFlight",
    "PredictedLatency",
    "PrefixHash",
    "RoundRobin",
    "RoutingPolicy",
    "SlotAware",
    "TwoChoices",
    "UsableEndpoints",
    "count_occupied_slots",
]
