"""Prompt parts that crash every engine which begins to answer a request with them."""

from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.effects import BroadcastCrashes, Dispatch, Reject
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    CrashesReceived,
    EndpointChecked,
    EndpointInfo,
    EndpointRegistered,
    EntriesCounted,
    RequestArrived,
    TimerFired,
    Usage,
)
from bluebellusher_core.poison import TRIAL_AFTER_MS
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec

CRASHING = "bad"
N_ENDPOINTS = 6
# Crashes that callers may see before a part is blocked on every entry.
MAX_CRASHES = 3
RESTART_MS = 3_500


class Fleet:
    """Entries that exchange crash records, and engines that a prompt part crashes.

    Parameters
    ----------
    n_entries : int
        Number of entries.
    n_warm_up : int
        Number of answered requests per entry before the test, of which each has one of
        three frequent parts.
    """

    def __init__(self, n_entries=3, n_warm_up=24):
        self.now_ms = 1_000
        self.n_crashes = 0
        self.cut_off = set()
        self.incarnation_by_id = {f"x{i}": 1 for i in range(N_ENDPOINTS)}
        self.entries = {}
        self.rejections = []
        self.trials = []
        self._numbers = count()
        for i in range(n_entries):
            self.start_entry(f"e{i}")
        for i in range(n_warm_up):
            for entry_id in self.entries:
                self.send(entry_id, (f"frequent{i % 3}",))

    def start_entry(self, entry_id):
        """Start an entry, or start it again without its memory."""
        state = EntryState.from_config(
            EntryConfig(entry_id, n_crashes_to_block=3, n_min_retries=50)
        )
        self.entries[entry_id] = state
        for endpoint_id in self.incarnation_by_id:
            self.register(state, endpoint_id)
        reduce(state, EntriesCounted(len(self.entries)), self.now_ms)
        for peer_id, peer in self.entries.items():
            if not {entry_id, peer_id} & self.cut_off:
                records = peer.crashes.records(self.now_ms)
                self.handle(state, CrashesReceived(peer_id, records))

    def register(self, state, endpoint_id):
        info = EndpointInfo(
            endpoint_id,
            "d",
            frozenset({"s"}),
            frozenset(),
            frozenset(),
            20,
            self.incarnation_by_id[endpoint_id],
        )
        self.handle(state, EndpointRegistered(info))

    def handle(self, state, event):
        """Apply an event and deliver its broadcasts; return its effects."""
        effects = reduce(state, event, self.now_ms)
        for effect in effects:
            if isinstance(effect, Reject):
                self.rejections.append(effect)
            if isinstance(effect, BroadcastCrashes):
                self._deliver(state.config.entry_id, effect.records)
        return effects

    def _deliver(self, sender_id, records):
        for entry_id, state in self.entries.items():
            if entry_id != sender_id and not {entry_id, sender_id} & self.cut_off:
                self.handle(state, CrashesReceived(sender_id, records))

    def reconnect(self, entry_id):
        """Connect an entry again; it and its peers exchange all their records."""
        self.cut_off.discard(entry_id)
        state = self.entries[entry_id]
        for peer_id, peer in list(self.entries.items()):
            if peer_id != entry_id:
                records = state.crashes.records(self.now_ms)
                self.handle(peer, CrashesReceived(entry_id, records))
                records = peer.crashes.records(self.now_ms)
                self.handle(state, CrashesReceived(peer_id, records))

    def dispatch(self, entry_id, part_ids):
        """Send a request with shared parts; return its dispatch, or None."""
        self.now_ms += 10
        spec = make_spec(
            f"r{next(self._numbers)}",
            deadline_ms=self.now_ms + 8_000,
            shared_part_ids=part_ids,
            n_max_attempts=1,
        )
        effects = self.handle(self.entries[entry_id], RequestArrived(spec))
        return next((e for e in effects if isinstance(e, Dispatch)), None)

    def send(self, entry_id, part_ids):
        """Send a request and run it to its end; return whether it produced output."""
        dispatch = self.dispatch(entry_id, part_ids)
        if dispatch is None:
            return False
        if CRASHING in part_ids:
            self.crash(dispatch.endpoint_id)
            return False
        self.answer(entry_id, dispatch)
        return True

    def answer(self, entry_id, dispatch, status=200):
        """Produce the output of a run and complete it."""
        state = self.entries[entry_id]
        endpoint_id = dispatch.endpoint_id
        self.now_ms += 200
        is_error = status >= 400
        self.handle(state, AttemptStarted(dispatch.attempt_id, endpoint_id, is_error))
        finished = AttemptFinished(dispatch.attempt_id, status, 9, Usage(), endpoint_id)
        self.handle(state, finished)

    def crash(self, *endpoint_ids):
        """Crash engines at the same time; they start again afterwards."""
        self.n_crashes += len(endpoint_ids)
        for endpoint_id in endpoint_ids:
            for state in self.entries.values():
                self._break_runs(state, endpoint_id)
        self.now_ms += RESTART_MS
        for endpoint_id in endpoint_ids:
            self.incarnation_by_id[endpoint_id] += 1
            for state in self.entries.values():
                self.register(state, endpoint_id)
        for state in self.entries.values():
            self.handle(state, TimerFired("parts"))

    def _break_runs(self, state, endpoint_id):
        """Break the runs on an engine; its port is closed to those that follow."""
        for run in _find_runs(state, endpoint_id):
            event = AttemptBroken(
                run.attempt_id, Reason.CONNECTION_LOST, 0, False, endpoint_id
            )
            self.handle(state, event)
        self.handle(state, EndpointChecked(endpoint_id, False))
        for run in _find_runs(state, endpoint_id):
            refused = AttemptRefused(
                run.attempt_id, Reason.CONNECT_REFUSED, 0, endpoint_id, False
            )
            self.handle(state, refused)


def _find_runs(state, endpoint_id):
    """Return the attempts of an entry at an endpoint."""
    return [a for a in state.attempt_by_id.values() if a.endpoint_id == endpoint_id]


def send_crashing(fleet, n_requests, first_part="first"):
    """Send requests with the crashing part, no two alike, to each entry in turn."""
    entry_ids = list(fleet.entries)
    for i in range(n_requests):
        entry_id = entry_ids[i % len(entry_ids)]
        fleet.send(entry_id, (f"{first_part}{i % 5}", CRASHING))


def test_requests_that_share_a_crashing_part_crash_few_engines():
    """Guards against requests that crash engines one after the other.

    Crashes are counted by the hash of a request, and no two of these are alike.
    """
    fleet = Fleet()
    send_crashing(fleet, 40)
    assert fleet.n_crashes <= MAX_CRASHES
    rejection = fleet.rejections[-1].rejection
    assert rejection.outcome is Outcome.NOT_RUN
    assert rejection.reason is Reason.CRASHES_ENDPOINTS
    assert rejection.retry_after_ms > 0


@pytest.mark.parametrize("at_request", [1, 2, 5, 12])
def test_entry_that_starts_meanwhile_knows_the_crashing_part(at_request):
    """Guards against an entry that has forgotten the part and crashes engines again."""
    fleet = Fleet()
    send_crashing(fleet, at_request)
    for entry_id in list(fleet.entries):
        fleet.start_entry(entry_id)
        send_crashing(fleet, 6)
    assert fleet.n_crashes <= MAX_CRASHES


def test_entry_that_was_cut_off_knows_the_crashing_part_when_it_is_back():
    """Guards against an entry that missed the crashes and crashes engines again."""
    fleet = Fleet()
    fleet.cut_off.add("e2")
    for i in range(20):
        fleet.send(f"e{i % 2}", (f"first{i}", CRASHING))
    fleet.reconnect("e2")
    for i in range(20):
        fleet.send("e2", (f"other{i}", CRASHING))
    assert fleet.n_crashes <= MAX_CRASHES


def test_sound_requests_that_share_the_other_parts_are_served():
    """Guards against sound requests that are rejected beside the crashing ones."""
    fleet = Fleet()
    n_served = 0
    for i in range(30):
        fleet.send(f"e{i % 3}", (f"frequent{i % 3}", CRASHING))
        n_served += fleet.send(f"e{i % 3}", (f"frequent{i % 3}",))
    assert n_served == 30


def test_other_new_parts_of_a_crashing_request_are_freed_by_the_next_crash():
    """Guards against a rare part that stays blocked beside the crashing one.

    After the first crash nothing distinguishes two new parts of the same request.
    """
    fleet = Fleet()
    fleet.send("e0", ("rare", CRASHING))
    assert not fleet.send("e1", ("rare",))
    fleet.now_ms += TRIAL_AFTER_MS
    fleet.send("e1", ("another", CRASHING))
    assert fleet.n_crashes == 2
    assert fleet.send("e2", ("rare",))
    assert fleet.send("e2", ("another",))


@pytest.mark.parametrize("n_warm_up", [0, 24])
def test_engines_that_crash_together_block_no_frequent_part(n_warm_up):
    """Guards against the loss of a whole route after a failure domain was lost.

    Each engine was running requests with frequent parts that had no output yet. An
    entry that has just started does not know which parts are frequent.
    """
    fleet = Fleet(n_warm_up=n_warm_up)
    for _ in range(2):
        for i in range(18):
            fleet.dispatch(f"e{i % 3}", (f"frequent{i % 3}",))
        fleet.crash("x0", "x1", "x2")
    assert all(fleet.send(f"e{i % 3}", (f"frequent{i % 3}",)) for i in range(9))


def test_engines_that_crash_in_turn_block_no_part_that_gets_output_in_between():
    """Guards against engines that crash for another reason and block frequent parts."""
    fleet = Fleet()
    for i in range(12):
        for k in range(12):
            fleet.dispatch(f"e{k % 3}", (f"frequent{k % 3}",))
        fleet.crash(f"x{i % N_ENDPOINTS}")
        assert all(fleet.send(f"e{k}", (f"frequent{k}",)) for k in range(3))


def test_part_with_output_on_another_entry_is_not_blocked():
    """Guards against an entry that takes a part for new that its peers know."""
    fleet = Fleet()
    assert fleet.send("e0", ("known",))
    dispatch = fleet.dispatch("e1", ("known",))
    fleet.crash(dispatch.endpoint_id)
    assert fleet.send("e2", ("known",))
    assert fleet.send("e1", ("known",))


def test_harmless_new_part_is_freed_by_a_single_trial_run():
    """Guards against a new customer who stays blocked after a crash by chance."""
    fleet = Fleet()
    dispatch = fleet.dispatch("e0", ("new",))
    fleet.crash(dispatch.endpoint_id)
    assert not fleet.send("e1", ("new",))
    fleet.now_ms += TRIAL_AFTER_MS
    trial = fleet.dispatch("e1", ("new",))
    assert trial is not None
    # No other entry starts a second trial before the first has ended.
    assert fleet.dispatch("e2", ("new",)) is None
    fleet.answer("e1", trial)
    assert fleet.send("e2", ("new",))


def test_trial_run_that_was_refused_does_not_block_the_part_for_good():
    """Guards against a trial whose missing end counts as a crash."""
    fleet = Fleet()
    fleet.crash(fleet.dispatch("e0", ("new",)).endpoint_id)
    fleet.now_ms += TRIAL_AFTER_MS
    trial = fleet.dispatch("e1", ("new",))
    refused = AttemptRefused(
        trial.attempt_id, Reason.ENDPOINT_FULL, 0, trial.endpoint_id, has_arrived=True
    )
    fleet.handle(fleet.entries["e1"], refused)
    fleet.now_ms += TRIAL_AFTER_MS
    assert fleet.send("e2", ("new",))


def test_trials_of_a_crashing_part_become_rare():
    """Guards against a part that crashes an engine every few seconds for long."""
    fleet = Fleet()
    for i in range(600):
        fleet.now_ms += 1_000
        fleet.send(f"e{i % 3}", (f"first{i}", CRASHING))
    assert fleet.n_crashes <= 5


def test_part_in_use_that_begins_to_crash_engines_is_blocked():
    """Guards against a part that is trusted for good because it once had output."""
    fleet = Fleet()
    for i in range(6):
        fleet.dispatch(f"e{i % 3}", (f"frequent{i % 3}",))
    fleet.send("e0", ("turned",))
    for i in range(12):
        dispatch = fleet.dispatch(f"e{i % 3}", ("turned",))
        if dispatch is not None:
            fleet.crash(dispatch.endpoint_id)
    assert fleet.n_crashes <= MAX_CRASHES


def test_requests_that_wait_with_a_crashing_part_are_rejected_at_once():
    """Guards against requests that wait for an endpoint although their part is blocked.

    They are sent to the engines together when the group opens again.
    """
    fleet = Fleet()
    state = fleet.entries["e0"]
    running = fleet.dispatch("e0", ("first", CRASHING))
    while fleet.dispatch("e0", ("frequent0",)) is not None:
        # All slots are taken in the end.
        continue
    assert fleet.dispatch("e0", ("second", CRASHING)) is None
    fleet.crash(running.endpoint_id)
    rejected = [
        effect.rejection.outcome
        for effect in fleet.rejections
        if effect.rejection.reason is Reason.CRASHES_ENDPOINTS
    ]
    assert rejected == [Outcome.NOT_RUN]
    waiting = [r for r in state.request_by_id.values() if not r.attempts]
    assert not any(CRASHING in r.spec.shared_part_ids for r in waiting)


ENTRY_ACTIONS = ("crashing", "sound", "new", "restart", "cut", "reconnect")


@given(
    st.lists(st.tuples(st.sampled_from(ENTRY_ACTIONS), st.integers(0, 2)), max_size=60)
)
def test_part_crashes_few_engines_in_any_history_of_the_entries(actions):
    """Guards against histories in which the crashes by a part are forgotten.

    An entry that is cut off, or starts while it is, can only learn from crashes of its
    own. Frequent parts are served again after a trial run, even if all entries had
    forgotten that they are in use when they ran beside the crashing one.
    """
    fleet = Fleet()
    n_isolations = 0
    for number, (action, index) in enumerate(actions):
        entry_id = f"e{index}"
        match action:
            case "crashing":
                fleet.send(entry_id, (f"frequent{number % 3}", CRASHING))
            case "sound":
                fleet.send(entry_id, (f"frequent{number % 3}",))
            case "new":
                fleet.send(entry_id, (f"new{number}",))
            case "restart":
                n_isolations += entry_id in fleet.cut_off
                fleet.start_entry(entry_id)
            case "cut":
                n_isolations += entry_id not in fleet.cut_off
                fleet.cut_off.add(entry_id)
            case "reconnect":
                fleet.reconnect(entry_id)
    # Trial runs are due 30, 120 and 390 s after the first crash.
    n_trials = sum(fleet.now_ms > TRIAL_AFTER_MS * factor for factor in (1, 4, 13))
    assert fleet.n_crashes <= MAX_CRASHES * (1 + n_isolations) + n_trials
    for entry_id in fleet.entries:
        fleet.reconnect(entry_id)
    fleet.now_ms += 9 * TRIAL_AFTER_MS
    for part in range(3):
        served = [fleet.send(f"e{i}", (f"frequent{part}",)) for i in range(3)]
        assert any(served)
        assert all(fleet.send(f"e{i}", (f"frequent{part}",)) for i in range(3))


def test_error_answers_do_not_clear_a_crashing_part():
    """Guards against a crashing part that an endpoint's error answer takes for sound.

    An endpoint that fails part of its requests answers instead of crashing.
    """
    fleet = Fleet()
    for i in range(30):
        entry_id = f"e{i % 3}"
        dispatch = fleet.dispatch(entry_id, (f"first{i}", CRASHING))
        if dispatch is None:
            continue
        if i % 2:
            fleet.crash(dispatch.endpoint_id)
        else:
            fleet.answer(entry_id, dispatch, status=500)
    assert fleet.n_crashes <= MAX_CRASHES
