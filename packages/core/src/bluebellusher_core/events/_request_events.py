"""Events about one request and its attempts."""

from dataclasses import dataclass
from enum import IntEnum

from bluebellusher_core.errors import Reason
from bluebellusher_core.retry import EndedRequest


class Priority(IntEnum):
    """Priority of a request; a lower number is served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """Properties of a request that decisions use; the body is not among them.

    Parameters
    ----------
    request_id : str
        Unique id chosen by the entry.
    customer_id : str
        Authenticated customer that the request is charged to.
    service_id : str
        Service that the request is for.
    model : str
        Model name; empty for a plain service.
    adapter : str
        Adapter name; empty for none.
    priority : Priority
        Requested priority.
    deadline_ms : int
        Monotonic time by which the answer must be complete.
    is_idempotent : bool
        Whether the request may safely run more than once.
    idempotency_key : str or None
        Idempotency key that the caller chose; None for none.
    fingerprint : str
        Hash of the service id and the body.
    prefix_hashes : tuple of int
        Hashes of successive prompt blocks, each covering all blocks before it.
    n_input_tokens : int
        Estimated length of the prompt, in tokens.
    n_max_output_tokens : int
        Upper bound of the answer's length, in tokens.
    n_max_attempts : int or None
        Upper bound of broken attempts; None for the entry's own bound.
    objective_at_ms : int or None
        Monotonic time by which the first byte meets the latency objective; None for no
        objective.
    start_by_ms : int or None
        Monotonic time at which the caller stops waiting for the first byte; None for no
        limit.
    caller_deadline_ms : int or None
        Monotonic time until which the caller waits and retries; None if unknown. It may
        be later than ``deadline_ms``.
    arrived_at_ms : int
        Monotonic arrival of the caller's first attempt, as far as it is known.
    is_returning : bool
        Whether this is a retry of a request that ended without an answer.
    can_resume_elsewhere : bool
        Whether any endpoint can continue the stream after the relayed bytes.
    shared_part_ids : tuple of str
        Ids of the parts of the prompt that other requests may share, in their order.
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
    caller_deadline_ms: int | None = None
    arrived_at_ms: int = 0
    is_returning: bool = False
    can_resume_elsewhere: bool = False
    shared_part_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Usage:
    """Numbers of tokens that an attempt used, as counted by the engine."""

    n_input_tokens: int = 0
    n_cached_tokens: int = 0
    n_output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a complete and valid request."""

    request: RequestSpec


@dataclass(frozen=True, slots=True)
class EndedReceived:
    """A peer told which requests ended there; ``source`` names the peer."""

    source: str
    requests: tuple[EndedRequest, ...]


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the answer was complete."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first bytes of an attempt's answer arrived.

    ``is_error`` states whether the status of the answer is an error (400 or above).
    In every event about an attempt, ``endpoint_id`` names the endpoint whose connection
    the message arrived on. It is compared with the attempt's endpoint unless it is
    empty.
    """

    attempt_id: str
    endpoint_id: str = ""
    is_error: bool = False


@dataclass(frozen=True, slots=True)
class AttemptAccepted:
    """An agent confirmed that it is about to start an isolated attempt.

    The agent sends the message before it passes the request to the engine. If the
    endpoint is lost after the message, the request was running there alone. Without
    the message, the request may have been lost before it reached the agent.
    """

    attempt_id: str
    endpoint_id: str = ""


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt's complete answer arrived and passed the length and CRC checks."""

    attempt_id: str
    status: int
    n_bytes: int
    usage: Usage
    endpoint_id: str = ""


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """An agent or endpoint refused an attempt, which has certainly not run.

    ``retry_after_ms`` is the time, in ms, in which the endpoint should get no new
    attempt. ``has_arrived`` states that the attempt reached the endpoint itself.
    Another attempt then adds to the load of the service and is paid from the retry
    budget.
    """

    attempt_id: str
    reason: Reason
    retry_after_ms: int
    endpoint_id: str = ""
    has_arrived: bool = False


@dataclass(frozen=True, slots=True)
class AttemptStalled:
    """A stream has had no event for almost as long as its caller waits for one.

    The attempt goes on unless the reducer ends it. It is posted once for each gap.

    Parameters
    ----------
    attempt_id, endpoint_id : str
        The attempt and its endpoint.
    gap_ms : int
        Time since the previous event, in ms.
    """

    attempt_id: str
    endpoint_id: str
    gap_ms: int


@dataclass(frozen=True, slots=True)
class AttemptBroken:
    """An attempt ended without a complete answer; whether it ran is unknown.

    Parameters
    ----------
    attempt_id : str
        The attempt that ended.
    reason : Reason
        ``ENDPOINT_LOST``, ``ENGINE_ERROR``, ``STREAM_CORRUPT``, ``CONNECTION_LOST``, or
        ``UNCONFIRMED_REFUSAL`` for an answer that promises that the request has not
        run, without the endpoint's statement.
    n_bytes_relayed : int
        Number of answer bytes that the caller has received.
    is_resumable : bool
        Whether the engine may still hold the stream after these bytes.
    endpoint_id : str
        Endpoint whose connection the message arrived on; empty for no check.
    """

    attempt_id: str
    reason: Reason
    n_bytes_relayed: int
    is_resumable: bool
    endpoint_id: str = ""
