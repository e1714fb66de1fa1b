"""Authenticated connections that carry framed messages in both directions."""

import asyncio
import secrets
from dataclasses import dataclass, field
from typing import Any, Protocol, cast

from bluebellusher_core.clock import Clock
from bluebellusher_core.errors import StepError
from bluebellusher_core.wire import (
    FAST_HEARTBEAT,
    NONCE_BYTES,
    SLOW_HEARTBEAT,
    FrameDecoder,
    compute_hello_mac,
    encode,
    messages,
    verify_hello,
)

PROTOCOL_VERSION = 1
# Limits the memory that an unauthenticated peer can make this process buffer.
MAX_HANDSHAKE_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class Identity:
    """Description of this process that its ``Hello`` messages carry.

    Parameters
    ----------
    instance_id : str
        Instance on which the process runs.
    incarnation : int
        Number of this start of the process.
    failure_domain : str
        Failure domain of the instance.
    secret : bytes
        Secret shared by the deployment, from which the MAC is computed.
    role : int
        ``messages.Role`` of the process.
    services, models : tuple of str
        Services and models that the process offers; empty for an entry.
    """

    instance_id: str
    incarnation: int
    failure_domain: str
    secret: bytes = field(repr=False)
    role: int = messages.Role.ENTRY
    services: tuple[str, ...] = ()
    models: tuple[str, ...] = ()

    def make_hello(self, nonce: bytes, challenge: bytes | None) -> Any:
        """Build a ``Hello`` message.

        ``nonce`` is the challenge to the other side. ``challenge`` is the nonce of the
        other side, over which the MAC is computed; with None the MAC is empty.
        """
        hello = messages.Hello(
            protocol_version=PROTOCOL_VERSION,
            instance_id=self.instance_id,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            role=self.role,
            nonce=nonce,
            mac=b"",
            services=list(self.services),
            models=list(self.models),
            adapters=[],
            n_slots=0,
            is_draining=False,
        )
        if challenge is not None:
            hello.mac = compute_hello_mac(self.secret, challenge, hello)
        return hello


class ConnectionHandler(Protocol):
    """Callbacks of a connection.

    They run on the event loop, in the order in which the events occur.
    """

    def on_open(self, connection: "FrameConnection") -> None:
        """Handle a completed handshake; ``connection.hello`` is verified."""

    def on_message(self, connection: "FrameConnection", message: Any) -> None:
        """Handle one message; raising ``StepError`` closes the connection."""

    def on_closed(self, connection: "FrameConnection", error: str) -> None:
        """Handle the end of a connection, even if its handshake never completed."""


class FrameConnection(asyncio.Protocol):
    """Connection with handshake, framing, heartbeats and a receive timeout.

    Parameters
    ----------
    identity : Identity
        Description of this process for its ``Hello``.
    expected_role : int
        ``messages.Role`` that the other side must have.
    is_accepting : bool
        Whether the other side opened the connection.
    handler : ConnectionHandler
        Receives the events of the connection.
    clock : Clock
        Clock for the heartbeats and the receive timeout.
    peer : str
        Name of the other side in errors until its ``Hello`` is verified.
    has_slow_heartbeat_across_domains : bool
        Whether ``SLOW_HEARTBEAT`` applies when the other side is in another failure
        domain. Otherwise every connection uses ``FAST_HEARTBEAT``.
    """

    def __init__(
        self,
        identity: Identity,
        expected_role: int,
        is_accepting: bool,
        handler: ConnectionHandler,
        clock: Clock,
        peer: str,
        has_slow_heartbeat_across_domains: bool = False,
    ) -> None:
        self.peer = peer
        # Dialed host, if the dialing code sets it; empty for accepted connections.
        self.host = ""
        self.hello: Any = None
        self.is_open = False
        self.is_closed = False
        self.received_at_ms = clock.now_ms()
        self.handshake_started_at_ms = clock.now_ms()
        self.closed = asyncio.Event()
        self._has_slow_heartbeat_across_domains = has_slow_heartbeat_across_domains
        self._heartbeat_timing = FAST_HEARTBEAT
        self._sent_at_ms = 0
        self._identity = identity
        self._expected_role = expected_role
        self._is_accepting = is_accepting
        self._handler = handler
        self._clock = clock
        self._decoder = FrameDecoder(peer)
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._challenge: bytes | None = None
        self._transport: asyncio.Transport | None = None
        self._error = ""
        self._sequence = 0
        self._n_handshake_bytes = 0

    def send(self, message: Any) -> None:
        """Write one message; discard it when the connection is closed or closing."""
        if self._transport is not None and not self.is_closed and not self._error:
            self._sent_at_ms = self._clock.now_ms()
            self._transport.write(encode(message))

    def close(self, error: str) -> None:
        """Close the connection at once and discard the bytes not yet sent."""
        if self.is_closed or self._error:
            return
        self._error = error
        if self._transport is not None:
            self._transport.abort()

    def tick(self, now_ms: int, was_suspended: bool) -> None:
        """Send a due heartbeat, or close the connection after a timeout.

        The connection is closed when no bytes arrive, or the handshake does not
        complete, within the receive timeout of the connection.

        Parameters
        ----------
        now_ms : int
            Current time in ms.
        was_suspended : bool
            Whether this process itself was suspended since the last tick. Bytes that
            arrived in that time are not read yet, so the receive timeout is checked
            only in the next tick.
        """
        since_received_ms = now_ms - self.received_at_ms
        timeout_ms = self._heartbeat_timing.receive_timeout_ms
        if since_received_ms > timeout_ms and not was_suspended:
            self.close(f"silent for {since_received_ms} ms")
        elif not self.is_open and now_ms - self.handshake_started_at_ms > timeout_ms:
            self.close(f"handshake not completed within {timeout_ms} ms")
        elif self.is_open and self._heartbeat_timing.is_heartbeat_due(
            self._sent_at_ms, now_ms
        ):
            self._sequence += 1
            self.send(messages.Heartbeat(sequence=self._sequence))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake; the accepting side sends the first ``Hello``."""
        self._transport = cast(asyncio.Transport, transport)
        self.received_at_ms = self.handshake_started_at_ms = self._clock.now_ms()
        if self._is_accepting:
            self.send(self._identity.make_hello(self._nonce, None))

    def data_received(self, data: bytes) -> None:
        """Decode the received bytes and handle their messages.

        An invalid or unexpected message closes the connection.
        """
        self.received_at_ms = self._clock.now_ms()
        try:
            if not self.is_open:
                self._limit_handshake_bytes(len(data))
            for message in self._decoder.feed(data):
                if self.is_closed or self._error:
                    return
                self._handle_message(message)
        except StepError as error:
            self.close(str(error))
        except Exception as error:
            # A message with missing fields can raise any exception in a handler. Only
            # the connection that it arrived on is closed.
            self.close(f"message not handled: {type(error).__name__}: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the lost connection to the handler, once."""
        self.is_closed = True
        self.is_open = False
        self.closed.set()
        self._handler.on_closed(self, self._error or str(exc or "closed by peer"))

    def _limit_handshake_bytes(self, n_bytes: int) -> None:
        """Add received bytes; raise ``StepError`` above ``MAX_HANDSHAKE_BYTES``."""
        self._n_handshake_bytes += n_bytes
        if self._n_handshake_bytes > MAX_HANDSHAKE_BYTES:
            reason = f"more than {MAX_HANDSHAKE_BYTES} bytes: expected a Hello"
            raise StepError("handshake", self.peer, reason)

    def _handle_message(self, message: Any) -> None:
        if not self.is_open:
            self._continue_handshake(message)
        elif not isinstance(message, messages.Heartbeat):
            self._handler.on_message(self, message)

    def _continue_handshake(self, message: Any) -> None:
        """Handle the next message of the handshake, which must be a ``Hello``.

        The accepting side sends a nonce without a MAC. The dialing side answers with
        its own nonce and a MAC over the received one, and the accepting side confirms
        with a MAC over the dialing side's nonce.
        """
        if not isinstance(message, messages.Hello):
            raise StepError("handshake", self.peer, "expected a Hello")
        if self._is_accepting:
            self._verify_hello(message)
            self.send(self._identity.make_hello(self._nonce, message.nonce))
            self._open(message)
        elif self._challenge is None:
            self._challenge = message.nonce or b""
            self.send(self._identity.make_hello(self._nonce, self._challenge))
        else:
            self._verify_hello(message)
            self._open(message)

    def _verify_hello(self, hello: Any) -> None:
        problem = self._check_hello(hello)
        if problem:
            raise StepError("handshake", self.peer, problem)

    def _check_hello(self, hello: Any) -> str:
        """Return a description of the fault in a ``Hello``, or an empty string."""
        fields = (hello.nonce, hello.instance_id, hello.failure_domain)
        if None in fields or hello.incarnation is None:
            return "Hello with missing fields: expected all"
        if hello.protocol_version != PROTOCOL_VERSION:
            return f"protocol_version={hello.protocol_version}: expected 1"
        if hello.role != self._expected_role:
            return f"role={hello.role}: expected {self._expected_role}"
        # The process is connected to itself, or the other side returned its Hello.
        if hello.instance_id == self._identity.instance_id:
            return "instance_id of this process: expected that of another process"
        if not verify_hello(self._identity.secret, self._nonce, hello):
            return "MAC does not match: expected the shared secret of this deployment"
        return ""

    def _open(self, hello: Any) -> None:
        self.hello = hello
        self.is_open = True
        self.peer = hello.instance_id
        is_other_domain = hello.failure_domain != self._identity.failure_domain
        if self._has_slow_heartbeat_across_domains and is_other_domain:
            self._heartbeat_timing = SLOW_HEARTBEAT
        self._handler.on_open(self)
