"""Construction, start and graceful shutdown of one entry."""

import asyncio
import contextlib
import ctypes
import gc
import itertools
import signal
from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

import uvloop

from bluebellusher.allowance import SpendingLimiter
from bluebellusher.cli._status import EntryStatus
from bluebellusher.links import AgentLinks, Identity, LinkTicker, PeerLinks
from bluebellusher.observability import KeyValueLog, Metrics, Tracer
from bluebellusher.platform import PlatformClient
from bluebellusher.rollout import ConfigRollout
from bluebellusher.runtime import (
    AgentDispatcher,
    ClaimWriter,
    EndpointDiscovery,
    PeerExchange,
    PlatformStore,
    Runtime,
)
from bluebellusher.server import HttpServer
from bluebellusher.settings import AddressSettings, Settings
from bluebellusher_core.admission import FairQueue
from bluebellusher_core.clock import Clock, SystemClock
from bluebellusher_core.events import ShutdownStarted
from bluebellusher_core.reducer import EntryConfig, EntryState
from bluebellusher_core.routing import PredictedLatency

# Interval in seconds at which a shutdown checks whether callers have closed their
# connections and whether claims have been written.
_SHUTDOWN_POLL_S = 0.02
# Time in milliseconds that a shutdown waits, after the last request, for writes of
# claims and outcomes. A claim whose outcome is not written stays ``claimed``, which is
# safe: its outcome is unknown, and a retry with the same key is not run.
_CLAIMS_GRACE_MS = 3_000


class Entry:
    """One entry: its state, its links to agents and peers, HTTP server and store."""

    def __init__(self, settings: Settings, clock: Clock, log: KeyValueLog) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.incarnation = clock.wall_ms()
        random_state = Random(f"{settings.instance_id}.{self.incarnation}")
        self.state = _make_state(settings, self.incarnation, random_state)
        limits = settings.limits
        tracer = Tracer(log)
        dispatcher = AgentDispatcher(clock, tracer, limits.stream_window_bytes)
        self.runtime = Runtime(self.state, clock, log, Metrics(), tracer, dispatcher)
        self.ticker = LinkTicker(clock, asyncio.get_running_loop())
        identity = _make_identity(settings, self.incarnation)
        link_arguments = (identity, self.runtime, self.ticker, clock, random_state)
        self.agents = dispatcher.agents = AgentLinks(*link_arguments)
        self.status = EntryStatus(self)
        self.peer_exchange = PeerExchange(self.runtime, clock, self.status.make_digest)
        self.peers = PeerLinks(*link_arguments, self.peer_exchange)
        self.peer_exchange.links = self.peers
        self.platform = PlatformClient(
            settings.platform_url, settings.failure_domain, limits.platform_timeout_ms
        )
        store = PlatformStore(self.platform)
        claims = ClaimWriter(store, self.runtime, settings.instance_id)
        self.runtime.attach(claims, store)
        self.rollout = ConfigRollout.from_parts(
            settings,
            self.runtime,
            clock,
            self.peers,
            self.platform,
            self.status.make_digest,
            random_state,
        )
        self.spending = SpendingLimiter.from_parts(
            settings,
            self.incarnation,
            self.rollout.in_force,
            self.platform,
            clock,
            random_state,
        )
        self.discovery = _make_discovery(self)
        self._discovery_task: asyncio.Task[None] | None = None
        counter = itertools.count(1)
        prefix = f"{settings.instance_id}.{self.incarnation}"
        self.server = HttpServer(
            settings,
            self.runtime,
            store,
            self.status,
            lambda: f"{prefix}.r{next(counter)}",
            (self.rollout.pages,),
            self.spending,
        )

    async def start(self) -> None:
        """Listen for peers and callers, then connect to agents and peers."""
        self.ticker.start()
        self.ticker.add_callback(self.peer_exchange.tick)
        address = self.settings.peer_listen
        peer_port = await self.peers.listen(address.host, address.port)
        http_port = await self.server.start()
        self.agents.dial(_to_host_ports(self.settings.agents))
        self._discovery_task = asyncio.create_task(self.discovery.run())
        self.rollout.start(self.peer_exchange, self.ticker)
        self.spending.start()
        self.peers.dial(_to_host_ports(self.settings.peers))
        self.log.event(
            "listening",
            instance=self.settings.instance_id,
            host=self.settings.http.host,
            port=http_port,
            peer_port=peer_port,
        )

    async def stop(self) -> None:
        """Finish all requests in progress, then close all connections.

        The entry stops accepting connections first. Requests on connections that are
        already open are still completed, including requests that are only partly
        received.
        """
        self.log.event("stopping", n_requests=len(self.runtime.exchange_by_request_id))
        self.runtime.is_shutting_down = True
        self.server.stop_accepting()
        while self.runtime.exchange_by_request_id or self.server.close_idle():
            await self._wait_for_progress()
        self.runtime.post(ShutdownStarted())
        claims_deadline_ms = self.clock.now_ms() + _CLAIMS_GRACE_MS
        while (
            not self.runtime.are_claims_settled
            and self.clock.now_ms() < claims_deadline_ms
        ):
            await self._wait_for_progress()
        if self._discovery_task is not None:
            self._discovery_task.cancel()
        self.ticker.stop()
        await self.agents.close()
        await self.rollout.close()
        await self.spending.close()
        await self.peers.close()
        await self.platform.close()
        self.runtime.close()
        self.log.event("stopped")

    async def _wait_for_progress(self) -> None:
        """Wait until a request ends, for at most ``_SHUTDOWN_POLL_S``.

        The time limit is needed because no event is set when a caller closes its
        connection or when a claim has been written.
        """
        self.runtime.request_ended.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SHUTDOWN_POLL_S):
                await self.runtime.request_ended.wait()


def _make_state(
    settings: Settings, incarnation: int, random_state: Random
) -> EntryState:
    """Return the initial state of the entry's reducer."""
    n_per_service = settings.limits.n_endpoints_per_service
    config = EntryConfig(
        entry_id=settings.instance_id,
        incarnation=incarnation,
        seed=random_state.getrandbits(32),
        n_max_endpoints=max(256, n_per_service * len(settings.services)),
    )
    policy = PredictedLatency(failure_domain=settings.failure_domain)
    state = EntryState.from_config(config, policy, FairQueue)
    # Weights of the settings, which apply until a version of the rules is in force.
    state.weight_by_customer = {
        customer.customer_id: customer.weight for customer in settings.customers
    }
    return state


def _make_identity(settings: Settings, incarnation: int) -> Identity:
    """Return the identity with which the entry connects to agents and peers."""
    return Identity(
        settings.instance_id,
        incarnation,
        settings.failure_domain,
        settings.shared_secret.get_secret_value().encode(),
    )


def _make_discovery(entry: Entry) -> EndpointDiscovery:
    """Return the search for the endpoints of the services in the settings."""
    settings = entry.settings
    return EndpointDiscovery(
        entry.platform,
        entry.agents,
        entry.runtime,
        settings.instance_id,
        settings.failure_domain,
        (service.service_id for service in settings.services),
        settings.limits.n_endpoints_per_service,
        _to_host_ports(settings.agents),
    )


def _to_host_ports(addresses: Iterable[AddressSettings]) -> list[tuple[str, int]]:
    """Return addresses as pairs of host and port."""
    return [(address.host, address.port) for address in addresses]


async def _run(settings: Settings) -> None:
    """Run an entry until SIGTERM or SIGINT, then shut it down."""
    log = KeyValueLog.from_config(settings.log_level)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_make_fault_logger(log))
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    entry = Entry(settings, SystemClock(), log)
    await entry.start()
    _return_free_memory()
    await stop_requested.wait()
    await entry.stop()


def _return_free_memory() -> None:
    """Return heap memory that is free after the start to the operating system.

    Without a bytecode cache, compiling the modules leaves about 25 MB of free heap,
    which the C library would keep. The remaining objects live as long as the process,
    so they are frozen, which excludes them from later garbage collections.
    """
    gc.collect()
    gc.freeze()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


def _make_fault_logger(log: KeyValueLog) -> Any:
    """Return an exception handler of the event loop that logs ``internal-fault``."""

    def log_fault(_loop: asyncio.AbstractEventLoop, context: Mapping[str, Any]) -> None:
        error = context.get("exception")
        log.event(
            "internal-fault",
            "error",
            step="event-loop",
            message=str(context.get("message", "")),
            error=f"{type(error).__name__}: {error}" if error else "",
        )

    return log_fault


def run_entry(settings: Settings) -> None:
    """Run an entry with uvloop until SIGTERM or SIGINT."""
    uvloop.run(_run(settings))
