"""State of one entry and its settings; only the reducer changes it."""

from bluebellusher_core.state._config import EntryConfig
from bluebellusher_core.state._state import EntryState

__all__ = ["EntryConfig", "EntryState"]
