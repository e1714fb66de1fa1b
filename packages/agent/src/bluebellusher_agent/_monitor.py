"""Health of the target: tells a crash from a broken stream."""

import asyncio
import json
from collections.abc import Callable
from enum import Enum

from bluebellusher_core.clock import Clock

from bluebellusher_agent._http import ExchangeError, HttpClient, NotSentError
from bluebellusher_agent._log import log

PROBE_TIMEOUT_MS = 1_000


class TargetState(Enum):
    """What a probe found."""

    ALIVE = "alive"
    CRASHED = "crashed"
    SILENT = "silent"


class TargetMonitor:
    """Probe the target after a stream broke.

    A target that refuses connections, or answers with another boot id than before,
    has crashed. One that accepts a connection and does not answer is silent, which
    proves nothing about the requests that run there.

    Parameters
    ----------
    client : HttpClient
        Connections to the target.
    clock : Clock
        Time source.
    on_crash : callable
        Receives the time of the first break that led to the probe.
    """

    def __init__(
        self, client: HttpClient, clock: Clock, on_crash: Callable[[int], None]
    ) -> None:
        self._client = client
        self._clock = clock
        self._on_crash = on_crash
        self._probe: asyncio.Task[TargetState] | None = None
        self._first_break_ms = 0
        self.boot_id = ""

    async def probe(self) -> TargetState:
        """Return the state of the target; concurrent callers share one probe."""
        if self._probe is None:
            self._first_break_ms = self._clock.now_ms()
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._run_probe())
        return await asyncio.shield(self._probe)

    def observe_boot_id(self, boot_id: str) -> None:
        """Take note of a boot id that a report carried."""
        if self.boot_id and boot_id and boot_id != self.boot_id:
            self._declare_crash(self._clock.now_ms())
        self.boot_id = boot_id or self.boot_id

    async def _run_probe(self) -> TargetState:
        try:
            state, boot_id = await self._ask()
            is_restarted = bool(self.boot_id and boot_id) and boot_id != self.boot_id
            if state is TargetState.CRASHED or is_restarted:
                self.boot_id = boot_id
                self._declare_crash(self._first_break_ms)
                return TargetState.CRASHED
            self.boot_id = boot_id or self.boot_id
            return state
        finally:
            self._probe = None

    async def _ask(self) -> tuple[TargetState, str]:
        try:
            _, body = await self._client.fetch("GET", "/healthz", b"", PROBE_TIMEOUT_MS)
        except NotSentError:
            return TargetState.CRASHED, ""
        except ExchangeError as error:
            is_silent = "no answer" in error.reason
            return TargetState.SILENT if is_silent else TargetState.CRASHED, ""
        return TargetState.ALIVE, read_boot_id(body)

    def _declare_crash(self, at_ms: int) -> None:
        log("target_crashed", peer=self._client.peer)
        self._client.close_idle(is_all=True)
        self._on_crash(at_ms)


def read_boot_id(body: bytes) -> str:
    """Return the boot id in a JSON answer, or an empty string."""
    try:
        data = json.loads(body)
    except ValueError:
        return ""
    boot_id = data.get("boot_id") if isinstance(data, dict) else None
    return boot_id if isinstance(boot_id, str) else ""
