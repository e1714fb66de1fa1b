"""The promises about one request, under any interleaving of events and faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bluebellusher_core.events import (
    AttemptFinished,
    CallerLeft,
    ShutdownStarted,
    Usage,
)
from bluebellusher_core.reducer.tests._world import World

ENTRIES = st.sampled_from(["e0", "e1"])
ENDPOINTS = st.sampled_from(["x0", "x1", "x2"])
KINDS = st.sampled_from(["idempotent", "idempotent", "keyed", "plain"])
TABLE_MODES = st.sampled_from(["answer", "answer", "lose", "delay", "down"])


class RequestMachine(RuleBasedStateMachine):
    """Two entries share a table and three endpoints."""

    @initialize(hedge_after_ms=st.sampled_from([0, 40]))
    def start(self, hedge_after_ms):
        """Start with healthy endpoints."""
        self.world = World(2, 3, hedge_after_ms)

    @rule(
        entry_id=ENTRIES,
        kinds=st.lists(KINDS, min_size=1, max_size=4),
        number=st.integers(0, 2),
        body=st.sampled_from(["", "", "", "b"]),
        lifetime_ms=st.sampled_from([30, 2_000, 60_000]),
    )
    def arrive(self, entry_id, kinds, number, body, lifetime_ms):
        """Send requests; a key may come again, with another body or elsewhere."""
        for kind in kinds:
            key = f"k{number}" if kind == "keyed" else None
            is_idempotent = kind == "idempotent"
            name = f"{kind[0]}{number}{body}."
            spec = self.world.make_spec(name, is_idempotent, key, lifetime_ms)
            self.world.arrive(entry_id, spec)

    @rule(mode=TABLE_MODES, n=st.integers(1, 10), is_told=st.booleans())
    def work(self, mode, n, is_told):
        """Let everything go on by a few steps."""
        for _ in range(n):
            self.world.advance(mode, is_told)

    @rule(endpoint_id=ENDPOINTS, n=st.integers(1, 3))
    def disturb_and_work(self, endpoint_id, n):
        """Break streams early in the middle of other work."""
        endpoint = self.world.endpoint_by_id[endpoint_id]
        for run in endpoint.active()[:n]:
            self.world.break_run(endpoint, run)
        self.world.advance("answer", True)

    @rule(endpoint_id=ENDPOINTS, mode=TABLE_MODES, is_back=st.booleans())
    def lose_and_work(self, endpoint_id, mode, is_back):
        """Cut an endpoint off in the middle of its streams."""
        for entry_id in self.world.entry_by_id:
            self.world.cut(entry_id, endpoint_id)
            self.world.notice(entry_id, endpoint_id)
            if is_back:
                self.world.connect(entry_id, endpoint_id)
        self.world.advance(mode, True)

    @rule(entry_id=ENTRIES, data=st.data())
    def leave(self, entry_id, data):
        """Let a caller close its connection."""
        entry = self.world.entry_by_id[entry_id]
        if entry.spec_by_id:
            request_id = data.draw(st.sampled_from(sorted(entry.spec_by_id)))
            if not self.world.finals[request_id]:
                self.world.step(entry, CallerLeft(request_id))

    @rule(entry_id=ENTRIES, endpoint_id=ENDPOINTS, n=st.integers(1, 6))
    def exchange(self, entry_id, endpoint_id, n):
        """Deliver messages to an endpoint."""
        for _ in range(n):
            self.world.deliver_to_endpoint(entry_id, endpoint_id)

    @rule(
        entry_id=ENTRIES,
        endpoint_id=ENDPOINTS,
        n=st.integers(1, 6),
        is_repeated=st.booleans(),
    )
    def deliver(self, entry_id, endpoint_id, n, is_repeated):
        """Deliver messages to an entry, possibly twice."""
        for _ in range(n):
            self.world.deliver_to_entry(entry_id, endpoint_id, is_repeated)

    @rule(endpoint_id=ENDPOINTS, n=st.integers(1, 4))
    def progress(self, endpoint_id, n):
        """Let the runs of an endpoint go on."""
        endpoint = self.world.endpoint_by_id[endpoint_id]
        for _ in range(n):
            for run in endpoint.active():
                self.world.progress(endpoint, run)

    @rule(endpoint_id=ENDPOINTS, fault=st.sampled_from(["stream", "engine", "kill"]))
    def fail(self, endpoint_id, fault):
        """Break a stream, crash an engine or kill agent and engine."""
        endpoint = self.world.endpoint_by_id[endpoint_id]
        if fault == "kill":
            self.world.kill(endpoint)
        elif fault == "engine":
            self.world.crash_engine(endpoint)
        elif endpoint.active():
            self.world.break_run(endpoint, endpoint.active()[0])

    @rule(entry_id=ENTRIES, endpoint_id=ENDPOINTS)
    def cut(self, entry_id, endpoint_id):
        """Cut a connection without the entry noticing."""
        self.world.cut(entry_id, endpoint_id)

    @rule(entry_id=ENTRIES, endpoint_id=ENDPOINTS)
    def notice(self, entry_id, endpoint_id):
        """Let the entry notice a cut connection."""
        self.world.notice(entry_id, endpoint_id)

    @rule(endpoint_id=ENDPOINTS)
    def heal(self, endpoint_id):
        """Bring an endpoint and its connections back."""
        self.world.revive(self.world.endpoint_by_id[endpoint_id])
        for entry_id in self.world.entry_by_id:
            self.world.connect(entry_id, endpoint_id)

    @rule(endpoint_id=ENDPOINTS)
    def drain(self, endpoint_id):
        """Announce that an endpoint leaves."""
        self.world.endpoint_by_id[endpoint_id].is_draining = True
        for entry_id in self.world.entry_by_id:
            link = self.world.links[entry_id, endpoint_id]
            if link.is_open:
                link.to_entry.append(("drain",))

    @rule(entry_id=ENTRIES, endpoint_id=ENDPOINTS, data=st.data())
    def cross(self, entry_id, endpoint_id, data):
        """An endpoint sends the answer of an attempt that it does not run."""
        entry = self.world.entry_by_id[entry_id]
        attempts = entry.endpoint_by_attempt.items()
        foreign = sorted(a for a, e in attempts if e != endpoint_id)
        if foreign and self.world.links[entry_id, endpoint_id].is_open:
            attempt_id = data.draw(st.sampled_from(foreign))
            event = AttemptFinished(attempt_id, 200, 12, Usage(), endpoint_id)
            self.world.step(entry, event)
            assert not self.world.links[entry_id, endpoint_id].is_open, "not closed"

    @rule(
        entry_id=ENTRIES,
        mode=TABLE_MODES,
    )
    def table(self, entry_id, mode):
        """Let the table take a write, or fail, or lose its answer."""
        entry = self.world.entry_by_id[entry_id]
        if entry.operations:
            self.world.answer_claims(entry, mode)

    @rule(entry_id=ENTRIES)
    def late_write(self, entry_id):
        """Let a write take effect after it was reported as unanswered."""
        entry = self.world.entry_by_id[entry_id]
        if entry.limbo:
            self.world.apply_late(entry)

    @rule(ms=st.sampled_from([1, 6, 50, 600, 3_000, 20_000]))
    def pass_time(self, ms):
        """Pass time without firing timers, as a pause of the entry does."""
        self.world.now_ms += ms

    @rule(entry_id=ENTRIES, n=st.integers(1, 5))
    def fire(self, entry_id, n):
        """Fire timers that are due."""
        for _ in range(n):
            self.world.fire_timer(self.world.entry_by_id[entry_id])

    @rule()
    def gossip(self):
        """Exchange digests."""
        self.world.exchange_digests()

    @precondition(lambda self: self.world.n_requests > 4)
    @rule(entry_id=ENTRIES)
    def restart_entry(self, entry_id):
        """Replace an entry; its callers get no answer."""
        self.world.restart_entry(entry_id)
        for endpoint_id in self.world.endpoint_by_id:
            self.world.connect(entry_id, endpoint_id)

    @precondition(lambda self: self.world.n_requests > 6)
    @rule(entry_id=ENTRIES)
    def shut_down(self, entry_id):
        """Tell an entry to stop."""
        entry = self.world.entry_by_id[entry_id]
        entry.is_stopping = True
        self.world.step(entry, ShutdownStarted())

    @invariant()
    def promises_hold(self):
        """Check what must hold at every moment."""
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self):
        """Heal everything; every request must then have its one final answer."""
        if hasattr(self, "world"):
            self.world.settle()
            self.world.check()
            self.world.check_at_rest()


TestRequestMachine = RequestMachine.TestCase
TestRequestMachine.settings = settings(max_examples=400, stateful_step_count=50)
