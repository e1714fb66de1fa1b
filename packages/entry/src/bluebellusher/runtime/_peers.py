"""What entries tell each other."""

from collections.abc import Callable
from typing import Any

from bluebellusher.links import EventSink, PeerLinks
from bluebellusher_core.clock import Clock
from bluebellusher_core.events import DigestReceived
from bluebellusher_core.wire import messages

DIGEST_INTERVAL_MS = 2_000
MessageHandler = Callable[[str, Any], None]


class PeerExchange:
    """Send digests, pass received ones to the decisions, and others to handlers.

    Parameters
    ----------
    sink : EventSink
        Receives ``DigestReceived``.
    clock : Clock
        Times the digests.
    make_digest : callable
        Returns the current ``Digest`` message.
    """

    def __init__(
        self, sink: EventSink, clock: Clock, make_digest: Callable[[], Any]
    ) -> None:
        self.links: PeerLinks | None = None
        self.digest_at_ms_by_peer_id: dict[str, int] = {}
        self.config_version_by_peer_id: dict[str, int] = {}
        self._sink = sink
        self._clock = clock
        self._make_digest = make_digest
        self._handler_by_type: dict[type, MessageHandler] = {}
        self._sent: Any = None
        self._sent_at_ms = 0

    def register(self, message_type: type, handler: MessageHandler) -> None:
        """Call ``handler(peer_id, message)`` for messages of this type."""
        self._handler_by_type[message_type] = handler

    def on_peer_open(self, peer_id: str, _hello: Any) -> None:
        """Send a new peer what it may not know."""
        if self.links is not None:
            self.links.send(peer_id, self._make_digest())

    def on_peer_message(self, peer_id: str, message: Any) -> None:
        """Handle a digest, or pass the message to its handler."""
        if isinstance(message, messages.Digest):
            self._receive_digest(peer_id, message)
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(peer_id, message)

    def on_peer_lost(self, peer_id: str) -> None:
        """Keep what the peer told; its age shows in the status."""

    def tick(self, now_ms: int) -> None:
        """Send a digest when it has changed, and otherwise at an interval."""
        digest = self._make_digest()
        is_due = now_ms - self._sent_at_ms >= DIGEST_INTERVAL_MS
        if self.links is not None and (is_due or digest != self._sent):
            self._sent, self._sent_at_ms = digest, now_ms
            self.links.broadcast(digest)

    def _receive_digest(self, peer_id: str, digest: Any) -> None:
        self.digest_at_ms_by_peer_id[peer_id] = self._clock.now_ms()
        version = digest.config_version or 0
        self.config_version_by_peer_id[peer_id] = version
        event = DigestReceived(
            peer_id,
            version,
            tuple(digest.blocked_fingerprints or ()),
            tuple(digest.suspect_fingerprints or ()),
        )
        self._sink.post(event)
