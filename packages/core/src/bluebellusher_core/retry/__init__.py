"""Budget for retries, and memory of the requests that callers may retry."""

from bluebellusher_core.retry._budget import RetryBudget
from bluebellusher_core.retry._ended import EndedRequest, EndedRequests

__all__ = ["EndedRequest", "EndedRequests", "RetryBudget"]
