"""Stand-in of a model engine with batching, prefix cache, streams and faults."""

import asyncio
import contextlib
import os
from dataclasses import fields
from typing import Any

from aiohttp import web

from bluebellusher_core.clock import Clock, SystemClock
from bluebellusher_standins._batching import Batcher
from bluebellusher_standins._engine_logs import CacheEventLog, LoadLog, OrderLog
from bluebellusher_standins._engine_settings import EngineFaults, EngineSettings
from bluebellusher_standins._generation import (
    Generation,
    compute_expected_answer,
    compute_expected_tokens,
)
from bluebellusher_standins._prefix_cache import PrefixCache
from bluebellusher_standins._server import (
    MAX_BODY_BYTES,
    StandInServer,
    abort_request,
    build_parser,
    run_server,
)

__all__ = ["EngineFaults", "EngineServer", "EngineSettings", "compute_expected_answer"]
__all__ += ["compute_expected_tokens"]

PRIORITY_BY_NAME = {"high": 0, "normal": 1, "low": 2, "0": 0, "1": 1, "2": 2}


class EngineServer(StandInServer):
    """HTTP server that imitates a model engine.

    For tests, ``received_bodies`` records the bodies of accepted requests and
    ``cancelled_attempts`` the attempt ids of all cancel calls.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(host, port)
        self.settings = settings or EngineSettings()
        self.clock = clock or SystemClock()
        self.faults = EngineFaults()
        self.n_crashes = 0
        self.received_bodies: list[bytes] = []
        self.cancelled_attempts: list[str] = []
        self.orders = OrderLog(self.settings.checks_fencing_token)
        self._tasks: set[asyncio.Task[None]] = set()
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self._reset()

    def _reset(self) -> None:
        settings = self.settings
        self.boot_id = os.urandom(4).hex()
        self.models = list(settings.models)
        self.adapters = list(settings.adapters)
        self.cache = PrefixCache(settings.n_cache_blocks)
        self.cache_log = CacheEventLog(settings.cache_event_lag_ms)
        self.load_log = LoadLog(settings.load_lag_ms)
        self._generation_by_id: dict[str, Generation] = {}
        self.batcher = Batcher(
            settings.n_slots,
            settings.token_interval_ms,
            settings.prefill_tokens_per_ms,
            self.cache,
            self._record_cache_change,
            self._check_for_crash,
        )

    def build_app(self) -> web.Application:
        """Return the application with the routes of an engine and of the faults."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        app.router.add_post("/v1/chat/completions", self._handle_completion)
        app.router.add_delete("/attempts/{id}", self._handle_cancel)
        app.router.add_get("/load", self._get_load)
        app.router.add_get("/cache-events", self._get_cache_events)
        app.router.add_post("/orders", self._handle_order)
        app.router.add_get("/healthz", self._get_health)
        app.router.add_post("/faults", self._set_faults)
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path != "/faults":
            await self._unfrozen.wait()
        response: web.StreamResponse = await handler(request)
        return response

    def set_faults(self, **values: Any) -> None:
        """Change the simulated faults.

        Faults must be changed only by this method, which also applies them to the
        batch and to frozen requests.

        Raises
        ------
        ValueError
            When a fault does not exist.
        """
        fault_names = {item.name for item in fields(EngineFaults)}
        if set(values) - fault_names:
            raise ValueError(f"faults {sorted(values)}: expected {sorted(fault_names)}")
        for name, value in values.items():
            setattr(self.faults, name, value)
        self.batcher.is_stalled = self.faults.is_stalled or self.faults.is_frozen
        if self.faults.is_frozen:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()

    async def crash(self) -> None:
        """Lose all connections and state; listen again after ``restart_ms``."""
        self.n_crashes += 1
        if self.settings.exits_on_crash:
            os._exit(70)
        self.batcher.clear()
        if self.settings.restart_ms == 0:
            self._reset()
            self.abort_connections()
            return
        await self.stop()
        self._reset()
        await asyncio.sleep(self.settings.restart_ms / 1000)
        await self.start()

    def start_crash(self) -> None:
        """Start a crash in a background task."""
        task = asyncio.get_running_loop().create_task(self.crash())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _check_for_crash(self, generation: Generation) -> None:
        """Start a crash if the request body contains the crash marker."""
        marker = self.settings.crash_marker.encode()
        if marker and marker in generation.raw_body:
            self.start_crash()

    def _record_cache_change(self, added: list[int], removed: list[int]) -> None:
        self.cache_log.append(self.clock.now_ms(), added, removed)

    async def _handle_completion(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.headers.get("X-Attempt-Id") or os.urandom(8).hex()
        offset_text = request.headers.get("X-Resume-Offset", "")
        if offset_text:
            return await self._resume_stream(request, attempt_id, int(offset_text))
        if attempt_id in self._generation_by_id:
            return web.json_response({"error": "duplicate attempt"}, status=409)
        raw_body = await request.read()
        try:
            name = request.headers.get("X-Priority", "normal").lower()
            priority = PRIORITY_BY_NAME.get(name, 1)
            generation = Generation.from_request(attempt_id, raw_body, priority)
        except (AttributeError, TypeError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        self.received_bodies.append(raw_body)
        self._generation_by_id[attempt_id] = generation
        self.batcher.submit(generation)
        return await self._send_answer(request, generation, 0)

    async def _resume_stream(
        self, request: web.Request, attempt_id: str, offset: int
    ) -> web.StreamResponse:
        generation = self._generation_by_id.get(attempt_id)
        is_held = generation is not None and not self.faults.refuse_resumes
        if generation is None or not is_held or offset > len(generation.data):
            return web.json_response({"error": "stream not held"}, status=410)
        return await self._send_answer(request, generation, offset)

    async def _send_answer(
        self, request: web.Request, generation: Generation, offset: int
    ) -> web.StreamResponse:
        while not (generation.data or generation.is_cancelled):
            generation.changed.clear()
            await generation.changed.wait()
        if generation.is_cancelled:
            return abort_request(request)
        response = web.StreamResponse(headers=self._answer_headers(generation, offset))
        try:
            await response.prepare(request)
            await self._send_output(request, response, generation, offset)
        except ConnectionError:
            self._schedule_release(generation)
            return response
        if generation.is_finished:
            self._schedule_release(generation)
        return response

    def _answer_headers(self, generation: Generation, offset: int) -> dict[str, str]:
        attempt_id = generation.attempt_id
        if self.faults.cross_attempts > 0:
            self.faults.cross_attempts -= 1
            attempt_id = "another-attempt"
        is_stream = generation.is_stream
        return {
            "Content-Type": "text/event-stream" if is_stream else "application/json",
            "X-Attempt-Id": attempt_id,
            "X-Cached-Tokens": str(generation.n_cached_tokens),
            "X-Resume-Offset": str(offset),
        }

    async def _send_output(
        self,
        request: web.Request,
        response: web.StreamResponse,
        generation: Generation,
        offset: int,
    ) -> None:
        while True:
            if generation.is_cancelled:
                abort_request(request)
                return
            generation.changed.clear()
            if offset < len(generation.data):
                data = bytes(generation.data[offset:])
                await response.write(data)
                offset += len(data)
            if generation.is_finished and offset == len(generation.data):
                await response.write_eof()
                return
            if self.faults.mute_streams > 0:
                self.faults.mute_streams -= 1
                await asyncio.Event().wait()
            if self._apply_stream_fault(request):
                return
            if not generation.is_finished and offset == len(generation.data):
                await generation.changed.wait()

    def _apply_stream_fault(self, request: web.Request) -> bool:
        """Apply the next fault of a stream; return whether the stream must end.

        Raises
        ------
        ConnectionResetError
            When the fault ``break_streams`` aborted the connection.
        """
        if self.faults.break_streams > 0:
            self.faults.break_streams -= 1
            abort_request(request)
            raise ConnectionResetError("connection lost by the fault break_streams")
        if self.faults.truncate_streams > 0:
            self.faults.truncate_streams -= 1
            return True
        return False

    def _schedule_release(self, generation: Generation) -> None:
        """Release a generation after ``hold_ms``; it can be resumed until then."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.settings.hold_ms / 1000, self._release, generation)

    def _release(self, generation: Generation) -> None:
        """Cancel a generation and discard its state."""
        generation.cancel()
        if self._generation_by_id.get(generation.attempt_id) is generation:
            del self._generation_by_id[generation.attempt_id]

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        attempt_id = request.match_info["id"]
        self.cancelled_attempts.append(attempt_id)
        generation = self._generation_by_id.get(attempt_id)
        if generation is None:
            return web.json_response({"error": "unknown attempt"}, status=404)
        self._release(generation)
        return web.json_response({})

    async def _get_load(self, request: web.Request) -> web.Response:
        now_ms = self.clock.now_ms()
        reading = {
            "n_running": len(self.batcher.running),
            "n_queued": self.batcher.n_waiting,
            "n_queued_tokens": self.batcher.count_queued_tokens(),
            "n_slots": self.settings.n_slots,
            "kv_use": round(len(self.cache) / max(1, self.cache.n_blocks), 4),
            "models": list(self.models),
            "adapters": list(self.adapters),
            "is_draining": self.faults.is_draining,
            "boot_id": self.boot_id,
        }
        return web.json_response(self.load_log.record_and_read(now_ms, reading))

    async def _get_cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        gap_every = self.settings.cache_gap_every
        events = self.cache_log.read(after, self.clock.now_ms(), gap_every)
        return web.json_response({"boot_id": self.boot_id, "events": events})

    async def _handle_order(self, request: web.Request) -> web.Response:
        body = await request.json()
        try:
            min_token = self.orders.execute(body)
        except (KeyError, TypeError, ValueError) as error:
            return web.json_response({"error": repr(error)}, status=400)
        if min_token is not None:
            answer = {"error": "old fencing token", "fencing_token": min_token}
            return web.json_response(answer, status=409)
        self._apply_order(body)
        return web.json_response({"order_id": body["order_id"]})

    def _apply_order(self, body: dict[str, Any]) -> None:
        arguments = body.get("arguments") or {}
        action, name = body["action"], str(arguments.get("name", ""))
        names = self.adapters if action.endswith("adapter") else self.models
        if action.startswith("load_") and name not in names:
            names.append(name)
        elif action.startswith("unload_"):
            with contextlib.suppress(ValueError):
                names.remove(name)
        elif action == "drain":
            self.faults.is_draining = True

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok", "boot_id": self.boot_id})

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            self.set_faults(**await request.json())
        except (TypeError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response({})


def main() -> None:
    """Run the engine as a process; each setting is an option of the same name."""
    parser = build_parser("engine stand-in")
    for item in fields(EngineSettings):
        parser.add_argument("--" + item.name.replace("_", "-"), default=None)
    options = vars(parser.parse_args())
    host, port = options.pop("host"), options.pop("port")
    given_options = {name: text for name, text in options.items() if text is not None}
    settings = EngineSettings()
    for name, text in given_options.items():
        setattr(settings, name, _parse_setting(getattr(settings, name), text))
    run_server(EngineServer(settings, host, port))


def _parse_setting(default: Any, text: str) -> Any:
    if isinstance(default, bool):
        return text.lower() in ("1", "true", "yes")
    if isinstance(default, list):
        return [part for part in text.split(",") if part]
    return type(default)(text)


if __name__ == "__main__":
    main()
