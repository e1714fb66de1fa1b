"""Errors of the platform client, by whether the operation may have had an effect."""

from bluebellusher.platform._types import Row
from bluebellusher_core.errors import StepError


class PlatformError(StepError):
    """A platform operation that did not succeed."""


class PlatformNotDoneError(PlatformError):
    """The operation certainly had no effect and may be repeated."""


class PlatformOutcomeUnknownError(PlatformError):
    """The operation may have taken effect; read the state before repeating it."""


class TransactConflictError(PlatformNotDoneError):
    """A condition of a transaction did not hold; nothing was written.

    ``conflicts`` holds the current rows whose conditions failed.
    """

    def __init__(self, step: str, peer: str, conflicts: tuple[Row, ...]) -> None:
        keys = ", ".join(f"{row.key} at version {row.version}" for row in conflicts)
        super().__init__(step, peer, f"conflict: {keys}")
        self.conflicts = conflicts


class ObjectExistsError(PlatformNotDoneError):
    """The object exists already, with different content."""


class WeightRateLimitedError(PlatformNotDoneError):
    """The weight store limits the rate; retry after ``retry_after_ms`` milliseconds."""

    def __init__(self, step: str, peer: str, retry_after_ms: int) -> None:
        super().__init__(step, peer, f"rate limited for {retry_after_ms} ms")
        self.retry_after_ms = retry_after_ms
