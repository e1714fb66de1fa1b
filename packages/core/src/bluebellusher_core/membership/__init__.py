"""What an entry knows about its endpoints, and which of them it tracks."""

from bluebellusher_core.membership._endpoints import (
    Endpoints,
    Pool,
    pool_of,
)
from bluebellusher_core.membership._subset import choose_subset

__all__ = ["Endpoints", "Pool", "choose_subset", "pool_of"]
