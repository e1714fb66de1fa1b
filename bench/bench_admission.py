"""Admission queues: goodput and share of small customers at several loads."""

from collections.abc import Callable
from functools import cache

from bench.engine_model import Job
from bench.figures import Figures, compute_figures, is_within_deadline
from bench.report import print_figure
from bench.routing_runs import (
    SEEDS_AT_TARGET,
    make_policy,
    mean_figure,
    measure_capacity,
)
from bench.system_model import Scenario, System
from bench.workload_model import make_jobs
from bluebellusher_core.admission import FairQueue, FifoQueue

QUEUES = {"fair": FairQueue, "fifo": FifoQueue}
LOADS = (0.8, 1.0, 1.2, 1.5, 2.0)
TARGET_LOAD = 1.5
TARGET_SHARE = 0.95
LAG_MS = 1000.0
END_MS = 60_000.0
Run = tuple[Figures, list[Job]]


@cache
def measure(queue: str, load: float) -> list[Run]:
    """Return the figures and requests of one queue at one load, one pair per seed."""
    scenario = Scenario("none", LAG_MS, end_ms=END_MS)
    runs = []
    for seed in SEEDS_AT_TARGET:
        jobs = make_jobs(load * measure_capacity(), END_MS, seed)
        system = System(scenario, QUEUES[queue], make_policy("predicted-latency"), seed)
        system.run(jobs)
        runs.append((compute_figures(system, jobs, scenario), jobs))
    return runs


def compute_goodput_share(queue: str, load: float) -> float:
    """Return the rate of answers within their deadline over the capacity."""
    figures = [figures for figures, _ in measure(queue, load)]
    return mean_figure(figures, "goodput_per_s") / measure_capacity()


def compute_token_share(queue: str, load: float) -> float:
    """Return the token rate of answers within their deadline over the capacity.

    The capacity in tokens is that in requests times the mean length of an answer.
    Preferring short answers raises the rate of requests, but not this figure.
    """
    figures = [figures for figures, _ in measure(queue, load)]
    reference = measure_capacity() * compute_mean_output_tokens()
    return mean_figure(figures, "goodput_tokens_per_s") / reference


@cache
def compute_mean_output_tokens() -> float:
    """Return the mean number of output tokens of an answer in the workload."""
    jobs = make_jobs(100.0, END_MS, SEEDS_AT_TARGET[0])
    return sum(job.n_output_tokens for job in jobs) / len(jobs)


def compute_small_customer_share(queue: str, load: float) -> float:
    """Return the share of the requests of small customers with an answer in time.

    Only requests are counted that arrived after the warm-up and whose deadline lies
    before the end of the run.
    """
    jobs = [
        job
        for _, run_jobs in measure(queue, load)
        for job in run_jobs
        if job.request.customer_id.startswith("small")
        and 15_000 <= job.arrived_at <= END_MS - 30_000
    ]
    return sum(1 for job in jobs if is_within_deadline(job)) / len(jobs)


def main() -> None:
    """Print all figures. They are deterministic."""
    for load in LOADS:
        baseline = compute_goodput_share("fifo", load)
        is_target = load == TARGET_LOAD
        target = f">={TARGET_SHARE}" if is_target else "none"
        condition = f"load{load * 100:.0f}"
        value = compute_goodput_share("fair", load)
        name = f"admission.goodput_over_capacity.{condition}"
        print_figure(name, value, "ratio", target, f"{baseline:.4g}")
        print_pair(
            f"admission.goodput_tokens_over_capacity.{condition}",
            compute_token_share,
            load,
        )
        name = f"admission.small_customers_answered.{condition}"
        print_pair(name, compute_small_customer_share, load)
        for queue in QUEUES:
            figures = [figures for figures, _ in measure(queue, load)]
            rejected_share = mean_figure(figures, "rejected_share")
            print_figure(
                f"admission.refused_at_once.{queue}.{condition}",
                rejected_share,
                "share",
            )
            p95_ms = mean_figure(figures, "ttft_p95_ms")
            print_figure(f"admission.ttft_p95.{queue}.{condition}", p95_ms, "ms")


def print_pair(name: str, compute: Callable[[str, float], float], load: float) -> None:
    """Print one figure of the fair queue, with that of the FIFO queue as baseline."""
    baseline = compute("fifo", load)
    print_figure(name, compute("fair", load), "ratio", "none", f"{baseline:.4g}")


if __name__ == "__main__":
    main()
