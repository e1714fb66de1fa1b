"""Search for a few changes of one layer that lower its maximum rank load."""

from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass

from bluebellusher_core.balance._model import GroupShape, LayerPlacement

MAX_LARGE_COPIES = 3
"""Maximum number of replicas of large experts that one search adds although the step
itself does not lower the cost."""

LARGE_SHARE = 0.5
"""Ratio of the load of a replica to the mean rank load above which the replica is
large."""

MAX_LAYER_LOADS = 24
"""Maximum number of weight loads in one search. It shortens the first plan of a group
without any balance by a third; later plans make the remaining changes."""

MAX_SPLITS = 2
"""Maximum number of replicas that one search adds only to lower the concentration."""

MIN_SPLIT_RATIO = 1.5
"""Minimum ratio of the load of the largest replica to the load of each replica of the
expert that loses one, after the removal. It prevents two experts of similar load from
alternately taking a slot from each other."""

Updates = tuple[tuple[int, tuple[int, ...]], ...]
"""Changed experts, each with the ranks that hold it after a step."""

MAX_IDLE_STEPS = 6
"""Number of steps without a lower cost after which a search ends. The number increases
by this value with each added replica of a large expert."""


@dataclass(frozen=True, slots=True)
class Step:
    """Step of a search and the state of the layer after it.

    Parameters
    ----------
    updates : Updates
        The changes of this step.
    n_loads : int
        Upper bound of the weight loads of this and all previous steps together.
    cost : float
        Cost of the layer after this step, including the price of ``n_loads``.
    """

    updates: Updates
    n_loads: int
    cost: float


class LayerSearch:
    """Search of one layer in steps that each reduce the load of the most loaded rank.

    A step moves an expert of the most loaded rank to one of the least loaded ranks, or
    adds a replica of the expert there. The expert goes into a free slot or replaces a
    redundant replica, which takes one weight load, or it is exchanged with another
    expert, which takes two weight loads. The search takes the step with the largest
    reduction of the maximum rank load per weight load.

    Parameters
    ----------
    shape : GroupShape
        Sizes of the group.
    ranks : LayerPlacement
        Current placement of the layer.
    loads : sequence of float
        Load of each expert of the layer.
    concentration_weight : float
        Skew that has the same cost as one unit of concentration.
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
        """Return the steps up to the lowest cost, after one for the current state.

        Parameters
        ----------
        price : float
            Skew that has the same cost as one weight load.
        max_loads : int
            Maximum number of weight loads; ``MAX_LAYER_LOADS`` applies as well.
        """
        steps = [Step((), 0, self.compute_cost())]
        n_best, n_loads = 1, 0
        max_loads = min(max_loads, MAX_LAYER_LOADS)
        while len(steps) - n_best < MAX_IDLE_STEPS * (1 + self._n_copies):
            if 1.0 + price * (n_loads + 1) >= steps[n_best - 1].cost:
                break  # With one more load, even a layer without skew costs more.
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

        The concentration is the sum of the squared ratios of the load of each replica
        to the mean rank load. The variance of the rank loads increases with it when the
        load of each expert fluctuates in proportion to its size.
        """
        if not self._mean:
            return 1.0
        concentration = self._squares / self._mean / self._mean
        skew = max(self._rank_loads) / self._mean
        return skew + self._concentration_weight * concentration

    def _change(self, updates: Updates) -> None:
        """Apply the changes of a step to the state of the search."""
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
        """Return a step that adds a replica of the expert with the largest replicas.

        The new replica goes into a free slot of the least loaded rank that has one.
        Without a free slot it replaces a replica of the expert whose remaining replicas
        are then smallest, if ``MIN_SPLIT_RATIO`` allows it. Returns None when there is
        no such step.
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
        """Return the next step that relieves the most loaded rank.

        Returns
        -------
        tuple of int and Updates
            Number of weight loads, and the changes; empty when there is no step.
        """
        rank_loads = self._rank_loads
        order = sorted(range(len(rank_loads)), key=rank_loads.__getitem__)
        hot = order[-1]
        for cool in order[:-1]:
            half = (self._rank_loads[hot] - self._rank_loads[cool]) / 2
            best_gain, n_loads, best = self._find_load(hot, cool)
            # An exchange reduces the maximum load by at most half of the difference,
            # which is a quarter of it for each of its two weight loads.
            if best_gain < half / 2:
                gain, updates = self._find_exchange(hot, cool)
                if gain > best_gain:
                    best_gain, n_loads, best = gain, 2, updates
            if best_gain:
                return n_loads, best
        return self._find_copy_of_large(hot, order)

    def _find_copy_of_large(self, hot: int, order: list[int]) -> tuple[int, Updates]:
        """Return a step that adds a replica of a large expert of the most loaded rank.

        No single step lowers the cost of such a layer: a rank that receives the replica
        stays above the mean load until later steps have moved its other experts away.
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
        """Return whether a rank can load an expert, and the removal that this needs.

        Parameters
        ----------
        rank : int
            Rank that is to load an expert.
        kept : int
            Expert that must not be removed.
        """
        if len(self._held[rank]) < self._n_slots:
            return True, ()
        victim = self._find_redundant(rank, kept)
        if victim is None:
            return False, ()
        return True, ((victim, _remove(self._ranks[victim], rank)),)

    def _find_exchange(self, hot: int, cool: int) -> tuple[float, Updates]:
        """Return the best exchange of two experts between two ranks.

        Returns
        -------
        tuple of float and Updates
            Reduction of the maximum rank load per weight load, and the changes; 0 and
            empty when no exchange reduces it.
        """
        shares = self._shares
        half = (self._rank_loads[hot] - self._rank_loads[cool]) / 2
        theirs = sorted((shares[e], e) for e in self._held[cool] - self._held[hot])
        best_error, best = half, (-1, -1)
        for expert in self._held[hot] - self._held[cool]:
            # The higher load of both ranks falls most when the exchange moves half of
            # their difference.
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
        """Return the best step with one weight load from one rank to another.

        The step moves an expert, or adds a replica of it on the other rank.

        Returns
        -------
        tuple of float, int and Updates
            Reduction of the maximum rank load, number of weight loads, and the changes;
            zeros and empty when no such step reduces it.
        """
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
        """Return the rank loads after the removal of a replica from the ``cool`` rank.

        Returns
        -------
        tuple of three floats
            Load of the ``hot`` rank, load of the ``cool`` rank, and highest load of the
            other ranks whose load increases; 0 if there are none.
        """
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
        """Return the expert of a rank whose removal adds least load to other ranks.

        Only experts with further replicas are considered, and not ``kept``. Returns
        None when there is none.
        """
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
