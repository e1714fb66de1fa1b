"""Log events as one line of key=value pairs each."""

import os
import re
import select
import sys
from collections import Counter
from functools import cache
from typing import Any, Protocol

import eliot

_PLAIN = re.compile(r"^[A-Za-z0-9_.:/@+-]+\Z")
_KEY = re.compile(r"[^A-Za-z0-9_]")
_RANK_BY_LEVEL = {"debug": 0, "info": 1, "error": 2}
_MAX_VALUE_CHARS = 512
# A pipe that is ready for writing takes this much at once.
_MAX_LINE_CHARS = 4_000
# Several times the requests that an entry serves in a second.
MAX_LINES_PER_EVENT_AND_SECOND = 500
_ACTION_TYPE = "log"
# Fields that eliot adds for its task tree; one line per event needs none of them.
_TASK_FIELDS = frozenset(("task_uuid", "task_level", "message_type", "timestamp"))


# Names of fields are few and come from the code.
@cache
def _clean_key(key: str) -> str:
    return _KEY.sub("_", key)


def _escape(value: object) -> str:
    # Most values are whole numbers or ids.
    if type(value) is int:
        return str(value)
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if _PLAIN.match(text):
        return text
    shown = text[:_MAX_VALUE_CHARS].encode("unicode_escape").decode("ascii")
    return '"' + shown.replace('"', '\\"') + '"'


def format_line(message: dict[str, Any]) -> str:
    r"""Return an eliot message as one line.

    Values are escaped, so that no caller's input can forge a second line or a
    further field.

    Examples
    --------
    >>> format_line({"timestamp": 1.5, "message_type": "e", "peer": "a b\nc"})
    'ts=1.500 event=e peer="a b\\nc"'
    """
    parts = [f"ts={message.get('timestamp', 0.0):.3f}"]
    parts.append(f"event={_escape(message.get('message_type', 'unnamed'))}")
    for key, value in message.items():
        if key not in _TASK_FIELDS:
            parts.append(f"{_clean_key(key)}={_escape(value)}")
    return " ".join(parts)


class LineWriter(Protocol):
    """Where log lines go."""

    def write(self, text: str) -> object:
        """Write one line with its line feed."""


class DescriptorWriter:
    """Write lines to a descriptor without ever waiting for its reader.

    A log reader that stops reading would otherwise stop the entry. Lines that
    cannot be written are counted, and the next line tells how many were lost.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._n_dropped = 0
        self.n_dropped_total = 0

    def write(self, text: str) -> None:
        """Write one line, or drop it when the reader does not keep up."""
        if not self._poll.poll(0):
            self._drop()
            return
        line = text.rstrip("\n")[:_MAX_LINE_CHARS]
        if self._n_dropped:
            line += f" n_lines_dropped={self._n_dropped}"
            self._n_dropped = 0
        try:
            os.write(self._descriptor, line.encode("ascii") + b"\n")
        except OSError:
            self._drop()

    def _drop(self) -> None:
        self._n_dropped += 1
        self.n_dropped_total += 1


class LineLimiter:
    """Bound the lines of each event, so that a burst of one cannot hide the others.

    Parameters
    ----------
    n_per_second : int
        Lines of one event that may be written in one second.
    """

    def __init__(self, n_per_second: int = MAX_LINES_PER_EVENT_AND_SECOND) -> None:
        self._n_per_second = n_per_second
        self._second = 0
        self._n_by_event: Counter[str] = Counter()

    def admit(self, event: str, timestamp_s: float) -> tuple[bool, Counter[str]]:
        """Return whether a line may be written, and what was left out before it.

        The counts of left out lines are those of the last second, by event; they are
        returned once, with the first line of a new second.
        """
        left_out: Counter[str] = Counter()
        if int(timestamp_s) != self._second:
            for name, n_lines in self._n_by_event.items():
                if n_lines > self._n_per_second:
                    left_out[name] = n_lines - self._n_per_second
            self._second = int(timestamp_s)
            self._n_by_event.clear()
        self._n_by_event[event] += 1
        return self._n_by_event[event] <= self._n_per_second, left_out


class KeyValueLog:
    """Write eliot events as lines.

    Parameters
    ----------
    level : str
        ``debug``, ``info`` or ``error``; lower events are dropped.
    writer : LineWriter
        Where lines go.
    """

    def __init__(self, level: str, writer: LineWriter) -> None:
        self._rank = _RANK_BY_LEVEL[level]
        self._writer = writer
        self._limiter = LineLimiter()
        # Messages outside an action get a task id of their own, which costs a system
        # call each.
        self._action = eliot.start_task(action_type=_ACTION_TYPE)
        self.is_debug = level == "debug"

    @classmethod
    def from_config(cls, level: str, writer: LineWriter | None = None) -> "KeyValueLog":
        """Return a log that receives every eliot event of the process.

        Without a ``writer`` the lines go to standard output.
        """
        log = cls(level, writer or DescriptorWriter(sys.stdout.fileno()))
        eliot.add_destinations(log.write_message)
        return log

    def write_message(self, message: dict[str, Any]) -> None:
        """Write one eliot message."""
        if message.get("action_type") == _ACTION_TYPE:
            return
        timestamp_s = message.get("timestamp", 0.0)
        event = str(message.get("message_type", ""))
        is_admitted, left_out = self._limiter.admit(event, timestamp_s)
        for name, n_lines in left_out.items():
            line = {"timestamp": timestamp_s, "message_type": "log-limited"}
            self._write({**line, "left_out": name, "n_lines": n_lines})
        if is_admitted:
            self._write(message)

    def _write(self, message: dict[str, Any]) -> None:
        self._writer.write(format_line(message) + "\n")

    @property
    def n_dropped(self) -> int:
        """Return how many lines the reader was too slow for."""
        return getattr(self._writer, "n_dropped_total", 0)

    def close(self) -> None:
        """Receive no further events."""
        eliot.remove_destination(self.write_message)

    def event(self, name: str, level: str = "info", **fields: object) -> None:
        """Log one event."""
        if _RANK_BY_LEVEL[level] >= self._rank:
            self._action.log(name, **fields)
