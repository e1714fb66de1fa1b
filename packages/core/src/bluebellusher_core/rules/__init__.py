"""Parsing, checking and comparing of rules files."""

from bluebellusher_core.rules._cursor import RuleError
from bluebellusher_core.rules._difference import RuleChange, diff_rules
from bluebellusher_core.rules._model import (
    TOKENS_UNIT,
    Budget,
    Capacity,
    Currency,
    Customer,
    EnginePrice,
    Engines,
    ExhaustedAction,
    Limit,
    Load,
    Model,
    MonthZone,
    Priority,
    Rate,
    Rule,
    Share,
    TokenKind,
    TokenPrice,
    Weight,
    WhenExhausted,
)
from bluebellusher_core.rules._parser import parse_rules
from bluebellusher_core.rules._ruleset import RuleSet
from bluebellusher_core.rules._schedule import DateRange, Schedule, local_to_utc_s

__all__ = [
    "TOKENS_UNIT",
    "Budget",
    "Capacity",
    "Currency",
    "Customer",
    "DateRange",
    "EnginePrice",
    "Engines",
    "ExhaustedAction",
    "Limit",
    "Load",
    "Model",
    "MonthZone",
    "Priority",
    "Rate",
    "Rule",
    "RuleChange",
    "RuleError",
    "RuleSet",
    "Schedule",
    "Share",
    "TokenKind",
    "TokenPrice",
    "Weight",
    "WhenExhausted",
    "diff_rules",
    "local_to_utc_s",
    "parse_rules",
]
