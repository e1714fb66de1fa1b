"""What every admission queue offers, and the first-in first-out baseline."""

from typing import Protocol

from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import RequestSpec


class AdmissionQueue(Protocol):
    """Order requests and refuse those whose deadline cannot be met."""

    def offer(self, request: RequestSpec, now_ms: int) -> Rejection | None:
        """Add a request; return a refusal when its deadline cannot be met."""

    def take(self, now_ms: int) -> RequestSpec | None:
        """Remove and return the request that goes next, or ``None``."""

    def put_back(self, request: RequestSpec, now_ms: int) -> None:
        """Return a request that was taken and could not be placed, to go first."""

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller left; return whether it was waiting."""

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Rejection]]:
        """Remove and return requests whose deadline can no longer be met."""

    def observe_service(self, n_slots: int, service_ms: float) -> None:
        """Tell how many requests run at once and how long one takes on average."""

    def __len__(self) -> int:
        """Return how many requests wait."""


class FifoQueue:
    """First in, first out; requests leave when their deadline has passed."""

    def __init__(self) -> None:
        self._requests: list[RequestSpec] = []

    def offer(self, request: RequestSpec, now_ms: int) -> Rejection | None:
        """Add the request; refuse it only when its deadline has passed."""
        if request.deadline_ms <= now_ms:
            return _deadline_refusal()
        self._requests.append(request)
        return None

    def take(self, now_ms: int) -> RequestSpec | None:
        """Return the request that has waited longest."""
        return self._requests.pop(0) if self._requests else None

    def put_back(self, request: RequestSpec, now_ms: int) -> None:
        """Put the request at the head."""
        self._requests.insert(0, request)

    def remove(self, request_id: str) -> bool:
        """Remove the request with this id."""
        n_before = len(self._requests)
        self._requests = [r for r in self._requests if r.request_id != request_id]
        return len(self._requests) < n_before

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Rejection]]:
        """Remove the requests whose deadline has passed."""
        expired = [r for r in self._requests if r.deadline_ms <= now_ms]
        self._requests = [r for r in self._requests if r.deadline_ms > now_ms]
        return [(request, _deadline_refusal()) for request in expired]

    def observe_service(self, n_slots: int, service_ms: float) -> None:
        """Ignore the service rate; this baseline predicts nothing."""

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._requests)


def _deadline_refusal() -> Rejection:
    return Rejection(
        outcome=Outcome.NOT_RUN,
        reason=Reason.DEADLINE_EXCEEDED,
        step="admission",
        retry_after_ms=1000,
    )
