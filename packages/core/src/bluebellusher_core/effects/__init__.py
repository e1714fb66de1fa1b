"""Every effect that the reducer returns; the runtime executes them."""

from bluebellusher_core.effects._effects import (
    CancelAttempt,
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
    "CancelAttempt",
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
