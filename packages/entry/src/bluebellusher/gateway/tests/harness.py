"""A gateway server in front of endpoints that the test scripts, in one process."""

import asyncio
import contextlib
from random import Random
from types import SimpleNamespace

import aiohttp
import uvloop
from aiohttp import web
from yarl import URL

from bluebellusher.gateway._admission import Admission, Patience
from bluebellusher.gateway._attempts import HttpDispatcher
from bluebellusher.gateway._server import CallerServer
from bluebellusher.observability import KeyValueLog, Metrics, Tracer
from bluebellusher.ports import AnswerFields, CallerFields
from bluebellusher.runtime import Runtime
from bluebellusher.settings import GatewaySettings
from bluebellusher.shared import Directory
from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.clock import SystemClock
from bluebellusher_core.directory import (
    Customer,
    EndpointRegistration,
    RequestKind,
    Route,
    RoutingTable,
    Service,
)
from bluebellusher_core.effects import BroadcastCrashes, BroadcastLeaving, CheckEndpoint
from bluebellusher_core.events import EndpointInfo, EndpointRegistered
from bluebellusher_core.reducer import EntryConfig, EntryState
from bluebellusher_core.routing import SlotAware

HOST = "127.0.0.1"
ANY_PORT = f"{HOST}:0"
# The parts of an entry whose tables a test leaves empty.
CODEC = SimpleNamespace(routing_table="op", routing_key="k", registration_table="s")


def make_settings(**options):
    """Return settings of an entry on ports that the kernel chooses."""
    values = {
        "instance_id": "e",
        "failure_domain": "d",
        "shared_secret": "a-secret-of-sixteen-characters",
        "callers": ANY_PORT,
        "readiness": ANY_PORT,
        "peers": ANY_PORT,
        "store": "127.0.0.1:1",
        "agent_port": 1,
        "shutdown_grace_s": 1,
    }
    return GatewaySettings(**{**values, **options})


class PlainDialect:
    """Headers with short names."""

    def read_caller(self, headers):
        """Return what a caller's headers say."""
        remaining = headers.get("Remaining")
        if remaining is not None and not remaining.isdigit():
            raise ValueError(f"Remaining: found {remaining!r}: expected milliseconds")
        return CallerFields(
            attempt_id=self.read_attempt_id(headers),
            credential=headers.get("Key", ""),
            remaining_ms=int(remaining) if remaining else None,
            last_event_id=headers.get("Last-Event-Id", ""),
        )

    def read_attempt_id(self, headers):
        """Return the id that the caller gave its attempt."""
        return headers.get("Attempt", "")

    def write_attempt(self, headers, fields):
        """Return the headers of an attempt."""
        dropped = {"content-length", "transfer-encoding", "connection", "key"}
        dropped |= {"last-event-id", "remaining"}
        sent = [item for item in headers if item[0].lower() not in dropped]
        sent.append(("Remaining", str(fields.remaining_ms)))
        sent.append(("Endpoint", fields.endpoint_id))
        sent.append(("Customer", fields.customer_id))
        if fields.last_event_id:
            sent.append(("Last-Event-Id", fields.last_event_id))
        return sent

    def read_answer(self, status, headers):
        """Return what an endpoint's answer says."""
        return AnswerFields(
            attempt_id=headers.get("Attempt", ""),
            is_not_run="Not-Run" in headers,
            is_wrong_endpoint=status == 421,
            is_authentic="Seal" in headers,
            is_leaving="Leaving" in headers,
            pause_ms=int(headers.get("Pause-Ms", "0")),
        )


class ScriptedEndpoint:
    """An endpoint that answers by a function of the test."""

    def __init__(self, endpoint_id, answer):
        self.endpoint_id = endpoint_id
        self.answer = answer
        self.received = []
        self.has_received = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.port = 0
        self._server = None

    async def start(self):
        """Listen."""
        server = web.Server(self._handle, handler_cancellation=True, access_log=None)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(server, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _handle(self, request):
        body = await request.read()
        self.received.append((request, body))
        self.has_received.set()
        try:
            return await self.answer(request, body)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise

    def close(self):
        """Accept no more."""
        self._server.close()


class Recorder:
    """Keeps log lines."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        """Keep one line."""
        self.lines.append(text)

    def count(self, event):
        """Return how many lines tell of an event."""
        return len(self.lines_of(event))

    def lines_of(self, event):
        """Return the lines that tell of an event."""
        return [line for line in self.lines if f"event={event} " in f"{line} "]


class Harness:
    """Everything between a caller and scripted endpoints."""

    def __init__(
        self,
        endpoints,
        routes=None,
        customers=None,
        n_crashes_to_block=0,
        dialect=None,
    ):
        self.endpoints = endpoints
        self.recorder = Recorder()
        self.log = KeyValueLog.from_config("info", self.recorder)
        clock = SystemClock()
        config = EntryConfig(
            "entry",
            resume_wait_ms=500,
            no_endpoint_grace_ms=100,
            n_crashes_to_block=n_crashes_to_block,
        )
        self.state = EntryState.from_config(config, SlotAware("here"), ObjectiveQueue)
        tracer = Tracer(self.log)
        dialect = dialect or PlainDialect()
        metrics = Metrics()
        self.dispatcher = HttpDispatcher(dialect, self.find, clock, tracer, metrics)
        self.runtime = Runtime(
            self.state, clock, self.log, metrics, tracer, self.dispatcher
        )
        self.dispatcher.sink = self.runtime
        self.runtime.register(CheckEndpoint, self.dispatcher.check)
        self.runtime.register(BroadcastCrashes, self.told)
        self.runtime.register(BroadcastLeaving, self.told)
        self.directory = Directory(None, self.runtime.post, clock, self.runtime)
        services = [Service("desk", 10)]
        self.directory.routing = RoutingTable.from_parts(
            1, routes or [make_route()], services, customers
        )
        admission = Admission(dialect, Patience(), Random(1))
        ids = iter(range(1_000_000))
        self.server = CallerServer(
            self.runtime, self.directory, admission, lambda: f"r{next(ids)}"
        )
        self.port = 0
        self.session = None

    def told(self, effect):
        """Take what would be told to peers."""

    def find(self, endpoint_id):
        """Return where an endpoint listens."""
        for endpoint in self.endpoints:
            if endpoint.endpoint_id == endpoint_id:
                return EndpointRegistration(
                    endpoint_id, "desk", HOST, endpoint.port, "here", 4, False
                )
        return None

    async def start(self):
        """Start endpoints, gateway and a caller."""
        await self.dispatcher.open()
        for endpoint in self.endpoints:
            await endpoint.start()
            info = EndpointInfo(
                endpoint.endpoint_id,
                "here",
                frozenset({"desk"}),
                frozenset(),
                frozenset(),
                4,
            )
            self.runtime.post(EndpointRegistered(info))
        await self.server.listen(HOST, 0)
        self.port = self.server._listener.sockets[0].getsockname()[1]
        self.session = aiohttp.ClientSession(auto_decompress=False)

    async def stop(self):
        """Close everything."""
        await self.session.close()
        self.server.stop_accepting()
        await self.server.close()
        await self.dispatcher.close()
        self.runtime.close()
        self.log.close()
        for endpoint in self.endpoints:
            endpoint.close()

    def request(self, method="GET", path="/a/x", **options):
        """Return a request of the caller, as a context manager."""
        headers = {"Host": "h.example", "Attempt": "t1", "Remaining": "3000"}
        headers.update(options.pop("headers", {}))
        url = URL(f"http://{HOST}:{self.port}{path}", encoded=True)
        return self.session.request(method, url, headers=headers, **options)

    async def fetch(self, method="GET", path="/a/x", **options):
        """Return status, headers and body of a request."""
        async with self.request(method, path, **options) as response:
            return response.status, response.headers, await response.read()


def make_route(kind=RequestKind.IDEMPOTENT, **options):
    """Return a route to the service ``desk``."""
    values = {
        "route_id": "r",
        "host": "h.example",
        "path_prefix": "/a/",
        "kind": kind,
        "timeout_ms": 2_000,
        "objective_ms": 300,
        "max_gap_ms": 100,
        "priority": 1,
        "n_max_attempts": 2,
        "weight_by_service": {"desk": 1},
    }
    return Route(**{**values, **options})


def make_customer(credential):
    """Return a customer with one credential."""
    return Customer("tenant", (credential,), 1)


async def answer_whole(request, body):
    """Answer with a sealed body."""
    headers = {"Seal": "s", "Attempt": request.headers["Attempt"]}
    return web.Response(body=b"whole", headers=headers)


def run(scenario, answers, endpoints=(), **options):
    """Run a scenario with one endpoint for each answer function, and others."""

    async def main():
        scripted = [
            ScriptedEndpoint(f"x{i}", answer) for i, answer in enumerate(answers)
        ]
        harness = Harness([*scripted, *endpoints], **options)
        await harness.start()
        try:
            async with asyncio.timeout(20):
                await scenario(harness)
        finally:
            with contextlib.suppress(Exception):
                await harness.stop()

    uvloop.run(main())
