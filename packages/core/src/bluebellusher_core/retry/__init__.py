"""Budget for attempts beyond the first one of each request."""

from bluebellusher_core.retry._budget import RetryBudget

__all__ = ["RetryBudget"]
