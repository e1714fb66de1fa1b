"""The allowances of one entry."""

from dataclasses import dataclass
from datetime import UTC, datetime
from zoneinfo import ZoneInfo

from bluebellusher.allowance._costs import to_units
from bluebellusher_core.allowance import IDLE_RETURN_MS, AllowanceHolder
from bluebellusher_core.billing import Month
from bluebellusher_core.clock import Clock
from bluebellusher_core.rules import Limit, RuleSet


@dataclass(slots=True)
class Allowance:
    """One budget in one month, and what waits for it.

    Parameters
    ----------
    key : str
        Row of the table.
    holder : AllowanceHolder
        Grants of this entry.
    is_tokens : bool
        Whether units are tokens; otherwise millionths of the currency.
    period_end_ms : int
        Wall time at which the month ends.
    demand : int
        Units that waiting requests need.
    used_at_ms : int
        Last reservation or attempt at one.
    read_at_ms, empty_at_ms : int or None
        When the row was last read, and when it last had nothing left to grant.
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
        """Return whether the grant should be given back."""
        return not self.demand and now_ms - self.used_at_ms >= IDLE_RETURN_MS


class AllowanceBook:
    """Find or begin the allowance of a customer for the present month.

    Parameters
    ----------
    holder_id : str
        Instance id and incarnation.
    n_entries : int
        Entries that share the budgets; decides how large grants are.
    clock : Clock
        Wall time chooses the month.
    """

    def __init__(self, holder_id: str, n_entries: int, clock: Clock) -> None:
        self.allowance_by_key: dict[str, Allowance] = {}
        self._holder_id = holder_id
        self._n_entries = n_entries
        self._clock = clock
        self._month: Month | None = None
        self._month_end_ms = 0

    def find(
        self, customer: str, part: str, limit: Limit, rules: RuleSet, version: int
    ) -> Allowance:
        """Return an allowance with the limit of these rules.

        Parameters
        ----------
        customer : str
            Whose budget.
        part : str
            ``budget``, or ``extra`` for what ``when-exhausted`` allows after it.
        limit : Limit
            Limit of the month.
        rules : RuleSet
            Give the zone of the month.
        version : int
            Version of these rules.
        """
        month = self._find_month(rules.month_zone)
        # A budget that changes its unit within a month is another allowance.
        key = f"allowance/{customer}/{month}/{part}/{limit.unit}"
        allowance = self.allowance_by_key.get(key)
        n_units = to_units(limit)
        if allowance is None:
            holder = AllowanceHolder(
                self._holder_id, n_units, version, self._month_end_ms, self._n_entries
            )
            # Taken as absent; the first write learns the row if there is one.
            holder.observe(0, None)
            allowance = Allowance(key, holder, limit.is_tokens, self._month_end_ms)
            self.allowance_by_key[key] = allowance
        allowance.holder.update_limit(n_units, version)
        return allowance

    def drop_ended(self) -> None:
        """Forget allowances of past months.

        Requests that are still running keep theirs; the rest of the grant has no use.
        """
        wall_ms = self._clock.wall_ms()
        for key, allowance in list(self.allowance_by_key.items()):
            if wall_ms >= allowance.period_end_ms:
                del self.allowance_by_key[key]

    def month_end_ms(self, zone: str) -> int:
        """Return the wall time at which the present month ends."""
        self._find_month(zone)
        return self._month_end_ms

    def _find_month(self, zone: str) -> Month:
        wall_ms, month = self._clock.wall_ms(), self._month
        if month is None or month.zone != zone or wall_ms >= self._month_end_ms:
            local = datetime.fromtimestamp(wall_ms / 1000, UTC).astimezone(
                ZoneInfo(zone)
            )
            month = self._month = Month(local.year, local.month, zone)
            self._month_end_ms = month.end_s * 1000
        return month
