"""One entry on a platform: its components, start, shutdown and settings."""

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

from bluebellusher.gateway._admission import Admission, StreamTimeouts
from bluebellusher.gateway._attempts import HttpDispatcher
from bluebellusher.gateway._domain_traffic import DomainTraffic, make_policy
from bluebellusher.gateway._heap import map_large_blocks
from bluebellusher.gateway._server import CallerServer, PageServer
from bluebellusher.gateway._shutdown import finish_requests
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
    DomainCheck,
    Members,
    RetainedRow,
    TableCopy,
    TableExchange,
    TableWatcher,
)
from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.clock import Clock, SystemClock
from bluebellusher_core.directory import GroupModel, TableMirror
from bluebellusher_core.effects import (
    AbandonAttempt,
    BroadcastCrashes,
    BroadcastEnded,
    BroadcastLeaving,
    BroadcastLimits,
    BroadcastSilent,
    CheckEndpoint,
)
from bluebellusher_core.events import (
    EntriesCounted,
    LeavingMark,
    LimitMark,
    MembersListed,
    PeersConnected,
)
from bluebellusher_core.memory import (
    ByteBudget,
    choose_budget_bytes,
    choose_max_connections,
)
from bluebellusher_core.poison import CrashRecord
from bluebellusher_core.reducer import EntryConfig, EntryState
from bluebellusher_core.supervision import supervise
from bluebellusher_core.wire import messages

# Share of the retries in the settings, which are common to all entries, that the
# connected entries may use. The remainder is a reserve for entries that have not
# connected yet. If callers are distributed unevenly, entries with few of them also
# leave part of their retries unused.
USABLE_RETRY_SHARE = 0.8
# Retries that an entry may make right after its start. The number of retries that were
# spent before a restart is unknown. All entries can be killed twice within the window
# of the retry limits, and their retries stay within the reserve described above.
N_START_RETRIES = 1
# Requests that an endpoint may hold, as a multiple of its slots. A request waits at the
# entry instead of the endpoint, where it could neither be reordered nor rejected nor
# sent to another endpoint that is free earlier.
QUEUE_FACTOR = 1.0
# Time for which a caller waits for the next event of a broken stream, in ms.
RESUME_WAIT_MS = 1_500
# Crashes that block a request. A harmless request may be running during one or two
# crashes by chance. The platform allows only a few runs of a request after its third
# crash.
N_CRASHES_TO_BLOCK = 3
# Upper bound of the random delay before an entry acquires a free lease, in ms. It
# spreads the writes of entries that try to acquire the lease at the same time.
MAX_TAKEOVER_DELAY_MS = 400
# Time for which an entry that shuts down waits for its map changes to end, in ms. A
# group with a held step would otherwise have to wait for the next leader.
MAP_CHANGE_GRACE_MS = 1_500
# Time for which a call to the store waits for a change of the registrations, in ms,
# while services state a rate for cold endpoints. An endpoint counts as cold when the
# last answer is too old to show that it is warm.
WARM_UP_WAIT_MS = 1_500
# Part of the descriptors that accepted connections of peers may occupy before their
# handshake is complete. All entries may connect at the same time.
HANDSHAKE_DESCRIPTOR_DIVISOR = 4
# Upper bound of the entries that are read from a peer's list.
N_MAX_MEMBERS = 1_000
# Interval at which the settings file is checked for changes, in ms.
SETTINGS_POLL_MS = 1_000
# Time for which a call to the store waits for a change of the crash table, in ms. The
# time is long because calls are billed, but within the 20 s of history that the store
# keeps. Only entries that cannot reach a peer depend on the table, because peers
# announce crashes immediately.
CRASH_TABLE_WAIT_MS = 15_000


class Gateway:
    """One entry with all its components.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    ports : PlatformPorts
        Store, header names and table formats of the platform.
    clock : Clock
        Clock of all components; its wall time becomes the incarnation of the entry.
    log : KeyValueLog
        Receives the log lines of all components.
    """

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
        random_state = Random(f"{settings.instance_id}.{self.incarnation}")
        self.state = _make_state(settings, self.incarnation, random_state)
        tracer = Tracer(log)
        self._store = ports.store
        self.view = GatewayView(self)
        metrics = Metrics()
        self.budget = ByteBudget(choose_budget_bytes(int(settings.memory_mb * 1e6)))
        self.dispatcher = HttpDispatcher(
            ports.dialect,
            self._find_endpoint,
            clock,
            tracer,
            metrics,
            self.view.describe_endpoint,
            self.state.endpoints.limits.is_limited,
            count_bytes=self._count_bytes if settings.domain_traffic else None,
            is_outdated=self._is_outdated,
            max_unread_bytes=self.budget.n_max_bytes // 2,
        )
        self.runtime = Runtime(self.state, clock, log, metrics, tracer, self.dispatcher)
        self.domain_traffic = DomainTraffic(
            self.state, settings.failure_domain, self.runtime, metrics
        )
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
            settings.failure_domain,
            self._find_limits,
            self._find_members,
        )
        self.peers = PeerLinks(
            identity,
            self.runtime,
            self.ticker,
            clock,
            random_state,
            self.peer_exchange,
            int(settings.max_descriptors) // HANDSHAKE_DESCRIPTOR_DIVISOR,
        )
        self.peer_exchange.links = self.peers
        self.tables = TableExchange(self.peers, clock)
        self.routing_watcher = self._make_watcher(
            ports.codec.routing_table,
            self.directory.apply_routing_rows,
            self.directory.apply_restored_routing_rows,
            random_state,
            self.directory,
        )
        self.domain_check = DomainCheck(
            self.directory.evacuations, self.routing_watcher, clock, self.runtime
        )
        if settings.evacuation_ms is not None:
            self.dispatcher.is_evacuated = self.domain_check.is_evacuated
        self.registration_watcher = self._make_watcher(
            ports.codec.registration_table,
            self.directory.apply_registration_rows,
            self.directory.apply_restored_registration_rows,
            random_state,
        )
        self.crash_table = CrashTable(
            ports.store,
            TableMirror(CRASH_TABLE),
            self._find_crashes,
            self.runtime.post,
            clock,
            random_state,
            self.runtime,
        )
        self.crash_watcher = TableWatcher(
            ports.store,
            self.crash_table.copy,
            # Losing contact with this table does not affect the endpoints, which are
            # registered in another one.
            lambda is_store_available: None,
            clock,
            random_state,
            self.runtime,
            CRASH_TABLE_WAIT_MS,
        )
        self.runtime.register(CheckEndpoint, self.dispatcher.check_endpoint)
        self.runtime.register(AbandonAttempt, self.dispatcher.abandon)
        self.runtime.register(BroadcastCrashes, self._broadcast_crashes)
        self.runtime.register(BroadcastSilent, self._broadcast_silent)
        self.runtime.register(BroadcastEnded, self._broadcast_ended)
        self.runtime.register(BroadcastLeaving, self._broadcast_leaving)
        self.runtime.register(BroadcastLimits, self._broadcast_limits)
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
            identity,
            self.runtime,
            self.ticker,
            clock,
            random_state,
            settings.agent_port,
        )
        self.directory.on_endpoints_changed = self._update_ranks
        self.lease = LeaseKeeper.from_parts(
            ports.store,
            MAP_LEASE,
            f"{settings.instance_id}/{self.incarnation}",
            random_state.randrange(MAX_TAKEOVER_DELAY_MS),
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
            random_state,
            self.runtime,
        )
        counter = itertools.count(1)
        prefix = f"{settings.instance_id}.{self.incarnation}"
        self.server = CallerServer(
            self.runtime,
            self.directory,
            Admission(ports.dialect, StreamTimeouts(), random_state),
            lambda: f"{prefix}.r{next(counter)}",
            self.budget,
            choose_max_connections(int(settings.max_descriptors)),
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._n_entries = 0
        self._peer_ids: frozenset[str] = frozenset()
        self._is_leader_by_peer_id: dict[str, bool] = {}

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent to this entry.

        An entry is ready when it has the configuration, the registrations of the
        endpoints and the earlier crashes, and is not shutting down.
        """
        has_tables = (
            self.directory.is_ready and self.registration_watcher.mirror.version
        )
        return (
            bool(has_tables)
            and self.has_received_crashes
            and not self.runtime.is_shutting_down
        )

    @property
    def has_received_crashes(self) -> bool:
        """Whether the store's crash table or a peer's digest has been received."""
        digests = self.peer_exchange.digest_at_ms_by_peer_id
        return self.crash_watcher.mirror.version > 0 or bool(digests)

    async def start(self) -> None:
        """Listen for peers and callers, and start all background tasks."""
        settings = self.settings
        await self.dispatcher.open()
        await self.peers.listen(settings.peers.host, settings.peers.port)
        self.peer_exchange.register(messages.Digest, self._on_digest)
        self.peer_exchange.register(messages.TablePull, self.tables.on_pull)
        self.peer_exchange.register(messages.TableDelta, self.tables.on_delta)
        self.ticker.add_callback(self.domain_check.observe)
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
        """Stop the entry when all requests have ended or the grace period expires.

        The entry reports itself unready immediately. It accepts new connections as long
        as the platform may send some. Each response closes its connection, so that the
        caller connects to another entry.
        """
        stop_started_at_ms = self.clock.now_ms()
        self.runtime.is_shutting_down = True
        self.log.event("stopping", n_requests=len(self.runtime.exchange_by_request_id))
        await self.leader.finish_changes(MAP_CHANGE_GRACE_MS)
        await self.lease.release()
        grace_ms = int(self.settings.shutdown_grace_s * 1000)
        end_ms = stop_started_at_ms + grace_ms
        await finish_requests(self.server, self.runtime, self.clock, end_ms, grace_ms)
        n_unfinished = len(self.runtime.exchange_by_request_id)
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
        took_ms = self.clock.now_ms() - stop_started_at_ms
        self.log.event("stopped", n_requests_left=n_unfinished, took_ms=took_ms)

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; changed addresses take effect at the next start."""
        is_changed = settings != self.settings
        self.settings = settings
        self.domain_traffic.reload(settings.domain_traffic)
        self.log.event("settings-reloaded", is_changed=is_changed)

    def _is_lease_held_elsewhere(self) -> bool:
        """Return whether a connected peer reports that it holds the map lease."""
        is_leader_by_peer_id = self._is_leader_by_peer_id
        return any(
            is_leader_by_peer_id.get(peer_id)
            for peer_id in self.peers.connections_by_peer_id
        )

    def _on_digest(self, peer_id: str, digest: Any) -> None:
        """Record the lease and table versions in a peer's digest.

        A digest with crashes also schedules a write of the crash table.
        """
        self._is_leader_by_peer_id[peer_id] = MAP_LEASE in (digest.held_leases or ())
        self.tables.on_digest(peer_id, digest)
        if digest.members and not self.state.endpoints.limits.entries.listed_ids:
            member_ids = (m.instance_id or "" for m in digest.members[:N_MAX_MEMBERS])
            event = MembersListed(frozenset(filter(None, member_ids)), True)
            self.runtime.post(event)
        if digest.crashes:
            self.crash_table.schedule_peer_write()

    def _find_crashes(self) -> tuple[CrashRecord, ...]:
        return self.state.crashes.records(self.clock.now_ms())

    def _broadcast_crashes(self, effect: BroadcastCrashes) -> None:
        """Broadcast new crash records to the peers and write them to the store."""
        self.peer_exchange.broadcast_crashes(effect.records)
        self.crash_table.schedule_own_write()

    def _find_leaving(self) -> tuple[LeavingMark, ...]:
        return self.state.endpoints.announcements.leaving_marks(self.clock.now_ms())

    def _broadcast_leaving(self, effect: BroadcastLeaving) -> None:
        self.peer_exchange.broadcast_leaving(effect.marks)

    def _find_limits(self) -> tuple[LimitMark, ...]:
        return self.state.endpoints.limits.make_marks(self.clock.now_ms())

    def _is_outdated(self, endpoint_id: str, chosen_at_ms: int) -> bool:
        """Return whether an attempt that was chosen earlier must not be sent."""
        warm_ups = self.state.endpoints.limits.warm_ups
        now_ms = self.clock.now_ms()
        return warm_ups.is_choice_outdated(endpoint_id, chosen_at_ms, now_ms)

    def _find_members(self) -> frozenset[str]:
        """Return the listed entries, if a limit is divided among all of them."""
        limits = self.state.endpoints.limits
        return frozenset() if limits.warm_ups.is_empty else limits.entries.listed_ids

    def _broadcast_limits(self, effect: BroadcastLimits) -> None:
        self.peer_exchange.broadcast_limits(effect.marks)

    def _broadcast_silent(self, effect: BroadcastSilent) -> None:
        self.peer_exchange.broadcast_silent(effect.endpoint_ids)

    def _broadcast_ended(self, effect: BroadcastEnded) -> None:
        self.peer_exchange.broadcast_ended(effect.requests)

    def _count_bytes(self, service_id: str, failure_domain: str, n: int) -> None:
        self.domain_traffic.count_attempt(service_id, failure_domain, n)

    def _find_endpoint(self, endpoint_id: str) -> Any:
        return self.directory.find(endpoint_id)

    def _update_ranks(self) -> None:
        """Connect to the agents of the endpoints that run engines."""
        routing = self.directory.routing
        if routing is None:
            return
        services = routing.service_by_id.values()
        engine_service_ids = {s.service_id for s in services if s.engine is not None}
        registrations = self.directory.registrations.registration_by_id.values()
        self.ranks.update(
            r for r in registrations if r.service_id in engine_service_ids
        )

    def _find_group_model(self, endpoint_id: str) -> GroupModel | None:
        """Return the group model of an endpoint's service, or None."""
        endpoint = self.directory.find(endpoint_id)
        if endpoint is None or self.directory.routing is None:
            return None
        service = self.directory.routing.service_by_id.get(endpoint.service_id)
        return service.engine.group if service and service.engine else None

    def _make_watcher(
        self,
        table: str,
        apply_rows: Callable[[list[Any]], None],
        apply_restored_rows: Callable[[list[Any]], None],
        random_state: Random,
        retained: RetainedRow | None = None,
    ) -> TableWatcher:
        """Return the watcher of a table that is also exchanged with peers."""

        def announce() -> None:
            self._update_ranks()
            # Announce the new table version. Peers that the store does not serve
            # request the changes from this entry.
            self.peer_exchange.tick(self.clock.now_ms())

        def on_rows(rows: list[Any]) -> None:
            apply_rows(rows)
            announce()

        def on_restored(rows: list[Any]) -> None:
            apply_restored_rows(rows)
            announce()
            self.crash_table.record_store_epoch(mirror.store_epoch)
            self.members.record_store_epoch(mirror.store_epoch)

        mirror = TableMirror(table)
        copy = TableCopy(mirror, on_rows, on_restored, self.runtime)
        watcher = TableWatcher(
            self._store,
            copy,
            self.directory.record_store_availability,
            self.clock,
            random_state,
            self.runtime,
        )
        self.tables.add(copy, lambda: watcher.is_store_available, retained)
        return watcher

    def _tick(self, now_ms: int) -> None:
        """Run the periodic work of the peer exchange, tables and directory."""
        self.peer_exchange.tick(now_ms)
        self.tables.tick(now_ms)
        self.directory.tick(now_ms, self.registration_watcher.store_answered_at_ms)
        if self.directory.has_warm_up_rates:
            self.registration_watcher.wait_ms = WARM_UP_WAIT_MS
        self.domain_traffic.tick(now_ms)
        n_entries = 1 + len(self.peers.connections_by_peer_id)
        if n_entries > self._n_entries:
            # The number never decreases, because an entry that has lost its
            # connection to this one still uses its share of the retries.
            self._n_entries = n_entries
            self.runtime.post(EntriesCounted(n_entries))
        peer_ids = frozenset(self.peers.connections_by_peer_id)
        if peer_ids != self._peer_ids:
            self._peer_ids = peer_ids
            domain_peer_ids = self.peer_exchange.domain_peer_ids
            self.runtime.post(PeersConnected(peer_ids, domain_peer_ids))

    async def _serve_pages(self) -> None:
        """Listen for readiness checks and, if configured, for metrics requests."""
        settings = self.settings
        ready = PageServer(
            {"/ready": self._ready_page, "/": self._ready_page},
            self.runtime,
            self.budget,
        )
        await ready.listen(settings.readiness.host, settings.readiness.port)
        if settings.metrics is not None:
            pages = PageServer(
                {"/metrics": self._metrics_page}, self.runtime, self.budget
            )
            await pages.listen(settings.metrics.host, settings.metrics.port)

    def _ready_page(self) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    def _metrics_page(self) -> web.Response:
        return web.Response(
            text=self.runtime.metrics.to_prometheus(self.view.compute_gauges())
        )

    def _start_task(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a component as a task that is restarted after an unexpected error."""

        def report(error: Exception) -> None:
            self.runtime.report_fault("task", run, error)

        self._tasks.append(asyncio.create_task(supervise(run, report)))


def _make_state(
    settings: GatewaySettings, incarnation: int, random_state: Random
) -> EntryState:
    """Return the reducer's state of an entry that starts."""
    n_shared_retries = int(USABLE_RETRY_SHARE * settings.retries.n_extra)
    config = EntryConfig(
        entry_id=settings.instance_id,
        incarnation=incarnation,
        seed=random_state.getrandbits(32),
        n_max_endpoints=16_384,
        n_min_retries=N_START_RETRIES,
        retry_percent=int(100 * USABLE_RETRY_SHARE * settings.retries.share),
        n_shared_retries=n_shared_retries,
        queue_factor=QUEUE_FACTOR,
        resume_wait_ms=RESUME_WAIT_MS,
        n_crashes_to_block=N_CRASHES_TO_BLOCK,
        max_pause_ms=settings.max_endpoint_pause_ms,
        warm_up_overage=settings.warm_up.overage,
        warm_up_tolerance=settings.warm_up.tolerance,
        failure_domain=settings.failure_domain,
    )
    return EntryState.from_config(config, make_policy(settings), ObjectiveQueue)


async def _run_until_signal(
    settings: GatewaySettings,
    make_ports: Callable[[GatewaySettings], PlatformPorts],
    path: str,
) -> None:
    """Run an entry on the current event loop until SIGTERM or SIGINT."""
    log = KeyValueLog.from_config(settings.log_level)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    gateway = Gateway(settings, make_ports(settings), SystemClock(), log)
    loop.set_exception_handler(_make_fault_reporter(gateway))
    loop.add_signal_handler(signal.SIGHUP, _reload, gateway, path)
    await gateway.start()
    watcher = asyncio.create_task(_watch_settings(gateway, path))
    gc.collect()
    gc.freeze()
    await stop_requested.wait()
    watcher.cancel()
    await gateway.stop()


async def _watch_settings(gateway: Gateway, path: str) -> None:
    """Reload the settings file when it changes, until cancelled."""
    loaded_modified_ns = _read_modified_ns(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_MS / 1000)
        modified_ns = _read_modified_ns(path)
        if modified_ns != loaded_modified_ns:
            loaded_modified_ns = modified_ns
            _reload(gateway, path)


def _read_modified_ns(path: str) -> int:
    """Return the modification time of a file, in ns; 0 when it cannot be read."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # The caller detects a change and reloads the file, which logs the error.
        return 0


def _reload(gateway: Gateway, path: str) -> None:
    """Reload the settings file; log an invalid one and keep the current settings."""
    try:
        gateway.reload(load_gateway_settings(path))
    except Exception as error:
        # An invalid file must not stop an entry that runs with valid settings.
        gateway.log.event("settings-refused", "error", error=str(error))


def _make_fault_reporter(gateway: Gateway) -> Any:
    """Return an exception handler for the event loop, which counts and logs errors."""

    def report(_loop: asyncio.AbstractEventLoop, context: Mapping[str, Any]) -> None:
        error = context.get("exception") or RuntimeError(str(context.get("message")))
        gateway.runtime.report_fault("event-loop", context, error)

    return report


def run_gateway(
    settings: GatewaySettings,
    make_ports: Callable[[GatewaySettings], PlatformPorts],
    path: str,
) -> None:
    """Run an entry until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : GatewaySettings
        Settings at the start of the process.
    make_ports : callable
        Returns the adapter to the platform; called on the event loop.
    path : str
        Path of the settings file, which is reloaded when it changes and on SIGHUP.
    """
    map_large_blocks()
    uvloop.run(_run_until_signal(settings, make_ports, path))
