"""Function that applies events to the state of an entry."""

from bluebellusher_core.reducer._reduce import reduce
from bluebellusher_core.state import EntryConfig, EntryState

__all__ = ["EntryConfig", "EntryState", "reduce"]
