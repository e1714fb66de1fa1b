"""Endpoint agent: relays requests from entries to the engine or plain service."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any

from bluebellusher_agent._checks import (
    find_dispatch_problem,
    find_id_problem,
    is_id,
    is_order,
)
from bluebellusher_agent._connection import EntryConnection
from bluebellusher_agent._executor import Executor
from bluebellusher_agent._http import HttpClient
from bluebellusher_agent._keeper import RunManager
from bluebellusher_agent._log import log
from bluebellusher_agent._memory import MemoryTrimmer
from bluebellusher_agent._monitor import TargetMonitor
from bluebellusher_agent._orders import OrderForwarder
from bluebellusher_agent._reports import CacheReader, LoadReader
from bluebellusher_agent._run import Run
from bluebellusher_agent._runs import Decision, RunTable, Verdict
from bluebellusher_agent._settings import AgentSettings
from bluebellusher_core.clock import Clock, SystemClock
from bluebellusher_core.errors import Reason, StepError
from bluebellusher_core.wire import messages

TICK_MS = 500
TRIM_TICKS = 20
FINISH_TIMEOUT_MS = 2_000
MAX_CONNECTIONS = 512


class Agent:
    """Endpoint agent, one process per endpoint instance.

    The agent accepts connections from entries, runs their attempts on the target
    (the engine or plain service on the same instance), relays the answers, and
    reports the load and the cache contents of the target to all entries.

    Parameters
    ----------
    settings : AgentSettings
        Validated settings.
    clock : Clock or None
        Time source; None for the system clock.

    Examples
    --------
    ::

        agent = Agent(AgentSettings.from_file("agent.json"))
        await agent.start()
        agent.start_drain()
        await agent.wait_idle()
        await agent.stop()
    """

    def __init__(self, settings: AgentSettings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.secret = settings.shared_secret.encode()
        self.port = settings.listen.port
        self.incarnation = self.clock.wall_ms()
        self.is_model = settings.kind == "model"
        self.runs = RunTable(settings.max_runs)
        self._client = HttpClient(settings.target.host, settings.target.port)
        self._monitor = TargetMonitor(self._client, self._on_crash)
        self._state_changed = asyncio.Event()
        self._run_manager = RunManager(
            self.runs, settings, self.clock, self._spawn, self._state_changed.set
        )
        executor = Executor(
            self._client, self._monitor, self._run_manager, self.is_model
        )
        self._run_manager.set_executor(executor)
        self._load = LoadReader(
            self._client, settings.models, settings.adapters, settings.n_slots
        )
        self._cache = CacheReader(self._client)
        self._orders = OrderForwarder(self._client)
        self._connections: set[EntryConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._is_target_answering = True
        self._memory = MemoryTrimmer()

    async def start(self) -> None:
        """Listen for entries and start the periodic tasks.

        The tasks send heartbeats and reports of load and cache, and check timeouts.
        """
        loop = asyncio.get_running_loop()
        listen = self.settings.listen
        self._server = await loop.create_server(
            lambda: EntryConnection(self), listen.host, listen.port
        )
        self.port = int(self._server.sockets[0].getsockname()[1])
        if self.settings.is_draining:
            self.start_drain()
        self._spawn(self._tick_forever())
        self._spawn(self._report_forever())
        self._memory.trim()
        log("listening", host=listen.host, port=self.port)

    async def stop(self) -> None:
        """Close all connections and cancel all tasks without a drain."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close("agent stops")
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._client.close_idle(is_all=True)

    def start_drain(self) -> None:
        """Refuse new attempts from now on and broadcast ``Drain`` to all entries."""
        if self.runs.is_draining:
            return
        self.runs.is_draining = True
        log("draining", n_runs=len(self.runs))
        self._broadcast(messages.Drain(self.settings.instance_id))

    async def wait_idle(self) -> None:
        """Wait until every run has ended or its complete answer is queued."""
        while any(not run.is_finish_queued for run in self.runs):
            self._state_changed.clear()
            await self._state_changed.wait()

    async def finish_connections(self) -> None:
        """Flush all connections and wait for the entries to close them.

        The wait is limited to ``FINISH_TIMEOUT_MS``; ``stop`` aborts connections
        that are still open then.
        """
        for connection in self._connections:
            connection.finish()
        loop = asyncio.get_running_loop()
        end_time_s = loop.time() + FINISH_TIMEOUT_MS / 1000
        while self._connections and loop.time() < end_time_s:
            self._state_changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(end_time_s):
                    await self._state_changed.wait()

    def build_hello(self) -> Any:
        """Return the ``Hello`` of this agent without nonce and MAC."""
        return messages.Hello(
            protocol_version=1,
            instance_id=self.settings.instance_id,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            role=messages.Role.AGENT,
            services=list(self.settings.services),
            models=self._load.models,
            adapters=self._load.adapters,
            n_slots=self._load.n_slots,
            is_draining=self.runs.is_draining,
        )

    def on_open(self, connection: EntryConnection) -> None:
        """Register a new connection, or close it above ``MAX_CONNECTIONS``.

        ``EntryConnection.tick`` closes it if the handshake does not complete in time.
        """
        self._connections.add(connection)
        if len(self._connections) > MAX_CONNECTIONS:
            connection.close("too many connections")

    def on_ready(self, connection: EntryConnection) -> None:
        """Send the last load report, the cached blocks and the drain state."""
        log("entry-connected", peer=connection.peer_id, address=connection.address)
        for message in (self._load.last_report, self._cache.build_snapshot()):
            if message is not None:
                connection.send(message)
        if self.runs.is_draining:
            connection.send(messages.Drain(self.settings.instance_id))

    def on_closed(self, connection: EntryConnection) -> None:
        """Detach the runs of a lost connection and start their resume windows."""
        self._connections.discard(connection)
        detached_runs = [run for run in self.runs if run.connection is connection]
        for run in detached_runs:
            run.detach()
            self._run_manager.start_resume_window(run)
        self._state_changed.set()
        log("entry-lost", peer=connection.peer_id or "-", n_held=len(detached_runs))

    def on_writable(self, connection: EntryConnection) -> None:
        """Send buffered output of the runs of this connection."""
        for run in self.runs:
            if run.connection is connection:
                run.send_available()
        self._state_changed.set()

    def on_message(self, connection: EntryConnection, message: Any) -> None:
        """Handle one message of an entry."""
        if isinstance(message, messages.Dispatch):
            self._on_dispatch(connection, message)
        elif isinstance(message, messages.Credit):
            self._on_credit(connection, message)
        elif isinstance(message, messages.Cancel):
            self._on_cancel(connection, message)
        elif isinstance(message, messages.Order):
            self._on_order(connection, message)
        else:
            log("unexpected-message", kind=type(message).__name__)

    def _on_dispatch(self, connection: EntryConnection, dispatch: Any) -> None:
        problem = find_id_problem(dispatch)
        if problem:
            connection.close(problem)
            return
        now_ms = self.clock.now_ms()
        problem = find_dispatch_problem(dispatch, self.is_model)
        if problem:
            log("bad-dispatch", attempt_id=dispatch.attempt_id, reason=problem)
            # A refusal would state that the attempt was not run, which is false for
            # an attempt that already runs under this id.
            is_existing_attempt = self.runs.get(dispatch.attempt_id) is not None
            decision = Decision(
                Verdict.CLOSE if is_existing_attempt else Verdict.REFUSE
            )
        else:
            decision = self.runs.decide(dispatch, connection, now_ms)
        self._apply_decision(decision, connection, dispatch, now_ms)

    def _apply_decision(
        self,
        decision: Decision,
        connection: EntryConnection,
        dispatch: Any,
        now_ms: int,
    ) -> None:
        verdict, run = decision.verdict, decision.run
        attempt_id = dispatch.attempt_id
        if verdict is not Verdict.START:
            log(
                "dispatch-" + verdict.value,
                attempt_id=attempt_id,
                reason=decision.reason,
            )
        if verdict is Verdict.CLOSE:
            connection.close(f"attempt {attempt_id} belongs to another request")
        elif verdict is Verdict.REFUSE:
            reason, retry_ms = decision.reason.value, decision.retry_after_ms
            connection.send(messages.Refuse(attempt_id, reason, retry_ms))
        elif verdict is Verdict.BREAK:
            connection.send(messages.Broken(attempt_id, decision.reason.value, False))
        elif verdict is Verdict.RESUME and run is not None:
            self._run_manager.resume(run, connection, dispatch, now_ms)
        elif verdict in (Verdict.START, Verdict.REPLACE):
            if run is not None:
                self._run_manager.cancel(run)
            if dispatch.is_isolated:
                # If this process terminates during the run, this message shows the
                # entry that the suspect had arrived and was running alone.
                connection.send(messages.Accepted(attempt_id))
            self._run_manager.start(connection, dispatch, now_ms)

    def _on_credit(self, connection: EntryConnection, message: Any) -> None:
        run = self._find_run(connection, message.attempt_id)
        n_bytes = message.n_bytes
        if run is not None and n_bytes is not None and n_bytes > 0:
            run.add_credit(n_bytes)
            self._state_changed.set()

    def _on_cancel(self, connection: EntryConnection, message: Any) -> None:
        run = self._find_run(connection, message.attempt_id)
        if run is not None:
            log("cancelled", attempt_id=run.attempt_id)
            self._run_manager.cancel(run)

    def _find_run(self, connection: EntryConnection, attempt_id: Any) -> Run | None:
        """Return the run of an attempt if it belongs to this connection, else None."""
        run = self.runs.get(attempt_id) if is_id(attempt_id) else None
        return run if run is not None and run.connection is connection else None

    def _on_order(self, connection: EntryConnection, order: Any) -> None:
        if not is_order(order) or not self.is_model:
            reason = "malformed order, or not an engine"
            result = messages.OrderResult(order.order_id or "", False, reason, 0)
            connection.send(result)
            return
        self._spawn(self._execute_order(connection, order))

    async def _execute_order(self, connection: EntryConnection, order: Any) -> None:
        connection.send(await self._orders.execute(order))

    def _on_crash(self) -> None:
        """Broadcast the attempts that a crash of the target ended; end their runs."""
        affected_runs = [run for run in self.runs.running() if run.is_affected_by_crash]
        if affected_runs:
            isolated = next(
                (r.fingerprint for r in affected_runs if r.is_isolated), None
            )
            crash = messages.EngineCrash(
                attempt_ids=[run.attempt_id for run in affected_runs],
                fingerprints=sorted({run.fingerprint for run in affected_runs}),
                isolated_fingerprint=isolated,
            )
            for connection in self._connections:
                connection.flush()
            self._broadcast(crash)
            log("engine-crash", n_attempts=len(affected_runs), isolated=isolated or "-")
        for run in affected_runs:
            self._run_manager.on_broken(run, Reason.ENGINE_ERROR)
        if self.is_model:
            self._broadcast(self._cache.discard_blocks())

    def _broadcast(self, message: Any) -> None:
        for connection in list(self._connections):
            if connection.is_ready:
                connection.send(message)

    async def _tick_forever(self) -> None:
        n_ticks = 0
        while True:
            now_ms = self.clock.now_ms()
            for connection in list(self._connections):
                connection.tick(now_ms)
            self._run_manager.reconnect_stalled_streams(TICK_MS)
            self._client.close_idle()
            n_ticks += 1
            if n_ticks % TRIM_TICKS == 0 and not len(self.runs):
                self._memory.trim()
            await asyncio.sleep(TICK_MS / 1000)

    async def _report_forever(self) -> None:
        while True:
            try:
                await self._report()
                self._record_target_state(True, "")
            except StepError as error:
                self._record_target_state(False, error.reason)
            await asyncio.sleep(TICK_MS / 1000)

    def _record_target_state(self, is_answering: bool, reason: str) -> None:
        """Log when the target starts or stops answering the requests for reports."""
        if is_answering != self._is_target_answering:
            self._is_target_answering = is_answering
            log("target-reports", is_answering=is_answering, reason=reason)

    async def _report(self) -> None:
        """Read the state of the target and broadcast the reports that have changed."""
        if not self.is_model:
            counts = [len(self.runs.running()), 0, 0]
            report = self._load.update(counts, 0.0, 0, self.runs.is_draining)
            self._send_report(report)
            return
        report = await self._load.read_engine(self.runs.is_draining)
        self._monitor.observe_boot_id(self._load.boot_id)
        if self._load.is_engine_draining:
            self.start_drain()
        self._send_report(report)
        self._send_report(await self._cache.read())

    def _send_report(self, report: Any) -> None:
        if report is not None:
            self._broadcast(report)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # An unexpected exception in one task must not stop the other tasks.
            log("task-failed", error=repr(task.exception()))
