"""Types for failures that reach a caller or an operator."""

from dataclasses import dataclass
from enum import StrEnum

# HTTP statuses with which an answer promises that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Outcome(StrEnum):
    """Whether a request has run, as far as the entry can tell."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Reason of a rejection or a refused attempt, as a stable word for programs."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_CUSTOMER = "unknown_customer"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_SENDER = "slow_sender"
    RATE_LIMITED = "rate_limited"
    BUDGET_EXHAUSTED = "budget_exhausted"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENDPOINT = "no_endpoint"
    DOMAIN_EVACUATED = "domain_evacuated"
    ENDPOINT_DRAINING = "endpoint_draining"
    ENDPOINT_ISOLATING = "endpoint_isolating"
    ENDPOINT_LOST = "endpoint_lost"
    CONNECTION_LOST = "connection_lost"
    CONNECT_FAILED = "connect_failed"
    CONNECT_REFUSED = "connect_refused"
    ENDPOINT_FULL = "endpoint_full"
    UNCONFIRMED_REFUSAL = "unconfirmed_refusal"
    ENDPOINTS_CLOSED = "endpoints_closed"
    ENDPOINTS_PAUSED = "endpoints_paused"
    NOT_READY = "not_ready"
    ENGINE_ERROR = "engine_error"
    STREAM_CORRUPT = "stream_corrupt"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    CLAIM_IN_PROGRESS = "claim_in_progress"
    CLAIM_KEY_REUSED = "claim_key_reused"
    CLAIM_STORE_UNAVAILABLE = "claim_store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    CALLER_DISCONNECTED = "caller_left"
    SHUTTING_DOWN = "shutting_down"


@dataclass(frozen=True, slots=True)
class Rejection:
    """Final answer to a request that the entry rejects.

    Parameters
    ----------
    outcome : Outcome
        ``NOT_RUN`` only when no endpoint executed any part of the request.
    reason : Reason
        Reason of the rejection.
    step : str
        Step that rejected the request, such as ``"admission"`` or ``"claim"``.
    peer : str
        Endpoint, entry or platform service concerned; empty when there is none.
    retry_after_ms : int or None
        Time after which the caller may retry the request, in ms; ``None`` when a retry
        cannot succeed or is not safe.
    """

    outcome: Outcome
    reason: Reason
    step: str
    peer: str = ""
    retry_after_ms: int | None = None


class StepError(Exception):
    """Error with the step and the peer at which it arose.

    Parameters
    ----------
    step : str
        Name of the operation, such as ``"read-frame"``.
    peer : str
        Id or ``host:port`` of the remote side; empty when there is none.
    reason : str
        Description of the error, with the offending value and the expected one.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"step={step} peer={peer or '-'}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
