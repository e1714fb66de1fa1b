"""Heartbeat intervals and receive timeouts of connections."""

from dataclasses import dataclass

# Tolerance in milliseconds for heartbeat timers, which fire slightly early or late.
TIMER_TOLERANCE_MS = 50


@dataclass(frozen=True, slots=True)
class HeartbeatTiming:
    """Heartbeat interval and receive timeout, the same at both ends of a connection.

    Parameters
    ----------
    heartbeat_interval_ms : int
        Time in milliseconds without a sent message after which a heartbeat is sent.
    receive_timeout_ms : int
        Time in milliseconds without a received message after which the connection is
        closed.
    """

    heartbeat_interval_ms: int
    receive_timeout_ms: int

    def is_heartbeat_due(self, sent_at_ms: int, now_ms: int) -> bool:
        """Return whether a heartbeat is due, with a tolerance for early timers."""
        return now_ms - sent_at_ms >= self.heartbeat_interval_ms - TIMER_TOLERANCE_MS


FAST_HEARTBEAT = HeartbeatTiming(heartbeat_interval_ms=500, receive_timeout_ms=2_000)
# For connections between failure domains: every entry is connected to every agent, and
# traffic between failure domains is expensive. Heartbeats may be rarer there, because a
# process that waits for an answer does not rely on them.
SLOW_HEARTBEAT = HeartbeatTiming(heartbeat_interval_ms=1_500, receive_timeout_ms=5_000)
