"""Connections to agents and peers, and the relay of answers to callers.

Agents and peers exchange Thrift messages; endpoints without an agent answer over HTTP.
"""

from bluebellusher.links._agents import AgentLinks, EventSink
from bluebellusher.links._answer import AnswerStream
from bluebellusher.links._checked_request import BEFORE_WRITE, CheckedRequest
from bluebellusher.links._connection import FrameConnection, Identity
from bluebellusher.links._dialer import Dialer
from bluebellusher.links._headers import CONNECTION_HEADERS
from bluebellusher.links._peers import PeerHandler, PeerLinks
from bluebellusher.links._relay import AttemptRelay
from bluebellusher.links._responses import (
    READ_PART_BYTES,
    BoundedResponse,
    EventReader,
    read_response_body,
)
from bluebellusher.links._sessions import (
    NOT_CONNECTED_ERRORS,
    ConnectionLostError,
    open_session,
)
from bluebellusher.links._sockets import (
    is_listening,
    make_endpoint_socket,
    make_keepalive_socket,
)
from bluebellusher.links._sse import EventSplitter
from bluebellusher.links._ticker import LinkTicker

__all__ = [
    "BEFORE_WRITE",
    "CONNECTION_HEADERS",
    "NOT_CONNECTED_ERRORS",
    "READ_PART_BYTES",
    "AgentLinks",
    "AnswerStream",
    "AttemptRelay",
    "BoundedResponse",
    "CheckedRequest",
    "ConnectionLostError",
    "Dialer",
    "EventReader",
    "EventSink",
    "EventSplitter",
    "FrameConnection",
    "Identity",
    "LinkTicker",
    "PeerHandler",
    "PeerLinks",
    "is_listening",
    "make_endpoint_socket",
    "make_keepalive_socket",
    "open_session",
    "read_response_body",
]
