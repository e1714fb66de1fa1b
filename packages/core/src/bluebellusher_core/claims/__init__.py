"""Claims of non-idempotent requests, written to the table in batches."""

from bluebellusher_core.claims._table import ClaimTable

__all__ = ["ClaimTable"]
