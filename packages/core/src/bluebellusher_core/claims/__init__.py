"""Claims of non-idempotent requests, written in groups to the table."""

from bluebellusher_core.claims._table import ClaimTable

__all__ = ["ClaimTable"]
