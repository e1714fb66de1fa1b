"""Continuous batching of generations in the engine stand-in."""

import asyncio
from collections.abc import Callable, Sequence

from bluebellusher_core.prefix import BLOCK_BYTES
from bluebellusher_standins._generation import BYTES_PER_TOKEN, Generation
from bluebellusher_standins._prefix_cache import PrefixCache

BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
CacheListener = Callable[[list[int], list[int]], None]


class Batcher:
    """Runner of generations in a batch of bounded size, one step at a time.

    In each step, every generation whose prompt has been read emits one token. The other
    generations share the prefill budget of the step, in the order in which they entered
    the batch.

    Parameters
    ----------
    n_slots : int
        Maximum number of generations in the batch.
    token_interval_ms : float
        Duration of a step, in ms.
    prefill_tokens_per_ms : float
        Prefill speed in tokens per ms, shared by all prompts that are being read.
    cache : PrefixCache
        Cache of the prompt blocks in memory.
    on_cache_change : callable
        Called with the hashes of the blocks that were added and of those removed.
    on_admit : callable
        Called with each generation that enters the batch; may crash the engine.
    """

    def __init__(
        self,
        n_slots: int,
        token_interval_ms: float,
        prefill_tokens_per_ms: float,
        cache: PrefixCache,
        on_cache_change: CacheListener,
        on_admit: Callable[[Generation], None],
    ) -> None:
        self.n_slots = n_slots
        self.token_interval_ms = token_interval_ms
        self.prefill_tokens_per_ms = prefill_tokens_per_ms
        self.is_stalled = False
        self._cache = cache
        self._on_cache_change = on_cache_change
        self._on_admit = on_admit
        self._waiting: list[Generation] = []
        self._running: list[Generation] = []
        self._task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()

    @property
    def running(self) -> Sequence[Generation]:
        """Return the generations that are in the batch."""
        return self._running

    @property
    def n_waiting(self) -> int:
        """Return the number of generations that wait for a slot."""
        return len(self._waiting)

    def count_queued_tokens(self) -> int:
        """Return the number of prompt tokens that have not been read yet."""
        waiting = sum(g.n_prompt_tokens for g in self._waiting)
        return waiting + int(sum(g.n_uncached_tokens for g in self._running))

    def submit(self, generation: Generation) -> None:
        """Queue a generation.

        The queue is ordered by priority, where 0 is the highest, and then by arrival.
        """
        self._waiting.append(generation)
        self._changed.set()
        self._waiting.sort(key=lambda item: item.priority)
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def wait_for_counts(self, n_running: int, n_waiting: int) -> None:
        """Wait until exactly ``n_running`` generations run and ``n_waiting`` wait.

        Only tests use this method.
        """
        while (len(self._running), len(self._waiting)) != (n_running, n_waiting):
            self._changed.clear()
            await self._changed.wait()

    def clear(self) -> None:
        """Cancel all generations, as a crash of the engine does."""
        for generation in (*self._waiting, *self._running):
            generation.cancel()
        self._waiting.clear()
        self._running.clear()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        """Run steps until no generation runs or waits."""
        loop = asyncio.get_running_loop()
        next_step_s = loop.time()
        while self._waiting or self._running:
            self._admit_waiting()
            next_step_s = max(next_step_s + self.token_interval_ms / 1000, loop.time())
            await asyncio.sleep(next_step_s - loop.time())
            if not self.is_stalled:
                self._run_step()

    def _admit_waiting(self) -> None:
        """Move waiting generations into the free slots of the batch."""
        self._waiting = [g for g in self._waiting if not g.is_cancelled]
        while self._waiting and len(self._running) < self.n_slots:
            generation = self._waiting.pop(0)
            n_found, added, removed = self._cache.use(generation.prefix_hashes)
            n_cached = min(n_found * BLOCK_TOKENS, generation.n_prompt_tokens)
            generation.n_cached_tokens = n_cached
            generation.n_uncached_tokens = generation.n_prompt_tokens - n_cached
            if added or removed:
                self._on_cache_change(added, removed)
            self._running.append(generation)
            self._changed.set()
            self._on_admit(generation)

    def _run_step(self) -> None:
        """Read prompts within the prefill budget; emit a token for each read prompt."""
        budget = self.prefill_tokens_per_ms * self.token_interval_ms
        for generation in self._running:
            if generation.n_uncached_tokens > 0:
                n_read_tokens = min(budget, generation.n_uncached_tokens)
                generation.n_uncached_tokens -= n_read_tokens
                budget -= n_read_tokens
            elif not generation.is_cancelled:
                generation.emit_token()
        self._running = [
            g for g in self._running if not (g.is_finished or g.is_cancelled)
        ]
