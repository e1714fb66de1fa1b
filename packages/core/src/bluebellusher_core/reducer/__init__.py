"""The one function that changes the state of an entry."""

from bluebellusher_core.reducer._config import EntryConfig
from bluebellusher_core.reducer._reduce import reduce
from bluebellusher_core.reducer._state import EntryState

__all__ = ["EntryConfig", "EntryState", "reduce"]
