"""Interface of admission queues and the first-in, first-out baseline."""

from typing import Protocol

from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import RequestSpec


class AdmissionQueue(Protocol):
    """Queue that orders requests and rejects those that would miss their deadline."""

    def offer(self, request: RequestSpec, now_ms: int) -> Rejection | None:
        """Add a request; return a rejection when its deadline cannot be met."""

    def dequeue(self, now_ms: int) -> RequestSpec | None:
        """Remove and return the next request, or ``None`` when none can be served."""

    def requeue(self, request: RequestSpec, now_ms: int) -> None:
        """Put a dequeued request that could not be dispatched back to the front."""

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller disconnected; return whether it waited."""

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Rejection]]:
        """Remove and reject requests that can no longer meet their deadline."""

    def observe_service(self, n_slots: int, service_ms: float) -> None:
        """Set the number of concurrent requests and their mean service time in ms."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""


class FifoQueue:
    """First-in, first-out queue that expires requests at their deadline."""

    def __init__(self) -> None:
        self._requests: list[RequestSpec] = []

    def offer(self, request: RequestSpec, now_ms: int) -> Rejection | None:
        """Add the request; reject it only when its deadline has passed."""
        if request.deadline_ms <= now_ms:
            return _make_deadline_rejection()
        self._requests.append(request)
        return None

    def dequeue(self, now_ms: int) -> RequestSpec | None:
        """Remove and return the request that has waited longest, or ``None``."""
        return self._requests.pop(0) if self._requests else None

    def requeue(self, request: RequestSpec, now_ms: int) -> None:
        """Put a dequeued request back to the front."""
        self._requests.insert(0, request)

    def remove(self, request_id: str) -> bool:
        """Remove the request with this id; return whether it waited."""
        n_before = len(self._requests)
        self._requests = [r for r in self._requests if r.request_id != request_id]
        return len(self._requests) < n_before

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Rejection]]:
        """Remove and reject the requests whose deadline has passed."""
        expired = [r for r in self._requests if r.deadline_ms <= now_ms]
        self._requests = [r for r in self._requests if r.deadline_ms > now_ms]
        return [(request, _make_deadline_rejection()) for request in expired]

    def observe_service(self, n_slots: int, service_ms: float) -> None:
        """Ignore the service rate; this baseline predicts no waits."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)


def _make_deadline_rejection() -> Rejection:
    return Rejection(
        outcome=Outcome.NOT_RUN,
        reason=Reason.DEADLINE_EXCEEDED,
        step="admission",
        retry_after_ms=1000,
    )
