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

    Attributes
    ----------
    is_continuous : bool
        Whether the first event, apart from comments, has an id that follows the initial
        ``last_event_id``. It is true without an initial id and before that event.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_event_id, splitter.n_pending_bytes
    ('1', 8)
    """

    last_event_id: str = ""
    is_continuous: bool = field(default=True, init=False)
    _pending: bytearray = field(default_factory=bytearray)
    _is_first_event_checked: bool = field(default=False, init=False)

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
        self._check_first_event(complete)
        self._record_event_id(complete)
        return complete

    def _check_first_event(self, events: bytes) -> None:
        """Compare the id of the first event with the initial last event id."""
        if self._is_first_event_checked:
            return
        first_id = _find_first_id(events)
        if first_id is None:
            return
        self._is_first_event_checked = True
        if self.last_event_id:
            self.is_continuous = _follows(first_id, self.last_event_id)

    def _record_event_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
                return


def _find_first_id(events: bytes) -> str | None:
    """Return the id of the first event, empty for none; None for comments only."""
    has_field = False
    for line in events.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
        if not line and has_field:
            return ""
        has_field |= bool(line) and not line.startswith(b":")
    return None


def _follows(event_id: str, previous_id: str) -> bool:
    """Return whether an event id may come after another one in a stream."""
    if event_id.isdecimal() and previous_id.isdecimal():
        return int(event_id) > int(previous_id)
    return event_id not in ("", previous_id)


def _find_end_of_last_event(data: bytearray, start: int) -> int:
    """Return the offset behind the last event whose end mark is at or after ``start``.

    Return 0 when there is none.
    """
    mark_offsets = [(data.rfind(mark, start), mark) for mark in _END_MARKS]
    return max(
        (offset + len(mark) for offset, mark in mark_offsets if offset >= 0), default=0
    )
