"""Tests that clocks never run backwards."""

import pytest

from bluebellusher_core.clock import ManualClock, SystemClock


def test_manual_clock_refuses_to_go_back():
    """Guards against simulated time that decreases."""
    clock = ManualClock(start_ms=5, wall_offset_ms=10)
    clock.advance(2)
    assert (clock.now_ms(), clock.wall_ms()) == (7, 17)
    with pytest.raises(ValueError, match="duration_ms=-1"):
        clock.advance(-1)


def test_system_clock_never_decreases():
    """Guards against a wall clock in place of a monotonic one, which may jump back."""
    clock = SystemClock()
    readings = [clock.now_ms() for _ in range(1000)]
    assert readings == sorted(readings)
