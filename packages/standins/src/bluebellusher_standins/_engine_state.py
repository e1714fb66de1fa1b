"""What the engine stand-in reports late, and the orders that it received."""

from typing import Any


class CacheEventLog:
    """Cache events that become visible after a lag and with gaps."""

    def __init__(self, lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._events: list[tuple[int, dict[str, Any]]] = []
        self._sequence = 0

    def append(self, now_ms: int, added: list[int], removed: list[int]) -> None:
        """Record one change of the cache."""
        self._sequence += 1
        event = {"sequence": self._sequence, "added": added, "removed": removed}
        self._events.append((now_ms, event))
        del self._events[:-1000]

    def read(self, after: int, now_ms: int, gap_every: int) -> list[dict[str, Any]]:
        """Return visible events above ``after``, without each ``gap_every``-th."""
        return [
            event
            for at_ms, event in self._events
            if at_ms + self._lag_ms <= now_ms
            and event["sequence"] > after
            and not (gap_every and event["sequence"] % gap_every == 0)
        ]


class LoadLog:
    """Load readings that are shown after a lag.

    Parameters
    ----------
    lag_ms : int
        A reading is shown once it is at least this old.
    """

    def __init__(self, lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._readings: list[tuple[int, dict[str, Any]]] = []

    def exchange(self, now_ms: int, reading: dict[str, Any]) -> dict[str, Any]:
        """Store a reading and return the newest one that is old enough."""
        self._readings.append((now_ms, reading))
        due_ms = now_ms - self._lag_ms
        while len(self._readings) > 1 and self._readings[1][0] <= due_ms:
            self._readings.pop(0)
        at_ms, shown = self._readings[0]
        return {**shown, "age_ms": now_ms - at_ms}


class OrderBook:
    """Orders that the engine executed, with an optional check of the token."""

    def __init__(self, checks_fencing_token: bool) -> None:
        self.executed: list[dict[str, Any]] = []
        self._checks_fencing_token = checks_fencing_token
        self._floor_by_lease: dict[str, int] = {}

    def receive(self, order: dict[str, Any]) -> int | None:
        """Execute the order and return ``None``, or return the token required."""
        token = int(order["fencing_token"])
        lease = str(order.get("lease_name", ""))
        str(order["order_id"] + order["action"])
        floor = self._floor_by_lease.get(lease, 0)
        if self._checks_fencing_token and token < floor:
            return floor
        self._floor_by_lease[lease] = max(floor, token)
        self.executed.append(order)
        return None
