"""Validated experiments, from TOML files."""

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from bench.experiment._overload_settings import OverloadLoad
from bench.experiment._settings import Load


class Experiment(BaseModel):
    """Policies, loads and seeds to compare.

    Parameters
    ----------
    policies : tuple of str
        Names in ``bench.experiment.POLICY_BY_NAME``.
    seeds : tuple of int
        One day is simulated for each seed, load and policy.
    loads, overloads : dict of str to Load
        Loads by name, of groups that close and of groups that are overloaded.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    policies: tuple[str, ...] = Field(min_length=1)
    seeds: tuple[int, ...] = Field(min_length=1)
    loads: dict[str, Load] = {}
    overloads: dict[str, OverloadLoad] = {}

    @model_validator(mode="after")
    def _has_load(self) -> "Experiment":
        if not self.loads and not self.overloads:
            raise ValueError("expected at least one load")
        return self


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
