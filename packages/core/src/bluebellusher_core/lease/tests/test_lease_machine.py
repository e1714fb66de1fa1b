"""Guards against two simultaneous holders and against a token that is used twice."""

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellusher_core.lease import (
    GUARD_MS,
    TERM_MS,
    LeaseRow,
    LeaseTracker,
    LeaseWrite,
)

N_ENTRIES = 2
entry_indexes = st.integers(0, N_ENTRIES - 1)


@dataclass
class FakeRow:
    """Row of one lease that is written under a condition on its version."""

    version: int = 0
    row: LeaseRow | None = None

    def apply(self, write: LeaseWrite) -> bool:
        if write.row_version != self.version:
            return False
        self.version += 1
        self.row = write.row
        return True


class LeaseMachine(RuleBasedStateMachine):
    """Entries with separate clocks, lost answers, delayed writes and stale reads."""

    def __init__(self):
        super().__init__()
        self.table = FakeRow()
        self.history = [(0, None)]
        self.now_ms = 0
        self.clock_offsets_ms = [0, 1_000_000]
        self.trackers = [
            LeaseTracker("balance/g", f"entry-{i}/1") for i in range(N_ENTRIES)
        ]
        self.delayed_writes: list[LeaseWrite] = []
        self.slow_answers: list[tuple[int, LeaseWrite, int]] = []
        self.holder_by_token: dict[int, str] = {}

    def local_now_ms(self, index):
        return self.now_ms + self.clock_offsets_ms[index]

    def apply(self, write):
        is_applied = self.table.apply(write)
        if is_applied:
            self.history.append((self.table.version, self.table.row))
        return is_applied

    @rule(duration_ms=st.sampled_from([400, 1_500, 4_000, 7_000, 11_000]))
    def advance_clock(self, duration_ms):
        self.now_ms += duration_ms

    @rule(
        index=entry_indexes,
        n_versions_behind=st.sampled_from([0, 0, 0, 1, 2]),
        delivery=st.sampled_from(["answered", "slow answer", "lost answer", "delayed"]),
    )
    def poll(self, index, n_versions_behind, delivery):
        """Read the row in its current or an earlier version, then send a due write."""
        tracker = self.trackers[index]
        version, row = self.history[max(0, len(self.history) - 1 - n_versions_behind)]
        tracker.observe(version, row, self.local_now_ms(index))
        write = tracker.plan_write(self.local_now_ms(index))
        if write is None:
            return
        if delivery == "delayed":
            self.delayed_writes.append(write)
            return
        is_applied = self.apply(write)
        if delivery == "lost answer":
            return
        if delivery == "slow answer" and is_applied:
            self.slow_answers.append((index, write, self.table.version))
        elif is_applied:
            tracker.write_succeeded(write, self.table.version, self.local_now_ms(index))
        else:
            now_ms = self.local_now_ms(index)
            version, row = self.table.version, self.table.row
            tracker.write_conflicted(write, version, row, now_ms)

    @precondition(lambda self: self.delayed_writes)
    @rule()
    def apply_delayed_write(self):
        self.apply(self.delayed_writes.pop(0))

    @precondition(lambda self: self.slow_answers)
    @rule()
    def deliver_slow_answer(self):
        index, write, version = self.slow_answers.pop(0)
        self.trackers[index].write_succeeded(write, version, self.local_now_ms(index))

    @precondition(lambda self: self.now_ms > 20_000)
    @rule(index=entry_indexes)
    def release(self, index):
        write = self.trackers[index].plan_release(self.local_now_ms(index))
        if write is not None:
            self.apply(write)

    @precondition(lambda self: self.now_ms > 20_000)
    @rule(index=entry_indexes)
    def restart(self, index):
        self.slow_answers = [
            answer for answer in self.slow_answers if answer[0] != index
        ]
        holder = f"entry-{index}/{self.now_ms}-{len(self.history)}"
        self.trackers[index] = LeaseTracker("balance/g", holder)

    @invariant()
    def at_most_one_holder(self):
        """Guards against two entries that act as the holder at the same time."""
        holders = [
            (i, token)
            for i, tracker in enumerate(self.trackers)
            if (token := tracker.held_token(self.local_now_ms(i))) is not None
        ]
        assert len(holders) <= 1, holders

    @invariant()
    def token_belongs_to_one_holder(self):
        """Guards against a fencing token that two holders share."""
        row = self.table.row
        if row is not None and row.holder:
            first_holder = self.holder_by_token.setdefault(
                row.fencing_token, row.holder
            )
            assert first_holder == row.holder


LeaseMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestLeaseMachine = LeaseMachine.TestCase


def test_expired_lease_is_acquired_with_a_higher_token():
    """Guards against a lease that is never acquired after its holder has stopped."""
    table = FakeRow()
    first = LeaseTracker("x", "a/1")
    first.observe(0, None, 0)
    assert table.apply(first.plan_write(0))
    second = LeaseTracker("x", "b/1")
    second.observe(table.version, table.row, 100)
    assert second.plan_write(100 + TERM_MS) is None
    write = second.plan_write(100 + TERM_MS + 1_000)
    assert write.row.fencing_token == 2
    assert first.held_token(TERM_MS) is None


@given(
    answer_ms=st.integers(0, 2 * TERM_MS),
    resend_ms=st.none() | st.integers(0, 2 * TERM_MS),
    observed_at_ms=st.integers(0, TERM_MS),
)
def test_property_slow_or_lost_answer_does_not_extend_the_term(
    answer_ms, resend_ms, observed_at_ms
):
    """Guards against a term that counts from the answer or from a repeated send."""
    table = FakeRow()
    first = LeaseTracker("x", "a/1")
    second = LeaseTracker("x", "b/1")
    first.observe(0, None, 0)
    write = first.plan_write(0)
    assert table.apply(write)
    second.observe(table.version, table.row, observed_at_ms)
    if resend_ms is None:
        first.write_succeeded(write, table.version, answer_ms)
    else:
        assert not table.apply(first.plan_write(resend_ms))
        first.write_conflicted(write, table.version, table.row, resend_ms)
    takeover_ms = observed_at_ms + TERM_MS + GUARD_MS
    assert second.plan_write(takeover_ms) is not None
    assert first.held_token(takeover_ms) is None


def test_late_answer_to_an_earlier_write_does_not_confirm_the_pending_one():
    """Guards against a lease held because of a late answer to an earlier write."""
    tracker = LeaseTracker("x", "a/1")
    tracker.observe(0, None, 0)
    first = tracker.plan_write(0)
    # A read shows that the write took effect before the answer to it arrives.
    tracker.observe(1, first.row, 10)
    expired_ms = TERM_MS + GUARD_MS + 10
    assert tracker.plan_write(expired_ms) != first
    tracker.write_succeeded(first, 1, expired_ms + 5)
    assert tracker.held_token(expired_ms + 5) is None


def test_row_of_an_earlier_write_does_not_confirm_a_later_one():
    """Guards against a lease that a holder takes from a row that it wrote long ago.

    After a release and a stale read, a new write had the same content as an earlier one
    whose answer was lost.
    """
    tracker = LeaseTracker("x", "a/1")
    tracker.observe(0, None, 0)
    first = tracker.plan_write(0)
    tracker.plan_release(30_000)
    tracker.observe(0, None, 30_000)
    second = tracker.plan_write(30_000)
    tracker.write_conflicted(second, 1, first.row, 30_000)
    assert tracker.held_token(30_000) is None
