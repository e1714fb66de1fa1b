"""Prefix cache with limited memory, as an engine keeps it."""

from collections import OrderedDict
from collections.abc import Sequence


class PrefixCache:
    """Blocks of prompt prefixes; the least recently used leave first.

    Parameters
    ----------
    n_blocks : int
        Blocks that fit into memory.
    """

    def __init__(self, n_blocks: int) -> None:
        self.n_blocks = n_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def use(self, hashes: Sequence[int]) -> tuple[int, list[int], list[int]]:
        """Load a prompt; return the blocks found, those added and those removed."""
        n_found = 0
        for value in hashes:
            if value not in self._blocks:
                break
            n_found += 1
        added = [value for value in hashes if value not in self._blocks]
        # Later blocks are touched first so that they also leave first: a block is
        # useless without those before it.
        for value in reversed(hashes):
            self._blocks[value] = None
            self._blocks.move_to_end(value)
        removed = []
        while len(self._blocks) > self.n_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        return n_found, added, removed

    def clear(self) -> None:
        """Forget everything, as after a crash."""
        self._blocks.clear()
