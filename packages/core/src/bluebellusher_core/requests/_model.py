"""State of one request and of its attempts."""

from dataclasses import dataclass, field
from enum import IntEnum

from bluebellusher_core.effects import ClaimWrite
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
    """One dispatch of a request.

    ``incarnation`` is that of the agent; ``is_accepted`` is set when an isolated run
    is known to have begun; ``is_crashed`` is set when the agent told
    that the engine died with this attempt; ``is_leaving`` when its endpoint had said
    that it would end.
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
    resume_endpoint_id, resume_incarnation : str, int
        The endpoint that may still hold the stream.
    reserved_endpoint_id : str
        The endpoint that this entry keeps free for the request's isolated run.
    n_reserved_tries : int
        Refused tries on the reserved endpoint.
    is_trial : bool
        The one run that decides whether a blocked fingerprint is sound.
    claim : ClaimWrite or None
        The granted claim of a non-idempotent request with a key.
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
    resume_incarnation: int = 0
    reserved_endpoint_id: str = ""
    n_reserved_tries: int = 0
    is_trial: bool = False
    claim: ClaimWrite | None = None
