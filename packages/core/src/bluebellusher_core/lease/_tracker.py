"""One entry's view of one lease."""

from dataclasses import dataclass

TERM_MS = 10_000
RENEW_AFTER_MS = 3_000
# Covers clocks that run at different rates: 1 s in a term of 10 s is 10%.
GUARD_MS = 1_000


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Content of the table row of a lease.

    Parameters
    ----------
    holder : str
        Instance id and incarnation of the holder; empty when it was released.
    fencing_token : int
        Grows with each acquisition.
    renewal : int
        Grows with each write of the same holder.
    """

    holder: str
    fencing_token: int
    renewal: int


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """A conditional write: put ``row`` if the row still has ``row_version``."""

    name: str
    row_version: int
    row: LeaseRow


class LeaseTracker:
    """Decide when to acquire, renew and give up one lease.

    The caller reads the row, passes it to `observe`, executes the write that
    `plan_write` returns and reports its result. A holder may act on the lease only
    while `held_token` returns a token, and must ask again before each action.

    Parameters
    ----------
    name : str
        Name of the lease, such as ``"balance/group-1"``.
    holder_id : str
        Instance id and incarnation of this entry, separated by a slash. A restarted
        instance is another holder, because it no longer knows what it did; it need not
        wait for the end of its own earlier lease.
    takeover_delay_ms : int
        Additional wait before a free or lapsed lease is acquired. Entries that are
        lower in the rendezvous order of ``name`` wait longer, which spreads leases.
    term_ms, renew_after_ms, guard_ms : int
        Duration of a lease, time after which it is renewed, and what others wait
        beyond its end. All entries use the same values.

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
        self._unchanged_since_ms = 0
        self._pending: LeaseWrite | None = None
        self._pending_sent_ms = 0
        self._held_until_ms: int | None = None
        self._renewed_at_ms = 0
        self._highest_token = 0

    def note_token_seen(self, token: int) -> None:
        """Take in a token that those who take orders have seen.

        A row that was lost says nothing about earlier tokens, and orders with a lower
        one are refused; the next write therefore uses a higher token.
        """
        self._highest_token = max(self._highest_token, token)

    def observe(self, row_version: int, row: LeaseRow | None, now_ms: int) -> None:
        """Take in a row that was read from the table.

        A read that shows an older version than one already seen comes from an old
        copy and is ignored.
        """
        if self._row_version is not None and row_version < self._row_version:
            return
        if row_version != self._row_version:
            self._row_version = row_version
            self._row = row
            self._unchanged_since_ms = now_ms
        self._resolve_pending(row)
        if row is None or row.holder != self._holder_id:
            self._held_until_ms = None

    def _resolve_pending(self, row: LeaseRow | None) -> None:
        """Recognise an own write whose answer was lost, by its content."""
        if self._pending is None or row != self._pending.row:
            return
        self._held_until_ms = self._pending_sent_ms + self._term_ms
        self._renewed_at_ms = self._pending_sent_ms
        self._pending = None

    def plan_write(self, now_ms: int) -> LeaseWrite | None:
        """Return the write to send now, or ``None`` when there is nothing to do.

        A write whose answer was lost is sent again unchanged; its condition on the
        row version makes the repetition harmless.
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
        if self.held_token(now_ms) is not None:
            if self._row is not None and self._row.fencing_token < self._highest_token:
                return self._acquired_row()
            is_due = now_ms - self._renewed_at_ms >= self._renew_after_ms
            return self._renewed_row() if is_due else None
        wait_ms = self._takeover_delay_ms
        if self._row is not None and self._is_held_by_another(self._row.holder):
            wait_ms += self._term_ms + self._guard_ms
        if now_ms - self._unchanged_since_ms < wait_ms:
            return None
        return self._acquired_row()

    def _acquired_row(self) -> LeaseRow:
        last_token = self._row.fencing_token if self._row else 0
        token = max(last_token, self._highest_token) + 1
        return LeaseRow(self._holder_id, token, 1)

    def _is_held_by_another(self, holder: str) -> bool:
        """Return whether a process that may still run holds the lease.

        An earlier incarnation of the own instance does not run any more.
        """
        instance_id = self._holder_id.rpartition("/")[0]
        is_own = bool(instance_id) and holder.rpartition("/")[0] == instance_id
        return bool(holder) and not is_own

    def _renewed_row(self) -> LeaseRow:
        row = self._row
        assert row is not None
        return LeaseRow(self._holder_id, row.fencing_token, row.renewal + 1)

    def write_succeeded(self, write: LeaseWrite, row_version: int, now_ms: int) -> None:
        """Take in that ``write`` was applied as ``row_version``.

        The answer to an earlier write, which may come late, says nothing about the
        pending one and is ignored.
        """
        if write != self._pending:
            return
        pending = write
        self._held_until_ms = self._pending_sent_ms + self._term_ms
        self._renewed_at_ms = self._pending_sent_ms
        self._pending = None
        self._row_version = row_version
        self._row = pending.row
        self._unchanged_since_ms = now_ms

    def write_conflicted(
        self, write: LeaseWrite, row_version: int, row: LeaseRow | None, now_ms: int
    ) -> None:
        """Take in the row that made ``write`` fail."""
        self.observe(row_version, row, now_ms)
        if write == self._pending:
            self._pending = None

    def held_token(self, now_ms: int) -> int | None:
        """Return the fencing token while the lease is held, else ``None``."""
        if self._held_until_ms is None or now_ms >= self._held_until_ms:
            return None
        assert self._row is not None
        return self._row.fencing_token

    def plan_release(self, now_ms: int) -> LeaseWrite | None:
        """Stop holding at once; return the write that lets others acquire early."""
        token = self.held_token(now_ms)
        self._held_until_ms = None
        self._pending = None
        if token is None or self._row_version is None or self._row is None:
            return None
        row = LeaseRow("", token, self._row.renewal + 1)
        return LeaseWrite(self._name, self._row_version, row)
