"""Shared timer for the heartbeats and timeouts of all connections."""

import asyncio
from collections.abc import Callable

from bluebellusher.links._connection import FrameConnection
from bluebellusher_core.clock import Clock

# Interval of the ticks, equal to the shortest heartbeat interval.
TICK_INTERVAL_MS = 500
# Delay of a tick, in ms, above which the process is assumed to have been suspended.
_SUSPENSION_MS = 1_000


class LinkTicker:
    """Timer that sends heartbeats and checks the timeouts of its connections.

    One timer for all connections costs less CPU time when they are idle than one timer
    for each.
    """

    def __init__(self, clock: Clock, loop: asyncio.AbstractEventLoop) -> None:
        self._clock = clock
        self._loop = loop
        self._connections: set[FrameConnection] = set()
        self._callbacks: list[Callable[[int], None]] = []
        self._ticked_at_ms = clock.now_ms()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer."""
        self._ticked_at_ms = self._clock.now_ms()
        self._schedule()

    def stop(self) -> None:
        """Stop the timer; no further heartbeat is sent."""
        if self._timer is not None:
            self._timer.cancel()

    def add(self, connection: FrameConnection) -> None:
        """Tick a connection until it is closed."""
        self._connections.add(connection)

    def add_callback(self, callback: Callable[[int], None]) -> None:
        """Call ``callback(now_ms)`` on every tick."""
        self._callbacks.append(callback)

    def _schedule(self) -> None:
        delay_s = TICK_INTERVAL_MS / 1000
        self._timer = self._loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._schedule()
        now_ms = self._clock.now_ms()
        late_ms = now_ms - self._ticked_at_ms - TICK_INTERVAL_MS
        self._ticked_at_ms = now_ms
        for connection in list(self._connections):
            if connection.is_closed:
                self._connections.discard(connection)
            else:
                connection.tick(now_ms, was_suspended=late_ms > _SUSPENSION_MS)
        for callback in self._callbacks:
            callback(now_ms)
