"""Connections of an entry to the agents beside the ranks."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf
from random import Random
from typing import Any

from bluebellusher.links import Dialer, EventSink, FrameConnection, Identity, LinkTicker
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import EndpointRegistration
from bluebellusher_core.events import LoadReported
from bluebellusher_core.ranks import (
    OrderAction,
    RankOrder,
    RankState,
    pack_map,
)
from bluebellusher_core.wire import FAST_HEARTBEAT, messages

# Time to wait for the answer of an agent to an order or a request for counts.
CALL_TIMEOUT_MS = 1_000
# Pace from which a rank counts as slow, as a multiple of the usual time of its work.
MIN_SLOW_PACE = 1.25
# Upper bound of a reported pace.
MAX_PACE = 100.0


@dataclass(slots=True)
class _AgentConnection:
    """Connection to the agent on one host, and the endpoint that runs there.

    Parameters
    ----------
    endpoint : EndpointRegistration
        Endpoint on this host whose start the agent reports, or until it reports one,
        the endpoint that was started last.
    endpoints : tuple of EndpointRegistration
        Endpoints that are registered on this host, the one that was started last
        first. Any program can register an endpoint, also one that does not exist.
    task : asyncio.Task
        Task that keeps the connection open.
    connection : FrameConnection or None
        Open connection; None while the agent is not connected.
    state : RankState or None
        Last reported state of the endpoint's rank.
    n_reports : int
        Number of received reports.
    """

    endpoint: EndpointRegistration
    endpoints: tuple[EndpointRegistration, ...]
    task: asyncio.Task[None]
    connection: FrameConnection | None = None
    state: RankState | None = None
    n_reports: int = 0

    def use(self, endpoint: EndpointRegistration) -> None:
        """Use another endpoint, whose state is unknown until its next report."""
        if endpoint.endpoint_id != self.endpoint.endpoint_id:
            self.endpoint, self.state = endpoint, None

    def find_started(self, started_wall_ms: int) -> EndpointRegistration | None:
        """Return the endpoint with this start, or None.

        A start of 0 is unknown, and could be that of the endpoint in use.
        """
        known_ms = self.endpoint.started_wall_ms
        if not started_wall_ms or not known_ms or started_wall_ms == known_ms:
            return self.endpoint
        started = (e for e in self.endpoints if e.started_wall_ms == started_wall_ms)
        return next(started, None)


class RankLinks:
    """Connections to the agents of all endpoints of services with engines.

    Parameters
    ----------
    identity : Identity
        Identity of this entry, which it announces in the handshake.
    sink : EventSink
        Receives log events, and the load of each endpoint as events of the entry.
    ticker : LinkTicker
        Drives the heartbeats of the connections.
    clock : Clock
        Source of monotonic time.
    random_state : Random
        Source of the random delays between connection attempts.
    port : int
        Port on which every agent listens.

    Attributes
    ----------
    on_state : callable or None
        Called with each reported state of a rank.
    """

    def __init__(
        self,
        identity: Identity,
        sink: EventSink,
        ticker: LinkTicker,
        clock: Clock,
        random_state: Random,
        port: int,
    ) -> None:
        self.on_state: Callable[[RankState], None] | None = None
        self._identity = identity
        self._sink = sink
        self._ticker = ticker
        self._clock = clock
        self._random_state = random_state
        self._port = port
        self._agent_by_host: dict[str, _AgentConnection] = {}
        self._host_by_endpoint_id: dict[str, str] = {}
        self._future_by_call_id: dict[str, asyncio.Future[Any]] = {}
        self._call_ids = itertools.count(1)

    @property
    def n_connected(self) -> int:
        """Number of connected agents."""
        agents = self._agent_by_host.values()
        return sum(agent.connection is not None for agent in agents)

    def get_states(self) -> list[RankState]:
        """Return the last reported state of every rank whose agent is connected."""
        agents = self._agent_by_host.values()
        return [a.state for a in agents if a.state is not None and a.connection]

    def update(self, endpoints: Iterable[EndpointRegistration]) -> None:
        """Connect to the agents beside these endpoints, and close other connections.

        If several endpoints are registered on one host, the one that was started last
        is used until the agent reports the start of another one.
        """
        endpoints_by_host: dict[str, list[EndpointRegistration]] = {}
        for endpoint in sorted(endpoints, key=lambda e: -e.started_wall_ms):
            endpoints_by_host.setdefault(endpoint.host, []).append(endpoint)
        for host in self._agent_by_host.keys() - endpoints_by_host.keys():
            self._agent_by_host.pop(host).task.cancel()
        for host, on_host in endpoints_by_host.items():
            newest, agent = on_host[0], self._agent_by_host.get(host)
            if agent is None:
                task = asyncio.create_task(self._dial(host))
                agent = _AgentConnection(newest, tuple(on_host), task)
                self._agent_by_host[host] = agent
            used_ids = [endpoint.endpoint_id for endpoint in on_host]
            is_newest_known = newest.endpoint_id == agent.endpoints[0].endpoint_id
            if not is_newest_known or agent.endpoint.endpoint_id not in used_ids:
                agent.use(newest)
            agent.endpoints = tuple(on_host)
        self._host_by_endpoint_id = {
            endpoint.endpoint_id: host
            for host, on_host in endpoints_by_host.items()
            for endpoint in on_host
        }

    def find_domain(self, rank_id: str) -> str:
        """Return the failure domain of a rank; empty if the rank is not registered."""
        agent = self._agent_by_host.get(self._host_by_endpoint_id.get(rank_id, ""))
        return agent.endpoint.failure_domain if agent is not None else ""

    async def call(self, rank_id: str, message: Any) -> Any:
        """Send a message to the agent of a rank and return the answer.

        Returns None when the agent is not connected or does not answer within
        ``CALL_TIMEOUT_MS``.
        """
        host = self._host_by_endpoint_id.get(rank_id, "")
        agent = self._agent_by_host.get(host)
        connection = agent.connection if agent is not None else None
        if connection is None:
            return None
        message.call_id = str(next(self._call_ids))
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._future_by_call_id[message.call_id] = future
        connection.send(message)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1000):
                return await future
        except TimeoutError:
            # With agents in other failure domains, heartbeats have longer intervals and
            # detect a broken connection later than this check.
            idle_ms = self._clock.now_ms() - connection.received_at_ms
            if idle_ms > FAST_HEARTBEAT.receive_timeout_ms:
                connection.close(f"call not answered, silent for {idle_ms} ms")
            return None
        finally:
            del self._future_by_call_id[message.call_id]

    async def send_order(self, order: RankOrder) -> Any:
        """Send an order to the agent of its rank and return the agent's answer.

        Returns None when the agent is not connected or does not answer within
        ``CALL_TIMEOUT_MS``.
        """
        is_prepare = order.action is OrderAction.PREPARE
        message = messages.RankOrder(
            fencing_token=order.fencing_token,
            action=order.action.value,
            epoch=order.epoch,
            map_version=order.map_version,
            step=order.step,
            packed_map=pack_map(order.expert_map) if is_prepare else None,
        )
        return await self.call(order.rank_id, message)

    async def close(self) -> None:
        """Close all connections."""
        tasks = [agent.task for agent in self._agent_by_host.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_open(self, connection: FrameConnection) -> None:
        """Use a new connection to an agent, or close it if its endpoint has ended."""
        agent = self._agent_by_host.get(connection.host)
        if agent is None:
            connection.close("endpoint is deregistered")
            return
        agent.connection = connection
        self._sink.log("agent-connected", peer=connection.peer, host=connection.host)

    def on_message(self, connection: FrameConnection, message: Any) -> None:
        """Handle a report of an agent, or its answer to a call."""
        agent = self._agent_by_host.get(connection.host)
        if agent is None:
            return
        if isinstance(message, messages.RankReport):
            self._handle_report(agent, message)
            return
        future = self._future_by_call_id.get(getattr(message, "call_id", None) or "")
        if future is not None and not future.done():
            future.set_result(message)

    def on_closed(self, connection: FrameConnection, error: str) -> None:
        """Discard a lost connection; the state of its rank is not used any more."""
        agent = self._agent_by_host.get(connection.host)
        if agent is not None and agent.connection is connection:
            agent.connection = None
            self._sink.log("agent-lost", peer=connection.peer, error=error)

    def _handle_report(self, agent: _AgentConnection, report: Any) -> None:
        """Post the reported load as an event, and store the state of the rank.

        A report without a group contains no state of a rank.
        """
        agent.n_reports += 1
        endpoint = agent.find_started(report.started_wall_ms or 0)
        if endpoint is None:
            # The report is from another start than the registered ones.
            return
        agent.use(endpoint)
        is_open = bool(report.is_open)
        pace = _read_pace(report.pace)
        self._sink.post(
            LoadReported(
                endpoint_id=endpoint.endpoint_id,
                sequence=agent.n_reports,
                n_running=report.n_running or 0,
                n_queued=report.n_queued or 0,
                n_queued_tokens=0,
                n_slots=endpoint.n_slots,
                kv_use=0.0,
                models=frozenset(),
                adapters=frozenset(),
                age_ms=0,
                is_open=is_open,
                group_id=report.group_id or "",
                epoch=report.epoch or 0,
                step=report.step or 0,
                pace=pace,
            )
        )
        if not report.group_id:
            return
        agent.state = RankState(
            rank_id=endpoint.endpoint_id,
            group_id=report.group_id,
            epoch=report.epoch or 0,
            rank=report.rank or 0,
            n_ranks=report.n_ranks or 0,
            is_open=is_open,
            step=report.step or 0,
            map_version=report.map_version or 0,
            prepared_version=report.prepared_version or 0,
            armed_version=report.armed_version or 0,
            armed_step=report.armed_step or 0,
            held_step=report.held_step,
            fencing_token=report.fencing_token or 0,
            pace=pace,
            received_at_ms=self._clock.now_ms(),
        )
        if self.on_state is not None:
            self.on_state(agent.state)

    async def _dial(self, host: str) -> None:
        """Keep a connection to the agent on a host open until cancelled."""

        def make_connection() -> FrameConnection:
            connection = FrameConnection(
                self._identity,
                messages.Role.AGENT,
                False,
                self,
                self._clock,
                f"{host}:{self._port}",
                has_slow_heartbeat_across_domains=True,
            )
            connection.host = host
            return connection

        dialer = Dialer(
            host, self._port, make_connection, self._ticker, self._random_state
        )
        await dialer.run()


def _read_pace(pace: float | None) -> float:
    """Return the pace of a slow rank; 1 for any other and for an invalid value.

    Engines report small deviations from the usual pace all the time. Maps and routing
    must not follow them.
    """
    if pace is None or not MIN_SLOW_PACE <= pace < inf:
        return 1.0
    return min(pace, MAX_PACE)
