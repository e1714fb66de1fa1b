"""Shape of a group, expert placements and the moves between them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from math import isfinite

Loads = Sequence[Sequence[float]]
"""Tokens per interval by layer and expert, shape (n_layers, n_experts)."""

LayerPlacement = tuple[tuple[int, ...], ...]
"""Sorted indices of the ranks that hold each expert of one layer."""

Placement = tuple[LayerPlacement, ...]
"""Placement of every layer."""


@dataclass(frozen=True, slots=True)
class GroupShape:
    """Sizes of a group of ranks.

    Parameters
    ----------
    n_ranks, n_layers, n_experts : int
        Number of ranks in the group, of layers, and of experts in each layer.
    n_slots : int
        Maximum number of experts of each layer that one rank can hold.
    n_expert_bytes : int
        Size of the weights of one expert of one layer, in bytes.

    Raises
    ------
    ValueError
        When a size is not positive, or the slots of all ranks cannot hold the experts
        of a layer, or a rank has more slots than there are experts.
    """

    n_ranks: int
    n_layers: int
    n_experts: int
    n_slots: int
    n_expert_bytes: int

    def __post_init__(self) -> None:
        for name in self.__slots__:
            value = getattr(self, name)
            if value < 1:
                raise ValueError(f"{name} is {value}, expected at least 1")
        if self.n_slots > self.n_experts:
            raise ValueError(
                f"n_slots is {self.n_slots}, expected at most n_experts="
                f"{self.n_experts}, because a rank holds an expert once"
            )
        if self.n_ranks * self.n_slots < self.n_experts:
            raise ValueError(
                f"n_slots is {self.n_slots}, expected at least "
                f"{-(-self.n_experts // self.n_ranks)} to hold every expert"
            )


@dataclass(frozen=True, slots=True)
class Move:
    """Move, addition or removal of one replica of an expert.

    Parameters
    ----------
    layer, expert : int
        Layer, and index of the expert in it.
    from_rank : int or None
        Rank that removes its replica; None for an additional replica.
    to_rank : int or None
        Rank that loads the expert; None when a replica is only removed.
    n_bytes : int
        Bytes read from the weight store; 0 when a replica is only removed.
    """

    layer: int
    expert: int
    from_rank: int | None
    to_rank: int | None
    n_bytes: int


def make_initial_placement(shape: GroupShape) -> Placement:
    """Return a placement that fills every slot, for unknown loads."""
    ranks_by_expert: list[list[int]] = [[] for _ in range(shape.n_experts)]
    for slot in range(shape.n_ranks * shape.n_slots):
        # A rank holds consecutive experts, so that it never holds one expert twice.
        ranks_by_expert[slot % shape.n_experts].append(slot // shape.n_slots)
    return (
        tuple(tuple(expert_ranks) for expert_ranks in ranks_by_expert),
    ) * shape.n_layers


def validate_placement(shape: GroupShape, placement: Placement) -> None:
    """Raise ``ValueError`` unless a group of this shape can have the placement."""
    if len(placement) != shape.n_layers:
        raise ValueError(
            f"placement has {len(placement)} layers, expected {shape.n_layers}"
        )
    for layer, ranks_by_expert in enumerate(placement):
        _validate_layer(shape, layer, ranks_by_expert)


def _validate_layer(
    shape: GroupShape, layer: int, ranks_by_expert: LayerPlacement
) -> None:
    """Raise ``ValueError`` unless the placement of one layer is possible."""
    if len(ranks_by_expert) != shape.n_experts:
        raise ValueError(
            f"placement of layer {layer} has {len(ranks_by_expert)} experts, "
            f"expected {shape.n_experts}"
        )
    n_experts_by_rank = [0] * shape.n_ranks
    for expert, expert_ranks in enumerate(ranks_by_expert):
        subject = f"placement of layer {layer}, expert {expert} is {expert_ranks}"
        if not expert_ranks:
            raise ValueError(f"{subject}, expected at least one rank")
        if any(a >= b for a, b in pairwise(expert_ranks)):
            raise ValueError(f"{subject}, expected distinct ranks in ascending order")
        if expert_ranks[0] < 0 or expert_ranks[-1] >= shape.n_ranks:
            raise ValueError(f"{subject}, expected ranks 0 to {shape.n_ranks - 1}")
        for rank in expert_ranks:
            n_experts_by_rank[rank] += 1
    for rank, n_experts in enumerate(n_experts_by_rank):
        if n_experts > shape.n_slots:
            raise ValueError(
                f"placement of layer {layer} has {n_experts} experts on rank {rank}, "
                f"expected at most n_slots={shape.n_slots}"
            )


def validate_loads(shape: GroupShape, loads: Loads) -> None:
    """Raise ``ValueError`` unless the loads are valid for a group of this shape.

    There must be a finite load of at least 0 for every expert of every layer.
    """
    if len(loads) != shape.n_layers:
        raise ValueError(f"loads have {len(loads)} layers, expected {shape.n_layers}")
    for layer, layer_loads in enumerate(loads):
        if len(layer_loads) != shape.n_experts:
            raise ValueError(
                f"loads of layer {layer} have {len(layer_loads)} experts, "
                f"expected {shape.n_experts}"
            )
        if min(layer_loads) < 0 or not isfinite(sum(layer_loads)):
            raise ValueError(
                f"loads of layer {layer} are {min(layer_loads)} to {max(layer_loads)}, "
                f"expected finite values of at least 0"
            )


def compute_rank_loads(
    n_ranks: int, ranks_by_expert: Sequence[Sequence[int]], loads: Sequence[float]
) -> list[float]:
    """Return the load of each rank in one layer.

    The load of an expert is divided evenly between its replicas.
    """
    rank_loads = [0.0] * n_ranks
    for expert_ranks, load in zip(ranks_by_expert, loads, strict=True):
        share = load / len(expert_ranks)
        for rank in expert_ranks:
            rank_loads[rank] += share
    return rank_loads


def compute_pass_skew(
    ranks_by_expert: Sequence[Sequence[int]],
    loads: Sequence[float],
    pace_by_rank: Sequence[float],
) -> float:
    """Return the duration of one layer relative to balanced ranks of the usual pace.

    The duration of a rank is its load times its pace, and the slowest rank determines
    that of the layer. The result is 1 when all loads are 0.
    """
    n_ranks, total = len(pace_by_rank), sum(loads)
    if not total:
        return 1.0
    rank_loads = compute_rank_loads(n_ranks, ranks_by_expert, loads)
    durations = (a * b for a, b in zip(rank_loads, pace_by_rank, strict=True))
    return max(durations) * n_ranks / total


def compute_skew(rank_loads: Sequence[float]) -> float:
    """Return the maximum rank load divided by the mean; 1 when all loads are 0."""
    total = sum(rank_loads)
    return max(rank_loads) * len(rank_loads) / total if total else 1.0


def compute_moves(
    shape: GroupShape, old: Placement, new: Placement, layers: Iterable[int]
) -> list[Move]:
    """Return the moves from one placement to another in the given layers."""
    moves: list[Move] = []
    for layer in layers:
        pairs = zip(old[layer], new[layer], strict=True)
        for expert, (before, after) in enumerate(pairs):
            if before != after:
                moves += _compute_expert_moves(shape, layer, expert, before, after)
    return moves


def _compute_expert_moves(
    shape: GroupShape,
    layer: int,
    expert: int,
    before: tuple[int, ...],
    after: tuple[int, ...],
) -> list[Move]:
    """Return the moves of one expert, whose ranks change from ``before`` to ``after``.

    Each removal is paired with a load; a removal or load without a counterpart becomes
    a move with one rank.
    """
    removed_ranks: list[int | None] = [rank for rank in before if rank not in after]
    loaded_ranks: list[int | None] = [rank for rank in after if rank not in before]
    n_moves = max(len(removed_ranks), len(loaded_ranks))
    removed_ranks += [None] * (n_moves - len(removed_ranks))
    loaded_ranks += [None] * (n_moves - len(loaded_ranks))
    return [
        Move(
            layer,
            expert,
            from_rank,
            to_rank,
            0 if to_rank is None else shape.n_expert_bytes,
        )
        for from_rank, to_rank in zip(removed_ranks, loaded_ranks, strict=True)
    ]


def apply_moves(
    shape: GroupShape, placement: Placement, moves: Iterable[Move]
) -> Placement:
    """Return the placement after the moves.

    Raises
    ------
    ValueError
        When a move contradicts the placement, or the result is not a valid placement.
    """
    layers = [
        [set(expert_ranks) for expert_ranks in ranks_by_expert]
        for ranks_by_expert in placement
    ]
    for move in moves:
        expert_ranks = layers[move.layer][move.expert]
        if move.from_rank is not None:
            if move.from_rank not in expert_ranks:
                raise ValueError(f"{move} removes an expert that from_rank lacks")
            expert_ranks.remove(move.from_rank)
        if move.to_rank is not None:
            if move.to_rank in expert_ranks:
                raise ValueError(f"{move} loads an expert that to_rank already holds")
            expert_ranks.add(move.to_rank)
    result = tuple(
        tuple(tuple(sorted(expert_ranks)) for expert_ranks in layer) for layer in layers
    )
    validate_placement(shape, result)
    return result
