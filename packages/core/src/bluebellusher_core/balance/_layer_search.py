"""Search for a few changes of one layer that lower its maximum rank load."""

from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass

from bluebellusher_core.balance._model import GroupShape, LayerPlacement

MAX_LARGE_REPLICAS = 3
"""Maximum number of replicas of large experts that one search adds in steps that do not
lower the cost themselves."""

LARGE_REPLICA_RATIO = 0.5
"""Ratio of the load of a replica to the mean rank load above which the replica is
large."""

MAX_LAYER_LOADS = 24
"""Maximum number of weight loads in one search. It shortens the first plan of a group
without any balance by a third; later plans make the remaining changes."""

MAX_SPREADING_REPLICAS = 2
"""Maximum number of replicas that one search adds only to lower the concentration."""

MIN_SPREADING_RATIO = 1.5
"""Minimum ratio of the load of the largest replica to the load of each replica of the
expert that loses one, after the removal. It prevents two experts of similar load from
alternately taking a slot from each other."""

Updates = tuple[tuple[int, tuple[int, ...]], ...]
"""Changed experts, each with the ranks that hold it after a step."""

MAX_STEPS_WITHOUT_GAIN = 6
"""Number of steps without a lower cost after which a search ends. The number increases
by this value with each added replica of a large expert."""


@dataclass(frozen=True, slots=True)
class SearchStep:
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
    """Search of one layer for steps that reduce the load of the most loaded rank.

    A step moves an expert of the most loaded rank to one of the least loaded ranks, or
    adds a replica of the expert there. The expert goes into a free slot or replaces a
    redundant replica, which takes one weight load, or it is exchanged with another
    expert, which takes two weight loads. The ranks that receive the expert are tried
    from the least loaded one on. For the first one that allows a reduction of the
    maximum rank load, the search takes the step with the largest reduction per weight
    load.

    Two kinds of steps need not reduce that load: up to ``MAX_SPREADING_REPLICAS`` steps
    lower the concentration, and up to ``MAX_LARGE_REPLICAS`` steps add a replica of a
    large expert when no other step is left.

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
        self._mean_rank_load = sum(loads) / shape.n_ranks
        self._concentration_weight = concentration_weight
        self._sum_of_squared_shares = 0.0
        self._shares = [0.0] * shape.n_experts
        self._rank_loads = rank_loads = [0.0] * shape.n_ranks
        self._experts_by_rank: list[set[int]] = [set() for _ in rank_loads]
        for expert, (expert_ranks, load) in enumerate(zip(ranks, loads, strict=True)):
            self._shares[expert] = share = load / len(expert_ranks)
            self._sum_of_squared_shares += load * share
            for rank in expert_ranks:
                rank_loads[rank] += share
                self._experts_by_rank[rank].add(expert)
        self._n_large_replicas = 0
        self._n_spreading_replicas = 0

    def run(self, price: float, max_loads: int) -> list[SearchStep]:
        """Return the steps up to the lowest cost, after one for the current state.

        Parameters
        ----------
        price : float
            Skew that has the same cost as one weight load.
        max_loads : int
            Maximum number of weight loads; ``MAX_LAYER_LOADS`` applies as well.
        """
        steps = [SearchStep((), 0, self.compute_cost())]
        n_best, n_loads = 1, 0
        max_loads = min(max_loads, MAX_LAYER_LOADS)
        while len(steps) - n_best < MAX_STEPS_WITHOUT_GAIN * (
            1 + self._n_large_replicas
        ):
            if 1.0 + price * (n_loads + 1) >= steps[n_best - 1].cost:
                break  # With one more load, even a layer without skew costs more.
            n_step_loads, updates = (
                self._find_spreading_step() or self._find_relief_step()
            )
            n_loads += n_step_loads
            if not updates or n_loads > max_loads:
                break
            self._apply(updates)
            cost = self.compute_cost() + price * n_loads
            steps.append(SearchStep(updates, n_loads, cost))
            if cost < steps[n_best - 1].cost:
                n_best = len(steps)
        return steps[:n_best]

    def compute_cost(self) -> float:
        """Return the skew plus the weighted concentration of the load.

        The concentration is the sum of the squared ratios of the load of each replica
        to the mean rank load. The variance of the rank loads increases with it when the
        load of each expert fluctuates in proportion to its size.
        """
        if not self._mean_rank_load:
            return 1.0
        concentration = (
            self._sum_of_squared_shares / self._mean_rank_load / self._mean_rank_load
        )
        skew = max(self._rank_loads) / self._mean_rank_load
        return skew + self._concentration_weight * concentration

    def _apply(self, updates: Updates) -> None:
        """Apply the changes of a step to the state of the search."""
        rank_loads = self._rank_loads
        for expert, after in updates:
            before, share = self._ranks[expert], self._shares[expert]
            for rank in before:
                rank_loads[rank] -= share
                self._experts_by_rank[rank].discard(expert)
            load = self._loads[expert]
            self._sum_of_squared_shares -= load * share
            share = load / len(after)
            self._sum_of_squared_shares += load * share
            for rank in after:
                rank_loads[rank] += share
                self._experts_by_rank[rank].add(expert)
            self._ranks[expert], self._shares[expert] = after, share

    def _find_spreading_step(self) -> tuple[int, Updates] | None:
        """Return a step that adds a replica of the expert with the largest replicas.

        The new replica goes into a free slot of the least loaded rank that has one.
        Without a free slot it replaces a replica of the expert whose remaining replicas
        are then smallest, if ``MIN_SPREADING_RATIO`` allows it. Returns None when there
        is no such step.
        """
        if (
            self._n_spreading_replicas == MAX_SPREADING_REPLICAS
            or not self._concentration_weight
        ):
            return None
        self._n_spreading_replicas += 1
        shares, ranks, rank_loads = self._shares, self._ranks, self._rank_loads
        expert = max(range(len(shares)), key=shares.__getitem__)
        expert_ranks = ranks[expert]
        candidate_ranks = [r for r in range(len(rank_loads)) if r not in expert_ranks]
        free_ranks = [
            r for r in candidate_ranks if len(self._experts_by_rank[r]) < self._n_slots
        ]
        if free_ranks:
            rank = min(free_ranks, key=rank_loads.__getitem__)
            return 1, ((expert, tuple(sorted((*expert_ranks, rank)))),)
        remaining_shares = [
            (self._loads[e] / (len(r) - 1), e)
            for e, r in enumerate(ranks)
            if len(r) > 1 and e != expert
        ]
        share, evicted = min(remaining_shares, default=(0.0, -1))
        if evicted < 0 or share * MIN_SPREADING_RATIO > shares[expert]:
            return None
        targets = [r for r in ranks[evicted] if r not in expert_ranks]
        if not targets:
            return None
        rank = min(targets, key=rank_loads.__getitem__)
        addition = (expert, tuple(sorted((*expert_ranks, rank))))
        return 1, (addition, (evicted, _remove_rank(ranks[evicted], rank)))

    def _find_relief_step(self) -> tuple[int, Updates]:
        """Return the next step that relieves the most loaded rank.

        Returns
        -------
        tuple of int and Updates
            Number of weight loads, and the changes; empty when there is no step.
        """
        rank_loads = self._rank_loads
        ranks_by_load = sorted(range(len(rank_loads)), key=rank_loads.__getitem__)
        hot_rank = ranks_by_load[-1]
        for cool_rank in ranks_by_load[:-1]:
            half_gap = (self._rank_loads[hot_rank] - self._rank_loads[cool_rank]) / 2
            best_gain, n_loads, best = self._find_single_load_step(hot_rank, cool_rank)
            # An exchange reduces the maximum load by at most half of the difference,
            # which is a quarter of it for each of its two weight loads.
            if best_gain < half_gap / 2:
                gain, updates = self._find_exchange(hot_rank, cool_rank)
                if gain > best_gain:
                    best_gain, n_loads, best = gain, 2, updates
            if best_gain:
                return n_loads, best
        return self._find_large_replica_step(hot_rank, ranks_by_load)

    def _find_large_replica_step(
        self, hot_rank: int, ranks_by_load: list[int]
    ) -> tuple[int, Updates]:
        """Return a step that adds a replica of a large expert of the most loaded rank.

        No single step lowers the cost of such a layer: a rank that receives the replica
        stays above the mean load until later steps have moved its other experts away.
        """
        expert = max(
            self._experts_by_rank[hot_rank], key=lambda e: (self._shares[e], e)
        )
        is_large = self._shares[expert] > LARGE_REPLICA_RATIO * self._mean_rank_load
        if self._n_large_replicas == MAX_LARGE_REPLICAS or not is_large:
            return 0, ()
        self._n_large_replicas += 1
        cool_rank = next(
            (r for r in ranks_by_load if expert not in self._experts_by_rank[r]), None
        )
        if cool_rank is None:
            return 0, ()
        addition = (expert, tuple(sorted((*self._ranks[expert], cool_rank))))
        has_slot, freed = self._find_slot(cool_rank, expert)
        if has_slot:
            return 1, (addition, *freed)
        for other in ranks_by_load:
            movable = self._experts_by_rank[cool_rank] - self._experts_by_rank[other]
            has_slot, freed = self._find_slot(other, expert)
            if has_slot and movable:
                moved = min(movable, key=lambda e: (self._shares[e], e))
                displaced = (moved, _replace_rank(self._ranks[moved], cool_rank, other))
                return 2, (addition, displaced, *freed)
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
        if len(self._experts_by_rank[rank]) < self._n_slots:
            return True, ()
        evicted = self._find_redundant_expert(rank, kept)
        if evicted is None:
            return False, ()
        return True, ((evicted, _remove_rank(self._ranks[evicted], rank)),)

    def _find_exchange(self, hot_rank: int, cool_rank: int) -> tuple[float, Updates]:
        """Return the best exchange of two experts between two ranks.

        Returns
        -------
        tuple of float and Updates
            Reduction of the maximum rank load per weight load, and the changes; 0 and
            empty when no exchange reduces it.
        """
        shares = self._shares
        half_gap = (self._rank_loads[hot_rank] - self._rank_loads[cool_rank]) / 2
        cool_shares = sorted(
            (shares[e], e)
            for e in self._experts_by_rank[cool_rank] - self._experts_by_rank[hot_rank]
        )
        best_error, best = half_gap, (-1, -1)
        for expert in (
            self._experts_by_rank[hot_rank] - self._experts_by_rank[cool_rank]
        ):
            # The higher load of both ranks falls most when the exchange moves half of
            # their difference.
            target_share = shares[expert] - half_gap
            index = bisect(cool_shares, (target_share, -1))
            for share, other in cool_shares[max(0, index - 1) : index + 1]:
                error = abs(share - target_share)
                if error < best_error or (error == best_error and expert < best[0]):
                    best_error, best = error, (expert, other)
        if best[0] < 0:
            return 0.0, ()
        expert, other = best
        updates = (
            (expert, _replace_rank(self._ranks[expert], hot_rank, cool_rank)),
            (other, _replace_rank(self._ranks[other], cool_rank, hot_rank)),
        )
        return (half_gap - best_error) / 2, updates

    def _find_single_load_step(
        self, hot_rank: int, cool_rank: int
    ) -> tuple[float, int, Updates]:
        """Return the best step with one weight load from one rank to another.

        The step moves an expert, or adds a replica of it on the other rank.

        Returns
        -------
        tuple of float, int and Updates
            Reduction of the maximum rank load, number of weight loads, and the changes;
            zeros and empty when no such step reduces it.
        """
        evicted = None
        if len(self._experts_by_rank[cool_rank]) >= self._n_slots:
            evicted = self._find_redundant_expert(cool_rank)
            if evicted is None:
                return 0.0, 0, ()
        hot_load, cool_load, others = self._compute_loads_without(
            evicted, hot_rank, cool_rank
        )
        best, best_expert, is_addition = self._rank_loads[hot_rank], -1, False
        for expert in sorted(
            self._experts_by_rank[hot_rank] - self._experts_by_rank[cool_rank]
        ):
            share, load = self._shares[expert], self._loads[expert]
            share_after_addition = load / (len(self._ranks[expert]) + 1)
            max_after_move = max(hot_load - share, cool_load + share, others)
            max_after_addition = max(
                hot_load - share + share_after_addition,
                cool_load + share_after_addition,
                others,
            )
            if min(max_after_move, max_after_addition) < best:
                best, best_expert = min(max_after_move, max_after_addition), expert
                is_addition = max_after_addition < max_after_move
        if best_expert < 0:
            return 0.0, 0, ()
        expert_ranks = self._ranks[best_expert]
        after = (
            tuple(sorted((*expert_ranks, cool_rank)))
            if is_addition
            else _replace_rank(expert_ranks, hot_rank, cool_rank)
        )
        updates: Updates = ((best_expert, after),)
        if evicted is not None:
            updates = (
                *updates,
                (evicted, _remove_rank(self._ranks[evicted], cool_rank)),
            )
        return self._rank_loads[hot_rank] - best, 1, updates

    def _compute_loads_without(
        self, evicted: int | None, hot_rank: int, cool_rank: int
    ) -> tuple[float, float, float]:
        """Return the rank loads after the removal of a replica from ``cool_rank``.

        Returns
        -------
        tuple of three floats
            Load of ``hot_rank``, load of ``cool_rank``, and highest load of the other
            ranks whose load increases; 0 if there are none.
        """
        rank_loads = self._rank_loads
        hot_load, cool_load = rank_loads[hot_rank], rank_loads[cool_rank]
        if evicted is None:
            return hot_load, cool_load, 0.0
        expert_ranks, share = self._ranks[evicted], self._shares[evicted]
        added = share / (len(expert_ranks) - 1)
        if hot_rank in expert_ranks:
            hot_load += added
        others = [
            rank_loads[r] + added
            for r in expert_ranks
            if r != cool_rank and r != hot_rank
        ]
        return hot_load, cool_load - share, max(others, default=0.0)

    def _find_redundant_expert(self, rank: int, kept: int = -1) -> int | None:
        """Return the expert of a rank whose removal adds least load to other ranks.

        Only experts with further replicas are considered, and not ``kept``. Returns
        None when there is none.
        """
        ranks, shares = self._ranks, self._shares
        added = [
            (shares[e] / (len(ranks[e]) - 1), e)
            for e in self._experts_by_rank[rank]
            if len(ranks[e]) > 1 and e != kept
        ]
        return min(added)[1] if added else None


def _remove_rank(ranks: tuple[int, ...], old: int) -> tuple[int, ...]:
    """Return the ranks without one of them."""
    return tuple(rank for rank in ranks if rank != old)


def _replace_rank(ranks: tuple[int, ...], old: int, new: int) -> tuple[int, ...]:
    """Return the sorted ranks with one of them replaced by another."""
    return tuple(sorted(new if rank == old else rank for rank in ranks))
