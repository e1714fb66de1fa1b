"""Failure domains that the operator evacuates: no request reaches their endpoints."""

from random import Random

import pytest

from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.effects import (
    CancelAttempt,
    Complete,
    Dispatch,
    LogEvent,
    Reject,
    SetTimer,
)
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    DomainsEvacuated,
    EndpointCrashed,
    EndpointInfo,
    EndpointLost,
    EndpointRegistered,
    LoadReported,
    PeersConnected,
    RequestArrived,
    TimerFired,
    Usage,
)
from bluebellusher_core.membership import RAMP_MS
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec
from bluebellusher_core.routing import SlotAware

DOMAINS = ("a", "b", "c")
N_SLOTS = 4


def find(effects, effect_type):
    """Return the effects of a type."""
    return [effect for effect in effects if isinstance(effect, effect_type)]


class Entry:
    """Entry with endpoints ``a0``, ``a1``, ``b0``, ... of the domains in ``DOMAINS``.

    Every dispatch is checked: its endpoint must not be in an evacuated domain.
    """

    def __init__(self, n_endpoints=2, entry_id="e", **options):
        self.now_ms = 1_000
        config = EntryConfig(entry_id, n_min_retries=1_000, **options)
        self.state = EntryState.from_config(config, SlotAware("a"), ObjectiveQueue)
        self.domains = frozenset()
        self.dispatches = []
        self.rejection_by_id = {}
        self.n_answers_by_id = {}
        self.timers = []
        for domain in DOMAINS:
            for i in range(n_endpoints):
                self.register(f"{domain}{i}")

    def handle(self, event):
        """Apply an event, and return the effects after they were checked."""
        effects = reduce(self.state, event, self.now_ms)
        for effect in effects:
            match effect:
                case Dispatch():
                    assert effect.endpoint_id[0] not in self.domains
                    self.dispatches.append(effect)
                case Reject(request_id=request_id, rejection=rejection):
                    self.rejection_by_id[request_id] = rejection
                    n_answers = self.n_answers_by_id.get(request_id, 0)
                    self.n_answers_by_id[request_id] = n_answers + 1
                case Complete(request_id=request_id):
                    n_answers = self.n_answers_by_id.get(request_id, 0)
                    self.n_answers_by_id[request_id] = n_answers + 1
                case SetTimer():
                    self.timers.append((effect.due_ms, effect.timer_id))
        return effects

    def register(self, endpoint_id, incarnation=1):
        """Register an endpoint, whose id begins with its domain."""
        names = frozenset({"s"}), frozenset(), frozenset()
        info = EndpointInfo(endpoint_id, endpoint_id[0], *names, N_SLOTS, incarnation)
        return self.handle(EndpointRegistered(info))

    def evacuate(self, domains):
        """Set the evacuated domains, one letter each."""
        previous, self.domains = self.domains, frozenset(domains)
        changed = sorted(previous ^ self.domains)
        versions = tuple((domain, 7) for domain in changed)
        event = DomainsEvacuated(self.domains, versions, "row", self.now_ms)
        return self.handle(event)

    def send(self, request_id="r", **options):
        """Send a request and return its dispatch, or None."""
        options = {"deadline_ms": self.now_ms + 8_000, **options}
        spec = make_spec(request_id, **options)
        dispatches = find(self.handle(RequestArrived(spec)), Dispatch)
        return dispatches[0] if dispatches else None

    def finish(self, dispatch):
        """Answer an attempt completely."""
        attempt_id, endpoint_id = dispatch.attempt_id, dispatch.endpoint_id
        self.handle(AttemptStarted(attempt_id, endpoint_id))
        return self.handle(AttemptFinished(attempt_id, 200, 1, Usage(), endpoint_id))

    def count_sent(self, n_requests):
        """Send requests one after the other; return the number for each domain."""
        counts = dict.fromkeys(DOMAINS, 0)
        for i in range(n_requests):
            dispatch = self.send(f"n{self.now_ms}.{i}")
            counts[dispatch.endpoint_id[0]] += 1
            self.finish(dispatch)
        return counts


@pytest.mark.parametrize("domains", ["a", "ab", "abc"])
def test_requests_go_to_the_remaining_domains(domains):
    """Guards against requests to one, two or all evacuated domains.

    With all domains evacuated, requests are rejected at once as not run.
    """
    entry = Entry()
    entry.evacuate(domains)
    if domains == "abc":
        assert entry.send() is None
        rejection = entry.rejection_by_id["r"]
        assert rejection.outcome is Outcome.NOT_RUN
        assert rejection.reason is Reason.DOMAIN_EVACUATED
        assert rejection.retry_after_ms > 0
        return
    counts = entry.count_sent(60)
    assert all(counts[domain] == 0 for domain in domains)
    assert sum(counts.values()) == 60


def test_waiting_requests_are_rejected_when_the_last_domain_is_evacuated():
    """Guards against requests that wait in a queue until their deadline."""
    entry = Entry(n_endpoints=1)
    n_running = len(DOMAINS) * N_SLOTS
    for i in range(n_running + 3):
        entry.send(f"r{i}")
    assert len(entry.dispatches) == n_running
    effects = entry.evacuate("abc")
    assert {effect.request_id for effect in find(effects, Reject)} == {
        f"r{n_running + i}" for i in range(3)
    }
    for rejection in entry.rejection_by_id.values():
        assert rejection.outcome is Outcome.NOT_RUN
        assert rejection.reason is Reason.DOMAIN_EVACUATED
        assert rejection.retry_after_ms > 0
    # Attempts that were running continue to their end.
    assert not find(effects, CancelAttempt)
    for dispatch in entry.dispatches:
        assert find(entry.finish(dispatch), Complete)


def test_retry_avoids_an_evacuated_domain():
    """Guards against a retry that is placed by an earlier choice."""
    entry = Entry()
    dispatch = entry.send()
    entry.evacuate(set(DOMAINS) - {"c"})
    event = AttemptBroken(
        dispatch.attempt_id,
        Reason.CONNECTION_LOST,
        0,
        False,
        dispatch.endpoint_id,
    )
    (retry,) = find(entry.handle(event), Dispatch)
    assert retry.endpoint_id[0] == "c"


@pytest.mark.parametrize("can_resume_elsewhere", [True, False])
@pytest.mark.parametrize("is_reconnected", [True, False])
def test_stream_is_not_resumed_in_an_evacuated_domain(
    can_resume_elsewhere, is_reconnected
):
    """Guards against the rest of a stream that is fetched from an evacuated endpoint.

    A stream that only its own endpoint can resume ends as possibly run.
    """
    entry = Entry()
    dispatch = entry.send(can_resume_elsewhere=can_resume_elsewhere)
    attempt_id, endpoint_id = dispatch.attempt_id, dispatch.endpoint_id
    entry.handle(AttemptStarted(attempt_id, endpoint_id))
    entry.evacuate(endpoint_id[0])
    reason = Reason.ENDPOINT_LOST if is_reconnected else Reason.CONNECTION_LOST
    event = AttemptBroken(attempt_id, reason, 5, True, endpoint_id)
    effects = entry.handle(event)
    if is_reconnected:
        effects += entry.register(endpoint_id)
    dispatches = find(effects, Dispatch)
    if can_resume_elsewhere:
        assert dispatches[0].resume_offset == 5
    else:
        assert not dispatches
        assert entry.rejection_by_id["r"].outcome is Outcome.UNKNOWN
        assert entry.rejection_by_id["r"].reason is Reason.DOMAIN_EVACUATED


def test_suspect_is_not_isolated_in_an_evacuated_domain():
    """Guards against an isolated run at the endpoint that was reserved for it."""
    entry = Entry(n_endpoints=1)
    entry.handle(EndpointCrashed("a0", ("r",), (), ""))
    entry.now_ms += 1_000
    dispatch = entry.send()
    assert dispatch.is_isolated
    refused = AttemptRefused(
        dispatch.attempt_id, Reason.ENDPOINT_ISOLATING, 0, dispatch.endpoint_id
    )
    entry.handle(refused)
    entry.evacuate(dispatch.endpoint_id[0])
    entry.now_ms += 1_000
    (other,) = find(entry.handle(TimerFired("wake")), Dispatch)
    assert other.is_isolated


def test_withheld_attempt_is_placed_elsewhere():
    """Guards against a request that is lost or charged by an attempt that was not sent.

    The process may be suspended between the choice and the write of an attempt. The
    endpoint that was not sent to is not deferred.
    """
    entry = Entry()
    dispatch = entry.send()
    n_retries = entry.state.retry_budget.n_available
    entry.evacuate(dispatch.endpoint_id[0])
    event = AttemptRefused(
        dispatch.attempt_id,
        Reason.DOMAIN_EVACUATED,
        0,
        dispatch.endpoint_id,
        has_arrived=False,
    )
    (other,) = find(entry.handle(event), Dispatch)
    assert other.endpoint_id[0] != dispatch.endpoint_id[0]
    assert entry.state.retry_budget.n_available == n_retries
    assert not entry.state.endpoints._deferred_until_ms


def test_group_goes_on_while_a_domain_of_its_ranks_is_evacuated():
    """Guards against ranks that leave the lock-step of their group when evacuated.

    Their reports still count for the state of the group, also when the domain is the
    one of the entry that leads the expert maps.
    """
    entry = Entry(n_endpoints=1)
    entry.evacuate("a")
    for is_open in (True, False):
        entry.now_ms += 100
        for domain in DOMAINS:
            report = LoadReported(
                f"{domain}0",
                sequence=entry.now_ms,
                n_running=0,
                n_queued=0,
                n_queued_tokens=0,
                n_slots=N_SLOTS,
                kv_use=0.0,
                models=frozenset(),
                adapters=frozenset(),
                age_ms=0,
                is_open=is_open,
                group_id="g",
            )
            entry.handle(report)
        view = entry.state.endpoints.view_by_id["a0"]
        assert view.report.is_open is is_open
    closed_ids = entry.state.endpoints.groups.find_closed(entry.now_ms)
    assert closed_ids == {"a0", "b0", "c0"}


def test_changes_of_the_set_are_logged():
    """Guards against an evacuation whose effect cannot be found in the logs."""
    entry = Entry()
    entry.now_ms += 30
    dispatch = entry.send()
    domain = dispatch.endpoint_id[0]
    event = DomainsEvacuated(frozenset({domain}), ((domain, 9),), "row", 1_000)
    entry.domains = frozenset({domain})
    (line,) = [e for e in entry.handle(event) if isinstance(e, LogEvent)]
    fields = dict(line.fields)
    assert line.name == "domain-evacuated"
    assert (fields["row_version"], fields["took_ms"]) == (9, 30)
    assert (fields["n_endpoints"], fields["n_own"]) == (2, 1)
    (line,) = [e for e in entry.evacuate("") if isinstance(e, LogEvent)]
    assert line.name == "domain-restored"


@pytest.mark.parametrize("n_times", [1, 2])
@pytest.mark.parametrize("n_entries", [1, 4, 13, 64])
def test_share_returns_by_a_ramp(n_entries, n_times):
    """Guards against a burst at idle, possibly cold endpoints of a restored domain.

    All entries have full queues. The attempts of all entries together at an endpoint
    rise to its slots over ``RAMP_MS``, also after the second of two evacuations.
    """
    entries = [Entry(entry_id=f"e{i}") for i in range(n_entries)]
    ids = {entry.state.config.entry_id for entry in entries}
    for entry in entries:
        entry.handle(PeersConnected(frozenset(ids - {entry.state.config.entry_id})))
        for _ in range(n_times):
            entry.evacuate("a")
            entry.now_ms += 700
            entry.evacuate("")
        for i in range(6 * N_SLOTS):
            entry.send(f"r{i}", objective_at_ms=60_000, deadline_ms=60_000)
    n_attempts = []
    for progress in (0.0, 0.2, 0.45, 0.7, 0.95, 1.0):
        n_by_endpoint = {"a0": 0, "a1": 0}
        for entry in entries:
            entry.now_ms = 1_000 + 700 * n_times + int(progress * RAMP_MS)
            entry.handle(TimerFired("wake"))
            for endpoint_id in n_by_endpoint:
                view = entry.state.endpoints.view_by_id[endpoint_id]
                n_by_endpoint[endpoint_id] += view.n_own_in_flight
        n_attempts.append(set(n_by_endpoint.values()))
    assert n_attempts[:5] == [{1}, {1}, {2}, {3}, {4}]
    assert n_attempts[5] == {N_SLOTS * n_entries}


def test_pool_without_another_domain_is_served_during_the_ramp():
    """Guards against requests that are held although an endpoint is idle."""
    entry = Entry(n_endpoints=1)
    entry.evacuate("abc")
    entry.now_ms += 300
    entry.evacuate("")
    assert entry.count_sent(20) != dict.fromkeys(DOMAINS, 0)


def test_remaining_domains_take_over_at_their_rate():
    """Guards against an admission that counts the slots of an evacuated domain.

    Load pattern: 190 requests/s arrive, where all three domains can serve 240 and two
    of them 160. While one is evacuated, the others stay fully used, and the excess is
    rejected as not run before its deadline. After the ramp all are served again.
    """
    entry = Entry()
    service_ms, interval_ms = 100, 1_000 / 190
    answered_at_ms, calls = [], []
    n_started, start_ms = 0, entry.now_ms
    arrival_ms_by_id = {}
    changes = [(1_000, "a"), (4_000, "")]
    while entry.now_ms < start_ms + 4_000 + RAMP_MS + 2_000:
        entry.now_ms += 1
        at_ms = entry.now_ms - start_ms
        if changes and at_ms >= changes[0][0]:
            entry.evacuate(changes.pop(0)[1])
        while calls and calls[0][0] <= entry.now_ms:
            _, dispatch = calls.pop(0)
            entry.finish(dispatch)
            answered_at_ms.append(at_ms)
        for timer in [t for t in entry.timers if t[0] <= entry.now_ms]:
            entry.timers.remove(timer)
            entry.handle(TimerFired(timer[1]))
        while len(arrival_ms_by_id) * interval_ms <= at_ms:
            request_id = f"r{len(arrival_ms_by_id)}"
            arrival_ms_by_id[request_id] = at_ms
            entry.send(
                request_id,
                objective_at_ms=entry.now_ms + 300,
                start_by_ms=entry.now_ms + 700,
                deadline_ms=entry.now_ms + 700,
            )
        for dispatch in entry.dispatches[n_started:]:
            calls.append((entry.now_ms + service_ms, dispatch))
        n_started = len(entry.dispatches)

    def count(times_ms, from_ms, to_ms):
        return sum(from_ms <= t < to_ms for t in times_ms)

    assert count(answered_at_ms, 1_200, 4_000) >= 0.95 * 160 * 2.8
    rejected_at_ms = [arrival_ms_by_id[i] for i in entry.rejection_by_id]
    assert count(rejected_at_ms, 1_000, 4_000) <= 1.2 * 30 * 3
    for rejection in entry.rejection_by_id.values():
        assert rejection.outcome is Outcome.NOT_RUN
        assert rejection.reason is not Reason.DEADLINE_EXCEEDED
        assert rejection.retry_after_ms > 0
    assert not count(rejected_at_ms, 4_000 + RAMP_MS, 4_000 + RAMP_MS + 2_000)


class RandomEntry(Entry):
    """Entry with random events, each of which may come at any time."""

    def __init__(self, random, **options):
        super().__init__(**options)
        self.random = random
        self.n_requests = 0
        self.open_by_id = {}

    def step(self):
        """Apply one random event."""
        draw = self.random
        self.now_ms += draw.choice([0, 1, 5, 40, 300, 1_200])
        n_dispatched = len(self.dispatches)
        kind = draw.choice(("arrive", "attempt", "attempt", "endpoint", "domains"))
        getattr(self, f"_{kind}")()
        due = [timer for timer in self.timers if timer[0] <= self.now_ms]
        for timer in due:
            self.timers.remove(timer)
            self.handle(TimerFired(timer[1]))
        for dispatch in self.dispatches[n_dispatched:]:
            self.open_by_id[dispatch.attempt_id] = dispatch

    def _arrive(self):
        draw = self.random
        for _ in range(draw.choice([1, 1, 12])):
            self.n_requests += 1
            self.send(
                f"r{self.n_requests}",
                fingerprint=draw.choice(["f", "g", f"r{self.n_requests}"]),
                is_idempotent=draw.random() < 0.7,
                can_resume_elsewhere=draw.random() < 0.5,
            )

    def _attempt(self):
        draw = self.random
        if not self.open_by_id:
            return
        attempt_id = draw.choice(list(self.open_by_id))
        dispatch = self.open_by_id[attempt_id]
        endpoint_id = dispatch.endpoint_id
        end = draw.randrange(4)
        if end == 0:
            self.handle(AttemptStarted(attempt_id, endpoint_id))
            return
        del self.open_by_id[attempt_id]
        if end == 1:
            self.finish(dispatch)
        elif end == 2:
            reasons = [Reason.ENDPOINT_FULL, Reason.ENDPOINT_ISOLATING]
            reason = draw.choice([*reasons, Reason.DOMAIN_EVACUATED])
            self.handle(AttemptRefused(attempt_id, reason, 0, endpoint_id))
        else:
            reason = draw.choice([Reason.CONNECTION_LOST, Reason.ENDPOINT_LOST])
            n_bytes = draw.choice([0, 7])
            self.handle(AttemptBroken(attempt_id, reason, n_bytes, True, endpoint_id))

    def _endpoint(self):
        endpoint_id = self.random.choice(DOMAINS) + self.random.choice("01")
        kind = self.random.randrange(3)
        if kind == 0:
            self.handle(EndpointLost(endpoint_id))
        elif kind == 1:
            self.register(endpoint_id, self.random.choice([1, 1, self.now_ms]))
        else:
            attempt_ids = tuple(
                d.attempt_id
                for d in self.open_by_id.values()
                if d.endpoint_id == endpoint_id
            )
            event = EndpointCrashed(endpoint_id, ("f", "g"), attempt_ids, "")
            self.handle(event)

    def _domains(self):
        draw = self.random
        self.evacuate({d for d in DOMAINS if draw.random() < draw.choice([0, 0.5, 1])})


@pytest.mark.parametrize("seed", range(60))
def test_no_dispatch_reaches_an_evacuated_domain(seed):
    """Guards against any path on which an attempt is placed in an evacuated domain.

    Arrivals, answers, refusals, breaks, crashes, lost and registered endpoints, timers
    and evacuations come in any order. ``Entry`` checks each dispatch. No request gets a
    second final answer, and each has one after its deadline.
    """
    random = Random(seed)
    options = {"hedge_after_ms": 30} if seed % 2 else {}
    entry = RandomEntry(random, n_crashes_to_block=3 * (seed % 3 == 0), **options)
    for _ in range(300):
        entry.step()
    while entry.timers and entry.state.request_by_id:
        due_ms, timer_id = min(entry.timers)
        entry.timers.remove((due_ms, timer_id))
        entry.now_ms = max(entry.now_ms, due_ms)
        entry.handle(TimerFired(timer_id))
    assert not entry.state.request_by_id
    assert set(entry.n_answers_by_id.values()) == {1}
    assert len(entry.n_answers_by_id) == entry.n_requests
