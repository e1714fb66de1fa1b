"""Stand-in of the platform: table, object store, instance list and weight store."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, fields
from typing import Any

from aiohttp import web

from bluebellusher_core.clock import Clock, SystemClock
from bluebellusher_standins._server import (
    MAX_BODY_BYTES,
    StandInServer,
    abort_request,
    build_parser,
    run_server,
)
from bluebellusher_standins._table import Table, TableRow

__all__ = ["PlatformFaults", "PlatformServer", "Table", "TableRow"]

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
DOMAIN_HEADER = "X-Failure-Domain"


@dataclass(slots=True)
class PlatformFaults:
    """Faults that the platform currently simulates.

    Parameters
    ----------
    is_down : bool
        Every request is answered with status 503 and has no effect.
    delay_ms : int
        Time in ms before each request takes effect.
    lose_answers : int
        Number of the next writes that take effect but lose their answer.
    stale_ms : int
        Age in ms of the rows that eventual reads return.
    refuse_objects : bool
        Writes of objects are answered with status 503.
    cut_off_domains : list of str
        Failure domains that cannot reach the platform: requests with one of them in
        ``X-Failure-Domain`` have no effect and lose their connection.
    """

    is_down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    stale_ms: int = 0
    refuse_objects: bool = False
    cut_off_domains: list[str] = field(default_factory=list)


class WeightBudget:
    """Rate limit of the weight store: a token bucket that counts bytes.

    The bucket holds at most the bytes of one second.
    """

    def __init__(self, n_bytes_per_second: int, clock: Clock) -> None:
        self._bytes_per_s = n_bytes_per_second
        self._clock = clock
        self._n_available = float(n_bytes_per_second)
        self._updated_at_ms = clock.now_ms()

    def consume(self, n_bytes: int) -> int:
        """Consume ``n_bytes`` and return 0, or return the time to wait in ms."""
        now_ms = self._clock.now_ms()
        n_refilled = (now_ms - self._updated_at_ms) * self._bytes_per_s / 1000
        self._n_available = min(
            float(self._bytes_per_s), self._n_available + n_refilled
        )
        self._updated_at_ms = now_ms
        # A fetch larger than the bytes of one second is allowed when the bucket is full
        # and makes its level negative; otherwise it could never succeed.
        if self._n_available >= min(n_bytes, self._bytes_per_s):
            self._n_available -= n_bytes
            return 0
        n_missing = min(n_bytes, self._bytes_per_s) - self._n_available
        return max(1, int(n_missing * 1000 / self._bytes_per_s))


class PlatformServer(StandInServer):
    """HTTP server that imitates the four services of the platform on one port.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; with port 0, the kernel chooses the port.
    clock : Clock or None
        Time source of the lag and of eventual reads; ``None`` for the system clock.
    instance_lag_ms : int
        Age of the instance list that is returned, in ms.
    weight_bytes_per_second : int
        Rate limit of the weight store, in bytes per second.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Clock | None = None,
        instance_lag_ms: int = 1000,
        weight_bytes_per_second: int = 1_000_000_000,
    ) -> None:
        super().__init__(host, port)
        self.clock = clock or SystemClock()
        self.table = Table(self.clock)
        self.faults = PlatformFaults()
        self.object_by_name: dict[str, bytes] = {}
        self.n_requests = 0
        self._instance_lag_ms = instance_lag_ms
        self._instance_by_id: dict[str, dict[str, Any]] = {}
        self._instance_snapshots: list[tuple[int, list[dict[str, Any]]]] = []
        self._weights = WeightBudget(weight_bytes_per_second, self.clock)

    def set_instance(self, instance: dict[str, Any]) -> None:
        """Add an instance, or replace the instance with the same ``instance_id``."""
        self._instance_by_id[instance["instance_id"]] = instance
        self._store_instance_snapshot()

    def remove_instance(self, instance_id: str) -> None:
        """Remove an instance from the list."""
        self._instance_by_id.pop(instance_id, None)
        self._store_instance_snapshot()

    def _store_instance_snapshot(self) -> None:
        """Record the current instance list; the last 200 versions are kept."""
        snapshot = [dict(instance) for instance in self._instance_by_id.values()]
        self._instance_snapshots.append((self.clock.now_ms(), snapshot))
        del self._instance_snapshots[:-200]

    def build_app(self) -> web.Application:
        """Return the application with the routes of all services and of the faults."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        app.router.add_post("/table/transact", self._transact)
        app.router.add_get("/table/row", self._get_row)
        app.router.add_get("/table/rows", self._get_rows)
        app.router.add_get("/objects", self._list_objects)
        app.router.add_put("/objects/{name:.+}", self._put_object)
        app.router.add_get("/objects/{name:.+}", self._get_object, allow_head=False)
        app.router.add_get("/instances", self._get_instances)
        app.router.add_put("/instances/{id}", self._put_instance)
        app.router.add_delete("/instances/{id}", self._delete_instance)
        app.router.add_post("/weights/fetch", self._fetch_weights)
        app.router.add_post("/faults", self._set_faults)
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path == "/faults":
            return await handler(request)
        self.n_requests += 1
        if request.headers.get(DOMAIN_HEADER) in self.faults.cut_off_domains:
            return abort_request(request)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.is_down:
            return web.json_response({"error": "down"}, status=503)
        try:
            return await handler(request)
        except (KeyError, TypeError, ValueError) as error:
            reason = f"{type(error).__name__}: {error}"
            return web.json_response({"error": reason}, status=400)

    def _respond_to_write(
        self, request: web.Request, response: web.Response
    ) -> web.Response:
        """Return the response to a write, or lose it if a fault demands that."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return abort_request(request)
        return response

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        conditions = {c["key"]: int(c["version"]) for c in body.get("conditions", ())}
        puts = {put["key"]: put["value"] for put in body.get("puts", ())}
        result = self.table.transact(conditions, puts, body.get("deletes", ()))
        if isinstance(result, int):
            response = web.json_response({"version": result})
            return self._respond_to_write(request, response)
        conflicts = [_row_to_json(row) for row in result]
        return web.json_response({"conflicts": conflicts}, status=409)

    async def _get_row(self, request: web.Request) -> web.Response:
        is_eventual = request.query.get("consistency", "strong") == "eventual"
        stale_ms = self.faults.stale_ms if is_eventual else 0
        row = self.table.read(request.query["key"], stale_ms)
        return web.json_response(_row_to_json(row))

    async def _get_rows(self, request: web.Request) -> web.Response:
        rows = self.table.read_prefix(request.query["prefix"])
        return web.json_response({"rows": [_row_to_json(row) for row in rows]})

    async def _put_object(self, request: web.Request) -> web.Response:
        if self.faults.refuse_objects:
            return web.json_response({"error": "refused"}, status=503)
        name = request.match_info["name"]
        data = await request.read()
        is_create = request.headers.get("If-None-Match") == "*"
        if is_create and name in self.object_by_name:
            return web.json_response({"error": "exists"}, status=412)
        self.object_by_name[name] = data
        return self._respond_to_write(request, web.json_response({"name": name}))

    async def _get_object(self, request: web.Request) -> web.Response:
        data = self.object_by_name.get(request.match_info["name"])
        if data is None:
            return web.json_response({"error": "absent"}, status=404)
        return web.Response(body=data, content_type="application/octet-stream")

    async def _list_objects(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        names = sorted(n for n in self.object_by_name if n.startswith(prefix))
        return web.json_response({"objects": names})

    async def _get_instances(self, request: web.Request) -> web.Response:
        at_ms = self.clock.now_ms() - self._instance_lag_ms
        visible: list[dict[str, Any]] = []
        for changed_at_ms, snapshot in self._instance_snapshots:
            if changed_at_ms <= at_ms:
                visible = snapshot
        return web.json_response({"instances": visible})

    async def _put_instance(self, request: web.Request) -> web.Response:
        instance = await request.json()
        self.set_instance({**instance, "instance_id": request.match_info["id"]})
        return web.json_response({})

    async def _delete_instance(self, request: web.Request) -> web.Response:
        self.remove_instance(request.match_info["id"])
        return web.json_response({})

    async def _fetch_weights(self, request: web.Request) -> web.Response:
        body = await request.json()
        wait_ms = self._weights.consume(int(body["n_bytes"]))
        if not wait_ms:
            return web.json_response({"expert_id": body["expert_id"]})
        headers = {"Retry-After": str(-(-wait_ms // 1000))}
        return web.json_response({"error": "rate"}, status=429, headers=headers)

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = json.loads(await request.text())
        fault_names = {item.name for item in fields(PlatformFaults)}
        unknown_names = set(body) - fault_names
        if unknown_names:
            return web.json_response({"error": f"unknown {unknown_names}"}, status=400)
        for name, value in body.items():
            setattr(self.faults, name, value)
        return web.json_response({})


def _row_to_json(row: TableRow) -> dict[str, Any]:
    return {"key": row.key, "version": row.version, "value": row.value}


def main() -> None:
    """Run the platform stand-in as a process."""
    parser = build_parser("platform stand-in")
    parser.add_argument("--instance-lag-ms", type=int, default=1000)
    parser.add_argument("--weight-bytes-per-second", type=int, default=10**9)
    options = parser.parse_args()
    server = PlatformServer(
        options.host,
        options.port,
        instance_lag_ms=options.instance_lag_ms,
        weight_bytes_per_second=options.weight_bytes_per_second,
    )
    run_server(server)


if __name__ == "__main__":
    main()
