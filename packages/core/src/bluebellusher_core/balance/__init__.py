"""Placement and replication of experts on the ranks of a group.

A policy observes the load of every expert and plans the next placement as a list of
moves. ``bluebellusher_core.mapswitch`` makes the ranks switch to the new placement in
the same step.
"""

from bluebellusher_core.balance._baselines import FullResolve, NoRebalancing
from bluebellusher_core.balance._incremental import IncrementalPlanner
from bluebellusher_core.balance._limits import MoveBudget
from bluebellusher_core.balance._maps import to_expert_map, to_placement
from bluebellusher_core.balance._model import (
    GroupShape,
    LayerPlacement,
    Loads,
    Move,
    Placement,
    apply_moves,
    compute_moves,
    compute_pass_skew,
    compute_rank_loads,
    compute_skew,
    make_initial_placement,
    validate_loads,
    validate_placement,
)
from bluebellusher_core.balance._popularity import PopularityTracker
from bluebellusher_core.balance._protocol import Conditions, PlacementPolicy, Plan
from bluebellusher_core.balance._rank_bounded import (
    ChangeCost,
    RankBoundedPlanner,
    count_max_new_experts,
)

__all__ = [
    "ChangeCost",
    "Conditions",
    "FullResolve",
    "GroupShape",
    "IncrementalPlanner",
    "LayerPlacement",
    "Loads",
    "Move",
    "MoveBudget",
    "NoRebalancing",
    "Placement",
    "PlacementPolicy",
    "Plan",
    "PopularityTracker",
    "RankBoundedPlanner",
    "apply_moves",
    "compute_moves",
    "compute_pass_skew",
    "compute_rank_loads",
    "compute_skew",
    "count_max_new_experts",
    "make_initial_placement",
    "to_expert_map",
    "to_placement",
    "validate_loads",
    "validate_placement",
]
