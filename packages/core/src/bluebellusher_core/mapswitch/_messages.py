"""Messages of a map change."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Epoch(NamedTuple):
    """Id of one formation of a group.

    A rank that restarts has lost its votes, so it can only rejoin in a new epoch. The
    fencing token makes the epochs of different lease holders distinct and ordered.
    """

    fencing_token: int
    number: int


@dataclass(frozen=True, slots=True)
class Proposal:
    """A map change that ranks vote on; all fields together identify it.

    Parameters
    ----------
    epoch : Epoch
        Epoch of the group that the change applies to.
    map_version : int
        Version of the new map.
    map_digest : str
        Hash of the new map, so that proposals of different maps always differ.
    fencing_token : int
        Fencing token of the lease holder that proposes the change.
    switch_step : int
        First step that uses the new map.
    """

    epoch: Epoch
    map_version: int
    map_digest: str
    fencing_token: int
    switch_step: int


class VoteValue(StrEnum):
    """Value of a vote; ``READY`` and ``REFUSED`` are final."""

    READY = "ready"
    REFUSED = "refused"
    UNDECIDED = "undecided"


@dataclass(frozen=True, slots=True)
class Prepare:
    """Request to a rank to load the weights of a proposed map and to vote."""

    proposal: Proposal


@dataclass(frozen=True, slots=True)
class Vote:
    """Vote of one rank on a proposal.

    ``reason`` explains a refusal, or why the rank cannot vote.
    """

    rank: int
    proposal: Proposal
    value: VoteValue
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Commit:
    """Announcement to a rank that all ranks have voted ready."""

    proposal: Proposal


@dataclass(frozen=True, slots=True)
class Query:
    """Request to a rank for its vote; the answer is a `Vote`."""

    proposal: Proposal


@dataclass(frozen=True, slots=True)
class Install:
    """Order to form the group again with one map; every rank restarts at step 0."""

    epoch: Epoch
    map_version: int


@dataclass(frozen=True, slots=True)
class State:
    """Report of a rank to a lease holder that raises the fencing token.

    ``epoch`` and ``map_version`` are None before the first ``Install``, and ``pending``
    is None when the rank has no undecided proposal.
    """

    rank: int
    epoch: Epoch | None
    map_version: int | None
    pending: Proposal | None


@dataclass(frozen=True, slots=True)
class LoadWeights:
    """Effect that loads the weights that the rank needs for a proposed map."""

    proposal: Proposal


Message = Prepare | Vote | Commit | Query | Install | State
