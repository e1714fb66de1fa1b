"""Limits that the connections of callers share, and their enforcement."""

import asyncio
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from bluebellusher.gateway._answering import AnsweringConnection
from bluebellusher.gateway._connections import CallerConnection
from bluebellusher.gateway._heap import release_free_memory
from bluebellusher.runtime import Runtime
from bluebellusher_core.directory import CallerLimits
from bluebellusher_core.memory import Account, ByteBudget

# Interval at which incomplete requests are checked and refusals are logged, in ms.
SWEEP_INTERVAL_MS = 250
# Shortest interval between two log lines about refused connections, in ms.
_LOG_INTERVAL_MS = 1_000
# Shortest interval between two returns of free memory to the system, in ms.
_TRIM_INTERVAL_MS = 2_000
# Bytes of an answer that wait in the write buffer, the unread part and the reader of
# the HTTP library while the caller does not read.
_UNREAD_ANSWER_BYTES = 262_144
# Time in which small chunks are parsed without a pause, and the pause, in s. Other
# connections get at least the pause.
_DELAYED_WORK_S = 0.002
_DELAYED_PAUSE_S = 0.004
# Share of the connections that are closed at once when there are too many.
_CLOSED_SHARE = 1 / 16
# Receive buffer of a connection in the kernel, in bytes, which counts as memory of the
# process. The kernel doubles it. It is enough for 100 Mbit/s at a round trip of 6 ms.
RECEIVE_BUFFER_BYTES = 65_536
# Data of a body that wait for their reader, in bytes; aiohttp reads up to the double.
READ_BUFFER_BYTES = 65_536


class ConnectionGuard:
    """Limits and budget of a server's connections.

    Parameters
    ----------
    budget : ByteBudget
        Bytes that the process may hold for all callers.
    n_max_connections : int
        Upper bound of the open connections.
    runtime : Runtime
        Provides the clock, the metrics and the log.
    find_limits : callable
        Returns the limits on callers in force.

    Attributes
    ----------
    limits : CallerLimits
        Limits in force.
    now_ms : int
        Monotonic time of the last sweep. Its precision suffices for the time limits,
        and reading the clock for each part received is avoided.
    watched : set of CallerConnection
        Connections with an incomplete request or a rejected one.
    unread : set of AnsweringConnection
        Connections whose callers do not read their answers as fast as they arrive.
    """

    def __init__(
        self,
        budget: ByteBudget,
        n_max_connections: int,
        runtime: Runtime,
        find_limits: Callable[[], CallerLimits],
    ) -> None:
        self.budget = budget
        self.limits = find_limits()
        self.now_ms = runtime.now_ms()
        self.watched: set[CallerConnection] = set()
        self.unread: set[AnsweringConnection] = set()
        self._n_max_connections = n_max_connections
        self._runtime = runtime
        self._find_limits = find_limits
        self._connection_by_account: dict[Account, CallerConnection] = {}
        self._delayed: deque[CallerConnection] = deque()
        self._drain_handle: asyncio.TimerHandle | None = None
        self._sweep_handle: asyncio.TimerHandle | None = None
        self._n_refused: Counter[tuple[str, str]] = Counter()
        self._logged_at_ms = self._trimmed_at_ms = self.now_ms
        self._n_peak_bytes = 0
        self._is_trim_due = False

    def start(self) -> None:
        """Start the periodic checks; must be called on the event loop."""
        if self._sweep_handle is None:
            self._schedule_sweep()

    def close(self) -> None:
        """Stop the periodic checks."""
        for handle in (self._sweep_handle, self._drain_handle):
            if handle is not None:
                handle.cancel()

    def add(self, connection: CallerConnection) -> None:
        """Register a connection; close others, or this one, if there are too many."""
        self._connection_by_account[connection.account] = connection
        if len(self._connection_by_account) > self._n_max_connections:
            self._make_room(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Forget a closed connection and release its bytes."""
        self._connection_by_account.pop(connection.account, None)
        self.watched.discard(connection)
        self.unread.discard(connection)
        self.budget.release(connection.account)

    def charge(self, account: Account, n_bytes: int) -> None:
        """Add received bytes to an account, and evict others if they are too many."""
        evicted = self.budget.hold(account, n_bytes, self.now_ms)
        self._n_peak_bytes = max(self._n_peak_bytes, self.budget.n_bytes)
        for each in evicted:
            self._evict(each)

    def _evict(self, account: Account) -> None:
        connection = self._connection_by_account.get(account)
        if connection is not None:
            connection.evict()

    def count_refused(self, reason: str, owner: str) -> None:
        """Count a refused request or connection; it is logged by the next sweep."""
        self._runtime.metrics.count(
            "bluebellusher_connections_refused_total", "reason", reason
        )
        self._n_refused[reason, owner] += 1
        self._is_trim_due = True

    def delay(self, connection: CallerConnection) -> None:
        """Parse the small chunks of a connection later, in turn with others."""
        self._delayed.append(connection)
        if self._drain_handle is None:
            self._schedule_drain()

    def _schedule_drain(self) -> None:
        loop = asyncio.get_running_loop()
        self._drain_handle = loop.call_later(_DELAYED_PAUSE_S, self._drain)

    def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _DELAYED_WORK_S
        self._drain_handle = None
        for _ in range(len(self._delayed)):
            self._delayed.popleft().resume_held()
            if loop.time() > end_s:
                break
        if self._delayed and self._drain_handle is None:
            self._schedule_drain()

    def _make_room(self, newest: CallerConnection) -> None:
        """Close connections of the owner that has the most of them.

        Those without a request that has been read are closed, longest idle first. The
        newest one is closed if there is none.
        """
        connections = [
            c
            for c in self._connection_by_account.values()
            if c.account.is_evictable and c is not newest
        ]
        n_by_owner = Counter(c.account.owner for c in connections)
        if not n_by_owner:
            self._close(newest)
            return
        owner = n_by_owner.most_common(1)[0][0]
        owned = [c for c in connections if c.account.owner == owner]
        owned.sort(key=lambda c: c.idle_since_ms)
        n_closed = max(1, int(self._n_max_connections * _CLOSED_SHARE))
        for connection in owned[:n_closed]:
            self._close(connection)

    def _close(self, connection: CallerConnection) -> None:
        self.count_refused("connections", connection.account.owner)
        # The socket stays open until the event loop has closed it.
        self._connection_by_account.pop(connection.account, None)
        connection.force_close()

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_handle = loop.call_later(SWEEP_INTERVAL_MS / 1000, self._sweep)

    def _sweep(self) -> None:
        self._schedule_sweep()
        earlier_ms, now_ms = self.now_ms, self._runtime.now_ms()
        self.now_ms = now_ms
        self.limits = self._find_limits()
        gap_ms = now_ms - earlier_ms - SWEEP_INTERVAL_MS
        if gap_ms > SWEEP_INTERVAL_MS:
            # The process was frozen or busy. What callers sent meanwhile is not read.
            for delayed in self.watched | self.unread:
                delayed.postpone(gap_ms)
        for connection in list(self.watched):
            connection.check(now_ms)
        for unread in list(self.unread):
            unread.check_unread(now_ms)
        if self._n_refused and now_ms - self._logged_at_ms >= _LOG_INTERVAL_MS:
            self._logged_at_ms = now_ms
            self._log_refused()
        self._release_memory(now_ms)

    def _log_refused(self) -> None:
        """Log the refusals since the last line, with the owner that had the most."""
        (reason, owner), n_most = self._n_refused.most_common(1)[0]
        self._runtime.log(
            "connections-refused",
            n=self._n_refused.total(),
            reason=reason,
            owner=owner,
            n_of_owner=n_most,
            n_owners=len({o for _, o in self._n_refused}),
            n_connections=len(self._connection_by_account),
            held_bytes=self.budget.n_bytes,
            max_bytes=self.budget.n_max_bytes,
        )
        self._n_refused.clear()

    def _release_memory(self, now_ms: int) -> None:
        """Return free memory to the system after refusals or when bytes were released.

        The C library retains it otherwise. Answers that wait for callers that do not
        read are not in the budget, so their bytes are estimated.
        """
        n_bytes = self.budget.n_bytes + len(self.unread) * _UNREAD_ANSWER_BYTES
        self._n_peak_bytes = max(self._n_peak_bytes, n_bytes)
        is_released = n_bytes < self._n_peak_bytes - self._n_peak_bytes // 4
        is_due = self._is_trim_due or (
            is_released and self._n_peak_bytes > self.budget.n_max_bytes // 4
        )
        if is_due and now_ms - self._trimmed_at_ms >= _TRIM_INTERVAL_MS:
            self._trimmed_at_ms = now_ms
            self._is_trim_due = False
            self._n_peak_bytes = n_bytes
            release_free_memory()


class GuardedServer(web.Server):
    """aiohttp server whose connections are within the limits of a guard.

    Parameters
    ----------
    guard : ConnectionGuard
        Limits and budget of the connections.
    handler : callable
        Handles a request and returns its response.
    options
        Options of ``web.Server``, and of the connections.
    """

    def __init__(
        self,
        guard: ConnectionGuard,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        **options: Any,
    ) -> None:
        super().__init__(
            handler,
            access_log=None,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
            **options,
        )
        self._guard = guard

    def __call__(self) -> CallerConnection:
        return CallerConnection(self._guard, self, loop=self._loop, **self._kwargs)
