"""Shutdown of an entry as its callers see it."""

import asyncio

from bluebellusher.gateway._server import CallerServer
from bluebellusher.runtime import Runtime
from bluebellusher_core.clock import Clock
from bluebellusher_core.events import ArrivalsEnded

# Time from SIGTERM until the entry stops accepting connections, in ms. The platform
# sends new connections until it has detected the shutdown, which takes up to two
# readiness checks of one second each.
STOP_ACCEPTING_AFTER_MS = 2_600
# Part of the grace period that is reserved for closing connections and exiting, in ms.
EXIT_MARGIN_MS = 500
# Time in which the last answers are written before the connections are closed, in ms.
LAST_ANSWERS_MS = 200
# Interval at which a shutdown checks whether all requests have ended, in s.
_POLL_S = 0.02


async def finish_requests(
    server: CallerServer, runtime: Runtime, clock: Clock, end_ms: int, grace_ms: int
) -> None:
    """Stop accepting connections, and return when all requests are answered.

    New connections are accepted as long as the platform may send some. Later requests,
    on connections that are open, are rejected unless they end within the grace period.
    Requests without an answer at its end are rejected, so that their callers know.

    Parameters
    ----------
    server : CallerServer
        Server of the callers.
    runtime : Runtime
        Passes ``ArrivalsEnded`` to the reducer.
    clock : Clock
        Source of monotonic time.
    end_ms : int
        Monotonic time, in ms, at which the process is killed.
    grace_ms : int
        Time from the request to shut down until ``end_ms``, in ms.
    """
    close_at_ms = end_ms - EXIT_MARGIN_MS
    stop_accepting_at_ms = min(
        end_ms - grace_ms + STOP_ACCEPTING_AFTER_MS, close_at_ms - LAST_ANSWERS_MS
    )
    await asyncio.sleep(max(0, stop_accepting_at_ms - clock.now_ms()) / 1000)
    server.stop_accepting()
    runtime.post(ArrivalsEnded(close_at_ms - LAST_ANSWERS_MS))
    while clock.now_ms() < close_at_ms:
        server.close_idle()
        if not runtime.exchange_by_request_id and not server.n_connections:
            return
        await asyncio.sleep(_POLL_S)
