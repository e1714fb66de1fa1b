"""Endpoints that announce a shutdown or ask for a pause in their answers."""

from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.effects import BroadcastLeaving, Dispatch, LogEvent, Reject
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import (
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    EndpointAnnounced,
    EndpointDraining,
    EndpointInfo,
    EndpointLost,
    EndpointRegistered,
    LeavingReceived,
    RequestArrived,
    TimerFired,
    Usage,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec

N_SLOTS = 4
MAX_PAUSE_MS = 60_000


class Entry:
    """One entry in virtual time; a run ends only when a test calls ``finish``."""

    def __init__(self, n_endpoints=2):
        config = EntryConfig("e", n_min_retries=999, max_pause_ms=MAX_PAUSE_MS)
        self.state = EntryState.from_config(config, make_queue=ObjectiveQueue)
        self.now_ms = 1_000
        self.n_requests = 0
        self.dispatches = []
        for i in range(n_endpoints):
            self.register(f"x{i}")

    def handle(self, event):
        """Apply an event; return the effects."""
        effects = reduce(self.state, event, self.now_ms)
        self.dispatches += [e for e in effects if isinstance(e, Dispatch)]
        return effects

    def register(self, endpoint_id, incarnation=1):
        """Register an endpoint or renew its registration."""
        names = frozenset({"s"}), frozenset(), frozenset()
        info = EndpointInfo(endpoint_id, "d", *names, N_SLOTS, incarnation)
        return self.handle(EndpointRegistered(info))

    def announce(self, endpoint_id, is_leaving=False, pause_ms=0, incarnation=1):
        """Announce a shutdown or a pause in an answer; return the effects."""
        event = EndpointAnnounced(endpoint_id, incarnation, is_leaving, pause_ms)
        return self.handle(event)

    def send(self, objective_ms=8_000, deadline_ms=8_000):
        """Send a request; return the effects."""
        self.n_requests += 1
        spec = make_spec(
            f"r{self.n_requests}",
            deadline_ms=self.now_ms + deadline_ms,
            objective_at_ms=self.now_ms + objective_ms,
            start_by_ms=self.now_ms + deadline_ms,
            n_max_attempts=None,
        )
        return self.handle(RequestArrived(spec))

    def finish(self, dispatch):
        """End a run with a complete answer."""
        ids = dispatch.attempt_id, dispatch.endpoint_id
        self.handle(AttemptStarted(*ids))
        self.handle(AttemptFinished(ids[0], 200, 1, Usage(), ids[1]))

    def advance(self, after_ms):
        """Advance the time and fire the wake timer; return the effects."""
        self.now_ms += after_ms
        return self.handle(TimerFired("wake"))


def dispatched_endpoints(effects):
    """Return the endpoints of the dispatches among effects."""
    return [e.endpoint_id for e in effects if isinstance(e, Dispatch)]


def rejections(effects):
    """Return the rejections among effects."""
    return [e.rejection for e in effects if isinstance(e, Reject)]


def test_leaving_endpoint_gets_no_further_dispatches():
    """Guards against requests to a leaving endpoint that the store lists as ready."""
    entry = Entry()
    effects = entry.announce("x0", is_leaving=True)
    assert [e.marks[0].endpoint_id for e in effects if isinstance(e, BroadcastLeaving)]
    assert any(isinstance(e, LogEvent) for e in effects)
    entry.register("x0")
    for _ in range(N_SLOTS):
        assert dispatched_endpoints(entry.send()) == ["x1"]


def test_leaving_mark_survives_an_expired_registration():
    """Guards against a leaving mark that is discarded with its endpoint's view."""
    entry = Entry(n_endpoints=1)
    entry.announce("x0", is_leaving=True)
    entry.handle(EndpointDraining("x0"))
    entry.handle(EndpointLost("x0"))
    entry.register("x0")
    assert rejections(entry.send())[0].reason is Reason.NO_ENDPOINT
    entry.register("x0", incarnation=2)
    assert dispatched_endpoints(entry.send()) == ["x0"]


def test_leaving_mark_of_a_peer_applies_and_is_not_forwarded():
    """Guards against entries that broadcast one mark to each other without end."""
    first, receiver = Entry(), Entry()
    (broadcast,) = [
        e
        for e in first.announce("x0", is_leaving=True)
        if isinstance(e, BroadcastLeaving)
    ]
    effects = receiver.handle(LeavingReceived("peer", broadcast.marks))
    assert not [e for e in effects if isinstance(e, BroadcastLeaving)]
    assert dispatched_endpoints(receiver.send()) == ["x1"]
    first.now_ms += 700
    (mark,) = first.state.endpoints.announcements.leaving_marks(first.now_ms)
    assert mark.age_ms == 700


def test_paused_endpoint_gets_no_dispatches():
    """Guards against dispatches to an endpoint before its pause ends."""
    entry = Entry(n_endpoints=2)
    entry.announce("x0", pause_ms=1_500)
    for _ in range(N_SLOTS):
        assert dispatched_endpoints(entry.send()) == ["x1"]
    assert not dispatched_endpoints(entry.send())
    assert not dispatched_endpoints(entry.advance(1_499))
    assert dispatched_endpoints(entry.advance(1)) == ["x0"]


def test_pause_is_limited_to_the_maximum():
    """Guards against a pause beyond ``max_pause_ms`` that stops a service for good."""
    entry = Entry(n_endpoints=1)
    entry.announce("x0", pause_ms=10**12)
    (rejection,) = rejections(entry.send())
    assert rejection.retry_after_ms <= MAX_PAUSE_MS
    entry.now_ms += MAX_PAUSE_MS
    assert dispatched_endpoints(entry.send()) == ["x0"]


def test_requests_are_rejected_at_once_while_every_endpoint_is_paused():
    """Guards against requests that wait although all pauses outlast the objective.

    The rejection names the time until the first pause ends.
    """
    entry = Entry()
    entry.announce("x0", pause_ms=5_000)
    entry.announce("x1", pause_ms=3_000)
    (rejection,) = rejections(entry.send(objective_ms=400))
    assert rejection.reason is Reason.ENDPOINTS_PAUSED
    assert rejection.outcome is Outcome.NOT_RUN
    assert rejection.retry_after_ms == 3_000
    assert not rejections(entry.send(objective_ms=6_000))


def test_waiting_request_is_rejected_when_a_pause_outlasts_its_deadline():
    """Guards against a waiting request that is rejected only at its deadline.

    It is rejected as soon as an announced pause outlasts the deadline.
    """
    entry = Entry(n_endpoints=1)
    for _ in range(N_SLOTS):
        entry.send()
    waiting = entry.send(objective_ms=2_000, deadline_ms=2_000)
    assert not rejections(waiting)
    effects = entry.announce("x0", pause_ms=4_000)
    assert [r.reason for r in rejections(effects)] == [Reason.ENDPOINTS_PAUSED]


def test_waiting_requests_are_dispatched_gradually_after_a_pause():
    """Guards against entries that fill an endpoint at once at the end of its pause."""
    entry = Entry(n_endpoints=1)
    entry.announce("x0", pause_ms=500)
    for _ in range(3 * N_SLOTS):
        entry.send()
    n_sent = [len(dispatched_endpoints(entry.advance(500)))]
    while len(n_sent) < 3:
        n_before = len(entry.dispatches)
        running = entry.dispatches[-1]
        entry.finish(running)
        n_sent.append(len(entry.dispatches) - n_before)
    assert n_sent[0] == 1
    assert n_sent[1] == 2
    assert max(n_sent) <= N_SLOTS


def test_answers_without_a_body_end_the_slow_start():
    """Guards against a slow start that never ends, because no output was recorded."""
    entry = Entry(n_endpoints=1)
    entry.announce("x0", pause_ms=500)
    for _ in range(4 * N_SLOTS):
        entry.send()
    entry.advance(500)
    for _ in range(3):
        last = entry.dispatches[-1]
        ids = last.attempt_id, last.endpoint_id
        entry.handle(AttemptFinished(ids[0], 204, 0, Usage(), ids[1]))
    assert entry.state.endpoints.view_by_id["x0"].n_own_in_flight == N_SLOTS


def test_request_refused_with_a_pause_is_retried_elsewhere():
    """Guards against a retry at the endpoint that has just asked for a pause."""
    entry = Entry()
    entry.send()
    first = entry.dispatches[-1]
    entry.announce(first.endpoint_id, pause_ms=2_000)
    refused = AttemptRefused(
        first.attempt_id, Reason.ENDPOINT_FULL, 0, first.endpoint_id, True
    )
    assert dispatched_endpoints(entry.handle(refused)) != [first.endpoint_id]


ENDPOINT_IDS = st.sampled_from(["x0", "x1", "x2"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("leave"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("peer"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("pause"), ENDPOINT_IDS, st.integers(1, 5_000)),
        st.tuples(st.just("expire"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("register"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("restart"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("refuse"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("finish"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("wait"), ENDPOINT_IDS, st.integers(1, 2_000)),
    ),
    max_size=60,
)


@given(STEPS)
def test_no_dispatch_to_leaving_or_paused_endpoints(steps):
    """Guards against dispatches to leaving or paused endpoints in any event order."""
    entry = Entry(n_endpoints=3)
    incarnation_by_id = dict.fromkeys(["x0", "x1", "x2"], 1)
    leaving, paused_until_ms = set(), {}
    for kind, endpoint_id, value in steps:
        n_before = len(entry.dispatches)
        incarnation = incarnation_by_id[endpoint_id]
        endpoint_start = (endpoint_id, incarnation)
        running = [e for e in entry.dispatches if e.endpoint_id == endpoint_id]
        match kind:
            case "send":
                entry.send()
            case "leave":
                leaving.add(endpoint_start)
                entry.announce(endpoint_id, is_leaving=True, incarnation=incarnation)
            case "peer":
                leaving.add(endpoint_start)
                peer = Entry(0)
                peer.announce(endpoint_id, is_leaving=True, incarnation=incarnation)
                marks = peer.state.endpoints.announcements.leaving_marks(peer.now_ms)
                entry.handle(LeavingReceived("peer", marks))
            case "pause":
                until_ms = entry.now_ms + value
                paused_until_ms[endpoint_start] = max(
                    until_ms, paused_until_ms.get(endpoint_start, 0)
                )
                entry.announce(endpoint_id, pause_ms=value, incarnation=incarnation)
            case "expire":
                entry.handle(EndpointDraining(endpoint_id))
                entry.handle(EndpointLost(endpoint_id))
            case "register":
                entry.register(endpoint_id, incarnation)
            case "restart":
                incarnation_by_id[endpoint_id] += 1
                entry.register(endpoint_id, incarnation + 1)
            case "refuse" if running:
                last = running[-1]
                reason = Reason.ENDPOINT_FULL
                event = AttemptRefused(last.attempt_id, reason, 0, endpoint_id, True)
                entry.handle(event)
            case "finish" if running:
                entry.finish(running[-1])
            case "wait":
                entry.advance(value)
        for dispatch in entry.dispatches[n_before:]:
            target_id = dispatch.endpoint_id
            endpoint_start = (target_id, incarnation_by_id[target_id])
            assert endpoint_start not in leaving
            assert paused_until_ms.get(endpoint_start, 0) <= entry.now_ms
