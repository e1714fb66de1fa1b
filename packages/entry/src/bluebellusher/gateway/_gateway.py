"""One entry on a platform: construction of all parts, life from start to stop."""

import asyncio
import gc
import itertools
import os
import signal
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import Any

import uvloop
from aiohttp import web

from bluebellusher.gateway._admission import Admission, Patience
from bluebellusher.gateway._attempts import HttpDispatcher
from bluebellusher.gateway._server import CallerServer, PageServer
from bluebellusher.gateway._view import MAP_LEASE, GatewayView
from bluebellusher.links import Identity, LinkTicker, PeerLinks
from bluebellusher.observability import KeyValueLog, Metrics, Tracer
from bluebellusher.ports import PlatformPorts
from bluebellusher.ranks import LeaseKeeper, MapLeader, RankLinks
from bluebellusher.runtime import PeerExchange, Runtime
from bluebellusher.settings import GatewaySettings, load_gateway_settings
from bluebellusher.shared import (
    CRASH_TABLE,
    CrashTable,
    Directory,
    Members,
    TableExchange,
    TableWatcher,
)
from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.clock import Clock, SystemClock
from bluebellusher_core.directory import GroupModel, TableMirror
from bluebellusher_core.effects import CheckEndpoint, TellCrashes, TellLeaving
from bluebellusher_core.events import EntriesCounted, LeavingMark
from bluebellusher_core.poison import CrashRecord
from bluebellusher_core.reducer import EntryConfig, EntryState
from bluebellusher_core.routing import SlotAware
from bluebellusher_core.supervision import supervise
from bluebellusher_core.wire import messages

# After SIGTERM the platform stops sending new connections within two checks of one
# second each; until then they are still served.
STOP_ACCEPTING_AFTER_MS = 2_600
# Left of the grace period for closing connections and leaving.
EXIT_MARGIN_MS = 500
# Entries with an uneven share of callers leave part of the common retries unused;
# this much of them is given out, the rest covers entries that are not known yet.
RETRY_USE = 0.8
# What was spent before a restart is not known. All entries may be killed twice within
# the time over which retries are counted, and stay within the rest above.
N_START_RETRIES = 1
# Requests that an endpoint may hold beyond its slots cover the round trip between
# the end of one request and the start of the next.
QUEUE_FACTOR = 1.2
# How long a caller of a broken stream waits for its next event.
RESUME_WAIT_MS = 1_500
# An innocent request may be at a crash once or twice by chance; the platform allows
# few runs after the third.
N_CRASHES_TO_BLOCK = 3
# Entries that want a free lease at the same moment spread over this time.
MAX_TAKEOVER_DELAY_MS = 400
# A group with a held step should not wait for the next leader.
MAP_CHANGE_GRACE_MS = 1_500
SETTINGS_POLL_MS = 1_000
# Peers tell of crashes at once; the table serves entries that reach no peer. Calls
# are priced, and the store keeps 20 s of history.
CRASH_WAIT_MS = 15_000
_POLL_S = 0.02


class Gateway:
    """All parts of one entry, connected."""

    def __init__(
        self,
        settings: GatewaySettings,
        ports: PlatformPorts,
        clock: Clock,
        log: KeyValueLog,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.log = log
        self.incarnation = clock.wall_ms()
        seed = Random(f"{settings.instance_id}.{self.incarnation}")
        self.state = _make_state(settings, self.incarnation, seed)
        tracer = Tracer(log)
        self._store = ports.store
        self.view = GatewayView(self)
        metrics = Metrics()
        self.dispatcher = HttpDispatcher(
            ports.dialect,
            self._find_endpoint,
            clock,
            tracer,
            metrics,
            self.view.describe_endpoint,
        )
        self.runtime = Runtime(self.state, clock, log, metrics, tracer, self.dispatcher)
        self.dispatcher.sink = self.runtime
        self.directory = Directory(ports.codec, self.runtime.post, clock, self.runtime)
        self.ticker = LinkTicker(clock, asyncio.get_running_loop())
        identity = Identity(
            settings.instance_id,
            self.incarnation,
            settings.failure_domain,
            settings.shared_secret.get_secret_value().encode(),
        )
        self.peer_exchange = PeerExchange(
            self.runtime,
            clock,
            self.view.make_digest,
            self._find_crashes,
            self._find_leaving,
        )
        self.peers = PeerLinks(
            identity, self.runtime, self.ticker, clock, seed, self.peer_exchange
        )
        self.peer_exchange.links = self.peers
        self.tables = TableExchange(self.peers, clock)
        self.routing_watcher = self._make_watcher(
            ports.codec.routing_table, self.directory.take_routing, seed
        )
        self.registration_watcher = self._make_watcher(
            ports.codec.registration_table, self.directory.take_registrations, seed
        )
        crash_mirror = TableMirror(CRASH_TABLE)
        self.crash_table = CrashTable(
            ports.store,
            crash_mirror,
            self._find_crashes,
            self.runtime.post,
            clock,
            seed,
            self.runtime,
        )
        self.crash_watcher = TableWatcher(
            ports.store,
            crash_mirror,
            self.crash_table.take_rows,
            # Endpoints are registered in another table.
            lambda is_in_contact: None,
            clock,
            seed,
            self.runtime,
            CRASH_WAIT_MS,
        )
        self.runtime.register(CheckEndpoint, self.dispatcher.check)
        self.runtime.register(TellCrashes, self._tell_crashes)
        self.runtime.register(TellLeaving, self._tell_leaving)
        self.members = Members(
            ports.store,
            self.peers,
            settings.instance_id,
            settings.peers.host,
            settings.peers.port,
            self.runtime,
            self.runtime.post,
        )
        self.ranks = RankLinks(
            identity, self.runtime, self.ticker, clock, seed, settings.agent_port
        )
        self.directory.on_endpoints = self._update_ranks
        self.lease = LeaseKeeper.from_parts(
            ports.store,
            MAP_LEASE,
            f"{settings.instance_id}/{self.incarnation}",
            seed.randrange(MAX_TAKEOVER_DELAY_MS),
            clock,
            self.runtime,
            self._is_lease_held_elsewhere,
        )
        self.leader = MapLeader(
            self.lease,
            self.ranks,
            self._find_group_model,
            settings.failure_domain,
            settings.maps.rank_ms_per_gb,
            clock,
            seed,
            self.runtime,
        )
        counter = itertools.count(1)
        prefix = f"{settings.instance_id}.{self.incarnation}"
        self.server = CallerServer(
            self.runtime,
            self.directory,
            Admission(ports.dialect, Patience(), seed),
            lambda: f"{prefix}.r{next(counter)}",
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._n_entries = 0
        self._leases_by_peer_id: dict[str, bool] = {}

    @property
    def is_ready(self) -> bool:
        """Whether callers should come."""
        is_known = self.directory.is_ready and self.registration_watcher.mirror.version
        return (
            bool(is_known) and self.knows_crashes and not self.runtime.is_shutting_down
        )

    @property
    def knows_crashes(self) -> bool:
        """Whether the store or a peer has told of earlier crashes."""
        digests = self.peer_exchange.digest_at_ms_by_peer_id
        return self.crash_watcher.mirror.version > 0 or bool(digests)

    async def start(self) -> None:
        """Listen, connect and follow the shared tables."""
        settings = self.settings
        await self.dispatcher.open()
        await self.peers.listen(settings.peers.host, settings.peers.port)
        self.peer_exchange.register(messages.Digest, self._on_digest)
        self.peer_exchange.register(messages.TablePull, self.tables.on_pull)
        self.peer_exchange.register(messages.TableDelta, self.tables.on_delta)
        self.ticker.add_callback(self._tick)
        self.ticker.start()
        self.peers.dial(
            (seed.host, seed.port) for seed in settings.seeds if seed != settings.peers
        )
        await self.server.listen(settings.callers.host, settings.callers.port)
        await self._serve_pages()
        for run in (
            self.routing_watcher.run,
            self.registration_watcher.run,
            self.crash_watcher.run,
            self.crash_table.run,
            self.members.run,
            self.lease.run,
            self.leader.run,
        ):
            self._start_task(run)
        self.log.event(
            "started",
            instance=settings.instance_id,
            domain=settings.failure_domain,
            incarnation=self.incarnation,
            callers=str(settings.callers),
            peers=str(settings.peers),
        )

    async def stop(self) -> None:
        """Let every request end, within the grace period.

        Readiness goes at once. New connections are taken as long as the platform may
        still send some; each answer tells its caller to connect elsewhere.
        """
        stopped_at_ms = self.clock.now_ms()
        self.runtime.is_shutting_down = True
        self.log.event("stopping", n_requests=len(self.runtime.exchange_by_request_id))
        await self.leader.finish_changes(MAP_CHANGE_GRACE_MS)
        await self.lease.release()
        accepted_ms = self.clock.now_ms() - stopped_at_ms
        await asyncio.sleep(max(0, STOP_ACCEPTING_AFTER_MS - accepted_ms) / 1000)
        self.server.stop_accepting()
        self.server.close_idle()
        grace_ms = int(self.settings.shutdown_grace_s * 1000)
        until_ms = stopped_at_ms + grace_ms - EXIT_MARGIN_MS
        while self._has_work() and self.clock.now_ms() < until_ms:
            self.server.close_idle()
            await asyncio.sleep(_POLL_S)
        n_left = len(self.runtime.exchange_by_request_id)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.ranks.close()
        self.ticker.stop()
        await self.server.close()
        await self.dispatcher.close()
        await self.peers.close()
        await self._store.close()
        self.runtime.close()
        took_ms = self.clock.now_ms() - stopped_at_ms
        self.log.event("stopped", n_requests_left=n_left, took_ms=took_ms)

    def reload(self, settings: GatewaySettings) -> None:
        """Take changed settings; addresses hold until the next start."""
        is_changed = settings != self.settings
        self.settings = settings
        self.log.event("settings-reloaded", is_changed=is_changed)

    def _is_lease_held_elsewhere(self) -> bool:
        """Return whether a connected entry says that it leads the maps."""
        held = self._leases_by_peer_id
        return any(held.get(peer_id) for peer_id in self.peers.connections_by_peer_id)

    def _on_digest(self, peer_id: str, digest: Any) -> None:
        self._leases_by_peer_id[peer_id] = MAP_LEASE in (digest.held_leases or ())
        self.tables.on_digest(peer_id, digest)
        if digest.crashes:
            self.crash_table.note_others()

    def _find_crashes(self) -> tuple[CrashRecord, ...]:
        return self.state.crashes.records(self.clock.now_ms())

    def _tell_crashes(self, effect: TellCrashes) -> None:
        self.peer_exchange.tell_crashes(effect.records)
        self.crash_table.note_own()

    def _find_leaving(self) -> tuple[LeavingMark, ...]:
        return self.state.endpoints.announcements.marks(self.clock.now_ms())

    def _tell_leaving(self, effect: TellLeaving) -> None:
        self.peer_exchange.tell_leaving(effect.marks)

    def _find_endpoint(self, endpoint_id: str) -> Any:
        return self.directory.find(endpoint_id)

    def _update_ranks(self) -> None:
        """Follow the agents beside the endpoints that have engines."""
        routing = self.directory.routing
        if routing is None:
            return
        services = routing.service_by_id.values()
        with_engine = {s.service_id for s in services if s.engine is not None}
        registrations = self.directory.registrations.registration_by_id.values()
        self.ranks.update(r for r in registrations if r.service_id in with_engine)

    def _find_group_model(self, endpoint_id: str) -> GroupModel | None:
        endpoint = self.directory.find(endpoint_id)
        if endpoint is None or self.directory.routing is None:
            return None
        service = self.directory.routing.service_by_id.get(endpoint.service_id)
        return service.engine.group if service and service.engine else None

    def _make_watcher(
        self,
        table: str,
        take: Callable[[list[Any]], None],
        seed: Random,
    ) -> TableWatcher:
        def on_news(rows: list[Any]) -> None:
            take(rows)
            self._update_ranks()
            # Peers that the store turns away wait for it.
            self.peer_exchange.tick(self.clock.now_ms())

        mirror = TableMirror(table)
        watcher = TableWatcher(
            self._store,
            mirror,
            on_news,
            self.directory.note_contact,
            self.clock,
            seed,
            self.runtime,
        )
        self.tables.add(mirror, on_news, lambda: watcher.is_in_contact)
        return watcher

    def _tick(self, now_ms: int) -> None:
        self.peer_exchange.tick(now_ms)
        self.tables.tick(now_ms)
        self.directory.tick(now_ms)
        n_entries = 1 + len(self.peers.connections_by_peer_id)
        if n_entries > self._n_entries:
            # Entries that are merely cut off go on using their share.
            self._n_entries = n_entries
            self.runtime.post(EntriesCounted(n_entries))

    async def _serve_pages(self) -> None:
        settings = self.settings
        ready = PageServer({"/ready": self._ready_page, "/": self._ready_page})
        await ready.listen(settings.readiness.host, settings.readiness.port)
        if settings.metrics is not None:
            pages = PageServer({"/metrics": self._metrics_page})
            await pages.listen(settings.metrics.host, settings.metrics.port)

    def _ready_page(self) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    def _metrics_page(self) -> web.Response:
        return web.Response(text=self.runtime.metrics.to_prometheus(self.view.gauges()))

    def _has_work(self) -> bool:
        return bool(self.runtime.exchange_by_request_id or self.server.n_connections)

    def _start_task(self, run: Callable[[], Awaitable[None]]) -> None:
        def report(error: Exception) -> None:
            self.runtime.report_fault("task", run, error)

        self._tasks.append(asyncio.create_task(supervise(run, report)))


def _make_state(
    settings: GatewaySettings, incarnation: int, seed: Random
) -> EntryState:
    n_shared = int(RETRY_USE * settings.retries.n_extra)
    config = EntryConfig(
        entry_id=settings.instance_id,
        incarnation=incarnation,
        seed=seed.getrandbits(32),
        n_max_endpoints=16_384,
        n_min_retries=N_START_RETRIES,
        retry_percent=int(100 * RETRY_USE * settings.retries.share),
        n_shared_retries=n_shared,
        queue_factor=QUEUE_FACTOR,
        resume_wait_ms=RESUME_WAIT_MS,
        n_crashes_to_block=N_CRASHES_TO_BLOCK,
        max_pause_ms=settings.max_endpoint_pause_ms,
    )
    policy = SlotAware(failure_domain=settings.failure_domain)
    return EntryState.from_config(config, policy, ObjectiveQueue)


async def _run(
    settings: GatewaySettings,
    make_ports: Callable[[GatewaySettings], PlatformPorts],
    path: str,
) -> None:
    log = KeyValueLog.from_config(settings.log_level)
    loop = asyncio.get_running_loop()
    is_told_to_stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, is_told_to_stop.set)
    gateway = Gateway(settings, make_ports(settings), SystemClock(), log)
    loop.set_exception_handler(_make_fault_reporter(gateway))
    loop.add_signal_handler(signal.SIGHUP, _reload, gateway, path)
    await gateway.start()
    watcher = asyncio.create_task(_watch_settings(gateway, path))
    gc.collect()
    gc.freeze()
    await is_told_to_stop.wait()
    watcher.cancel()
    await gateway.stop()


async def _watch_settings(gateway: Gateway, path: str) -> None:
    """Take settings that change without a signal."""
    read_at = _modified_at(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_MS / 1000)
        modified_at = _modified_at(path)
        if modified_at != read_at:
            read_at = modified_at
            _reload(gateway, path)


def _modified_at(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # The changed value makes the caller read the file, which logs the error.
        return 0


def _reload(gateway: Gateway, path: str) -> None:
    try:
        gateway.reload(load_gateway_settings(path))
    except Exception as error:
        # A faulty file must not stop an entry that serves with the settings it has.
        gateway.log.event("settings-refused", "error", error=str(error))


def _make_fault_reporter(gateway: Gateway) -> Any:
    def report(_loop: asyncio.AbstractEventLoop, context: Mapping[str, Any]) -> None:
        error = context.get("exception") or RuntimeError(str(context.get("message")))
        gateway.runtime.report_fault("event-loop", context, error)

    return report


def run_gateway(
    settings: GatewaySettings,
    make_ports: Callable[[GatewaySettings], PlatformPorts],
    path: str,
) -> None:
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : GatewaySettings
        Settings at the start.
    make_ports : callable
        Returns the adapter; called on the event loop.
    path : str
        File of the settings, which is read again when it changes and after SIGHUP.
    """
    uvloop.run(_run(settings, make_ports, path))
