"""Share of the requests of a service that is sent to another failure domain."""

from bluebellusher_core.domain_traffic._lateness import compute_marginal_lateness
from bluebellusher_core.domain_traffic._price import (
    N_HEAD_BYTES,
    TrafficPrice,
    estimate_bytes,
)
from bluebellusher_core.domain_traffic._shares import (
    DomainLoad,
    ShareDecision,
    decide_shares,
)

__all__ = [
    "N_HEAD_BYTES",
    "DomainLoad",
    "ShareDecision",
    "TrafficPrice",
    "compute_marginal_lateness",
    "decide_shares",
    "estimate_bytes",
]
