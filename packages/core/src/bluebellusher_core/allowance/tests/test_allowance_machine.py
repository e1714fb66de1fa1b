"""Guards against spending above a budget under any order of faults."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellusher_core.allowance import AllowanceHolder

# Small enough for short schedules of actions to use up the budget.
LIMIT = 100
N_ENTRIES = 2
PERIOD_END_MS = 1_000_000
entry_indexes = st.integers(0, N_ENTRIES - 1)
version_lags = st.sampled_from([0, 0, 0, 1])
deliveries = st.sampled_from(["answered", "lost", "delayed"])
amounts = st.sampled_from([40, 60])


class AllowanceMachine(RuleBasedStateMachine):
    """Entries that restart, lose answers, delay writes and read stale rows."""

    def __init__(self):
        super().__init__()
        self.history = [(0, None)]
        self.n_spent_by_killed = 0
        self.n_requests = 0
        self.holders = [self._new_holder(i) for i in range(N_ENTRIES)]
        self.reserved_by_entry = {i: {} for i in range(N_ENTRIES)}
        self.delayed_writes = []

    def _new_holder(self, index):
        holder_id = f"entry-{index}/{len(self.history)}-{self.n_requests}"
        return AllowanceHolder(holder_id, LIMIT, 1, PERIOD_END_MS, N_ENTRIES)

    def _apply(self, write):
        version, _ = self.history[-1]
        if write.row_version != version:
            return False
        self.history.append((version + 1, write.row))
        return True

    def _send(self, holder, write, delivery):
        if write is None:
            return
        if delivery == "delayed":
            self.delayed_writes.append(write)
            return
        is_applied = self._apply(write)
        if delivery == "lost":
            return
        if is_applied:
            holder.write_succeeded(self.history[-1][0])
        else:
            holder.write_conflicted(*self.history[-1])

    def _read(self, holder, n_versions_behind):
        holder.observe(*self.history[max(0, len(self.history) - 1 - n_versions_behind)])

    @rule(
        index=entry_indexes,
        n_versions_behind=version_lags,
        delivery=deliveries,
        amount=amounts,
    )
    def admit(self, index, n_versions_behind, delivery, amount):
        """Enlarge the grant for one request, then reserve its units if possible."""
        holder = self.holders[index]
        self._read(holder, n_versions_behind)
        self._send(holder, holder.plan_grant(amount), delivery)
        self.n_requests += 1
        request_id = f"r{self.n_requests}"
        if holder.reserve(request_id, amount, wall_ms=0):
            self.reserved_by_entry[index][request_id] = amount

    @rule(index=entry_indexes, n_versions_behind=version_lags, delivery=deliveries)
    def return_units(self, index, n_versions_behind, delivery):
        holder = self.holders[index]
        self._read(holder, n_versions_behind)
        self._send(holder, holder.plan_return(), delivery)

    @precondition(lambda self: self.delayed_writes)
    @rule()
    def apply_delayed_write(self):
        self._apply(self.delayed_writes.pop(0))

    @rule(index=entry_indexes, n_used_units=st.sampled_from([0, 100]))
    def settle(self, index, n_used_units):
        for request_id in list(self.reserved_by_entry[index])[:1]:
            del self.reserved_by_entry[index][request_id]
            self.holders[index].settle(request_id, n_used_units)
            assert self.holders[index].settle(request_id, n_used_units) == 0

    @rule(index=entry_indexes)
    def restart(self, index):
        """Restart an entry.

        Its reservations count as spent, because it may have used them when killed.
        """
        self.n_spent_by_killed += self.holders[index].n_spent_units
        self.n_spent_by_killed += sum(self.reserved_by_entry[index].values())
        self.reserved_by_entry[index] = {}
        self.holders[index] = self._new_holder(index)

    @rule(index=entry_indexes)
    def close_grants(self, index):
        """Close the grants of an entry, whether or not its process has ended."""
        version, row = self.history[-1]
        if row is not None:
            holder_ids = [h for h in row.grant_by_holder if h[:7] == f"entry-{index}"]
            row = row.with_holders_closed(holder_ids)
            self.history.append((version + 1, row))

    @invariant()
    def spending_within_limit(self):
        """Guards against spending and reservations that together exceed the budget."""
        total = self.n_spent_by_killed
        for index, holder in enumerate(self.holders):
            total += holder.n_spent_units + sum(self.reserved_by_entry[index].values())
            assert holder.n_free_units >= 0
        assert total <= LIMIT

    @invariant()
    def grants_within_limit(self):
        """Guards against grants that exceed the limit in the table."""
        row = self.history[-1][1]
        assert row is None or row.n_granted_units <= LIMIT


AllowanceMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestAllowanceMachine = AllowanceMachine.TestCase


@given(
    st.integers(1, 8),
    st.lists(st.tuples(st.integers(0, 7), st.integers(1, 40)), min_size=1),
)
def test_property_at_most_five_percent_of_a_budget_stays_unspent(n_entries, spending):
    """Guards against a used-up budget of which much is still unspent in grants."""
    limit = 100_000
    holders = [
        AllowanceHolder(f"e{i}/1", limit, 1, PERIOD_END_MS, n_entries)
        for i in range(n_entries)
    ]
    version, row = 0, None
    for step in range(100_000):
        index, amount = spending[step % len(spending)]
        holder = holders[index % n_entries]
        if not holder.reserve(f"r{step}", amount, wall_ms=0):
            holder.observe(version, row)
            write = holder.plan_grant(amount)
            if write is None:
                break
            version, row = version + 1, write.row
            holder.write_succeeded(version)
            if not holder.reserve(f"r{step}", amount, wall_ms=0):
                break
        holder.settle(f"r{step}", amount)
    n_spent = sum(holder.n_spent_units for holder in holders)
    assert n_spent >= 0.95 * limit


def test_grant_ends_with_its_period():
    """Guards against spending from last month's budget after a suspension."""
    holder = AllowanceHolder("e/1", LIMIT, 1, period_end_ms=50, n_entries=1)
    holder.observe(0, None)
    holder.plan_grant(demand=10)
    holder.write_succeeded(1)
    assert holder.reserve("r1", 1, wall_ms=49)
    assert not holder.reserve("r2", 1, wall_ms=50)


def test_older_rules_do_not_restore_a_higher_limit():
    """Guards against an entry with older rules that exceeds a lowered limit."""
    newer = AllowanceHolder("new/1", 100, 2, PERIOD_END_MS, 2)
    newer.observe(0, None)
    row = newer.plan_grant(demand=90).row
    older = AllowanceHolder("old/1", 1_000, 1, PERIOD_END_MS, 2)
    older.observe(1, row)
    assert older.plan_grant(demand=500).row.n_granted_units == 100
