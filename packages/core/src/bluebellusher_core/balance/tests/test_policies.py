"""Checks of all placement policies, and behaviour of ``IncrementalPlanner``."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.balance import (
    Conditions,
    FullResolve,
    GroupShape,
    IncrementalPlanner,
    MoveBudget,
    NoRebalancing,
    apply_moves,
    compute_rank_loads,
    compute_skew,
    make_initial_placement,
    validate_placement,
)
from bluebellusher_core.balance._incremental import allocate_budget
from bluebellusher_core.balance._layer_search import SearchStep

POLICIES = {
    "no-rebalancing": NoRebalancing,
    "full-resolve": FullResolve,
    "full-resolve-relabelled": lambda shape, budget: FullResolve(shape, budget, True),
    "incremental": IncrementalPlanner,
    "incremental-eager": lambda shape, budget: IncrementalPlanner(
        shape, budget, 10.0, 1.0, min_gain=0.0
    ),
}
REBALANCING_POLICIES = [name for name in POLICIES if name != "no-rebalancing"]
N_BYTES = 7
UNLIMITED = MoveBudget(10**6, 10**9, 10**9, 10**9)
SHAPE = GroupShape(8, 2, 32, 5, N_BYTES)
HOT_FIRST = [[50.0] * 4 + [10.0] * 28] * 2
HOT_LAST = [[10.0] * 28 + [50.0] * 4] * 2


@st.composite
def any_shape(draw):
    """Draw the shape of a small group, with few or many redundant slots."""
    n_ranks, n_experts = draw(st.integers(1, 6)), draw(st.integers(1, 12))
    n_min_slots = -(-n_experts // n_ranks)
    n_slots = draw(st.integers(n_min_slots, n_experts))
    return GroupShape(n_ranks, draw(st.integers(1, 3)), n_experts, n_slots, N_BYTES)


def any_loads(shape):
    """Return a strategy of loads with equal, zero and extreme values."""
    load = st.sampled_from([0.0, 1.0, 1.0, 2.0, 50.0]) | st.floats(0, 1e12)
    layer = st.lists(load, min_size=shape.n_experts, max_size=shape.n_experts)
    return st.lists(layer, min_size=shape.n_layers, max_size=shape.n_layers)


any_budget = st.builds(
    MoveBudget,
    max_loads=st.integers(0, 40),
    max_bytes=st.integers(0, 300),
    store_bytes_per_s=st.integers(0, 300),
    store_burst_bytes=st.integers(0, 300),
)
any_conditions = st.builds(
    Conditions,
    now_ms=st.integers(0, 3000),
    is_capacity_short=st.sampled_from([False, False, True]),
    store_retry_at_ms=st.sampled_from([0, 0, 1500]),
    n_loads_in_progress=st.sampled_from([0, 0, 3, 50]),
)


def run_policy(name, shape, budget, steps, seed):
    """Return the plan of each interval, with the placement that it started from.

    Each step has the loads and conditions of one interval, and whether the group
    switches to the planned placement.
    """
    policy, random_state = POLICIES[name](shape, budget), Random(seed)
    placement, plans = make_initial_placement(shape), []
    for loads, conditions, is_switched in steps:
        policy.observe(loads)
        plan = policy.plan(placement, conditions, random_state)
        plans.append((placement, plan))
        if is_switched:
            placement = plan.placement
    return plans


@pytest.mark.parametrize("name", POLICIES)
@given(data=st.data(), seed=st.integers(0, 9), budget=any_budget)
def test_property_common_contract(name, data, seed, budget):
    """Guards against plans that violate a rule that applies to every policy.

    A plan must be reproducible, keep every expert on some rank, fit the slots of the
    ranks, list the moves to its placement, and stay within all limits.
    """
    shape = data.draw(any_shape())
    step = st.tuples(any_loads(shape), any_conditions, st.booleans())
    steps = data.draw(st.lists(step, min_size=1, max_size=4))
    steps.sort(key=lambda step_inputs: step_inputs[1].now_ms)
    plans = run_policy(name, shape, budget, steps, seed)
    assert plans == run_policy(name, shape, budget, steps, seed)
    n_bytes_at_ms = []
    for (old, plan), (_, conditions, _) in zip(plans, steps, strict=True):
        validate_placement(shape, plan.placement)
        assert apply_moves(shape, old, plan.moves) == plan.placement
        assert plan.n_bytes == plan.n_loads * N_BYTES <= budget.max_bytes
        if plan.moves:
            assert not conditions.is_capacity_short
            assert conditions.now_ms >= conditions.store_retry_at_ms
            n_running = plan.n_loads + conditions.n_loads_in_progress
            assert n_running <= budget.max_loads
        n_bytes_at_ms.append((conditions.now_ms, plan.n_bytes))
    for start, (start_ms, _) in enumerate(n_bytes_at_ms):
        elapsed_ms = n_bytes_at_ms[-1][0] - start_ms
        n_refilled = elapsed_ms * budget.store_bytes_per_s / 1000
        n_bytes = sum(n for _, n in n_bytes_at_ms[start:])
        assert n_bytes <= budget.store_burst_bytes + n_refilled


@pytest.mark.parametrize("name", REBALANCING_POLICIES)
def test_every_rebalancing_policy_lowers_skew(name):
    """Guards against a policy that stays within its limits because it moves nothing."""
    steps = [(HOT_FIRST, Conditions(0), True)] * 3
    placement = run_policy(name, SHAPE, UNLIMITED, steps, 1)[-1][1].placement
    for ranks, loads in zip(placement, HOT_FIRST, strict=True):
        assert compute_skew(compute_rank_loads(8, ranks, loads)) < 1.1


def test_store_rate_limits_consecutive_plans():
    """Guards against weight loads that the token bucket of the store does not count."""
    budget = MoveBudget(10**6, 10**9, N_BYTES, 2 * N_BYTES)
    times_ms = (0, 0, 1000, 1000, 9000)
    steps = [(HOT_FIRST, Conditions(now_ms), True) for now_ms in times_ms]
    for name in ("incremental", "incremental-eager"):
        n_loads = [
            plan.n_loads for _, plan in run_policy(name, SHAPE, budget, steps, 1)
        ]
        assert n_loads[0] > 0
        assert sum(n_loads[:2]) <= 2
        assert sum(n_loads[:4]) <= 3


@given(data=st.data())
def test_property_plan_never_raises_skew(data):
    """Guards against plans that raise the skew for the loads they were made for."""
    shape = data.draw(any_shape())
    loads = data.draw(any_loads(shape))
    steps = [(loads, Conditions(0), True)]
    ((old, plan),) = run_policy("incremental-eager", shape, UNLIMITED, steps, 1)
    for before, after, layer_loads in zip(old, plan.placement, loads, strict=True):
        skews = [
            compute_skew(compute_rank_loads(shape.n_ranks, ranks, layer_loads))
            for ranks in (before, after)
        ]
        assert skews[1] <= skews[0] * (1 + 1e-9)


@pytest.mark.parametrize(("min_gain", "is_moving"), [(0.02, False), (0.0, True)])
def test_small_gains_move_nothing(min_gain, is_moving):
    """Guards against noise in the loads that moves experts back and forth."""
    shape, random_state = GroupShape(8, 2, 32, 4, N_BYTES), Random(1)
    policy = IncrementalPlanner(shape, UNLIMITED, 1, 0, min_gain=min_gain)
    placement = make_initial_placement(shape)
    n_loads = 0
    for _ in range(20):
        noise = [[random_state.gauss(10, 0.1) for _ in range(32)] for _ in range(2)]
        policy.observe(noise)
        plan = policy.plan(placement, Conditions(0), random_state)
        placement, n_loads = plan.placement, n_loads + plan.n_loads
    assert bool(n_loads) == is_moving


def test_weights_trade_skew_for_moves():
    """Guards against rules ``weight skew`` and ``weight moves`` that have no effect."""
    random_state, n_loads = Random(1), []
    loads = [[random_state.lognormvariate(0, 1) for _ in range(32)] for _ in range(2)]
    for skew_weight, move_weight in ((4, 1), (1, 1), (1, 4)):
        policy = IncrementalPlanner(SHAPE, UNLIMITED, skew_weight, move_weight)
        policy.observe(loads)
        plan = policy.plan(make_initial_placement(SHAPE), Conditions(0), Random(1))
        n_loads.append(plan.n_loads)
    assert n_loads[0] > n_loads[1] > n_loads[2]


def test_popularity_is_smoothed_and_observed_without_a_plan():
    """Guards against a placement that follows the loads of one unusual interval."""
    policy = IncrementalPlanner(SHAPE, UNLIMITED, smoothing=0.2)
    for _ in range(20):
        policy.observe(HOT_FIRST)
    placement = make_initial_placement(SHAPE)
    for _ in range(3):
        placement = policy.plan(placement, Conditions(0), Random(1)).placement
    policy.observe(HOT_LAST)
    plan = policy.plan(placement, Conditions(0), Random(1))
    loads = compute_rank_loads(8, plan.placement[0], HOT_FIRST[0])
    assert compute_skew(loads) < 1.4


def test_large_expert_is_replicated_although_no_single_step_helps():
    """Guards against a search that stops when no single step lowers the cost.

    Each rank that receives a replica of the large expert stays above the mean load
    until later steps have moved its other experts away.
    """
    shape = GroupShape(8, 1, 32, 5, N_BYTES)
    loads = [[300.0] + [10.0] * 31]
    steps = [(loads, Conditions(0), True)] * 4
    placement = run_policy("incremental", shape, UNLIMITED, steps, 1)[-1][1].placement
    assert compute_skew(compute_rank_loads(8, placement[0], loads[0])) < 1.15


def test_budget_is_spent_on_the_largest_gain_per_load():
    """Guards against a layer that uses up the budget for small gains."""
    costs_by_layer = {0: [2.0, 1.5, 1.45, 1.44], 1: [2.0, 1.95, 1.6], 2: [2.0, 1.99]}
    steps_by_layer = {
        layer: [SearchStep((), n_loads, cost) for n_loads, cost in enumerate(costs)]
        for layer, costs in costs_by_layer.items()
    }
    for max_loads, expected in ((0, [0, 0, 0]), (3, [1, 2, 0]), (4, [2, 2, 0])):
        shared = allocate_budget(steps_by_layer, max_loads)
        assert [shared[n][-1].n_loads for n in range(3)] == expected


def test_layers_of_equal_gain_are_taken_in_random_order():
    """Guards against a small budget that is always spent on the first layers."""
    shape = GroupShape(8, 6, 32, 5, N_BYTES)
    step = (HOT_FIRST * 3, Conditions(0), True)
    budget = MoveBudget(1, 10**9, 10**9, 10**9)
    first_layers = set()
    for seed in range(9):
        ((_, plan),) = run_policy("incremental", shape, budget, [step], seed)
        first_layers |= {move.layer for move in plan.moves}
    assert len(first_layers) > 1
