"""How many attempts may be made beyond the first ones."""

from bluebellusher_core.retry._budget import RetryBudget

__all__ = ["RetryBudget"]
