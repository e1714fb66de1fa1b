"""Events about one request and its attempts."""

from dataclasses import dataclass
from enum import IntEnum

from bluebellusher_core.errors import Reason


class Priority(IntEnum):
    """Priority of a request; a lower number goes first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What the decisions need to know about a request; the body stays outside.

    Parameters
    ----------
    request_id : str
        Unique id chosen by the entry.
    customer_id : str
        Authenticated customer.
    service_id : str
        The service that is asked for.
    model : str
        Model name; empty for a plain service.
    adapter : str
        Adapter name; empty for none.
    priority : Priority
        Requested priority.
    deadline_ms : int
        Monotonic time by which the answer must be complete.
    is_idempotent : bool
        Whether a repeat does no harm.
    idempotency_key : str or None
        Key from the caller.
    fingerprint : str
        Hash of service and body.
    prefix_hashes : tuple of int
        Hashes of successive prompt blocks, each covering all blocks before it.
    n_input_tokens : int
        Estimated prompt length.
    n_max_output_tokens : int
        Upper bound of the answer, in tokens.
    n_max_attempts : int or None
        Endpoints that may run the request; None for the entry's own bound.
    objective_at_ms : int or None
        Monotonic time until which a first byte is on time.
    start_by_ms : int or None
        Monotonic time after which the caller no longer waits for a first byte.
    is_returning : bool
        The request was refused before and came back.
    can_resume_elsewhere : bool
        Any endpoint can go on with a stream after the bytes that were relayed.
    """

    request_id: str
    customer_id: str
    service_id: str
    model: str
    adapter: str
    priority: Priority
    deadline_ms: int
    is_idempotent: bool
    idempotency_key: str | None
    fingerprint: str
    prefix_hashes: tuple[int, ...]
    n_input_tokens: int
    n_max_output_tokens: int
    n_max_attempts: int | None = None
    objective_at_ms: int | None = None
    start_by_ms: int | None = None
    is_returning: bool = False
    can_resume_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens that an attempt consumed, as the engine counted them."""

    n_input_tokens: int = 0
    n_cached_tokens: int = 0
    n_output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a complete and valid request."""

    request: RequestSpec


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection before the answer was complete."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first bytes of an attempt's answer arrived.

    In every attempt event ``endpoint_id`` is the connection on which the message
    came; an empty one is not checked.
    """

    attempt_id: str
    endpoint_id: str = ""


@dataclass(frozen=True, slots=True)
class AttemptAccepted:
    """The agent is about to start an isolated attempt.

    The agent writes this to the connection before it hands the request to the
    engine. If the endpoint is lost afterwards, the request was running there alone;
    without this message it may have been lost on the way.
    """

    attempt_id: str
    endpoint_id: str = ""


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt's whole answer arrived and passed the length and CRC checks."""

    attempt_id: str
    status: int
    n_bytes: int
    usage: Usage
    endpoint_id: str = ""


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The agent or the endpoint refused the attempt; it has certainly not run.

    ``has_arrived`` says that the endpoint itself saw the attempt, so that sending it
    elsewhere adds to the load of the service and is paid from the retry budget.
    """

    attempt_id: str
    reason: Reason
    retry_after_ms: int
    endpoint_id: str = ""
    has_arrived: bool = False


@dataclass(frozen=True, slots=True)
class AttemptBroken:
    """An attempt ended without a whole answer; whether it ran is unknown.

    Parameters
    ----------
    attempt_id : str
        The attempt that ended.
    reason : Reason
        ``ENDPOINT_LOST``, ``ENGINE_ERROR`` or ``STREAM_CORRUPT``.
    n_bytes_relayed : int
        How many bytes the caller has already received.
    is_resumable : bool
        Whether the engine may still hold the stream at that offset.
    endpoint_id : str
        The connection on which the message came; empty when not checked.
    """

    attempt_id: str
    reason: Reason
    n_bytes_relayed: int
    is_resumable: bool
    endpoint_id: str = ""
