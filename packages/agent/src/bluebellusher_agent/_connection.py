"""Connection from one entry: handshake, framing, batched writes and timeouts."""

import asyncio
import os
from typing import Any, Protocol, cast

from bluebellusher_agent._log import log
from bluebellusher_core.clock import Clock
from bluebellusher_core.errors import StepError
from bluebellusher_core.wire import (
    FAST_HEARTBEAT,
    NONCE_BYTES,
    SLOW_HEARTBEAT,
    FrameDecoder,
    compute_hello_mac,
    decode_message,
    encode,
    messages,
    verify_hello,
)

PROTOCOL_VERSION = 1
FLUSH_DELAY_S = 0.005
# Time in ms after which a connection whose write buffer stays full is closed: the
# entry does not read, even if it still sends heartbeats.
MAX_BLOCKED_MS = 10_000
MAX_HELLO_BYTES = 16_384
MAX_BATCH_BYTES = 1_048_576
WRITE_HIGH_WATER_BYTES = 1_048_576


class ConnectionOwner(Protocol):
    """Interface of the agent that an ``EntryConnection`` uses."""

    secret: bytes
    clock: Clock

    def build_hello(self) -> Any:
        """Return the ``Hello`` of this agent without nonce and MAC."""

    def on_open(self, connection: "EntryConnection") -> None:
        """Handle a new connection, which is not authenticated yet."""

    def on_ready(self, connection: "EntryConnection") -> None:
        """Handle a completed handshake."""

    def on_message(self, connection: "EntryConnection", message: Any) -> None:
        """Handle one message of an authenticated entry."""

    def on_writable(self, connection: "EntryConnection") -> None:
        """Send buffered output after the write buffer of a connection has drained."""

    def on_closed(self, connection: "EntryConnection") -> None:
        """Handle the loss of the connection."""


class EntryConnection(asyncio.Protocol):
    """Accepting side of a connection from an entry.

    Parameters
    ----------
    owner : ConnectionOwner
        Agent that receives the messages and events of the connection.
    local_domain : str
        Failure domain of the agent. Connections to entries of other domains use
        ``SLOW_HEARTBEAT``; if empty, all connections use ``FAST_HEARTBEAT``.
    """

    def __init__(self, owner: ConnectionOwner, local_domain: str = "") -> None:
        self._owner = owner
        self._local_domain = local_domain
        self._heartbeat_timing = FAST_HEARTBEAT
        self._sent_at_ms = 0
        self._transport: asyncio.Transport | None = None
        self._nonce = os.urandom(NONCE_BYTES)
        self._hello_buffer = bytearray()
        self._decoder: FrameDecoder | None = None
        self._queued_started: list[Any] = []
        self._chunk_parts_by_id: dict[str, tuple[int, list[bytes]]] = {}
        self._queued_finished: list[Any] = []
        self._n_batch_bytes = 0
        self._flush_handle: asyncio.TimerHandle | None = None
        self._blocked_since_ms = 0
        self._is_blocked = False
        self._sequence = 0
        self._opened_at_ms = self._last_received_ms = owner.clock.now_ms()
        self.address = "-"
        self.peer_id = ""
        self.peer_domain = ""

    @property
    def is_ready(self) -> bool:
        """Return whether the handshake is complete and the connection open."""
        return self._decoder is not None and self._transport is not None

    @property
    def is_writable(self) -> bool:
        """Return whether more chunks may be queued."""
        return not self._is_blocked and self._transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a ``Hello`` with the nonce that the entry must authenticate."""
        # uvloop's transport has these methods without being a subclass.
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        peer = transport.get_extra_info("peername") or ("-", 0)
        self.address = f"{peer[0]}:{peer[1]}"
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._owner.on_open(self)
        hello = self._owner.build_hello()
        hello.nonce = self._nonce
        hello.mac = b""
        self.send(hello)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the agent, which retains the answers for resumption."""
        self._transport = None
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        self._owner.on_closed(self)

    def pause_writing(self) -> None:
        """Stop queueing chunks, because the write buffer is full."""
        self._is_blocked = True
        self._blocked_since_ms = self._owner.clock.now_ms()

    def resume_writing(self) -> None:
        """Continue to queue chunks, because the write buffer has drained."""
        self._is_blocked = False
        self._owner.on_writable(self)

    def data_received(self, data: bytes) -> None:
        """Handle received frames; a malformed one closes the connection."""
        now_ms = self._owner.clock.now_ms()
        # If this process was paused for longer than the receive timeout, the entry
        # has abandoned its attempts; frames received before the pause must not run.
        if now_ms - self._last_received_ms > self._heartbeat_timing.receive_timeout_ms:
            self.close("silent")
            return
        self._last_received_ms = now_ms
        try:
            if self._decoder is None:
                self._receive_hello(data)
            else:
                self._receive(data)
        except StepError as error:
            self.close(f"{error.step}: {error.reason}")
        except Exception as error:
            # A bug of the agent in handling a message closes only this connection.
            self.close(f"handle-message: {type(error).__name__}: {error}")

    def _receive_hello(self, data: bytes) -> None:
        """Buffer data up to the end of the first frame, then authenticate the entry."""
        self._hello_buffer += data
        if len(self._hello_buffer) < 4:
            return
        length = int.from_bytes(self._hello_buffer[:4], "big")
        if length > MAX_HELLO_BYTES:
            reason = f"frame of {length} bytes: expected at most {MAX_HELLO_BYTES}"
            raise StepError("handshake", self.address, reason)
        if len(self._hello_buffer) < 4 + length:
            return
        hello = decode_message(bytes(self._hello_buffer[4 : 4 + length]), self.address)
        remaining_data = bytes(self._hello_buffer[4 + length :])
        self._hello_buffer.clear()
        self._authenticate(hello)
        if remaining_data:
            self._receive(remaining_data)

    def _authenticate(self, hello: Any) -> None:
        """Verify the ``Hello`` of an entry and send the authenticated ``Hello``.

        Raises
        ------
        StepError
            If the message is not a valid ``Hello`` of an entry with the right MAC.
        """
        if not isinstance(hello, messages.Hello):
            raise StepError("handshake", self.address, "expected Hello")
        required_fields = (hello.instance_id, hello.failure_domain, hello.incarnation)
        is_entry_hello = (
            None not in required_fields and hello.role == messages.Role.ENTRY
        )
        nonce = hello.nonce or b""
        if not is_entry_hello or hello.protocol_version != PROTOCOL_VERSION:
            reason = f"expected Hello of an entry, protocol {PROTOCOL_VERSION}"
            raise StepError("handshake", self.address, reason)
        if len(nonce) != NONCE_BYTES or not hello.instance_id:
            reason = "expected an instance id and a nonce of 16 bytes"
            raise StepError("handshake", self.address, reason)
        if not verify_hello(self._owner.secret, self._nonce, hello):
            raise StepError("handshake", self.address, "wrong MAC")
        reply = self._owner.build_hello()
        reply.nonce = self._nonce
        reply.mac = compute_hello_mac(self._owner.secret, nonce, reply)
        self.send(reply)
        self.peer_id = hello.instance_id
        self.peer_domain = hello.failure_domain
        if self._local_domain and self._local_domain != self.peer_domain:
            self._heartbeat_timing = SLOW_HEARTBEAT
        self._decoder = FrameDecoder(self.address)
        self._owner.on_ready(self)

    def _receive(self, data: bytes) -> None:
        """Decode frames and pass all messages but heartbeats to the agent."""
        assert self._decoder is not None
        for message in self._decoder.feed(data):
            if self._transport is None or self._transport.is_closing():
                return
            if not isinstance(message, messages.Heartbeat):
                self._owner.on_message(self, message)

    def send(self, message: Any) -> None:
        """Write one message to the transport without batching."""
        if self._transport is not None and not self._transport.is_closing():
            self._sent_at_ms = self._owner.clock.now_ms()
            self._transport.write(encode(message))

    def queue_started(self, message: Any) -> None:
        """Queue a ``Started``, which the next flush writes before all chunks."""
        self._queued_started.append(message)
        self._schedule_flush()

    def queue_chunk(self, attempt_id: str, offset: int, data: bytes) -> None:
        """Queue a part of an answer; the flush joins the parts of one attempt."""
        queued = self._chunk_parts_by_id.get(attempt_id)
        if queued is None:
            self._chunk_parts_by_id[attempt_id] = (offset, [data])
        else:
            queued[1].append(data)
        self._n_batch_bytes += len(data)
        if self._n_batch_bytes >= MAX_BATCH_BYTES:
            self.flush()
        else:
            self._schedule_flush()

    def queue_finish(self, message: Any) -> None:
        """Queue a ``Finish``, which the next flush writes after all chunks."""
        self._queued_finished.append(message)
        self._schedule_flush()

    def discard_queued(self, attempt_id: str) -> None:
        """Discard all queued messages of an attempt that ended early."""
        queued = self._chunk_parts_by_id.pop(attempt_id, None)
        if queued is not None:
            self._n_batch_bytes -= sum(len(part) for part in queued[1])
        self._queued_started = [
            m for m in self._queued_started if m.attempt_id != attempt_id
        ]
        self._queued_finished = [
            m for m in self._queued_finished if m.attempt_id != attempt_id
        ]

    def _schedule_flush(self) -> None:
        if self._flush_handle is None:
            loop = asyncio.get_running_loop()
            self._flush_handle = loop.call_later(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Write all queued messages: ``Started``, then chunks, then ``Finish``.

        Entries rely on this order.
        """
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        frames = [encode(message) for message in self._queued_started]
        if self._chunk_parts_by_id:
            chunks = [
                messages.Chunk(attempt_id, offset, b"".join(parts))
                for attempt_id, (offset, parts) in self._chunk_parts_by_id.items()
            ]
            frames.append(encode(messages.ChunkBatch(chunks)))
        frames += [encode(message) for message in self._queued_finished]
        self._queued_started.clear()
        self._chunk_parts_by_id.clear()
        self._queued_finished.clear()
        self._n_batch_bytes = 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"".join(frames))

    def tick(self, now_ms: int) -> None:
        """Send a due heartbeat; close the connection when a timeout has expired."""
        if now_ms - self._last_received_ms > self._heartbeat_timing.receive_timeout_ms:
            self.close("silent")
            return
        if self._is_blocked and now_ms - self._blocked_since_ms > MAX_BLOCKED_MS:
            self.close("entry does not read")
            return
        if self.is_ready:
            if self._heartbeat_timing.is_heartbeat_due(self._sent_at_ms, now_ms):
                self._sequence += 1
                self.send(messages.Heartbeat(self._sequence))
        elif now_ms - self._opened_at_ms > self._heartbeat_timing.receive_timeout_ms:
            self.close("no handshake")

    def finish(self) -> None:
        """Write all queued messages and half-close; the entry closes the connection.

        Closing the socket while it has unread input would reset the connection, and
        the entry could lose frames that it has not read yet.
        """
        self.flush()
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write_eof()

    def close(self, reason: str) -> None:
        """Log the reason and abort the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        peer = self.peer_id or self.address
        log("connection-closed", peer=peer, address=self.address, reason=reason)
        self._transport.abort()
