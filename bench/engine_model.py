"""Virtual-time model of one engine, for the measurements only.

An engine batches continuously: up to ``N_SLOTS`` requests are in the batch, one
prompt at a time is in its prefill, and all others produce tokens in common steps.
Between two events every pace is constant, so that the model moves from event to
event instead of from step to step.
"""

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from bluebellusher_core.events import RequestSpec

N_SLOTS = 16
PREFILL_TOKENS_PER_MS = 10.0
STEP_MS = 18.0
# Each further request in the batch and a running prefill lengthen the step.
STEP_MS_PER_REQUEST = 0.4
STEP_MS_IN_PREFILL = 8.0
BLOCK_TOKENS = 256
CACHE_BLOCKS = 320


@dataclass(slots=True, eq=False)
class Job:
    """One request through the system.

    ``output_tokens`` is the real length of the answer, which no policy knows.
    """

    request: RequestSpec
    entry_index: int
    arrived_at: float
    n_output_tokens: int
    engine: "Engine | None" = None
    attempt_id: str = ""
    state: str = "waiting"
    dispatched_at: float = -1.0
    first_at: float = -1.0
    finished_at: float = -1.0
    n_cached_blocks: int = 0
    outcome: str = ""


@dataclass(slots=True, eq=False)
class Engine:
    """State of one engine; ``speed`` 1 is normal and 0 is frozen."""

    engine_id: str
    failure_domain: str
    speed: float = 1.0
    is_lost: bool = False
    now: float = 0.0
    version: int = 0
    queue: deque[Job] = field(default_factory=deque)
    prefills: deque[Job] = field(default_factory=deque)
    prefill_left: float = 0.0
    decodes: list[tuple[float, int, Job]] = field(default_factory=list)
    n_decoding: int = 0
    progress: float = 0.0
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    added: list[int] = field(default_factory=list)
    removed: list[int] = field(default_factory=list)
    n_jobs: int = 0

    @property
    def n_running(self) -> int:
        """Return how many requests are in the batch."""
        return len(self.prefills) + self.n_decoding

    @property
    def n_queued_tokens(self) -> int:
        """Return the prompt tokens that wait for their prefill."""
        waiting = [*self.queue, *list(self.prefills)[1:]]
        n_tokens = sum(self.uncached_tokens(job.request) for job in waiting)
        return n_tokens + int(self.prefill_left)

    def uncached_tokens(self, request: RequestSpec) -> int:
        """Return the prompt tokens that are not in the cache."""
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
        """Return the present time of one decode step."""
        in_prefill = STEP_MS_IN_PREFILL if self.prefills else 0.0
        return STEP_MS + STEP_MS_PER_REQUEST * self.n_running + in_prefill

    def advance(self, now: float) -> None:
        """Move the work in progress to ``now``."""
        elapsed = (now - self.now) * self.speed
        self.now = now
        if elapsed <= 0:
            return
        if self.n_decoding:
            self.progress += elapsed / self.step_ms()
        if self.prefills:
            left = self.prefill_left - elapsed * PREFILL_TOKENS_PER_MS
            self.prefill_left = max(0.0, left)

    def next_event_at(self) -> float | None:
        """Return when the next prefill or answer ends, if any."""
        while self.decodes and self.decodes[0][2].state != "decode":
            heapq.heappop(self.decodes)
        if self.speed <= 0 or self.is_lost:
            return None
        times = []
        if self.prefills:
            times.append(self.prefill_left / PREFILL_TOKENS_PER_MS)
        if self.decodes:
            n_steps = max(0.0, self.decodes[0][0] - self.progress)
            times.append(n_steps * self.step_ms())
        return self.now + min(times) / self.speed if times else None

    def submit(self, job: Job) -> None:
        """Accept a request; the caller has advanced the engine."""
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

    def end_prefill(self) -> Job | None:
        """Return the request whose prompt has just been read, if any."""
        if not self.prefills or self.prefill_left > 1e-6:
            return None
        job = self.prefills.popleft()
        self._store(job.request)
        job.state = "decode"
        self.n_decoding += 1
        self.n_jobs += 1
        end = self.progress + job.n_output_tokens - 1
        heapq.heappush(self.decodes, (end, self.n_jobs, job))
        self._begin_prefill()
        return job

    def end_decode(self) -> Job | None:
        """Return a request whose answer has just ended, if any."""
        if not self.decodes or self.decodes[0][0] > self.progress + 1e-9:
            return None
        job = heapq.heappop(self.decodes)[2]
        if job.state != "decode":
            return None
        job.state = "done"
        self.n_decoding -= 1
        self.fill_batch()
        return job

    def cancel(self, job: Job) -> None:
        """Remove a request in any state; the caller has advanced the engine."""
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
            self.prefill_left = float(self.uncached_tokens(job.request))

    def _store(self, request: RequestSpec) -> None:
        for prefix in request.prefix_hashes:
            if prefix in self.cache:
                self.cache.move_to_end(prefix)
            else:
                self.cache[prefix] = None
                self.added.append(prefix)
        while len(self.cache) > CACHE_BLOCKS:
            self.removed.append(self.cache.popitem(last=False)[0])
