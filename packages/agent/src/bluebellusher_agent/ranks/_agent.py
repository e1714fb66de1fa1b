"""Agent of one rank, between the entries and the engine on its instance."""

import asyncio
import signal
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

import uvloop

from bluebellusher_agent._connection import EntryConnection
from bluebellusher_agent._log import log
from bluebellusher_agent._memory import MemoryTrimmer
from bluebellusher_agent.ranks._engine import (
    EngineControl,
    EngineState,
    OrderAnswer,
    RankCounts,
)
from bluebellusher_agent.ranks._metrics import MetricsPage
from bluebellusher_agent.ranks._settings import RankAgentSettings
from bluebellusher_core.clock import Clock, SystemClock
from bluebellusher_core.errors import StepError
from bluebellusher_core.ranks import (
    OrderAction,
    RankOrder,
    pack_counts,
    unpack_map,
)
from bluebellusher_core.supervision import supervise
from bluebellusher_core.wire import messages

# Interval at which the heartbeats and timeouts of all connections are checked.
TICK_INTERVAL_MS = 500
# Number of these checks between two trims of the memory.
N_TICKS_PER_TRIM = 20
# Interval between two reads of the engine's state. Entries correct a reported load by
# the requests that they have sent since; a shorter interval would cost more bytes.
READ_INTERVAL_MS = 200
# Interval between two reads while the engine loads the weights of a map, because the
# map change waits for the end of the loading.
LOADING_READ_INTERVAL_MS = 40
# Time after an order to prepare for which the shorter interval is used. Loading takes
# seconds; if it takes longer, the order was lost and the leader sends it again.
MAX_LOADING_MS = 6_000
# Time to wait for the engine's answer to an order. An engine on the same instance
# answers within a few milliseconds. While a step is held, the group waits for the
# slowest rank, and for a machine that freezes before the answer until it resumes.
ORDER_TIMEOUT_MS = 10
# Maximum number of times that an unanswered order is sent to the engine.
MAX_ORDER_TRIES = 20
# Interval at which an unchanged state is reported to the entries of the agent's failure
# domain and to the leader, so that they can recognize that it is current.
NEAR_REPORT_INTERVAL_MS = 600
# Interval at which an unchanged state is reported to all entries. Entries in other
# failure domains prefer endpoints of their own domain, and traffic between failure
# domains is expensive.
REMOTE_REPORT_INTERVAL_MS = 2_400
# Upper bound of the connections of entries. The smallest machine has 1,124 descriptors,
# and the largest deployment 64 entries.
MAX_CONNECTIONS = 512
_BACKLOG = 512


@dataclass(frozen=True, slots=True)
class _EngineSnapshot:
    """State of the engine, with the agent's fencing token at the start of the read.

    Leaders assume that a state with their token was read after the agent had accepted
    the token. A read that was in progress at that time must therefore not carry it.

    Parameters
    ----------
    state : EngineState
        State of the engine.
    fencing_token : int
        Highest fencing token that the agent had accepted when the read started.
    read_number : int
        Number of the read; reads are numbered in the sequence of their starts.
    """

    state: EngineState
    fencing_token: int
    read_number: int


class RankAgent:
    """Agent that reports the state of one engine and passes orders to the engine.

    One agent runs on the instance of each engine. It reports the engine's state to all
    entries, sends them the counts of expert choices that they request, and carries out
    the orders of the leader.

    Parameters
    ----------
    settings : RankAgentSettings
        Settings of the agent.
    engine : EngineControl
        Engine on the same instance.
    clock : Clock or None
        Source of monotonic and wall-clock time; None for the system clock.
    """

    def __init__(
        self,
        settings: RankAgentSettings,
        engine: EngineControl,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.secret = settings.shared_secret.encode()
        self.incarnation = self.clock.wall_ms()
        self.fencing_token = 0
        self._engine = engine
        self._connections: set[EntryConnection] = set()
        # Connection that sent the last order with the current fencing token.
        self._leader: EntryConnection | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._latest_snapshot: _EngineSnapshot | None = None
        self._last_reported_state: EngineState | None = None
        self._n_reads_started = 0
        self._last_near_report_ms = 0
        self._last_full_report_ms = 0
        self._sequence = 0
        self._is_engine_answering = True
        self._loading_until_ms = 0
        self._loading_version = 0
        self._n_by_name: Counter[str] = Counter()
        self._last_counts_by_connection: dict[EntryConnection, RankCounts] = {}
        self._memory = MemoryTrimmer()

    async def start(self) -> None:
        """Listen for entries, serve the metrics and start reading the engine's state.

        Raises
        ------
        OSError
            When an address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        settings = self.settings
        self._servers.append(
            await loop.create_server(
                lambda: EntryConnection(self, settings.failure_domain),
                settings.listen.host,
                settings.listen.port,
                backlog=_BACKLOG,
            )
        )
        metrics_page = MetricsPage(self._read_gauges, self._n_by_name)
        self._servers.append(
            await asyncio.start_server(
                metrics_page.serve, settings.metrics.host, settings.metrics.port
            )
        )
        self._spawn(supervise(self._tick_forever, self._report_fault))
        self._spawn(supervise(self._read_forever, self._report_fault))
        self._memory.trim()
        log(
            "started",
            instance=settings.instance_id,
            domain=settings.failure_domain,
            incarnation=self.incarnation,
            listen=f"{settings.listen.host}:{settings.listen.port}",
            engine=f"{settings.engine.host}:{settings.engine.port}",
        )

    async def stop(self) -> None:
        """Close all connections without a drain; no requests run in this process."""
        log("stopping", n_connections=len(self._connections))
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.close("agent is stopping")
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._engine.close()
        log("stopped")

    def build_hello(self) -> Any:
        """Return the ``Hello`` of this agent without nonce and MAC."""
        return messages.Hello(
            protocol_version=1,
            instance_id=self.settings.instance_id,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            role=messages.Role.AGENT,
            services=[],
            models=[],
            adapters=[],
            n_slots=0,
            is_draining=False,
        )

    def on_open(self, connection: EntryConnection) -> None:
        """Add a new connection, or close it at the limit of ``MAX_CONNECTIONS``."""
        if len(self._connections) >= MAX_CONNECTIONS:
            connection.close("too many connections")
            return
        self._connections.add(connection)

    def on_ready(self, connection: EntryConnection) -> None:
        """Report the last known state to an entry that has completed the handshake."""
        log("entry-connected", peer=connection.peer_id)
        if self._latest_snapshot is not None:
            connection.send(self._make_report(self._latest_snapshot))

    def on_message(self, connection: EntryConnection, message: Any) -> None:
        """Start to handle an order or a request for counts.

        Raises
        ------
        StepError
            When the message has another type; the connection is closed then.
        """
        if isinstance(message, messages.RankOrder):
            self._spawn(self._handle_order(connection, message))
        elif isinstance(message, messages.RankPull):
            self._spawn(self._send_counts(connection, message))
        else:
            reason = (
                f"message of type {type(message).__name__}: "
                "expected RankOrder or RankPull"
            )
            raise StepError("handle-message", connection.peer_id, reason)

    def on_writable(self, connection: EntryConnection) -> None:
        """Do nothing, because this agent queues no messages for a blocked entry."""

    def on_closed(self, connection: EntryConnection) -> None:
        """Discard a lost connection, with its last counts."""
        self._connections.discard(connection)
        self._last_counts_by_connection.pop(connection, None)
        if connection is self._leader:
            self._leader = None
        if connection.peer_id:
            log("entry-lost", peer=connection.peer_id)

    async def _handle_order(self, connection: EntryConnection, message: Any) -> None:
        """Carry out an order, answer it and report the state of the engine after it.

        An order that is malformed, or whose fencing token is lower than one that was
        accepted earlier, is refused.
        """
        try:
            order = _decode_order(message)
        except StepError as error:
            self._answer_order(connection, message, False, error.reason)
            return
        token = message.fencing_token or 0
        if token < self.fencing_token:
            reason = f"token {token} is older than {self.fencing_token}"
            self._answer_order(connection, message, False, reason)
            return
        is_new_leader = token > self.fencing_token
        if is_new_leader:
            log("leader-changed", peer=connection.peer_id, token=token)
            self.fencing_token = token
        self._leader = connection
        if order.action is OrderAction.PREPARE:
            self._loading_version = order.map_version
            self._loading_until_ms = self.clock.now_ms() + MAX_LOADING_MS
        if order.action is not OrderAction.FENCE:
            answer = await self._execute_with_retries(order)
            self._answer_order(connection, message, answer.is_accepted, answer.reason)
        else:
            self._answer_order(connection, message, True, "fenced")
        # The leader acts on reported states, not on answers to orders. After a change
        # of the leader, the report shows the new token to the previous leader.
        snapshot = await self._read_engine()
        if snapshot is not None:
            self._send_due_reports(
                snapshot, self._connections if is_new_leader else {connection}
            )

    async def _execute_with_retries(self, order: RankOrder) -> OrderAnswer:
        """Send an order to the engine until it answers or the tries are used up.

        It is harmless when an engine receives the same order more than once.

        Load pattern: engines leave some of the orders unanswered while their group
        waits at a held step.
        """
        reason = ""
        for _ in range(MAX_ORDER_TRIES):
            try:
                return await self._engine.execute(order, ORDER_TIMEOUT_MS)
            except StepError as error:
                reason = error.reason
        self._n_by_name["orders_unanswered"] += 1
        return OrderAnswer(False, f"{reason}, {MAX_ORDER_TRIES} tries")

    def _answer_order(
        self, connection: EntryConnection, message: Any, is_accepted: bool, reason: str
    ) -> None:
        """Count and log an order, and answer it."""
        self._n_by_name["orders" if is_accepted else "orders_refused"] += 1
        log(
            "order",
            peer=connection.peer_id,
            action=message.action,
            token=message.fencing_token,
            epoch=message.epoch,
            map_version=message.map_version,
            step=message.step,
            is_accepted=is_accepted,
            reason=reason,
        )
        connection.send(
            messages.RankOrderDone(
                call_id=message.call_id, is_accepted=is_accepted, reason=reason
            )
        )

    async def _send_counts(self, connection: EntryConnection, message: Any) -> None:
        """Send the expert choices since the last request on the same connection.

        If the engine returns no counts, the answer contains only the reason.
        """
        try:
            counts = await self._engine.read_counts(bool(message.with_map))
        except StepError as error:
            connection.send(
                messages.RankCounts(call_id=message.call_id, reason=error.reason)
            )
            return
        previous = self._last_counts_by_connection.get(connection)
        self._last_counts_by_connection[connection] = counts
        connection.send(
            messages.RankCounts(
                call_id=message.call_id,
                epoch=counts.epoch,
                step=counts.step,
                packed_counts=_pack_new_counts(previous, counts),
                experts=[list(layer) for layer in counts.experts],
                map_version=counts.map_version,
            )
        )

    async def _read_forever(self) -> None:
        """Read the engine's state at intervals and report it when a report is due."""
        while True:
            snapshot = await self._read_engine()
            if snapshot is not None:
                self._send_due_reports(snapshot, set())
            interval_ms = READ_INTERVAL_MS
            if self.clock.now_ms() < self._loading_until_ms:
                interval_ms = LOADING_READ_INTERVAL_MS
            await asyncio.sleep(interval_ms / 1000)

    async def _read_engine(self) -> _EngineSnapshot | None:
        """Read the engine's state; return None when the engine does not answer.

        If a read that started later has already ended, its state is returned.
        """
        self._n_reads_started += 1
        read_number, token = self._n_reads_started, self.fencing_token
        try:
            state = await self._engine.read_state()
        except StepError as error:
            self._record_engine_contact(False, error.reason)
            return None
        self._record_engine_contact(True, "")
        if (
            self._latest_snapshot is not None
            and read_number < self._latest_snapshot.read_number
        ):
            return self._latest_snapshot
        self._log_group_change(state)
        self._latest_snapshot = _EngineSnapshot(state, token, read_number)
        if state.prepared_version == self._loading_version:
            self._loading_until_ms = 0
        return self._latest_snapshot

    def _send_due_reports(
        self, snapshot: _EngineSnapshot, recipients: set[EntryConnection]
    ) -> None:
        """Report a state to the entries for which a report is due.

        All entries receive changes of the group, the leader receives changes of the
        map, and the leader and the entries of this failure domain receive changes of
        the load. An unchanged state is reported at intervals.

        Load pattern: hundreds of agents and tens of entries in several failure domains.
        Reports of every change to every entry would need more bytes between the domains
        than the requests of callers.

        Parameters
        ----------
        snapshot : _EngineSnapshot
            State to report.
        recipients : set of EntryConnection
            Connections to report to even if no report is due.
        """
        now_ms = self.clock.now_ms()
        reported_state, state = self._last_reported_state, snapshot.state
        is_due = now_ms - self._last_full_report_ms >= REMOTE_REPORT_INTERVAL_MS
        if (
            is_due
            or reported_state is None
            or _get_group_fields(reported_state) != _get_group_fields(state)
        ):
            self._last_near_report_ms = self._last_full_report_ms = now_ms
            self._send_report(snapshot, self._connections)
            return
        due_connections = set(recipients)
        if now_ms - self._last_near_report_ms >= NEAR_REPORT_INTERVAL_MS:
            self._last_near_report_ms = now_ms
            due_connections |= {
                c for c in self._connections if self._needs_current_load(c)
            }
        if (
            _get_map_fields(reported_state) != _get_map_fields(state)
            and self._leader is not None
        ):
            due_connections.add(self._leader)
        if _count_requests(reported_state) != _count_requests(state):
            # Entries in other failure domains prefer endpoints of their own domain;
            # they receive the load with the next report that is due.
            due_connections |= {
                c for c in self._connections if self._needs_current_load(c)
            }
        if due_connections:
            self._send_report(snapshot, due_connections)

    def _needs_current_load(self, connection: EntryConnection) -> bool:
        """Return whether an entry needs frequent reports of the load and the step.

        These are the entries in the failure domain of this agent, and the leader in any
        failure domain.
        """
        is_own_domain = connection.peer_domain == self.settings.failure_domain
        return is_own_domain or connection is self._leader

    def _send_report(
        self, snapshot: _EngineSnapshot, connections: Iterable[EntryConnection]
    ) -> None:
        """Send a report of a state on all given connections that are ready."""
        self._last_reported_state = snapshot.state
        report = self._make_report(snapshot)
        for connection in connections:
            if connection.is_ready:
                connection.send(report)

    def _record_engine_contact(self, is_answering: bool, reason: str) -> None:
        """Record whether the engine has answered a read, and log a change."""
        if is_answering != self._is_engine_answering:
            self._is_engine_answering = is_answering
            event_name = "engine-regained" if is_answering else "engine-lost"
            log(event_name, reason=reason)

    def _log_group_change(self, state: EngineState) -> None:
        """Log the state if the epoch, the open state or the map version has changed."""
        old_state = self._latest_snapshot.state if self._latest_snapshot else None
        old_values = (
            (old_state.epoch, old_state.is_open, old_state.map_version)
            if old_state
            else None
        )
        new_values = (state.epoch, state.is_open, state.map_version)
        if old_values != new_values:
            log(
                "group",
                group=state.group_id,
                rank=state.rank,
                epoch=state.epoch,
                is_open=state.is_open,
                map_version=state.map_version,
                step=state.step,
            )

    def _make_report(self, snapshot: _EngineSnapshot) -> Any:
        """Return the next ``RankReport``, with a state of the engine."""
        state = snapshot.state
        self._sequence += 1
        return messages.RankReport(
            sequence=self._sequence,
            n_running=state.n_running,
            n_queued=state.n_queued,
            group_id=state.group_id,
            epoch=state.epoch,
            rank=state.rank,
            n_ranks=state.n_ranks,
            is_open=state.is_open,
            step=state.step,
            map_version=state.map_version,
            prepared_version=state.prepared_version,
            armed_version=state.armed_version or None,
            armed_step=state.armed_step or None,
            held_step=state.held_step,
            pace=state.pace,
            fencing_token=snapshot.fencing_token,
            started_wall_ms=state.started_wall_ms,
        )

    async def _tick_forever(self) -> None:
        """Check heartbeats and timeouts of all connections, and trim the memory."""
        n_ticks = 0
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
            now_ms = self.clock.now_ms()
            for connection in list(self._connections):
                connection.tick(now_ms)
            n_ticks += 1
            if n_ticks % N_TICKS_PER_TRIM == 0:
                self._memory.trim()

    def _read_gauges(self) -> dict[str, int]:
        """Return the values of the gauges by name; 0 for a state not yet read."""
        state = self._latest_snapshot.state if self._latest_snapshot else None
        return {
            "entries": len(self._connections),
            "engine_answers": int(self._is_engine_answering),
            "requests_running": state.n_running if state else 0,
            "requests_queued": state.n_queued if state else 0,
            "group_open": int(state.is_open) if state else 0,
            "group_epoch": state.epoch if state else 0,
            "group_step": state.step if state else 0,
            "map_version": state.map_version if state else 0,
            "fencing_token": self.fencing_token,
        }

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, with a reference that keeps the task alive."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Discard a task that has ended, and log the exception that it raised."""
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, Exception):
            self._report_fault(error)

    def _report_fault(self, error: Exception) -> None:
        """Count and log an unexpected exception."""
        self._n_by_name["internal_faults"] += 1
        log("internal-fault", error=f"{type(error).__name__}: {error}")


def _pack_new_counts(previous: RankCounts | None, counts: RankCounts) -> bytes | None:
    """Return the encoded number of choices of each expert since the previous counts.

    None when there are no previous counts, or when they are from another epoch.
    """
    if previous is None or previous.epoch != counts.epoch:
        return None
    pairs = zip(counts.n_by_expert, previous.n_by_expert, strict=True)
    return pack_counts([new - old for new, old in pairs])


def _count_requests(state: EngineState) -> int:
    """Return the number of running and queued requests."""
    return state.n_running + state.n_queued


def _get_group_fields(state: EngineState) -> tuple[object, ...]:
    """Return the fields whose changes are reported to every entry at once."""
    return state.epoch, state.is_open, state.started_wall_ms


def _get_map_fields(state: EngineState) -> tuple[object, ...]:
    """Return the fields whose changes are reported to the leader at once."""
    return (
        state.map_version,
        state.prepared_version,
        state.armed_version,
        state.held_step,
    )


def _decode_order(message: Any) -> RankOrder:
    """Return the order in a ``RankOrder`` message.

    Raises
    ------
    StepError
        When the action is unknown, or when the map cannot be decoded.
    """
    try:
        action = OrderAction(message.action)
    except ValueError:
        expected = ", ".join(action.value for action in OrderAction)
        reason = f"action={message.action!r}: expected one of {expected}"
        raise StepError("read-order", "", reason) from None
    try:
        expert_map = unpack_map(message.packed_map) if message.packed_map else ()
    except ValueError as error:
        raise StepError("read-order", "", str(error)) from None
    return RankOrder(
        rank_id="",
        action=action,
        epoch=message.epoch or 0,
        map_version=message.map_version or 0,
        step=message.step or 0,
        fencing_token=message.fencing_token or 0,
        expert_map=expert_map,
    )


async def _run_agent(
    settings: RankAgentSettings,
    make_engine: Callable[[RankAgentSettings], EngineControl],
) -> None:
    """Run an agent until SIGTERM or SIGINT."""
    agent = RankAgent(settings, make_engine(settings))
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: log("settings-reloaded"))
    await agent.start()
    await stop_requested.wait()
    await agent.stop()


def run_rank_agent(
    settings: RankAgentSettings,
    make_engine: Callable[[RankAgentSettings], EngineControl],
) -> None:
    """Run a rank agent until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : RankAgentSettings
        Settings of the agent.
    make_engine : callable
        Returns the connection to the engine; it is called in the event loop.
    """
    uvloop.run(_run_agent(settings, make_engine))
