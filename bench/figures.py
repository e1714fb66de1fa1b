"""Figures of one run of the served system, for the measurements only."""

from dataclasses import dataclass

from bench.engine_model import BLOCK_TOKENS, Job
from bench.system_model import Scenario, System


@dataclass(frozen=True, slots=True)
class Figures:
    """Results over the requests that arrived after the fault.

    Times to first token cover every dispatched or expired request; one that never
    got a first token counts with its whole deadline. Times between tokens are means
    per answer.
    """

    n_requests: int
    ttft_p50_ms: float
    ttft_p95_ms: float
    ttft_p99_ms: float
    tbt_p95_ms: float
    cache_hit_share: float
    load_skew: float
    goodput_per_s: float
    goodput_tokens_per_s: float
    refused_share: float


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that at least ``share`` of the values reach."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, -int(-share * len(ordered) // 1))
    return ordered[rank - 1]


def compute_figures(system: System, jobs: list[Job], scenario: Scenario) -> Figures:
    """Return the figures of the requests between the fault and the last deadlines."""
    start, end = scenario.fault_at_ms, scenario.end_ms
    measured = [
        job for job in jobs if start <= job.arrived_at and _is_decided(job, end)
    ]
    ttfts = [_ttft_ms(job) for job in measured if job.outcome != "refused"]
    answered = [j for j in measured if j.outcome == "completed"]
    tbts = [_time_between_tokens(job) for job in answered if job.n_output_tokens > 1]
    started = [job for job in measured if job.first_at >= 0]
    n_prompt = sum(job.request.n_input_tokens for job in started)
    n_cached = sum(job.n_cached_blocks * BLOCK_TOKENS for job in started)
    good = [j for j in jobs if start <= j.finished_at <= end and is_good(j)]
    seconds = (end - start) / 1000.0
    n_refused = sum(1 for job in measured if job.outcome == "refused")
    return Figures(
        n_requests=len(measured),
        ttft_p50_ms=percentile(ttfts, 0.50),
        ttft_p95_ms=percentile(ttfts, 0.95),
        ttft_p99_ms=percentile(ttfts, 0.99),
        tbt_p95_ms=percentile(tbts, 0.95),
        cache_hit_share=n_cached / n_prompt if n_prompt else 0.0,
        load_skew=sum(system.skews) / len(system.skews) if system.skews else 0.0,
        goodput_per_s=len(good) / seconds,
        goodput_tokens_per_s=sum(job.n_output_tokens for job in good) / seconds,
        refused_share=n_refused / len(measured) if measured else 0.0,
    )


def _is_decided(job: Job, end: float) -> bool:
    # A request that has its first token or was given up has its final figure.
    return job.first_at >= 0 or bool(job.outcome) or job.request.deadline_ms <= end


def is_good(job: Job) -> bool:
    """Return whether the whole answer arrived within its deadline."""
    return job.outcome == "completed" and job.finished_at <= job.request.deadline_ms


def _ttft_ms(job: Job) -> float:
    if job.first_at >= 0:
        return job.first_at - job.arrived_at
    return job.request.deadline_ms - job.arrived_at


def _time_between_tokens(job: Job) -> float:
    return (job.finished_at - job.first_at) / (job.n_output_tokens - 1)
