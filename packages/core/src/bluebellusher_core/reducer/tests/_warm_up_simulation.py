"""Simulation of entries in front of endpoints that warm up."""

from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    EndpointInfo,
    EndpointRegistered,
    MembersListed,
    PeersConnected,
    Usage,
    WarmUpMark,
    WarmUpSource,
    WarmUpsReported,
)
from bluebellusher_core.reducer import EntryConfig, EntryState
from bluebellusher_core.reducer.tests._limit_simulation import (
    LATENCY_MS,
    LimitSimulation,
)
from bluebellusher_core.routing import SlotAware

N_SLOTS = 5
# Time from a request to the end of its answer, in ms.
STREAM_MS = 1_000
# Time from the start of an entry until its peers are connected, in ms.
CONNECT_MS = 400
# Rate and duration of the warm-up.
REQUESTS_PER_S = 18.0
DURATION_MS = 3_000
# Interval at which an endpoint writes its registration, and its longest delay, in ms.
RENEWAL_MS = 1_200
MAX_DELAY_MS = 800


class WarmUpSimulation(LimitSimulation):
    """Entries with the settings of the platform, and endpoints with few slots.

    An endpoint refuses a request when all its slots are in use. The endpoints in
    ``full_ids`` refuse every request, because callers of other entries use them.
    ``cold_until_by_id`` has the times from which endpoints are warm. ``requests_per_s``
    is the rate that the service states for cold endpoints, or 0.
    """

    def __init__(self, n_entries, n_endpoints, requests_per_s=REQUESTS_PER_S):
        self.n_entries = n_entries
        self.stream_ms = STREAM_MS
        self.full_ids = set()
        self.n_running_by_id = {}
        self.cold_until_by_id = {}
        self.requests_per_s = requests_per_s
        super().__init__(0, n_entries, n_endpoints)
        for endpoint_id in self.endpoint_ids:
            self.call_later(self.random.randrange(RENEWAL_MS), self.renew, endpoint_id)
        self.run(CONNECT_MS)

    def report(self, state, endpoint_id, source, remaining_ms):
        """Tell an entry what the registration of an endpoint states."""
        if self.requests_per_s:
            mark = WarmUpMark(
                endpoint_id, 1, self.requests_per_s, DURATION_MS, remaining_ms, source
            )
            self.handle(state, WarmUpsReported((mark,)))

    def find_remaining_ms(self, endpoint_id):
        """Return how much longer an endpoint stays cold, in ms."""
        return max(0, self.cold_until_by_id.get(endpoint_id, 0) - self.now_ms)

    def renew(self, endpoint_id):
        """Write the registration of an endpoint again and again."""
        delay_ms = self.random.randrange(MAX_DELAY_MS)
        remaining_ms = self.find_remaining_ms(endpoint_id)
        for state in self.state_by_id.values():
            source = WarmUpSource.RENEWAL
            args = state, endpoint_id, source, remaining_ms
            self.call_later(delay_ms, self.report, *args)
        self.call_later(RENEWAL_MS, self.renew, endpoint_id)

    def restart_all(self):
        """Start all entries again at the same time, without their memory."""
        for entry_id in list(self.state_by_id):
            self.start_entry(entry_id)

    def start_entry(self, entry_id):
        """Start an entry; its peers are connected ``CONNECT_MS`` later."""
        config = EntryConfig(
            entry_id,
            incarnation=self.now_ms,
            n_min_retries=1,
            retry_percent=16,
            n_shared_retries=40,
            queue_factor=1.0,
        )
        state = EntryState.from_config(config, SlotAware("d"), ObjectiveQueue)
        self.state_by_id[entry_id] = state
        member_ids = frozenset(f"e{i}" for i in range(self.n_entries))
        self.handle(state, MembersListed(member_ids))
        for endpoint_id in self.endpoint_ids:
            remaining_ms = self.find_remaining_ms(endpoint_id)
            self.report(state, endpoint_id, WarmUpSource.FIRST, remaining_ms)
            names = frozenset({"s"}), frozenset(), frozenset()
            info = EndpointInfo(endpoint_id, "d", *names, N_SLOTS, 1)
            self.handle(state, EndpointRegistered(info))
        self.call_later(CONNECT_MS, self.connect_entries)

    def connect_entries(self):
        """Tell each entry its connected peers."""
        for entry_id, state in self.state_by_id.items():
            peer_ids = frozenset(self.state_by_id) - {entry_id}
            self.handle(state, PeersConnected(peer_ids))

    def _deliver(self, entry_id, state, effect):
        endpoint_id, attempt_id = effect.endpoint_id, effect.attempt_id
        self.arrivals_by_id[endpoint_id].append((self.now_ms, entry_id))
        n_running = self.n_running_by_id.get(endpoint_id, 0)
        if endpoint_id in self.full_ids or n_running >= N_SLOTS:
            refused = AttemptRefused(
                attempt_id, Reason.ENDPOINT_FULL, 0, endpoint_id, True
            )
            self.call_later(LATENCY_MS, self.handle, state, refused)
            return
        self.n_running_by_id[endpoint_id] = n_running + 1
        self.call_later(self.stream_ms, self._end, state, effect)

    def _end(self, state, effect):
        endpoint_id, attempt_id = effect.endpoint_id, effect.attempt_id
        self.n_running_by_id[endpoint_id] -= 1
        self.handle(state, AttemptStarted(attempt_id, endpoint_id))
        self.handle(state, AttemptFinished(attempt_id, 200, 1, Usage(), endpoint_id))
