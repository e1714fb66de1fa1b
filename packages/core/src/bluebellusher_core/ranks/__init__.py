"""Groups of ranks whose engines switch expert maps by orders.

An engine prepares a map, holds a step, arms a prepared map for a step and goes on
from a held step. ``MapChange`` decides which orders lead a group to a new map so that
no pass begins with two maps, whoever fails and whichever order arrives late.
"""

from bluebellusher_core.ranks._change import (
    ChangePhase,
    MapChange,
    leader_token_of,
)
from bluebellusher_core.ranks._counts import pack_counts, unpack_counts
from bluebellusher_core.ranks._packed_map import pack_map, unpack_map
from bluebellusher_core.ranks._state import (
    ExpertMap,
    GroupView,
    OrderAction,
    RankOrder,
    RankState,
)

__all__ = [
    "ChangePhase",
    "ExpertMap",
    "GroupView",
    "MapChange",
    "OrderAction",
    "RankOrder",
    "RankState",
    "leader_token_of",
    "pack_counts",
    "pack_map",
    "unpack_counts",
    "unpack_map",
]
