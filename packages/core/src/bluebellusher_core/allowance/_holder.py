"""One entry's share of one budget."""

from dataclasses import dataclass

from bluebellusher_core.allowance._row import AllowanceRow, Grant

IDLE_RETURN_MS = 30_000
# All holders together keep at most 1/20 of a budget unspent, so that no more than 5%
# is stranded in grants when the budget ends.
_STRANDED_DIVISOR = 20


@dataclass(frozen=True, slots=True)
class AllowanceWrite:
    """A conditional write: put ``row`` if the row still has ``row_version``."""

    row_version: int
    row: AllowanceRow


class AllowanceHolder:
    """Spend from grants and decide when to take or return one.

    Amounts are whole smallest units: millionths of the currency, or tokens.

    Parameters
    ----------
    holder_id : str
        Instance id and incarnation.
    limit : int
        Budget of the period according to the rules of this entry.
    config_version : int
        Version of those rules.
    period_end_ms : int
        Wall time at which the period ends; nothing is reserved afterwards.
    n_entries : int
        Entries that share the budget.

    Examples
    --------
    >>> holder = AllowanceHolder("entry-1/1", 1000, 1, period_end_ms=10, n_entries=1)
    >>> holder.observe(0, None)
    >>> write = holder.plan_grant(demand=30)
    >>> holder.write_succeeded(row_version=1)
    >>> holder.reserve("r1", 30, wall_ms=5)
    True
    >>> holder.settle("r1", 12)
    12
    """

    def __init__(
        self,
        holder_id: str,
        limit: int,
        config_version: int,
        period_end_ms: int,
        n_entries: int,
    ) -> None:
        self._holder_id = holder_id
        self._limit = limit
        self._config_version = config_version
        self._period_end_ms = period_end_ms
        self._n_entries = n_entries
        self._row_version: int | None = None
        self._row = AllowanceRow(limit, config_version)
        self._pending: AllowanceWrite | None = None
        # What may be spent in total; lowered before a return is sent.
        self._n_granted_units = 0
        self._n_spent_units = 0
        self._reserved_by_request: dict[str, int] = {}
        self._n_reserved_units = 0
        self._sequence = 0
        self._is_closed = False

    @property
    def n_spent_units(self) -> int:
        """Return what was settled."""
        return self._n_spent_units

    @property
    def n_free_units(self) -> int:
        """Return what can be reserved now."""
        return self._n_granted_units - self._n_spent_units - self._n_reserved_units

    @property
    def is_closed(self) -> bool:
        """Return whether the grant was closed by another entry.

        What is in hand may still be spent. A closed holder takes no further grant;
        the entry continues with a new holder id.
        """
        return self._is_closed

    def update_limit(self, limit: int, config_version: int) -> None:
        """Take in a newer configuration; an older one is ignored."""
        if config_version > self._config_version:
            self._limit = limit
            self._config_version = config_version

    def reserve(self, request_id: str, amount: int, wall_ms: int) -> bool:
        """Set aside the worst cost of a request; return whether that was possible."""
        if amount < 0:
            raise ValueError(f"amount={amount}: expected 0 or more")
        if wall_ms >= self._period_end_ms or amount > self.n_free_units:
            return False
        self._reserved_by_request[request_id] = amount
        self._n_reserved_units += amount
        return True

    def settle(self, request_id: str, amount: int) -> int:
        """Replace a reservation by what was used; return what is charged.

        No more than the reservation is charged. An unknown request charges nothing,
        so that a repeated settlement does not count twice.
        """
        reserved = self._reserved_by_request.pop(request_id, 0)
        self._n_reserved_units -= reserved
        charged = min(max(amount, 0), reserved)
        self._n_spent_units += charged
        return charged

    def observe(self, row_version: int, row: AllowanceRow | None) -> None:
        """Take in a row that was read; one older than a row seen is ignored."""
        if self._row_version is not None and row_version < self._row_version:
            return
        self._row_version = row_version
        self._row = row or AllowanceRow(self._limit, self._config_version)
        if self._pending is not None and self._is_own(self._pending):
            self._confirm(self._pending)
        is_absent = self._holder_id not in self._row.grant_by_holder
        if self._sequence > 0 and self._pending is None and is_absent:
            self._is_closed = True

    def _is_own(self, write: AllowanceWrite) -> bool:
        own = write.row.grant_by_holder[self._holder_id]
        return self._row.grant_by_holder.get(self._holder_id) == own

    def _confirm(self, write: AllowanceWrite) -> None:
        grant = write.row.grant_by_holder[self._holder_id]
        self._n_granted_units = grant.amount
        self._sequence = grant.sequence
        self._pending = None

    def plan_grant(self, demand: int) -> AllowanceWrite | None:
        """Return the write that enlarges the grant, or ``None`` when none is due.

        Parameters
        ----------
        demand : int
            Units that waiting requests need.
        """
        if self._row_version is None or self._is_closed:
            return None
        if self._pending is not None:
            return self._pending
        row = self._row.with_limit(self._limit, self._config_version)
        cap = max(1, row.limit // (_STRANDED_DIVISOR * max(1, self._n_entries)))
        if self.n_free_units >= max(demand, cap // 2):
            return None
        target = max(demand, cap)
        amount = min(target - self.n_free_units, row.n_free_units)
        if amount <= 0:
            return None
        return self._plan(row, self._n_granted_units + amount)

    def plan_return(self) -> AllowanceWrite | None:
        """Return the write that gives back what is neither spent nor reserved.

        The units cannot be spent from this call on, whatever becomes of the write.
        """
        if self._row_version is None or self._is_closed:
            return None
        if self._pending is not None:
            return self._pending
        kept = self._n_spent_units + self._n_reserved_units
        if kept == self._n_granted_units:
            return None
        self._n_granted_units = kept
        row = self._row.with_limit(self._limit, self._config_version)
        return self._plan(row, kept)

    def _plan(self, row: AllowanceRow, amount: int) -> AllowanceWrite:
        assert self._row_version is not None
        grant = Grant(self._sequence + 1, amount)
        new_row = row.with_grant(self._holder_id, grant)
        self._pending = AllowanceWrite(self._row_version, new_row)
        return self._pending

    def write_succeeded(self, row_version: int) -> None:
        """Take in that the pending write was applied as ``row_version``."""
        if self._pending is None:
            return
        self.observe(row_version, self._pending.row)

    def write_conflicted(self, row_version: int, row: AllowanceRow | None) -> None:
        """Take in the row that made the pending write fail.

        A write that was sent before and took effect is recognised by its sequence;
        any other write is dropped and planned anew on this row.
        """
        self.observe(row_version, row)
        self._pending = None
