"""How often the two ends of a connection must hear from each other."""

from dataclasses import dataclass

# Timers that send heartbeats fire slightly early or late.
TIMER_PRECISION_MS = 50


@dataclass(frozen=True, slots=True)
class LinkPace:
    """Heartbeats and the limit on silence; both ends of a connection use the same.

    Parameters
    ----------
    heartbeat_ms : int
        Time without a message after which a heartbeat is sent.
    silence_limit_ms : int
        Silence after which the connection is closed.
    """

    heartbeat_ms: int
    silence_limit_ms: int

    def is_due(self, sent_at_ms: int, now_ms: int) -> bool:
        """Return whether a heartbeat is due, within the precision of a timer."""
        return now_ms - sent_at_ms >= self.heartbeat_ms - TIMER_PRECISION_MS


NEAR_PACE = LinkPace(heartbeat_ms=500, silence_limit_ms=2_000)
# Every entry is connected to every agent, and bytes between failure domains are dear.
# Who waits for an answer does not rely on heartbeats.
FAR_PACE = LinkPace(heartbeat_ms=1_500, silence_limit_ms=5_000)
