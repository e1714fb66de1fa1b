"""Changes of the expert map of a group of ranks, made by orders to their engines.

The ranks of a group run every forward pass together; a step is the number of a pass.
An engine carries out four orders: prepare a map (load its weights), hold a step (wait
before that pass), arm a prepared map for a step (use it from that pass on) and release
a held step. ``MapChange`` decides which orders bring a group to a new map. All ranks
use the same map in every pass, even when leaders or ranks fail and orders are lost or
delayed.
"""

from bluebellusher_core.ranks._change import (
    ChangePhase,
    MapChange,
    plan_first_fences,
    to_leader_token,
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
    "pack_counts",
    "pack_map",
    "plan_first_fences",
    "to_leader_token",
    "unpack_counts",
    "unpack_map",
]
