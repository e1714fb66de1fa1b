"""Supervision of tasks that run for the lifetime of a process."""

from bluebellusher_core.supervision._supervise import RESTART_PAUSE_MS, supervise

__all__ = ["RESTART_PAUSE_MS", "supervise"]
