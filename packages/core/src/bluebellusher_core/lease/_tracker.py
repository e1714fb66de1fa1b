"""State of one lease at one entry, and the writes that are due."""

from dataclasses import dataclass

TERM_MS = 10_000
RENEW_AFTER_MS = 3_000
# Margin for clocks that run at different rates: 1 s in a term of 10 s allows for a
# difference of 10%.
GUARD_MS = 1_000
# Tokens of each store epoch, and number of epochs with different tokens. Together they
# have 43 bits, because a map version of 63 bits contains a token and 20 other bits.
TOKENS_PER_STORE_EPOCH = 2**16
N_TOKEN_EPOCHS = 2**27


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Content of the table row of a lease.

    Parameters
    ----------
    holder : str
        Instance id and incarnation of the holder, separated by a slash; empty after
        the holder released the lease.
    fencing_token : int
        Number that increases with each acquisition of the lease, and that is higher
        in a later store epoch.
    renewal : int
        Number that increases with each write under the same fencing token, and that
        distinguishes the acquisitions which one holder plans.
    """

    holder: str
    fencing_token: int
    renewal: int


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """Conditional write of the row of a lease.

    The table applies the write only if the version of the row is still
    ``row_version``.
    """

    name: str
    row_version: int
    row: LeaseRow


class LeaseTracker:
    """State machine that acquires, renews and releases one lease for one entry.

    The caller reads the row and passes it to `observe`, executes the write that
    `plan_write` returns, and passes the result to `write_succeeded` or
    `write_conflicted`. The entry may act as the holder only while `held_token` returns
    a token, and must call `held_token` again before each action. All entries must use
    the same ``term_ms``, ``renew_after_ms`` and ``guard_ms``.

    A table that is restored from an earlier copy of its rows starts a new store epoch.
    It may have lost the row of the holder, or contain that of an earlier one. The
    holder therefore acquires the lease again at once, with a token of the new epoch,
    and other entries wait until the lease of an unknown holder would have expired.
    Versions of rows are compared only within an epoch.

    Parameters
    ----------
    name : str
        Name of the lease, such as ``"balance/group-1"``.
    holder_id : str
        Instance id and incarnation of this entry, separated by a slash. A restarted
        instance is a different holder, because it has lost the state of its previous
        start. It need not wait until the lease of that previous start expires.
    takeover_delay_ms : int
        Additional wait in milliseconds before this entry acquires a free or expired
        lease. Entries that rank lower in the rendezvous order of ``name`` wait longer,
        which distributes the leases over the entries.
    term_ms : int
        Duration of a lease in milliseconds.
    renew_after_ms : int
        Time in milliseconds after which the holder renews the lease, counted from the
        time at which it sent its last successful write.
    guard_ms : int
        Time in milliseconds that other entries wait after the end of the term.

    Examples
    --------
    >>> tracker = LeaseTracker("balance/g1", "entry-1/7")
    >>> tracker.observe(0, None, now_ms=0)
    >>> write = tracker.plan_write(now_ms=0)
    >>> write.row
    LeaseRow(holder='entry-1/7', fencing_token=1, renewal=1)
    >>> tracker.write_succeeded(write, row_version=5, now_ms=20)
    >>> tracker.held_token(now_ms=30)
    1
    """

    def __init__(
        self,
        name: str,
        holder_id: str,
        takeover_delay_ms: int = 0,
        term_ms: int = TERM_MS,
        renew_after_ms: int = RENEW_AFTER_MS,
        guard_ms: int = GUARD_MS,
    ) -> None:
        self._name = name
        self._holder_id = holder_id
        self._takeover_delay_ms = takeover_delay_ms
        self._term_ms = term_ms
        self._renew_after_ms = renew_after_ms
        self._guard_ms = guard_ms
        self._row_version: int | None = None
        self._row: LeaseRow | None = None
        self._store_epoch = 0
        self._unchanged_since_ms = 0
        self._pending: LeaseWrite | None = None
        self._pending_sent_ms = 0
        self._held_until_ms: int | None = None
        self._held_token = 0
        self._must_reacquire = False
        self._renewed_at_ms = 0
        self._highest_recorded_token = 0
        self._n_acquisitions_planned = 0

    def record_seen_token(self, token: int) -> None:
        """Record a fencing token that a receiver of orders has seen.

        Receivers refuse orders whose token is lower than the highest one they have
        seen, and a table row that was lost no longer contains that token. The next
        write therefore uses a token higher than every recorded one.
        """
        self._highest_recorded_token = max(self._highest_recorded_token, token)

    def observe(
        self,
        row_version: int,
        row: LeaseRow | None,
        now_ms: int,
        store_epoch: int = 0,
    ) -> None:
        """Update the state from a row that was read from the table.

        A row of an earlier store epoch, or whose version is lower than the last
        observed one of the epoch, comes from a stale read and is ignored.
        """
        if store_epoch < self._store_epoch:
            return
        if row is not None:
            self.record_seen_token(row.fencing_token)
        if store_epoch > self._store_epoch:
            self._enter_store_epoch(row_version, row, now_ms, store_epoch)
            return
        if self._row_version is not None and row_version < self._row_version:
            return
        if row_version != self._row_version:
            self._row_version = row_version
            self._row = row
            self._unchanged_since_ms = now_ms
            self._must_reacquire = False
        self._confirm_pending(row)
        is_held_by_other = row is None or row.holder != self._holder_id
        if is_held_by_other and not self._must_reacquire:
            self._held_until_ms = None

    def _enter_store_epoch(
        self, row_version: int, row: LeaseRow | None, now_ms: int, store_epoch: int
    ) -> None:
        """Record the first row that was read in a later store epoch.

        A write that is pending belongs to the earlier epoch. The term of this entry
        continues, because no other entry acquires the lease before it ends.
        """
        self._store_epoch = store_epoch
        self._row_version = row_version
        self._row = row
        self._unchanged_since_ms = now_ms
        self._pending = None
        self._must_reacquire = True

    def _confirm_pending(self, row: LeaseRow | None) -> None:
        """Confirm the pending write if the row has its content.

        This resolves a write of this entry whose answer was lost.
        """
        if self._pending is None or row != self._pending.row:
            return
        self._hold(self._pending.row)

    def _hold(self, row: LeaseRow) -> None:
        """Record that the table has applied the pending write of ``row``."""
        self._held_until_ms = self._pending_sent_ms + self._term_ms
        self._held_token = row.fencing_token
        self._renewed_at_ms = self._pending_sent_ms
        self._pending = None
        self._must_reacquire = False

    def plan_write(self, now_ms: int) -> LeaseWrite | None:
        """Return the write to send now, or ``None`` when no write is due.

        A write without an answer stays pending and is returned again unchanged. Its
        condition on the row version prevents it from taking effect twice.
        """
        if self._row_version is None:
            return None
        if self._pending is not None:
            return self._pending
        row = self._next_row(now_ms)
        if row is None:
            return None
        self._pending = LeaseWrite(self._name, self._row_version, row)
        self._pending_sent_ms = now_ms
        return self._pending

    def _next_row(self, now_ms: int) -> LeaseRow | None:
        """Return the row to write now, or ``None`` when no write is due."""
        if self.held_token(now_ms) is not None:
            if self._must_reacquire or self._held_token < self._highest_recorded_token:
                return self._row_to_acquire()
            is_due = now_ms - self._renewed_at_ms >= self._renew_after_ms
            return self._row_to_renew() if is_due else None
        if now_ms < self._acquire_at_ms():
            return None
        return self._row_to_acquire()

    def _acquire_at_ms(self) -> int:
        """Return the time from which this entry may acquire the lease."""
        holder = self._row.holder if self._row is not None else ""
        if self._is_row_from_copy():
            wait_ms = self._takeover_delay_ms + self._term_ms + self._guard_ms
            return self._unchanged_since_ms + wait_ms
        if holder and not self._is_other_instance(holder):
            # Only this start competes for the lease of its previous start.
            return self._unchanged_since_ms
        wait_ms = self._takeover_delay_ms
        if holder:
            wait_ms += self._term_ms + self._guard_ms
        return self._unchanged_since_ms + wait_ms

    def _is_row_from_copy(self) -> bool:
        """Return whether no entry has acquired the lease in this store epoch.

        The holder may then be any entry, because the row was lost or is an earlier one.
        """
        token = self._row.fencing_token if self._row is not None else 0
        return token < self._first_token_of_epoch()

    def _first_token_of_epoch(self) -> int:
        """Return the number above which the tokens of the store epoch are."""
        return self._store_epoch % N_TOKEN_EPOCHS * TOKENS_PER_STORE_EPOCH

    def next_acquire_ms(self, now_ms: int) -> int | None:
        """Return the time until this entry may acquire the lease, in ms.

        The result is ``None`` when the row has not been read yet.
        """
        if self._row_version is None:
            return None
        return max(0, self._acquire_at_ms() - now_ms)

    def _row_to_acquire(self) -> LeaseRow:
        """Return a row that acquires the lease with a new, higher token."""
        last_token = self._row.fencing_token if self._row else 0
        first_token = self._first_token_of_epoch()
        token = max(last_token, self._highest_recorded_token, first_token) + 1
        self._n_acquisitions_planned += 1
        return LeaseRow(self._holder_id, token, self._n_acquisitions_planned)

    def _is_other_instance(self, holder: str) -> bool:
        """Return whether ``holder`` is another instance, which may still be running.

        The previous start of this instance is not running any more and does not count.
        """
        instance_id = self._holder_id.rpartition("/")[0]
        is_same_instance = (
            bool(instance_id) and holder.rpartition("/")[0] == instance_id
        )
        return bool(holder) and not is_same_instance

    def _row_to_renew(self) -> LeaseRow:
        """Return a row that renews the lease with the same token."""
        row = self._row
        assert row is not None
        return LeaseRow(self._holder_id, row.fencing_token, row.renewal + 1)

    def write_succeeded(
        self,
        write: LeaseWrite,
        row_version: int,
        now_ms: int,
        store_epoch: int = 0,
    ) -> None:
        """Update the state after the table applied ``write`` as ``row_version``.

        The term counts from the time at which the write was first sent. A late answer
        to an earlier write does not confirm the pending one and is ignored. A write
        that was applied in a later store epoch matched a version of another history,
        and does not acquire the lease.
        """
        if store_epoch != self._store_epoch:
            self.observe(row_version, write.row, now_ms, store_epoch)
            return
        if write != self._pending:
            return
        self._hold(write.row)
        self._row_version = row_version
        self._row = write.row
        self._unchanged_since_ms = now_ms

    def write_conflicted(
        self,
        write: LeaseWrite,
        row_version: int,
        row: LeaseRow | None,
        now_ms: int,
        store_epoch: int = 0,
    ) -> None:
        """Update the state from the row whose version made ``write`` fail."""
        self.observe(row_version, row, now_ms, store_epoch)
        if write == self._pending:
            self._pending = None

    def held_token(self, now_ms: int) -> int | None:
        """Return the fencing token while this entry holds the lease, else ``None``."""
        if self._held_until_ms is None or now_ms >= self._held_until_ms:
            return None
        return self._held_token

    def plan_release(self, now_ms: int) -> LeaseWrite | None:
        """Stop holding the lease and return the write that releases it.

        After that write, other entries can acquire the lease before its term ends.
        The result is ``None`` when this entry does not hold the lease.
        """
        token = self.held_token(now_ms)
        self._held_until_ms = None
        self._pending = None
        if self._must_reacquire:
            # The row may belong to another entry.
            return None
        if token is None or self._row_version is None or self._row is None:
            return None
        row = LeaseRow("", token, self._row.renewal + 1)
        return LeaseWrite(self._name, self._row_version, row)
