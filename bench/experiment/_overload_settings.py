"""Validated settings of a day on which callers compete for insufficient capacity."""

from pydantic import BaseModel, ConfigDict, Field

from bench.experiment._settings import Load, PositiveFloat, PositiveInt
from bluebellusher_core.directory import EngineModel, GroupModel


class Kind(BaseModel):
    """Kind of callers: its share of all, its priority, objective and worth."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    share: PositiveFloat
    priority: int = Field(ge=0, le=2)
    objective_ms: PositiveInt
    worth: PositiveFloat
    late_share: float = Field(ge=0, le=1)


def _make_kinds() -> tuple[Kind, ...]:
    rows = (
        (40.5, 0, 506, 3.1, 0.3),
        (53.5, 1, 507, 1.6, 0.41),
        (17.9, 2, 1_007, 0.8, 0.3),
    )
    names = ("share", "priority", "objective_ms", "worth", "late_share")
    return tuple(
        Kind.model_validate(dict(zip(names, row, strict=True))) for row in rows
    )


class OverloadLoad(Load):
    """Load of a day with several kinds of callers and passes by an engine's model.

    The burst is from ``burst_begin_ms`` to ``burst_end_ms``. Times are in ms.

    Parameters
    ----------
    kinds : tuple of Kind
        Kinds of callers.
    burst_kinds : tuple of int
        Positions of the kinds that the burst consists of; empty for all.
    max_gap_ms : int
        Longest gap between events of an answer on time.
    n_customers : int
        Number of customers.
    large_customer_share : float
        Share of the burst's callers that belong to one customer.
    long_prompt_share, long_prompt_factor : float
        Share of the burst's prompts that are longer by the factor.
    burst_skew_factor : float
        Factor of the experts' imbalance in the burst, as under a hot prompt.
    retries_at_once : bool
        Whether callers ignore the time after which they may retry.
    skew_range : tuple of float
        Bounds of the load of the most loaded rank, as a multiple of the mean.
    slow_pace, n_slow_ranks : float, int
        Pace of the slow ranks, from the begin of the burst, and their number.
    """

    duration_ms: PositiveInt = 30_000
    callers_per_s: PositiveFloat = 56.0
    burst_factor: PositiveFloat = 2.5
    entry_shares: tuple[PositiveFloat, ...] = (1.0, 1.1, 1.2, 1.3, 1.0, 1.1, 1.2)
    n_ranks: PositiveInt = 32
    n_slots: PositiveInt = 5
    n_events: PositiveFloat = 19.2
    n_closures: int = Field(default=0, ge=0)
    deadline_range_ms: tuple[PositiveInt, PositiveInt] = (8_000, 8_200)
    kinds: tuple[Kind, ...] = Field(default_factory=_make_kinds)
    burst_begin_ms: int = 8_000
    burst_end_ms: int = 22_000
    burst_kinds: tuple[int, ...] = ()
    max_gap_ms: PositiveInt = 150
    n_customers: PositiveInt = 24
    large_customer_share: float = Field(default=0.0, ge=0, le=1)
    n_prompt_tokens: PositiveFloat = 868.0
    long_prompt_share: float = Field(default=0.0, ge=0, le=1)
    long_prompt_factor: PositiveFloat = 8.0
    burst_skew_factor: PositiveFloat = 1.0
    retries_at_once: bool = False
    skew_range: tuple[PositiveFloat, PositiveFloat] = (1.1, 1.6)
    expert_share: float = Field(default=0.85, ge=0, le=1)
    pair_ms: float = Field(default=0.525, ge=0)
    slow_pace: PositiveFloat = 1.0
    n_slow_ranks: int = Field(default=0, ge=0)

    def is_burst(self, at_ms: float) -> bool:
        """Return whether the burst is on."""
        return self.burst_begin_ms <= at_ms < self.burst_end_ms

    def get_pace(self, rank: int, at_ms: float) -> float:
        """Return the time that a rank needs, as a multiple of the usual time."""
        is_slow = rank < self.n_slow_ranks and at_ms >= self.burst_begin_ms
        return self.slow_pace if is_slow else 1.0

    def make_engine(self) -> EngineModel:
        """Return the model of the engine, as a service is configured with it."""
        return EngineModel(
            n_slots=self.n_slots,
            n_kv_tokens=40_000,
            n_steps_per_pass=5,
            step_ms=4.55,
            sequence_ms=2.18,
            context_ms_per_1000=0.044,
            prefill_tokens_per_ms=61.4,
            n_chunk_tokens=512,
            n_usual_prompt_tokens=868.0,
            n_usual_answer_tokens=96.0,
            report_lag_ms=0.0,
            group=GroupModel(12, 64, 8, 4, 1, 1.0, self.expert_share),
        )
