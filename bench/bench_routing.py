"""Routing policies: figures, ratio to the oracles and processor time of a decision."""

from random import Random
from time import process_time_ns

from bench.report import print_figure
from bench.routing_runs import (
    FAULTS,
    LAGS_MS,
    LOADS,
    ORACLES,
    POLICIES,
    POLICIES_WITH_REPORTS,
    TARGET_LOAD,
    compute_ttft_ratio,
    find_cell_figures,
    mean_figure,
    measure_capacity,
)
from bench.workload_model import make_jobs
from bluebellusher_core.events import EndpointInfo, LoadReported, RequestSpec
from bluebellusher_core.routing import EndpointView, PredictedLatency

SELECTED = "predicted-latency"
TARGET_RATIO = 1.3
UNIT_BY_FIGURE = {
    "ttft_p50_ms": "ms",
    "ttft_p95_ms": "ms",
    "ttft_p99_ms": "ms",
    "tbt_p95_ms": "ms",
    "cache_hit_share": "share",
    "load_skew": "max/mean",
    "goodput_per_s": "1/s",
}
CANDIDATE_COUNTS = (4, 16, 64, 256)


def main() -> None:
    """Print all figures. All except the processor times are deterministic."""
    print_figure("routing.capacity", measure_capacity(), "1/s")
    print_ratios()
    for policy in POLICIES:
        lags = LAGS_MS if policy in POLICIES_WITH_REPORTS else LAGS_MS[:1]
        for load in LOADS:
            for fault in FAULTS:
                for lag_ms in lags:
                    print_cell(policy, load, fault, lag_ms)
    print_cpu()


def print_ratios() -> None:
    """Print the target figures, with the best of the simple policies as baseline."""
    simple_policies = [name for name in POLICIES if name not in (*ORACLES, SELECTED)]
    for fault in FAULTS:
        for lag_ms in LAGS_MS:
            value = compute_ttft_ratio(SELECTED, TARGET_LOAD, fault, lag_ms)
            best_simple_ratio = min(
                compute_ttft_ratio(p, TARGET_LOAD, fault, lag_ms)
                for p in simple_policies
            )
            print_figure(
                f"routing.ttft_p95_over_oracle.load80.{fault}.lag{lag_ms:.0f}ms",
                value,
                "ratio",
                target=f"<={TARGET_RATIO}",
                baseline=f"{best_simple_ratio:.4g}",
            )


def print_cell(policy: str, load: float, fault: str, lag_ms: float) -> None:
    """Print the figures of one policy at one load, fault and report lag."""
    runs = find_cell_figures((policy, load, fault, lag_ms))
    condition = f"load{load * 100:.0f}.{fault}.lag{lag_ms:.0f}ms"
    for figure, unit in UNIT_BY_FIGURE.items():
        name = f"routing.{figure.removesuffix('_ms')}.{policy}.{condition}"
        print_figure(name, mean_figure(runs, figure), unit)


def print_cpu() -> None:
    """Print the processor time of a decision for several numbers of candidates."""
    for n_candidates in CANDIDATE_COUNTS:
        value = measure_decision_us(n_candidates)
        print_figure(f"routing.cpu_per_decision.{n_candidates}", value, "us")


def measure_decision_us(n_candidates: int, n_decisions: int = 2000) -> float:
    """Return the mean processor time of one decision, in microseconds."""
    random_state = Random(5)
    requests = [job.request for job in make_jobs(50.0, 4000.0, seed=5)]
    views = [_make_view(index, requests, random_state) for index in range(n_candidates)]
    policy = PredictedLatency("d0")
    start_ns = process_time_ns()
    for n in range(n_decisions):
        policy.choose(requests[n % len(requests)], views, 1000, random_state)
    return (process_time_ns() - start_ns) / n_decisions / 1000


def _make_view(
    index: int, requests: list[RequestSpec], random_state: Random
) -> EndpointView:
    capabilities = frozenset({"chat"}), frozenset({"model"}), frozenset[str]()
    endpoint_id = f"e{index}"
    info = EndpointInfo(endpoint_id, f"d{index % 3}", *capabilities, n_slots=16)
    n_running = random_state.randrange(12)
    report = LoadReported(
        endpoint_id,
        1,
        n_running,
        0,
        0,
        16,
        0.5,
        capabilities[1],
        capabilities[2],
        age_ms=500,
    )
    cached_requests = random_state.sample(requests, 10)
    return EndpointView(
        info=info,
        report=report,
        reported_at_ms=900,
        n_own_in_flight=n_running // 4,
        cached_prefixes={
            prefix for request in cached_requests for prefix in request.prefix_hashes
        },
    )


if __name__ == "__main__":
    main()
