"""Queue that divides insufficient capacity by priority, time left and customer."""

from dataclasses import dataclass
from math import exp, inf

from bluebellusher_core.admission._objective_queue import (
    MAX_RETRY_AFTER_SHARE,
    MIN_CLOSED_RETRY_AFTER_SHARE,
    MIN_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_SHARE,
    SPREAD_STEP,
)
from bluebellusher_core.directory import EngineModel
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import Priority, RequestSpec

# Time constant of the rates of arriving work, in ms. Rejections must follow the begin
# and the end of a burst within 2 s.
RATE_DECAY_MS = 1_000.0
# Time constant of the work that a customer has received, in ms. It is a few times the
# time of an answer.
USAGE_DECAY_MS = 10_000.0
# Bounds of the work of a request, as a multiple of that of the usual one. Hints of
# callers are not reliable.
MIN_WORK, MAX_WORK = 0.25, 4.0
# Passes from the dispatch of a request to its first event: on average half of the
# running pass, the pass that reads the prompt, and the one that makes the event. The
# remainder is for prompts that wait for others.
N_FIRST_PASSES = 2.75
# Usual time of a pass, as a share of the allowed gap.
USUAL_PASS_SHARE = 0.65
# Arriving work, as a multiple of the capacity, from which slots are reserved and late
# requests rejected. An entry sees few requests a second, so that both vary by a fifth
# at normal load, and a rejected request would be answered later than one that waits.
OVERLOAD_FACTOR = 1.1
# Time for which slots are kept free for the work of higher priorities that arrives, in
# ms. It is the time in which another slot becomes free with some certainty.
RESERVE_MS = 400.0
# Prompts longer than this multiple of the usual length may not use the reserve.
LONG_PROMPT_FACTOR = 3.0
# A customer that has received more than this multiple of the mean of all customers of
# its priority waits until others have been served.
MAX_USAGE_FACTOR = 1.5
# Recent work of higher priorities below which they count as absent.
MIN_ARRIVED_WORK = 0.1
# Interval at which the mean usage of customers is computed again, in ms.
MEAN_INTERVAL_MS = 500
# Usage below which a customer is discarded.
MIN_USAGE = 0.05


@dataclass(slots=True)
class _Waiting:
    """A waiting request, its work and its time limits in monotonic ms."""

    request: RequestSpec
    work: float
    on_time_start_ms: float
    latest_start_ms: float
    is_late: bool
    is_requeued: bool = False


class _DecayingRate:
    """Work per ms, of which older work counts exponentially less."""

    def __init__(self) -> None:
        self._work = 0.0
        self._updated_at_ms = 0

    def add(self, work: float, now_ms: int) -> None:
        self._work = self.get(now_ms) * RATE_DECAY_MS + work
        self._updated_at_ms = now_ms

    def get(self, now_ms: int) -> float:
        age_ms = now_ms - self._updated_at_ms
        return self._work * exp(-age_ms / RATE_DECAY_MS) / RATE_DECAY_MS


class PriorityQueue:
    """Queue that serves higher priorities first and rejects what would be late.

    Requests that can still be answered within their objective come before late ones.
    Among them, a higher priority comes first, then the customer that has received the
    least work of that priority, then the request with the earliest time limit.

    Load pattern: bursts of up to five times the capacity, with several priorities and
    a few large customers. Without early rejection, every answer is late and the order
    of the priorities is lost. A request is rejected at once when the work that comes
    before it, and the work of higher priorities that arrives meanwhile, exceeds what
    the endpoints can start until its time limit. A late request waits only when the
    arriving requests leave capacity for it.

    Parameters
    ----------
    engine : EngineModel
        Model of the engines, from which the work of a request and the time to its
        first event follow.
    max_gap_ms : int
        Longest gap between events that routes allow, in ms.
    """

    def __init__(self, engine: EngineModel, max_gap_ms: int) -> None:
        self._engine = engine
        self._usual_passes = self._count_passes(
            engine.n_usual_prompt_tokens, engine.n_usual_answer_tokens
        )
        self._first_event_ms = N_FIRST_PASSES * USUAL_PASS_SHARE * max_gap_ms
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._arrivals = {priority: _DecayingRate() for priority in Priority}
        self._usage_by_key: dict[tuple[str, Priority], tuple[float, int]] = {}
        self._mean_usage = dict.fromkeys(Priority, inf)
        self._mean_at_ms = 0
        self._work_per_ms = inf
        self._spread_position = 0.0
        self._is_closed = False
        self._pause_ms = 0
        self._n_usual = self._n_top = 0

    def offer(self, request: RequestSpec, now_ms: int) -> Rejection | None:
        """Add the request, or reject it when it would be served too late."""
        if request.deadline_ms <= now_ms:
            return self._reject(request, Reason.DEADLINE_EXCEEDED, now_ms)
        waiting = self._make_waiting(request, now_ms)
        if not request.is_returning:
            self._arrivals[request.priority].add(waiting.work, now_ms)
        if self._waiting_by_id and not self._is_closed:
            if not waiting.is_late and not self._is_in_time(waiting, now_ms):
                waiting.is_late = True
            if waiting.is_late and not self._is_in_time(waiting, now_ms):
                return self._reject(request, Reason.DEADLINE_UNREACHABLE, now_ms)
        if self._pause_ms and now_ms + self._pause_ms > waiting.latest_start_ms:
            return self._reject(request, Reason.ENDPOINTS_PAUSED, now_ms)
        self._waiting_by_id[request.request_id] = waiting
        return None

    def dequeue(self, now_ms: int) -> RequestSpec | None:
        """Remove and return the next request; fresh ones wait while all is closed."""
        for waiting in self._waiting_by_id.values():
            waiting.is_late |= waiting.on_time_start_ms <= now_ms
        candidates = [
            w for w in self._waiting_by_id.values() if self._is_allowed(w, now_ms)
        ]
        if not candidates:
            return None
        chosen = min(candidates, key=lambda w: self._make_key(w, now_ms))
        request = chosen.request
        del self._waiting_by_id[request.request_id]
        self._add_usage(request, chosen.work, now_ms)
        return request

    def _is_allowed(self, waiting: _Waiting, now_ms: int) -> bool:
        """Return whether a request may take one of the slots that are free now.

        Under overload, it may use the reserve only if no higher priority arrives, and
        otherwise leaves slots free for those that will arrive soon. A long prompt may
        not use the reserve, because the pass that reads it would be too long for all
        streams of the group. While everything is closed, fresh requests wait.
        """
        request = waiting.request
        if self._is_closed and not (request.is_returning or waiting.is_requeued):
            return False
        arriving = self._get_arriving(waiting, now_ms)
        has_higher = arriving * RATE_DECAY_MS >= MIN_ARRIVED_WORK
        if has_higher and not waiting.is_requeued and self._is_overloaded(now_ms):
            return self._n_usual > arriving * RESERVE_MS
        n_usual_tokens = self._engine.n_usual_prompt_tokens
        is_long = request.n_input_tokens > LONG_PROMPT_FACTOR * n_usual_tokens
        return (self._n_usual if is_long else self._n_top) > 0

    def _get_arriving(self, waiting: _Waiting, now_ms: int) -> float:
        """Return the arriving work per ms that comes before a request."""
        request = waiting.request
        higher = range(request.priority + self._is_over_share(request, now_ms))
        if waiting.is_late:
            higher = range(len(Priority))
        return sum(self._arrivals[Priority(p)].get(now_ms) for p in higher)

    def observe_room(self, n_usual: int, n_top: int) -> None:
        """Set how many requests may start now, and how many with the reserve."""
        self._n_usual, self._n_top = n_usual, n_top

    def requeue(self, request: RequestSpec, now_ms: int) -> None:
        """Put a dequeued request that could not be dispatched back to the front."""
        waiting = self._make_waiting(request, now_ms)
        waiting.is_requeued = True
        self._waiting_by_id[request.request_id] = waiting

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller disconnected; return whether it waited."""
        return self._waiting_by_id.pop(request_id, None) is not None

    def expire(self, now_ms: int) -> list[tuple[RequestSpec, Rejection]]:
        """Remove and reject requests that would be served too late."""
        expired: list[tuple[RequestSpec, Rejection]] = []
        is_overloaded = self._is_overloaded(now_ms)
        for waiting in list(self._waiting_by_id.values()):
            waiting.is_late |= waiting.on_time_start_ms <= now_ms
            reason = None
            if waiting.latest_start_ms <= now_ms:
                reason = Reason.DEADLINE_UNREACHABLE
                if self._is_closed:
                    reason = Reason.ENDPOINTS_CLOSED
            elif waiting.latest_start_ms <= now_ms + self._pause_ms:
                reason = Reason.ENDPOINTS_PAUSED
            elif (
                waiting.is_late
                and is_overloaded
                and not (self._is_closed or waiting.is_requeued)
            ):
                reason = Reason.DEADLINE_UNREACHABLE
            if reason is not None:
                request = waiting.request
                del self._waiting_by_id[request.request_id]
                expired.append((request, self._reject(request, reason, now_ms)))
        return expired

    def observe_service(self, n_slots: int, service_ms: float) -> None:
        """Set the number of concurrent requests and their mean service time in ms."""
        self._work_per_ms = max(1, n_slots) / max(1.0, service_ms)

    def observe_closed(self, is_closed: bool) -> None:
        """Set whether every endpoint is closed; requests then wait for the opening."""
        self._is_closed = is_closed

    def reject_closed(self, request: RequestSpec, now_ms: int) -> Rejection:
        """Return the rejection of a request that a closed endpoint has refused."""
        return self._reject(request, Reason.ENDPOINTS_CLOSED, now_ms)

    def observe_pause(self, pause_ms: int) -> None:
        """Set the time until an endpoint takes work again, in ms; 0 when one does."""
        self._pause_ms = pause_ms

    def count_by_priority(self) -> dict[Priority, int]:
        """Return the number of waiting requests of each priority."""
        counts = dict.fromkeys(Priority, 0)
        for waiting in self._waiting_by_id.values():
            counts[waiting.request.priority] += 1
        return counts

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_by_id)

    def _count_passes(self, n_prompt_tokens: float, n_answer_tokens: float) -> float:
        n_steps = max(1, self._engine.n_steps_per_pass)
        n_read = n_steps * max(1, self._engine.n_chunk_tokens)
        return 1 + n_answer_tokens / n_steps + n_prompt_tokens / n_read

    def _estimate_work(self, request: RequestSpec) -> float:
        """Return the work of a request, as a multiple of the usual one."""
        engine = self._engine
        n_passes = self._count_passes(
            request.n_input_tokens or engine.n_usual_prompt_tokens,
            request.n_max_output_tokens or engine.n_usual_answer_tokens,
        )
        return min(max(n_passes / self._usual_passes, MIN_WORK), MAX_WORK)

    def _make_waiting(self, request: RequestSpec, now_ms: int) -> _Waiting:
        start_by_ms = request.start_by_ms
        limit_ms = request.deadline_ms if start_by_ms is None else start_by_ms
        latest_ms = min(limit_ms, request.deadline_ms) - self._first_event_ms
        objective_ms = request.objective_at_ms
        on_time_ms = latest_ms
        if objective_ms is not None:
            on_time_ms = min(latest_ms, objective_ms - self._first_event_ms)
        work = self._estimate_work(request)
        return _Waiting(request, work, on_time_ms, latest_ms, on_time_ms <= now_ms)

    def _make_key(
        self, waiting: _Waiting, now_ms: int
    ) -> tuple[bool, bool, int, float, float]:
        request = waiting.request
        limit_ms = waiting.latest_start_ms
        if not waiting.is_late:
            limit_ms = waiting.on_time_start_ms
        return (
            not waiting.is_requeued,
            waiting.is_late,
            request.priority,
            self._get_usage(request, now_ms),
            limit_ms,
        )

    def _get_usage(self, request: RequestSpec, now_ms: int) -> float:
        """Return the recent work of the request's customer in its priority."""
        key = request.customer_id, request.priority
        usage, at_ms = self._usage_by_key.get(key, (0.0, now_ms))
        return usage * exp((at_ms - now_ms) / USAGE_DECAY_MS)

    def _add_usage(self, request: RequestSpec, work: float, now_ms: int) -> None:
        usage = self._get_usage(request, now_ms) + work
        self._usage_by_key[request.customer_id, request.priority] = (usage, now_ms)
        if now_ms - self._mean_at_ms >= MEAN_INTERVAL_MS:
            self._update_mean_usage(now_ms)

    def _update_mean_usage(self, now_ms: int) -> None:
        """Compute the mean usage by priority again; discard customers without any."""
        self._mean_at_ms = now_ms
        usages: dict[Priority, list[float]] = {priority: [] for priority in Priority}
        for key, (usage, at_ms) in list(self._usage_by_key.items()):
            usage *= exp((at_ms - now_ms) / USAGE_DECAY_MS)
            if usage < MIN_USAGE:
                del self._usage_by_key[key]
            else:
                usages[key[1]].append(usage)
        self._mean_usage = {
            priority: sum(values) / len(values) if len(values) > 1 else inf
            for priority, values in usages.items()
        }

    def _is_over_share(self, request: RequestSpec, now_ms: int) -> bool:
        """Return whether a customer has received clearly more than the others."""
        mean_usage = self._mean_usage[request.priority]
        return self._get_usage(request, now_ms) > MAX_USAGE_FACTOR * mean_usage + 1

    def _is_in_time(self, waiting: _Waiting, now_ms: int) -> bool:
        """Return whether a request can start before its next time limit."""
        limit_ms = waiting.on_time_start_ms
        if waiting.is_late:
            limit_ms = waiting.latest_start_ms
            if self._is_overloaded(now_ms):
                return False
        key = self._make_key(waiting, now_ms)
        work = sum(
            w.work
            for w in self._waiting_by_id.values()
            if self._make_key(w, now_ms) <= key
        )
        arriving = 0.0 if waiting.is_late else self._get_arriving(waiting, now_ms)
        return work <= (self._work_per_ms - arriving) * (limit_ms - now_ms)

    def _is_overloaded(self, now_ms: int) -> bool:
        """Return whether arriving requests exceed the capacity clearly."""
        arriving = sum(rate.get(now_ms) for rate in self._arrivals.values())
        return arriving > OVERLOAD_FACTOR * self._work_per_ms

    def _reject(self, request: RequestSpec, reason: Reason, now_ms: int) -> Rejection:
        """Return a rejection whose ``retry_after_ms`` spreads returning callers."""
        self._spread_position = (self._spread_position + SPREAD_STEP) % 1.0
        remaining_ms = max(0, request.deadline_ms - now_ms)
        min_share = MIN_RETRY_AFTER_SHARE
        if self._is_closed:
            min_share = MIN_CLOSED_RETRY_AFTER_SHARE
        share = min_share + (1 - min_share) * self._spread_position
        after_ms = int(remaining_ms * MAX_RETRY_AFTER_SHARE * share)
        after_ms = max(MIN_RETRY_AFTER_MS, after_ms, self._pause_ms)
        return Rejection(Outcome.NOT_RUN, reason, "admission", "", after_ms)
