"""Events about shared state, timers and the entry itself."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from bluebellusher_core.poison import CrashRecord

if TYPE_CHECKING:
    from bluebellusher_core.directory import GapObjective


class ClaimOutcome(StrEnum):
    """Result of one claim write."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    KEY_REUSED = "key_reused"


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of one claim write in the table.

    ``answer_ref`` identifies the stored answer when ``outcome`` is ``DONE``.
    """

    request_id: str
    outcome: ClaimOutcome
    answer_ref: str = ""


@dataclass(frozen=True, slots=True)
class ClaimsAnswered:
    """The table answered a batch of claim writes."""

    batch_id: str
    results: tuple[ClaimResult, ...]


@dataclass(frozen=True, slots=True)
class ClaimsUnanswered:
    """The table did not answer a batch; each of its writes may have taken effect."""

    batch_id: str


@dataclass(frozen=True, slots=True)
class DigestReceived:
    """A peer entry announced its blocked and suspect fingerprints.

    ``blocked_fingerprints`` are of requests that crash endpoints;
    ``suspect_fingerprints`` are of requests that were running when an endpoint crashed.
    """

    peer_id: str
    config_version: int
    blocked_fingerprints: tuple[str, ...]
    suspect_fingerprints: tuple[str, ...]


# Sender of the records that were read from the store.
STORE_SOURCE = "store"


@dataclass(frozen=True, slots=True)
class CrashesReceived:
    """Crash records arrived from a peer or the store; ``source`` names the sender."""

    source: str
    records: tuple[CrashRecord, ...]


@dataclass(frozen=True, slots=True)
class CustomerPolicy:
    """Weight of one customer in the admission queues."""

    customer_id: str
    weight: float


@dataclass(frozen=True, slots=True)
class EntriesCounted:
    """The number of entries that share the retries of the deployment changed."""

    n_entries: int


@dataclass(frozen=True, slots=True)
class ObjectivesChanged:
    """A configuration named the services whose streams have a longest allowed gap."""

    objective_by_service: Mapping[str, "GapObjective"]


@dataclass(frozen=True, slots=True)
class PeersConnected:
    """The set of connected peers changed to ``peer_ids``.

    ``domain_peer_ids`` are those in the failure domain of this entry.
    """

    peer_ids: frozenset[str]
    domain_peer_ids: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class DomainsEvacuated:
    """The set of failure domains that the operator has evacuated changed.

    Parameters
    ----------
    domains : frozenset of str
        All evacuated domains.
    row_versions : tuple of (str, int)
        Each domain that changed, with the version of the row or removal that did it.
    cause : str
        ``row`` for a change by the operator, ``store-restored`` for a difference
        between the store and the earlier copy that it was restored from.
    known_at_ms : int
        Monotonic time at which the entry received the change, in ms.
    """

    domains: frozenset[str]
    row_versions: tuple[tuple[str, int], ...]
    cause: str
    known_at_ms: int


@dataclass(frozen=True, slots=True)
class MembersListed:
    """The store listed all entries of the deployment.

    ``is_from_peer`` states that a peer passed the list on, which serves only to divide
    limits until the store has answered.
    """

    member_ids: frozenset[str]
    is_from_peer: bool = False


@dataclass(frozen=True, slots=True)
class PolicyChanged:
    """A configuration with a higher version took effect."""

    config_version: int
    customers: tuple[CustomerPolicy, ...]


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The entry was asked to shut down; requests in progress are completed."""


@dataclass(frozen=True, slots=True)
class ArrivalsEnded:
    """The entry shuts down, and callers have been directed to other entries.

    Parameters
    ----------
    answer_by_ms : int
        Monotonic time, in ms, by which the remaining requests must be answered.
    """

    answer_by_ms: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that a ``SetTimer`` effect set has expired."""

    timer_id: str
