"""Fingerprints of poison requests, which crash endpoints, and of suspects."""

from bluebellusher_core.poison._crashes import (
    CRASH_MAX_AGE_MS,
    TRIAL_AFTER_MS,
    CrashCounter,
)
from bluebellusher_core.poison._parts import PartBlocks, is_part_key, part_key
from bluebellusher_core.poison._records import Crash, CrashRecord
from bluebellusher_core.poison._table import BLOCK_MS, HOLD_MS, PoisonTable

__all__ = [
    "BLOCK_MS",
    "CRASH_MAX_AGE_MS",
    "HOLD_MS",
    "TRIAL_AFTER_MS",
    "Crash",
    "CrashCounter",
    "CrashRecord",
    "PartBlocks",
    "PoisonTable",
    "is_part_key",
    "part_key",
]
