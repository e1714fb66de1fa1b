"""Replay of sudden changes of popularity against policies of expert placement.

Load pattern: the identity of the most popular experts changes every few seconds, as
the users' deployments show. A map is in use only after its experts were copied, and
passes take longer meanwhile.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bluebellusher_core.balance import (
    ChangeCost,
    Conditions,
    FullResolve,
    GroupShape,
    IncrementalPlanner,
    MoveBudget,
    NoRebalancing,
    Placement,
    PlacementPolicy,
    RankBoundedPlanner,
    compute_rank_loads,
    compute_skew,
    count_most_new,
)

STEP_MS = 100
LENGTH_MS = 40_000
SHIFT_MS = 3_800
LOAD_MS = 400.0
FIXED_MS = 300.0
SLOWDOWN = 0.15
EXPERT_SHARE = 0.85
ZIPF_EXPONENT = 1.3
N_MAX_NEW = 4
SHAPE = GroupShape(12, 3, 96, 11, 2_200_000_000)
UNLIMITED = MoveBudget(10_000, 10**15, 10**15, 10**15)
COST = ChangeCost(LOAD_MS, FIXED_MS, SLOWDOWN, EXPERT_SHARE, 3_500.0)

POLICIES: dict[str, Callable[[], PlacementPolicy]] = {
    "none": lambda: NoRebalancing(SHAPE, UNLIMITED),
    "full-resolve": lambda: FullResolve(SHAPE, UNLIMITED),
    "incremental": lambda: IncrementalPlanner(SHAPE, UNLIMITED, smoothing=1.0),
    "rank-bounded": lambda: RankBoundedPlanner(SHAPE, COST, N_MAX_NEW),
}


@dataclass
class MapRun:
    """Result of one replay.

    ``mean_pass`` is the mean duration of a pass relative to one without skew, and
    ``slow_share`` the share of the time in which it is above twice that.
    """

    mean_pass: float
    slow_share: float
    n_loads: int


def make_loads(chance: Random) -> list[list[float]]:
    """Return loads by layer that fall off as popularity does, in a random order."""
    layers = []
    for _ in range(SHAPE.n_layers):
        layer = [1_000 / (rank + 1) ** ZIPF_EXPONENT for rank in range(SHAPE.n_experts)]
        chance.shuffle(layer)
        layers.append(layer)
    return layers


def mean_skew(placement: Placement, loads: list[list[float]]) -> float:
    """Return the mean skew of the layers."""
    skews = [
        compute_skew(compute_rank_loads(SHAPE.n_ranks, ranks, layer))
        for ranks, layer in zip(placement, loads, strict=True)
    ]
    return sum(skews) / len(skews)


def run_map_policy(policy: PlacementPolicy, seed: int) -> MapRun:
    """Replay the changes against one policy."""
    chance = Random(seed)
    loads = make_loads(chance)
    placement: Placement = tuple(
        tuple((expert % SHAPE.n_ranks,) for expert in range(SHAPE.n_experts))
        for _ in range(SHAPE.n_layers)
    )
    pending, pending_at_ms, copied_at_ms = placement, 0.0, 0.0
    passes: list[float] = []
    n_loads = 0
    for now_ms in range(0, LENGTH_MS, STEP_MS):
        if now_ms and now_ms % SHIFT_MS < STEP_MS:
            loads = make_loads(chance)
        if pending is not placement and now_ms >= pending_at_ms:
            placement = pending
        if pending is placement:
            policy.observe(loads)
            plan = policy.plan(placement, Conditions(now_ms), chance)
            if plan.moves:
                pending = plan.placement
                n_most = count_most_new(SHAPE.n_ranks, placement, pending)
                copied_at_ms = now_ms + n_most * LOAD_MS
                pending_at_ms = copied_at_ms + FIXED_MS
                n_loads += plan.n_loads
        skew = mean_skew(placement, loads)
        duration = 1 - EXPERT_SHARE + EXPERT_SHARE * skew
        is_copying = pending is not placement and now_ms < copied_at_ms
        passes.append(duration * (1 + SLOWDOWN * is_copying))
    slow = [one for one in passes if one > 2]
    return MapRun(sum(passes) / len(passes), len(slow) / len(passes), n_loads)
