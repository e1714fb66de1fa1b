"""Fingerprints of requests that crash endpoints or may do so."""

from bluebellusher_core.poison._table import PoisonTable

__all__ = ["PoisonTable"]
