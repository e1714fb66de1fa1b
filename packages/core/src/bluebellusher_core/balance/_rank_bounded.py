"""Placement with a bound on what each rank loads."""

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

# Raising rank loads to this power before adding them up makes the highest one count
# most while a smaller relief still shows.
NORM = 4
# Candidates that one step of the search looks at.
N_HOT_EXPERTS = 6
N_COOL_RANKS = 5
MAX_STEPS = 80
MIN_STEP_GAIN = 1e-3
# Bounds on the loads of a rank for which plans are compared.
LOADS_PER_RANK = (1, 2, 3, 4, 6, 9)
# What plans reach at best, as experts cannot be divided at will.
LEAST_SKEW = 1.04
# Orders and a held step cost about as much time as plans that save less.
MIN_GAIN_MS = 200.0

LayerChange = list[tuple[int, set[int]]]
"""Experts of a layer and the ranks that hold them after a step."""


@dataclass(frozen=True, slots=True)
class ChangeCost:
    """What a change of the map costs and for how long it helps.

    Parameters
    ----------
    load_ms : float
        Time in which a rank loads one expert.
    fixed_ms : float
        Time between a plan and its map, beside the loads.
    slowdown : float
        Relative increase of the duration of a pass while experts are loaded.
    expert_share : float
        Share of a pass that grows with the skew.
    horizon_ms : float
        Time for which the loads are expected to hold.
    copy_ms : float
        Time that a change has to save for each expert that any rank loads.
    """

    load_ms: float
    fixed_ms: float
    slowdown: float
    expert_share: float
    horizon_ms: float
    copy_ms: float = 0.0

    def can_gain(self, skew: float) -> bool:
        """Return whether a map with the least skew saves more than two loads cost."""
        return self.gain_ms(skew, LEAST_SKEW, 2, 1) > MIN_GAIN_MS

    def gain_ms(
        self, old_skew: float, new_skew: float, n_most_loads: int, n_loads: int = 0
    ) -> float:
        """Return the time saved within the horizon, less what the change costs.

        Parameters
        ----------
        old_skew, new_skew : float
            Mean skew before and after the change.
        n_most_loads : int
            Loads of the rank that has most of them; it decides how long they take.
        n_loads : int
            Loads of all ranks, whose bytes have a price.
        """
        load_ms = n_most_loads * self.load_ms
        saved = self.expert_share * (old_skew - new_skew)
        duration = 1 + self.expert_share * (old_skew - 1)
        useful_ms = max(0.0, self.horizon_ms - self.fixed_ms - load_ms)
        cost_ms = self.slowdown * duration * load_ms + self.copy_ms * n_loads
        return saved * useful_ms - cost_ms


class RankBoundedPlanner:
    """Relieve the hottest rank step by step, with few loads on each rank.

    Load pattern: popularity that changes every few seconds, and counts that are
    samples of it. Ranks load experts side by side, so that the rank with most loads
    decides how long a change takes; a search is made for each bound on the loads of a
    rank. Its steps come in the order of what they relieve, and the plan ends where
    further loads save less than they cost. After a sudden change that is a small plan,
    because the few experts that became popular matter most; the next plan does the
    rest.

    Parameters
    ----------
    shape : GroupShape
        Sizes of the group.
    cost : ChangeCost
        Weighs the skew that is saved against the loads.
    n_max_new : int
        Experts of one layer that a plan may add to a rank.
    """

    def __init__(self, shape: GroupShape, cost: ChangeCost, n_max_new: int) -> None:
        self._shape = shape
        self._cost = cost
        self._n_max_new = n_max_new
        self._loads: Loads = ()

    def observe(self, loads: Loads) -> None:
        """Take the loads of the last interval."""
        validate_loads(self._shape, loads)
        self._loads = loads

    def plan(
        self, placement: Placement, conditions: Conditions, random_state: Random
    ) -> Plan:
        """Return the plan that saves most time, or an empty one."""
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
        """Return the best gain with ``n_max_loads`` loads on each rank, and its map."""
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
            # The layer that delays a pass most goes first.
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
        """Return the mean skew of the layers, which a pass goes through in turn."""
        skews = [
            compute_skew(compute_rank_loads(self._shape.n_ranks, ranks, loads))
            for ranks, loads in zip(placement, self._loads, strict=True)
        ]
        return sum(skews) / len(skews)


def _apply_changes(
    placement: Placement, changes: Sequence[tuple[int, LayerChange]]
) -> Placement:
    """Return the placement after changes of layers, given by their index."""
    layers = [list(ranks_by_expert) for ranks_by_expert in placement]
    for index, change in changes:
        for expert, ranks in change:
            layers[index][expert] = tuple(sorted(ranks))
    return tuple(tuple(layer) for layer in layers)


class LayerBalancer:
    """Search of one layer; see ``RankBoundedPlanner``."""

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
        """Return the maximum over the mean of the rank loads."""
        return max(self._rank_loads) / self._scale

    def step(self) -> LayerChange | None:
        """Take the step that helps most and return it, or None when there is none."""
        change = self._find_best() if self._n_steps < MAX_STEPS else None
        if change is None:
            return None
        self._n_steps += 1
        for expert, ranks in change:
            self._apply(expert, ranks)
        return change

    def _find_best(self) -> LayerChange | None:
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
        """Return the replica of a rank that costs the others least to take over."""
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
        """Return the lightest expert of a cool rank in exchange for a hot one."""
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
        if expert in self._held_before[rank]:
            return True
        if self._n_left_by_rank[rank] < 1:
            return False
        return len(self._held[rank] - self._held_before[rank]) < self._n_max_new

    def _share(self, expert: int) -> float:
        return self._loads[expert] / len(self._ranks[expert])

    def _gain(self, change: LayerChange) -> float:
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
    """Return the largest number of experts that one rank has to load."""
    n_new = [0] * n_ranks
    for before, after in zip(old, new, strict=True):
        held_before, held_after = _by_rank(n_ranks, before), _by_rank(n_ranks, after)
        for rank in range(n_ranks):
            n_new[rank] += len(held_after[rank] - held_before[rank])
    return max(n_new)


def _by_rank(n_ranks: int, ranks_by_expert: LayerPlacement) -> list[set[int]]:
    held: list[set[int]] = [set() for _ in range(n_ranks)]
    for expert, ranks in enumerate(ranks_by_expert):
        for rank in ranks:
            held[rank].add(expert)
    return held
