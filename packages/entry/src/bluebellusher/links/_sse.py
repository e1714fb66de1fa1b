"""Splitting of byte streams into server-sent events."""

from dataclasses import dataclass, field

# An event carries a few tokens. The limit bounds the memory for incomplete events, of
# which each of many requests may have one.
_MAX_EVENT_BYTES = 256 * 1024
_END_MARKS = (b"\n\n", b"\r\n\r\n")
_MAX_MARK_BYTES = max(len(mark) for mark in _END_MARKS)


@dataclass(slots=True)
class EventSplitter:
    r"""Splitter of a byte stream into complete events that records the last event id.

    Parameters
    ----------
    last_event_id : str
        Id of the last complete event; empty before the first event with an id.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_event_id, splitter.n_pending_bytes
    ('1', 8)
    """

    last_event_id: str = ""
    _pending: bytearray = field(default_factory=bytearray)

    @property
    def n_pending_bytes(self) -> int:
        """Number of bytes of the incomplete event at the end of the stream."""
        return len(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Raises
        ------
        ValueError
            When an event is longer than 256 KiB, which no engine sends.
        """
        # An end mark may begin in the pending bytes and end in the new ones.
        n_searched = max(0, len(self._pending) - _MAX_MARK_BYTES + 1)
        self._pending += data
        end = _find_end_of_last_event(self._pending, n_searched)
        if end == 0:
            if len(self._pending) > _MAX_EVENT_BYTES:
                raise ValueError(f"event of more than {_MAX_EVENT_BYTES} bytes")
            return b""
        complete = bytes(self._pending[:end])
        del self._pending[:end]
        self._record_event_id(complete)
        return complete

    def _record_event_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
                return


def _find_end_of_last_event(data: bytearray, start: int) -> int:
    """Return the offset behind the last event whose end mark is at or after ``start``.

    Return 0 when there is none.
    """
    mark_offsets = [(data.rfind(mark, start), mark) for mark in _END_MARKS]
    return max(
        (offset + len(mark) for offset, mark in mark_offsets if offset >= 0), default=0
    )
