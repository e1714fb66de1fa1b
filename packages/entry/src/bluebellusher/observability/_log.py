"""Event log with one line of key=value pairs per event."""

import os
import re
import select
import sys
from collections import Counter
from functools import cache
from typing import Any, Protocol

import eliot

_UNQUOTED_VALUE = re.compile(r"^[A-Za-z0-9_.:/@+-]+\Z")
_UNSAFE_KEY_CHARACTER = re.compile(r"[^A-Za-z0-9_]")
_SEVERITY_BY_LEVEL = {"debug": 0, "info": 1, "error": 2}
_MAX_VALUE_CHARS = 512
# Longest line in characters. A pipe that poll() reports as writable accepts 4096
# bytes (PIPE_BUF) without blocking; the difference leaves space for the field
# ``n_lines_dropped``.
_MAX_LINE_CHARS = 4_000
# Several times the number of requests that an entry serves per second, so that only
# abnormal bursts are cut.
MAX_LINES_PER_EVENT_AND_SECOND = 500
# Type of the eliot action that contains all events. Messages about the action itself
# are not written.
_ACTION_TYPE = "log"
# Fields that eliot adds: its task tree, which is not logged because each event is one
# line, and the name and time of the event, which are written as ``event`` and ``ts``.
_ELIOT_FIELDS = frozenset(("task_uuid", "task_level", "message_type", "timestamp"))


# The cache cannot grow without bound: all field names are constants of the code.
@cache
def _sanitize_key(key: str) -> str:
    """Return a field name with characters but letters, digits and _ replaced by _."""
    return _UNSAFE_KEY_CHARACTER.sub("_", key)


def _format_value(value: object) -> str:
    """Return a value as text, quoted and escaped if it has special characters."""
    # Most values are integers, which never need quotes, or ids.
    if type(value) is int:
        return str(value)
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if _UNQUOTED_VALUE.match(text):
        return text
    escaped = text[:_MAX_VALUE_CHARS].encode("unicode_escape").decode("ascii")
    return '"' + escaped.replace('"', '\\"') + '"'


def format_line(message: dict[str, Any]) -> str:
    r"""Return an eliot message as one line of key=value pairs.

    Field names and values are escaped, so that input from a caller cannot forge
    another line or another field.

    Examples
    --------
    >>> format_line({"timestamp": 1.5, "message_type": "e", "peer": "a b\nc"})
    'ts=1.500 event=e peer="a b\\nc"'
    """
    parts = [f"ts={message.get('timestamp', 0.0):.3f}"]
    parts.append(f"event={_format_value(message.get('message_type', 'unnamed'))}")
    for key, value in message.items():
        if key not in _ELIOT_FIELDS:
            parts.append(f"{_sanitize_key(key)}={_format_value(value)}")
    return " ".join(parts)


class LineWriter(Protocol):
    """Destination of log lines, such as a text stream."""

    def write(self, text: str) -> object:
        """Write one line, which ends with a line feed."""


class DescriptorWriter:
    """Writer of lines to a file descriptor that never blocks.

    With blocking writes, a log collector that stops reading would stop the entry.
    Lines that cannot be written are dropped and counted; the next line that is
    written has their number in the field ``n_lines_dropped``.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._n_dropped = 0
        self.n_dropped_total = 0

    def write(self, text: str) -> None:
        """Write one line, or drop it if the descriptor is not writable."""
        if not self._poll.poll(0):
            self._count_dropped_line()
            return
        line = text.rstrip("\n")[:_MAX_LINE_CHARS]
        if self._n_dropped:
            line += f" n_lines_dropped={self._n_dropped}"
            self._n_dropped = 0
        try:
            os.write(self._descriptor, line.encode("ascii") + b"\n")
        except OSError:
            self._count_dropped_line()

    def _count_dropped_line(self) -> None:
        self._n_dropped += 1
        self.n_dropped_total += 1


class LineLimiter:
    """Rate limit for log lines, applied to each event name separately.

    A burst of one event therefore cannot crowd out the lines of other events.

    Parameters
    ----------
    n_per_second : int
        Maximum number of lines of one event per second.
    """

    def __init__(self, n_per_second: int = MAX_LINES_PER_EVENT_AND_SECOND) -> None:
        self._n_per_second = n_per_second
        self._current_second = 0
        self._n_lines_by_event: Counter[str] = Counter()

    def admit(self, event: str, timestamp_s: float) -> tuple[bool, Counter[str]]:
        """Count one line; return whether to write it, and the lines left out before.

        The second value has the number of lines that were left out, by event. It is
        not empty only for the first line of a new second, and covers the previous
        second in which lines were logged.
        """
        n_left_out_by_event: Counter[str] = Counter()
        if int(timestamp_s) != self._current_second:
            for name, n_lines in self._n_lines_by_event.items():
                if n_lines > self._n_per_second:
                    n_left_out_by_event[name] = n_lines - self._n_per_second
            self._current_second = int(timestamp_s)
            self._n_lines_by_event.clear()
        self._n_lines_by_event[event] += 1
        return self._n_lines_by_event[event] <= self._n_per_second, n_left_out_by_event


class KeyValueLog:
    """Log of events, each written as one line of key=value pairs.

    Parameters
    ----------
    level : str
        Lowest level that is logged: ``debug``, ``info`` or ``error``.
    writer : LineWriter
        Destination of the lines.
    """

    def __init__(self, level: str, writer: LineWriter) -> None:
        self._min_severity = _SEVERITY_BY_LEVEL[level]
        self._writer = writer
        self._limiter = LineLimiter()
        # Log all events within one action: eliot creates a task id, with a system
        # call, for each message outside an action.
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
        """Write one eliot message as a line, unless its event exceeds the rate limit.

        The first line of a new second is preceded by one ``log-limited`` line for each
        event that exceeded the limit.
        """
        if message.get("action_type") == _ACTION_TYPE:
            return
        timestamp_s = message.get("timestamp", 0.0)
        event = str(message.get("message_type", ""))
        is_admitted, n_left_out_by_event = self._limiter.admit(event, timestamp_s)
        for name, n_lines in n_left_out_by_event.items():
            line = {"timestamp": timestamp_s, "message_type": "log-limited"}
            self._write({**line, "left_out": name, "n_lines": n_lines})
        if is_admitted:
            self._write(message)

    def _write(self, message: dict[str, Any]) -> None:
        self._writer.write(format_line(message) + "\n")

    @property
    def n_dropped(self) -> int:
        """Return the number of lines dropped because the log was not writable."""
        return getattr(self._writer, "n_dropped_total", 0)

    def close(self) -> None:
        """Unregister this log from eliot; later events are not written."""
        eliot.remove_destination(self.write_message)

    def event(self, name: str, level: str = "info", **fields: object) -> None:
        """Log one event with its fields, if its level is high enough."""
        if _SEVERITY_BY_LEVEL[level] >= self._min_severity:
            self._action.log(name, **fields)
