"""State of one request and of its attempts."""

from dataclasses import dataclass, field
from enum import IntEnum

from bluebellusher_core.events import RequestSpec


class Phase(IntEnum):
    """Where a request stands."""

    CLAIMING = 0
    WAITING = 1
    RUNNING = 2
    RESUMING = 3
    DETACHED = 4


@dataclass(slots=True)
class Attempt:
    """One dispatch of a request."""

    attempt_id: str
    request_id: str
    endpoint_id: str
    dispatched_at_ms: int
    is_isolated: bool = False
    is_started: bool = False


@dataclass(slots=True)
class Request:
    """A request that has no final answer yet, or whose outcome is still awaited.

    Parameters
    ----------
    spec : RequestSpec
        The request.
    phase : Phase
        Where it stands; ``DETACHED`` means that the caller has its final answer and
        only the outcome of a claimed attempt is awaited.
    attempts : list of Attempt
        Attempts in flight.
    may_have_run : bool
        Whether an earlier attempt ended without certainty that it did not run.
    n_refused : int
        Attempts that were refused.
    n_broken : int
        Attempts that broke.
    avoided : set of str
        Endpoints that refused or broke an attempt of this request.
    n_bytes_relayed : int
        Bytes that the caller has.
    resume_endpoint_id : str
        The endpoint that may still hold the stream.
    claim_id : str
        Claim of a non-idempotent request with a key; empty without a claim.
    """

    spec: RequestSpec
    phase: Phase = Phase.WAITING
    attempts: list[Attempt] = field(default_factory=list)
    may_have_run: bool = False
    n_refused: int = 0
    n_broken: int = 0
    avoided: set[str] = field(default_factory=set)
    n_bytes_relayed: int = 0
    resume_endpoint_id: str = ""
    claim_id: str = ""
