"""State of one attempt on the target and the relay of its answer."""

import asyncio
import zlib
from typing import Any, Protocol

from bluebellusher_agent._http import Exchange
from bluebellusher_core.wire import messages

# Maximum number of bytes of an answer, per attempt, that are read from the target but
# not yet queued to the entry.
MAX_UNSENT_BYTES = 262_144


class Relay(Protocol):
    """Interface of the connection to the entry that receives an answer."""

    peer_id: str

    @property
    def is_writable(self) -> bool:
        """Return whether the connection accepts more chunks."""

    def queue_started(self, message: Any) -> None:
        """Queue a ``Started``, which is sent before later chunks."""

    def queue_chunk(self, attempt_id: str, offset: int, data: bytes) -> None:
        """Queue a part of an answer for the next batch."""

    def queue_finish(self, message: Any) -> None:
        """Queue a ``Finish``, which is sent after earlier chunks."""


class StreamBuffer:
    """Buffer of the last part of an answer.

    ``start`` and ``end`` are the offsets of the buffered part from the first byte of
    the answer. ``crc32`` is the checksum of all bytes that were received.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self.start = 0
        self.end = 0
        self.crc32 = 0

    def append(self, data: bytes) -> None:
        """Append received bytes."""
        self._data += data
        self.end += len(data)
        self.crc32 = zlib.crc32(data, self.crc32)

    def read(self, offset: int, n_bytes: int) -> bytes:
        """Return up to ``n_bytes`` from ``offset``, which must be in the buffer."""
        position = offset - self.start
        return bytes(self._data[position : position + n_bytes])

    def trim(self, offset: int) -> None:
        """Discard the bytes before ``offset``."""
        if offset > self.start:
            del self._data[: offset - self.start]
            self.start = offset

    def contains(self, offset: int) -> bool:
        """Return whether the answer can be sent from ``offset`` on."""
        return self.start <= offset <= self.end

    def __len__(self) -> int:
        return len(self._data)


class Run:
    """State of one attempt.

    ``target_attempt_id`` identifies the attempt on the target and never changes.
    ``attempt_id`` identifies it to the entry and changes when the entry resumes the
    answer with a new attempt after a lost connection.

    Parameters
    ----------
    dispatch : Dispatch
        Message that requested the run.
    entry_id : str
        Instance id of the entry.
    now_ms : int
        Current time of the monotonic clock, in milliseconds.
    n_retained_bytes : int
        Number of sent bytes that are retained for resumption.
    """

    __slots__ = (
        "attempt_id",
        "body",
        "buffer",
        "connection",
        "credit_end_offset",
        "deadline_handle",
        "deadline_ms",
        "end_at_last_tick",
        "entry_id",
        "exchange",
        "fingerprint",
        "header_by_name",
        "is_cancelled",
        "is_complete",
        "is_ended",
        "is_finish_queued",
        "is_idempotent",
        "is_isolated",
        "is_sent",
        "is_started_queued",
        "method",
        "n_retained_bytes",
        "n_sent",
        "n_stalled_ticks",
        "path",
        "priority",
        "reading_allowed",
        "request_header_by_name",
        "request_id",
        "started_at_ms",
        "status",
        "target_attempt_id",
        "task",
        "traceparent",
        "usage",
    )

    def __init__(
        self, dispatch: Any, entry_id: str, now_ms: int, n_retained_bytes: int
    ) -> None:
        self.attempt_id: str = dispatch.attempt_id
        self.target_attempt_id: str = dispatch.attempt_id
        self.request_id: str = dispatch.request_id
        self.entry_id = entry_id
        self.fingerprint: str = dispatch.fingerprint or ""
        self.method: str = dispatch.method
        self.path: str = dispatch.path
        self.request_header_by_name: dict[str, str] = dispatch.headers or {}
        self.body: bytes = dispatch.body or b""
        self.priority: int = dispatch.priority or 0
        self.traceparent: str = dispatch.traceparent or ""
        self.is_idempotent = bool(dispatch.is_idempotent)
        self.is_isolated = bool(dispatch.is_isolated)
        self.deadline_ms: int = now_ms + dispatch.remaining_ms
        self.started_at_ms = now_ms
        self.n_retained_bytes = n_retained_bytes
        self.buffer = StreamBuffer()
        self.status = 0
        self.header_by_name: dict[str, str] = {}
        self.usage = (0, 0, 0)
        self.exchange: Exchange | None = None
        self.end_at_last_tick = 0
        self.n_stalled_ticks = 0
        self.is_sent = False
        self.is_complete = False
        self.is_cancelled = False
        self.is_ended = False
        self.deadline_handle: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None
        self.connection: Relay | None = None
        self.reading_allowed = asyncio.Event()
        self._reset_sending(0, 0)

    def _reset_sending(self, offset: int, credit_bytes: int) -> None:
        """Reset the state of sending, so that sending starts at ``offset``."""
        self.n_sent = offset
        self.credit_end_offset = offset + credit_bytes
        self.is_started_queued = False
        self.is_finish_queued = False

    @property
    def has_output(self) -> bool:
        """Return whether the status and headers of the answer were received."""
        return self.status != 0

    def attach(
        self, connection: Relay, attempt_id: str, offset: int, credit_bytes: int
    ) -> None:
        """Send the answer from ``offset`` on to a connection.

        ``credit_bytes`` is the number of bytes that may be sent before the entry
        grants more credit.
        """
        self.connection = connection
        self.attempt_id = attempt_id
        self._reset_sending(offset, credit_bytes)
        self.send_available()

    def detach(self) -> None:
        """Stop sending after a lost connection, and retain the answer.

        The entry may not have received a ``Finish`` that was sent, so that the run
        counts as unfinished again.
        """
        self.connection = None
        self.is_finish_queued = False
        self._update_reading_allowed()

    def add_credit(self, n_bytes: int) -> None:
        """Allow ``n_bytes`` more bytes to be sent."""
        self.credit_end_offset += n_bytes
        self.send_available()

    def set_head(self, status: int, header_by_name: dict[str, str]) -> None:
        """Record the status and headers of the answer and send them."""
        self.status = status
        self.header_by_name = header_by_name
        self.send_available()

    def append(self, data: bytes) -> None:
        """Buffer received bytes and send as many as credit and the connection allow."""
        self.buffer.append(data)
        self.send_available()

    def complete(self, usage: tuple[int, int, int]) -> None:
        """Record that the answer is complete.

        ``usage`` is the number of input, cached and output tokens.
        """
        self.usage = usage
        self.is_complete = True
        self.send_available()

    def send_available(self) -> None:
        """Send buffered bytes as far as credit and the connection allow.

        Sent bytes that are no longer needed for resumption are discarded.
        """
        connection = self.connection
        if connection is not None and self.has_output:
            self._send(connection)
        self.buffer.trim(self.n_sent - self.n_retained_bytes)
        self._update_reading_allowed()

    def _send(self, connection: Relay) -> None:
        if not self.is_started_queued:
            self.is_started_queued = True
            connection.queue_started(
                messages.Started(self.attempt_id, self.status, self.header_by_name)
            )
        n_bytes = min(self.buffer.end, self.credit_end_offset) - self.n_sent
        if n_bytes > 0 and connection.is_writable:
            data = self.buffer.read(self.n_sent, n_bytes)
            connection.queue_chunk(self.attempt_id, self.n_sent, data)
            self.n_sent += n_bytes
        is_all_sent = self.is_complete and self.n_sent == self.buffer.end
        if is_all_sent and not self.is_finish_queued:
            self.is_finish_queued = True
            connection.queue_finish(self._build_finish())

    def _build_finish(self) -> Any:
        n_input, n_cached, n_output = self.usage
        return messages.Finish(
            attempt_id=self.attempt_id,
            status=self.status,
            headers=self.header_by_name,
            n_bytes=self.buffer.end,
            crc32=self.buffer.crc32,
            n_input_tokens=n_input,
            n_cached_tokens=n_cached,
            n_output_tokens=n_output,
        )

    @property
    def is_affected_by_crash(self) -> bool:
        """Return whether a crash of the target that was just detected ended this run.

        The end of a connection is not detected while the connection is not read for
        lack of credit or buffer space, so that such a run counts as ended.
        """
        if not self.is_sent or self.exchange is None:
            return False
        return self.exchange.is_broken or not self.reading_allowed.is_set()

    def count_stalled_ticks(self) -> int:
        """Return the number of consecutive ticks without progress of a started answer.

        Called once per tick. Ticks in which the answer is not read for lack of credit
        or buffer space do not count.
        """
        is_expecting_data = (
            self.has_output and self.reading_allowed.is_set() and not self.is_complete
        )
        if is_expecting_data and self.end_at_last_tick == self.buffer.end:
            self.n_stalled_ticks += 1
        else:
            self.n_stalled_ticks = 0
        self.end_at_last_tick = self.buffer.end
        return self.n_stalled_ticks

    def release_resources(self) -> None:
        """Release the connection, buffers and deadline timer of an ended run.

        Other timers may still refer to the run and would keep its memory allocated.
        """
        self.connection = None
        self.body = b""
        self.buffer = StreamBuffer()
        if self.deadline_handle is not None:
            self.deadline_handle.cancel()

    def _update_reading_allowed(self) -> None:
        """Allow reading from the target while there is credit and buffer space.

        A run without a connection needs no credit.
        """
        n_unsent = self.buffer.end - self.n_sent
        has_credit = self.connection is None or self.credit_end_offset > self.buffer.end
        if has_credit and n_unsent < MAX_UNSENT_BYTES:
            self.reading_allowed.set()
        else:
            self.reading_allowed.clear()
