"""Health checks of the target, which distinguish crashes from broken streams."""

import asyncio
import json
from collections.abc import Callable
from enum import Enum

from bluebellusher_agent._http import (
    ExchangeError,
    HttpClient,
    NotSentError,
    PortClosedError,
)
from bluebellusher_agent._log import log

PROBE_TIMEOUT_MS = 1_000


class TargetState(Enum):
    """Result of a health check."""

    ALIVE = "alive"
    CRASHED = "crashed"
    UNRESPONSIVE = "silent"


class TargetMonitor:
    """Check the health of the target and detect its crashes.

    A target has crashed if its port is closed, if it closes a connection without a
    valid answer, or answers with another boot id than before. A target that does not
    answer within ``PROBE_TIMEOUT_MS``, or to which no connection can be opened, is
    unresponsive; the requests on it may still be running.

    Parameters
    ----------
    client : HttpClient
        Connections to the target.
    on_crash : callable
        Called once for each detected crash, before the affected runs end.
    """

    def __init__(self, client: HttpClient, on_crash: Callable[[], None]) -> None:
        self._client = client
        self._on_crash = on_crash
        self._probe_task: asyncio.Task[TargetState] | None = None
        self.boot_id = ""

    async def probe(self) -> TargetState:
        """Return the state of the target; concurrent callers share one health check."""
        if self._probe_task is None:
            loop = asyncio.get_running_loop()
            self._probe_task = loop.create_task(self._run_probe())
        return await asyncio.shield(self._probe_task)

    def observe_boot_id(self, boot_id: str) -> None:
        """Record the boot id of a report; a changed boot id is a crash."""
        is_restarted = bool(self.boot_id and boot_id) and boot_id != self.boot_id
        self.boot_id = boot_id or self.boot_id
        if is_restarted:
            self._handle_crash()

    async def _run_probe(self) -> TargetState:
        try:
            state, boot_id = await self._check_health()
            is_restarted = bool(self.boot_id and boot_id) and boot_id != self.boot_id
            if state is TargetState.CRASHED or is_restarted:
                self.boot_id = boot_id
                self._handle_crash()
                return TargetState.CRASHED
            self.boot_id = boot_id or self.boot_id
            return state
        finally:
            self._probe_task = None

    async def _check_health(self) -> tuple[TargetState, str]:
        """Request ``GET /healthz``; return the state of the target and its boot id."""
        try:
            # A new connection is needed: the target may close an idle connection at
            # any time, so its end would not show a crash.
            _, body = await self._client.fetch(
                "GET", "/healthz", b"", PROBE_TIMEOUT_MS, is_reusing=False
            )
        except PortClosedError:
            return TargetState.CRASHED, ""
        except NotSentError as error:
            # The cause may be in this process, such as a lack of file descriptors.
            log("probe-failed", peer=error.peer, reason=error.reason)
            return TargetState.UNRESPONSIVE, ""
        except ExchangeError as error:
            is_unresponsive = "no answer" in error.reason
            return (
                TargetState.UNRESPONSIVE if is_unresponsive else TargetState.CRASHED,
                "",
            )
        return TargetState.ALIVE, read_boot_id(body)

    def _handle_crash(self) -> None:
        log("target-crashed", peer=self._client.peer)
        self._client.close_idle(is_all=True)
        self._on_crash()


def read_boot_id(body: bytes) -> str:
    """Return the boot id of a JSON answer, empty if it has none."""
    try:
        data = json.loads(body)
    except ValueError:
        return ""
    boot_id = data.get("boot_id") if isinstance(data, dict) else None
    return boot_id if isinstance(boot_id, str) else ""
