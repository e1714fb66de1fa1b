"""Billing months, and the versions of the rules that are in force in them."""

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import date

from bluebellusher_core.rules import RuleSet, local_to_utc_s

FIRST_YEAR = 2000
LAST_YEAR = 2199


@dataclass(frozen=True, slots=True)
class Month:
    """Calendar month in a time zone.

    Parameters
    ----------
    year, month : int
        Year from 2000 to 2199, and month from 1 to 12.
    zone : str
        IANA name of the time zone. The month begins at local midnight in it.
    """

    year: int
    month: int
    zone: str

    @classmethod
    def from_text(cls, text: str, zone: str) -> "Month":
        """Parse a month such as ``2027-01``.

        Raises
        ------
        ValueError
            If the text is not a month of the years 2000 to 2199.
        """
        match = re.match(r"([0-9]{4})-(0[1-9]|1[0-2])\Z", text)
        if not match or not FIRST_YEAR <= int(match[1]) <= LAST_YEAR:
            raise ValueError(f"month={text!r}: expected YYYY-MM, such as 2027-01")
        return cls(int(match[1]), int(match[2]), zone)

    def __str__(self) -> str:
        return f"{self.year:04d}-{self.month:02d}"

    @property
    def begin_s(self) -> int:
        """First instant in seconds since 1970 UTC."""
        return local_to_utc_s(self.zone, date(self.year, self.month, 1), 0)

    @property
    def end_s(self) -> int:
        """First instant after the month in seconds since 1970 UTC."""
        n_months = self.year * 12 + self.month
        first = date(n_months // 12, n_months % 12 + 1, 1)
        return local_to_utc_s(self.zone, first, 0)


@dataclass(frozen=True, slots=True)
class RulesVersion:
    """Version of the rules, in force from its acceptance until that of the next.

    Parameters
    ----------
    rules : RuleSet
        The rules.
    accepted_s : int or None
        Time of acceptance in seconds since 1970 UTC. ``None`` means that the version
        has always been in force.
    number : int
        Version number in the table; 0 for a file that was not applied.
    """

    rules: RuleSet
    accepted_s: int | None = None
    number: int = 0


@dataclass(frozen=True, slots=True, eq=False)
class MonthSlice:
    """Part of a month in which one version is in force; compared by identity.

    ``begin_s`` and ``end_s`` are in seconds since 1970 UTC.
    """

    begin_s: int
    end_s: int
    version: RulesVersion

    @property
    def rules(self) -> RuleSet:
        """Rules that are in force."""
        return self.version.rules


def slice_month(
    versions: Sequence[RulesVersion], month: Month
) -> tuple[MonthSlice, ...]:
    """Divide a month into one slice per version, without empty slices.

    Of several versions with the same time of acceptance, the last one is in force.
    The part of the month before the first version belongs to no slice.

    Parameters
    ----------
    versions : sequence of RulesVersion
        Versions in the order of their times of acceptance.
    month : Month
        The month.
    """
    starts = [_get_start_in_month(version, month) for version in versions]
    ends = [*starts[1:], month.end_s]
    return tuple(
        MonthSlice(begin_s, min(end_s, month.end_s), version)
        for version, begin_s, end_s in zip(versions, starts, ends, strict=True)
        if begin_s < min(end_s, month.end_s)
    )


def _get_start_in_month(version: RulesVersion, month: Month) -> int:
    """Return the later of a version's acceptance and the begin of the month.

    The result is in seconds since 1970 UTC.
    """
    if version.accepted_s is None:
        return month.begin_s
    return max(version.accepted_s, month.begin_s)


def as_versions(rules: RuleSet | Iterable[RulesVersion]) -> tuple[RulesVersion, ...]:
    """Return a rule set as a single version, or versions sorted by acceptance.

    The version of a rule set has no time of acceptance, so that it is in force in
    the whole month. Versions with the same time of acceptance are sorted by number.
    """
    if isinstance(rules, RuleSet):
        return (RulesVersion(rules),)
    return tuple(sorted(rules, key=lambda v: (v.accepted_s or 0, v.number)))
