"""Acquisition and return of grants through the table."""

import asyncio
import contextlib
from random import Random
from typing import Any

from bluebellusher.allowance._registry import Allowance, AllowanceRegistry
from bluebellusher.platform import PlatformClient, TransactConflictError
from bluebellusher_core.allowance import AllowanceRow, AllowanceWrite, Grant
from bluebellusher_core.clock import Clock

IDLE_INTERVAL_S = 1.0
MIN_INTERVAL_S = 0.05
MAX_BACKOFF_S = 5.0
# Interval in milliseconds between reads of a row without free units, in which other
# entries may have returned units.
READ_INTERVAL_MS = 1_000
GRANT_TIMEOUT_MS = 1_500
RETURN_TIMEOUT_MS = 3_000
# Number of consecutive failures after which the table counts as unavailable. It is
# above 1 because a single lost answer must not lead to rejected requests.
_N_FAILURES_UNAVAILABLE = 2
_MAX_WRITES_PER_CYCLE = 4


class GrantWriter:
    """Writer of all due grants of an entry, with one transaction at a time.

    Parameters
    ----------
    registry : AllowanceRegistry
        Allowances of this entry.
    platform : PlatformClient
        Client of the table.
    clock : Clock
        Monotonic time for idle grants and timeouts, wall time for the end of a month.
    random_state : Random
        Source of jitter, which keeps entries whose writes conflicted from conflicting
        again.
    """

    def __init__(
        self,
        registry: AllowanceRegistry,
        platform: PlatformClient,
        clock: Clock,
        random_state: Random,
    ) -> None:
        self._registry = registry
        self._platform = platform
        self._clock = clock
        self._random_state = random_state
        self._wake_event = asyncio.Event()
        self._cycle_ended = asyncio.Event()
        self._n_failures = 0

    @property
    def is_table_unavailable(self) -> bool:
        """Return whether several successive calls to the table have failed."""
        return self._n_failures >= _N_FAILURES_UNAVAILABLE

    async def reserve(
        self, allowance: Allowance, request_id: str, n_units: int
    ) -> bool:
        """Reserve units, after enlarging the grant if necessary.

        Returns
        -------
        bool
            False when the budget has too few free units, the month has ended, the
            table is unavailable or the timeout ``GRANT_TIMEOUT_MS`` has passed.
        """
        timeout_at_ms = self._clock.now_ms() + GRANT_TIMEOUT_MS
        while True:
            now_ms = allowance.used_at_ms = self._clock.now_ms()
            wall_ms = self._clock.wall_ms()
            if allowance.holder.reserve(request_id, n_units, wall_ms):
                return True
            empty_at_ms = allowance.empty_at_ms
            is_empty = empty_at_ms is not None and (
                now_ms - empty_at_ms < READ_INTERVAL_MS
            )
            is_too_late = wall_ms >= allowance.period_end_ms or now_ms >= timeout_at_ms
            if is_empty or is_too_late or self.is_table_unavailable:
                return False
            allowance.demand += n_units
            try:
                await self._wait_for_cycle((timeout_at_ms - now_ms) / 1000)
            finally:
                allowance.demand -= n_units

    async def run(self) -> None:
        """Write due grants periodically and when a request waits, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(IDLE_INTERVAL_S * self._jitter()):
                    await self._wake_event.wait()
            self._wake_event.clear()
            self._registry.discard_past_months()
            await self.write_due_grants(is_returning=False)
            delay_s = MIN_INTERVAL_S * 2 ** min(self._n_failures, 16)
            await asyncio.sleep(min(delay_s, MAX_BACKOFF_S) * self._jitter())

    async def return_all_grants(self) -> None:
        """Return unused units at shutdown, for at most ``RETURN_TIMEOUT_MS``."""
        timeout_at_ms = self._clock.now_ms() + RETURN_TIMEOUT_MS
        while self._clock.now_ms() < timeout_at_ms:
            if not await self.write_due_grants(is_returning=True):
                return
            await asyncio.sleep(MIN_INTERVAL_S)

    async def write_due_grants(self, is_returning: bool) -> bool:
        """Plan and write the due grants; return whether any was due.

        After a conflict, the writes are planned and sent again. There are at most
        ``_MAX_WRITES_PER_CYCLE`` transactions in total.
        """
        is_any_due = False
        for _ in range(_MAX_WRITES_PER_CYCLE):
            write_by_key = await self._plan_writes(is_returning)
            is_any_due = is_any_due or bool(write_by_key)
            if not write_by_key or await self._send_writes(write_by_key):
                break
            await asyncio.sleep(MIN_INTERVAL_S * self._random_state.random())
        cycle_ended, self._cycle_ended = self._cycle_ended, asyncio.Event()
        cycle_ended.set()
        return is_any_due

    async def _wait_for_cycle(self, timeout_s: float) -> None:
        """Wake ``run`` and wait until a write cycle ends, at most ``timeout_s`` s."""
        cycle_ended = self._cycle_ended
        self._wake_event.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await cycle_ended.wait()

    async def _plan_writes(self, is_returning: bool) -> dict[str, AllowanceWrite]:
        """Return the due writes by key; ``is_returning`` returns all unused units."""
        write_by_key = {}
        now_ms = self._clock.now_ms()
        for key, allowance in list(self._registry.allowance_by_key.items()):
            if is_returning or allowance.is_idle(now_ms):
                write = allowance.holder.plan_return()
            else:
                write = await self._plan_grant(allowance)
            if write is not None:
                write_by_key[key] = write
        return write_by_key

    async def _plan_grant(self, allowance: Allowance) -> AllowanceWrite | None:
        """Return the write that enlarges a grant, after a read of the row if needed."""
        holder, demand = allowance.holder, allowance.demand
        write = holder.plan_grant(demand)
        if write is not None or holder.n_free_units >= demand:
            return write
        now_ms = self._clock.now_ms()
        read_at_ms = allowance.read_at_ms
        if read_at_ms is None or now_ms - read_at_ms >= READ_INTERVAL_MS:
            result = await self._platform.read_row(allowance.key)
            self._record_answer(result.is_ok())
            if not result.is_ok():
                return None
            allowance.read_at_ms = now_ms
            holder.observe(result.ok.version, _parse_row(result.ok.value))
            write = holder.plan_grant(demand)
        if write is None:
            allowance.empty_at_ms = now_ms
        return write

    async def _send_writes(self, write_by_key: dict[str, AllowanceWrite]) -> bool:
        """Send the writes; return False when a conflict requires planning again."""
        conditions = {key: write.row_version for key, write in write_by_key.items()}
        puts = {key: _to_row_value(write.row) for key, write in write_by_key.items()}
        result = await self._platform.transact(conditions, puts)
        holder_by_key = {
            key: self._registry.allowance_by_key[key].holder
            for key in write_by_key
            if key in self._registry.allowance_by_key
        }
        if result.is_ok():
            self._record_answer(True)
            for holder in holder_by_key.values():
                holder.write_succeeded(result.ok)
            return True
        error = result.error
        if not isinstance(error, TransactConflictError):
            # The writes stay pending and are sent again unchanged. Sequence numbers in
            # the rows show whether they took effect.
            self._record_answer(False)
            return True
        self._record_answer(True)
        for row in error.conflicts:
            if row.key in holder_by_key:
                value = _parse_row(row.value)
                holder_by_key[row.key].write_conflicted(row.version, value)
        return False

    def _record_answer(self, is_answered: bool) -> None:
        """Record whether a call to the table was answered."""
        self._n_failures = 0 if is_answered else self._n_failures + 1

    def _jitter(self) -> float:
        """Return a random factor from 0.5 to 1.5 for an interval."""
        return 0.5 + self._random_state.random()


def _to_row_value(row: AllowanceRow) -> dict[str, Any]:
    return {
        "limit": row.limit,
        "config_version": row.config_version,
        "n_closed_units": row.n_closed_units,
        "grants": {h: [g.sequence, g.amount] for h, g in row.grant_by_holder.items()},
    }


def _parse_row(value: Any) -> AllowanceRow | None:
    if value is None:
        return None
    return AllowanceRow(
        int(value["limit"]),
        int(value["config_version"]),
        {h: Grant(int(s), int(a)) for h, (s, a) in value["grants"].items()},
        int(value["n_closed_units"]),
    )
