"""Rate limits divided between entries without messages."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RateShare:
    """Share of one entry in one rate limit.

    The limit of each period, aligned to UTC, is divided by the configured number of
    entries. The remainder goes to other entries in each period, so that a limit below
    the number of entries does not exclude any of them for ever. The sum over all
    entries is exactly the limit of the period, whatever is cut off or paused.

    Parameters
    ----------
    limit : int
        Units in one period over all entries.
    period_ms : int
        Length of a period.
    n_entries : int
        Configured number of entries.
    entry_index : int
        Place of this entry among them; each entry has another one.

    Examples
    --------
    >>> share = RateShare(limit=5, period_ms=1000, n_entries=4, entry_index=0)
    >>> [share.units_in(period) for period in range(4)]
    [2, 1, 1, 1]
    """

    limit: int
    period_ms: int
    n_entries: int
    entry_index: int
    _period: int = 0
    _n_used_units: int = 0
    _reserved_by_request: dict[str, tuple[int, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Refuse values that would give shares above the limit."""
        if not 0 <= self.entry_index < self.n_entries:
            expected = f"expected 0 to {self.n_entries - 1}"
            raise ValueError(f"entry_index={self.entry_index}: {expected}")

    def units_in(self, period: int) -> int:
        """Return the share in a period, counted from the Unix epoch."""
        share, remainder = divmod(self.limit, self.n_entries)
        is_extra = (self.entry_index + period) % self.n_entries < remainder
        return share + int(is_extra)

    def reserve(self, request_id: str, n_units: int, wall_ms: int) -> bool:
        """Use units of the present period; return whether the share allows it.

        A request that needs more than a whole share may begin in an unused one, since
        it would otherwise never run. What it needs beyond the share is owed, and the
        shares of the following periods pay for it.
        """
        period = wall_ms // self.period_ms
        if period < self._period:
            # The wall clock was set back; the units of that period may be used up.
            return False
        self._advance(period)
        n_share = self.units_in(period)
        is_unused = self._n_used_units == 0 and n_share > 0
        if self._n_used_units + n_units > n_share and not is_unused:
            return False
        self._n_used_units += n_units
        self._reserved_by_request[request_id] = (period, n_units)
        return True

    def _advance(self, period: int) -> None:
        """Pay what is owed from the shares up to the present period."""
        n_cycles, n_rest = divmod(period - self._period, self.n_entries)
        n_paid = n_cycles * self.limit
        n_paid += sum(self.units_in(self._period + i) for i in range(n_rest))
        self._n_used_units = max(0, self._n_used_units - n_paid)
        self._period = period

    def settle(self, request_id: str, n_units: int | None) -> None:
        """Give back what a request did not use; ``None`` stands for all of it.

        In a later period only what is still owed can be given back; the rest went
        with its period.
        """
        period, n_taken = self._reserved_by_request.pop(request_id, (-1, 0))
        n_used = n_taken if n_units is None else max(0, n_units)
        n_unused = max(0, n_taken - n_used)
        if period != self._period:
            n_owed = max(0, self._n_used_units - self.units_in(self._period))
            n_unused = min(n_unused, n_owed)
        self._n_used_units -= n_unused

    def wait_ms(self, wall_ms: int) -> int:
        """Return how long it takes until a period in which this entry has a share."""
        period = wall_ms // self.period_ms
        for ahead in range(1, self.n_entries + 1):
            if self.units_in(period + ahead) > 0:
                return (period + ahead) * self.period_ms - wall_ms
        return self.period_ms
