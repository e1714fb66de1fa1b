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

    def say(self, endpoint_id, is_leaving=False, pause_ms=0, incarnation=1):
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

    def wake(self, after_ms):
        """Advance the time and fire the wake timer; return the effects."""
        self.now_ms += after_ms
        return self.handle(TimerFired("wake"))


def endpoints_of(effects):
    """Return the endpoints of the dispatches among effects."""
    return [e.endpoint_id for e in effects if isinstance(e, Dispatch)]


def refusals(effects):
    """Return the rejections among effects."""
    return [e.rejection for e in effects if isinstance(e, Reject)]


def test_endpoint_that_says_it_leaves_gets_nothing_more():
    """Guards against requests to a leaving endpoint that the store lists as ready."""
    entry = Entry()
    effects = entry.say("x0", is_leaving=True)
    assert [e.marks[0].endpoint_id for e in effects if isinstance(e, BroadcastLeaving)]
    assert any(isinstance(e, LogEvent) for e in effects)
    entry.register("x0")
    for _ in range(N_SLOTS):
        assert endpoints_of(entry.send()) == ["x1"]


def test_return_of_a_lapsed_registration_keeps_the_mark():
    """Guards against a leaving mark that is discarded with its endpoint's view."""
    entry = Entry(n_endpoints=1)
    entry.say("x0", is_leaving=True)
    entry.handle(EndpointDraining("x0"))
    entry.handle(EndpointLost("x0"))
    entry.register("x0")
    assert refusals(entry.send())[0].reason is Reason.NO_ENDPOINT
    entry.register("x0", incarnation=2)
    assert endpoints_of(entry.send()) == ["x0"]


def test_mark_of_a_peer_counts_and_is_not_told_again():
    """Guards against entries that broadcast one mark to each other without end."""
    heard, told = Entry(), Entry()
    (news,) = [
        e for e in heard.say("x0", is_leaving=True) if isinstance(e, BroadcastLeaving)
    ]
    effects = told.handle(LeavingReceived("peer", news.marks))
    assert not [e for e in effects if isinstance(e, BroadcastLeaving)]
    assert endpoints_of(told.send()) == ["x1"]
    heard.now_ms += 700
    (mark,) = heard.state.endpoints.announcements.leaving_marks(heard.now_ms)
    assert mark.age_ms == 700


def test_endpoint_gets_nothing_during_its_pause():
    """Guards against dispatches to an endpoint before its pause ends."""
    entry = Entry(n_endpoints=2)
    entry.say("x0", pause_ms=1_500)
    for _ in range(N_SLOTS):
        assert endpoints_of(entry.send()) == ["x1"]
    assert not endpoints_of(entry.send())
    assert not endpoints_of(entry.wake(1_499))
    assert endpoints_of(entry.wake(1)) == ["x0"]


def test_absurd_pause_ends():
    """Guards against a pause beyond ``max_pause_ms`` that stops a service for good."""
    entry = Entry(n_endpoints=1)
    entry.say("x0", pause_ms=10**12)
    (refused,) = refusals(entry.send())
    assert refused.retry_after_ms <= MAX_PAUSE_MS
    entry.now_ms += MAX_PAUSE_MS
    assert endpoints_of(entry.send()) == ["x0"]


def test_callers_are_refused_at_once_while_every_endpoint_pauses():
    """Guards against requests that wait although all pauses outlast the objective.

    The rejection names the time until the first pause ends.
    """
    entry = Entry()
    entry.say("x0", pause_ms=5_000)
    entry.say("x1", pause_ms=3_000)
    (refused,) = refusals(entry.send(objective_ms=400))
    assert refused.reason is Reason.ENDPOINTS_PAUSED
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after_ms == 3_000
    assert not refusals(entry.send(objective_ms=6_000))


def test_request_that_cannot_outwait_the_pause_is_not_held():
    """Guards against a waiting request that is rejected only at its deadline.

    It is rejected as soon as an announced pause outlasts the deadline.
    """
    entry = Entry(n_endpoints=1)
    for _ in range(N_SLOTS):
        entry.send()
    waiting = entry.send(objective_ms=2_000, deadline_ms=2_000)
    assert not refusals(waiting)
    effects = entry.say("x0", pause_ms=4_000)
    assert [r.reason for r in refusals(effects)] == [Reason.ENDPOINTS_PAUSED]


def test_waiting_requests_are_not_released_all_at_once():
    """Guards against entries that fill an endpoint at once at the end of its pause."""
    entry = Entry(n_endpoints=1)
    entry.say("x0", pause_ms=500)
    for _ in range(3 * N_SLOTS):
        entry.send()
    n_sent = [len(endpoints_of(entry.wake(500)))]
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
    entry.say("x0", pause_ms=500)
    for _ in range(4 * N_SLOTS):
        entry.send()
    entry.wake(500)
    for _ in range(3):
        last = entry.dispatches[-1]
        ids = last.attempt_id, last.endpoint_id
        entry.handle(AttemptFinished(ids[0], 204, 0, Usage(), ids[1]))
    assert entry.state.endpoints.view_by_id["x0"].n_own_in_flight == N_SLOTS


def test_refusal_with_a_pause_sends_the_request_elsewhere():
    """Guards against a retry at the endpoint that has just asked for a pause."""
    entry = Entry()
    entry.send()
    first = entry.dispatches[-1]
    entry.say(first.endpoint_id, pause_ms=2_000)
    refused = AttemptRefused(
        first.attempt_id, Reason.ENDPOINT_FULL, 0, first.endpoint_id, True
    )
    assert endpoints_of(entry.handle(refused)) != [first.endpoint_id]


ENDPOINT_IDS = st.sampled_from(["x0", "x1", "x2"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("leave"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("peer"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("pause"), ENDPOINT_IDS, st.integers(1, 5_000)),
        st.tuples(st.just("lapse"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("register"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("start"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("refuse"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("finish"), ENDPOINT_IDS, st.just(0)),
        st.tuples(st.just("wait"), ENDPOINT_IDS, st.integers(1, 2_000)),
    ),
    max_size=60,
)


@given(STEPS)
def test_nothing_begins_after_a_mark_or_within_a_pause(steps):
    """Guards against dispatches to leaving or paused endpoints in any event order."""
    entry = Entry(n_endpoints=3)
    incarnation_by_id = dict.fromkeys(["x0", "x1", "x2"], 1)
    leaving, paused_until_ms = set(), {}
    for kind, endpoint_id, value in steps:
        n_before = len(entry.dispatches)
        incarnation = incarnation_by_id[endpoint_id]
        start = (endpoint_id, incarnation)
        running = [e for e in entry.dispatches if e.endpoint_id == endpoint_id]
        match kind:
            case "send":
                entry.send()
            case "leave":
                leaving.add(start)
                entry.say(endpoint_id, is_leaving=True, incarnation=incarnation)
            case "peer":
                leaving.add(start)
                marks = Entry(0)
                marks.say(endpoint_id, is_leaving=True, incarnation=incarnation)
                told = marks.state.endpoints.announcements.leaving_marks(marks.now_ms)
                entry.handle(LeavingReceived("peer", told))
            case "pause":
                until_ms = entry.now_ms + value
                paused_until_ms[start] = max(until_ms, paused_until_ms.get(start, 0))
                entry.say(endpoint_id, pause_ms=value, incarnation=incarnation)
            case "lapse":
                entry.handle(EndpointDraining(endpoint_id))
                entry.handle(EndpointLost(endpoint_id))
            case "register":
                entry.register(endpoint_id, incarnation)
            case "start":
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
                entry.wake(value)
        for dispatch in entry.dispatches[n_before:]:
            target = dispatch.endpoint_id
            start = (target, incarnation_by_id[target])
            assert start not in leaving
            assert paused_until_ms.get(start, 0) <= entry.now_ms
