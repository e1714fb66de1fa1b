"""Changes of the rules, their distribution to entries, and the version in force."""

from bluebellusher.rollout._in_force import ConfigInForce, ConfigSource, RulesListener
from bluebellusher.rollout._rollout import ConfigRollout

__all__ = ["ConfigInForce", "ConfigRollout", "ConfigSource", "RulesListener"]
