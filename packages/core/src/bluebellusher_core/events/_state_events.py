"""Events about shared state, timers and the entry itself."""

from dataclasses import dataclass
from enum import StrEnum

from bluebellusher_core.poison import CrashRecord


class ClaimOutcome(StrEnum):
    """Result of one claim write."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    KEY_REUSED = "key_reused"


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """What the table says about one claim.

    ``answer_ref`` names the kept answer when ``outcome`` is ``DONE``.
    """

    request_id: str
    outcome: ClaimOutcome
    answer_ref: str = ""


@dataclass(frozen=True, slots=True)
class ClaimsAnswered:
    """The table answered a group of claims."""

    batch_id: str
    results: tuple[ClaimResult, ...]


@dataclass(frozen=True, slots=True)
class ClaimsUnanswered:
    """The table gave no answer; each write of the group may have taken effect."""

    batch_id: str


@dataclass(frozen=True, slots=True)
class DigestReceived:
    """A peer entry told what it knows.

    ``blocked_fingerprints`` are requests that are known to crash endpoints;
    ``suspect_fingerprints`` were running on an endpoint when it died.
    """

    peer_id: str
    config_version: int
    blocked_fingerprints: tuple[str, ...]
    suspect_fingerprints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CrashesLearned:
    """A peer, or the store, told of crashes."""

    source: str
    records: tuple[CrashRecord, ...]


@dataclass(frozen=True, slots=True)
class CustomerPolicy:
    """The share of one customer in the admission queue."""

    customer_id: str
    weight: float


@dataclass(frozen=True, slots=True)
class EntriesCounted:
    """The number of entries that share the retries of the deployment changed."""

    n_entries: int


@dataclass(frozen=True, slots=True)
class MembersListed:
    """The store told which entries the deployment has."""

    member_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """A higher configuration version came into force."""

    config_version: int
    customers: tuple[CustomerPolicy, ...]


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The entry was told to stop; requests in progress are finished."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by ``SetTimer`` came due."""

    timer_id: str
