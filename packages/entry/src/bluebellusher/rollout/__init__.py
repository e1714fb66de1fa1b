"""Rollout of the configuration: operators' changes, spread, version in force."""

from bluebellusher.rollout._in_force import ConfigInForce, ConfigSource, RulesListener
from bluebellusher.rollout._rollout import ConfigRollout

__all__ = ["ConfigInForce", "ConfigRollout", "ConfigSource", "RulesListener"]
