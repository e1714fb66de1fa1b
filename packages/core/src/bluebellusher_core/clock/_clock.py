"""Clock types; decisions receive the time as a number and never read a clock."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time in whole milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time, which goes on while the process is paused."""

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch, in UTC."""


class SystemClock:
    """Read the clocks of the operating system.

    The monotonic reading is ``CLOCK_BOOTTIME``, which also counts while the machine
    is suspended, so that a lease or a grant cannot outlive a suspension.
    """

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that moves only when told to, for tests and simulations.

    Parameters
    ----------
    start_ms : int
        First monotonic reading, in milliseconds.
    wall_offset_ms : int
        What is added to the monotonic reading to give wall time.

    Examples
    --------
    >>> clock = ManualClock(start_ms=100)
    >>> clock.advance(50)
    >>> clock.now_ms()
    150
    """

    def __init__(self, start_ms: int = 0, wall_offset_ms: int = 0) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current reading plus the wall offset."""
        return self._now_ms + self._wall_offset_ms

    def advance(self, duration_ms: int) -> None:
        """Move forward by ``duration_ms``; a negative value raises ``ValueError``."""
        if duration_ms < 0:
            raise ValueError(f"duration_ms={duration_ms}: expected 0 or more")
        self._now_ms += duration_ms
