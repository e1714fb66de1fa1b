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
    ranks: list[list[int]] = [[] for _ in range(shape.n_experts)]
    for slot in range(shape.n_ranks * shape.n_slots):
        # A rank holds consecutive experts, so that it never holds one expert twice.
        ranks[slot % shape.n_experts].append(slot // shape.n_slots)
    return (tuple(tuple(held) for held in ranks),) * shape.n_layers


def validate_placement(shape: GroupShape, placement: Placement) -> None:
    """Raise ``ValueError`` unless a group of this shape can have the placement."""
    if len(placement) != shape.n_layers:
        raise ValueError(
            f"placement has {len(placement)} layers, expected {shape.n_layers}"
        )
    for layer, ranks_by_expert in enumerate(placement):
        _validate_layer(shape, layer, ranks_by_expert)


def _validate_layer(shape: GroupShape, layer: int, ranks: LayerPlacement) -> None:
    """Raise ``ValueError`` unless the placement of one layer is possible."""
    if len(ranks) != shape.n_experts:
        raise ValueError(
            f"placement of layer {layer} has {len(ranks)} experts, "
            f"expected {shape.n_experts}"
        )
    n_held = [0] * shape.n_ranks
    for expert, held in enumerate(ranks):
        place = f"placement of layer {layer}, expert {expert} is {held}"
        if not held:
            raise ValueError(f"{place}, expected at least one rank")
        if any(a >= b for a, b in pairwise(held)):
            raise ValueError(f"{place}, expected distinct ranks in ascending order")
        if held[0] < 0 or held[-1] >= shape.n_ranks:
            raise ValueError(f"{place}, expected ranks 0 to {shape.n_ranks - 1}")
        for rank in held:
            n_held[rank] += 1
    for rank, n in enumerate(n_held):
        if n > shape.n_slots:
            raise ValueError(
                f"placement of layer {layer} has {n} experts on rank {rank}, "
                f"expected at most n_slots={shape.n_slots}"
            )


def validate_loads(shape: GroupShape, loads: Loads) -> None:
    """Raise ``ValueError`` unless the loads are valid for a group of this shape.

    There must be a finite load of at least 0 for every expert of every layer.
    """
    if len(loads) != shape.n_layers:
        raise ValueError(f"loads have {len(loads)} layers, expected {shape.n_layers}")
    for layer, of_layer in enumerate(loads):
        if len(of_layer) != shape.n_experts:
            raise ValueError(
                f"loads of layer {layer} have {len(of_layer)} experts, "
                f"expected {shape.n_experts}"
            )
        if min(of_layer) < 0 or not isfinite(sum(of_layer)):
            raise ValueError(
                f"loads of layer {layer} are {min(of_layer)} to {max(of_layer)}, "
                f"expected finite values of at least 0"
            )


def compute_rank_loads(
    n_ranks: int, ranks_by_expert: Sequence[Sequence[int]], loads: Sequence[float]
) -> list[float]:
    """Return the load of each rank in one layer.

    The load of an expert is divided evenly between its replicas.
    """
    rank_loads = [0.0] * n_ranks
    for held, load in zip(ranks_by_expert, loads, strict=True):
        share = load / len(held)
        for rank in held:
            rank_loads[rank] += share
    return rank_loads


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
                moves += _expert_moves(shape, layer, expert, before, after)
    return moves


def _expert_moves(
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
    left: list[int | None] = [rank for rank in before if rank not in after]
    loaded: list[int | None] = [rank for rank in after if rank not in before]
    n_moves = max(len(left), len(loaded))
    left += [None] * (n_moves - len(left))
    loaded += [None] * (n_moves - len(loaded))
    return [
        Move(layer, expert, a, b, 0 if b is None else shape.n_expert_bytes)
        for a, b in zip(left, loaded, strict=True)
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
    layers = [[set(held) for held in ranks] for ranks in placement]
    for move in moves:
        held = layers[move.layer][move.expert]
        if move.from_rank is not None:
            if move.from_rank not in held:
                raise ValueError(f"{move} removes an expert that from_rank lacks")
            held.remove(move.from_rank)
        if move.to_rank is not None:
            if move.to_rank in held:
                raise ValueError(f"{move} loads an expert that to_rank already holds")
            held.add(move.to_rank)
    result = tuple(tuple(tuple(sorted(held)) for held in layer) for layer in layers)
    validate_placement(shape, result)
    return result
