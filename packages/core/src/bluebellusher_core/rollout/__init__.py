"""Configuration versions: acceptance of a change, and its distribution to entries."""

from bluebellusher_core.rollout._change import (
    ChangeProposal,
    ChangeRows,
    ChangeState,
    ProposalEffect,
    RequestStaging,
    StagingReply,
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
    "ChangeRows",
    "ChangeState",
    "ConfigVersion",
    "ProposalEffect",
    "RequestStaging",
    "StagingReply",
    "VersionTracker",
    "WriteChange",
    "WriteRefusal",
    "WriteResult",
    "WriteStatus",
    "choose_fan_out",
    "is_poller",
    "resolve_change",
]
