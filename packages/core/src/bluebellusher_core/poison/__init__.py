"""Fingerprints of requests that crash endpoints or may do so."""

from bluebellusher_core.poison._crashes import CrashCounter
from bluebellusher_core.poison._table import HOLD_MS, PoisonTable

__all__ = ["HOLD_MS", "CrashCounter", "PoisonTable"]
