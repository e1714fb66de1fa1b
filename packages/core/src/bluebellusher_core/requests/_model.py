"""State of one request and of its attempts."""

from dataclasses import dataclass, field
from enum import IntEnum

from bluebellusher_core.effects import ClaimWrite
from bluebellusher_core.events import RequestSpec


class Phase(IntEnum):
    """Stage of a request between its arrival and its final answer."""

    CLAIMING = 0
    WAITING = 1
    RUNNING = 2
    RESUMING = 3
    DETACHED = 4


@dataclass(slots=True)
class Attempt:
    """One dispatch of a request to an endpoint.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt, unique in the deployment.
    request_id : str
        The request that the attempt runs.
    endpoint_id : str
        The endpoint that the attempt was sent to.
    dispatched_at_ms : int
        Monotonic time of the dispatch.
    incarnation : int
        Incarnation of the endpoint at the dispatch.
    is_isolated : bool
        Whether the endpoint was asked to start no other work during the attempt.
    is_resumed : bool
        Whether the attempt fetches the rest of a stream that broke.
    is_accepted : bool
        Whether the agent confirmed that the attempt begins to run.
    is_crashed : bool
        Whether the agent reported that the engine crashed during the attempt.
    is_started : bool
        Whether the first bytes of the answer arrived.
    is_leaving : bool
        Whether the endpoint was draining or leaving when its connection was lost.
    is_abandoned : bool
        Whether the entry has ended the attempt because its endpoint is silent.
    """

    attempt_id: str
    request_id: str
    endpoint_id: str
    dispatched_at_ms: int
    incarnation: int = 0
    is_isolated: bool = False
    is_resumed: bool = False
    is_accepted: bool = False
    is_crashed: bool = False
    is_started: bool = False
    is_leaving: bool = False
    is_abandoned: bool = False


@dataclass(slots=True)
class Request:
    """State of a request without a final answer, or with a pending claim outcome.

    Parameters
    ----------
    spec : RequestSpec
        Immutable description of the request.
    phase : Phase
        Stage of the request; ``DETACHED`` means that the caller has received its
        final answer and only the outcome of a claimed attempt is awaited.
    attempts : list of Attempt
        Attempts in flight.
    may_have_run : bool
        Whether an ended attempt of this request may have run.
    n_refused : int
        Number of attempts that an endpoint or agent refused; refusals because of
        another isolated run, and refusals of isolated attempts, do not count.
    n_broken : int
        Number of attempts that broke or ended with a server error.
    avoided_endpoint_ids : set of str
        Ids of endpoints that refused or broke an attempt of this request.
    n_bytes_relayed : int
        Number of answer bytes that the caller has received.
    resume_endpoint_id, resume_incarnation : str, int
        Id and incarnation of the endpoint that may still hold the broken stream.
    reserved_endpoint_id : str
        Endpoint on which this entry starts no other work, so that the request's
        isolated run can begin; empty for none.
    n_reserved_refusals : int
        Number of isolated attempts that the reserved endpoint refused.
    is_trial : bool
        Whether this is the single trial run that decides whether a blocked
        fingerprint is unblocked.
    claim : ClaimWrite or None
        Granted claim of a non-idempotent request with an idempotency key.
    """

    spec: RequestSpec
    phase: Phase = Phase.WAITING
    attempts: list[Attempt] = field(default_factory=list)
    may_have_run: bool = False
    n_refused: int = 0
    n_broken: int = 0
    avoided_endpoint_ids: set[str] = field(default_factory=set)
    n_bytes_relayed: int = 0
    resume_endpoint_id: str = ""
    resume_incarnation: int = 0
    reserved_endpoint_id: str = ""
    n_reserved_refusals: int = 0
    is_trial: bool = False
    claim: ClaimWrite | None = None
