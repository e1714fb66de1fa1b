"""Replay of changes of popularity against policies of expert placement.

Load pattern: each prompt chooses experts by its topic, the few prompts of an interval
make its counts a sample, and every few seconds other experts become popular at once.
A map is in use only after its experts were copied, and passes take longer meanwhile.
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

STEP_MS = 50
LENGTH_MS = 40_000
COUNT_INTERVAL_MS = 250
SHIFT_MS = 3_900
SHIFTED_SHARE = 0.6
FIXED_MS = 300.0
SLOWDOWN = 0.15
EXPERT_SHARE = 0.85
HORIZON_MS = 3_500.0
MS_PER_S = 1_000
BYTES_PER_GB = 1_000_000_000
RANK_MS_PER_GB = 300.0
N_TOPICS = 9
# Spread of the sizes of prompts and answers, as of a lognormal distribution.
PROMPT_SPREAD = 0.9
ANSWER_SPREAD = 0.7
# A prompt is read at once and weighs as much as this many steps of its answer.
PROMPT_WEIGHT = 32.0
ANSWER_STEPS = 20.0


@dataclass(frozen=True, slots=True)
class MapSite:
    """A group and its load.

    Parameters
    ----------
    shape : GroupShape
        Sizes of the group.
    load_ms : float
        Time in which a rank copies an expert.
    n_max_new : int
        Experts of one layer that a plan may add to a rank.
    zipf_exponent, common_share : float
        How fast popularity falls off, and what part of it all topics share.
    prompts_per_s : float
        Requests that the group gets.
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


def make_rank_bounded(site: MapSite, rank_ms_per_gb: float) -> RankBoundedPlanner:
    """Return the planner as the leader of the maps makes it."""
    shape = site.shape
    price_ms_per_load = (
        rank_ms_per_gb * shape.n_expert_bytes / BYTES_PER_GB / shape.n_ranks
    )
    cost = ChangeCost(
        site.load_ms, FIXED_MS, SLOWDOWN, EXPERT_SHARE, HORIZON_MS, price_ms_per_load
    )
    return RankBoundedPlanner(shape, cost, site.n_max_new)


class Tracker(Protocol):
    """Tells popularity from counts."""

    shares: Loads

    def observe(self, loads: Loads) -> None:
        """Take the counts of the last interval."""
        ...


class LastCounts:
    """Popularity as the last counts tell it."""

    def __init__(self) -> None:
        self.shares: Loads = ()

    def observe(self, loads: Loads) -> None:
        """Take the counts of the last interval."""
        self.shares = loads


def _unlimited(policy: Callable[..., PlacementPolicy]) -> PolicyFactory:
    budget = MoveBudget(10_000, 10**15, 10**15, 10**15)
    return lambda site: policy(site.shape, budget)


POLICIES: dict[str, tuple[PolicyFactory, Callable[[], Tracker]]] = {
    "none": (_unlimited(NoRebalancing), LastCounts),
    "full-resolve": (_unlimited(FullResolve), LastCounts),
    "incremental": (_unlimited(IncrementalPlanner), LastCounts),
    "rank-bounded.last-counts.free": (
        lambda site: make_rank_bounded(site, 0.0),
        LastCounts,
    ),
    "rank-bounded.free": (
        lambda site: make_rank_bounded(site, 0.0),
        PopularityTracker,
    ),
    "rank-bounded": (
        lambda site: make_rank_bounded(site, RANK_MS_PER_GB),
        PopularityTracker,
    ),
    "rank-bounded.1000": (
        lambda site: make_rank_bounded(site, 1_000.0),
        PopularityTracker,
    ),
}


@dataclass
class MapRun:
    """Result of one replay.

    ``mean_pass`` is the mean duration of a pass relative to one without skew,
    ``slow_share`` the share of the time in which it is above twice that, and ``n_gb``
    what was copied.
    """

    mean_pass: float
    slow_share: float
    mean_skew: float
    n_changes: int
    n_gb: float


class Popularity:
    """Choices of experts by prompts of several topics."""

    def __init__(self, site: MapSite, chance: Random) -> None:
        self._site = site
        self._chance = chance
        n_experts = site.shape.n_experts
        weights = [1 / (place + 1) ** site.zipf_exponent for place in range(n_experts)]
        self._weights = [weight / sum(weights) for weight in weights]
        # The order of the experts by layer, and there for all topics and for each.
        self._orders = [
            [chance.sample(range(n_experts), n_experts) for _ in range(N_TOPICS + 1)]
            for _ in range(site.shape.n_layers)
        ]
        self._left_by_answer: list[tuple[int, float]] = []
        self._shares = self._compute_shares()

    def shift(self) -> None:
        """Exchange the places of some experts, in all topics."""
        for orders in self._orders:
            for order in orders:
                places = [
                    i
                    for i in range(len(order))
                    if self._chance.random() < SHIFTED_SHARE
                ]
                experts = [order[i] for i in places]
                self._chance.shuffle(experts)
                for place, expert in zip(places, experts, strict=True):
                    order[place] = expert
        self._shares = self._compute_shares()

    def advance(self) -> list[list[float]]:
        """Return the choices of the next step, by layer and expert."""
        chance, weight_by_topic = self._chance, [0.0] * N_TOPICS
        n_due = self._site.prompts_per_s * STEP_MS / MS_PER_S
        for _ in range(int(n_due) + (chance.random() < n_due % 1)):
            topic = chance.randrange(N_TOPICS)
            size = chance.lognormvariate(0, PROMPT_SPREAD)
            weight_by_topic[topic] += PROMPT_WEIGHT * size
            n_steps = ANSWER_STEPS * chance.lognormvariate(0, ANSWER_SPREAD)
            self._left_by_answer.append((topic, n_steps))
        for topic, _ in self._left_by_answer:
            weight_by_topic[topic] += 1.0
        self._left_by_answer = [
            (topic, left - 1) for topic, left in self._left_by_answer if left > 1
        ]
        return [
            [
                sum(
                    w * share
                    for w, share in zip(weight_by_topic, of_expert, strict=True)
                )
                for of_expert in zip(*by_topic, strict=True)
            ]
            for by_topic in self._shares
        ]

    def _compute_shares(self) -> list[list[list[float]]]:
        """Return the share of each expert, by layer and topic."""
        return [
            [self._mix(common, order) for order in orders]
            for common, *orders in self._orders
        ]

    def _mix(self, common: list[int], order: list[int]) -> list[float]:
        shares = [0.0] * len(order)
        common_share = self._site.common_share
        for weight, popular, by_topic in zip(self._weights, common, order, strict=True):
            shares[popular] += common_share * weight
            shares[by_topic] += (1 - common_share) * weight
        return shares


@dataclass
class _Copies:
    """Copies that lead to the next placement."""

    placement: Placement
    done_at_ms: float = 0.0
    in_use_at_ms: float = 0.0


@dataclass
class _Totals:
    """What a replay adds up."""

    passes: list[float] = field(default_factory=list)
    skews: list[float] = field(default_factory=list)
    n_changes: int = 0
    n_bytes: int = 0


def mean_skew(site: MapSite, placement: Placement, loads: Loads) -> float:
    """Return the mean skew of the layers."""
    n_ranks = site.shape.n_ranks
    skews = [
        compute_skew(compute_rank_loads(n_ranks, ranks, layer))
        for ranks, layer in zip(placement, loads, strict=True)
    ]
    return sum(skews) / len(skews)


def run_map_policy(site: MapSite, name: str, seed: int) -> MapRun:
    """Replay the changes against one policy."""
    make_policy, make_tracker = POLICIES[name]
    policy, tracker = make_policy(site), make_tracker()
    chance = Random(seed)
    popularity = Popularity(site, Random(seed))
    shape = site.shape
    layer = tuple((expert % shape.n_ranks,) for expert in range(shape.n_experts))
    placement: Placement = (layer,) * shape.n_layers
    copies, counted, totals = _Copies(placement), None, _Totals()
    for now_ms in range(0, LENGTH_MS, STEP_MS):
        if now_ms and now_ms % SHIFT_MS < STEP_MS:
            popularity.shift()
        if now_ms >= copies.in_use_at_ms:
            placement = copies.placement
        loads = popularity.advance()
        counted = loads if counted is None else _add(counted, loads)
        if now_ms and now_ms % COUNT_INTERVAL_MS == 0:
            tracker.observe(counted)
            counted = None
            policy.observe(tracker.shares)
            if copies.placement is placement:
                plan = policy.plan(placement, Conditions(now_ms), chance)
                if plan.moves:
                    copies = _begin(site, placement, plan.placement, now_ms)
                    totals.n_changes += 1
                    totals.n_bytes += plan.n_bytes
        skew = mean_skew(site, placement, loads)
        duration = 1 - EXPERT_SHARE + EXPERT_SHARE * skew
        totals.skews.append(skew)
        totals.passes.append(duration * (1 + SLOWDOWN * (now_ms < copies.done_at_ms)))
    return _summarize(totals)


def _begin(site: MapSite, old: Placement, new: Placement, now_ms: int) -> _Copies:
    n_most = count_max_new_experts(site.shape.n_ranks, old, new)
    done_at_ms = now_ms + n_most * site.load_ms
    return _Copies(new, done_at_ms, done_at_ms + FIXED_MS)


def _add(one: Loads, other: Loads) -> list[list[float]]:
    return [
        [a + b for a, b in zip(x, y, strict=True)]
        for x, y in zip(one, other, strict=True)
    ]


def _summarize(totals: _Totals) -> MapRun:
    n_steps = len(totals.passes)
    return MapRun(
        sum(totals.passes) / n_steps,
        sum(one > 2 for one in totals.passes) / n_steps,
        sum(totals.skews) / n_steps,
        totals.n_changes,
        totals.n_bytes / BYTES_PER_GB,
    )
