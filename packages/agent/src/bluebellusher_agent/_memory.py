"""Resident memory of this process."""

import os

from bluebellusher_agent._log import log

# The bound for control on a node is 32 MB; the margin is for what follows.
TRIM_ABOVE_BYTES = 29_000_000
TRIM_STEP_BYTES = 1_000_000


def read_resident_bytes() -> int:
    """Return resident memory in bytes; 0 where the system does not tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError):
        return 0


class MemoryTrimmer:
    """Give free heap pages back when the process is larger than it should be.

    Compiling modules without a bytecode cache, or a burst of load, leaves about
    8 MB of free heap that the C library keeps. ``ctypes`` is imported only then,
    because it costs more than 1 MB itself.
    """

    def __init__(self) -> None:
        self._limit_bytes = TRIM_ABOVE_BYTES

    def trim(self) -> None:
        """Trim when memory has grown since the last time."""
        before = read_resident_bytes()
        if before <= self._limit_bytes:
            return
        import ctypes

        trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
        if trim is not None:
            trim(0)
        after = read_resident_bytes()
        self._limit_bytes = max(TRIM_ABOVE_BYTES, after + TRIM_STEP_BYTES)
        log("memory-trimmed", before_bytes=before, after_bytes=after)
