"""Delayed cache events and load readings, and executed orders, of the engine."""

from typing import Any


class CacheEventLog:
    """Log of cache events that are reported after ``lag_ms`` and with gaps.

    The log keeps the last 1000 events.
    """

    def __init__(self, lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._events: list[tuple[int, dict[str, Any]]] = []
        self._sequence = 0

    def append(self, now_ms: int, added: list[int], removed: list[int]) -> None:
        """Record the hashes of the blocks added to and removed from the cache."""
        self._sequence += 1
        event = {"sequence": self._sequence, "added": added, "removed": removed}
        self._events.append((now_ms, event))
        del self._events[:-1000]

    def read(self, after: int, now_ms: int, gap_every: int) -> list[dict[str, Any]]:
        """Return the events with a sequence number above ``after`` that are old enough.

        Each ``gap_every``-th event is left out, as if it were lost; 0 leaves out none.
        """
        return [
            event
            for at_ms, event in self._events
            if at_ms + self._lag_ms <= now_ms
            and event["sequence"] > after
            and not (gap_every and event["sequence"] % gap_every == 0)
        ]


class LoadLog:
    """Log of load readings that are reported after a lag.

    Parameters
    ----------
    lag_ms : int
        Minimum age in ms of a reading that is reported.
    """

    def __init__(self, lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._readings: list[tuple[int, dict[str, Any]]] = []

    def record_and_read(self, now_ms: int, reading: dict[str, Any]) -> dict[str, Any]:
        """Record a reading and return the newest one that is old enough.

        The oldest reading is returned when none is old enough. The result has the
        reading's age in the field ``age_ms``.
        """
        self._readings.append((now_ms, reading))
        due_ms = now_ms - self._lag_ms
        while len(self._readings) > 1 and self._readings[1][0] <= due_ms:
            self._readings.pop(0)
        at_ms, reported = self._readings[0]
        return {**reported, "age_ms": now_ms - at_ms}


class OrderLog:
    """Orders that the engine executed, with an optional check of the fencing token."""

    def __init__(self, checks_fencing_token: bool) -> None:
        self.executed: list[dict[str, Any]] = []
        self._checks_fencing_token = checks_fencing_token
        self._min_token_by_lease: dict[str, int] = {}

    def execute(self, order: dict[str, Any]) -> int | None:
        """Record an order as executed, unless its fencing token is too low.

        Returns ``None`` for an executed order and the lowest valid fencing token for a
        refused one.
        """
        token = int(order["fencing_token"])
        lease = str(order.get("lease_name", ""))
        str(order["order_id"] + order["action"])
        min_token = self._min_token_by_lease.get(lease, 0)
        if self._checks_fencing_token and token < min_token:
            return min_token
        self._min_token_by_lease[lease] = max(min_token, token)
        self.executed.append(order)
        return None
