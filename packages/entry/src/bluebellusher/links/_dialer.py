"""Connections that are reopened whenever they end."""

import asyncio
from collections.abc import Callable
from random import Random

from bluebellusher.links._connection import FrameConnection
from bluebellusher.links._ticker import LinkTicker

FIRST_BACKOFF_MS = 100
MAX_BACKOFF_MS = 5_000
CONNECT_TIMEOUT_MS = 2_000
# Minimum lifetime of a connection; a shorter one counts as a failed attempt and
# increases the backoff. Otherwise two processes that always close their connection
# would reconnect ten times per second.
MIN_STABLE_MS = 2_000


class Dialer:
    """Dialer that connects to an address and reconnects when the connection ends.

    The backoff between failed attempts doubles up to ``MAX_BACKOFF_MS``. The delay is
    drawn at random from the upper half of the backoff, so that many entries do not
    reconnect at the same time.
    """

    def __init__(
        self,
        host: str,
        port: int,
        make_connection: Callable[[], FrameConnection],
        ticker: LinkTicker,
        random_state: Random,
    ) -> None:
        self._host = host
        self._port = port
        self._make_connection = make_connection
        self._ticker = ticker
        self._random_state = random_state

    async def run(self) -> None:
        """Connect and reconnect until cancelled."""
        n_failures = 0
        while True:
            is_stable = await self._connect_once()
            n_failures = 0 if is_stable else n_failures + 1
            await asyncio.sleep(self._draw_backoff_ms(n_failures) / 1000)

    async def _connect_once(self) -> bool:
        """Connect and wait until the connection ends.

        Return whether the handshake completed and the connection lasted at least
        ``MIN_STABLE_MS``.
        """
        connection = self._make_connection()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await loop.create_connection(lambda: connection, self._host, self._port)
        except (OSError, TimeoutError):
            return False
        self._ticker.add(connection)
        connected_at_s = loop.time()
        try:
            await connection.closed.wait()
        finally:
            connection.close("shutdown")
        lifetime_ms = (loop.time() - connected_at_s) * 1000
        return connection.hello is not None and lifetime_ms >= MIN_STABLE_MS

    def _draw_backoff_ms(self, n_failures: int) -> float:
        """Return the random delay, in ms, after a number of failed attempts."""
        backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** min(n_failures, 16))
        return backoff_ms * (0.5 + self._random_state.random() / 2)
