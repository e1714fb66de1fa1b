"""Share of one entry in one budget."""

from dataclasses import dataclass

from bluebellusher_core.allowance._row import AllowanceRow, Grant

# Time without use, in milliseconds, after which an entry returns its unspent grant.
IDLE_RETURN_MS = 30_000
# All holders together keep at most 1/20 of a budget in unspent grants. When the rest of
# the budget is used up, at most 5% of the budget is therefore unspent and out of reach
# of other entries.
_MAX_UNSPENT_DIVISOR = 20


@dataclass(frozen=True, slots=True)
class AllowanceWrite:
    """Conditional write of the row of an allowance.

    The table applies the write only if the version of the row is still
    ``row_version``.
    """

    row_version: int
    row: AllowanceRow


class AllowanceHolder:
    """Grant and spending of one entry in one budget.

    The holder reserves and settles the costs of requests, and plans the writes that
    enlarge or return its grant. Amounts are integers in the smallest unit of the
    budget: millionths of the currency, or tokens.

    Parameters
    ----------
    holder_id : str
        Instance id and incarnation of the entry, separated by a slash.
    limit : int
        Budget of the period according to the rules of this entry.
    config_version : int
        Configuration version of those rules.
    period_end_ms : int
        Wall time in milliseconds at which the period ends. No reservation succeeds
        afterwards.
    n_entries : int
        Number of entries that share the budget.

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
        # Total units that may be spent, including those already spent. The total is
        # lowered before the write that returns units is sent.
        self._n_granted_units = 0
        self._n_spent_units = 0
        self._reserved_by_request: dict[str, int] = {}
        self._n_reserved_units = 0
        self._sequence = 0
        self._is_closed = False

    @property
    def n_spent_units(self) -> int:
        """Return the units charged to settled requests."""
        return self._n_spent_units

    @property
    def n_free_units(self) -> int:
        """Return the units that can be reserved now."""
        return self._n_granted_units - self._n_spent_units - self._n_reserved_units

    @property
    def is_closed(self) -> bool:
        """Return whether another entry closed the grant of this holder.

        The units granted before may still be spent. A closed holder acquires no further
        grant; the entry continues with a new holder id.
        """
        return self._is_closed

    def update_limit(self, limit: int, config_version: int) -> None:
        """Apply the limit of a newer configuration; ignore an older one."""
        if config_version > self._config_version:
            self._limit = limit
            self._config_version = config_version

    def reserve(self, request_id: str, amount: int, wall_ms: int) -> bool:
        """Reserve the maximum cost of a request, in units.

        Returns
        -------
        bool
            False when fewer units are free or the period has ended.

        Raises
        ------
        ValueError
            When ``amount`` is negative.
        """
        if amount < 0:
            raise ValueError(f"amount={amount}: expected 0 or more")
        if wall_ms >= self._period_end_ms or amount > self.n_free_units:
            return False
        self._reserved_by_request[request_id] = amount
        self._n_reserved_units += amount
        return True

    def settle(self, request_id: str, amount: int) -> int:
        """Replace a reservation by the units used; return the units charged.

        The charge is at most the reservation. A request without a reservation is
        charged 0 units, so that a repeated settlement does not count twice.
        """
        n_reserved = self._reserved_by_request.pop(request_id, 0)
        self._n_reserved_units -= n_reserved
        n_charged = min(max(amount, 0), n_reserved)
        self._n_spent_units += n_charged
        return n_charged

    def observe(self, row_version: int, row: AllowanceRow | None) -> None:
        """Update the state from a row that was read from the table.

        A row whose version is lower than the last observed one comes from a stale read
        and is ignored.
        """
        if self._row_version is not None and row_version < self._row_version:
            return
        self._row_version = row_version
        self._row = row or AllowanceRow(self._limit, self._config_version)
        if self._pending is not None and self._is_applied(self._pending):
            self._adopt_grant(self._pending)
        is_grant_absent = self._holder_id not in self._row.grant_by_holder
        if self._sequence > 0 and self._pending is None and is_grant_absent:
            self._is_closed = True

    def _is_applied(self, write: AllowanceWrite) -> bool:
        """Return whether the observed row contains the grant of ``write``."""
        own_grant = write.row.grant_by_holder[self._holder_id]
        return self._row.grant_by_holder.get(self._holder_id) == own_grant

    def _adopt_grant(self, write: AllowanceWrite) -> None:
        """Adopt the grant of the pending write, which took effect."""
        grant = write.row.grant_by_holder[self._holder_id]
        self._n_granted_units = grant.amount
        self._sequence = grant.sequence
        self._pending = None

    def plan_grant(self, demand: int) -> AllowanceWrite | None:
        """Return the write that enlarges the grant, or ``None`` when none is due.

        A write without an answer stays pending and is returned again unchanged.

        Parameters
        ----------
        demand : int
            Sum of the units that waiting requests need.
        """
        if self._row_version is None or self._is_closed:
            return None
        if self._pending is not None:
            return self._pending
        row = self._row.with_limit(self._limit, self._config_version)
        max_unspent = max(
            1, row.limit // (_MAX_UNSPENT_DIVISOR * max(1, self._n_entries))
        )
        if self.n_free_units >= max(demand, max_unspent // 2):
            return None
        target = max(demand, max_unspent)
        amount = min(target - self.n_free_units, row.n_free_units)
        if amount <= 0:
            return None
        return self._create_write(row, self._n_granted_units + amount)

    def plan_return(self) -> AllowanceWrite | None:
        """Return the write that returns units which are neither spent nor reserved.

        These units cannot be spent after this call, even if the write fails or its
        answer is lost. The result is ``None`` when there are no such units. A write
        without an answer stays pending and is returned again unchanged.
        """
        if self._row_version is None or self._is_closed:
            return None
        if self._pending is not None:
            return self._pending
        n_kept_units = self._n_spent_units + self._n_reserved_units
        if n_kept_units == self._n_granted_units:
            return None
        self._n_granted_units = n_kept_units
        row = self._row.with_limit(self._limit, self._config_version)
        return self._create_write(row, n_kept_units)

    def _create_write(self, row: AllowanceRow, amount: int) -> AllowanceWrite:
        """Create the pending write, which sets the grant to ``amount`` units."""
        assert self._row_version is not None
        grant = Grant(self._sequence + 1, amount)
        new_row = row.with_grant(self._holder_id, grant)
        self._pending = AllowanceWrite(self._row_version, new_row)
        return self._pending

    def write_succeeded(self, row_version: int) -> None:
        """Update the state after the pending write was applied as ``row_version``."""
        if self._pending is None:
            return
        self.observe(row_version, self._pending.row)

    def write_conflicted(self, row_version: int, row: AllowanceRow | None) -> None:
        """Update the state from the row that made the pending write fail.

        If the write took effect when it was sent before, the sequence number in the row
        confirms it. Otherwise the write is discarded and has to be planned again for
        this row.
        """
        self.observe(row_version, row)
        self._pending = None
