"""Framing and encoding of envelopes."""

import re
import struct
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from bluebellusher_core.errors import StepError
from bluebellusher_core.wire._generated.bluebellusher import ttypes

MAX_FRAME_BYTES = 16 * 1024 * 1024
_LENGTH_PREFIX = struct.Struct(">I")
_FIELD_NAMES = tuple(spec[2] for spec in ttypes.Envelope.thrift_spec if spec)


def _field_name(class_name: str) -> str:
    """Return the envelope field of a class, as ``load_report`` for ``LoadReport``."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", class_name).lower()


_FIELD_NAME_BY_CLASS = {
    getattr(ttypes, spec[3][0].__name__): _field_name(spec[3][0].__name__)
    for spec in ttypes.Envelope.thrift_spec
    if spec
}


def wrap_in_envelope(message: Any) -> Any:
    """Return an ``Envelope`` that holds ``message``.

    Raises
    ------
    StepError
        When an envelope has no field for the type of ``message``.
    """
    name = _FIELD_NAME_BY_CLASS.get(type(message))
    if name is None:
        reason = f"message of type {type(message).__name__}: expected a wire message"
        raise StepError("encode-frame", "", reason)
    return ttypes.Envelope(**{name: message})


def encode(message: Any) -> bytes:
    """Return one frame that holds ``message``.

    Raises
    ------
    StepError
        When an envelope has no field for the type of ``message``, or the payload is
        longer than ``MAX_FRAME_BYTES``.

    Examples
    --------
    >>> from bluebellusher_core.wire import FrameDecoder, messages
    >>> frame = encode(messages.Heartbeat(sequence=7))
    >>> FrameDecoder("peer").feed(frame)[0].sequence
    7
    """
    transport = TMemoryBuffer()
    wrap_in_envelope(message).write(TBinaryProtocolAccelerated(transport))
    payload = transport.getvalue()
    if len(payload) > MAX_FRAME_BYTES:
        reason = f"frame of {len(payload)} bytes: expected at most {MAX_FRAME_BYTES}"
        raise StepError("encode-frame", "", reason)
    return _LENGTH_PREFIX.pack(len(payload)) + payload


def decode_message(payload: bytes, peer: str) -> Any:
    """Return the one message in the payload of a frame.

    Raises
    ------
    StepError
        When the payload is not an envelope with exactly one message.
    """
    envelope = ttypes.Envelope()
    try:
        envelope.read(TBinaryProtocolAccelerated(TMemoryBuffer(payload)))
    except Exception as error:
        # Thrift raises many types of exceptions for malformed input, among them
        # EOFError, struct.error and UnicodeDecodeError.
        reason = f"{type(error).__name__}: expected a Thrift envelope"
        raise StepError("decode-frame", peer, reason) from error
    set_fields = [name for name in _FIELD_NAMES if getattr(envelope, name) is not None]
    if len(set_fields) != 1:
        reason = f"envelope with {len(set_fields)} messages: expected 1"
        raise StepError("decode-frame", peer, reason)
    return getattr(envelope, set_fields[0])


class FrameDecoder:
    """Decoder that splits a byte stream into messages.

    Parameters
    ----------
    peer : str
        Name of the peer in errors.
    max_frame_bytes : int
        Maximum length of an envelope in bytes. A longer one is an error, so that a peer
        cannot exhaust the memory of this process.
    """

    def __init__(self, peer: str, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._peer = peer
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Add received bytes and return the messages that are now complete.

        Raises
        ------
        StepError
            When a frame is too long or malformed; the connection must be closed.
        """
        self._buffer += data
        messages = []
        position = 0
        while len(self._buffer) - position >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(self._buffer, position)
            if length > self._max_frame_bytes:
                reason = f"frame of {length} bytes: expected at most "
                reason += str(self._max_frame_bytes)
                raise StepError("decode-frame", self._peer, reason)
            start = position + _LENGTH_PREFIX.size
            end = start + length
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[start:end])
            messages.append(decode_message(payload, self._peer))
            position = end
        if position:
            del self._buffer[:position]
        return messages
