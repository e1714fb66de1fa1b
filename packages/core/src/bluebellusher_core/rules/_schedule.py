"""Daily windows in a time zone, exact across changes of daylight saving time."""

from dataclasses import dataclass
from datetime import UTC, date, datetime, timedelta
from functools import lru_cache
from zoneinfo import ZoneInfo

WEEKDAYS = ("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
MINUTES_PER_DAY = 24 * 60
_ONE_DAY = timedelta(days=1)

Window = tuple[int, int]


@dataclass(frozen=True, slots=True, order=True)
class DateRange:
    """Range of days from ``first`` to ``last``, both included."""

    first: date
    last: date

    def render(self) -> str:
        """Render one date, or two dates with ``..`` between them."""
        if self.first == self.last:
            return self.first.isoformat()
        return f"{self.first.isoformat()}..{self.last.isoformat()}"


@dataclass(frozen=True, slots=True)
class Schedule:
    """Daily windows in which a rule applies.

    Parameters
    ----------
    zone : str
        IANA name of the time zone.
    time_range : tuple of int or None
        Begin and end of the window in minutes since local midnight. An end that is
        not after the begin is on the next day. ``None`` means the whole day.
    weekdays : tuple of int
        Days of the week on which a window begins; 0 is Monday.
    dates : tuple of DateRange
        Dates on which a window begins. At most one of ``weekdays`` and ``dates`` is
        set; a schedule with neither has a window on every day.
    """

    zone: str
    time_range: tuple[int, int] | None = None
    weekdays: tuple[int, ...] = ()
    dates: tuple[DateRange, ...] = ()

    @property
    def precedence(self) -> int:
        """Precedence over other schedules; the highest number wins.

        Schedules with dates (2) win over those with a time range or weekdays (1), and
        these over schedules without any restriction (0).
        """
        if self.dates:
            return 2
        return 1 if self.weekdays or self.time_range else 0

    def has_window_on(self, day: date) -> bool:
        """Return whether a window begins on ``day``."""
        if self.dates:
            return any(r.first <= day <= r.last for r in self.dates)
        return not self.weekdays or day.weekday() in self.weekdays

    def render_window(self) -> str:
        """Render time range and days without the zone."""
        parts = []
        if self.time_range:
            parts.append(
                f"from {_render_time_of_day(self.time_range[0])} "
                f"to {_render_time_of_day(self.time_range[1])}"
            )
        if self.weekdays:
            parts.append("on " + _render_weekdays(self.weekdays))
        if self.dates:
            parts.append("on " + ",".join(r.render() for r in self.dates))
        return " ".join(parts)

    def render(self) -> str:
        """Render time range, days and zone."""
        return f"{self.render_window()} {self.zone}".strip()

    def windows(self, begin_s: int, end_s: int) -> list[Window]:
        """Return the windows that overlap an interval, at most one per day.

        Windows that reach beyond the interval are not clipped to it.

        Parameters
        ----------
        begin_s, end_s : int
            Interval in seconds since 1970 UTC.

        Returns
        -------
        list of tuple
            Begin and end of each window in seconds since 1970 UTC, in order of time.
        """
        zone = ZoneInfo(self.zone)
        day = datetime.fromtimestamp(begin_s, zone).date() - _ONE_DAY
        last = datetime.fromtimestamp(end_s, zone).date()
        windows = []
        while day <= last:
            if self.has_window_on(day):
                window = self._get_window_on(day)
                if window[0] < end_s and window[1] > begin_s and window[0] < window[1]:
                    windows.append(window)
            day += _ONE_DAY
        return windows

    def _get_window_on(self, day: date) -> Window:
        """Return the window that would begin on ``day``, whether or not it does."""
        begin, end = self.time_range or (0, MINUTES_PER_DAY)
        if end <= begin:
            end += MINUTES_PER_DAY
        return (
            local_to_utc_s(self.zone, day, begin),
            local_to_utc_s(self.zone, day, end),
        )


@lru_cache(maxsize=65536)
def local_to_utc_s(zone: str, day: date, minute: int) -> int:
    """Convert a local time to seconds since 1970 UTC.

    A local time that occurs twice, because the clocks are set back, means its first
    occurrence. A local time that is skipped, because the clocks are set forward,
    means the instant of the change. Adjacent windows therefore neither overlap nor
    leave a gap.

    Parameters
    ----------
    zone : str
        IANA name of the time zone.
    day : date
        Local date.
    minute : int
        Minutes since local midnight; 1440 or more means a later day.
    """
    time_zone = ZoneInfo(zone)
    day += timedelta(days=minute // MINUTES_PER_DAY)
    minute %= MINUTES_PER_DAY
    local_time = datetime(day.year, day.month, day.day, minute // 60, minute % 60)
    # `fold` selects one of the two occurrences of a repeated local time. For a skipped
    # local time, fold=1 gives an instant before the change and fold=0 one after it.
    fold0_s = _to_utc_s(local_time.replace(tzinfo=time_zone, fold=0))
    fold1_s = _to_utc_s(local_time.replace(tzinfo=time_zone, fold=1))
    if fold1_s >= fold0_s:
        return fold0_s
    return _find_offset_change(time_zone, fold1_s, fold0_s)


def _to_utc_s(moment: datetime) -> int:
    return int(moment.timestamp())


def _find_offset_change(time_zone: ZoneInfo, low_s: int, high_s: int) -> int:
    """Return the first second after ``low_s`` that has another UTC offset.

    The offset changes once between ``low_s`` and ``high_s``, which allows a binary
    search.
    """
    offset_before = _get_utc_offset(time_zone, low_s)
    while high_s - low_s > 1:
        middle = (low_s + high_s) // 2
        if _get_utc_offset(time_zone, middle) == offset_before:
            low_s = middle
        else:
            high_s = middle
    return high_s


def _get_utc_offset(time_zone: ZoneInfo, at_s: int) -> timedelta | None:
    return datetime.fromtimestamp(at_s, UTC).astimezone(time_zone).utcoffset()


def _render_weekdays(days: tuple[int, ...]) -> str:
    """Render three or more consecutive days as ``Fri-Mon``, others as ``Tue,Sat``."""
    n_days = len(days)
    for first in days:
        run = {(first + i) % 7 for i in range(n_days)}
        if n_days > 2 and run == set(days):
            return f"{WEEKDAYS[first]}-{WEEKDAYS[(first + n_days - 1) % 7]}"
    return ",".join(WEEKDAYS[day] for day in days)


def _render_time_of_day(minute: int) -> str:
    """Render minutes since midnight as ``HH:MM``."""
    return f"{minute // 60:02d}:{minute % 60:02d}"
