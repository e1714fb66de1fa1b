"""Client of the platform: table, object store, instance list and weight store."""

from bluebellusher.platform._client import PlatformClient
from bluebellusher.platform._errors import (
    ObjectExistsError,
    PlatformError,
    PlatformNotDoneError,
    PlatformOutcomeUnknownError,
    TransactConflictError,
    WeightRateLimitedError,
)
from bluebellusher.platform._types import Consistency, Instance, Row

__all__ = [
    "Consistency",
    "Instance",
    "ObjectExistsError",
    "PlatformClient",
    "PlatformError",
    "PlatformNotDoneError",
    "PlatformOutcomeUnknownError",
    "Row",
    "TransactConflictError",
    "WeightRateLimitedError",
]
