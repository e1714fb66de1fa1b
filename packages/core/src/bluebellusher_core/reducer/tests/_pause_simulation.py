"""Simulation of an overloaded service whose endpoints ask for pauses and leave.

Four entries send to eight endpoints. Half of the endpoints refuse all attempts in
pauses of 0.5 to 5 s, while callers arrive at twice the capacity of the others. Two of
the others leave, one after the other, while the store is unavailable, so that only the
answers of these endpoints announce it.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from random import Random

from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.effects import (
    BroadcastLeaving,
    CancelAttempt,
    Complete,
    Dispatch,
    Reject,
    SetTimer,
)
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    EndpointAnnounced,
    EndpointInfo,
    EndpointRegistered,
    EntriesCounted,
    LeavingReceived,
    RequestArrived,
    TimerFired,
    Usage,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec
from bluebellusher_core.routing import SlotAware

N_ENTRIES = 4
N_ENDPOINTS = 8
N_SLOTS = 6
N_MAX_QUEUED = 3
OBJECTIVE_MS = 400
DEADLINE_MS = 4_000
# Time until the first output of a run and duration of the whole run, which occupies a
# slot, in ms.
FIRST_OUTPUT_MS = 60
SERVICE_MS = 240
# One-way latency between entries and endpoints, in ms.
LATENCY_MS = 2
# Time during which callers arrive, in ms.
ARRIVAL_PERIOD_MS = 10_000
# Arrival rate divided by the capacity of the endpoints that never pause.
RELATIVE_LOAD = 2.0
# Times at which two endpoints begin to announce their shutdown, in ms.
LEAVING_AT_MS = (3_000, 5_000)
# Time from the first announcement of a shutdown to the end of the endpoint, in ms.
DRAIN_MS = 3_000


@dataclass
class Result:
    """Counts of callers by result, and of attempts that ignored an announcement.

    Parameters
    ----------
    n_callers : int
        Number of callers.
    n_on_time, n_late : int
        Callers with a complete answer within, and not within, the objective.
    n_rejected : int
        Callers whose request did not run and that stopped retrying.
    n_failed : int
        Callers whose request was rejected and may have run.
    n_sent_in_pause : int
        Attempts that reached an endpoint during an announced pause.
    n_sent_after_leaving : int
        Attempts that reached an endpoint after it had announced its shutdown.
    """

    n_callers: int = 0
    n_on_time: int = 0
    n_late: int = 0
    n_rejected: int = 0
    n_failed: int = 0
    n_sent_in_pause: int = 0
    n_sent_after_leaving: int = 0

    def share(self, name):
        """Return a count as a share of the callers."""
        return getattr(self, name) / self.n_callers


@dataclass
class _Endpoint:
    """An endpoint with its pauses, the time of its shutdown and its runs."""

    endpoint_id: str
    pauses: list[tuple[int, int]] = field(default_factory=list)
    leaving_at_ms: int | None = None
    state_by_attempt: dict = field(default_factory=dict)

    def pause_remaining_ms(self, now_ms):
        """Return the time until the pause ends, in ms; 0 or less outside a pause."""
        return max(
            (end - now_ms for begin, end in self.pauses if begin <= now_ms), default=0
        )

    def is_leaving(self, now_ms):
        """Return whether the endpoint announces its shutdown."""
        return self.leaving_at_ms is not None and now_ms >= self.leaving_at_ms

    def has_ended(self, now_ms):
        """Return whether the endpoint has ended."""
        return self.is_leaving(now_ms) and now_ms >= self.leaving_at_ms + DRAIN_MS


@dataclass
class _Caller:
    """A caller that retries a rejected request once.

    ``first_sent_at_ms`` is the time of its first request, from which its deadline and
    objective count. ``is_on_time`` states whether the first output of the completed run
    met the objective.
    """

    first_sent_at_ms: int
    n_rejections: int
    is_on_time: bool = False


class PauseSimulation:
    """Entries, endpoints and callers in virtual time.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    honours_announcements : bool
        Whether entries receive the announcements of endpoints; the baseline does not.
    leaving_at_ms : tuple of int
        Times at which endpoints begin to announce their shutdown, in ms.
    """

    def __init__(self, seed, honours_announcements, leaving_at_ms=LEAVING_AT_MS):
        self.random = Random(seed)
        self.honours_announcements = honours_announcements
        self.result = Result()
        self.now_ms = 0
        self._pending_calls, self._call_numbers = [], itertools.count()
        self._request_numbers = itertools.count(1)
        self._announced = {}
        self._caller_by_request = {}
        self.endpoints = {f"x{i}": _Endpoint(f"x{i}") for i in range(N_ENDPOINTS)}
        self.entries = [self._make_entry(i) for i in range(N_ENTRIES)]
        for endpoint in list(self.endpoints.values())[: N_ENDPOINTS // 2]:
            self._generate_pauses(endpoint)
        for at_ms, endpoint in zip(
            leaving_at_ms, reversed(self.endpoints.values()), strict=False
        ):
            endpoint.leaving_at_ms = at_ms
            self._call_at(at_ms + DRAIN_MS, self._end_endpoint, endpoint)
        self._schedule_callers()

    def run(self):
        """Run the simulation to its end and return the result."""
        while self._pending_calls:
            self.now_ms, _, action, args = heapq.heappop(self._pending_calls)
            action(*args)
        return self.result

    def _call_at(self, at_ms, action, *args):
        """Schedule a call at a virtual time in ms."""
        heapq.heappush(
            self._pending_calls, (int(at_ms), next(self._call_numbers), action, args)
        )

    def _make_entry(self, number):
        """Return the state of an entry with all endpoints registered."""
        config = EntryConfig(
            f"e{number}",
            seed=number,
            n_min_retries=20,
            retry_percent=16,
            n_shared_retries=70,
            queue_factor=1.2,
            n_crashes_to_block=3,
        )
        state = EntryState.from_config(config, SlotAware("d"), ObjectiveQueue)
        names = frozenset({"s"}), frozenset(), frozenset()
        for endpoint_id in self.endpoints:
            info = EndpointInfo(endpoint_id, "d", *names, N_SLOTS, 1)
            reduce(state, EndpointRegistered(info), 0)
        reduce(state, EntriesCounted(N_ENTRIES), 0)
        return state

    def _generate_pauses(self, endpoint):
        """Add random pauses to an endpoint."""
        at_ms = self.random.randint(0, 3_000)
        while at_ms < ARRIVAL_PERIOD_MS:
            end_ms = at_ms + self.random.randint(500, 5_000)
            endpoint.pauses.append((at_ms, end_ms))
            at_ms = end_ms + self.random.randint(500, 3_000)

    def _schedule_callers(self):
        """Schedule the callers as a Poisson process."""
        callers_per_ms = RELATIVE_LOAD * N_SLOTS * (N_ENDPOINTS // 2) / SERVICE_MS
        at_ms = 0.0
        while at_ms < ARRIVAL_PERIOD_MS:
            at_ms += self.random.expovariate(callers_per_ms)
            self.result.n_callers += 1
            self._call_at(at_ms, self._send_request, _Caller(int(at_ms), 0))

    def _send_request(self, caller):
        """Send the request of a caller to a random entry."""
        state = self.random.choice(self.entries)
        request_id = f"r{next(self._request_numbers)}"
        self._caller_by_request[request_id] = caller
        spec = make_spec(
            request_id,
            deadline_ms=caller.first_sent_at_ms + DEADLINE_MS,
            objective_at_ms=caller.first_sent_at_ms + OBJECTIVE_MS,
            start_by_ms=caller.first_sent_at_ms + DEADLINE_MS - SERVICE_MS,
            is_returning=caller.n_rejections > 0,
        )
        self._handle_event(state, RequestArrived(spec))

    def _handle_event(self, state, event):
        """Apply an event to an entry and execute the effects."""
        for effect in reduce(state, event, self.now_ms):
            match effect:
                case Dispatch():
                    self._call_at(
                        self.now_ms + LATENCY_MS, self._deliver_dispatch, state, effect
                    )
                case SetTimer():
                    event = TimerFired(effect.timer_id)
                    self._call_at(
                        max(self.now_ms, effect.due_ms),
                        self._handle_event,
                        state,
                        event,
                    )
                case CancelAttempt():
                    endpoint = self.endpoints[effect.endpoint_id]
                    endpoint.state_by_attempt.pop(effect.attempt_id, None)
                case Complete():
                    self._record_completion(effect.request_id)
                case Reject():
                    self._handle_rejection(effect)
                case BroadcastLeaving():
                    for other in self.entries:
                        received = LeavingReceived("peer", effect.marks)
                        self._call_at(
                            self.now_ms + LATENCY_MS,
                            self._handle_event,
                            other,
                            received,
                        )

    def _deliver_dispatch(self, state, dispatch):
        """Deliver an attempt to its endpoint, which runs or refuses it."""
        endpoint = self.endpoints[dispatch.endpoint_id]
        attempt_id, endpoint_id = dispatch.attempt_id, dispatch.endpoint_id
        if attempt_id not in state.attempt_by_id:
            return
        if endpoint.has_ended(self.now_ms):
            refused = AttemptRefused(attempt_id, Reason.CONNECT_REFUSED, 0, endpoint_id)
            self._handle_event(state, refused)
            return
        self._count_ignored_announcement(state, endpoint)
        remaining_ms = endpoint.pause_remaining_ms(self.now_ms)
        is_full = len(endpoint.state_by_attempt) >= N_SLOTS + N_MAX_QUEUED
        if remaining_ms > 0 or is_full:
            self._announce(state, endpoint, max(0, remaining_ms))
            refused = AttemptRefused(
                attempt_id, Reason.ENDPOINT_FULL, 0, endpoint_id, True
            )
            self._handle_event(state, refused)
            return
        endpoint.state_by_attempt[attempt_id] = state
        wait_ms = (
            SERVICE_MS * max(0, len(endpoint.state_by_attempt) - N_SLOTS) / N_SLOTS
        )
        self._call_at(
            self.now_ms + wait_ms + FIRST_OUTPUT_MS,
            self._send_first_output,
            endpoint,
            dispatch,
        )

    def _count_ignored_announcement(self, state, endpoint):
        """Count an attempt that an entry sent despite the endpoint's announcement.

        Attempts that were in flight when the announcement arrived are not counted.
        """
        announced = self._announced.get((id(state), endpoint.endpoint_id))
        if announced is None:
            return
        announced_at_ms, paused_until_ms, leaving_since_ms = announced
        is_pausing = announced_at_ms + LATENCY_MS < self.now_ms < paused_until_ms
        self.result.n_sent_in_pause += is_pausing
        if leaving_since_ms is not None:
            self.result.n_sent_after_leaving += (
                self.now_ms > leaving_since_ms + 2 * LATENCY_MS
            )

    def _announce(self, state, endpoint, pause_ms):
        """Announce a pause or a shutdown in an endpoint's answer to an entry."""
        is_leaving = endpoint.is_leaving(self.now_ms)
        if not (is_leaving or pause_ms):
            return
        key = (id(state), endpoint.endpoint_id)
        announced_at_ms, recorded_until_ms, leaving_since_ms = self._announced.get(
            key, (0, 0, None)
        )
        if is_leaving and leaving_since_ms is None:
            leaving_since_ms = self.now_ms
        until_ms = self.now_ms + pause_ms
        if until_ms > recorded_until_ms:
            announced_at_ms = self.now_ms
        self._announced[key] = (announced_at_ms, until_ms, leaving_since_ms)
        if self.honours_announcements:
            event = EndpointAnnounced(endpoint.endpoint_id, 1, is_leaving, pause_ms)
            self._handle_event(state, event)

    def _send_first_output(self, endpoint, dispatch):
        """Send the first output of a run."""
        state = endpoint.state_by_attempt.get(dispatch.attempt_id)
        if state is None:
            return
        self._announce(state, endpoint, 0)
        self._handle_event(
            state, AttemptStarted(dispatch.attempt_id, dispatch.endpoint_id)
        )
        caller = self._caller_by_request[dispatch.request_id]
        is_on_time = self.now_ms <= caller.first_sent_at_ms + OBJECTIVE_MS
        remaining_service_ms = SERVICE_MS - FIRST_OUTPUT_MS
        self._call_at(
            self.now_ms + remaining_service_ms,
            self._finish_run,
            endpoint,
            dispatch,
            is_on_time,
        )

    def _finish_run(self, endpoint, dispatch, is_on_time):
        """Send the end of a run's answer."""
        state = endpoint.state_by_attempt.pop(dispatch.attempt_id, None)
        if state is None:
            return
        self._caller_by_request[dispatch.request_id].is_on_time = is_on_time
        ids = dispatch.attempt_id, dispatch.endpoint_id
        self._handle_event(state, AttemptFinished(ids[0], 200, 1, Usage(), ids[1]))

    def _end_endpoint(self, endpoint):
        """End an endpoint; the connections of its runs are lost."""
        broken_runs, endpoint.state_by_attempt = endpoint.state_by_attempt, {}
        for attempt_id, state in broken_runs.items():
            event = AttemptBroken(
                attempt_id, Reason.CONNECTION_LOST, 1, False, endpoint.endpoint_id
            )
            self._handle_event(state, event)

    def _record_completion(self, request_id):
        """Count a caller with a complete answer."""
        caller = self._caller_by_request[request_id]
        self.result.n_on_time += caller.is_on_time
        self.result.n_late += not caller.is_on_time

    def _handle_rejection(self, effect):
        """Schedule the caller's retry of a rejected request, or count the rejection.

        The caller waits for ``retry_after_ms``, at most a third of its remaining time.
        """
        caller = self._caller_by_request[effect.request_id]
        rejection = effect.rejection
        if rejection.outcome is not Outcome.NOT_RUN:
            self.result.n_failed += 1
            return
        remaining_ms = caller.first_sent_at_ms + DEADLINE_MS - self.now_ms
        pause_ms = min(rejection.retry_after_ms or 0, remaining_ms / 3)
        if caller.n_rejections >= 1 or remaining_ms <= 0:
            self.result.n_rejected += 1
            return
        caller.n_rejections += 1
        self._call_at(self.now_ms + pause_ms, self._send_request, caller)
