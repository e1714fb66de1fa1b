"""Base class and helpers of the HTTP stand-ins."""

import argparse
import asyncio
import signal
from typing import Self

from aiohttp import web

MAX_BODY_BYTES = 16 * 1024 * 1024


class StandInServer:
    """HTTP server that runs in the current event loop.

    Examples
    --------
    ``async with PlainServiceServer() as service: ...`` starts the service on a port
    that the kernel chooses; ``service.base_url`` contains the port.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.host = host
        self.port = port
        self._runner: web.AppRunner | None = None

    @property
    def base_url(self) -> str:
        """Return the URL at which clients reach the server."""
        return f"http://{self.host}:{self.port}"

    def build_app(self) -> web.Application:
        """Return the application that the server runs."""
        raise NotImplementedError

    async def start(self) -> Self:
        """Start listening; port 0 is replaced by the port that the kernel chose."""
        runner = web.AppRunner(self.build_app(), access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, self.host, self.port, reuse_address=True)
        await site.start()
        self.port = int(runner.addresses[0][1])
        self._runner = runner
        return self

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        runner = self._runner
        if runner is None:
            return
        # Sites are stopped first, so that no client connects after the connections were
        # aborted.
        for site in list(runner.sites):
            await site.stop()
        self.abort_connections()
        self._runner = None
        await runner.cleanup()

    def abort_connections(self) -> None:
        """Abort all open connections."""
        server = self._runner.server if self._runner is not None else None
        if server is None:
            return
        for connection in list(server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def __aenter__(self) -> Self:
        return await self.start()

    async def __aexit__(self, *_: object) -> None:
        await self.stop()


def abort_request(request: web.Request) -> web.Response:
    """Abort the request's connection, as a crash or a lost answer does.

    The returned response is not sent; aiohttp requires a handler to return one.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return a command line parser with the options ``--host`` and ``--port``."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    return parser


def run_server(server: StandInServer) -> None:
    """Run the server until SIGTERM or SIGINT; print the port once it listens."""
    asyncio.run(_serve(server))


async def _serve(server: StandInServer) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    async with server:
        print(f"event=listening host={server.host} port={server.port}", flush=True)
        await stopped.wait()
