"""Figures of an agent as Prometheus text."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

READ_TIMEOUT_MS = 2_000
_PREFIX = "bluebellusher_agent_"


class MetricsPage:
    """Answer every HTTP request with the present figures.

    Parameters
    ----------
    read_gauges : callable
        Returns levels by name.
    n_by_name : Counter of str to int
        Counters by name; failed requests for the page are added.
    """

    def __init__(
        self, read_gauges: Callable[[], Mapping[str, int]], n_by_name: Counter[str]
    ) -> None:
        self._read_gauges = read_gauges
        self._n_by_name = n_by_name

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request and close its connection."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                await reader.readuntil(b"\r\n\r\n")
            body = self.format().encode()
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n"
            writer.write(head.encode() + b"connection: close\r\n\r\n" + body)
            await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            # A scraper that went away or sent no request gets no answer.
            self._n_by_name["metrics_failed"] += 1
        finally:
            writer.close()

    def format(self) -> str:
        """Return one line for each figure."""
        gauges = self._read_gauges().items()
        lines = [f"{_PREFIX}{name} {level}" for name, level in gauges]
        for name, n in sorted(self._n_by_name.items()):
            lines.append(f"{_PREFIX}{name}_total {n}")
        return "\n".join(lines) + "\n"
