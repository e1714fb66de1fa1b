"""Placement policy that limits the number of weight loads of each rank."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from bluebellusher_core.balance._model import (
    GroupShape,
    LayerPlacement,
    Loads,
    Placement,
    compute_moves,
    compute_pass_skew,
    compute_rank_loads,
    validate_loads,
)
from bluebellusher_core.balance._protocol import Conditions, Plan

# The search minimizes the sum of the rank loads raised to this power. The highest load
# dominates the sum, while a reduction of lower loads still has an effect on it.
LOAD_EXPONENT = 4
# Number of experts of the most loaded rank, and number of least loaded ranks, that one
# step of the search considers.
N_HOT_EXPERTS = 6
N_COOL_RANKS = 5
# Maximum number of steps of the search of one layer.
MAX_STEPS_PER_LAYER = 80
# Minimum decrease of that sum, in units of the mean rank load to the same power, for a
# step to be taken.
MIN_STEP_GAIN = 1e-3
# Limits on the weight loads of each rank for which plans are searched and compared.
LOAD_LIMITS_PER_RANK = (1, 2, 3, 4, 6, 9)
# Lowest skew that plans reach; the loads cannot be divided between ranks arbitrarily.
MIN_REACHABLE_SKEW = 1.04
# Minimum time that a plan must save. The orders and the held step of a change take
# about as long as a plan with a smaller gain saves.
MIN_GAIN_MS = 200.0

LayerChange = list[tuple[int, set[int]]]
"""Changed experts of a layer, each with the ranks that hold it after a step."""


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """Cost of a map change, and time for which the new map is useful.

    Parameters
    ----------
    load_ms : float
        Time that a rank needs to load one expert.
    fixed_ms : float
        Time from a plan to the use of its map, without the weight loads.
    slowdown : float
        Relative increase of the duration of a pass while experts are loaded.
    expert_share : float
        Share of the duration of a pass that is proportional to the skew.
    horizon_ms : float
        Time for which the popularity of the experts is expected to stay the same.
    price_ms_per_load : float
        Time that a change must save for each weight load of any rank; the price of a
        load.
    """

    load_ms: float
    fixed_ms: float
    slowdown: float
    expert_share: float
    horizon_ms: float
    price_ms_per_load: float = 0.0

    def may_save_time(self, skew: float) -> bool:
        """Return whether a map change may save enough time at this skew.

        The estimate assumes a new map with the lowest skew, two weight loads on the
        rank with most of them, and the price of one load.
        """
        return self.compute_gain_ms(skew, MIN_REACHABLE_SKEW, 2, 1) > MIN_GAIN_MS

    def compute_gain_ms(
        self,
        old_skew: float,
        new_skew: float,
        max_loads_per_rank: int,
        n_loads: int = 0,
    ) -> float:
        """Return the time saved within the horizon minus the cost of the change, in ms.

        Parameters
        ----------
        old_skew, new_skew : float
            Mean skew of the layers before and after the change.
        max_loads_per_rank : int
            Number of weight loads of the rank that has most of them, which determines
            the duration of the loading.
        n_loads : int
            Number of weight loads of all ranks together, each of which has a price.
        """
        load_ms = max_loads_per_rank * self.load_ms
        saved = self.expert_share * (old_skew - new_skew)
        duration = 1 + self.expert_share * (old_skew - 1)
        useful_ms = max(0.0, self.horizon_ms - self.fixed_ms - load_ms)
        cost_ms = self.slowdown * duration * load_ms + self.price_ms_per_load * n_loads
        return saved * useful_ms - cost_ms


class RankBoundedPlanner:
    """Policy that relieves the most loaded ranks with few weight loads on each rank.

    Load pattern: the popularity of experts changes every few seconds, and the counts
    are samples of it. Ranks load experts in parallel, so that the rank with most weight
    loads determines the duration of a change. The planner therefore searches once for
    each limit in ``LOAD_LIMITS_PER_RANK``. A search takes its steps in descending order
    of their effect, and its plan ends where further weight loads cost more time than
    they save. After an abrupt change of popularity this gives a small plan, because the
    few experts that have become popular matter most; the next plan makes the remaining
    changes.

    Parameters
    ----------
    shape : GroupShape
        Sizes of the group.
    cost : ChangeCost
        Weighs the reduction of the skew against the weight loads.
    max_new_per_layer : int
        Maximum number of experts of one layer that a plan adds to a rank.
    pace_by_rank : sequence of float
        Time that each rank needs for a load, as a multiple of the usual time. A slow
        rank delays every pass, so that the plan gives it fewer and smaller experts.
        Empty when all ranks are equal.
    """

    def __init__(
        self,
        shape: GroupShape,
        cost: ChangeCost,
        max_new_per_layer: int,
        pace_by_rank: Sequence[float] = (),
    ) -> None:
        self._shape = shape
        self._pace_by_rank = pace_by_rank or (1.0,) * shape.n_ranks
        self._cost = cost
        self._max_new_per_layer = max_new_per_layer
        self._loads: Loads = ()

    def observe(self, loads: Loads) -> None:
        """Store the loads of the last interval for the next plan."""
        validate_loads(self._shape, loads)
        self._loads = loads

    def plan(
        self, placement: Placement, conditions: Conditions, random_state: Random
    ) -> Plan:
        """Return the plan that saves most time, or a plan without moves.

        The limits on the weight loads of each rank are tried in ascending order, until
        a higher limit saves no more time.
        """
        if not self._loads or conditions.is_capacity_short:
            return Plan(placement)
        best_gain, best = MIN_GAIN_MS, placement
        if not self._cost.may_save_time(self._compute_mean_skew(placement)):
            return Plan(placement)
        max_loads = self._max_new_per_layer * self._shape.n_layers
        for load_limit in LOAD_LIMITS_PER_RANK:
            if load_limit > max_loads:
                break
            gain, candidate = self._search_within_limit(placement, load_limit)
            if gain <= best_gain and best is not placement:
                break
            if gain > best_gain:
                best_gain, best = gain, candidate
        if best is placement:
            return Plan(placement)
        layers = range(len(placement))
        moves = compute_moves(self._shape, placement, best, layers)
        return Plan(best, tuple(moves))

    def _search_within_limit(
        self, placement: Placement, load_limit: int
    ) -> tuple[float, Placement]:
        """Return the largest gain, in ms, and the placement that has it.

        Parameters
        ----------
        placement : Placement
            Current placement.
        load_limit : int
            Maximum number of weight loads of each rank.
        """
        remaining_loads_by_rank = [load_limit] * self._shape.n_ranks
        layers = [
            LayerBalancer(
                self._shape,
                ranks,
                loads,
                self._max_new_per_layer,
                remaining_loads_by_rank,
                self._pace_by_rank,
            )
            for ranks, loads in zip(placement, self._loads, strict=True)
        ]
        skews = [layer.skew for layer in layers]
        old_skew = sum(skews) / len(skews)
        steps: list[tuple[int, LayerChange]] = []
        best_gain, n_best = 0.0, 0
        improvable_layers = set(range(len(layers)))
        while improvable_layers:
            # Continue with the layer that delays a pass most.
            index = max(improvable_layers, key=skews.__getitem__)
            change = layers[index].step()
            if change is None:
                improvable_layers.remove(index)
                continue
            steps.append((index, change))
            skews[index] = layers[index].skew
            max_loads_per_rank = load_limit - min(remaining_loads_by_rank)
            n_loads = load_limit * len(remaining_loads_by_rank) - sum(
                remaining_loads_by_rank
            )
            gain = self._cost.compute_gain_ms(
                old_skew, sum(skews) / len(skews), max_loads_per_rank, n_loads
            )
            if gain > best_gain:
                best_gain, n_best = gain, len(steps)
        return best_gain, _apply_changes(placement, steps[:n_best])

    def _compute_mean_skew(self, placement: Placement) -> float:
        """Return the mean skew of the layers, which a pass executes in sequence."""
        skews = [
            compute_pass_skew(ranks, loads, self._pace_by_rank)
            for ranks, loads in zip(placement, self._loads, strict=True)
        ]
        return sum(skews) / len(skews)


def _apply_changes(
    placement: Placement, changes: Sequence[tuple[int, LayerChange]]
) -> Placement:
    """Return the placement after changes, each given with the index of its layer."""
    layers = [list(ranks_by_expert) for ranks_by_expert in placement]
    for index, change in changes:
        for expert, ranks in change:
            layers[index][expert] = tuple(sorted(ranks))
    return tuple(tuple(layer) for layer in layers)


class LayerBalancer:
    """Step-by-step search of one layer for ``RankBoundedPlanner``.

    Parameters
    ----------
    shape : GroupShape
        Sizes of the group.
    ranks_by_expert : LayerPlacement
        Current placement of the layer.
    loads : sequence of float
        Load of each expert of the layer.
    max_new_per_layer : int
        Maximum number of experts of the layer that a plan adds to a rank.
    remaining_loads_by_rank : list of int
        Number of further weight loads that each rank may make. All layers share this
        list, and their searches update it.
    pace_by_rank : sequence of float
        Time that each rank needs for a load, as a multiple of the usual time.
    """

    def __init__(
        self,
        shape: GroupShape,
        ranks_by_expert: LayerPlacement,
        loads: Sequence[float],
        max_new_per_layer: int,
        remaining_loads_by_rank: list[int],
        pace_by_rank: Sequence[float],
    ) -> None:
        self._n_slots = shape.n_slots
        self._pace_by_rank = pace_by_rank
        self._max_new_per_layer = max_new_per_layer
        self._remaining_loads_by_rank = remaining_loads_by_rank
        self._n_steps = 0
        self._loads = loads
        self._initial_experts_by_rank = _list_experts_by_rank(
            shape.n_ranks, ranks_by_expert
        )
        self._experts_by_rank = [
            set(experts) for experts in self._initial_experts_by_rank
        ]
        self._ranks_by_expert = [set(ranks) for ranks in ranks_by_expert]
        # The loads of the ranks are multiplied by their pace.
        self._rank_loads = [
            load * pace
            for load, pace in zip(
                compute_rank_loads(shape.n_ranks, ranks_by_expert, loads),
                pace_by_rank,
                strict=True,
            )
        ]
        self._mean_rank_load = sum(loads) / shape.n_ranks or 1.0

    @property
    def skew(self) -> float:
        """Maximum rank load, multiplied by its pace, divided by the mean load."""
        return max(self._rank_loads) / self._mean_rank_load

    def step(self) -> LayerChange | None:
        """Apply the step with the largest gain and return it; None if there is none."""
        change = (
            self._find_best_change() if self._n_steps < MAX_STEPS_PER_LAYER else None
        )
        if change is None:
            return None
        self._n_steps += 1
        for expert, ranks in change:
            self._apply(expert, ranks)
        return change

    def _find_best_change(self) -> LayerChange | None:
        """Return the change with the largest gain that relieves the most loaded rank.

        Returns None when no change gains more than ``MIN_STEP_GAIN``.
        """
        ranks_by_load = sorted(
            range(len(self._rank_loads)), key=self._rank_loads.__getitem__
        )
        hot_rank = ranks_by_load[-1]
        experts_by_share = sorted(
            self._experts_by_rank[hot_rank], key=self._compute_share, reverse=True
        )
        best_gain, best = MIN_STEP_GAIN, None
        for expert in experts_by_share[:N_HOT_EXPERTS]:
            for change in self._list_changes(
                expert, hot_rank, ranks_by_load[:N_COOL_RANKS]
            ):
                gain = self._compute_gain(change)
                if gain > best_gain:
                    best_gain, best = gain, change
        return best

    def _list_changes(
        self, expert: int, hot_rank: int, cool_ranks: Sequence[int]
    ) -> list[LayerChange]:
        """Return the possible changes that reduce the load of an expert on a rank.

        Parameters
        ----------
        expert : int
            Expert whose load on the rank is to be reduced.
        hot_rank : int
            The most loaded rank, which holds the expert.
        cool_ranks : sequence of int
            Ranks with low load that may load the expert.
        """
        ranks = self._ranks_by_expert[expert]
        changes: list[LayerChange] = []
        if len(ranks) > 1:
            changes.append([(expert, ranks - {hot_rank})])
        for cool_rank in cool_ranks:
            if (
                cool_rank in ranks
                or cool_rank == hot_rank
                or not self._can_load(expert, cool_rank)
            ):
                continue
            moved_ranks = (ranks - {hot_rank}) | {cool_rank}
            if len(self._experts_by_rank[cool_rank]) < self._n_slots:
                changes.append([(expert, ranks | {cool_rank})])
                changes.append([(expert, moved_ranks)])
                continue
            for evicted in self._find_redundant_experts(cool_rank, expert):
                removal = (evicted, self._ranks_by_expert[evicted] - {cool_rank})
                changes.append([(expert, ranks | {cool_rank}), removal])
                changes.append([(expert, moved_ranks), removal])
            counterpart = self._find_exchange(expert, hot_rank, cool_rank)
            if counterpart is not None:
                changes.append([(expert, moved_ranks), counterpart])
        return changes

    def _find_redundant_experts(self, rank: int, kept: int) -> list[int]:
        """Return the expert of a rank whose removal adds least load to other ranks.

        Only experts with further replicas are considered, and not ``kept``. The list
        has one expert or none.
        """
        redundant = [
            e for e in self._experts_by_rank[rank] if len(self._ranks_by_expert[e]) > 1
        ]
        redundant = [e for e in redundant if e != kept]
        if not redundant:
            return []
        return [
            min(
                redundant,
                key=lambda e: self._loads[e] / (len(self._ranks_by_expert[e]) - 1),
            )
        ]

    def _find_exchange(
        self, expert: int, hot_rank: int, cool_rank: int
    ) -> tuple[int, set[int]] | None:
        """Return the replacement of ``expert`` in an exchange between two ranks.

        This is the expert with the smallest replica load on ``cool_rank`` that
        ``hot_rank`` may load.

        Returns
        -------
        tuple of int and set of int, or None
            The other expert with its ranks after the exchange; None if there is none.
        """
        exchangeable = [
            e
            for e in self._experts_by_rank[cool_rank]
            if hot_rank not in self._ranks_by_expert[e] and self._can_load(e, hot_rank)
        ]
        if not exchangeable:
            return None
        other = min(exchangeable, key=self._compute_share)
        return other, (self._ranks_by_expert[other] - {cool_rank}) | {hot_rank}

    def _can_load(self, expert: int, rank: int) -> bool:
        """Return whether a rank may load an expert within the limits of the plan.

        An expert that the rank held before the plan needs no weight load.
        """
        if expert in self._initial_experts_by_rank[rank]:
            return True
        if self._remaining_loads_by_rank[rank] < 1:
            return False
        return (
            len(self._experts_by_rank[rank] - self._initial_experts_by_rank[rank])
            < self._max_new_per_layer
        )

    def _compute_share(self, expert: int) -> float:
        """Return the load of each replica of an expert."""
        return self._loads[expert] / len(self._ranks_by_expert[expert])

    def _compute_gain(self, change: LayerChange) -> float:
        """Return how much a change decreases the sum that the search minimizes.

        This is the sum of the rank loads, relative to their mean, raised to the power
        ``LOAD_EXPONENT``.
        """
        load_changes: dict[int, float] = {}
        for expert, ranks in change:
            before, after = (
                self._compute_share(expert),
                self._loads[expert] / len(ranks),
            )
            for rank in self._ranks_by_expert[expert]:
                decrease = before * self._pace_by_rank[rank]
                load_changes[rank] = load_changes.get(rank, 0.0) - decrease
            for rank in ranks:
                increase = after * self._pace_by_rank[rank]
                load_changes[rank] = load_changes.get(rank, 0.0) + increase
        gain = 0.0
        for rank, load_change in load_changes.items():
            load = self._rank_loads[rank]
            gain += (load / self._mean_rank_load) ** LOAD_EXPONENT - (
                (load + load_change) / self._mean_rank_load
            ) ** LOAD_EXPONENT
        return gain

    def _apply(self, expert: int, ranks: set[int]) -> None:
        """Place an expert on the given ranks and count the weight loads for it."""
        before, after = self._compute_share(expert), self._loads[expert] / len(ranks)
        for rank in self._ranks_by_expert[expert]:
            self._rank_loads[rank] -= before * self._pace_by_rank[rank]
            self._experts_by_rank[rank].discard(expert)
        for rank in ranks:
            self._rank_loads[rank] += after * self._pace_by_rank[rank]
            self._experts_by_rank[rank].add(expert)
        for rank in ranks ^ self._ranks_by_expert[expert]:
            if expert not in self._initial_experts_by_rank[rank]:
                self._remaining_loads_by_rank[rank] += -1 if rank in ranks else 1
        self._ranks_by_expert[expert] = set(ranks)


def count_max_new_experts(n_ranks: int, old: Placement, new: Placement) -> int:
    """Return the largest number of experts that any rank loads for a new placement.

    The loads of a rank are counted over all layers.
    """
    n_new_by_rank = [0] * n_ranks
    for before, after in zip(old, new, strict=True):
        experts_before, experts_after = (
            _list_experts_by_rank(n_ranks, before),
            _list_experts_by_rank(n_ranks, after),
        )
        for rank in range(n_ranks):
            n_new_by_rank[rank] += len(experts_after[rank] - experts_before[rank])
    return max(n_new_by_rank)


def _list_experts_by_rank(
    n_ranks: int, ranks_by_expert: LayerPlacement
) -> list[set[int]]:
    """Return the experts that each rank holds in one layer."""
    experts_by_rank: list[set[int]] = [set() for _ in range(n_ranks)]
    for expert, ranks in enumerate(ranks_by_expert):
        for rank in ranks:
            experts_by_rank[rank].add(expert)
    return experts_by_rank
