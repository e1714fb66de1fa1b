"""Baseline placement policies that other policies are compared with."""

from collections.abc import Sequence
from heapq import heapify, heappop, heappush
from random import Random

from bluebellusher_core.balance._limits import MoveBudget, MoveLimiter
from bluebellusher_core.balance._model import (
    GroupShape,
    LayerPlacement,
    Loads,
    Move,
    Placement,
    compute_moves,
    validate_loads,
)
from bluebellusher_core.balance._protocol import Conditions, Plan


class NoRebalancing:
    """Baseline policy that never changes the placement."""

    def __init__(self, shape: GroupShape, budget: MoveBudget) -> None:
        self._shape = shape

    def observe(self, loads: Loads) -> None:
        """Validate the loads and ignore them."""
        validate_loads(self._shape, loads)

    def plan(
        self, placement: Placement, conditions: Conditions, random_state: Random
    ) -> Plan:
        """Return a plan that keeps the current placement."""
        return Plan(placement)


class FullResolve:
    """Baseline policy that solves every layer from scratch.

    It uses the loads of the last interval only. Each replica is assigned in turn to the
    expert with the highest load per replica. Then the replicas are packed in descending
    order of load, each on the least loaded rank with a free slot [1]_. A layer whose
    moves exceed the budget keeps its placement.

    Parameters
    ----------
    shape : GroupShape
        Sizes of the group.
    budget : MoveBudget
        Limits of one plan.
    is_relabelled : bool
        Whether each packed set of experts is assigned to the rank that already holds
        most of them, which saves moves without changing the skew.

    References
    ----------
    .. [1] R. L. Graham, "Bounds on multiprocessing timing anomalies", 1969.
    """

    def __init__(
        self, shape: GroupShape, budget: MoveBudget, is_relabelled: bool = False
    ) -> None:
        self._shape = shape
        self._limiter = MoveLimiter(budget, shape.n_expert_bytes)
        self._is_relabelled = is_relabelled
        self._loads: Loads | None = None

    def observe(self, loads: Loads) -> None:
        """Store the loads of the last interval for the next plan."""
        validate_loads(self._shape, loads)
        self._loads = loads

    def plan(
        self, placement: Placement, conditions: Conditions, random_state: Random
    ) -> Plan:
        """Return a plan that solves as many layers as the budget allows.

        The layers are tried in random order.
        """
        max_loads = self._limiter.compute_max_loads(conditions)
        if self._loads is None or max_loads == 0:
            return Plan(placement)
        layers = list(placement)
        moves: list[Move] = []
        n_remaining_loads = max_loads
        for layer in random_state.sample(range(len(layers)), len(layers)):
            solved_layer = self._solve_layer(self._loads[layer], placement[layer])
            candidate = (*layers[:layer], solved_layer, *layers[layer + 1 :])
            layer_moves = compute_moves(self._shape, placement, candidate, [layer])
            n_loads = sum(1 for move in layer_moves if move.to_rank is not None)
            if n_loads <= n_remaining_loads:
                n_remaining_loads -= n_loads
                layers[layer] = solved_layer
                moves += layer_moves
        plan = Plan(tuple(layers), tuple(moves))
        self._limiter.consume(plan.n_bytes)
        return plan

    def _solve_layer(
        self, loads: Sequence[float], current: LayerPlacement
    ) -> LayerPlacement:
        """Return a new placement of one layer for ``loads``."""
        n_replicas = replicate_greedily(self._shape, loads)
        packed = pack_largest_first(self._shape, loads, n_replicas)
        if self._is_relabelled:
            packed = relabel_ranks(self._shape, packed, current)
        ranks_by_expert: list[list[int]] = [[] for _ in loads]
        for rank, experts in enumerate(packed):
            for expert in experts:
                ranks_by_expert[expert].append(rank)
        return tuple(tuple(expert_ranks) for expert_ranks in ranks_by_expert)


def replicate_greedily(shape: GroupShape, loads: Sequence[float]) -> list[int]:
    """Return the number of replicas of each expert, which together fill all slots.

    Each additional replica goes to the expert with the highest load per replica.
    """
    n_replicas = [1] * shape.n_experts
    heap = [(-load, expert) for expert, load in enumerate(loads)]
    heapify(heap)
    n_free_slots = shape.n_ranks * shape.n_slots - shape.n_experts
    while n_free_slots and heap:
        _, expert = heappop(heap)
        if n_replicas[expert] == shape.n_ranks:
            continue
        n_replicas[expert] += 1
        n_free_slots -= 1
        heappush(heap, (-loads[expert] / n_replicas[expert], expert))
    return n_replicas


def pack_largest_first(
    shape: GroupShape, loads: Sequence[float], n_replicas: Sequence[int]
) -> list[set[int]]:
    """Return the experts of each rank, packed in descending order of replica load."""
    packed: list[set[int]] = [set() for _ in range(shape.n_ranks)]
    rank_loads = [0.0] * shape.n_ranks
    shares = [load / n for load, n in zip(loads, n_replicas, strict=True)]
    replicas = [e for e, n in enumerate(n_replicas) for _ in range(n)]
    replicas.sort(key=lambda e: -shares[e])
    for expert in replicas:
        free_ranks = [r for r in range(shape.n_ranks) if len(packed[r]) < shape.n_slots]
        candidate_ranks = [r for r in free_ranks if expert not in packed[r]]
        if candidate_ranks:
            rank = min(candidate_ranks, key=rank_loads.__getitem__)
        else:
            rank = _free_slot(shape, packed, rank_loads, shares, expert, free_ranks[0])
        packed[rank].add(expert)
        rank_loads[rank] += shares[expert]
    return packed


def _free_slot(
    shape: GroupShape,
    packed: list[set[int]],
    rank_loads: list[float],
    shares: Sequence[float],
    expert: int,
    free_rank: int,
) -> int:
    """Free a slot for ``expert`` by moving another expert to ``free_rank``.

    Every rank with a free slot holds ``expert`` already. A full rank without it holds
    more experts than ``free_rank``, so at least one of them can move there.

    Returns
    -------
    int
        The rank with the slot that has become free.
    """
    candidate_ranks = [r for r in range(shape.n_ranks) if expert not in packed[r]]
    rank = min(candidate_ranks, key=rank_loads.__getitem__)
    moved = min(packed[rank] - packed[free_rank])
    packed[rank].remove(moved)
    packed[free_rank].add(moved)
    rank_loads[rank] -= shares[moved]
    rank_loads[free_rank] += shares[moved]
    return rank


def relabel_ranks(
    shape: GroupShape, packed: list[set[int]], current: LayerPlacement
) -> list[set[int]]:
    """Reorder packed ranks so that many experts stay on their current rank.

    Pairs of a current and a packed rank are matched greedily, by the number of experts
    that both hold.
    """
    experts_by_rank: list[set[int]] = [set() for _ in range(shape.n_ranks)]
    for expert, ranks in enumerate(current):
        for rank in ranks:
            experts_by_rank[rank].add(expert)
    pairs = [
        (-len(packed[packed_index] & experts_by_rank[rank]), rank, packed_index)
        for rank in range(shape.n_ranks)
        for packed_index in range(shape.n_ranks)
    ]
    packed_index_by_rank: dict[int, int] = {}
    used_indices: set[int] = set()
    for _, rank, packed_index in sorted(pairs):
        if rank not in packed_index_by_rank and packed_index not in used_indices:
            packed_index_by_rank[rank] = packed_index
            used_indices.add(packed_index)
    return [packed[packed_index_by_rank[rank]] for rank in range(shape.n_ranks)]
