"""The runs that compare the routing policies; each has a fixed seed."""

from collections.abc import Callable
from functools import cache

from bench.engine_model import PREFILL_TOKENS_PER_MS
from bench.figures import Figures, compute_figures
from bench.system_model import PerfectKnowledge, Scenario, System
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
# Two independent workloads where the target is set, one elsewhere.
SEEDS_AT_TARGET = (11, 12)
SEEDS = (11,)
END_MS = 36_000.0
END_AT_TARGET_MS = 60_000.0

ORACLES = ("oracle-greedy", "oracle-balanced")
ORACLE_LOAD_MS = 4.0

Key = tuple[str, float, str, float]


def make_policy(name: str) -> Callable[[str], RoutingPolicy | PerfectKnowledge]:
    """Return what makes the policy of an entry from its failure domain."""
    makers: dict[str, Callable[[str], RoutingPolicy | PerfectKnowledge]] = {
        "oracle-greedy": lambda domain: PerfectKnowledge(),
        "oracle-balanced": lambda domain: PerfectKnowledge(ORACLE_LOAD_MS),
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
# The others do not read load reports.
POLICIES_WITH_REPORTS = ("two-choices", "predicted-latency")


def run_once(
    policy: str,
    rate_per_s: float,
    scenario: Scenario,
    seed: int,
    make_queue: Callable[[], AdmissionQueue] = FairQueue,
    deadline_factor: float = 1.0,
) -> Figures:
    """Run one scenario and return its figures."""
    jobs = make_jobs(rate_per_s, scenario.end_ms, seed, deadline_factor)
    system = System(scenario, make_queue, make_policy(policy), seed)
    system.run(jobs)
    return compute_figures(system, jobs, scenario)


@cache
def measure_capacity() -> float:
    """Return the requests per second of a system that is never without work.

    Twice the load that it can serve waits in the order of arrival with deadlines
    that nothing reaches, so that no kind of request is preferred. The best of the
    oracles and the chosen policy counts.
    """
    scenario = Scenario(end_ms=END_AT_TARGET_MS)
    runs = [
        run_once(policy, 110.0, scenario, SEEDS[0], FifoQueue, deadline_factor=100.0)
        for policy in (*ORACLES, "predicted-latency")
    ]
    return max(figures.goodput_per_s for figures in runs)


def measure(policy: str, load: float, fault: str, lag_ms: float) -> list[Figures]:
    """Return the figures of one cell, one for each seed."""
    is_target = load == TARGET_LOAD
    end_ms = END_AT_TARGET_MS if is_target else END_MS
    seeds = SEEDS_AT_TARGET if is_target else SEEDS
    scenario = Scenario(fault, lag_ms, end_ms=end_ms)
    rate = load * measure_capacity()
    return [run_once(policy, rate, scenario, seed) for seed in seeds]


@cache
def measure_all() -> dict[Key, list[Figures]]:
    """Return the figures of every cell by policy, load, fault and lag."""
    figures_by_key: dict[Key, list[Figures]] = {}
    for policy in POLICIES:
        for load in LOADS:
            for fault in FAULTS:
                lags = LAGS_MS if policy in POLICIES_WITH_REPORTS else LAGS_MS[:1]
                for lag_ms in lags:
                    key = (policy, load, fault, lag_ms)
                    figures_by_key[key] = measure(*key)
    return figures_by_key


def mean(runs: list[Figures], name: str) -> float:
    """Return the mean of one figure over the seeds."""
    return sum(getattr(figures, name) for figures in runs) / len(runs)


def lookup(key: Key) -> list[Figures]:
    """Return a cell; a policy that reads no reports has the same for every lag."""
    policy, load, fault, lag_ms = key
    lag = lag_ms if policy in POLICIES_WITH_REPORTS else LAGS_MS[0]
    return measure_all()[policy, load, fault, lag]


def ttft_ratio(policy: str, load: float, fault: str, lag_ms: float) -> float:
    """Return the 95th percentile of time to first token over the better oracle's."""
    own = mean(lookup((policy, load, fault, lag_ms)), "ttft_p95_ms")
    cells = [lookup((oracle, load, fault, lag_ms)) for oracle in ORACLES]
    return own / min(mean(runs, "ttft_p95_ms") for runs in cells)
