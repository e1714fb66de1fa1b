"""Acceptance of one configuration change.

The change is staged at one entry in each failure domain. One transaction then writes
and thereby accepts it. If the answer to the transaction is lost, the row of the change
id shows later whether the change was accepted.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from bluebellusher_core.rollout._versions import ConfigVersion

# Time in milliseconds after which the next entry of a failure domain is asked.
STAGE_TIMEOUT_MS = 1_000
# Time in milliseconds after which a change without an answer ends as unknown.
CHANGE_DEADLINE_MS = 10_000
# Interval in milliseconds between repetitions of a write without an answer.
WRITE_RETRY_MS = 250


class ChangeState(StrEnum):
    """State of a change, as far as the entry that proposed it can determine it.

    ``UNKNOWN`` ends a proposal whose transaction was not answered. The final state is
    determined later by `resolve_change`.
    """

    STAGING = "staging"
    WRITING = "writing"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class WriteStatus(StrEnum):
    """Result of the transaction that accepts a change."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class ChangeRows:
    """Rows that decide about a change, as read from the table.

    ``head`` is the last accepted version, or ``None`` when no version was accepted yet.
    ``change_version`` is the version recorded in the row of this change: 0 when the row
    is absent, and -1 when the row records that the change was refused.
    """

    head_row_version: int
    head: ConfigVersion | None
    change_version: int


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Result of executing a `WriteChange`; ``rows`` is set on a conflict."""

    status: WriteStatus
    rows: ChangeRows | None = None


@dataclass(frozen=True, slots=True)
class StagingReply:
    """Answer of a peer that was asked to stage the change."""

    peer_id: str
    failure_domain: str
    is_staged: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class RequestStaging:
    """Effect: send the change to a peer for staging."""

    peer_id: str


@dataclass(frozen=True, slots=True)
class WriteChange:
    """Effect: write the head, version and change rows in one transaction.

    The transaction requires that the head row still has ``head_row_version`` and that
    the row of the change is absent, so that a repeated write cannot take effect twice.
    """

    head_row_version: int
    config: ConfigVersion


@dataclass(frozen=True, slots=True)
class WriteRefusal:
    """Effect: write a refusal into the row of the change if the row is absent.

    A `WriteChange` that arrives later then fails, so that the refusal is final.
    """

    change_id: str


ProposalEffect = RequestStaging | WriteChange


def resolve_change(change_id: str, rows: ChangeRows) -> ChangeState | WriteRefusal:
    """Return the final state of an unknown change, or the write that refuses it.

    A change without a row has no final state until the returned write is executed. When
    that write conflicts, call this function again with the rows of the conflict.

    Parameters
    ----------
    change_id : str
        Id of the change.
    rows : ChangeRows
        Rows from a strongly consistent read.
    """
    if rows.change_version > 0:
        return ChangeState.ACCEPTED
    if rows.change_version < 0:
        return ChangeState.REFUSED
    return WriteRefusal(change_id)


@dataclass(slots=True)
class _DomainStaging:
    """Progress of staging in one failure domain."""

    remaining_peers: list[str]
    requested_peer: str = ""
    requested_at_ms: int = 0
    is_staged: bool = False


@dataclass(slots=True)
class ChangeProposal:
    """Progress of one change at the entry that received it from the operator.

    Call `advance` after each input and at short intervals, and execute the effects
    that it returns, until ``state`` is final.

    Parameters
    ----------
    change_id : str
        Id that the operator's command gave to the change.
    base_version : int
        Number of the version that the operator edited.
    rules_text : str
        Text of the new rules, already validated at this entry.
    author : str
        Operator who proposed the change.
    rows : ChangeRows
        Rows from a strongly consistent read.
    peers_by_domain : mapping of str to collection of str
        Peers that may be asked to stage the change, for each other failure domain.
        Domains that the operator listed as cut off are left out.
    started_at_ms : int
        Monotonic time in milliseconds at which the proposal started.
    wall_ms : int
        Wall time in milliseconds, stored as the time of acceptance.
    """

    change_id: str
    base_version: int
    rules_text: str
    author: str
    rows: ChangeRows
    peers_by_domain: Mapping[str, Collection[str]]
    started_at_ms: int
    wall_ms: int
    state: ChangeState = ChangeState.STAGING
    reason: str = ""
    accepted_version: int = 0
    _staging_by_domain: dict[str, _DomainStaging] = field(default_factory=dict)
    _written_at_ms: int | None = None

    def __post_init__(self) -> None:
        """Prepare staging, and end at once if the rows already decide the state."""
        self._staging_by_domain = {
            domain: _DomainStaging(sorted(peers))
            for domain, peers in self.peers_by_domain.items()
        }
        self._decide_from_rows(self.rows)

    @property
    def is_final(self) -> bool:
        """Return whether the proposal has ended and the operator can be answered."""
        return self.state not in (ChangeState.STAGING, ChangeState.WRITING)

    def receive_staging_reply(self, reply: StagingReply) -> None:
        """Process the answer of a peer that was asked to stage the change."""
        staging = self._staging_by_domain.get(reply.failure_domain)
        if staging is None or self.state is not ChangeState.STAGING:
            return
        if reply.is_staged:
            staging.is_staged = True
        else:
            # The rules are valid at this entry but not at the peer, so the two run
            # different software. A change must not be accepted for some sites only.
            self._refuse(f"{reply.peer_id} refused to stage it: {reply.reason}")

    def receive_write_result(self, result: WriteResult) -> None:
        """Process the result of a `WriteChange`."""
        if self.state is not ChangeState.WRITING:
            return
        if result.status is WriteStatus.APPLIED:
            self._accept(self._next_version())
        elif result.status is WriteStatus.CONFLICT and result.rows is not None:
            self.rows = result.rows
            self._written_at_ms = None
            self._decide_from_rows(result.rows)

    def advance(self, now_ms: int) -> list[ProposalEffect]:
        """Return the effects that are due at ``now_ms``."""
        if self.state is ChangeState.STAGING:
            effects = self._advance_staging(now_ms)
            if effects or self.state is not ChangeState.WRITING:
                return effects
        if self.state is ChangeState.WRITING:
            return self._advance_writing(now_ms)
        return []

    def _advance_staging(self, now_ms: int) -> list[ProposalEffect]:
        """Return the staging requests that are due; end staging when all succeeded."""
        effects: list[ProposalEffect] = []
        for domain, staging in self._staging_by_domain.items():
            if staging.is_staged:
                continue
            is_waiting = now_ms - staging.requested_at_ms < STAGE_TIMEOUT_MS
            if staging.requested_peer and is_waiting:
                continue
            if not staging.remaining_peers:
                self._refuse(
                    f"failure domain {domain} does not answer; name it as cut off "
                    "to apply the change without it"
                )
                return []
            staging.requested_peer = staging.remaining_peers.pop(0)
            staging.requested_at_ms = now_ms
            effects.append(RequestStaging(staging.requested_peer))
        if all(staging.is_staged for staging in self._staging_by_domain.values()):
            self.state = ChangeState.WRITING
        return effects

    def _advance_writing(self, now_ms: int) -> list[ProposalEffect]:
        """Return the write if it is due; end as unknown after the deadline."""
        if now_ms - self.started_at_ms >= CHANGE_DEADLINE_MS:
            self.state = ChangeState.UNKNOWN
            self.reason = "the table did not answer; ask again with the change id"
            return []
        written_at_ms = self._written_at_ms
        if written_at_ms is not None and now_ms - written_at_ms < WRITE_RETRY_MS:
            return []
        self._written_at_ms = now_ms
        config = ConfigVersion(
            self._next_version(),
            self.change_id,
            self.rules_text,
            self.author,
            self.wall_ms,
        )
        return [WriteChange(self.rows.head_row_version, config)]

    def _next_version(self) -> int:
        return self.base_version + 1

    def _decide_from_rows(self, rows: ChangeRows) -> None:
        """Accept or refuse the change if rows from a read or a conflict decide it."""
        head_version = rows.head.version if rows.head else 0
        if rows.change_version > 0:
            self._accept(rows.change_version)
        elif rows.change_version < 0:
            self._refuse("it was refused before")
        elif head_version != self.base_version:
            # Writes of this change that are still in flight require the earlier
            # version of the head row and will fail, so that the refusal is final.
            self._refuse(
                f"base version {self.base_version}: the head is {head_version}"
            )

    def _accept(self, version: int) -> None:
        self.state = ChangeState.ACCEPTED
        self.accepted_version = version
        self.reason = ""

    def _refuse(self, reason: str) -> None:
        self.state = ChangeState.REFUSED
        self.reason = reason
