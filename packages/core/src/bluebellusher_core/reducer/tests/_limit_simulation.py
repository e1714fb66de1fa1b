"""Simulation of entries whose endpoints name limits of their request rate."""

import heapq
import itertools
from random import Random

from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.effects import BroadcastLimits, Dispatch, Reject, SetTimer
from bluebellusher_core.events import (
    AttemptFinished,
    AttemptStarted,
    EndpointInfo,
    EndpointLimited,
    EndpointRegistered,
    LimitsReceived,
    PeersConnected,
    RequestArrived,
    TimerFired,
    Usage,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec
from bluebellusher_core.routing import SlotAware

LATENCY_MS = 2
# Time from a request to its answer, in ms.
SERVICE_MS = 60
N_SLOTS = 12
DEADLINE_MS = 3_000


class LimitSimulation:
    """Entries and endpoints in virtual time.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    n_entries, n_endpoints : int
        Number of entries and endpoints.

    Attributes
    ----------
    limit_by_id : dict of str to float
        Requests per second that an endpoint names in its answers.
    arrivals_by_id : dict of str to list of tuple
        Time and entry of each request that reached an endpoint.
    """

    def __init__(self, seed=0, n_entries=4, n_endpoints=4):
        self.random = Random(seed)
        self.now_ms = 1_000
        self.endpoint_ids = [f"x{i}" for i in range(n_endpoints)]
        self.limit_by_id = {}
        self.arrivals_by_id = {endpoint_id: [] for endpoint_id in self.endpoint_ids}
        self.state_by_id = {}
        self.cut_ids = set()
        self.rejections = []
        self._calls = []
        self._numbers = itertools.count()
        for i in range(n_entries):
            self.start_entry(f"e{i}")
        self.run(100)

    def call_later(self, delay_ms, action, *args):
        """Schedule a call after a delay in ms."""
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._calls, (due_ms, next(self._numbers), action, args))

    def run(self, duration_ms):
        """Advance the time and run the calls that are due."""
        end_ms = self.now_ms + duration_ms
        while self._calls and self._calls[0][0] <= end_ms:
            due_ms, _, action, args = heapq.heappop(self._calls)
            self.now_ms = max(self.now_ms, due_ms)
            action(*args)
        self.now_ms = end_ms

    def start_entry(self, entry_id):
        """Start an entry, or start it again without its memory."""
        config = EntryConfig(entry_id, incarnation=self.now_ms, n_min_retries=50)
        state = EntryState.from_config(config, SlotAware("d"), ObjectiveQueue)
        self.state_by_id[entry_id] = state
        for endpoint_id in self.endpoint_ids:
            names = frozenset({"s"}), frozenset(), frozenset()
            info = EndpointInfo(endpoint_id, "d", *names, N_SLOTS, 1)
            self.handle(state, EndpointRegistered(info))
        self.connect_entries()

    def kill_entry(self, entry_id):
        """End an entry; its peers lose their connections to it."""
        del self.state_by_id[entry_id]
        self.connect_entries()

    def connect_entries(self):
        """Tell each entry its connected peers, which send it their limits."""
        for entry_id, state in self.state_by_id.items():
            peer_ids = {
                i for i in self.state_by_id if i != entry_id and i not in self.cut_ids
            }
            if entry_id in self.cut_ids:
                peer_ids = set()
            self.handle(state, PeersConnected(frozenset(peer_ids)))
            for peer_id in peer_ids:
                limits = self.state_by_id[peer_id].endpoints.limits
                marks = limits.make_marks(self.now_ms)
                self.call_later(
                    LATENCY_MS, self.handle, state, LimitsReceived(peer_id, marks)
                )

    def handle(self, state, event):
        """Apply an event and execute its effects, unless the entry has ended."""
        entry_id = state.config.entry_id
        if self.state_by_id.get(entry_id) is not state:
            return
        for effect in reduce(state, event, self.now_ms):
            match effect:
                case Dispatch():
                    self._deliver(entry_id, state, effect)
                case BroadcastLimits(marks=marks):
                    self._broadcast(entry_id, LimitsReceived(entry_id, marks))
                case SetTimer(timer_id=timer_id, due_ms=due_ms):
                    delay_ms = max(0, due_ms - self.now_ms)
                    self.call_later(delay_ms, self.handle, state, TimerFired(timer_id))
                case Reject():
                    self.rejections.append((self.now_ms, effect.rejection))

    def _broadcast(self, entry_id, event):
        for peer_id, peer in self.state_by_id.items():
            if peer_id != entry_id and not {peer_id, entry_id} & self.cut_ids:
                self.call_later(LATENCY_MS, self.handle, peer, event)

    def _deliver(self, entry_id, state, effect):
        """Let a request reach its endpoint, which answers after ``SERVICE_MS``."""
        self.arrivals_by_id[effect.endpoint_id].append((self.now_ms, entry_id))
        self.call_later(SERVICE_MS, self._answer, state, effect, self.now_ms)

    def _answer(self, state, effect, sent_at_ms):
        endpoint_id, attempt_id = effect.endpoint_id, effect.attempt_id
        limit = self.limit_by_id.get(endpoint_id)
        if limit is not None or state.endpoints.limits.is_limited(endpoint_id):
            self.handle(state, EndpointLimited(endpoint_id, 1, limit, sent_at_ms))
        self.handle(state, AttemptStarted(attempt_id, endpoint_id))
        self.handle(state, AttemptFinished(attempt_id, 200, 1, Usage(), endpoint_id))

    def send(self, entry_id):
        """Send a request to an entry."""
        spec = make_spec(
            f"r{next(self._numbers)}",
            deadline_ms=self.now_ms + DEADLINE_MS,
            objective_at_ms=self.now_ms + 400,
            start_by_ms=self.now_ms + 2_000,
            caller_deadline_ms=self.now_ms + DEADLINE_MS,
        )
        self.handle(self.state_by_id[entry_id], RequestArrived(spec))

    def send_for(self, duration_ms, requests_per_s, weights=None):
        """Send requests to random entries at a mean rate.

        ``weights`` are the relative numbers of requests of the entries.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            entry_ids = list(self.state_by_id)
            chosen = self.random.choices(
                entry_ids, weights[: len(entry_ids)] if weights else None
            )
            self.send(chosen[0])
            self.run(max(1, round(self.random.expovariate(requests_per_s / 1_000))))

    def count_most(self, endpoint_id, window_ms, since_ms, excused_ids=()):
        """Return the most requests that an endpoint got in a sliding window."""
        times_ms = [
            at_ms
            for at_ms, entry_id in self.arrivals_by_id[endpoint_id]
            if at_ms >= since_ms and entry_id not in excused_ids
        ]
        return max(
            (
                sum(1 for at_ms in times_ms[i:] if at_ms < start_ms + window_ms)
                for i, start_ms in enumerate(times_ms)
            ),
            default=0,
        )
