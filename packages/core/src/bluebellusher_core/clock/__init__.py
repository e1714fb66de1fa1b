"""Clocks that give the time in whole milliseconds."""

from bluebellusher_core.clock._clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
