"""Parts of a process that run for as long as it does."""

from bluebellusher_core.supervision._supervise import RESTART_PAUSE_MS, supervise

__all__ = ["RESTART_PAUSE_MS", "supervise"]
