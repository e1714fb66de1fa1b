"""Connections to peers."""

import asyncio
from collections.abc import Iterable
from random import Random
from typing import Any, Protocol

from bluebellusher.links._agents import EventSink
from bluebellusher.links._connection import FrameConnection, Identity
from bluebellusher.links._dialer import Dialer
from bluebellusher.links._ticker import LinkTicker
from bluebellusher_core.clock import Clock
from bluebellusher_core.wire import messages

# Default of ``n_max_handshakes``.
DEFAULT_MAX_HANDSHAKES = 2_048


class PeerHandler(Protocol):
    """Callbacks for the connections and messages of peers."""

    def on_peer_open(self, peer_id: str, hello: Any) -> None:
        """Handle a connection to a peer whose handshake is complete."""

    def on_peer_message(self, peer_id: str, message: Any) -> None:
        """Handle one message; raising ``StepError`` closes the connection."""

    def on_peer_lost(self, peer_id: str) -> None:
        """Handle the end of the last connection to a peer."""


class PeerLinks:
    """Connections to all peers, by instance id.

    Both sides dial, so there may be two connections to a peer. The parameters are those
    of ``AgentLinks``, with a ``handler`` for the connections and messages of peers, and
    ``n_max_handshakes``, the upper bound of the accepted connections whose handshake is
    incomplete.
    """

    def __init__(
        self,
        identity: Identity,
        sink: EventSink,
        ticker: LinkTicker,
        clock: Clock,
        random_state: Random,
        handler: PeerHandler,
        n_max_handshakes: int = DEFAULT_MAX_HANDSHAKES,
    ) -> None:
        self.connections_by_peer_id: dict[str, list[FrameConnection]] = {}
        self._identity = identity
        self._sink = sink
        self._ticker = ticker
        self._clock = clock
        self._random_state = random_state
        self._handler = handler
        self._n_max_handshakes = n_max_handshakes
        self._server: asyncio.Server | None = None
        self._task_by_address: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._accepted_connections: set[FrameConnection] = set()

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections of peers; return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_accepted_connection, host, port
        )
        return int(self._server.sockets[0].getsockname()[1])

    def dial(self, addresses: Iterable[tuple[str, int]]) -> None:
        """Start to keep a connection to each address that is not dialed yet."""
        for address in addresses:
            if address not in self._task_by_address:
                task = asyncio.create_task(self._run_dialer(*address))
                self._task_by_address[address] = task

    def send(self, peer_id: str, message: Any) -> bool:
        """Send a message to one peer; return False when the peer is not connected."""
        connections = self.connections_by_peer_id.get(peer_id)
        if not connections:
            return False
        connections[-1].send(message)
        return True

    def broadcast(self, message: Any) -> None:
        """Send a message to every connected peer."""
        for peer_id in self.connections_by_peer_id:
            self.send(peer_id, message)

    async def close(self) -> None:
        """Stop accepting and dialing, and close every connection."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._task_by_address.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connection in list(self._accepted_connections):
            connection.close("shutdown")

    def on_open(self, connection: FrameConnection) -> None:
        """Add the connection to those of its peer."""
        peer_id = connection.hello.instance_id
        connections = self.connections_by_peer_id.setdefault(peer_id, [])
        connections.append(connection)
        if len(connections) == 1:
            self._sink.log("peer-connected", peer=peer_id)
        self._handler.on_peer_open(peer_id, connection.hello)

    def on_message(self, connection: FrameConnection, message: Any) -> None:
        """Pass a message to the handler."""
        self._handler.on_peer_message(connection.hello.instance_id, message)

    def on_closed(self, connection: FrameConnection, error: str) -> None:
        """Remove the connection; report the peer as lost after its last one."""
        self._accepted_connections.discard(connection)
        if connection.hello is None:
            return
        peer_id = connection.hello.instance_id
        connections = self.connections_by_peer_id.get(peer_id, [])
        if connection in connections:
            connections.remove(connection)
        if (
            not connections
            and self.connections_by_peer_id.pop(peer_id, None) is not None
        ):
            self._sink.log("peer-lost", step="read-frame", peer=peer_id, error=error)
            self._handler.on_peer_lost(peer_id)

    def _make_connection(self, is_accepting: bool, peer: str) -> FrameConnection:
        role = messages.Role.ENTRY
        return FrameConnection(
            self._identity, role, is_accepting, self, self._clock, peer
        )

    def _make_accepted_connection(self) -> FrameConnection:
        pending = [c for c in self._accepted_connections if not c.is_open]
        if len(pending) >= self._n_max_handshakes:
            oldest = min(pending, key=lambda c: c.handshake_started_at_ms)
            oldest.close("too many incomplete handshakes")
            self._accepted_connections.discard(oldest)
        connection = self._make_connection(True, "incoming")
        self._accepted_connections.add(connection)
        self._ticker.add(connection)
        return connection

    async def _run_dialer(self, host: str, port: int) -> None:
        def make_connection() -> FrameConnection:
            return self._make_connection(False, f"{host}:{port}")

        dialer = Dialer(host, port, make_connection, self._ticker, self._random_state)
        await dialer.run()
