"""Events that the reducer accepts."""

from bluebellusher_core.events._endpoint_events import (
    CacheReported,
    EndpointAnnounced,
    EndpointChecked,
    EndpointConfirmed,
    EndpointConnected,
    EndpointCrashed,
    EndpointDraining,
    EndpointInfo,
    EndpointLimited,
    EndpointLost,
    EndpointProgressed,
    EndpointRegistered,
    LeavingMark,
    LeavingReceived,
    LimitMark,
    LimitsReceived,
    LoadReported,
    SilentReceived,
    WarmUpMark,
    WarmUpSource,
    WarmUpsReported,
)
from bluebellusher_core.events._request_events import (
    AttemptAccepted,
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStalled,
    AttemptStarted,
    CallerDisconnected,
    EndedReceived,
    Priority,
    RequestArrived,
    RequestSpec,
    Usage,
)
from bluebellusher_core.events._state_events import (
    STORE_SOURCE,
    ArrivalsEnded,
    ClaimOutcome,
    ClaimResult,
    ClaimsAnswered,
    ClaimsUnanswered,
    CrashesReceived,
    CustomerPolicy,
    DigestReceived,
    DomainsEvacuated,
    EntriesCounted,
    MembersListed,
    ObjectivesChanged,
    PeersConnected,
    PolicyChanged,
    ShutdownStarted,
    TimerFired,
)

Event = (
    RequestArrived
    | CallerDisconnected
    | EndedReceived
    | AttemptAccepted
    | AttemptStarted
    | AttemptFinished
    | AttemptRefused
    | AttemptBroken
    | AttemptStalled
    | EndpointConnected
    | EndpointLost
    | EndpointRegistered
    | EndpointConfirmed
    | EndpointChecked
    | EndpointProgressed
    | SilentReceived
    | EndpointAnnounced
    | EndpointLimited
    | LimitsReceived
    | LeavingReceived
    | EndpointDraining
    | EndpointCrashed
    | WarmUpsReported
    | LoadReported
    | CacheReported
    | ClaimsAnswered
    | ClaimsUnanswered
    | DigestReceived
    | CrashesReceived
    | DomainsEvacuated
    | EntriesCounted
    | MembersListed
    | ObjectivesChanged
    | PeersConnected
    | PolicyChanged
    | ShutdownStarted
    | ArrivalsEnded
    | TimerFired
)

__all__ = [
    "STORE_SOURCE",
    "ArrivalsEnded",
    "AttemptAccepted",
    "AttemptBroken",
    "AttemptFinished",
    "AttemptRefused",
    "AttemptStalled",
    "AttemptStarted",
    "CacheReported",
    "CallerDisconnected",
    "ClaimOutcome",
    "ClaimResult",
    "ClaimsAnswered",
    "ClaimsUnanswered",
    "CrashesReceived",
    "CustomerPolicy",
    "DigestReceived",
    "DomainsEvacuated",
    "EndedReceived",
    "EndpointAnnounced",
    "EndpointChecked",
    "EndpointConfirmed",
    "EndpointConnected",
    "EndpointCrashed",
    "EndpointDraining",
    "EndpointInfo",
    "EndpointLimited",
    "EndpointLost",
    "EndpointProgressed",
    "EndpointRegistered",
    "EntriesCounted",
    "Event",
    "LeavingMark",
    "LeavingReceived",
    "LimitMark",
    "LimitsReceived",
    "LoadReported",
    "MembersListed",
    "ObjectivesChanged",
    "PeersConnected",
    "PolicyChanged",
    "Priority",
    "RequestArrived",
    "RequestSpec",
    "ShutdownStarted",
    "SilentReceived",
    "TimerFired",
    "Usage",
    "WarmUpMark",
    "WarmUpSource",
    "WarmUpsReported",
]
