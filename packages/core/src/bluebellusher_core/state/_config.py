"""Settings of one entry's decisions about requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntryConfig:
    """Settings of one entry's decisions about requests.

    An empty ``entry_id``, or an upper bound of endpoints, requests or attempts below 1,
    raises ``ValueError``.

    Parameters
    ----------
    entry_id : str
        Instance id of the entry.
    incarnation : int
        Number of the entry's start, which grows with each start, so that attempt and
        claim ids are never used twice.
    seed : int
        Seed of the random number generator.
    n_max_endpoints : int
        Upper bound of connected endpoints.
    n_max_requests : int
        Upper bound of requests without a final answer.
    n_max_attempts : int
        Upper bound of broken attempts of each request.
    n_max_refusals : int
        Upper bound of refused attempts of each request; refusals because of another
        isolated run, and refusals of isolated attempts, do not count.
    n_min_retries : int
        Retries that are allowed before any new request has earned one.
    retry_percent : int
        Retries and hedges allowed for 100 new requests.
    n_shared_retries : int or None
        Retries beyond ``retry_percent`` that all entries together may make in a burst,
        divided equally among them; None when each entry has a bound of its own.
    queue_factor : float
        Requests that an endpoint may hold, as a multiple of its slots.
    claim_wait_ms : int
        Timeout of a request's claim, in ms.
    resume_wait_ms : int
        Time for which a broken stream waits for its endpoint to reconnect, in ms.
    hedge_after_ms : int
        Time without output after which idempotent work is hedged, in ms; 0 for never.
    detach_ms : int
        Time for which a claimed attempt may run on after its caller received the final
        answer, so that the claim's outcome can be recorded, in ms.
    n_crashes_to_block : int
        Number of crashes of one fingerprint, without a completed run between them, that
        blocks it; 0 where agents report crashes, so that suspects run isolated instead.
    max_pause_ms : int
        Upper bound of a pause, in ms; a longer one that an endpoint asks for is
        shortened to it.
    no_endpoint_grace_ms : int
        Time for which requests wait after the last endpoint of their pool was lost, in
        ms; an unresponsive connection is replaced within this time.
    warm_up_overage, warm_up_tolerance : float
        Largest number of requests that may reach an endpoint that warms up within any
        second, from all entries: the first times the service's rate for such endpoints,
        plus the second.
    retry_after_ms : int
        Default time after which a caller may retry a rejected request, in ms.
    failure_domain : str
        Failure domain of the entry.
    """

    entry_id: str
    incarnation: int = 0
    seed: int = 0
    n_max_endpoints: int = 256
    n_max_requests: int = 20_000
    n_max_attempts: int = 3
    n_max_refusals: int = 20
    n_min_retries: int = 10
    retry_percent: int = 10
    n_shared_retries: int | None = None
    queue_factor: float = 2.0
    claim_wait_ms: int = 1_000
    resume_wait_ms: int = 3_000
    hedge_after_ms: int = 0
    detach_ms: int = 600_000
    n_crashes_to_block: int = 0
    max_pause_ms: int = 60_000
    no_endpoint_grace_ms: int = 1_000
    warm_up_overage: float = 1.5
    warm_up_tolerance: float = 5.0
    retry_after_ms: int = 1_000
    failure_domain: str = ""

    def __post_init__(self) -> None:
        """Validate the id and the upper bounds."""
        if not self.entry_id:
            raise ValueError(f"entry_id={self.entry_id!r}: expected a non-empty id")
        for name in ("n_max_endpoints", "n_max_requests", "n_max_attempts"):
            value = getattr(self, name)
            if value < 1:
                raise ValueError(f"{name}={value}: expected 1 or more")
