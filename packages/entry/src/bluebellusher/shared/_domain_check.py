"""Check of an attempt's failure domain right before the attempt is written."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from bluebellusher.shared._evacuations import Evacuations
from bluebellusher.shared._log import LogSink
from bluebellusher_core.clock import Clock

# Time between two observations of the running process, in ms, from which the process is
# assumed to have been suspended. Ticks come every 500 ms. A shorter suspension delays a
# change of the table by less than the margin of the operator's 5 s.
SUSPENSION_MS = 1_500
# Timeout of the read after a suspension, in ms. Attempts wait for it. The store answers
# within milliseconds; one that does not counts as out of contact.
REFRESH_TIMEOUT_MS = 500


class RefreshableTable(Protocol):
    """Table that can be read at once."""

    asked_at_ms: int
    """Start of the latest call to the store that has ended, in monotonic ms."""

    async def refresh(self) -> None:
        """Read the table at once."""


class DomainCheck:
    """Check whether a domain is evacuated, by rows that are not out of date.

    A process that was suspended does not know which rows were written meanwhile, and an
    answer of the store that arrived during the suspension may be older than they are.
    The check therefore waits, after a suspension and after the start, until a call to
    the store has ended that was made afterwards. When the store does not answer within
    ``REFRESH_TIMEOUT_MS``, the last known rows stay in force.

    Parameters
    ----------
    evacuations : Evacuations
        Evacuated domains.
    table : RefreshableTable
        Table with the rows of evacuations.
    clock : Clock
        Clock by which suspensions are noticed.
    log : LogSink
        Receives the log lines.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        table: RefreshableTable,
        clock: Clock,
        log: LogSink,
    ) -> None:
        self._evacuations = evacuations
        self._table = table
        self._clock = clock
        self._log = log
        self._observed_at_ms = self._resumed_at_ms = clock.now_ms()
        self._tried_at_ms = -1
        self._refresh_task: asyncio.Task[None] | None = None

    def observe(self, now_ms: int) -> None:
        """Record that the process runs; called at least every ``SUSPENSION_MS``."""
        gap_ms = now_ms - self._observed_at_ms
        self._observed_at_ms = now_ms
        if gap_ms >= SUSPENSION_MS:
            self._resumed_at_ms = now_ms
            self._log.log("process-resumed", suspended_ms=gap_ms)

    async def is_evacuated(self, domain: str) -> bool:
        """Return whether a domain is evacuated."""
        while not self._is_up_to_date():
            if self._refresh_task is None or self._refresh_task.done():
                self._refresh_task = asyncio.create_task(self._refresh())
            # The task serves all attempts, so that the end of one does not cancel it.
            await asyncio.shield(self._refresh_task)
        return domain in self._evacuations.domains

    def _is_up_to_date(self) -> bool:
        """Return whether a call was made after the last suspension, and has ended."""
        self.observe(self._clock.now_ms())
        asked_at_ms = max(self._table.asked_at_ms, self._tried_at_ms)
        return asked_at_ms >= self._resumed_at_ms

    async def _refresh(self) -> None:
        """Read the table within the timeout."""
        tried_at_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT_MS / 1000):
                await self._table.refresh()
        except Exception as error:
            # Attempts that wait for this task continue by the last known rows. An error
            # other than the timeout is a fault, which must not break them.
            self._log.log("evacuations-unconfirmed", error=type(error).__name__)
        self._tried_at_ms = tried_at_ms


CheckDomain = Callable[[str], Awaitable[bool]]
"""Returns whether a failure domain is evacuated, as ``DomainCheck.is_evacuated``."""
