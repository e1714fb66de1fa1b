"""Server-sent events as whole units."""

from dataclasses import dataclass, field

# Events hold a few tokens; each of many requests may have one that is not whole.
_MAX_EVENT_BYTES = 256 * 1024
_MARKS = (b"\n\n", b"\r\n\r\n")
_LONGEST_MARK = max(len(mark) for mark in _MARKS)


@dataclass(slots=True)
class EventSplitter:
    r"""Split a byte stream into whole events and remember the last id.

    Parameters
    ----------
    last_event_id : str
        Id of the last whole event; empty before the first one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_event_id, splitter.n_pending
    ('1', 8)
    """

    last_event_id: str = ""
    _pending: bytearray = field(default_factory=bytearray)

    @property
    def n_pending(self) -> int:
        """Bytes of an event that is not whole yet."""
        return len(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that are whole now.

        Raises
        ------
        ValueError
            When an event is longer than any engine sends.
        """
        n_searched = max(0, len(self._pending) - _LONGEST_MARK + 1)
        self._pending += data
        end = _end_of_last_event(self._pending, n_searched)
        if end == 0:
            if len(self._pending) > _MAX_EVENT_BYTES:
                raise ValueError(f"event of more than {_MAX_EVENT_BYTES} bytes")
            return b""
        whole = bytes(self._pending[:end])
        del self._pending[:end]
        self._note_id(whole)
        return whole

    def _note_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
                return


def _end_of_last_event(data: bytearray, start: int) -> int:
    """Return the end of the last event that ends behind ``start``, or 0."""
    found = [(data.rfind(mark, start), mark) for mark in _MARKS]
    return max((at + len(mark) for at, mark in found if at >= 0), default=0)
