"""Simulations of expert placement under sudden changes of the popular experts.

Each prompt chooses experts by its topic. An interval has few prompts, so its counts are
a small sample. Every ``SHIFT_MS`` milliseconds other experts become popular at once.
A new map is used only after its experts were loaded, and passes take longer while
weights are being loaded.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from bluebellusher_core.balance import (
    ChangeCost,
    Conditions,
    FullResolve,
    GroupShape,
    IncrementalPlanner,
    Loads,
    MoveBudget,
    NoRebalancing,
    Placement,
    PlacementPolicy,
    PopularityTracker,
    RankBoundedPlanner,
    compute_rank_loads,
    compute_skew,
    count_max_new_experts,
)

# Time resolution and length of a simulation, and the interval between two counts.
STEP_MS = 50
LENGTH_MS = 40_000
COUNT_INTERVAL_MS = 250
# Interval between two changes of popularity, and the share of experts that move.
SHIFT_MS = 3_900
SHIFTED_SHARE = 0.6
# Fields of ``ChangeCost``: time from a plan to the use of its map without the loads,
# relative increase of the duration of a pass while weights are loaded, share of that
# duration that is proportional to skew, and time for which the popularity is valid.
FIXED_CHANGE_MS = 300.0
LOAD_SLOWDOWN = 0.15
EXPERT_SHARE = 0.85
HORIZON_MS = 3_500.0
MS_PER_S = 1_000
BYTES_PER_GB = 1_000_000_000
RANK_MS_PER_GB = 300.0
N_TOPICS = 9
# Standard deviations of the logarithms of prompt and answer sizes.
PROMPT_SPREAD = 0.9
ANSWER_SPREAD = 0.7
# A prompt is processed in one step. A prompt of median size counts as ``PROMPT_WEIGHT``
# steps of an answer, and an answer of median size has ``ANSWER_STEPS`` steps.
PROMPT_WEIGHT = 32.0
ANSWER_STEPS = 20.0


@dataclass(frozen=True, slots=True)
class MapSite:
    """A group of ranks and the requests it receives.

    Parameters
    ----------
    shape : GroupShape
        Sizes of the group.
    load_ms : float
        Time in milliseconds that a rank needs to load one expert.
    n_max_new : int
        Maximum number of experts of one layer that a plan adds to a rank.
    zipf_exponent, common_share : float
        Exponent of the Zipf distribution of popularity, and the share of the popularity
        that is common to all topics.
    prompts_per_s : float
        Number of requests that the group receives per second.
    """

    shape: GroupShape
    load_ms: float
    n_max_new: int
    zipf_exponent: float
    common_share: float
    prompts_per_s: float


SITES = {
    "12x4x72": MapSite(GroupShape(12, 4, 72, 8, 780_000_000), 35, 3, 1.3, 0.65, 27),
    "12x3x96": MapSite(GroupShape(12, 3, 96, 11, 2_200_000_000), 400, 4, 1.3, 0.75, 27),
    "24x16x96": MapSite(GroupShape(24, 16, 96, 5, 420_000_000), 76, 2, 0.94, 0.75, 45),
}

PolicyFactory = Callable[[MapSite], PlacementPolicy]


def make_rank_bounded_planner(
    site: MapSite, rank_ms_per_gb: float
) -> RankBoundedPlanner:
    """Return a planner with the parameters of the entry that leads map changes."""
    shape = site.shape
    price_ms_per_load = (
        rank_ms_per_gb * shape.n_expert_bytes / BYTES_PER_GB / shape.n_ranks
    )
    cost = ChangeCost(
        site.load_ms,
        FIXED_CHANGE_MS,
        LOAD_SLOWDOWN,
        EXPERT_SHARE,
        HORIZON_MS,
        price_ms_per_load,
    )
    return RankBoundedPlanner(shape, cost, site.n_max_new)


class Tracker(Protocol):
    """Estimator of the popularity of experts from their counts."""

    shares: Loads

    def observe(self, loads: Loads) -> None:
        """Update the estimate with the counts of the last interval."""
        ...


class LastCounts:
    """Estimator that uses the counts of the last interval as the popularity."""

    def __init__(self) -> None:
        self.shares: Loads = ()

    def observe(self, loads: Loads) -> None:
        """Update the estimate with the counts of the last interval."""
        self.shares = loads


def _without_limits(policy: Callable[..., PlacementPolicy]) -> PolicyFactory:
    budget = MoveBudget(10_000, 10**15, 10**15, 10**15)
    return lambda site: policy(site.shape, budget)


POLICIES: dict[str, tuple[PolicyFactory, Callable[[], Tracker]]] = {
    "none": (_without_limits(NoRebalancing), LastCounts),
    "full-resolve": (_without_limits(FullResolve), LastCounts),
    "incremental": (_without_limits(IncrementalPlanner), LastCounts),
    "rank-bounded.last-counts.free": (
        lambda site: make_rank_bounded_planner(site, 0.0),
        LastCounts,
    ),
    "rank-bounded.free": (
        lambda site: make_rank_bounded_planner(site, 0.0),
        PopularityTracker,
    ),
    "rank-bounded": (
        lambda site: make_rank_bounded_planner(site, RANK_MS_PER_GB),
        PopularityTracker,
    ),
    "rank-bounded.1000": (
        lambda site: make_rank_bounded_planner(site, 1_000.0),
        PopularityTracker,
    ),
}


@dataclass
class MapRun:
    """Result of one simulation.

    ``mean_pass`` is the mean duration of a pass relative to a pass without skew.
    ``slow_share`` is the share of the time in which a pass takes more than twice as
    long as one without skew. ``loaded_gb`` is the size of all loaded weights.
    """

    mean_pass: float
    slow_share: float
    mean_skew: float
    n_changes: int
    loaded_gb: float


class Popularity:
    """Choices of experts by prompts of ``N_TOPICS`` topics, which change over time."""

    def __init__(self, site: MapSite, random_state: Random) -> None:
        self._site = site
        self._random_state = random_state
        n_experts = site.shape.n_experts
        weights = [
            1 / (position + 1) ** site.zipf_exponent for position in range(n_experts)
        ]
        self._weights = [weight / sum(weights) for weight in weights]
        # For each layer, the experts in the order of their popularity: first the order
        # common to all topics, then one order per topic.
        self._orders = [
            [
                random_state.sample(range(n_experts), n_experts)
                for _ in range(N_TOPICS + 1)
            ]
            for _ in range(site.shape.n_layers)
        ]
        self._remaining_by_answer: list[tuple[int, float]] = []
        self._shares = self._compute_shares()

    def shift(self) -> None:
        """Permute the popularity of random experts in every order of every layer."""
        for orders in self._orders:
            for order in orders:
                positions = [
                    i
                    for i in range(len(order))
                    if self._random_state.random() < SHIFTED_SHARE
                ]
                experts = [order[i] for i in positions]
                self._random_state.shuffle(experts)
                for position, expert in zip(positions, experts, strict=True):
                    order[position] = expert
        self._shares = self._compute_shares()

    def advance(self) -> list[list[float]]:
        """Return the number of choices in the next step, by layer and expert."""
        random_state, weight_by_topic = self._random_state, [0.0] * N_TOPICS
        n_expected_prompts = self._site.prompts_per_s * STEP_MS / MS_PER_S
        for _ in range(
            int(n_expected_prompts) + (random_state.random() < n_expected_prompts % 1)
        ):
            topic = random_state.randrange(N_TOPICS)
            size = random_state.lognormvariate(0, PROMPT_SPREAD)
            weight_by_topic[topic] += PROMPT_WEIGHT * size
            n_steps = ANSWER_STEPS * random_state.lognormvariate(0, ANSWER_SPREAD)
            self._remaining_by_answer.append((topic, n_steps))
        for topic, _ in self._remaining_by_answer:
            weight_by_topic[topic] += 1.0
        self._remaining_by_answer = [
            (topic, n_remaining - 1)
            for topic, n_remaining in self._remaining_by_answer
            if n_remaining > 1
        ]
        return [
            [
                sum(
                    w * share
                    for w, share in zip(weight_by_topic, expert_shares, strict=True)
                )
                for expert_shares in zip(*layer_shares, strict=True)
            ]
            for layer_shares in self._shares
        ]

    def _compute_shares(self) -> list[list[list[float]]]:
        """Return the share of each expert in the choices, by layer and topic."""
        return [
            [self._blend_shares(common_order, order) for order in orders]
            for common_order, *orders in self._orders
        ]

    def _blend_shares(self, common_order: list[int], order: list[int]) -> list[float]:
        """Return the shares of a topic from the common order and its own one."""
        shares = [0.0] * len(order)
        common_share = self._site.common_share
        for weight, common_expert, topic_expert in zip(
            self._weights, common_order, order, strict=True
        ):
            shares[common_expert] += common_share * weight
            shares[topic_expert] += (1 - common_share) * weight
        return shares


@dataclass
class _PendingMap:
    """A new map, and the times at which it is loaded and at which its use starts."""

    placement: Placement
    loaded_at_ms: float = 0.0
    in_use_at_ms: float = 0.0


@dataclass
class _Totals:
    """Values collected in one simulation."""

    passes: list[float] = field(default_factory=list)
    skews: list[float] = field(default_factory=list)
    n_changes: int = 0
    n_bytes: int = 0


def mean_skew(site: MapSite, placement: Placement, loads: Loads) -> float:
    """Return the mean of the skews of all layers."""
    n_ranks = site.shape.n_ranks
    skews = [
        compute_skew(compute_rank_loads(n_ranks, ranks, layer))
        for ranks, layer in zip(placement, loads, strict=True)
    ]
    return sum(skews) / len(skews)


def run_map_policy(site: MapSite, name: str, seed: int) -> MapRun:
    """Simulate one policy of ``POLICIES`` on a site.

    Popularity has a random state of its own, so that all policies are simulated with
    the same prompts.
    """
    make_policy, make_tracker = POLICIES[name]
    policy, tracker = make_policy(site), make_tracker()
    random_state = Random(seed)
    popularity = Popularity(site, Random(seed))
    shape = site.shape
    layer = tuple((expert % shape.n_ranks,) for expert in range(shape.n_experts))
    placement: Placement = (layer,) * shape.n_layers
    pending_map, interval_counts, totals = _PendingMap(placement), None, _Totals()
    for now_ms in range(0, LENGTH_MS, STEP_MS):
        if now_ms and now_ms % SHIFT_MS < STEP_MS:
            popularity.shift()
        if now_ms >= pending_map.in_use_at_ms:
            placement = pending_map.placement
        loads = popularity.advance()
        interval_counts = (
            loads if interval_counts is None else _sum_counts(interval_counts, loads)
        )
        if now_ms and now_ms % COUNT_INTERVAL_MS == 0:
            tracker.observe(interval_counts)
            interval_counts = None
            policy.observe(tracker.shares)
            if pending_map.placement is placement:
                plan = policy.plan(placement, Conditions(now_ms), random_state)
                if plan.moves:
                    pending_map = _start_loads(site, placement, plan.placement, now_ms)
                    totals.n_changes += 1
                    totals.n_bytes += plan.n_bytes
        skew = mean_skew(site, placement, loads)
        pass_duration = 1 - EXPERT_SHARE + EXPERT_SHARE * skew
        totals.skews.append(skew)
        totals.passes.append(
            pass_duration * (1 + LOAD_SLOWDOWN * (now_ms < pending_map.loaded_at_ms))
        )
    return _summarize(totals)


def _start_loads(
    site: MapSite, old: Placement, new: Placement, now_ms: int
) -> _PendingMap:
    n_max_loads = count_max_new_experts(site.shape.n_ranks, old, new)
    loaded_at_ms = now_ms + n_max_loads * site.load_ms
    return _PendingMap(new, loaded_at_ms, loaded_at_ms + FIXED_CHANGE_MS)


def _sum_counts(first: Loads, second: Loads) -> list[list[float]]:
    return [
        [a + b for a, b in zip(x, y, strict=True)]
        for x, y in zip(first, second, strict=True)
    ]


def _summarize(totals: _Totals) -> MapRun:
    n_steps = len(totals.passes)
    return MapRun(
        sum(totals.passes) / n_steps,
        sum(duration > 2 for duration in totals.passes) / n_steps,
        sum(totals.skews) / n_steps,
        totals.n_changes,
        totals.n_bytes / BYTES_PER_GB,
    )
