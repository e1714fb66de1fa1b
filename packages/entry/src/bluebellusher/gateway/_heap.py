"""Settings of the C library's allocator, which retains free memory by itself."""

import ctypes

_M_MMAP_THRESHOLD = -3
# Size in bytes from which a block is mapped by itself. The C library otherwise raises
# it with the size of freed blocks; large bodies then grow by copies on a heap that
# cannot shrink.
_MMAP_THRESHOLD_BYTES = 131_072


def map_large_blocks() -> None:
    """Let the C library return each large block to the system when it is freed."""
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)


def release_free_memory() -> None:
    """Return the free pages of the heap to the system."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
