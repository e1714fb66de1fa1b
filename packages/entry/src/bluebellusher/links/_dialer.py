"""Keeping a connection to one address open."""

import asyncio
from collections.abc import Callable
from random import Random

from bluebellusher.links._connection import FrameConnection
from bluebellusher.links._ticker import LinkTicker

FIRST_BACKOFF_MS = 100
MAX_BACKOFF_MS = 5_000
CONNECT_TIMEOUT_MS = 2_000
# A connection that ends sooner counts as a failure, so that two processes which
# always drop each other do not do so ten times a second.
STABLE_MS = 2_000


class Dialer:
    """Connect to an address, and again whenever the connection ends.

    The pause between attempts doubles up to ``MAX_BACKOFF_MS`` and is drawn at
    random from its upper half, so that many entries do not return in step.
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
        """Keep the connection open until cancelled."""
        n_failures = 0
        while True:
            is_stable = await self._connect_once()
            n_failures = 0 if is_stable else n_failures + 1
            await asyncio.sleep(self._backoff_ms(n_failures) / 1000)

    async def _connect_once(self) -> bool:
        """Return whether the connection was open for a while."""
        connection = self._make_connection()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await loop.create_connection(lambda: connection, self._host, self._port)
        except (OSError, TimeoutError):
            return False
        self._ticker.add(connection)
        opened_s = loop.time()
        try:
            await connection.closed.wait()
        finally:
            connection.close("shutdown")
        lived_ms = (loop.time() - opened_s) * 1000
        return connection.hello is not None and lived_ms >= STABLE_MS

    def _backoff_ms(self, n_failures: int) -> float:
        limit_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** min(n_failures, 16))
        return limit_ms * (0.5 + self._random_state.random() / 2)
