"""State of an entry's endpoints, and choice of those that it connects to."""

from bluebellusher_core.membership._announcements import Announcements
from bluebellusher_core.membership._contested import ContestedAddresses
from bluebellusher_core.membership._endpoints import (
    MAX_PAUSE_MS,
    Endpoints,
    Pool,
    pool_of,
)
from bluebellusher_core.membership._entries import ActiveEntries, Share
from bluebellusher_core.membership._evacuation import RAMP_MS, EvacuatedDomains
from bluebellusher_core.membership._limits import RequestLimits
from bluebellusher_core.membership._running_limits import RunningLimit, RunningLimits
from bluebellusher_core.membership._silence import RankSilence, SilentRank
from bluebellusher_core.membership._subset import choose_subset
from bluebellusher_core.membership._warm_up import WarmUpBounds, WarmUps

__all__ = [
    "MAX_PAUSE_MS",
    "RAMP_MS",
    "ActiveEntries",
    "Announcements",
    "ContestedAddresses",
    "Endpoints",
    "EvacuatedDomains",
    "Pool",
    "RankSilence",
    "RequestLimits",
    "RunningLimit",
    "RunningLimits",
    "Share",
    "SilentRank",
    "WarmUpBounds",
    "WarmUps",
    "choose_subset",
    "pool_of",
]
