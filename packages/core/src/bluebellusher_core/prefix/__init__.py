"""Hashes of prompt prefixes, as engines name cached blocks in their events."""

from bluebellusher_core.prefix._prefix import (
    BLOCK_BYTES,
    compute_prefix_hashes,
    read_prompt,
)

__all__ = ["BLOCK_BYTES", "compute_prefix_hashes", "read_prompt"]
