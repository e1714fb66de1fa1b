"""Stand-in of a plain HTTP service that counts the requests that it executes."""

import asyncio
import hashlib
from collections import Counter
from dataclasses import dataclass, fields

from aiohttp import web

from bluebellusher_standins._server import (
    MAX_BODY_BYTES,
    StandInServer,
    abort_request,
    build_parser,
    run_server,
)


@dataclass(slots=True)
class PlainServiceFaults:
    """Faults that the plain service currently simulates.

    Parameters
    ----------
    stall_ms : int
        Time in ms between the execution of a call and its answer.
    drop_after_execute : int
        Number of the next calls that are executed and then lose their connection.
    drop_before_execute : int
        Number of the next calls that lose their connection without being executed.
    """

    stall_ms: int = 0
    drop_after_execute: int = 0
    drop_before_execute: int = 0


class PlainServiceServer(StandInServer):
    """HTTP server that executes calls of any method and path and counts them.

    ``n_executions_by_path`` counts all calls, and ``n_executions_by_body`` the calls of
    other methods than GET. ``n_disconnected_calls`` counts finished calls whose
    connection was closed before they were answered. ``client_ports`` holds the client's
    port of each call, by which tests distinguish connections.
    ``GET /executions?body=TEXT`` returns the number of executions of a body.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(host, port)
        self.faults = PlainServiceFaults()
        self.n_executions_by_body: Counter[bytes] = Counter()
        self.n_executions_by_path: Counter[str] = Counter()
        self.n_finished_calls = 0
        self.n_disconnected_calls = 0
        self.client_ports: list[int] = []

    def build_app(self) -> web.Application:
        """Return the application; the fixed paths precede the route for any path."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/executions", self._get_executions)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_route("*", "/{path:.*}", self._execute)
        return app

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _get_executions(self, request: web.Request) -> web.Response:
        body = request.query["body"].encode()
        return web.json_response({"n_executions": self.n_executions_by_body[body]})

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        fault_names = {item.name for item in fields(PlainServiceFaults)}
        if set(body) - fault_names:
            return web.json_response({"error": "unknown fault"}, status=400)
        for name, value in body.items():
            setattr(self.faults, name, value)
        return web.json_response({})

    async def _execute(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.faults.drop_before_execute > 0:
            self.faults.drop_before_execute -= 1
            return abort_request(request)
        self.n_executions_by_path[request.path] += 1
        if request.transport is not None:
            self.client_ports.append(request.transport.get_extra_info("peername")[1])
        if request.method != "GET":
            self.n_executions_by_body[body] += 1
        if self.faults.stall_ms:
            await asyncio.sleep(self.faults.stall_ms / 1000)
        self.n_finished_calls += 1
        if request.transport is None or request.transport.is_closing():
            self.n_disconnected_calls += 1
        if self.faults.drop_after_execute > 0:
            self.faults.drop_after_execute -= 1
            return abort_request(request)
        return web.json_response(
            {
                "method": request.method,
                "path": request.path_qs,
                "body_sha256": hashlib.sha256(body).hexdigest(),
                "n_executions": self.n_executions_by_body[body],
            }
        )


def main() -> None:
    """Run the plain service as a process."""
    options = build_parser("plain service stand-in").parse_args()
    run_server(PlainServiceServer(options.host, options.port))


if __name__ == "__main__":
    main()
