"""Conversion between expert maps and placements.

An expert map, which engines use, lists the experts of each rank. A placement, which
planners use, lists the ranks of each expert.
"""

from collections.abc import Mapping, Sequence

from bluebellusher_core.balance._model import Placement
from bluebellusher_core.ranks import ExpertMap


def to_placement(
    experts_by_rank: Mapping[int, Sequence[Sequence[int]]],
    n_layers: int,
    n_experts: int,
) -> Placement | None:
    """Return the placement of the given experts of each rank.

    Parameters
    ----------
    experts_by_rank : mapping of int to sequence
        Experts that each rank holds, by layer.
    n_layers, n_experts : int
        Number of layers, and of experts in each layer.

    Returns
    -------
    Placement or None
        None when an expert is on none of the ranks.

    Examples
    --------
    >>> to_placement({0: [[0]], 1: [[0, 1]]}, 1, 2)
    (((0, 1), (1,)),)
    """
    layers: list[list[list[int]]] = [
        [[] for _ in range(n_experts)] for _ in range(n_layers)
    ]
    for rank in sorted(experts_by_rank):
        for layer, experts in enumerate(experts_by_rank[rank]):
            for expert in experts:
                layers[layer][expert].append(rank)
    if not all(ranks for layer in layers for ranks in layer):
        return None
    return tuple(tuple(tuple(ranks) for ranks in layer) for layer in layers)


def to_expert_map(placement: Placement, n_ranks: int) -> ExpertMap:
    """Return the expert map of a placement on ``n_ranks`` ranks.

    Examples
    --------
    >>> to_expert_map((((0, 1), (1,)),), 2)
    (((0,), (0, 1)),)
    """
    layers = []
    for ranks_by_expert in placement:
        rank_experts: list[list[int]] = [[] for _ in range(n_ranks)]
        for expert, ranks in enumerate(ranks_by_expert):
            for rank in ranks:
                rank_experts[rank].append(expert)
        layers.append(tuple(tuple(experts) for experts in rank_experts))
    return tuple(layers)
