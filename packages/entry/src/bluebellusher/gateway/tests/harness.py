"""Gateway, caller and scripted endpoints that communicate over sockets in a test."""

import asyncio
import contextlib
from random import Random
from types import SimpleNamespace

import uvloop
from aiohttp import web
from yarl import URL

from bluebellusher.gateway._admission import Admission, StreamTimeouts
from bluebellusher.gateway._attempts import HttpDispatcher
from bluebellusher.gateway._server import CallerServer
from bluebellusher.links import open_session
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
from bluebellusher_core.effects import (
    AbandonAttempt,
    BroadcastCrashes,
    BroadcastEnded,
    BroadcastLeaving,
    BroadcastLimits,
    BroadcastSilent,
    CheckEndpoint,
)
from bluebellusher_core.events import EndpointInfo, EndpointRegistered
from bluebellusher_core.reducer import EntryConfig, EntryState
from bluebellusher_core.routing import SlotAware

HOST = "127.0.0.1"
ANY_PORT_ADDRESS = f"{HOST}:0"
# Table names for an entry whose tables stay empty, so that it decodes no row.
CODEC = SimpleNamespace(routing_table="op", routing_key="k", registration_table="s")


def make_settings(**options):
    """Return settings of an entry that listens on ports chosen by the kernel."""
    values = {
        "instance_id": "e",
        "failure_domain": "d",
        "shared_secret": "a-secret-of-sixteen-characters",
        "callers": ANY_PORT_ADDRESS,
        "readiness": ANY_PORT_ADDRESS,
        "peers": ANY_PORT_ADDRESS,
        "store": "127.0.0.1:1",
        "agent_port": 1,
        "shutdown_grace_s": 1,
    }
    return GatewaySettings(**{**values, **options})


class PlainDialect:
    """Dialect with short header names, without a platform's prefix."""

    def read_caller(self, headers):
        """Return the fields in a caller's headers."""
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
        """Return the attempt id that the caller chose; empty for none."""
        return headers.get("Attempt", "")

    def write_attempt(self, headers, fields):
        """Return the headers of an attempt, derived from those of the caller."""
        dropped_names = {"content-length", "transfer-encoding", "connection", "key"}
        dropped_names |= {"last-event-id", "remaining"}
        attempt_headers = [
            item for item in headers if item[0].lower() not in dropped_names
        ]
        attempt_headers.append(("Remaining", str(fields.remaining_ms)))
        attempt_headers.append(("Endpoint", fields.endpoint_id))
        attempt_headers.append(("Customer", fields.customer_id))
        if fields.last_event_id:
            attempt_headers.append(("Last-Event-Id", fields.last_event_id))
        return attempt_headers

    def read_answer(self, status, headers):
        """Return the fields in the status and headers of an answer."""
        return AnswerFields(
            attempt_id=headers.get("Attempt", ""),
            is_not_run="Not-Run" in headers,
            is_wrong_endpoint=status == 421,
            is_authentic="Seal" in headers,
            is_leaving="Leaving" in headers,
            pause_ms=int(headers.get("Pause-Ms", "0")),
            max_requests_per_s=float(headers["Limit"]) if "Limit" in headers else None,
        )


class ScriptedEndpoint:
    """HTTP endpoint that calls a function of the test for each request.

    ``has_received`` is set by the first request, and ``cancelled`` when the entry
    closes the connection of a request in progress.
    """

    def __init__(self, endpoint_id, answer):
        self.endpoint_id = endpoint_id
        self.answer = answer
        self.received = []
        self.has_received = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.port = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
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
        """Close the port; connections that are already open stay open."""
        self._server.close()


class LogRecorder:
    """Log output that keeps its lines in memory."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        """Record one line."""
        self.lines.append(text)

    def count(self, event):
        """Return the number of lines of an event."""
        return len(self.get_lines(event))

    def get_lines(self, event):
        """Return the lines of an event."""
        return [line for line in self.lines if f"event={event} " in f"{line} "]


class Harness:
    """Entry without a store and peers, with a caller and scripted endpoints.

    Parameters
    ----------
    endpoints : list
        Endpoints to start and register, all of the service ``desk``.
    routes : list of Route, optional
        Routes in force; by default an idempotent one to the service ``desk``.
    customers : list of Customer, optional
        Customers in force; without any, no credential is needed.
    n_crashes_to_block : int
        Number of crashes that blocks a request; 0 to count none.
    dialect : Dialect, optional
        Header names; by default those of ``PlainDialect``.
    stream_timeouts : StreamTimeouts, optional
        Timeouts of callers that wait for an event of a stream.
    **config_options
        Further settings of the entry's decisions (``EntryConfig``).
    """

    def __init__(
        self,
        endpoints,
        routes=None,
        customers=None,
        n_crashes_to_block=0,
        dialect=None,
        stream_timeouts=None,
        **config_options,
    ):
        self.endpoints = endpoints
        self.recorder = LogRecorder()
        self.log = KeyValueLog.from_config("info", self.recorder)
        clock = SystemClock()
        config = EntryConfig(
            "entry",
            resume_wait_ms=500,
            no_endpoint_grace_ms=100,
            n_crashes_to_block=n_crashes_to_block,
            **config_options,
        )
        self.state = EntryState.from_config(config, SlotAware("here"), ObjectiveQueue)
        tracer = Tracer(self.log)
        dialect = dialect or PlainDialect()
        metrics = Metrics()
        self.dispatcher = HttpDispatcher(
            dialect,
            self.find_registration,
            clock,
            tracer,
            metrics,
            is_limited=self.state.endpoints.limits.is_limited,
        )
        self.runtime = Runtime(
            self.state, clock, self.log, metrics, tracer, self.dispatcher
        )
        self.dispatcher.sink = self.runtime
        self.runtime.register(CheckEndpoint, self.dispatcher.check_endpoint)
        self.runtime.register(AbandonAttempt, self.dispatcher.abandon)
        self.runtime.register(BroadcastCrashes, self.ignore_effect)
        self.runtime.register(BroadcastEnded, self.ignore_effect)
        self.runtime.register(BroadcastSilent, self.ignore_effect)
        self.runtime.register(BroadcastLeaving, self.ignore_effect)
        self.runtime.register(BroadcastLimits, self.ignore_effect)
        self.directory = Directory(None, self.runtime.post, clock, self.runtime)
        services = [Service("desk", 10)]
        self.directory.routing = RoutingTable.from_parts(
            1, routes or [make_route()], services, customers
        )
        timeouts = stream_timeouts or StreamTimeouts()
        admission = Admission(dialect, timeouts, Random(1))
        ids = iter(range(1_000_000))
        self.server = CallerServer(
            self.runtime, self.directory, admission, lambda: f"r{next(ids)}"
        )
        self.port = 0
        self.session = None

    def ignore_effect(self, effect):
        """Ignore an effect that broadcasts to peers."""

    def find_registration(self, endpoint_id):
        """Return the registration of an endpoint, or None."""
        for endpoint in self.endpoints:
            if endpoint.endpoint_id == endpoint_id:
                return EndpointRegistration(
                    endpoint_id, "desk", HOST, endpoint.port, "here", 4, False
                )
        return None

    async def start(self):
        """Start the endpoints, the caller server and the caller's session."""
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
        # The caller must see each failure, so that it sends each request once, too.
        self.session = open_session(auto_decompress=False)

    async def stop(self):
        """Close the session, the entry and the endpoints."""
        await self.session.close()
        self.server.stop_accepting()
        await self.server.close()
        await self.dispatcher.close()
        self.runtime.close()
        self.log.close()
        for endpoint in self.endpoints:
            endpoint.close()

    def request(self, method="GET", path="/a/x", **options):
        """Return a context manager that sends a request and yields its response."""
        headers = {"Host": "h.example", "Attempt": "t1", "Remaining": "3000"}
        headers.update(options.pop("headers", {}))
        url = URL(f"http://{HOST}:{self.port}{path}", encoded=True)
        return self.session.request(method, url, headers=headers, **options)

    async def fetch(self, method="GET", path="/a/x", **options):
        """Send a request and return the status, headers and body of the response."""
        async with self.request(method, path, **options) as response:
            return response.status, response.headers, await response.read()


def make_route(kind=RequestKind.IDEMPOTENT, **options):
    """Return a route to the service ``desk``; options replace its fields."""
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
    """Return the customer ``tenant`` with one credential."""
    return Customer("tenant", (credential,), 1)


async def answer_sealed(request, body):
    """Return a complete answer with a seal."""
    headers = {"Seal": "s", "Attempt": request.headers["Attempt"]}
    return web.Response(body=b"whole", headers=headers)


def run_scenario(scenario, answers, endpoints=(), **options):
    """Run a scenario against a started harness and stop the harness afterwards.

    There is one ``ScriptedEndpoint``, named ``x0``, ``x1`` and so on, for each function
    in ``answers``, followed by the given ``endpoints``. The scenario times out after 20
    seconds. Options are passed to ``Harness``.
    """

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
