"""Classes of effects, which describe an action without executing it."""

from dataclasses import dataclass
from enum import StrEnum

from bluebellusher_core.errors import Rejection
from bluebellusher_core.events import LeavingMark, LimitMark
from bluebellusher_core.poison import CrashRecord
from bluebellusher_core.retry import EndedRequest


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send an attempt to an endpoint.

    ``resume_offset`` is the number of answer bytes that the caller has received; the
    endpoint sends the answer from there. ``is_isolated`` asks the agent to start no
    other work while this attempt runs.
    """

    attempt_id: str
    request_id: str
    endpoint_id: str
    resume_offset: int = 0
    is_isolated: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt whose answer is no longer needed."""

    attempt_id: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Cancel an attempt and post it as broken, with the bytes that it relayed."""

    attempt_id: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class Complete:
    """Complete the answer to the caller, which the attempt ``attempt_id`` produced."""

    request_id: str
    attempt_id: str


@dataclass(frozen=True, slots=True)
class DiscardAnswer:
    """Discard the answer of an attempt; the caller has received no byte of it."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a request with its final answer."""

    request_id: str
    rejection: Rejection


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Send the stored answer of an earlier request with the same idempotency key.

    ``answer_ref`` identifies the stored answer.
    """

    request_id: str
    answer_ref: str


class ClaimState(StrEnum):
    """State of a claim row."""

    CLAIMED = "claimed"
    DONE = "done"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class ClaimWrite:
    """Write of one claim row.

    ``claim_id`` is unique among all entries. A row that holds it was written by this
    claim, even when the answer to the write was lost.
    """

    request_id: str
    customer_id: str
    idempotency_key: str
    claim_id: str
    fingerprint: str
    state: ClaimState
    attempt_id: str = ""


@dataclass(frozen=True, slots=True)
class WriteClaims:
    """Write a batch of claim rows in as few transactions as possible."""

    batch_id: str
    writes: tuple[ClaimWrite, ...]


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(timer_id)`` at the monotonic time ``due_ms``."""

    timer_id: str
    due_ms: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection to an endpoint that violated a rule of the protocol."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class CheckEndpoint:
    """Check whether a process listens at the address of an endpoint.

    The runtime always delivers an ``EndpointChecked`` event, even without a result.
    """

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class BroadcastCrashes:
    """Broadcast new crash records to the other entries and write them to the store."""

    records: tuple[CrashRecord, ...]


@dataclass(frozen=True, slots=True)
class BroadcastLeaving:
    """Broadcast to the other entries which endpoints are leaving."""

    marks: tuple[LeavingMark, ...]


@dataclass(frozen=True, slots=True)
class BroadcastLimits:
    """Broadcast to the other entries which limits endpoints have named."""

    marks: tuple[LimitMark, ...]


@dataclass(frozen=True, slots=True)
class BroadcastEnded:
    """Tell the entries of the own failure domain which requests ended unanswered."""

    requests: tuple[EndedRequest, ...]


@dataclass(frozen=True, slots=True)
class BroadcastSilent:
    """Tell all entries which ranks send nothing while their group advances."""

    endpoint_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write one log line; ``fields`` are key and value pairs."""

    name: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


Effect = (
    Dispatch
    | CancelAttempt
    | AbandonAttempt
    | Complete
    | DiscardAnswer
    | Reject
    | ReplayAnswer
    | WriteClaims
    | SetTimer
    | CloseConnection
    | CheckEndpoint
    | BroadcastCrashes
    | BroadcastEnded
    | BroadcastLeaving
    | BroadcastLimits
    | BroadcastSilent
    | LogEvent
)
