"""Placement policy that changes a few replicas in each interval."""

from collections.abc import Sequence
from random import Random

from bluebellusher_core.balance._layer_search import LayerSearch, SearchStep
from bluebellusher_core.balance._limits import MoveBudget, MoveLimiter
from bluebellusher_core.balance._model import (
    GroupShape,
    LayerPlacement,
    Loads,
    Placement,
    compute_moves,
    compute_rank_loads,
    validate_loads,
)
from bluebellusher_core.balance._protocol import Conditions, Plan

# Upper bound of the relative difference that rounding causes between two sums of the
# same loads.
ROUNDING_TOLERANCE = 1e-9
SMOOTHING = 0.85
"""Weight of the last interval in the smoothed popularity."""

SKEW_PER_LOAD = 0.002
"""Reduction of the skew of a layer that justifies one weight load of an expert, when
the skew weight equals the move weight."""

MIN_GAIN = 0.01
"""Cost reduction below which a layer keeps its placement. It prevents noise in the
loads from moving experts back and forth."""

CONCENTRATION_WEIGHT = 0.03
"""Skew that has the same cost as one unit of concentration. With a weight of 0, single
replicas carry up to 0.7 of the mean load of a rank, so that a change of the load of one
expert affects the skew."""


class IncrementalPlanner:
    """Policy that makes the few changes with the largest reduction of the skew.

    The cost of a layer is its skew (maximum rank load divided by the mean), plus its
    weighted concentration and the price of the weight loads of the plan. The planner
    searches each layer for the changes with the lowest cost, and spends the budget on
    the layers with the largest cost reduction per weight load.

    Parameters
    ----------
    shape : GroupShape
        Sizes of the group.
    budget : MoveBudget
        Limits of one plan.
    skew_weight, move_weight : float
        Arguments of the rules ``weight skew`` and ``weight moves``. The price of a
        weight load is proportional to ``move_weight / skew_weight``.
    smoothing : float
        Weight of the last interval in the smoothed popularity, above 0 and at most 1.
    min_gain : float
        Cost reduction below which a layer keeps its placement.
    concentration_weight : float
        Skew that has the same cost as one unit of concentration; see
        ``LayerSearch.compute_cost``.

    Raises
    ------
    ValueError
        When ``skew_weight`` is not positive, or another parameter is out of range.
    """

    def __init__(
        self,
        shape: GroupShape,
        budget: MoveBudget,
        skew_weight: float = 1.0,
        move_weight: float = 1.0,
        smoothing: float = SMOOTHING,
        min_gain: float = MIN_GAIN,
        concentration_weight: float = CONCENTRATION_WEIGHT,
    ) -> None:
        if skew_weight <= 0:
            raise ValueError(f"skew_weight is {skew_weight}, expected above 0")
        if move_weight < 0:
            raise ValueError(f"move_weight is {move_weight}, expected at least 0")
        if not 0 < smoothing <= 1:
            raise ValueError(f"smoothing is {smoothing}, expected above 0, at most 1")
        if min_gain < 0:
            raise ValueError(f"min_gain is {min_gain}, expected at least 0")
        if concentration_weight < 0:
            raise ValueError(
                f"concentration_weight is {concentration_weight}, expected at least 0"
            )
        self._shape = shape
        self._limiter = MoveLimiter(budget, shape.n_expert_bytes)
        self._price = SKEW_PER_LOAD * move_weight / skew_weight
        self._smoothing = smoothing
        self._min_gain = min_gain
        self._concentration_weight = concentration_weight
        self._popularity: list[list[float]] = []

    def observe(self, loads: Loads) -> None:
        """Add the loads of an interval to the exponentially smoothed popularity."""
        validate_loads(self._shape, loads)
        if not self._popularity:
            self._popularity = [list(layer_loads) for layer_loads in loads]
            return
        new_weight, old_weight = self._smoothing, 1 - self._smoothing
        self._popularity = [
            [
                old_weight * before + new_weight * load
                for before, load in zip(a, b, strict=True)
            ]
            for a, b in zip(self._popularity, loads, strict=True)
        ]

    def plan(
        self, placement: Placement, conditions: Conditions, random_state: Random
    ) -> Plan:
        """Return the changes with the largest cost reduction per weight load.

        Layers with equal reduction are taken in random order, so that a small budget is
        not always spent on the first layers.
        """
        max_loads = self._limiter.compute_max_loads(conditions)
        if not self._popularity or max_loads == 0:
            return Plan(placement)
        steps_by_layer: dict[int, list[SearchStep]] = {}
        for layer in random_state.sample(range(len(placement)), len(placement)):
            steps = self._search_layer(layer, placement[layer], max_loads)
            if steps:
                steps_by_layer[layer] = steps
        changed: dict[int, LayerPlacement] = {}
        for layer, steps in allocate_budget(steps_by_layer, max_loads).items():
            new = _apply_steps(placement[layer], steps)
            is_worthwhile = steps[0].cost - steps[-1].cost >= self._min_gain
            if is_worthwhile and not self._raises_skew(layer, placement[layer], new):
                changed[layer] = new
        return self._make_plan(placement, changed)

    def _raises_skew(
        self, layer: int, old: LayerPlacement, new: LayerPlacement
    ) -> bool:
        """Return whether a change raises the maximum rank load of a layer.

        Such a change can still lower the cost, by reducing the concentration.
        """
        n_ranks, loads = self._shape.n_ranks, self._popularity[layer]
        before, after = (
            max(compute_rank_loads(n_ranks, ranks, loads)) for ranks in (old, new)
        )
        return after > before * (1 + ROUNDING_TOLERANCE)

    def _search_layer(
        self, layer: int, ranks: LayerPlacement, max_loads: int
    ) -> list[SearchStep]:
        """Return the search steps of a layer; empty if they gain less than the minimum.

        The first step describes the current state of the layer.
        """
        loads = self._popularity[layer]
        search = LayerSearch(self._shape, ranks, loads, self._concentration_weight)
        if search.compute_cost() - 1.0 < self._min_gain:
            return []
        steps = search.run(self._price, max_loads)
        return steps if steps[0].cost - steps[-1].cost >= self._min_gain else []

    def _make_plan(
        self, placement: Placement, changed: dict[int, LayerPlacement]
    ) -> Plan:
        """Return the plan that changes the given layers, and charge the byte budget."""
        if not changed:
            return Plan(placement)
        new = tuple(changed.get(n, ranks) for n, ranks in enumerate(placement))
        moves = compute_moves(self._shape, placement, new, sorted(changed))
        plan = Plan(new, tuple(moves))
        self._limiter.consume(plan.n_bytes)
        return plan


def allocate_budget(
    steps_by_layer: dict[int, list[SearchStep]], max_loads: int
) -> dict[int, list[SearchStep]]:
    """Select the first steps of each layer to apply within a budget of weight loads.

    The segments of the lower convex hulls of cost over weight loads are taken in
    descending order of their cost reduction per load, over all layers. This prevents
    a layer with a long list of small gains from using up the budget of other layers.

    Parameters
    ----------
    steps_by_layer : dict of int to list of SearchStep
        Search result of each layer.
    max_loads : int
        Maximum number of weight loads of all layers together.
    """
    segments = [
        (-gain_per_load, layer, n_steps)
        for layer, steps in steps_by_layer.items()
        for gain_per_load, n_steps in compute_lower_hull(steps)
    ]
    segments.sort(key=lambda segment: segment[0])
    n_steps_by_layer = dict.fromkeys(steps_by_layer, 1)
    finished_layers: set[int] = set()
    for _, layer, n_steps in segments:
        steps = steps_by_layer[layer]
        n_used_loads = steps[n_steps_by_layer[layer] - 1].n_loads
        n_added_loads = steps[n_steps - 1].n_loads - n_used_loads
        if layer in finished_layers or n_added_loads > max_loads:
            finished_layers.add(layer)
            continue
        max_loads -= n_added_loads
        n_steps_by_layer[layer] = n_steps
    return {layer: steps_by_layer[layer][:n] for layer, n in n_steps_by_layer.items()}


def compute_lower_hull(steps: Sequence[SearchStep]) -> list[tuple[float, int]]:
    """Return the lower convex hull of the cost over the weight loads of one layer.

    Returns
    -------
    list of (float, int)
        For each point of the hull after the first, the cost reduction per load from the
        previous point, and the number of steps up to the point.
    """
    hull: list[tuple[float, int]] = []
    index = 0
    while index < len(steps) - 1:
        start = steps[index]
        gain, best_index = max(
            ((start.cost - step.cost) / (step.n_loads - start.n_loads), candidate_index)
            for candidate_index, step in enumerate(steps)
            if candidate_index > index
        )
        if gain <= 0:
            break
        hull.append((gain, best_index + 1))
        index = best_index
    return hull


def _apply_steps(ranks: LayerPlacement, steps: Sequence[SearchStep]) -> LayerPlacement:
    """Return the placement of a layer after the given steps."""
    result = list(ranks)
    for step in steps:
        for expert, after in step.updates:
            result[expert] = after
    return tuple(result)
