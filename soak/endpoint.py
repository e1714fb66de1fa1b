"""A plain service that logs each run and crashes when it runs the poison request."""

import argparse
import asyncio
import json
import os
import signal
import time
from random import Random

import aiohttp
from aiohttp import web

from bluebellusher.links import open_session
from soak.store import HEARTBEAT_MS

POISON = b"poison"
N_SLOTS = 6
# Share of the runs whose answer is lost, because the connection is closed.
LOST_SHARE = 0.01
# Time in seconds between SIGTERM and the exit, in which requests are still served.
DRAIN_S = 1.5


class Endpoint:
    """One start of an endpoint process.

    Parameters
    ----------
    options : argparse.Namespace
        Arguments of the command line: ``id``, ``host``, ``port``, ``domain``,
        ``store`` (host and port) and ``notes`` (the file of runs).
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.is_leaving = False
        self.n_running = 0
        self.random = Random(options.id)
        self.started_ms = time.time_ns() // 1_000_000
        self.notes = os.open(options.notes, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def append_note(self, kind: str, attempt: str) -> None:
        """Append one run to the notes file.

        The line is written without a buffer, so it is kept when the process crashes
        right after the call. ``kind`` is ``run`` or ``poison``.
        """
        line = {
            "at_ms": time.time_ns() // 1_000_000,
            "kind": kind,
            "attempt": attempt,
            "endpoint": self.options.id,
        }
        os.write(self.notes, json.dumps(line).encode() + b"\n")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request of an entry and answer with the attempt id as the body.

        The status is 421 if the request is addressed to another endpoint, and 503 with
        the header ``Not-Run`` if no slot is free. The poison request ends the process.
        ``LOST_SHARE`` of the other answers are lost.
        """
        attempt = request.headers.get("Attempt", "")
        body = await request.read()
        headers = {"Attempt": attempt}
        if self.is_leaving:
            headers["Leaving"] = "1"
        if request.headers.get("Endpoint") != self.options.id:
            return web.Response(status=421, headers=headers)
        if self.n_running >= N_SLOTS:
            headers |= {"Not-Run": "1", "Pause-Ms": str(self.random.randint(50, 300))}
            return web.Response(status=503, headers=headers)
        if body == POISON:
            self.append_note("poison", attempt)
            os._exit(1)
        self.append_note("run", attempt)
        self.n_running += 1
        try:
            await asyncio.sleep(self.random.uniform(0.005, 0.08))
        finally:
            self.n_running -= 1
        if self.random.random() < LOST_SHARE and request.transport is not None:
            request.transport.abort()
        return web.Response(body=attempt.encode(), headers={**headers, "Seal": "s"})

    async def register(self) -> None:
        """Send a heartbeat to the store every ``HEARTBEAT_MS``, without end.

        A heartbeat that fails is printed and not repeated before the next period.
        """
        async with open_session() as session:
            while True:
                value = json.dumps(
                    {
                        "service_id": "desk",
                        "host": self.options.host,
                        "port": self.options.port,
                        "failure_domain": self.options.domain,
                        "n_slots": N_SLOTS,
                        "is_draining": self.is_leaving,
                        "started_wall_ms": self.started_ms,
                    }
                )
                body = {"key": self.options.id, "value": value}
                url = f"http://{self.options.store}/heartbeat"
                try:
                    timeout = aiohttp.ClientTimeout(total=1)
                    async with session.post(url, json=body, timeout=timeout):
                        pass
                except (aiohttp.ClientError, OSError, TimeoutError) as error:
                    print(f"heartbeat: {type(error).__name__}", flush=True)
                await asyncio.sleep(HEARTBEAT_MS / 1000)

    def leave(self) -> None:
        """Announce the shutdown in all reports, and exit after ``DRAIN_S`` seconds."""
        self.is_leaving = True
        asyncio.get_running_loop().call_later(DRAIN_S, os._exit, 0)

    async def run(self) -> None:
        """Serve requests and send heartbeats until the process ends."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leave)
        server = web.Server(self.handle, access_log=None)
        await loop.create_server(
            server, self.options.host, self.options.port, reuse_address=True
        )
        await self.register()


def main() -> None:
    """Parse the command line and serve until the process ends."""
    parser = argparse.ArgumentParser()
    for name in ("id", "host", "domain", "store", "notes"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(Endpoint(parser.parse_args()).run())


if __name__ == "__main__":
    main()
