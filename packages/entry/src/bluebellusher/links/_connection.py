"""One authenticated connection that carries frames in both directions."""

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
# Who has not proved to know the secret must not make this process buffer much.
MAX_HANDSHAKE_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class Identity:
    """What this process says about itself in ``Hello``."""

    instance_id: str
    incarnation: int
    failure_domain: str
    secret: bytes = field(repr=False)
    role: int = messages.Role.ENTRY
    services: tuple[str, ...] = ()
    models: tuple[str, ...] = ()

    def make_hello(self, nonce: bytes, challenge: bytes | None) -> Any:
        """Return a ``Hello``; without a ``challenge`` its MAC is empty."""
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
    """What happens on a connection, in order, on the event loop."""

    def on_open(self, connection: "FrameConnection") -> None:
        """Handle the end of the handshake; ``connection.hello`` is verified."""

    def on_message(self, connection: "FrameConnection", message: Any) -> None:
        """Handle one message; ``StepError`` closes the connection."""

    def on_closed(self, connection: "FrameConnection", error: str) -> None:
        """Handle the end of the connection, whether it was open or not."""


class FrameConnection(asyncio.Protocol):
    """Handshake, framing, heartbeats and the limit on silence.

    Parameters
    ----------
    identity : Identity
        What this process says about itself.
    expected_role : int
        Role that the other side must have.
    is_accepting : bool
        Whether the other side opened the connection.
    handler : ConnectionHandler
        Receives what happens.
    clock : Clock
        Measures silence.
    peer : str
        Named in errors until the other side is known.
    has_far_pace : bool
        Whether the slower pace is used with other failure domains.
    """

    def __init__(
        self,
        identity: Identity,
        expected_role: int,
        is_accepting: bool,
        handler: ConnectionHandler,
        clock: Clock,
        peer: str,
        has_far_pace: bool = False,
    ) -> None:
        self.peer = peer
        # Host that was dialed; empty for an accepted connection.
        self.host = ""
        self.hello: Any = None
        self.is_open = False
        self.is_closed = False
        self.received_at_ms = clock.now_ms()
        self.made_at_ms = clock.now_ms()
        self.closed = asyncio.Event()
        self._has_far_pace = has_far_pace
        self._pace = FAST_HEARTBEAT
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
        """Write one message; it is dropped when the connection is closed."""
        if self._transport is not None and not self.is_closed and not self._error:
            self._sent_at_ms = self._clock.now_ms()
            self._transport.write(encode(message))

    def close(self, error: str) -> None:
        """Close at once; what is still buffered is dropped."""
        if self.is_closed or self._error:
            return
        self._error = error
        if self._transport is not None:
            self._transport.abort()

    def tick(self, now_ms: int, has_paused: bool) -> None:
        """Send a heartbeat, or close the connection after too long a silence.

        ``has_paused`` says that this process itself did not run for a while; what
        the other side sent meanwhile has not been read yet, so that silence is not
        judged until the next tick.
        """
        silent_ms = now_ms - self.received_at_ms
        limit_ms = self._pace.receive_timeout_ms
        if silent_ms > limit_ms and not has_paused:
            self.close(f"silent for {silent_ms} ms")
        elif not self.is_open and now_ms - self.made_at_ms > limit_ms:
            self.close(f"no handshake within {limit_ms} ms")
        elif self.is_open and self._pace.is_heartbeat_due(self._sent_at_ms, now_ms):
            self._sequence += 1
            self.send(messages.Heartbeat(sequence=self._sequence))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake."""
        self._transport = cast(asyncio.Transport, transport)
        self.received_at_ms = self.made_at_ms = self._clock.now_ms()
        if self._is_accepting:
            self.send(self._identity.make_hello(self._nonce, None))

    def data_received(self, data: bytes) -> None:
        """Handle what arrived; a message that must not come closes the connection."""
        self.received_at_ms = self._clock.now_ms()
        try:
            if not self.is_open:
                self._count_handshake(len(data))
            for message in self._decoder.feed(data):
                if self.is_closed or self._error:
                    return
                self._receive(message)
        except StepError as error:
            self.close(str(error))
        except Exception as error:
            # A message with missing fields can fail anywhere in a handler; the
            # other connections must not suffer from it.
            self.close(f"message not understood: {type(error).__name__}: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler once that the connection is gone."""
        self.is_closed = True
        self.is_open = False
        self.closed.set()
        self._handler.on_closed(self, self._error or str(exc or "closed by peer"))

    def _count_handshake(self, n_bytes: int) -> None:
        self._n_handshake_bytes += n_bytes
        if self._n_handshake_bytes > MAX_HANDSHAKE_BYTES:
            reason = f"more than {MAX_HANDSHAKE_BYTES} bytes: expected a Hello"
            raise StepError("handshake", self.peer, reason)

    def _receive(self, message: Any) -> None:
        if not self.is_open:
            self._shake_hands(message)
        elif not isinstance(message, messages.Heartbeat):
            self._handler.on_message(self, message)

    def _shake_hands(self, message: Any) -> None:
        if not isinstance(message, messages.Hello):
            raise StepError("handshake", self.peer, "expected a Hello")
        if self._is_accepting:
            self._verify(message)
            self.send(self._identity.make_hello(self._nonce, message.nonce))
            self._open(message)
        elif self._challenge is None:
            self._challenge = message.nonce or b""
            self.send(self._identity.make_hello(self._nonce, self._challenge))
        else:
            self._verify(message)
            self._open(message)

    def _verify(self, hello: Any) -> None:
        problem = self._find_problem(hello)
        if problem:
            raise StepError("handshake", self.peer, problem)

    def _find_problem(self, hello: Any) -> str:
        fields = (hello.nonce, hello.instance_id, hello.failure_domain)
        if None in fields or hello.incarnation is None:
            return "Hello with missing fields: expected all"
        if hello.protocol_version != PROTOCOL_VERSION:
            return f"protocol_version={hello.protocol_version}: expected 1"
        if hello.role != self._expected_role:
            return f"role={hello.role}: expected {self._expected_role}"
        # A process that is connected to itself, or that is sent its own Hello back.
        if hello.instance_id == self._identity.instance_id:
            return "instance id is our own: expected another"
        if not verify_hello(self._identity.secret, self._nonce, hello):
            return "MAC does not match: expected the same shared secret"
        return ""

    def _open(self, hello: Any) -> None:
        self.hello = hello
        self.is_open = True
        self.peer = hello.instance_id
        is_far = hello.failure_domain != self._identity.failure_domain
        if self._has_far_pace and is_far:
            self._pace = SLOW_HEARTBEAT
        self._handler.on_open(self)
