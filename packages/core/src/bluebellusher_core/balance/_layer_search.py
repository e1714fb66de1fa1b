"""Search for few changes of one layer that lower its maximum rank load."""

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

N_COOLEST_RANKS = 2
"""Ranks that are tried as the target of a step; more of them cost time and gave no
lower skew in the measurement."""

MAX_IDLE_STEPS = 12
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
        while len(steps) - n_best < MAX_IDLE_STEPS:
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
        for n_tried, cool in enumerate(order[:-1]):
            if n_tried >= N_COOLEST_RANKS and best_gain:
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
        gap = self._rank_loads[hot] - self._rank_loads[cool]
        ours = self._held[hot] - self._held[cool]
        theirs = [(shares[e], e) for e in self._held[cool] - self._held[hot]]
        half = gap / 2
        # The maximum of both ranks falls most when half of the gap is exchanged.
        pairs = [
            (abs(shares[e] - share - half), e, other)
            for e in ours
            for share, other in theirs
        ]
        if not pairs:
            return 0.0, 0, ()
        error, expert, other = min(pairs)
        updates = (
            (expert, _replace(self._ranks[expert], hot, cool)),
            (other, _replace(self._ranks[other], cool, hot)),
        )
        return (half - error) / 2, 2, updates

    def _find_load(self, hot: int, cool: int) -> tuple[float, int, Updates]:
        """Return the best copy or move of an expert of the hot rank."""
        victim = None
        if len(self._held[cool]) >= self._n_slots:
            victim = self._find_redundant(cool)
            if victim is None:
                return 0.0, 0, ()
        best_gain = 0.0
        result: Updates = ()
        for expert in sorted(self._held[hot] - self._held[cool]):
            held = self._ranks[expert]
            for after in (_replace(held, hot, cool), tuple(sorted((*held, cool)))):
                gain = self._gain_of_load(hot, cool, expert, len(after), victim)
                if gain > best_gain:
                    best_gain, result = gain, ((expert, after),)
        if result and victim is not None:
            left = _remove(self._ranks[victim], cool)
            result = (*result, (victim, left))
        return best_gain, 1, result

    def _find_redundant(self, rank: int) -> int | None:
        ranks, shares = self._ranks, self._shares
        added = [
            (shares[e] / (len(ranks[e]) - 1), e)
            for e in self._held[rank]
            if len(ranks[e]) > 1
        ]
        return min(added)[1] if added else None

    def _gain_of_load(
        self, hot: int, cool: int, expert: int, n_after: int, victim: int | None
    ) -> float:
        rank_loads, share = self._rank_loads, self._shares[expert]
        top = rank_loads[hot]
        if n_after == len(self._ranks[expert]):
            given, taken = share, share
        else:
            taken = self._loads[expert] / n_after
            given = share - taken
        hot_load, cool_load = top - given, rank_loads[cool] + taken
        if victim is None:
            return top - max(hot_load, cool_load)
        held = self._ranks[victim]
        cool_load -= self._shares[victim]
        added = self._shares[victim] / (len(held) - 1)
        if hot in held:
            hot_load += added
        others = [rank_loads[r] + added for r in held if r != cool and r != hot]
        return top - max(hot_load, cool_load, *others)


def _remove(ranks: tuple[int, ...], old: int) -> tuple[int, ...]:
    return tuple(rank for rank in ranks if rank != old)


def _replace(ranks: tuple[int, ...], old: int, new: int) -> tuple[int, ...]:
    return tuple(sorted(new if rank == old else rank for rank in ranks))
