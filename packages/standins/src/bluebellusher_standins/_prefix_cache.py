"""Prefix cache of limited size, like that of a model engine."""

from collections import OrderedDict
from collections.abc import Sequence


class PrefixCache:
    """Cache of prompt prefix blocks that evicts the least recently used blocks first.

    Parameters
    ----------
    n_blocks : int
        Maximum number of blocks.
    """

    def __init__(self, n_blocks: int) -> None:
        self.n_blocks = n_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def use(self, hashes: Sequence[int]) -> tuple[int, list[int], list[int]]:
        """Put the blocks of a prompt into the cache.

        Returns the number of leading blocks that were cached already, the hashes of the
        blocks that were added, and the hashes of the blocks that were evicted.
        """
        n_found = 0
        for block_hash in hashes:
            if block_hash not in self._blocks:
                break
            n_found += 1
        added = [block_hash for block_hash in hashes if block_hash not in self._blocks]
        # Later blocks are marked as used first, so that they are also evicted first: a
        # block is useless without the blocks before it.
        for block_hash in reversed(hashes):
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        removed = []
        while len(self._blocks) > self.n_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        return n_found, added, removed

    def clear(self) -> None:
        """Discard all blocks, as a crash of the engine does."""
        self._blocks.clear()
