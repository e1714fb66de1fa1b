"""Search for few changes of one layer that lower its maximum rank load."""

from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass

from bluebellusher_core.balance._model import GroupShape, LayerPlacement

MAX_LARGE_COPIES = 3
"""Copies of large experts in one search that no gain of a single step justifies."""

LARGE_SHARE = 0.5
"""Part of the mean rank load from which a replica counts as large."""

MAX_LAYER_LOADS = 24
"""Expert loads of one search. The first plan of a group without any balance takes a
third less time than without this limit, and the next plans do the rest."""

MAX_SPLITS = 2
"""Copies in one search that only lower the concentration."""

MIN_SPLIT_RATIO = 1.5
"""Ratio of the largest share to the share that a removal leaves, for a copy. It keeps
two experts of similar load from taking the slot of each other in turn."""

Updates = tuple[tuple[int, tuple[int, ...]], ...]
"""Experts and the ranks that hold them after a step."""

MAX_IDLE_STEPS = 6
"""Steps without a better result after which a search ends."""


@dataclass(frozen=True, slots=True)
class Step:
    """Part of a search result.

    Parameters
    ----------
    updates : Updates
        The changes of this step.
    n_loads : int
        Expert loads of this step and all steps before it, at most.
    cost : float
        Weighted cost of the layer after this step.
    """

    updates: Updates
    n_loads: int
    cost: float


class LayerSearch:
    """Steps that each relieve the rank with the highest load.

    A step moves or copies an expert of the hottest rank to one of the coolest ranks,
    into a free slot or in place of a redundant replica (one load), or exchanges two
    experts (two loads). The step with the largest gain for each load is taken.
    """

    def __init__(
        self,
        shape: GroupShape,
        ranks: LayerPlacement,
        loads: Sequence[float],
        concentration_weight: float = 0.0,
    ) -> None:
        self._n_slots = shape.n_slots
        self._ranks = list(ranks)
        self._loads = loads
        self._mean = sum(loads) / shape.n_ranks
        self._concentration_weight = concentration_weight
        self._squares = 0.0
        self._shares = [0.0] * shape.n_experts
        self._rank_loads = rank_loads = [0.0] * shape.n_ranks
        self._held: list[set[int]] = [set() for _ in rank_loads]
        for expert, (held, load) in enumerate(zip(ranks, loads, strict=True)):
            self._shares[expert] = share = load / len(held)
            self._squares += load * share
            for rank in held:
                rank_loads[rank] += share
                self._held[rank].add(expert)
        self._n_copies = 0
        self._n_splits = 0

    def run(self, price: float, max_loads: int) -> list[Step]:
        """Return the state in force as a step, and the steps up to the lowest cost.

        Parameters
        ----------
        price : float
            Skew that one expert load counts as.
        max_loads : int
            Limit of expert loads, besides ``MAX_LAYER_LOADS``.
        """
        steps = [Step((), 0, self.compute_cost())]
        n_best, n_loads = 1, 0
        max_loads = min(max_loads, MAX_LAYER_LOADS)
        while len(steps) - n_best < MAX_IDLE_STEPS * (1 + self._n_copies):
            if 1.0 + price * (n_loads + 1) >= steps[n_best - 1].cost:
                break  # Even a layer without skew would cost more.
            n_more, updates = self._find_split() or self._find_step()
            n_loads += n_more
            if not updates or n_loads > max_loads:
                break
            self._change(updates)
            cost = self.compute_cost() + price * n_loads
            steps.append(Step(updates, n_loads, cost))
            if cost < steps[n_best - 1].cost:
                n_best = len(steps)
        return steps[:n_best]

    def compute_cost(self) -> float:
        """Return the skew plus the weighted concentration of the load.

        The concentration is the sum of the squared loads of all replicas, each as a
        part of the mean rank load. The variance of a rank load grows with it when the
        load of each expert changes in proportion.
        """
        if not self._mean:
            return 1.0
        concentration = self._squares / self._mean / self._mean
        skew = max(self._rank_loads) / self._mean
        return skew + self._concentration_weight * concentration

    def _change(self, updates: Updates) -> None:
        rank_loads = self._rank_loads
        for expert, after in updates:
            before, share = self._ranks[expert], self._shares[expert]
            for rank in before:
                rank_loads[rank] -= share
                self._held[rank].discard(expert)
            load = self._loads[expert]
            self._squares -= load * share
            share = load / len(after)
            self._squares += load * share
            for rank in after:
                rank_loads[rank] += share
                self._held[rank].add(expert)
            self._ranks[expert], self._shares[expert] = after, share

    def _find_split(self) -> tuple[int, Updates] | None:
        """Return a copy of the expert with the largest replicas to a coolest rank.

        It takes a free slot or that of the replica whose removal leaves the smallest
        replicas, if these are clearly smaller.
        """
        if self._n_splits == MAX_SPLITS or not self._concentration_weight:
            return None
        self._n_splits += 1
        shares, ranks, rank_loads = self._shares, self._ranks, self._rank_loads
        expert = max(range(len(shares)), key=shares.__getitem__)
        held = ranks[expert]
        fitting = [r for r in range(len(rank_loads)) if r not in held]
        free = [r for r in fitting if len(self._held[r]) < self._n_slots]
        if free:
            rank = min(free, key=rank_loads.__getitem__)
            return 1, ((expert, tuple(sorted((*held, rank)))),)
        left = [
            (self._loads[e] / (len(r) - 1), e)
            for e, r in enumerate(ranks)
            if len(r) > 1 and e != expert
        ]
        share, victim = min(left, default=(0.0, -1))
        if victim < 0 or share * MIN_SPLIT_RATIO > shares[expert]:
            return None
        targets = [r for r in ranks[victim] if r not in held]
        if not targets:
            return None
        rank = min(targets, key=rank_loads.__getitem__)
        copy = (expert, tuple(sorted((*held, rank))))
        return 1, (copy, (victim, _remove(ranks[victim], rank)))

    def _find_step(self) -> tuple[int, Updates]:
        rank_loads = self._rank_loads
        order = sorted(range(len(rank_loads)), key=rank_loads.__getitem__)
        hot = order[-1]
        for cool in order[:-1]:
            half = (self._rank_loads[hot] - self._rank_loads[cool]) / 2
            best_gain, n_loads, best = self._find_load(hot, cool)
            # An exchange gains at most half of the gap for its two loads.
            if best_gain < half / 2:
                gain, updates = self._find_exchange(hot, cool)
                if gain > best_gain:
                    best_gain, n_loads, best = gain, 2, updates
            if best_gain:
                return n_loads, best
        return self._find_copy_of_large(hot, order)

    def _find_copy_of_large(self, hot: int, order: list[int]) -> tuple[int, Updates]:
        """Return a copy of a large expert of the hot rank.

        No single step helps such a layer: each rank that gets a replica is above the
        mean until later steps have relieved it of its other experts.
        """
        expert = max(self._held[hot], key=lambda e: (self._shares[e], e))
        is_large = self._shares[expert] > LARGE_SHARE * self._mean
        if self._n_copies == MAX_LARGE_COPIES or not is_large:
            return 0, ()
        self._n_copies += 1
        cool = next((r for r in order if expert not in self._held[r]), None)
        if cool is None:
            return 0, ()
        copy = (expert, tuple(sorted((*self._ranks[expert], cool))))
        has_slot, freed = self._find_slot(cool, expert)
        if has_slot:
            return 1, (copy, *freed)
        for other in order:
            movable = self._held[cool] - self._held[other]
            has_slot, freed = self._find_slot(other, expert)
            if has_slot and movable:
                moved = min(movable, key=lambda e: (self._shares[e], e))
                room = (moved, _replace(self._ranks[moved], cool, other))
                return 2, (copy, room, *freed)
        return 0, ()

    def _find_slot(self, rank: int, kept: int) -> tuple[bool, Updates]:
        """Return whether a rank can take an expert, and the removal that it needs."""
        if len(self._held[rank]) < self._n_slots:
            return True, ()
        victim = self._find_redundant(rank, kept)
        if victim is None:
            return False, ()
        return True, ((victim, _remove(self._ranks[victim], rank)),)

    def _find_exchange(self, hot: int, cool: int) -> tuple[float, Updates]:
        """Return the gain for each of two loads, and the changes."""
        shares = self._shares
        half = (self._rank_loads[hot] - self._rank_loads[cool]) / 2
        theirs = sorted((shares[e], e) for e in self._held[cool] - self._held[hot])
        best_error, best = half, (-1, -1)
        for expert in self._held[hot] - self._held[cool]:
            # The maximum of both ranks falls most when half of the gap is exchanged.
            wanted = shares[expert] - half
            at = bisect(theirs, (wanted, -1))
            for share, other in theirs[max(0, at - 1) : at + 1]:
                error = abs(share - wanted)
                if error < best_error or (error == best_error and expert < best[0]):
                    best_error, best = error, (expert, other)
        if best[0] < 0:
            return 0.0, ()
        expert, other = best
        updates = (
            (expert, _replace(self._ranks[expert], hot, cool)),
            (other, _replace(self._ranks[other], cool, hot)),
        )
        return (half - best_error) / 2, updates

    def _find_load(self, hot: int, cool: int) -> tuple[float, int, Updates]:
        """Return the best copy or move of an expert of the hot rank."""
        victim = None
        if len(self._held[cool]) >= self._n_slots:
            victim = self._find_redundant(cool)
            if victim is None:
                return 0.0, 0, ()
        hot_base, cool_base, others = self._loads_without(victim, hot, cool)
        best, best_expert, is_copy = self._rank_loads[hot], -1, False
        for expert in sorted(self._held[hot] - self._held[cool]):
            share, load = self._shares[expert], self._loads[expert]
            copied = load / (len(self._ranks[expert]) + 1)
            after_move = max(hot_base - share, cool_base + share, others)
            after_copy = max(hot_base - share + copied, cool_base + copied, others)
            if min(after_move, after_copy) < best:
                best, best_expert = min(after_move, after_copy), expert
                is_copy = after_copy < after_move
        if best_expert < 0:
            return 0.0, 0, ()
        held = self._ranks[best_expert]
        after = tuple(sorted((*held, cool))) if is_copy else _replace(held, hot, cool)
        updates: Updates = ((best_expert, after),)
        if victim is not None:
            updates = (*updates, (victim, _remove(self._ranks[victim], cool)))
        return self._rank_loads[hot] - best, 1, updates

    def _loads_without(
        self, victim: int | None, hot: int, cool: int
    ) -> tuple[float, float, float]:
        """Return the loads of both ranks and the highest other load that rises."""
        rank_loads = self._rank_loads
        hot_load, cool_load = rank_loads[hot], rank_loads[cool]
        if victim is None:
            return hot_load, cool_load, 0.0
        held, share = self._ranks[victim], self._shares[victim]
        added = share / (len(held) - 1)
        if hot in held:
            hot_load += added
        others = [rank_loads[r] + added for r in held if r != cool and r != hot]
        return hot_load, cool_load - share, max(others, default=0.0)

    def _find_redundant(self, rank: int, kept: int = -1) -> int | None:
        ranks, shares = self._ranks, self._shares
        added = [
            (shares[e] / (len(ranks[e]) - 1), e)
            for e in self._held[rank]
            if len(ranks[e]) > 1 and e != kept
        ]
        return min(added)[1] if added else None


def _remove(ranks: tuple[int, ...], old: int) -> tuple[int, ...]:
    return tuple(rank for rank in ranks if rank != old)


def _replace(ranks: tuple[int, ...], old: int, new: int) -> tuple[int, ...]:
    return tuple(sorted(new if rank == old else rank for rank in ranks))
