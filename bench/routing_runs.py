"""Simulations that compare the routing policies; each has a fixed seed."""

from collections.abc import Callable
from functools import cache

from bench.engine_model import PREFILL_TOKENS_PER_MS
from bench.figures import Figures, compute_figures
from bench.system_model import OraclePolicy, Scenario, System
from bench.workload_model import make_jobs
from bluebellusher_core.admission import AdmissionQueue, FairQueue, FifoQueue
from bluebellusher_core.routing import (
    LeastInFlight,
    PredictedLatency,
    PrefixHash,
    RoundRobin,
    RoutingPolicy,
    TwoChoices,
)

LOADS = (0.5, 0.8, 1.0, 1.5)
FAULTS = ("none", "slow", "frozen", "lost")
LAGS_MS = (0.0, 1000.0, 5000.0)
TARGET_LOAD = 0.8
# The target load is simulated with two independent workloads, other loads with one.
SEEDS_AT_TARGET = (11, 12)
SEEDS = (11,)
END_MS = 36_000.0
END_AT_TARGET_MS = 60_000.0

ORACLES = ("oracle-greedy", "oracle-balanced")
ORACLE_LOAD_MS = 4.0

Cell = tuple[str, float, str, float]


def make_policy(name: str) -> Callable[[str], RoutingPolicy | OraclePolicy]:
    """Return a function that creates the policy of an entry from its failure domain."""
    makers: dict[str, Callable[[str], RoutingPolicy | OraclePolicy]] = {
        "oracle-greedy": lambda domain: OraclePolicy(),
        "oracle-balanced": lambda domain: OraclePolicy(ORACLE_LOAD_MS),
        "round-robin": lambda domain: RoundRobin(),
        "least-in-flight": lambda domain: LeastInFlight(),
        "two-choices": lambda domain: TwoChoices(),
        "prefix-hash": lambda domain: PrefixHash(),
        "predicted-latency": lambda domain: PredictedLatency(
            domain, prefill_tokens_per_ms=PREFILL_TOKENS_PER_MS
        ),
    }
    return makers[name]


POLICIES = (
    "oracle-greedy",
    "oracle-balanced",
    "round-robin",
    "least-in-flight",
    "two-choices",
    "prefix-hash",
    "predicted-latency",
)
# Only these policies depend on load reports, and so on their lag.
POLICIES_WITH_REPORTS = ("two-choices", "predicted-latency")


def run_once(
    policy: str,
    rate_per_s: float,
    scenario: Scenario,
    seed: int,
    make_queue: Callable[[], AdmissionQueue] = FairQueue,
    deadline_factor: float = 1.0,
) -> Figures:
    """Simulate one scenario with one policy and return its figures."""
    jobs = make_jobs(rate_per_s, scenario.end_ms, seed, deadline_factor)
    system = System(scenario, make_queue, make_policy(policy), seed)
    system.run(jobs)
    return compute_figures(system, jobs, scenario)


@cache
def measure_capacity() -> float:
    """Return the requests per second that the system serves when it is saturated.

    About twice the load that it can serve arrives. The queue is FIFO and deadlines are
    100 times as long as usual, so that no kind of request is preferred. The result is
    the maximum over the oracles and the selected policy.
    """
    scenario = Scenario(end_ms=END_AT_TARGET_MS)
    runs = [
        run_once(policy, 110.0, scenario, SEEDS[0], FifoQueue, deadline_factor=100.0)
        for policy in (*ORACLES, "predicted-latency")
    ]
    return max(figures.goodput_per_s for figures in runs)


def measure_cell(policy: str, load: float, fault: str, lag_ms: float) -> list[Figures]:
    """Return the figures of one cell, one set for each seed.

    A cell is a combination of policy, load, fault and report lag.
    """
    is_target = load == TARGET_LOAD
    end_ms = END_AT_TARGET_MS if is_target else END_MS
    seeds = SEEDS_AT_TARGET if is_target else SEEDS
    scenario = Scenario(fault, lag_ms, end_ms=end_ms)
    rate = load * measure_capacity()
    return [run_once(policy, rate, scenario, seed) for seed in seeds]


@cache
def measure_all_cells() -> dict[Cell, list[Figures]]:
    """Return the figures of every cell by policy, load, fault and lag."""
    figures_by_cell: dict[Cell, list[Figures]] = {}
    for policy in POLICIES:
        for load in LOADS:
            for fault in FAULTS:
                lags = LAGS_MS if policy in POLICIES_WITH_REPORTS else LAGS_MS[:1]
                for lag_ms in lags:
                    cell = (policy, load, fault, lag_ms)
                    figures_by_cell[cell] = measure_cell(*cell)
    return figures_by_cell


def mean_figure(runs: list[Figures], name: str) -> float:
    """Return the mean of the figure ``name`` over the runs of all seeds."""
    return sum(getattr(figures, name) for figures in runs) / len(runs)


def find_cell_figures(cell: Cell) -> list[Figures]:
    """Return the figures of a cell, one set for each seed.

    A policy that does not read load reports has the same figures for every lag.
    """
    policy, load, fault, lag_ms = cell
    lag = lag_ms if policy in POLICIES_WITH_REPORTS else LAGS_MS[0]
    return measure_all_cells()[policy, load, fault, lag]


def compute_ttft_ratio(policy: str, load: float, fault: str, lag_ms: float) -> float:
    """Return the ratio of a policy's p95 time to first token to that of the oracles.

    The lower value of the oracles is the denominator.
    """
    policy_ttft_ms = mean_figure(
        find_cell_figures((policy, load, fault, lag_ms)), "ttft_p95_ms"
    )
    cells = [find_cell_figures((oracle, load, fault, lag_ms)) for oracle in ORACLES]
    return policy_ttft_ms / min(mean_figure(runs, "ttft_p95_ms") for runs in cells)
