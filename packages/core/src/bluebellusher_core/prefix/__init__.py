"""Hashes of prompt prefixes, which identify cached blocks in events of engines."""

from bluebellusher_core.prefix._prefix import (
    BLOCK_BYTES,
    compute_prefix_hashes,
    read_prompt,
)

__all__ = ["BLOCK_BYTES", "compute_prefix_hashes", "read_prompt"]
