"""Classes of clocks; decisions receive the time as a number and read no clock."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time in whole milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time, which advances while the process is paused."""

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch, in UTC."""


class SystemClock:
    """Clock of the operating system.

    Monotonic time is read from ``CLOCK_BOOTTIME``, which also advances while the
    machine is suspended, so that leases and grants expire on time despite a suspension.
    """

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch in milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that moves only when ``advance`` is called, for tests and simulations.

    Parameters
    ----------
    start_ms : int
        Initial monotonic time, in milliseconds.
    wall_offset_ms : int
        Difference between wall time and monotonic time, in milliseconds.

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
        """Return the current monotonic time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current monotonic time plus the wall offset, in milliseconds."""
        return self._now_ms + self._wall_offset_ms

    def advance(self, duration_ms: int) -> None:
        """Advance the clock by ``duration_ms``.

        A negative duration raises ``ValueError``.
        """
        if duration_ms < 0:
            raise ValueError(f"duration_ms={duration_ms}: expected 0 or more")
        self._now_ms += duration_ms
