"""Connections to agents and the attempts that run on them."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable
from http import HTTPStatus
from random import Random
from typing import Any, Protocol

from bluebellusher.links._connection import FrameConnection, Identity
from bluebellusher.links._dialer import Dialer
from bluebellusher.links._relay import AttemptRelay
from bluebellusher.links._reports import to_cache_event, to_crash_event, to_load_event
from bluebellusher.links._ticker import LinkTicker
from bluebellusher_core.clock import Clock
from bluebellusher_core.errors import NOT_RUN_STATUSES, Reason, StepError
from bluebellusher_core.events import (
    AttemptAccepted,
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    EndpointConnected,
    EndpointDraining,
    EndpointInfo,
    EndpointLost,
    Event,
    Usage,
)
from bluebellusher_core.wire import messages

# Number of ended attempts to keep for each connection. Late messages of these attempts
# are ignored, while an attempt id that was never used on the connection closes it.
_MAX_ENDED_ATTEMPTS = 4096
_REASONS = frozenset(Reason)


class EventSink(Protocol):
    """Destination of the events and log lines of the connections."""

    def post(self, event: Event) -> None:
        """Queue an event for the reducer."""

    def log(self, name: str, **fields: str | int | float) -> None:
        """Write one log line."""


class AgentLink:
    """Open connection to the agent of one endpoint, with its attempts in progress."""

    def __init__(self, connection: FrameConnection, sink: EventSink) -> None:
        self.connection = connection
        self.endpoint_id: str = connection.hello.instance_id
        self.relay_by_attempt_id: dict[str, AttemptRelay] = {}
        self._sink = sink
        self._ended_attempt_ids: OrderedDict[str, None] = OrderedDict()
        self._handler_by_type = {
            messages.ChunkBatch: self._on_chunks,
            messages.Accepted: self._on_accepted,
            messages.Started: self._on_started,
            messages.Finish: self._on_finish,
            messages.Refuse: self._on_refuse,
            messages.Broken: self._on_broken,
            messages.LoadReport: self._on_load_report,
            messages.CacheReport: self._on_cache_report,
            messages.EngineCrash: self._on_engine_crash,
            messages.Drain: self._on_drain,
        }

    def dispatch(self, relay: AttemptRelay, message: Any) -> None:
        """Send an attempt to the agent and register the relay of its answer."""
        self.connection.send(message)
        self.relay_by_attempt_id[relay.attempt_id] = relay

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; late messages about it are ignored."""
        relay = self._end_attempt(attempt_id)
        if relay is not None:
            relay.release()
            self.connection.send(messages.Cancel(attempt_id=attempt_id))

    def handle_message(self, message: Any) -> None:
        """Handle one message from the agent; ignore messages of other types."""
        handle = self._handler_by_type.get(type(message))
        if handle is not None:
            handle(message)

    def break_all_attempts(self) -> None:
        """Report every attempt in progress as broken because the connection is lost."""
        for attempt_id in list(self.relay_by_attempt_id):
            self._break_attempt(attempt_id, Reason.ENDPOINT_LOST, is_resumable=True)

    def _find_relay(self, attempt_id: str) -> AttemptRelay | None:
        """Return the relay of an attempt; None when the attempt has ended.

        Raises
        ------
        StepError
            When the attempt was never sent on this connection.
        """
        relay = self.relay_by_attempt_id.get(attempt_id)
        if relay is None and attempt_id not in self._ended_attempt_ids:
            reason = f"attempt_id={attempt_id!r}: expected one sent on this connection"
            raise StepError("relay", self.endpoint_id, reason)
        return relay

    def _end_attempt(self, attempt_id: str) -> AttemptRelay | None:
        """Remove an attempt in progress and record its id; return its relay."""
        relay = self.relay_by_attempt_id.pop(attempt_id, None)
        if relay is not None:
            self._ended_attempt_ids[attempt_id] = None
            if len(self._ended_attempt_ids) > _MAX_ENDED_ATTEMPTS:
                self._ended_attempt_ids.popitem(last=False)
        return relay

    def _break_attempt(
        self, attempt_id: str, reason: Reason, is_resumable: bool
    ) -> None:
        """End an attempt and report it as broken."""
        relay = self._end_attempt(attempt_id)
        if relay is not None:
            n_bytes = relay.release()
            self._sink.post(
                AttemptBroken(
                    attempt_id, reason, n_bytes, is_resumable, self.endpoint_id
                )
            )

    def _fail_attempt(self, attempt_id: str, problem: str) -> None:
        """Cancel an attempt whose answer failed a check and report it as broken."""
        self._sink.log(
            "stream-corrupt",
            step="relay",
            peer=self.endpoint_id,
            attempt=attempt_id,
            problem=problem,
        )
        self._cancel_broken(attempt_id, Reason.STREAM_CORRUPT)

    def _cancel_broken(self, attempt_id: str, reason: Reason) -> None:
        """Cancel an attempt whose answer is not relayed and report it as broken."""
        self.connection.send(messages.Cancel(attempt_id=attempt_id))
        self._break_attempt(attempt_id, reason, is_resumable=False)

    def _on_chunks(self, batch: Any) -> None:
        for chunk in batch.chunks or ():
            relay = self._find_relay(chunk.attempt_id)
            problem = relay.accept(chunk) if relay is not None else ""
            if problem:
                self._fail_attempt(chunk.attempt_id, problem)

    def _on_accepted(self, accepted: Any) -> None:
        if self._find_relay(accepted.attempt_id) is not None:
            event = AttemptAccepted(accepted.attempt_id, self.endpoint_id)
            self._sink.post(event)

    def _on_started(self, started: Any) -> None:
        relay = self._find_relay(started.attempt_id)
        if relay is None:
            return
        if started.status in NOT_RUN_STATUSES:
            # The agent reports a run that it refuses in a message of its own.
            self._sink.log(
                "attempt-refusal-unconfirmed",
                peer=self.endpoint_id,
                attempt=started.attempt_id,
                status=started.status,
            )
            self._cancel_broken(started.attempt_id, Reason.UNCONFIRMED_REFUSAL)
            return
        problem = relay.start(started)
        if problem:
            self._fail_attempt(started.attempt_id, problem)
        else:
            is_error = (started.status or 0) >= HTTPStatus.BAD_REQUEST
            self._sink.post(
                AttemptStarted(started.attempt_id, self.endpoint_id, is_error)
            )

    def _on_finish(self, finish: Any) -> None:
        relay = self._find_relay(finish.attempt_id)
        if relay is None:
            return
        problem = relay.finish(finish)
        if problem:
            self._fail_attempt(finish.attempt_id, problem)
            return
        self._end_attempt(finish.attempt_id)
        usage = Usage(
            finish.n_input_tokens or 0,
            finish.n_cached_tokens or 0,
            finish.n_output_tokens or 0,
        )
        status = relay.answer.status
        self._sink.post(
            AttemptFinished(
                finish.attempt_id, status, finish.n_bytes, usage, self.endpoint_id
            )
        )

    def _on_refuse(self, refuse: Any) -> None:
        relay = self._find_relay(refuse.attempt_id)
        if relay is None:
            return
        # An agent cannot refuse an attempt whose answer it has started to send.
        if relay.answer.owner_attempt_id == refuse.attempt_id:
            self._fail_attempt(
                refuse.attempt_id, "refused after its answer had started"
            )
            return
        self._end_attempt(refuse.attempt_id)
        reason = _to_reason(refuse.reason, Reason.NO_ENDPOINT)
        retry_after_ms = max(0, refuse.retry_after_ms or 0)
        self._sink.post(
            AttemptRefused(refuse.attempt_id, reason, retry_after_ms, self.endpoint_id)
        )

    def _on_broken(self, broken: Any) -> None:
        if self._find_relay(broken.attempt_id) is not None:
            reason = _to_reason(broken.reason, Reason.ENGINE_ERROR)
            self._break_attempt(broken.attempt_id, reason, bool(broken.is_resumable))

    def _on_load_report(self, report: Any) -> None:
        self._sink.post(to_load_event(self.endpoint_id, report))
        if report.is_draining:
            self._sink.post(EndpointDraining(self.endpoint_id))

    def _on_cache_report(self, report: Any) -> None:
        self._sink.post(to_cache_event(self.endpoint_id, report))

    def _on_engine_crash(self, crash: Any) -> None:
        self._sink.post(to_crash_event(self.endpoint_id, crash))

    def _on_drain(self, _drain: Any) -> None:
        self._sink.post(EndpointDraining(self.endpoint_id))


class AgentLinks:
    """Connections to all agents, by endpoint id.

    Parameters
    ----------
    identity : Identity
        Description of this entry for its ``Hello``.
    sink : EventSink
        Receives events and log lines.
    ticker : LinkTicker
        Timer that sends the heartbeats.
    clock : Clock
        Clock for the heartbeats and the receive timeouts.
    random_state : random.Random
        Source of the random delays between reconnects.
    """

    def __init__(
        self,
        identity: Identity,
        sink: EventSink,
        ticker: LinkTicker,
        clock: Clock,
        random_state: Random,
    ) -> None:
        self.link_by_endpoint_id: dict[str, AgentLink] = {}
        self._identity = identity
        self._sink = sink
        self._ticker = ticker
        self._clock = clock
        self._random_state = random_state
        self._task_by_address: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._connection_by_address: dict[tuple[str, int], FrameConnection] = {}

    def dial(self, addresses: Iterable[tuple[str, int]]) -> None:
        """Start to keep a connection to each address that is not dialed yet."""
        for address in addresses:
            if address not in self._task_by_address:
                task = asyncio.create_task(self._run_dialer(*address))
                self._task_by_address[address] = task

    def stop_dialing(self, address: tuple[str, int]) -> bool:
        """Stop dialing an address, unless its connection is open.

        Return False when the connection is open.
        """
        connection = self._connection_by_address.get(address)
        if connection is not None and connection.is_open:
            return False
        self._connection_by_address.pop(address, None)
        task = self._task_by_address.pop(address, None)
        if task is not None:
            task.cancel()
        return True

    async def close(self) -> None:
        """Stop dialing and close every connection."""
        tasks = list(self._task_by_address.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close_endpoint(self, endpoint_id: str, error: str) -> None:
        """Close the connection to an endpoint; its dialer reconnects."""
        link = self.link_by_endpoint_id.get(endpoint_id)
        if link is not None:
            link.connection.close(error)

    def on_open(self, connection: FrameConnection) -> None:
        """Report the endpoint as connected, or close a second connection to it.

        A dialer reconnects only after its connection has ended. A second connection
        therefore means that two addresses lead to the same endpoint id.
        """
        hello = connection.hello
        if hello.instance_id in self.link_by_endpoint_id:
            self._sink.log("agent-duplicate", step="connect", peer=hello.instance_id)
            connection.close("another connection to this endpoint is open")
            return
        self.link_by_endpoint_id[hello.instance_id] = AgentLink(connection, self._sink)
        self._sink.log("agent-connected", peer=connection.peer)
        self._sink.post(EndpointConnected(_to_endpoint_info(hello)))

    def on_message(self, connection: FrameConnection, message: Any) -> None:
        """Pass a message to the ``AgentLink`` of its connection."""
        link = self._find_link(connection)
        if link is not None:
            link.handle_message(message)

    def on_closed(self, connection: FrameConnection, error: str) -> None:
        """Report the endpoint as lost; its dialer reconnects."""
        link = self._find_link(connection)
        if link is not None:
            del self.link_by_endpoint_id[link.endpoint_id]
            self._remove_link(link, error)
        elif connection.hello is None:
            self._sink.log("agent-not-connected", peer=connection.peer, error=error)

    def _remove_link(self, link: AgentLink, error: str) -> None:
        """Report the attempts in progress as broken and the endpoint as lost."""
        link.connection.close(error)
        self._sink.log(
            "agent-lost", step="read-frame", peer=link.endpoint_id, error=error
        )
        # The reducer needs the number of bytes that each caller has received before it
        # handles the loss of the endpoint.
        link.break_all_attempts()
        self._sink.post(EndpointLost(link.endpoint_id))

    def _find_link(self, connection: FrameConnection) -> AgentLink | None:
        """Return the link of a connection; None for a closed or second connection."""
        if connection.hello is None:
            return None
        link = self.link_by_endpoint_id.get(connection.hello.instance_id)
        return link if link and link.connection is connection else None

    async def _run_dialer(self, host: str, port: int) -> None:
        def make_connection() -> FrameConnection:
            peer = f"{host}:{port}"
            role = messages.Role.AGENT
            connection = FrameConnection(
                self._identity, role, False, self, self._clock, peer
            )
            self._connection_by_address[host, port] = connection
            return connection

        dialer = Dialer(host, port, make_connection, self._ticker, self._random_state)
        await dialer.run()


def _to_endpoint_info(hello: Any) -> EndpointInfo:
    return EndpointInfo(
        endpoint_id=hello.instance_id,
        failure_domain=hello.failure_domain,
        services=frozenset(hello.services or ()),
        models=frozenset(hello.models or ()),
        adapters=frozenset(hello.adapters or ()),
        n_slots=max(1, hello.n_slots or 1),
        incarnation=hello.incarnation,
        is_draining=bool(hello.is_draining),
    )


def _to_reason(value: str | None, default: Reason) -> Reason:
    """Return the reason of an agent's message; ``default`` for an unknown value."""
    return Reason(value) if value in _REASONS else default
