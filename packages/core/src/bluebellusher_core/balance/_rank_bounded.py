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
    compute_rank_loads,
    compute_skew,
    validate_loads,
)
from bluebellusher_core.balance._protocol import Conditions, Plan

# The search minimizes the sum of the rank loads raised to this power. The highest load
# dominates the sum, while a reduction of lower loads still has an effect on it.
NORM = 4
# Number of experts of the most loaded rank, and number of least loaded ranks, that one
# step of the search considers.
N_HOT_EXPERTS = 6
N_COOL_RANKS = 5
# Maximum number of steps of the search of one layer.
MAX_STEPS = 80
# Minimum decrease of that sum, in units of the mean rank load to the same power, for a
# step to be taken.
MIN_STEP_GAIN = 1e-3
# Limits on the weight loads of each rank for which plans are searched and compared.
LOADS_PER_RANK = (1, 2, 3, 4, 6, 9)
# Lowest skew that plans reach; the loads cannot be divided between ranks arbitrarily.
LEAST_SKEW = 1.04
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
    copy_ms : float
        Time that a change must save for each weight load of any rank; the price of a
        load.
    """

    load_ms: float
    fixed_ms: float
    slowdown: float
    expert_share: float
    horizon_ms: float
    copy_ms: float = 0.0

    def can_gain(self, skew: float) -> bool:
        """Return whether a map change may save enough time at this skew.

        The estimate assumes a new map with the lowest skew, two weight loads on the
        rank with most of them, and the price of one load.
        """
        return self.gain_ms(skew, LEAST_SKEW, 2, 1) > MIN_GAIN_MS

    def gain_ms(
        self, old_skew: float, new_skew: float, n_most_loads: int, n_loads: int = 0
    ) -> float:
        """Return the time saved within the horizon minus the cost of the change, in ms.

        Parameters
        ----------
        old_skew, new_skew : float
            Mean skew of the layers before and after the change.
        n_most_loads : int
            Number of weight loads of the rank that has most of them, which determines
            the duration of the loading.
        n_loads : int
            Number of weight loads of all ranks together, each of which has a price.
        """
        load_ms = n_most_loads * self.load_ms
        saved = self.expert_share * (old_skew - new_skew)
        duration = 1 + self.expert_share * (old_skew - 1)
        useful_ms = max(0.0, self.horizon_ms - self.fixed_ms - load_ms)
        cost_ms = self.slowdown * duration * load_ms + self.copy_ms * n_loads
        return saved * useful_ms - cost_ms


class RankBoundedPlanner:
    """Policy that relieves the most loaded ranks with few weight loads on each rank.

    Load pattern: the popularity of experts changes every few seconds, and the counts
    are samples of it. Ranks load experts in parallel, so that the rank with most weight
    loads determines the duration of a change. The planner therefore searches once for
    each limit in ``LOADS_PER_RANK``. A search takes its steps in descending order of
    their effect, and its plan ends where further weight loads cost more time than they
    save. After an abrupt change of popularity this gives a small plan, because the few
    experts that have become popular matter most; the next plan makes the remaining
    changes.

    Parameters
    ----------
    shape : GroupShape
        Sizes of the group.
    cost : ChangeCost
        Weighs the reduction of the skew against the weight loads.
    n_max_new : int
        Maximum number of experts of one layer that a plan adds to a rank.
    """

    def __init__(self, shape: GroupShape, cost: ChangeCost, n_max_new: int) -> None:
        self._shape = shape
        self._cost = cost
        self._n_max_new = n_max_new
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
        if not self._cost.can_gain(self._mean_skew(placement)):
            return Plan(placement)
        n_most = self._n_max_new * self._shape.n_layers
        for n_max_loads in LOADS_PER_RANK:
            if n_max_loads > n_most:
                break
            gain, found = self._search(placement, n_max_loads)
            if gain <= best_gain and best is not placement:
                break
            if gain > best_gain:
                best_gain, best = gain, found
        if best is placement:
            return Plan(placement)
        layers = range(len(placement))
        moves = compute_moves(self._shape, placement, best, layers)
        return Plan(best, tuple(moves))

    def _search(
        self, placement: Placement, n_max_loads: int
    ) -> tuple[float, Placement]:
        """Return the largest gain, in ms, and the placement that has it.

        Parameters
        ----------
        placement : Placement
            Current placement.
        n_max_loads : int
            Maximum number of weight loads of each rank.
        """
        n_left_by_rank = [n_max_loads] * self._shape.n_ranks
        layers = [
            LayerBalancer(self._shape, ranks, loads, self._n_max_new, n_left_by_rank)
            for ranks, loads in zip(placement, self._loads, strict=True)
        ]
        skews = [layer.skew for layer in layers]
        old_skew = sum(skews) / len(skews)
        steps: list[tuple[int, LayerChange]] = []
        best_gain, n_best = 0.0, 0
        open_layers = set(range(len(layers)))
        while open_layers:
            # Continue with the layer that delays a pass most.
            index = max(open_layers, key=skews.__getitem__)
            change = layers[index].step()
            if change is None:
                open_layers.remove(index)
                continue
            steps.append((index, change))
            skews[index] = layers[index].skew
            n_most_loads = n_max_loads - min(n_left_by_rank)
            n_loads = n_max_loads * len(n_left_by_rank) - sum(n_left_by_rank)
            gain = self._cost.gain_ms(
                old_skew, sum(skews) / len(skews), n_most_loads, n_loads
            )
            if gain > best_gain:
                best_gain, n_best = gain, len(steps)
        return best_gain, _apply_changes(placement, steps[:n_best])

    def _mean_skew(self, placement: Placement) -> float:
        """Return the mean skew of the layers, which a pass executes in sequence."""
        skews = [
            compute_skew(compute_rank_loads(self._shape.n_ranks, ranks, loads))
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
    n_max_new : int
        Maximum number of experts of the layer that a plan adds to a rank.
    n_left_by_rank : list of int
        Number of further weight loads that each rank may make. All layers share this
        list, and their searches update it.
    """

    def __init__(
        self,
        shape: GroupShape,
        ranks_by_expert: LayerPlacement,
        loads: Sequence[float],
        n_max_new: int,
        n_left_by_rank: list[int],
    ) -> None:
        self._n_slots = shape.n_slots
        self._n_max_new = n_max_new
        self._n_left_by_rank = n_left_by_rank
        self._n_steps = 0
        self._loads = loads
        self._held_before = _by_rank(shape.n_ranks, ranks_by_expert)
        self._held = [set(held) for held in self._held_before]
        self._ranks = [set(ranks) for ranks in ranks_by_expert]
        self._rank_loads = compute_rank_loads(shape.n_ranks, ranks_by_expert, loads)
        self._scale = sum(loads) / shape.n_ranks or 1.0

    @property
    def skew(self) -> float:
        """Maximum rank load divided by the mean."""
        return max(self._rank_loads) / self._scale

    def step(self) -> LayerChange | None:
        """Apply the step with the largest gain and return it; None if there is none."""
        change = self._find_best() if self._n_steps < MAX_STEPS else None
        if change is None:
            return None
        self._n_steps += 1
        for expert, ranks in change:
            self._apply(expert, ranks)
        return change

    def _find_best(self) -> LayerChange | None:
        """Return the change with the largest gain that relieves the most loaded rank.

        Returns None when no change gains more than ``MIN_STEP_GAIN``.
        """
        order = sorted(range(len(self._rank_loads)), key=self._rank_loads.__getitem__)
        hot = order[-1]
        by_share = sorted(self._held[hot], key=self._share, reverse=True)
        best_gain, best = MIN_STEP_GAIN, None
        for expert in by_share[:N_HOT_EXPERTS]:
            for change in self._changes(expert, hot, order[:N_COOL_RANKS]):
                gain = self._gain(change)
                if gain > best_gain:
                    best_gain, best = gain, change
        return best

    def _changes(
        self, expert: int, hot: int, cool_ranks: Sequence[int]
    ) -> list[LayerChange]:
        """Return the possible changes that reduce the load of an expert on a rank.

        Parameters
        ----------
        expert : int
            Expert whose load on the rank is to be reduced.
        hot : int
            The most loaded rank, which holds the expert.
        cool_ranks : sequence of int
            Ranks with low load that may load the expert.
        """
        ranks = self._ranks[expert]
        changes: list[LayerChange] = []
        if len(ranks) > 1:
            changes.append([(expert, ranks - {hot})])
        for cool in cool_ranks:
            if cool in ranks or cool == hot or not self._may_load(expert, cool):
                continue
            moved = (ranks - {hot}) | {cool}
            if len(self._held[cool]) < self._n_slots:
                changes.append([(expert, ranks | {cool})])
                changes.append([(expert, moved)])
                continue
            for victim in self._victims(cool, expert):
                left = (victim, self._ranks[victim] - {cool})
                changes.append([(expert, ranks | {cool}), left])
                changes.append([(expert, moved), left])
            exchanged = self._exchange(expert, hot, cool)
            if exchanged is not None:
                changes.append([(expert, moved), exchanged])
        return changes

    def _victims(self, rank: int, kept: int) -> list[int]:
        """Return the expert of a rank whose removal adds least load to other ranks.

        Only experts with further replicas are considered, and not ``kept``. The list
        has one expert or none.
        """
        redundant = [e for e in self._held[rank] if len(self._ranks[e]) > 1]
        redundant = [e for e in redundant if e != kept]
        if not redundant:
            return []
        return [
            min(redundant, key=lambda e: self._loads[e] / (len(self._ranks[e]) - 1))
        ]

    def _exchange(
        self, expert: int, hot: int, cool: int
    ) -> tuple[int, set[int]] | None:
        """Return the replacement of ``expert`` in an exchange between two ranks.

        This is the expert with the smallest replica load on the ``cool`` rank that the
        ``hot`` rank may load.

        Returns
        -------
        tuple of int and set of int, or None
            The other expert with its ranks after the exchange; None if there is none.
        """
        fitting = [
            e
            for e in self._held[cool]
            if hot not in self._ranks[e] and self._may_load(e, hot)
        ]
        if not fitting:
            return None
        other = min(fitting, key=self._share)
        return other, (self._ranks[other] - {cool}) | {hot}

    def _may_load(self, expert: int, rank: int) -> bool:
        """Return whether a rank may load an expert within the limits of the plan.

        An expert that the rank held before the plan needs no weight load.
        """
        if expert in self._held_before[rank]:
            return True
        if self._n_left_by_rank[rank] < 1:
            return False
        return len(self._held[rank] - self._held_before[rank]) < self._n_max_new

    def _share(self, expert: int) -> float:
        """Return the load of each replica of an expert."""
        return self._loads[expert] / len(self._ranks[expert])

    def _gain(self, change: LayerChange) -> float:
        """Return the decrease of the sum of rank loads raised to the power ``NORM``.

        The loads are relative to the mean rank load.
        """
        added: dict[int, float] = {}
        for expert, ranks in change:
            before, after = self._share(expert), self._loads[expert] / len(ranks)
            for rank in self._ranks[expert]:
                added[rank] = added.get(rank, 0.0) - before
            for rank in ranks:
                added[rank] = added.get(rank, 0.0) + after
        gain = 0.0
        for rank, more in added.items():
            load = self._rank_loads[rank]
            gain += (load / self._scale) ** NORM - ((load + more) / self._scale) ** NORM
        return gain

    def _apply(self, expert: int, ranks: set[int]) -> None:
        """Place an expert on the given ranks and count the weight loads for it."""
        before, after = self._share(expert), self._loads[expert] / len(ranks)
        for rank in self._ranks[expert]:
            self._rank_loads[rank] -= before
            self._held[rank].discard(expert)
        for rank in ranks:
            self._rank_loads[rank] += after
            self._held[rank].add(expert)
        for rank in ranks ^ self._ranks[expert]:
            if expert not in self._held_before[rank]:
                self._n_left_by_rank[rank] += -1 if rank in ranks else 1
        self._ranks[expert] = set(ranks)


def count_most_new(n_ranks: int, old: Placement, new: Placement) -> int:
    """Return the largest number of experts that any rank loads for a new placement.

    The loads of a rank are counted over all layers.
    """
    n_new = [0] * n_ranks
    for before, after in zip(old, new, strict=True):
        held_before, held_after = _by_rank(n_ranks, before), _by_rank(n_ranks, after)
        for rank in range(n_ranks):
            n_new[rank] += len(held_after[rank] - held_before[rank])
    return max(n_new)


def _by_rank(n_ranks: int, ranks_by_expert: LayerPlacement) -> list[set[int]]:
    """Return the experts that each rank holds in one layer."""
    held: list[set[int]] = [set() for _ in range(n_ranks)]
    for expert, ranks in enumerate(ranks_by_expert):
        for rank in ranks:
            held[rank].add(expert)
    return held
