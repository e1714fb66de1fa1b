"""Buffer for one answer between the relay and the HTTP handler."""

import asyncio
import zlib
from collections import deque
from collections.abc import Callable

from bluebellusher_core.errors import Rejection

_DONE_MARK = b"data: [DONE]"
_SSE_TYPE = "text/event-stream"
# Size in bytes up to which an answer that is not a stream of events is held back. Until
# the caller has received a byte, another attempt can replace a failed one, and a
# rejection can have its own status code.
MAX_HELD_BYTES = 64 * 1024


class AnswerStream:
    """Answer of one request, written by the relay and read by the HTTP handler.

    The relay checks the bytes before it writes them. The terminating ``data: [DONE]``
    of a stream of events is held back until ``complete`` is called, so that an answer
    that fails its final check never appears complete to the caller.

    Parameters
    ----------
    max_kept_bytes : int
        Size limit in bytes of the copy that is kept for repeats of the idempotency
        key. A longer answer is not kept; 0 keeps no answer.

    Attributes
    ----------
    status : int
        Status code; 0 before the head of the answer arrives.
    headers : dict
        Headers by lower-case name.
    n_bytes, crc32 : int
        Number of bytes written and their CRC-32.
    owner_attempt_id : str
        Attempt that writes the answer; empty when there is none.
    is_committed : bool
        Whether the HTTP handler has read a part, so that status and headers are fixed.
    is_complete : bool
        Whether the whole answer was written and checked.
    rejection : Rejection or None
        Rejection that ended the answer.
    on_sent : callable or None
        Called with the number of bytes that the caller's socket accepted.
    kept_body : bytearray or None
        Copy of the body for repeats of the idempotency key; None when it is not kept.
    """

    def __init__(self, max_kept_bytes: int = 0) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.n_bytes = 0
        self.crc32 = 0
        self.owner_attempt_id = ""
        self.is_committed = False
        self.is_complete = False
        self.rejection: Rejection | None = None
        self.on_sent: Callable[[int], None] | None = None
        self.kept_body: bytearray | None = bytearray() if max_kept_bytes else None
        self._max_kept_bytes = max_kept_bytes
        self._is_events = False
        self._is_released = False
        self._unread_parts: deque[bytes] = deque()
        self._n_unread_bytes = 0
        self._held_tail = b""
        self._is_line_start = True
        self._readable_event = asyncio.Event()
        self._read_event = asyncio.Event()

    @property
    def is_events(self) -> bool:
        """Whether the answer is a stream of server-sent events."""
        return self._is_events

    @property
    def is_ended(self) -> bool:
        """Whether the answer is complete or the request was rejected."""
        return self.is_complete or self.rejection is not None

    def start(self, status: int, headers: dict[str, str]) -> bool:
        """Set status and headers, unless the HTTP handler has read a part already.

        Return False when the part was read with another status.
        """
        is_contradicting = self.is_committed and status != self.status
        if not self.is_committed:
            self.status = status
            self.headers = headers
            self._is_events = headers.get("content-type", "").startswith(_SSE_TYPE)
        return not is_contradicting

    def write(self, data: bytes) -> None:
        """Append bytes to the answer, at the offset ``n_bytes``."""
        self.n_bytes += len(data)
        self.crc32 = zlib.crc32(data, self.crc32)
        self._append_kept(data)
        if self.rejection is not None:
            # The caller has its rejection. The bytes count as sent, so that the agent
            # sends the rest and the outcome of the attempt can be recorded.
            self.record_sent(len(data))
            return
        self._append_unread(self._hold_done_mark(data) if self._is_events else data)
        if self._is_readable():
            self._readable_event.set()

    def reset(self) -> bool:
        """Discard the answer so that another attempt can start from the beginning.

        Return False and discard nothing when the HTTP handler has read a part of the
        answer, or when the answer is complete or rejected.
        """
        if self.is_committed or self.is_ended:
            return False
        self.status, self.headers = 0, {}
        self.n_bytes = self.crc32 = self._n_unread_bytes = 0
        self._unread_parts.clear()
        self._is_released = False
        self._held_tail, self._is_line_start = b"", True
        self.kept_body = bytearray() if self._max_kept_bytes else None
        return True

    def complete(self) -> None:
        """Mark the answer as complete and release its last bytes to the caller."""
        if not self.is_ended:
            self.is_complete = True
            self._append_unread(self._held_tail)
            self._held_tail = b""
            self._readable_event.set()

    def reject(self, rejection: Rejection) -> None:
        """End the answer with a rejection, unless it is complete or rejected."""
        if not self.is_ended:
            self.rejection = rejection
            self._readable_event.set()
            self._read_event.set()

    async def read(self) -> bytes:
        """Return the bytes that can be sent; wait until there are any.

        Returned bytes commit the answer to its status and headers. The result is empty
        when the answer is complete and has been read, or when it was rejected.
        """
        while not self._is_readable():
            self._readable_event.clear()
            await self._readable_event.wait()
        if self.rejection is not None or not self._unread_parts:
            return b""
        self.is_committed = True
        data = (
            self._unread_parts[0]
            if len(self._unread_parts) == 1
            else b"".join(self._unread_parts)
        )
        self._unread_parts.clear()
        self._n_unread_bytes = 0
        self._read_event.set()
        return data

    async def wait_for_capacity(self, max_bytes: int) -> None:
        """Wait until at most ``max_bytes`` are unread or the answer has ended.

        Bytes that are held until the answer is complete are released to the caller,
        because the relay reads no further while it waits.
        """
        if self._n_unread_bytes > max_bytes and not self._is_released:
            self._is_released = True
            self._readable_event.set()
        while self._n_unread_bytes > max_bytes and not self.is_ended:
            self._read_event.clear()
            await self._read_event.wait()

    def record_sent(self, n_bytes: int) -> None:
        """Record that the caller's socket accepted ``n_bytes``."""
        if self.on_sent is not None:
            self.on_sent(n_bytes)

    def _is_readable(self) -> bool:
        """Return whether ``read`` has bytes to return or the answer has ended."""
        if self.is_ended:
            return True
        is_released = (
            self._is_events
            or self.is_committed
            or self._is_released
            or self._n_unread_bytes > MAX_HELD_BYTES
        )
        return is_released and bool(self._unread_parts)

    def _append_unread(self, data: bytes) -> None:
        if data:
            self._unread_parts.append(data)
            self._n_unread_bytes += len(data)

    def _append_kept(self, data: bytes) -> None:
        """Extend the kept copy; discard it above ``max_kept_bytes``."""
        if self.kept_body is None:
            return
        self.kept_body += data
        if len(self.kept_body) > self._max_kept_bytes:
            self.kept_body = None

    def _hold_done_mark(self, data: bytes) -> bytes:
        """Return the bytes that may be sent to the caller.

        The rest, from a line that is or may become ``data: [DONE]``, is held back.
        """
        data = self._held_tail + data
        offset = self._find_done_mark(data)
        self._held_tail = data[offset:]
        data = data[:offset]
        if data:
            self._is_line_start = data.endswith(b"\n")
        return data

    def _find_done_mark(self, data: bytes) -> int:
        """Return the offset of a line that is or may become the mark, or the length."""
        if self._is_line_start and data.startswith(_DONE_MARK):
            return 0
        offset = data.find(b"\n" + _DONE_MARK)
        if offset >= 0:
            return offset + 1
        last_line_offset = data.rfind(b"\n") + 1
        is_at_start = last_line_offset > 0 or self._is_line_start
        if is_at_start and _DONE_MARK.startswith(data[last_line_offset:]):
            return last_line_offset
        return len(data)
