"""Allowances of one entry, by customer, month and part of the budget."""

from dataclasses import dataclass
from datetime import UTC, datetime
from zoneinfo import ZoneInfo

from bluebellusher.allowance._costs import limit_to_units
from bluebellusher_core.allowance import IDLE_RETURN_MS, AllowanceHolder
from bluebellusher_core.billing import Month
from bluebellusher_core.clock import Clock
from bluebellusher_core.rules import Limit, RuleSet


@dataclass(slots=True)
class Allowance:
    """One budget in one month, with the demand of the requests that wait for it.

    Parameters
    ----------
    key : str
        Key of the table row.
    holder : AllowanceHolder
        Grant and reservations of this entry.
    is_tokens : bool
        Whether units are tokens; otherwise they are millionths of the currency.
    period_end_ms : int
        Wall time in milliseconds at which the month ends.
    demand : int
        Sum of the units that waiting requests need.
    used_at_ms : int
        Monotonic time in milliseconds of the last reservation or failed reservation.
    read_at_ms : int or None
        Monotonic time in milliseconds of the last read of the row.
    empty_at_ms : int or None
        Monotonic time in milliseconds at which the row last had no units to grant.
    """

    key: str
    holder: AllowanceHolder
    is_tokens: bool
    period_end_ms: int
    demand: int = 0
    used_at_ms: int = 0
    read_at_ms: int | None = None
    empty_at_ms: int | None = None

    def is_idle(self, now_ms: int) -> bool:
        """Return whether the grant is due to be returned because it is not in use."""
        return not self.demand and now_ms - self.used_at_ms >= IDLE_RETURN_MS


class AllowanceRegistry:
    """Allowances of all customers at one entry for the current month.

    Parameters
    ----------
    holder_id : str
        Instance id and incarnation of this entry, separated by a slash.
    n_entries : int
        Number of entries that share the budgets, which determines the size of grants.
    clock : Clock
        Source of the wall time, which determines the current month.
    """

    def __init__(self, holder_id: str, n_entries: int, clock: Clock) -> None:
        self.allowance_by_key: dict[str, Allowance] = {}
        self._holder_id = holder_id
        self._n_entries = n_entries
        self._clock = clock
        self._month: Month | None = None
        self._month_end_ms = 0

    def get_or_create(
        self, customer: str, part: str, limit: Limit, rules: RuleSet, version: int
    ) -> Allowance:
        """Return the allowance of a customer for the current month, with this limit.

        The allowance is created when there is none yet.

        Parameters
        ----------
        customer : str
            Customer who pays.
        part : str
            ``budget``, or ``extra`` for the units that a ``when-exhausted`` rule allows
            after the budget is used up.
        limit : Limit
            Limit of the month.
        rules : RuleSet
            Rules that define the time zone of the month.
        version : int
            Configuration version of these rules.
        """
        month = self._get_current_month(rules.month_zone)
        # A budget whose unit changes within a month becomes a separate allowance.
        key = f"allowance/{customer}/{month}/{part}/{limit.unit}"
        allowance = self.allowance_by_key.get(key)
        n_units = limit_to_units(limit)
        if allowance is None:
            holder = AllowanceHolder(
                self._holder_id, n_units, version, self._month_end_ms, self._n_entries
            )
            # The row is assumed to be absent. If it exists, the first write conflicts
            # and returns it.
            holder.observe(0, None)
            allowance = Allowance(key, holder, limit.is_tokens, self._month_end_ms)
            self.allowance_by_key[key] = allowance
        allowance.holder.update_limit(n_units, version)
        return allowance

    def discard_past_months(self) -> None:
        """Discard the allowances of past months.

        Requests that are still running keep a reference to their allowance. The unspent
        part of its grant has no further use.
        """
        wall_ms = self._clock.wall_ms()
        for key, allowance in list(self.allowance_by_key.items()):
            if wall_ms >= allowance.period_end_ms:
                del self.allowance_by_key[key]

    def month_end_ms(self, zone: str) -> int:
        """Return the wall time in milliseconds at which the current month ends."""
        self._get_current_month(zone)
        return self._month_end_ms

    def _get_current_month(self, zone: str) -> Month:
        wall_ms, month = self._clock.wall_ms(), self._month
        if month is None or month.zone != zone or wall_ms >= self._month_end_ms:
            local = datetime.fromtimestamp(wall_ms / 1000, UTC).astimezone(
                ZoneInfo(zone)
            )
            month = self._month = Month(local.year, local.month, zone)
            self._month_end_ms = month.end_s * 1000
        return month
