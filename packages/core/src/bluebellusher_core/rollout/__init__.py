"""Configuration versions: acceptance of a change, and its distribution to entries."""

from bluebellusher_core.rollout._change import (
    ChangeProposal,
    ChangeState,
    ProposalEffect,
    RowRead,
    StageAt,
    StagedReply,
    WriteChange,
    WriteRefusal,
    WriteResult,
    WriteStatus,
    resolve_change,
)
from bluebellusher_core.rollout._spread import choose_fan_out, is_poller
from bluebellusher_core.rollout._versions import ConfigVersion, VersionTracker

__all__ = [
    "ChangeProposal",
    "ChangeState",
    "ConfigVersion",
    "ProposalEffect",
    "RowRead",
    "StageAt",
    "StagedReply",
    "VersionTracker",
    "WriteChange",
    "WriteRefusal",
    "WriteResult",
    "WriteStatus",
    "choose_fan_out",
    "is_poller",
    "resolve_change",
]
