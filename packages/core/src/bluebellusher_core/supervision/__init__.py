"""Supervision of tasks that run for the lifetime of a process."""

from bluebellusher_core.supervision._supervise import RESTART_DELAY_MS, supervise

__all__ = ["RESTART_DELAY_MS", "supervise"]
