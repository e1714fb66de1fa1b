"""Messages between the processes of bluebellusher and their binary codec.

Each frame is a 4-byte big-endian length and one ``Envelope`` in Thrift's binary
protocol, with exactly one of its fields set.
"""

from bluebellusher_core.wire._auth import NONCE_BYTES, compute_hello_mac, verify_hello
from bluebellusher_core.wire._codec import (
    MAX_FRAME_BYTES,
    FrameDecoder,
    decode_message,
    encode,
    wrap_in_envelope,
)
from bluebellusher_core.wire._generated.bluebellusher import ttypes as messages
from bluebellusher_core.wire._heartbeat import (
    FAST_HEARTBEAT,
    SLOW_HEARTBEAT,
    HeartbeatTiming,
)

__all__ = [
    "FAST_HEARTBEAT",
    "MAX_FRAME_BYTES",
    "NONCE_BYTES",
    "SLOW_HEARTBEAT",
    "FrameDecoder",
    "HeartbeatTiming",
    "compute_hello_mac",
    "decode_message",
    "encode",
    "messages",
    "verify_hello",
    "wrap_in_envelope",
]
