"""A plain service that notes each run, and ends when it runs a certain request."""

import argparse
import asyncio
import json
import os
import signal
import time
from random import Random

import aiohttp
from aiohttp import web

from soak.store import HEARTBEAT_MS

POISON = b"poison"
N_SLOTS = 6
# Served on after the word that it leaves.
DRAIN_S = 1.5


class Endpoint:
    """One start of an endpoint."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.is_leaving = False
        self.n_running = 0
        self.random = Random(options.id)
        self.born_ms = time.time_ns() // 1_000_000
        self.notes = os.open(options.notes, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def note(self, kind: str, attempt: str) -> None:
        """Append a line that outlives the process."""
        line = {
            "at_ms": time.time_ns() // 1_000_000,
            "kind": kind,
            "attempt": attempt,
            "endpoint": self.options.id,
        }
        os.write(self.notes, json.dumps(line).encode() + b"\n")

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request of an entry."""
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
            self.note("poison", attempt)
            os._exit(1)
        self.note("run", attempt)
        self.n_running += 1
        try:
            await asyncio.sleep(self.random.uniform(0.005, 0.08))
        finally:
            self.n_running -= 1
        return web.Response(body=attempt.encode(), headers={**headers, "Seal": "s"})

    async def register(self) -> None:
        """Say that it lives, until the process ends."""
        async with aiohttp.ClientSession() as session:
            while True:
                value = json.dumps(
                    {
                        "service_id": "desk",
                        "host": self.options.host,
                        "port": self.options.port,
                        "failure_domain": self.options.domain,
                        "n_slots": N_SLOTS,
                        "is_draining": self.is_leaving,
                        "started_wall_ms": self.born_ms,
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
        """End soon, and say so until then."""
        self.is_leaving = True
        asyncio.get_running_loop().call_later(DRAIN_S, os._exit, 0)

    async def run(self) -> None:
        """Serve until the process ends."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leave)
        server = web.Server(self.handle, access_log=None)
        await loop.create_server(
            server, self.options.host, self.options.port, reuse_address=True
        )
        await self.register()


def main() -> None:
    """Read the command line and serve."""
    parser = argparse.ArgumentParser()
    for name in ("id", "host", "domain", "store", "notes"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(Endpoint(parser.parse_args()).run())


if __name__ == "__main__":
    main()
