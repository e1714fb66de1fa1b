"""Simulation of one engine in virtual time.

The engine uses continuous batching: up to ``N_SLOTS`` requests are in the batch, one
prompt at a time is in prefill, and all other requests produce one token in each step.
Rates are constant between two events, so the simulation advances from event to event
instead of from step to step. Times are in milliseconds.
"""

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from bluebellusher_core.events import RequestSpec

N_SLOTS = 16
PREFILL_TOKENS_PER_MS = 10.0
STEP_MS = 18.0
# Additional time of a step for each request in the batch and for a running prefill.
STEP_MS_PER_REQUEST = 0.4
STEP_MS_IN_PREFILL = 8.0
BLOCK_TOKENS = 256
CACHE_BLOCKS = 320


@dataclass(slots=True, eq=False)
class Job:
    """One request and its progress.

    ``n_output_tokens`` is the actual length of the answer, which is not available to
    policies. Times are in milliseconds and -1 until they are set.
    """

    request: RequestSpec
    entry_index: int
    arrived_at: float
    n_output_tokens: int
    engine: "Engine | None" = None
    attempt_id: str = ""
    state: str = "waiting"
    dispatched_at: float = -1.0
    first_token_at: float = -1.0
    finished_at: float = -1.0
    n_cached_blocks: int = 0
    outcome: str = ""


@dataclass(slots=True, eq=False)
class Engine:
    """State of one engine.

    Attributes
    ----------
    speed : float
        Factor on all rates: 1 is normal and 0 is frozen.
    version : int
        Number of the latest scheduled event. Events with a lower number are outdated.
    prefills : deque of Job
        Requests in the batch that have not produced a token; the first is in prefill.
    remaining_prefill_tokens : float
        Tokens of the first prompt that are still to be processed.
    decode_heap : list of (float, int, Job)
        Last step, number and job of each request that produces tokens. Cancelled jobs
        stay in the heap until they are at its top.
    n_steps_done : float
        Number of decode steps since the start.
    cache : OrderedDict
        Hashes of cached prefix blocks, least recently used first.
    added, removed : list of int
        Changes of the cache since the last cache report.
    """

    engine_id: str
    failure_domain: str
    speed: float = 1.0
    is_lost: bool = False
    now: float = 0.0
    version: int = 0
    queue: deque[Job] = field(default_factory=deque)
    prefills: deque[Job] = field(default_factory=deque)
    remaining_prefill_tokens: float = 0.0
    decode_heap: list[tuple[float, int, Job]] = field(default_factory=list)
    n_decoding: int = 0
    n_steps_done: float = 0.0
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    added: list[int] = field(default_factory=list)
    removed: list[int] = field(default_factory=list)
    n_prefilled_jobs: int = 0

    @property
    def n_running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self.prefills) + self.n_decoding

    @property
    def n_queued_tokens(self) -> int:
        """Return the number of prompt tokens that are still to be processed."""
        waiting = [*self.queue, *list(self.prefills)[1:]]
        n_tokens = sum(self.uncached_tokens(job.request) for job in waiting)
        return n_tokens + int(self.remaining_prefill_tokens)

    def uncached_tokens(self, request: RequestSpec) -> int:
        """Return the number of prompt tokens to process, which is at least 1."""
        n_cached = self.count_cached_blocks(request) * BLOCK_TOKENS
        return max(1, request.n_input_tokens - n_cached)

    def count_cached_blocks(self, request: RequestSpec) -> int:
        """Return the length of the cached prefix in blocks."""
        n_blocks = 0
        for prefix in request.prefix_hashes:
            if prefix not in self.cache:
                break
            n_blocks += 1
        return n_blocks

    def step_ms(self) -> float:
        """Return the current duration of one decode step, in milliseconds."""
        in_prefill = STEP_MS_IN_PREFILL if self.prefills else 0.0
        return STEP_MS + STEP_MS_PER_REQUEST * self.n_running + in_prefill

    def advance(self, now: float) -> None:
        """Advance prefill and decoding to the time ``now``."""
        elapsed = (now - self.now) * self.speed
        self.now = now
        if elapsed <= 0:
            return
        if self.n_decoding:
            self.n_steps_done += elapsed / self.step_ms()
        if self.prefills:
            n_remaining = (
                self.remaining_prefill_tokens - elapsed * PREFILL_TOKENS_PER_MS
            )
            self.remaining_prefill_tokens = max(0.0, n_remaining)

    def next_event_at(self) -> float | None:
        """Return the time at which the next prefill or answer ends.

        The result is None if the engine is idle, frozen or lost.
        """
        while self.decode_heap and self.decode_heap[0][2].state != "decode":
            heapq.heappop(self.decode_heap)
        if self.speed <= 0 or self.is_lost:
            return None
        times = []
        if self.prefills:
            times.append(self.remaining_prefill_tokens / PREFILL_TOKENS_PER_MS)
        if self.decode_heap:
            n_steps = max(0.0, self.decode_heap[0][0] - self.n_steps_done)
            times.append(n_steps * self.step_ms())
        return self.now + min(times) / self.speed if times else None

    def submit(self, job: Job) -> None:
        """Add a request to the queue. The engine must have been advanced before."""
        job.engine = self
        job.state = "queued"
        self.queue.append(job)
        self.fill_batch()

    def fill_batch(self) -> None:
        """Move waiting requests into free slots."""
        while self.queue and self.n_running < N_SLOTS:
            job = self.queue.popleft()
            job.state = "prefill"
            self.prefills.append(job)
            if len(self.prefills) == 1:
                self._begin_prefill()

    def finish_prefill(self) -> Job | None:
        """Move the first request from prefill to decoding if its prompt is processed.

        Return that request, or None.
        """
        if not self.prefills or self.remaining_prefill_tokens > 1e-6:
            return None
        job = self.prefills.popleft()
        self._cache_prefixes(job.request)
        job.state = "decode"
        self.n_decoding += 1
        self.n_prefilled_jobs += 1
        end_step = self.n_steps_done + job.n_output_tokens - 1
        heapq.heappush(self.decode_heap, (end_step, self.n_prefilled_jobs, job))
        self._begin_prefill()
        return job

    def finish_decode(self) -> Job | None:
        """Remove one request whose answer is complete from the batch and return it.

        The result is None if there is no such request.
        """
        if not self.decode_heap or self.decode_heap[0][0] > self.n_steps_done + 1e-9:
            return None
        job = heapq.heappop(self.decode_heap)[2]
        if job.state != "decode":
            return None
        job.state = "done"
        self.n_decoding -= 1
        self.fill_batch()
        return job

    def cancel(self, job: Job) -> None:
        """Remove a request in any state. The engine must have been advanced before."""
        if job.state == "queued":
            self.queue.remove(job)
        elif job.state == "prefill":
            is_first = self.prefills[0] is job
            self.prefills.remove(job)
            if is_first:
                self._begin_prefill()
        elif job.state == "decode":
            self.n_decoding -= 1
        job.state = "done"
        self.fill_batch()

    def _begin_prefill(self) -> None:
        if self.prefills:
            job = self.prefills[0]
            job.n_cached_blocks = self.count_cached_blocks(job.request)
            self.remaining_prefill_tokens = float(self.uncached_tokens(job.request))

    def _cache_prefixes(self, request: RequestSpec) -> None:
        for prefix in request.prefix_hashes:
            if prefix in self.cache:
                self.cache.move_to_end(prefix)
            else:
                self.cache[prefix] = None
                self.added.append(prefix)
        while len(self.cache) > CACHE_BLOCKS:
            self.removed.append(self.cache.popitem(last=False)[0])
