"""Effects that the reducer returns and the runtime executes."""

from bluebellusher_core.effects._effects import (
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
    TellCrashes,
    TellLeaving,
    WriteClaims,
)

__all__ = [
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
    "TellCrashes",
    "TellLeaving",
    "WriteClaims",
]
