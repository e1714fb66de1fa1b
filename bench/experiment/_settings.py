"""Validated settings of a simulated day."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

PositiveFloat = Annotated[float, Field(gt=0)]
PositiveInt = Annotated[int, Field(gt=0)]


class Load(BaseModel):
    """Load of one simulated day.

    Times are in ms unless a name says otherwise.

    Parameters
    ----------
    duration_ms : int
        Time in which new callers arrive.
    callers_per_s : float
        Mean rate of new callers.
    burst_factor : float
        Factor of the rate in the middle fifth of the day.
    entry_shares : tuple of float
        Share of the callers of each entry, in any unit.
    n_ranks, n_slots : int
        Ranks of the group, and requests that each rank runs at once.
    pass_ms, pass_ms_per_run : float
        Duration of a pass without work, and increase per request on the fullest rank.
    n_events : float
        Mean number of events of an answer; each pass makes one event.
    deadline_range_ms : tuple of int
        Bounds of the callers' deadlines.
    objective_ms, patience_ms : int
        Latency objective, and time without an event after which a caller leaves.
    n_closures : int
        Number of times that the group closes.
    closure_range_ms : tuple of int
        Bounds of the time from the last pass before a closure to the opening.
    stall_ms : int
        Time from the last pass until the ranks report that the group is closed.
    kill_probability : float
        Probability that all entries are killed within 3 s after an opening.
    time_scale : float
        Factor of all times of the load.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    duration_ms: PositiveInt = 30_000
    callers_per_s: PositiveFloat = 28.0
    burst_factor: PositiveFloat = 1.0
    entry_shares: tuple[PositiveFloat, ...] = (0.18, 0.18, 0.36, 0.28)
    n_ranks: PositiveInt = 12
    n_slots: PositiveInt = 6
    pass_ms: PositiveFloat = 30.0
    pass_ms_per_run: float = Field(default=5.0, ge=0)
    n_events: PositiveFloat = 28.0
    deadline_range_ms: tuple[PositiveInt, PositiveInt] = (6_800, 8_000)
    objective_ms: PositiveInt = 400
    patience_ms: PositiveInt = 2_000
    n_closures: int = Field(default=1, ge=0)
    closure_range_ms: tuple[PositiveInt, PositiveInt] = (1_500, 7_000)
    stall_ms: PositiveInt = 1_500
    kill_probability: float = Field(default=0.0, ge=0, le=1)
    time_scale: PositiveFloat = 1.0

    def scale(self, time_ms: float) -> int:
        """Return a time of this load, multiplied by its ``time_scale``."""
        return int(time_ms * self.time_scale)
