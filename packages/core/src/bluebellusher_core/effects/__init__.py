"""Effects that the reducer returns and the runtime executes."""

from bluebellusher_core.effects._effects import (
    BroadcastCrashes,
    BroadcastLeaving,
    CancelAttempt,
    CheckEndpoint,
    ClaimState,
    ClaimWrite,
    CloseConnection,
    Complete,
    DiscardAnswer,
    Dispatch,
    Effect,
    LogEvent,
    Reject,
    ReplayAnswer,
    SetTimer,
    WriteClaims,
)

__all__ = [
    "BroadcastCrashes",
    "BroadcastLeaving",
    "CancelAttempt",
    "CheckEndpoint",
    "ClaimState",
    "ClaimWrite",
    "CloseConnection",
    "Complete",
    "DiscardAnswer",
    "Dispatch",
    "Effect",
    "LogEvent",
    "Reject",
    "ReplayAnswer",
    "SetTimer",
    "WriteClaims",
]
