"""Commit protocol for a change of the expert map of a group of ranks in lock-step.

Each rank votes once on a proposed map. A rank that votes ready promises not to start
the switch step before the outcome is decided; a refusal is final. The votes alone
determine the outcome: the group switches to the new map when all ranks are ready, and
keeps the old map when any rank has refused. The ranks can exchange their votes without
the table or the proposer, so that an outage of either cannot make ranks use different
maps or stop the group.
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
from bluebellusher_core.mapswitch._rank import MapParticipant

__all__ = [
    "Commit",
    "Epoch",
    "Install",
    "LoadWeights",
    "MapCoordinator",
    "MapParticipant",
    "Message",
    "Prepare",
    "Proposal",
    "Query",
    "State",
    "Vote",
    "VoteValue",
]
