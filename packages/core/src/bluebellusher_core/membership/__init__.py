"""State of an entry's endpoints, and choice of those that it connects to."""

from bluebellusher_core.membership._announcements import Announcements
from bluebellusher_core.membership._endpoints import (
    MAX_PAUSE_MS,
    Endpoints,
    Pool,
    pool_of,
)
from bluebellusher_core.membership._entries import ActiveEntries, Share
from bluebellusher_core.membership._limits import RequestLimits
from bluebellusher_core.membership._running_limits import RunningLimit, RunningLimits
from bluebellusher_core.membership._silence import RankSilence, SilentRank
from bluebellusher_core.membership._subset import choose_subset

__all__ = [
    "MAX_PAUSE_MS",
    "ActiveEntries",
    "Announcements",
    "Endpoints",
    "Pool",
    "RankSilence",
    "RequestLimits",
    "RunningLimit",
    "RunningLimits",
    "Share",
    "SilentRank",
    "choose_subset",
    "pool_of",
]
