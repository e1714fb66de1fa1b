"""Search for few changes of one layer that lower its maximum rank load."""

from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass

from bluebellusher_core.balance._model import (
    GroupShape,
    LayerPlacement,
    compute_rank_loads,
)

MAX_LARGE_COPIES = 3
"""Copies in one search of experts that alone exceed the mean rank load."""

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
        self, shape: GroupShape, ranks: LayerPlacement, loads: Sequence[float]
    ) -> None:
        self._n_slots = shape.n_slots
        self._ranks = list(ranks)
        self._loads = loads
        self._shares = [x / len(r) for x, r in zip(loads, ranks, strict=True)]
        self._rank_loads = compute_rank_loads(shape.n_ranks, ranks, loads)
        self._held: list[set[int]] = [set() for _ in range(shape.n_ranks)]
        for expert, held in enumerate(ranks):
            for rank in held:
                self._held[rank].add(expert)
        self._n_copies = 0
        self._mean = sum(self._rank_loads) / shape.n_ranks

    def run(self, price: float, max_loads: int) -> list[Step]:
        """Return the state in force as a step, and the steps up to the lowest cost.

        Parameters
        ----------
        price : float
            Skew that one expert load counts as.
        max_loads : int
            Limit of expert loads.
        """
        steps = [Step((), 0, self._skew())]
        n_best, n_loads = 1, 0
        while len(steps) - n_best < MAX_IDLE_STEPS * (1 + self._n_copies):
            if 1.0 + price * (n_loads + 1) >= steps[n_best - 1].cost:
                break  # Even a layer without skew would cost more.
            n_more, updates = self._find_step()
            n_loads += n_more
            if not updates or n_loads > max_loads:
                break
            self._change(updates)
            cost = self._skew() + price * n_loads
            steps.append(Step(updates, n_loads, cost))
            if cost < steps[n_best - 1].cost:
                n_best = len(steps)
        return steps[:n_best]

    def _skew(self) -> float:
        return max(self._rank_loads) / self._mean if self._mean else 1.0

    def _change(self, updates: Updates) -> None:
        rank_loads = self._rank_loads
        for expert, after in updates:
            before, share = self._ranks[expert], self._shares[expert]
            for rank in before:
                rank_loads[rank] -= share
                self._held[rank].discard(expert)
            share = self._loads[expert] / len(after)
            for rank in after:
                rank_loads[rank] += share
                self._held[rank].add(expert)
            self._ranks[expert], self._shares[expert] = after, share

    def _find_step(self) -> tuple[int, Updates]:
        rank_loads = self._rank_loads
        order = sorted(range(len(rank_loads)), key=rank_loads.__getitem__)
        hot = order[-1]
        best_gain = 0.0
        best_step: tuple[int, Updates] = (0, ())
        for cool in order[:-1]:
            if best_gain:
                break
            for gain, n_loads, updates in (
                self._find_load(hot, cool),
                self._find_exchange(hot, cool),
            ):
                if gain > best_gain:
                    best_gain, best_step = gain, (n_loads, updates)
        return best_step if best_gain else self._find_copy_of_large(hot, order)

    def _find_copy_of_large(self, hot: int, order: list[int]) -> tuple[int, Updates]:
        """Return a copy of an expert that alone exceeds the mean rank load.

        No single step helps such a layer: each rank that gets a replica is above the
        mean until later steps have relieved it of its other experts.
        """
        expert = max(self._held[hot], key=lambda e: (self._shares[e], e))
        if self._n_copies == MAX_LARGE_COPIES or self._shares[expert] <= self._mean:
            return 0, ()
        self._n_copies += 1
        cool = next((r for r in order if expert not in self._held[r]), None)
        if cool is None:
            return 0, ()
        copy = (expert, tuple(sorted((*self._ranks[expert], cool))))
        if len(self._held[cool]) < self._n_slots:
            return 1, (copy,)
        victim = self._find_redundant(cool)
        if victim is not None:
            return 1, (copy, (victim, _remove(self._ranks[victim], cool)))
        for other in order:
            movable = self._held[cool] - self._held[other]
            if len(self._held[other]) < self._n_slots and movable:
                moved = min(movable, key=lambda e: (self._shares[e], e))
                room = (moved, _replace(self._ranks[moved], cool, other))
                return 2, (copy, room)
        return 0, ()

    def _find_exchange(self, hot: int, cool: int) -> tuple[float, int, Updates]:
        """Return the gain for each load, the loads and the changes."""
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
            return 0.0, 0, ()
        expert, other = best
        updates = (
            (expert, _replace(self._ranks[expert], hot, cool)),
            (other, _replace(self._ranks[other], cool, hot)),
        )
        return (half - best_error) / 2, 2, updates

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

    def _find_redundant(self, rank: int) -> int | None:
        ranks, shares = self._ranks, self._shares
        added = [
            (shares[e] / (len(ranks[e]) - 1), e)
            for e in self._held[rank]
            if len(ranks[e]) > 1
        ]
        return min(added)[1] if added else None


def _remove(ranks: tuple[int, ...], old: int) -> tuple[int, ...]:
    return tuple(rank for rank in ranks if rank != old)


def _replace(ranks: tuple[int, ...], old: int, new: int) -> tuple[int, ...]:
    return tuple(sorted(new if rank == old else rank for rank in ranks))
