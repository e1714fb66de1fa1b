"""Overlap of two schedules that have the same time zone."""

from datetime import timedelta

from bluebellusher_core.rules._schedule import MINUTES_PER_DAY, Schedule


def overlaps(a: Schedule, b: Schedule) -> bool:
    """Return whether two schedules of equal precedence have overlapping windows.

    Schedules of different precedence never conflict, because one of them wins.
    Windows are also compared with those that begin on the previous and on the next
    day, because a window may extend past midnight.
    """
    if a.precedence != b.precedence:
        return False
    return any(
        _begin_days_apart(a, b, n_days) and _time_ranges_overlap(a, b, n_days)
        for n_days in (-1, 0, 1)
    )


def _begin_days_apart(a: Schedule, b: Schedule, n_days: int) -> bool:
    """Return whether a window of ``b`` begins ``n_days`` after one of ``a``."""
    if a.dates:
        shift = timedelta(days=n_days)
        return any(
            range_a.first + shift <= range_b.last
            and range_b.first <= range_a.last + shift
            for range_a in a.dates
            for range_b in b.dates
        )
    days_a = a.weekdays or tuple(range(7))
    days_b = b.weekdays or tuple(range(7))
    return any((day + n_days) % 7 in days_b for day in days_a)


def _time_ranges_overlap(a: Schedule, b: Schedule, n_days: int) -> bool:
    """Return whether the time of ``a`` overlaps that of ``b`` ``n_days`` later."""
    begin_a, end_a = _get_minute_range(a)
    begin_b, end_b = _get_minute_range(b)
    shift = n_days * MINUTES_PER_DAY
    return begin_a < end_b + shift and begin_b + shift < end_a


def _get_minute_range(schedule: Schedule) -> tuple[int, int]:
    """Return begin and end of a window in minutes since midnight of the first day.

    The end of a window that extends past midnight is above 1440.
    """
    begin, end = schedule.time_range or (0, MINUTES_PER_DAY)
    return begin, end if end > begin else end + MINUTES_PER_DAY
