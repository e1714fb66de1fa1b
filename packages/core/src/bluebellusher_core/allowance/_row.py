"""Table row that all holders of one budget share."""

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from typing import Self


@dataclass(frozen=True, slots=True)
class Grant:
    """Total units granted to one holder.

    ``sequence`` increases with each write of the holder. With it, the holder recognises
    in the row that a write took effect although its answer was lost.
    """

    sequence: int
    amount: int


@dataclass(frozen=True, slots=True)
class AllowanceRow:
    """Grants of one budget in one period, as integers in its smallest unit.

    Parameters
    ----------
    limit : int
        Budget of the period, from the rules of ``config_version``.
    config_version : int
        Highest configuration version that set the limit. An entry that still has older
        rules leaves this limit unchanged.
    grant_by_holder : dict of str to Grant
        Grants of holders that are running or may be running.
    n_closed_units : int
        Sum of the grants of holders that have ended. These units count as spent.
    """

    limit: int
    config_version: int
    grant_by_holder: dict[str, Grant] = field(default_factory=dict)
    n_closed_units: int = 0

    @property
    def n_granted_units(self) -> int:
        """Return the units granted and not returned, including closed grants."""
        n_open_units = sum(grant.amount for grant in self.grant_by_holder.values())
        return n_open_units + self.n_closed_units

    @property
    def n_free_units(self) -> int:
        """Return the units that can still be granted.

        The result is 0 when the limit was lowered below the units already granted.
        """
        return max(0, self.limit - self.n_granted_units)

    def with_limit(self, limit: int, config_version: int) -> Self:
        """Return the row with the limit of the newer of the two configurations."""
        if config_version <= self.config_version:
            return self
        return replace(self, limit=limit, config_version=config_version)

    def with_grant(self, holder_id: str, grant: Grant) -> Self:
        """Return the row with the grant of one holder added or replaced."""
        grants = {**self.grant_by_holder, holder_id: grant}
        return replace(self, grant_by_holder=grants)

    def with_holders_closed(self, holder_ids: Collection[str]) -> Self:
        """Return the row with the grants of these holders closed and counted as spent.

        Closing grants bounds the size of the row. It is also safe for a holder that is
        still running: its grant continues to count against the limit, and the holder
        loses only the ability to enlarge or return it.
        """
        closed_ids = [h for h in holder_ids if h in self.grant_by_holder]
        n_newly_closed_units = sum(self.grant_by_holder[h].amount for h in closed_ids)
        grants = {h: g for h, g in self.grant_by_holder.items() if h not in closed_ids}
        n_closed_units = self.n_closed_units + n_newly_closed_units
        return replace(self, grant_by_holder=grants, n_closed_units=n_closed_units)
