"""HTTP page with the metrics of a rank agent, in Prometheus text format."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

# Time in which a request for the page must be received and answered.
READ_TIMEOUT_MS = 2_000
_PREFIX = "bluebellusher_agent_"


class MetricsPage:
    """HTTP handler that answers every request with the current metrics.

    Parameters
    ----------
    read_gauges : callable
        Returns the current values of the gauges by name.
    n_by_name : Counter of str to int
        Counters by name. Failed requests for the page are counted in it as
        ``metrics_failed``.
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
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ValueError,
        ):
            # The scraper has closed the connection, or has sent no complete request
            # within the timeout and the size limit of the reader.
            self._n_by_name["metrics_failed"] += 1
        finally:
            writer.close()

    def format(self) -> str:
        """Return the page, with one line for each metric."""
        gauges = self._read_gauges().items()
        lines = [f"{_PREFIX}{name} {value}" for name, value in gauges]
        for name, n in sorted(self._n_by_name.items()):
            lines.append(f"{_PREFIX}{name}_total {n}")
        return "\n".join(lines) + "\n"
