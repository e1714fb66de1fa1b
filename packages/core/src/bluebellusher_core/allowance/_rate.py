"""Rate limits divided between entries without messages between them."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RateShare:
    """Share of one entry in one rate limit.

    Periods are aligned to UTC. The limit of each period is divided by the configured
    number of entries. The remainder goes to different entries in successive periods, so
    that a limit below the number of entries excludes none of them permanently. The
    shares of all entries add up to exactly the limit of the period, even when entries
    are suspended or disconnected.

    Parameters
    ----------
    limit : int
        Units in one period over all entries.
    period_ms : int
        Length of a period in milliseconds.
    n_entries : int
        Configured number of entries.
    entry_index : int
        Index of this entry among all entries, from 0. Each entry has a different one.

    Examples
    --------
    >>> share = RateShare(limit=5, period_ms=1000, n_entries=4, entry_index=0)
    >>> [share.units_in_period(period) for period in range(4)]
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
        """Raise ValueError for an index with which shares would exceed the limit."""
        if not 0 <= self.entry_index < self.n_entries:
            expected = f"expected 0 to {self.n_entries - 1}"
            raise ValueError(f"entry_index={self.entry_index}: {expected}")

    def units_in_period(self, period: int) -> int:
        """Return the share in units of a period, numbered from the Unix epoch."""
        share, remainder = divmod(self.limit, self.n_entries)
        has_remainder_unit = (self.entry_index + period) % self.n_entries < remainder
        return share + int(has_remainder_unit)

    def reserve(self, request_id: str, n_units: int, wall_ms: int) -> bool:
        """Reserve units of the current period; return whether the share allows it.

        A request that needs more than a whole share may start while the share is
        unused, because it could otherwise never run. The units beyond the share are a
        debt that the shares of the following periods pay off.
        """
        period = wall_ms // self.period_ms
        if period < self._period:
            # The wall clock was set back. The units of that earlier period may already
            # be used up.
            return False
        self._start_period(period)
        n_share = self.units_in_period(period)
        is_unused = self._n_used_units == 0 and n_share > 0
        if self._n_used_units + n_units > n_share and not is_unused:
            return False
        self._n_used_units += n_units
        self._reserved_by_request[request_id] = (period, n_units)
        return True

    def _start_period(self, period: int) -> None:
        """Start ``period`` and pay off debt with the shares of earlier periods."""
        n_cycles, n_remaining_periods = divmod(period - self._period, self.n_entries)
        n_paid_units = n_cycles * self.limit
        n_paid_units += sum(
            self.units_in_period(self._period + i) for i in range(n_remaining_periods)
        )
        self._n_used_units = max(0, self._n_used_units - n_paid_units)
        self._period = period

    def settle(self, request_id: str, n_units: int | None) -> None:
        """Return the reserved units that a request did not use.

        ``n_units`` is the number of units used; ``None`` means all reserved units. In a
        later period than that of the reservation, units are returned only up to the
        unpaid debt, because the other units expired with their period.
        """
        period, n_reserved = self._reserved_by_request.pop(request_id, (-1, 0))
        n_used = n_reserved if n_units is None else max(0, n_units)
        n_unused = max(0, n_reserved - n_used)
        if period != self._period:
            n_debt_units = max(
                0, self._n_used_units - self.units_in_period(self._period)
            )
            n_unused = min(n_unused, n_debt_units)
        self._n_used_units -= n_unused

    def ms_until_next_share(self, wall_ms: int) -> int:
        """Return the time in ms until the next period with a share above 0.

        Without such a period, the result is the length of one period.
        """
        period = wall_ms // self.period_ms
        for n_periods_ahead in range(1, self.n_entries + 1):
            if self.units_in_period(period + n_periods_ahead) > 0:
                return (period + n_periods_ahead) * self.period_ms - wall_ms
        return self.period_ms
