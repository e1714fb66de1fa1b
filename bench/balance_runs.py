"""Runs of placement policies on drifting, bursty and adversarial popularity."""

from collections.abc import Callable
from dataclasses import dataclass
from math import exp
from random import Random

from bluebellusher_core.balance import (
    Conditions,
    FullResolve,
    GroupShape,
    IncrementalPlanner,
    MoveBudget,
    NoRebalancing,
    Placement,
    PlacementPolicy,
    compute_rank_loads,
    compute_skew,
    make_initial_placement,
)

N_RANKS = 32
N_EXPERTS = 256
N_SLOTS = 9
N_EXPERT_BYTES = 44_000_000
N_LAYERS = 4
N_INTERVALS = 40
INTERVAL_MS = 60_000
SEEDS = (11, 12, 13)
"""Not used while the constants of the planner were chosen (seed 1 was)."""

POPULARITY_SPREAD = 0.8
"""Standard deviation of the logarithm of an expert's popularity."""
DRIFT = 0.08
"""Standard deviation of the change of that logarithm in one interval."""
NOISE = 0.05
"""Relative standard deviation of a measured load around the popularity."""
BURST_CHANCE = 0.004
"""Chance in each interval that an expert starts a burst."""
BURST_END_CHANCE = 0.2
BURST_FACTOR = 4.0
HEAT_PER_INTERVAL = 1.15
"""Factor by which the adversary heats the experts of the most loaded rank."""
MAX_HEAT = 4.0
COOLING = 0.9
"""Factor per interval on the heat above 1 of all other experts."""

SHAPE = GroupShape(N_RANKS, N_LAYERS, N_EXPERTS, N_SLOTS, N_EXPERT_BYTES)
UNLIMITED = MoveBudget(10**6, 10**15, 10**15, 10**15)
MAX_LOADS_PER_LAYER = 24


def make_budget(n_layers: int) -> MoveBudget:
    """Return a budget per interval that grows with the layers."""
    max_loads = MAX_LOADS_PER_LAYER * n_layers
    n_bytes = max_loads * N_EXPERT_BYTES
    return MoveBudget(max_loads, n_bytes, n_bytes * 1000 // INTERVAL_MS + 1, n_bytes)


BUDGET = make_budget(N_LAYERS)
PolicyFactory = Callable[[GroupShape], PlacementPolicy]

POLICIES: dict[str, PolicyFactory] = {
    "no-rebalancing": lambda shape: NoRebalancing(shape, UNLIMITED),
    "full-resolve": lambda shape: FullResolve(shape, UNLIMITED),
    "full-resolve-relabelled": lambda shape: FullResolve(shape, UNLIMITED, True),
    "incremental": lambda shape: IncrementalPlanner(shape, BUDGET),
    "incremental.skew3.moves1": lambda shape: IncrementalPlanner(shape, BUDGET, 3, 1),
    "incremental.skew1.moves4": lambda shape: IncrementalPlanner(shape, BUDGET, 1, 4),
}


class Popularity:
    """Loads of the experts of each layer that change in every interval."""

    def __init__(self, kind: str, shape: GroupShape, seed: int) -> None:
        self._kind = kind
        self._shape = shape
        self._random = Random(f"{kind}/{seed}")
        spread = [POPULARITY_SPREAD] * shape.n_experts
        self._logs = [
            [self._random.gauss(0.0, s) for s in spread] for _ in range(shape.n_layers)
        ]
        self._heats = [[1.0] * shape.n_experts for _ in range(shape.n_layers)]

    def advance(self, placement: Placement) -> list[list[float]]:
        """Return the loads of the next interval; the adversary sees the placement."""
        random = self._random
        # The pull to the mean keeps the spread constant over any number of intervals.
        pull = (1 - (DRIFT / POPULARITY_SPREAD) ** 2) ** 0.5
        for logs in self._logs:
            logs[:] = [pull * x + random.gauss(0.0, DRIFT) for x in logs]
        if self._kind == "bursty":
            self._burst()
        elif self._kind == "adversarial":
            self._heat(placement)
        return [
            [
                1000 * exp(x) * heat * max(0.0, random.gauss(1.0, NOISE))
                for x, heat in zip(logs, heats, strict=True)
            ]
            for logs, heats in zip(self._logs, self._heats, strict=True)
        ]

    def _burst(self) -> None:
        for heats in self._heats:
            for expert, heat in enumerate(heats):
                draw = self._random.random()
                if heat == 1.0 and draw < BURST_CHANCE:
                    heats[expert] = BURST_FACTOR
                elif heat > 1.0 and draw < BURST_END_CHANCE:
                    heats[expert] = 1.0

    def _heat(self, placement: Placement) -> None:
        for logs, heats, ranks in zip(self._logs, self._heats, placement, strict=True):
            loads = [exp(x) * heat for x, heat in zip(logs, heats, strict=True)]
            rank_loads = compute_rank_loads(self._shape.n_ranks, ranks, loads)
            hottest = rank_loads.index(max(rank_loads))
            for expert, held in enumerate(ranks):
                if hottest in held:
                    heat = heats[expert] * HEAT_PER_INTERVAL
                    heats[expert] = min(MAX_HEAT, heat)
                else:
                    heats[expert] = 1.0 + (heats[expert] - 1.0) * COOLING


@dataclass(frozen=True, slots=True)
class RunResult:
    """Mean skew over layers and intervals, and bytes moved in the whole run."""

    mean_skew: float
    n_bytes: int


def run_policy(kind: str, factory: PolicyFactory, seed: int) -> RunResult:
    """Run one policy; each plan sees past loads and meets those of the next interval.

    The first interval, in which no policy knows any load, is not counted.
    """
    policy = factory(SHAPE)
    popularity = Popularity(kind, SHAPE, seed)
    random_state = Random(seed)
    placement = make_initial_placement(SHAPE)
    policy.observe(popularity.advance(placement))
    skews: list[float] = []
    n_bytes = 0
    for interval in range(N_INTERVALS):
        conditions = Conditions(now_ms=interval * INTERVAL_MS)
        plan = policy.plan(placement, conditions, random_state)
        n_bytes += plan.n_bytes
        placement = plan.placement
        loads = popularity.advance(placement)
        for ranks, of_layer in zip(placement, loads, strict=True):
            skews.append(compute_skew(compute_rank_loads(N_RANKS, ranks, of_layer)))
        policy.observe(loads)
    return RunResult(sum(skews) / len(skews), n_bytes)
