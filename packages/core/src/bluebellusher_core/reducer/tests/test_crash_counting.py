"""Counting of the crashes that a request causes at endpoints without agents."""

import itertools

import pytest

from bluebellusher_core.effects import (
    BroadcastCrashes,
    CheckEndpoint,
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
    CrashesReceived,
    DigestReceived,
    EndpointChecked,
    EndpointInfo,
    EndpointLost,
    EndpointProgressed,
    EndpointRegistered,
    RequestArrived,
    TimerFired,
    Usage,
)
from bluebellusher_core.poison import Crash, CrashCounter, CrashRecord
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec
from bluebellusher_core.requests._crash_evidence import EXIT_GRACE_MS

# Number of confirmed crashes that block a fingerprint.
N_TO_BLOCK = 3


class Entry:
    """One entry in virtual time, which advances by 10 ms with each event.

    The endpoint ids contain the entry id, because one start of an endpoint counts as
    one crash only, whichever entry observed it.
    """

    def __init__(self, entry_id="e1", n_endpoints=8):
        config = EntryConfig(entry_id, n_crashes_to_block=N_TO_BLOCK, n_min_retries=99)
        self.state = EntryState.from_config(config)
        self.now_ms = 0
        self.n_requests = 0
        for i in range(n_endpoints):
            self.register(f"{entry_id}-x{i}")

    def register(self, endpoint_id, incarnation=1):
        """Register an endpoint or a restart of it."""
        names = frozenset({"s"}), frozenset(), frozenset()
        info = EndpointInfo(endpoint_id, "d", *names, 4, incarnation)
        return self.handle(EndpointRegistered(info))

    def handle(self, event):
        """Apply an event 10 ms after the last one; return the effects."""
        self.now_ms += 10
        return reduce(self.state, event, self.now_ms)

    def send(self, fingerprint="poison"):
        """Send a non-idempotent request; return its dispatch or its rejection."""
        self.n_requests += 1
        spec = make_spec(
            f"r{self.n_requests}",
            fingerprint=fingerprint,
            deadline_ms=self.now_ms + 60_000,
            is_idempotent=False,
            n_max_attempts=1,
        )
        effects = self.handle(RequestArrived(spec))
        decisions = [e for e in effects if isinstance(e, Dispatch | Reject)]
        return next(e for e in decisions if e.request_id == spec.request_id)

    def break_run(self, dispatch):
        """Break the connection of an attempt; return the effects."""
        return self.handle(
            AttemptBroken(
                dispatch.attempt_id,
                Reason.CONNECTION_LOST,
                0,
                False,
                dispatch.endpoint_id,
            )
        )

    def crash(self, dispatch):
        """Crash the endpoint of an attempt; its address check finds the port closed."""
        effects = self.break_run(dispatch)
        assert CheckEndpoint(dispatch.endpoint_id) in effects
        effects += self.handle(EndpointChecked(dispatch.endpoint_id, False))
        return effects + self.handle(EndpointLost(dispatch.endpoint_id))

    def answer_checks(self, endpoint_id, until_ms):
        """Answer the checks of an address as open up to a time; return their number."""
        n_checks = 0
        effects = self.handle(EndpointChecked(endpoint_id, True))
        while due_ms := _check_due_ms(effects, endpoint_id):
            if due_ms > until_ms:
                break
            n_checks += 1
            self.now_ms = max(self.now_ms, due_ms - 10)
            effects = self.handle(TimerFired(f"check:{endpoint_id}"))
            assert CheckEndpoint(endpoint_id) in effects
            effects = self.handle(EndpointChecked(endpoint_id, True))
        self.now_ms = max(self.now_ms, until_ms)
        return n_checks


def _check_due_ms(effects, endpoint_id):
    """Return the time of the next check of an address; 0 when none is planned."""
    timer_id = f"check:{endpoint_id}"
    timers = [e for e in effects if isinstance(e, SetTimer) and e.timer_id == timer_id]
    return timers[0].due_ms if timers else 0


def send_records(entry, other):
    """Deliver the crash records of ``entry`` to ``other``; return the effects."""
    records = entry.state.crashes.records(entry.now_ms)
    return other.handle(CrashesReceived(entry.state.config.entry_id, records))


def test_request_that_crashed_three_endpoints_is_rejected():
    """Guards against one request that crashes endpoint after endpoint."""
    entry = Entry()
    for _ in range(N_TO_BLOCK):
        entry.crash(entry.send())
    rejected = entry.send()
    assert rejected.rejection.reason is Reason.CRASHES_ENDPOINTS
    assert rejected.rejection.outcome is Outcome.NOT_RUN
    assert isinstance(entry.send("another"), Dispatch)


def test_rejection_states_the_remaining_time_of_the_block():
    """Guards against callers that retry at once while a block lasts for minutes."""
    entry = Entry()
    for _ in range(N_TO_BLOCK):
        entry.crash(entry.send())
    first = entry.send().rejection.retry_after_ms
    entry.now_ms += first // 2
    remaining_ms = entry.send().rejection.retry_after_ms
    assert remaining_ms == first - first // 2 - 10
    entry.now_ms += remaining_ms
    assert isinstance(entry.send(), Dispatch)


def test_request_in_flight_is_rejected_when_its_fingerprint_is_blocked():
    """Guards against callers that wait for a run of a fingerprint blocked since."""
    entry = Entry()
    for _ in range(N_TO_BLOCK - 1):
        entry.crash(entry.send())
    third, dispatch = entry.send(), entry.send()
    effects = entry.crash(third)
    finals = {e.request_id: e.rejection for e in effects if isinstance(e, Reject)}
    assert finals[dispatch.request_id].reason is Reason.CRASHES_ENDPOINTS
    assert finals[dispatch.request_id].outcome is Outcome.UNKNOWN


def test_crashes_observed_by_several_entries_add_up():
    """Guards against retries that reach another entry each time and are not counted."""
    entries = [Entry(f"e{i}") for i in range(3)]
    for entry in entries:
        entry.crash(entry.send())
    for entry in entries[1:]:
        send_records(entry, entries[0])
    assert entries[0].send().rejection.reason is Reason.CRASHES_ENDPOINTS
    send_records(entries[0], entries[1])
    assert entries[1].send().rejection.reason is Reason.CRASHES_ENDPOINTS


def test_two_own_crashes_and_one_of_a_peer_block():
    """Guards against three crashes at two entries that neither counts as three."""
    first, second = Entry("e1"), Entry("e2")
    for _ in range(2):
        first.crash(first.send())
    second.crash(second.send())
    send_records(second, first)
    assert first.send().rejection.reason is Reason.CRASHES_ENDPOINTS


def test_broken_runs_at_endpoints_that_still_answer_do_not_count():
    """Guards against callers blocked because endpoints reset connections."""
    entry = Entry(n_endpoints=1)
    for i in range(2 * N_TO_BLOCK):
        broken = entry.send()
        entry.break_run(broken)
        later = entry.send(f"another-{i}")
        entry.handle(AttemptStarted(later.attempt_id, later.endpoint_id))
        entry.handle(EndpointLost(broken.endpoint_id))
        entry.register(broken.endpoint_id, 2)
    assert isinstance(entry.send(), Dispatch)


def test_complete_run_clears_the_crashes():
    """Guards against a frequent harmless request blocked by unrelated crashes."""
    entry, peer = Entry("e1"), Entry("e2")
    for _ in range(N_TO_BLOCK - 1):
        entry.crash(entry.send())
        peer.crash(peer.send())
    done = entry.send()
    entry.handle(
        AttemptFinished(done.attempt_id, 200, 1, Usage(), done.endpoint_id),
    )
    send_records(peer, entry)
    entry.crash(entry.send())
    assert isinstance(entry.send(), Dispatch)


def test_simultaneous_runs_broken_by_one_fault_do_not_block():
    """Guards against a popular request blocked because a failure domain was cut."""
    entry = Entry()
    dispatches = [entry.send() for _ in range(N_TO_BLOCK)]
    for dispatch in dispatches:
        entry.break_run(dispatch)
    for dispatch in dispatches:
        entry.handle(EndpointChecked(dispatch.endpoint_id, None))
        entry.handle(EndpointLost(dispatch.endpoint_id))
    assert isinstance(entry.send(), Dispatch)
    for dispatch in dispatches:
        entry.register(dispatch.endpoint_id)
    for dispatch in dispatches:
        entry.handle(EndpointLost(dispatch.endpoint_id))
        entry.register(dispatch.endpoint_id, 2)
    assert isinstance(entry.send(), Dispatch)


def test_refused_connection_confirms_a_crash_before_the_registration_expires():
    """Guards against crashes that count only when the registration has expired."""
    entry = Entry(n_endpoints=1)
    for _ in range(N_TO_BLOCK):
        entry.break_run(entry.send())
        probe = entry.send("another")
        entry.handle(
            AttemptRefused(
                probe.attempt_id, Reason.CONNECT_REFUSED, 0, probe.endpoint_id, False
            )
        )
        entry.now_ms += 2_000
    assert entry.send().rejection.reason is Reason.CRASHES_ENDPOINTS


def test_suspects_of_peers_do_not_run_isolated():
    """Guards against endpoints reserved for isolated runs after many crashes."""
    entry = Entry()
    entry.handle(DigestReceived("peer", 1, (), ("poison",)))
    assert not entry.send().is_isolated


def test_connection_timeout_confirms_no_crash():
    """Guards against callers rejected because connections to endpoints were cut."""
    entry = Entry(n_endpoints=1)
    for _ in range(N_TO_BLOCK):
        broken = entry.send()
        entry.break_run(broken)
        entry.handle(EndpointChecked(broken.endpoint_id, None))
        probe = entry.send("another")
        entry.handle(
            AttemptRefused(
                probe.attempt_id, Reason.CONNECT_FAILED, 0, probe.endpoint_id, False
            )
        )
        entry.now_ms += 2_000
    assert isinstance(entry.send(), Dispatch)


def test_listening_port_dismisses_a_crash():
    """Guards against callers rejected because an endpoint resets connections."""
    entry = Entry(n_endpoints=1)
    for incarnation in range(2, 3 * N_TO_BLOCK):
        broken = entry.send()
        entry.break_run(broken)
        assert entry.answer_checks(broken.endpoint_id, entry.now_ms + 5_000) < 10
        entry.register(broken.endpoint_id, incarnation)
    assert isinstance(entry.send(), Dispatch)


def test_port_that_closes_after_an_open_check_confirms_a_crash():
    """Guards against a crash dismissed because its process has not ended yet.

    The port of a process that is ending accepts connections for some time.
    """
    entry = Entry(n_endpoints=N_TO_BLOCK)
    for _ in range(N_TO_BLOCK):
        broken = entry.send()
        entry.break_run(broken)
        entry.answer_checks(broken.endpoint_id, entry.now_ms + EXIT_GRACE_MS // 2)
        entry.handle(TimerFired(f"check:{broken.endpoint_id}"))
        entry.handle(EndpointChecked(broken.endpoint_id, False))
        entry.handle(EndpointLost(broken.endpoint_id))
    assert entry.send().rejection.reason is Reason.CRASHES_ENDPOINTS


def test_start_that_replaces_an_open_port_confirms_a_crash():
    """Guards against a crash dismissed because its endpoint restarts at once."""
    entry = Entry(n_endpoints=1)
    for incarnation in range(2, 2 + N_TO_BLOCK):
        broken = entry.send()
        entry.break_run(broken)
        entry.answer_checks(broken.endpoint_id, entry.now_ms + EXIT_GRACE_MS // 2)
        entry.register(broken.endpoint_id, incarnation)
    assert entry.send().rejection.reason is Reason.CRASHES_ENDPOINTS


def test_run_broken_during_an_address_check_gets_a_second_check():
    """Guards against a crash dismissed by a check that began before it."""
    entry = Entry(n_endpoints=1)
    first, second = entry.send("sound"), entry.send()
    entry.break_run(first)
    entry.handle(EndpointChecked(first.endpoint_id, True))
    entry.now_ms += EXIT_GRACE_MS
    entry.handle(TimerFired(f"check:{first.endpoint_id}"))
    assert CheckEndpoint(second.endpoint_id) not in entry.break_run(second)
    effects = entry.handle(EndpointChecked(first.endpoint_id, True))
    assert CheckEndpoint(second.endpoint_id) in effects
    entry.handle(EndpointChecked(second.endpoint_id, False))
    assert entry.state.crashes.count("poison", entry.now_ms) == 1
    assert entry.state.crashes.count("sound", entry.now_ms) == 0


def test_refusal_by_a_later_start_confirms_a_crash():
    """Guards against a crash not counted because another endpoint has its address."""
    entry = Entry(n_endpoints=N_TO_BLOCK)
    for i in range(N_TO_BLOCK):
        entry.break_run(entry.send())
        while (
            probe := entry.send(f"another-{i}")
        ).endpoint_id not in _endpoints_under_check(entry):
            entry.handle(
                AttemptFinished(probe.attempt_id, 200, 1, Usage(), probe.endpoint_id)
            )
        reason = Reason.ENDPOINT_DRAINING
        entry.handle(
            AttemptRefused(probe.attempt_id, reason, 0, probe.endpoint_id, True)
        )
    assert entry.send().rejection.reason is Reason.CRASHES_ENDPOINTS


def _endpoints_under_check(entry):
    return entry.state.check_started_at_ms


def replace_endpoint(entry, endpoint_id):
    """Register another endpoint at an address, and let it answer; return the effects.

    The endpoint takes part in no further request.
    """
    claimant_id = f"{endpoint_id}-next"
    services = frozenset({"s"})
    info = EndpointInfo(
        claimant_id, "d", services, frozenset(), frozenset(), 4, incarnation=9
    )
    entry.handle(EndpointRegistered(info, claimed_id=endpoint_id))
    entry.handle(EndpointChecked(endpoint_id, True))
    effects = entry.handle(EndpointProgressed(claimant_id, 20))
    entry.handle(EndpointLost(claimant_id))
    return effects


def test_later_start_that_answers_at_the_address_confirms_a_crash():
    """Guards against crashes not counted because no connection was tried meanwhile.

    The later start listens at the address, which dismisses no crash.
    """
    entry = Entry()
    for _ in range(N_TO_BLOCK):
        broken = entry.send()
        entry.break_run(broken)
        entry.now_ms += 2 * EXIT_GRACE_MS
        replace_endpoint(entry, broken.endpoint_id)
    assert entry.send().rejection.reason is Reason.CRASHES_ENDPOINTS


def test_registration_at_the_address_alone_confirms_no_crash():
    """Guards against requests that are blocked because of a row of another writer."""
    entry = Entry()
    for _ in range(N_TO_BLOCK):
        broken = entry.send()
        entry.break_run(broken)
        services = frozenset({"other"})
        info = EndpointInfo("seen", "d", services, frozenset(), frozenset(), 4)
        entry.handle(EndpointRegistered(info, claimed_id=broken.endpoint_id))
    assert isinstance(entry.send(), Dispatch)


def test_run_in_flight_when_a_later_start_takes_its_address_counts():
    """Guards against callers that wait for an endpoint that ended without a report."""
    entry = Entry()
    for _ in range(N_TO_BLOCK):
        hanging = entry.send()
        effects = replace_endpoint(entry, hanging.endpoint_id)
        (answer,) = [e.rejection for e in effects if isinstance(e, Reject)]
        assert answer.outcome is Outcome.UNKNOWN
    assert entry.send().rejection.reason is Reason.CRASHES_ENDPOINTS


def test_restarted_entry_receives_the_block_with_its_remaining_time():
    """Guards against a block that is lost, or renewed, by each restart."""
    first, second = Entry("e1"), Entry("e2")
    for _ in range(N_TO_BLOCK):
        first.crash(first.send())
    retry_after_ms = first.send().rejection.retry_after_ms
    send_records(first, second)
    for _ in range(20):
        first, second = second, Entry("e1")
        first.now_ms += 10_000
        send_records(first, second)
    remaining_ms = second.send().rejection.retry_after_ms
    assert retry_after_ms - 20 * 10_100 <= remaining_ms < retry_after_ms - 20 * 9_900


def test_complete_run_at_one_entry_unblocks_all_entries():
    """Guards against a block that remains although a run has completed elsewhere."""
    first, second = Entry("e1"), Entry("e2")
    dispatch = second.send()
    for _ in range(N_TO_BLOCK):
        first.crash(first.send())
    second.handle(
        AttemptFinished(
            dispatch.attempt_id,
            200,
            1,
            Usage(),
            dispatch.endpoint_id,
        )
    )
    effects = send_records(first, second)
    (own_records,) = [e.records for e in effects if isinstance(e, BroadcastCrashes)]
    first.handle(CrashesReceived("e2", own_records))
    assert isinstance(first.send(), Dispatch)
    assert isinstance(second.send(), Dispatch)


def test_merged_records_do_not_depend_on_their_order():
    """Guards against counts that depend on the order of the received records."""
    records = [
        CrashRecord("f", (Crash("x1@1", 50, 40),)),
        CrashRecord("f", (Crash("x2@1", 100, 90), Crash("x1@1", 50, 40))),
        CrashRecord("f", (Crash("x3@1", 400, 350),), 200),
        CrashRecord("f", (Crash("x2@1", 100, 90),)),
    ]
    for order in itertools.permutations(records):
        counter = CrashCounter()
        for record in order:
            counter.merge(record, now_ms=1_000)
        assert counter.count("f", 1_000) == 2


def test_crash_tables_stay_bounded():
    """Guards against memory that grows with every broken run."""
    counter = CrashCounter(n_max=3)
    for i in range(10):
        counter.suspect(f"f{i}", f"x{i}", 1, i, i)
        counter.suspect(f"g{i}", "x", 1, i, i)
        counter.merge(CrashRecord(f"p{i}", (Crash("y@1", 1, 1),), 5), i)
    for i in range(10):
        counter.confirm(f"x{i}", 20)
    assert counter.confirm("x", 20) == ["g7", "g8", "g9"]
    assert [record.fingerprint for record in counter.records(21)] == ["g7", "g8", "g9"]


@pytest.mark.parametrize("status", [404, 500, 504])
def test_error_answer_does_not_clear_the_crashes_of_its_request(status):
    """Guards against a request that crashes on after an endpoint answered an error.

    An endpoint that fails part of its requests says nothing about what a request does
    to the endpoints that run it.
    """
    entry = Entry()
    for _ in range(N_TO_BLOCK - 1):
        entry.crash(entry.send())
    failed = entry.send()
    entry.handle(
        AttemptFinished(failed.attempt_id, status, 7, Usage(), failed.endpoint_id)
    )
    entry.crash(entry.send())
    assert isinstance(entry.send(), Reject)
