"""Routes, customers and endpoints that entries read from shared tables.

``TableMirror`` holds a copy of one table of the store and lists the changes that
another copy lacks. ``RoutingTable`` finds the route and the customer of a request.
``Registrations`` converts the registrations of endpoints into events.
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
    GapObjective,
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
    "GapObjective",
    "GroupModel",
    "MirrorRow",
    "Registrations",
    "RequestKind",
    "Route",
    "RoutingTable",
    "Service",
    "TableMirror",
]
