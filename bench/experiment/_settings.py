"""Validated settings of an experiment, from a TOML file."""

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

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


class Experiment(BaseModel):
    """Policies, loads and seeds to compare.

    Parameters
    ----------
    policies : tuple of str
        Names in ``bench.experiment.POLICY_BY_NAME``.
    seeds : tuple of int
        One day is simulated for each seed, load and policy.
    loads : dict of str to Load
        Loads by name.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    policies: tuple[str, ...] = Field(min_length=1)
    seeds: tuple[int, ...] = Field(min_length=1)
    loads: dict[str, Load] = Field(min_length=1)


def load_experiment(path: Path, policy_names: frozenset[str]) -> Experiment:
    """Return the experiment in a TOML file.

    Raises ``ValueError`` with the file, the key and what was expected when the file is
    no TOML, has an unknown key or policy, or a value out of range.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        experiment = Experiment.model_validate(values)
    except tomllib.TOMLDecodeError as error:
        raise ValueError(f"{path}: {error}") from error
    except ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        raise ValueError(
            f"{path}: {key}: found {first['input']!r}: {first['msg']}"
        ) from error
    unknown = sorted(set(experiment.policies) - policy_names)
    if unknown:
        expected = ", ".join(sorted(policy_names))
        raise ValueError(f"{path}: policies: found {unknown[0]!r}: expected {expected}")
    return experiment
