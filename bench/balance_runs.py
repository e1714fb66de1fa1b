"""Simulations of placement policies with drifting, bursty and adversarial loads."""

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
"""Seeds of the workloads. The constants of the planner were tuned with seed 1, which is
left out here."""

POPULARITY_SPREAD = 0.8
"""Standard deviation of the logarithm of an expert's popularity."""
DRIFT = 0.08
"""Standard deviation of the change of that logarithm in one interval."""
NOISE = 0.05
"""Relative standard deviation of a load around the popularity of the expert."""
BURST_PROBABILITY = 0.004
"""Probability in each interval that an expert without a burst starts one."""
BURST_END_PROBABILITY = 0.2
BURST_FACTOR = 4.0
LOAD_FACTOR_GROWTH = 1.15
"""Factor per interval on the load factors of the experts of the most loaded rank, which
the adversary raises."""
MAX_LOAD_FACTOR = 4.0
LOAD_FACTOR_DECAY = 0.9
"""Factor per interval on the part above 1 of the load factors of all other experts."""

SHAPE = GroupShape(N_RANKS, N_LAYERS, N_EXPERTS, N_SLOTS, N_EXPERT_BYTES)
UNLIMITED = MoveBudget(10**6, 10**15, 10**15, 10**15)
MAX_LOADS_PER_LAYER = 24


def make_budget(n_layers: int) -> MoveBudget:
    """Return a budget per interval that is proportional to the number of layers."""
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
    """Loads of the experts in each layer, which change in every interval.

    Parameters
    ----------
    kind : str
        Kind of change: ``drifting``, ``bursty`` or ``adversarial``. Drift is part of
        all kinds.
    shape : GroupShape
        Sizes of the group.
    seed : int
        Seed of the random changes.
    """

    def __init__(self, kind: str, shape: GroupShape, seed: int) -> None:
        self._kind = kind
        self._shape = shape
        self._random = Random(f"{kind}/{seed}")
        spread = [POPULARITY_SPREAD] * shape.n_experts
        self._log_popularities = [
            [self._random.gauss(0.0, s) for s in spread] for _ in range(shape.n_layers)
        ]
        self._load_factors = [[1.0] * shape.n_experts for _ in range(shape.n_layers)]

    def advance(self, placement: Placement) -> list[list[float]]:
        """Return the loads of the next interval, by layer and expert.

        Adversarial loads depend on ``placement``.
        """
        random = self._random
        # Reversion to the mean keeps the standard deviation of the logarithms constant
        # over any number of intervals.
        mean_reversion = (1 - (DRIFT / POPULARITY_SPREAD) ** 2) ** 0.5
        for log_popularities in self._log_popularities:
            log_popularities[:] = [
                mean_reversion * x + random.gauss(0.0, DRIFT) for x in log_popularities
            ]
        if self._kind == "bursty":
            self._apply_bursts()
        elif self._kind == "adversarial":
            self._raise_hottest_loads(placement)
        return [
            [
                1000 * exp(x) * load_factor * max(0.0, random.gauss(1.0, NOISE))
                for x, load_factor in zip(log_popularities, load_factors, strict=True)
            ]
            for log_popularities, load_factors in zip(
                self._log_popularities, self._load_factors, strict=True
            )
        ]

    def _apply_bursts(self) -> None:
        for load_factors in self._load_factors:
            for expert, load_factor in enumerate(load_factors):
                draw = self._random.random()
                if load_factor == 1.0 and draw < BURST_PROBABILITY:
                    load_factors[expert] = BURST_FACTOR
                elif load_factor > 1.0 and draw < BURST_END_PROBABILITY:
                    load_factors[expert] = 1.0

    def _raise_hottest_loads(self, placement: Placement) -> None:
        for log_popularities, load_factors, ranks in zip(
            self._log_popularities, self._load_factors, placement, strict=True
        ):
            loads = [
                exp(x) * load_factor
                for x, load_factor in zip(log_popularities, load_factors, strict=True)
            ]
            rank_loads = compute_rank_loads(self._shape.n_ranks, ranks, loads)
            most_loaded_rank = rank_loads.index(max(rank_loads))
            for expert, expert_ranks in enumerate(ranks):
                if most_loaded_rank in expert_ranks:
                    load_factor = load_factors[expert] * LOAD_FACTOR_GROWTH
                    load_factors[expert] = min(MAX_LOAD_FACTOR, load_factor)
                else:
                    load_factors[expert] = (
                        1.0 + (load_factors[expert] - 1.0) * LOAD_FACTOR_DECAY
                    )


@dataclass(frozen=True, slots=True)
class RunResult:
    """Mean skew over layers and intervals, and bytes moved in all intervals."""

    mean_skew: float
    n_bytes: int


def run_policy(kind: str, factory: PolicyFactory, seed: int) -> RunResult:
    """Simulate one policy for ``N_INTERVALS`` intervals.

    Each plan is based on the loads of earlier intervals, and its skew is computed with
    the loads of the next interval. The loads of a first extra interval are only
    observed, because there is no earlier interval to plan from.
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
        for ranks, layer_loads in zip(placement, loads, strict=True):
            skews.append(compute_skew(compute_rank_loads(N_RANKS, ranks, layer_loads)))
        policy.observe(loads)
    return RunResult(sum(skews) / len(skews), n_bytes)
