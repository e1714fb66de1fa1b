"""Figures of one simulation of entries and engines."""

from dataclasses import dataclass

from bench.engine_model import BLOCK_TOKENS, Job
from bench.system_model import Scenario, System


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of the requests that arrived after the fault.

    Times to first token (``ttft``) include every request except rejected ones; a
    request without a first token counts with the time from its arrival to its deadline.
    Times between tokens (``tbt``) are means per answer. ``load_skew`` is the maximum
    load of an engine over the mean load. Goodput counts the answers that were complete
    within their deadline.
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
    rejected_share: float


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that at least ``share`` of the values do not exceed.

    The result is 0 if there are no values.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, -int(-share * len(ordered) // 1))
    return ordered[rank - 1]


def compute_figures(system: System, jobs: list[Job], scenario: Scenario) -> Figures:
    """Return the figures of the requests that arrived after the fault.

    Requests that are still undecided at the end of the run are left out.
    """
    start, end = scenario.fault_at_ms, scenario.end_ms
    measured_jobs = [
        job for job in jobs if start <= job.arrived_at and _has_final_figures(job, end)
    ]
    ttfts = [_ttft_ms(job) for job in measured_jobs if job.outcome != "rejected"]
    completed_jobs = [j for j in measured_jobs if j.outcome == "completed"]
    tbts = [
        _time_between_tokens(job) for job in completed_jobs if job.n_output_tokens > 1
    ]
    started_jobs = [job for job in measured_jobs if job.first_token_at >= 0]
    n_prompt_tokens = sum(job.request.n_input_tokens for job in started_jobs)
    n_cached_tokens = sum(job.n_cached_blocks * BLOCK_TOKENS for job in started_jobs)
    good_jobs = [
        j for j in jobs if start <= j.finished_at <= end and is_within_deadline(j)
    ]
    seconds = (end - start) / 1000.0
    n_rejected = sum(1 for job in measured_jobs if job.outcome == "rejected")
    return Figures(
        n_requests=len(measured_jobs),
        ttft_p50_ms=percentile(ttfts, 0.50),
        ttft_p95_ms=percentile(ttfts, 0.95),
        ttft_p99_ms=percentile(ttfts, 0.99),
        tbt_p95_ms=percentile(tbts, 0.95),
        cache_hit_share=n_cached_tokens / n_prompt_tokens if n_prompt_tokens else 0.0,
        load_skew=sum(system.skews) / len(system.skews) if system.skews else 0.0,
        goodput_per_s=len(good_jobs) / seconds,
        goodput_tokens_per_s=sum(job.n_output_tokens for job in good_jobs) / seconds,
        rejected_share=n_rejected / len(measured_jobs) if measured_jobs else 0.0,
    )


def _has_final_figures(job: Job, end: float) -> bool:
    # A request with a first token or an outcome has its final time to first token.
    return (
        job.first_token_at >= 0 or bool(job.outcome) or job.request.deadline_ms <= end
    )


def is_within_deadline(job: Job) -> bool:
    """Return whether the complete answer arrived within its deadline."""
    return job.outcome == "completed" and job.finished_at <= job.request.deadline_ms


def _ttft_ms(job: Job) -> float:
    if job.first_token_at >= 0:
        return job.first_token_at - job.arrived_at
    return job.request.deadline_ms - job.arrived_at


def _time_between_tokens(job: Job) -> float:
    return (job.finished_at - job.first_token_at) / (job.n_output_tokens - 1)
