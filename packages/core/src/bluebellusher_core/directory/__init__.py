"""What entries know of routes, customers and endpoints from shared tables.

``TableMirror`` keeps a copy of one table of the store and can bring another copy up to
date. ``RoutingTable`` answers which route and customer a request belongs to.
``Registrations`` turns the endpoints' own entries into events.
"""

from bluebellusher_core.directory._mirror import MirrorRow, TableMirror
from bluebellusher_core.directory._registrations import (
    EndpointRegistration,
    Registrations,
)
from bluebellusher_core.directory._routes import (
    CallerLimits,
    Customer,
    EngineModel,
    GroupModel,
    RequestKind,
    Route,
    RoutingTable,
    Service,
)

__all__ = [
    "CallerLimits",
    "Customer",
    "EndpointRegistration",
    "EngineModel",
    "GroupModel",
    "MirrorRow",
    "Registrations",
    "RequestKind",
    "Route",
    "RoutingTable",
    "Service",
    "TableMirror",
]
