"""State and settings of one entry; only the reducer changes the state."""

from bluebellusher_core.state._config import EntryConfig
from bluebellusher_core.state._state import EntryState

__all__ = ["EntryConfig", "EntryState"]
