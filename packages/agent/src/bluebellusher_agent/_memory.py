"""Measurement and reduction of the resident memory of this process."""

import os

from bluebellusher_agent._log import log

# The limit of resident memory for control on a node is 32 MB. Trimming starts below it
# so that memory that is allocated afterwards stays within the limit.
TRIM_ABOVE_BYTES = 29_000_000
TRIM_STEP_BYTES = 1_000_000


def read_resident_bytes() -> int:
    """Return the resident memory in bytes, 0 if the system does not report it."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError):
        return 0


class MemoryTrimmer:
    """Return free heap pages to the system when the process exceeds a size limit.

    The C library retains about 8 MB of free heap after modules were compiled without
    a bytecode cache or after a burst of load. ``ctypes`` is imported only when memory
    is trimmed, because it costs more than 1 MB itself.
    """

    def __init__(self) -> None:
        self._limit_bytes = TRIM_ABOVE_BYTES

    def trim(self) -> None:
        """Trim the heap if the resident memory exceeds the limit.

        Afterwards the limit is at least ``TRIM_STEP_BYTES`` above the remaining size,
        so that memory that cannot be freed does not cause a trim in each call.
        """
        size_before = read_resident_bytes()
        if size_before <= self._limit_bytes:
            return
        import ctypes

        trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
        if trim is not None:
            trim(0)
        size_after = read_resident_bytes()
        self._limit_bytes = max(TRIM_ABOVE_BYTES, size_after + TRIM_STEP_BYTES)
        log("memory-trimmed", before_bytes=size_before, after_bytes=size_after)
