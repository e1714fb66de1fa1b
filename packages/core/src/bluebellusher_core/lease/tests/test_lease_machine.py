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
    store_epoch: int = 0

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
        self.history = [(0, 0, None)]
        self.now_ms = 0
        self.clock_offsets_ms = [0, 1_000_000]
        self.trackers = [
            LeaseTracker("balance/g", f"entry-{i}/1") for i in range(N_ENTRIES)
        ]
        self.delayed_writes: list[LeaseWrite] = []
        self.slow_answers: list[tuple[int, LeaseWrite, int, int]] = []
        self.holder_by_token: dict[int, str] = {}
        self.holder_by_held_token: dict[int, str] = {}

    def local_now_ms(self, index):
        return self.now_ms + self.clock_offsets_ms[index]

    def apply(self, write):
        is_applied = self.table.apply(write)
        if is_applied:
            self.record_row()
        return is_applied

    def record_row(self):
        table = self.table
        self.history.append((table.store_epoch, table.version, table.row))

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
        index_read = max(0, len(self.history) - 1 - n_versions_behind)
        epoch, version, row = self.history[index_read]
        tracker.observe(version, row, self.local_now_ms(index), epoch)
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
            answer = (index, write, self.table.version, self.table.store_epoch)
            self.slow_answers.append(answer)
            return
        now_ms, table = self.local_now_ms(index), self.table
        if is_applied:
            tracker.write_succeeded(write, table.version, now_ms, table.store_epoch)
        else:
            tracker.write_conflicted(
                write, table.version, table.row, now_ms, table.store_epoch
            )

    @precondition(lambda self: self.delayed_writes)
    @rule()
    def apply_delayed_write(self):
        self.apply(self.delayed_writes.pop(0))

    @precondition(lambda self: self.slow_answers)
    @rule()
    def deliver_slow_answer(self):
        index, write, version, epoch = self.slow_answers.pop(0)
        now_ms = self.local_now_ms(index)
        self.trackers[index].write_succeeded(write, version, now_ms, epoch)

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

    @invariant()
    def held_tokens_increase(self):
        """Guards against a token that is held twice, or that is lower than before."""
        for index, tracker in enumerate(self.trackers):
            token = tracker.held_token(self.local_now_ms(index))
            if token is None or token in self.holder_by_held_token:
                continue
            assert token > max(self.holder_by_held_token, default=0)
            self.holder_by_held_token[token] = tracker._holder_id
        for index, tracker in enumerate(self.trackers):
            token = tracker.held_token(self.local_now_ms(index))
            if token is not None:
                assert self.holder_by_held_token[token] == tracker._holder_id


class RestoredLeaseMachine(LeaseMachine):
    """The same with a table that is restored from earlier copies of its row.

    Writes that were delayed may be applied in a later store epoch.
    """

    @rule(n_versions_back=st.integers(0, 4))
    def restore(self, n_versions_back):
        index = max(0, len(self.history) - 1 - n_versions_back)
        _, self.table.version, self.table.row = self.history[index]
        self.table.store_epoch += 1
        self.record_row()

    @invariant()
    def token_belongs_to_one_holder(self):
        """Guards against a fencing token that two holders share.

        A write of an earlier store epoch, carried out late, may leave a token in the
        row that another entry has had, but its writer does not hold the lease.
        ``held_tokens_increase`` checks the tokens that are held.
        """


LeaseMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestLeaseMachine = LeaseMachine.TestCase
RestoredLeaseMachine.TestCase.settings = settings(
    max_examples=500, stateful_step_count=50
)
TestRestoredLeaseMachine = RestoredLeaseMachine.TestCase


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
