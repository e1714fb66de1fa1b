"""Change of the expert map of a group of ranks that run in lock-step.

Each rank votes once on a proposed map. A ready vote is a promise not to start the
switch step before the outcome is known; a refusal is final. The outcome follows from
the votes alone: the new map when all ranks are ready, the old one when any refused.
Neither the table nor the proposer is needed to find it, so that an outage of either
cannot split a group or stop it.
"""

from bluebellusher_core.mapswitch._coordinator import MapCoordinator
from bluebellusher_core.mapswitch._messages import (
    Commit,
    Epoch,
    Install,
    LoadWeights,
    Message,
    Prepare,
    Proposal,
    Query,
    State,
    Vote,
    VoteValue,
)
from bluebellusher_core.mapswitch._rank import RankSwitch

__all__ = [
    "Commit",
    "Epoch",
    "Install",
    "LoadWeights",
    "MapCoordinator",
    "Message",
    "Prepare",
    "Proposal",
    "Query",
    "RankSwitch",
    "State",
    "Vote",
    "VoteValue",
]
