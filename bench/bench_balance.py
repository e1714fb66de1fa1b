"""Expert placement: skew and moved bytes of all policies, and time of a plan.

All figures except processor times are deterministic. Sizes of the comparison:
32 ranks, 256 experts, 9 slots, 4 layers, 40 intervals, 3 seeds.
"""

from random import Random
from time import process_time_ns

from bench.balance_runs import (
    INTERVAL_MS,
    N_EXPERT_BYTES,
    N_EXPERTS,
    N_RANKS,
    N_SLOTS,
    POLICIES,
    SEEDS,
    UNLIMITED,
    Popularity,
    RunResult,
    make_budget,
    run_policy,
)
from bench.report import print_figure
from bluebellusher_core.balance import (
    Conditions,
    FullResolve,
    GroupShape,
    IncrementalPlanner,
    PlacementPolicy,
    make_initial_placement,
)

KINDS = ("drifting", "bursty", "adversarial")
REFERENCE_POLICY = "full-resolve"
SELECTED = "incremental"
MAX_SKEW_RATIO = 1.02
MAX_BYTES_RATIO = 0.1
MAX_PLAN_MS = 100.0
N_PLANS = 16
N_PLAN_LAYERS = 58
PLAN_SHAPE = GroupShape(N_RANKS, N_PLAN_LAYERS, N_EXPERTS, N_SLOTS, N_EXPERT_BYTES)
PLAN_BUDGET = make_budget(N_PLAN_LAYERS)


def main() -> None:
    """Print the figures of all policies and the processor times of plans."""
    for kind in KINDS:
        print_comparison(kind)
    print_plan_times()


def print_comparison(kind: str) -> None:
    """Print the figures of all policies on one kind of popularity."""
    result_by_policy = {name: average_over_seeds(kind, name) for name in POLICIES}
    reference = result_by_policy[REFERENCE_POLICY]
    for name, result in result_by_policy.items():
        is_selected = name == SELECTED
        print_figure(f"balance.{kind}.skew.{name}", result.mean_skew, "max/mean")
        print_figure(f"balance.{kind}.moved.{name}", result.n_bytes / 1e9, "GB")
        print_figure(
            f"balance.{kind}.skew_over_full.{name}",
            result.mean_skew / reference.mean_skew,
            "ratio",
            target=f"<={MAX_SKEW_RATIO}" if is_selected else "none",
        )
        print_figure(
            f"balance.{kind}.moved_over_full.{name}",
            result.n_bytes / reference.n_bytes,
            "ratio",
            target=f"<={MAX_BYTES_RATIO}" if is_selected else "none",
        )


def average_over_seeds(kind: str, name: str) -> RunResult:
    """Return the means of skew and moved bytes over all seeds."""
    results = [run_policy(kind, POLICIES[name], seed) for seed in SEEDS]
    skew = sum(result.mean_skew for result in results) / len(results)
    return RunResult(skew, sum(result.n_bytes for result in results) // len(results))


def print_plan_times() -> None:
    """Print the processor time of plans for 32 ranks, 256 experts and 58 layers.

    The baseline is the time of one plan by ``FullResolve`` in the same run.
    """
    full = FullResolve(PLAN_SHAPE, UNLIMITED)
    baseline = f"{measure_plan_times_ms(full, KINDS[0], n_plans=1)[0]:.4g}"
    target = f"<={MAX_PLAN_MS:.0f}"
    for kind in KINDS:
        policy = IncrementalPlanner(PLAN_SHAPE, PLAN_BUDGET)
        first, *later = measure_plan_times_ms(policy, kind, N_PLANS)
        median = sorted(later)[len(later) // 2]
        print_figure(f"balance.{kind}.plan_cpu.first", first, "ms", target, baseline)
        print_figure(f"balance.{kind}.plan_cpu.median", median, "ms", target, baseline)
        print_figure(f"balance.{kind}.plan_cpu.max", max(later), "ms", target, baseline)


def measure_plan_times_ms(
    policy: PlacementPolicy, kind: str, n_plans: int
) -> list[float]:
    """Return the processor time of ``observe`` and ``plan`` in each interval, in ms."""
    popularity = Popularity(kind, PLAN_SHAPE, seed=SEEDS[0])
    placement = make_initial_placement(PLAN_SHAPE)
    random_state = Random(1)
    times_ms: list[float] = []
    for interval in range(n_plans):
        loads = popularity.advance(placement)
        start_ns = process_time_ns()
        policy.observe(loads)
        plan = policy.plan(placement, Conditions(interval * INTERVAL_MS), random_state)
        times_ms.append((process_time_ns() - start_ns) / 1e6)
        placement = plan.placement
    return times_ms


if __name__ == "__main__":
    main()
