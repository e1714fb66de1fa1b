"""Messages of a map change."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Epoch(NamedTuple):
    """Id of one formation of a group.

    A rank that restarts has lost its votes, so it rejoins only in a new epoch. The
    fencing token makes epochs of different lease holders differ and orders them.
    """

    fencing_token: int
    number: int


@dataclass(frozen=True, slots=True)
class Proposal:
    """A map change that ranks vote on; all fields together identify it.

    Parameters
    ----------
    epoch : Epoch
        Formation of the group that the change applies to.
    map_version : int
        Version of the new map.
    map_digest : str
        Hash of the new map, so that two maps can never share a proposal.
    fencing_token : int
        Token of the proposing lease holder.
    switch_step : int
        First step that uses the new map.
    """

    epoch: Epoch
    map_version: int
    map_digest: str
    fencing_token: int
    switch_step: int


class VoteValue(StrEnum):
    """Vote of one rank; ``READY`` and ``REFUSED`` are final."""

    READY = "ready"
    REFUSED = "refused"
    UNDECIDED = "undecided"


@dataclass(frozen=True, slots=True)
class Prepare:
    """Ask a rank to load the weights of a proposed map and to vote."""

    proposal: Proposal


@dataclass(frozen=True, slots=True)
class Vote:
    """Vote of one rank; ``reason`` explains a refusal."""

    rank: int
    proposal: Proposal
    value: VoteValue
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Commit:
    """Tell a rank that all ranks are ready."""

    proposal: Proposal


@dataclass(frozen=True, slots=True)
class Query:
    """Ask a rank for its vote; the answer is a `Vote`."""

    proposal: Proposal


@dataclass(frozen=True, slots=True)
class Install:
    """Form the group anew on one map; all ranks start again at step 0."""

    epoch: Epoch
    map_version: int


@dataclass(frozen=True, slots=True)
class State:
    """What a rank reports to a lease holder that raises the fencing token."""

    rank: int
    epoch: Epoch | None
    map_version: int | None
    pending: Proposal | None


@dataclass(frozen=True, slots=True)
class LoadWeights:
    """Effect: load the weights that the rank needs for a proposed map."""

    proposal: Proposal


Message = Prepare | Vote | Commit | Query | Install | State
