"""Validation of shapes, placements, loads and moves, and initial placements."""

import pytest

from bluebellusher_core.balance import (
    GroupShape,
    IncrementalPlanner,
    Move,
    MoveBudget,
    NoRebalancing,
    apply_moves,
    compute_moves,
    make_initial_placement,
    validate_loads,
    validate_placement,
)

SHAPE = GroupShape(2, 1, 3, 2, 10)
BUDGET = MoveBudget(1, 1, 1, 1)
START_PLACEMENT = (((0, 1), (0,), (1,)),)


@pytest.mark.parametrize(
    ("sizes", "message"),
    [
        ((0, 1, 1, 1, 1), "n_ranks is 0, expected at least 1"),
        ((2, 1, 3, 4, 1), "n_slots is 4, expected at most n_experts=3"),
        ((2, 1, 3, 1, 1), "n_slots is 1, expected at least 2"),
    ],
)
def test_impossible_shape_raises_value_error(sizes, message):
    """Guards against a group whose slots cannot hold its experts."""
    with pytest.raises(ValueError, match=message):
        GroupShape(*sizes)


@pytest.mark.parametrize(
    ("placement", "message"),
    [
        ((), "0 layers, expected 1"),
        ((((0,), (1,)),), "2 experts, expected 3"),
        ((((0,), (1,), ()),), "expected at least one rank"),
        ((((0, 0), (1,), (1,)),), "expected distinct ranks in ascending order"),
        ((((0,), (1,), (2,)),), "expected ranks 0 to 1"),
        ((((0,), (0,), (0,)),), "3 experts on rank 0, expected at most n_slots=2"),
    ],
)
def test_impossible_placement_raises_value_error(placement, message):
    """Guards against impossible placements that are accepted."""
    validate_placement(SHAPE, START_PLACEMENT)
    with pytest.raises(ValueError, match=message):
        validate_placement(SHAPE, placement)


@pytest.mark.parametrize(
    "loads", [[], [[1.0]], [[1.0, -1.0, 2.0]], [[1.0, float("nan"), 0.0]]]
)
def test_invalid_loads_raise_value_error(loads):
    """Guards against invalid loads that permanently corrupt the smoothed popularity."""
    for check in (
        lambda: validate_loads(SHAPE, loads),
        lambda: NoRebalancing(SHAPE, BUDGET).observe(loads),
        lambda: IncrementalPlanner(SHAPE, BUDGET).observe(loads),
    ):
        with pytest.raises(ValueError, match="expected"):
            check()


@pytest.mark.parametrize(
    "move", [Move(0, 1, 1, None, 0), Move(0, 1, 0, None, 0), Move(0, 1, None, 0, 10)]
)
def test_contradictory_move_raises_value_error(move):
    """Guards against moves that contradict the placement.

    Such a move removes an expert from a rank without it, removes the last replica of
    an expert, or loads an expert on a rank that already holds it.
    """
    with pytest.raises(ValueError, match="rank"):
        apply_moves(SHAPE, START_PLACEMENT, [move])


def test_moves_are_paired_and_removals_read_nothing():
    """Guards against removals that are counted as reads from the weight store."""
    new_placement = (((0,), (1,), (1,)),)
    moves = compute_moves(SHAPE, START_PLACEMENT, new_placement, [0])
    assert moves == [Move(0, 0, 1, None, 0), Move(0, 1, 0, 1, 10)]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("skew_weight", 0.0),
        ("move_weight", -1.0),
        ("smoothing", 0.0),
        ("min_gain", -0.1),
    ],
)
def test_invalid_planner_parameter_raises_value_error(name, value):
    """Guards against a negative or undefined price of a weight load."""
    with pytest.raises(ValueError, match=f"{name} is {value}, expected"):
        IncrementalPlanner(SHAPE, BUDGET, **{name: value})


def test_initial_placement_is_valid_for_uneven_sizes():
    """Guards against an initial placement with an expert twice on one rank.

    The number of slots of the group is not a multiple of the number of experts.
    """
    shape = GroupShape(5, 2, 7, 6, 1)
    validate_placement(shape, make_initial_placement(shape))
