"""Runtime of an entry: queues events for the reducer and executes its effects."""

from bluebellusher.runtime._claims import ClaimWriter
from bluebellusher.runtime._discovery import EndpointDiscovery
from bluebellusher.runtime._dispatch import AgentDispatcher, AttemptDispatcher
from bluebellusher.runtime._exchange import Exchange
from bluebellusher.runtime._kept_answer import KeptAnswer
from bluebellusher.runtime._peers import PeerExchange
from bluebellusher.runtime._platform_store import PlatformStore
from bluebellusher.runtime._runtime import Runtime
from bluebellusher.runtime._store import (
    ClaimStore,
    Committed,
    Conflict,
    Row,
    StoreError,
)

__all__ = [
    "AgentDispatcher",
    "AttemptDispatcher",
    "ClaimStore",
    "ClaimWriter",
    "Committed",
    "Conflict",
    "EndpointDiscovery",
    "Exchange",
    "KeptAnswer",
    "PeerExchange",
    "PlatformStore",
    "Row",
    "Runtime",
    "StoreError",
]
