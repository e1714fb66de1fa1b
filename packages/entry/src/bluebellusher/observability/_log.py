"""Log events as one line of key=value pairs each."""

import re
import sys
from typing import Any, TextIO

import eliot

_PLAIN = re.compile(r"^[A-Za-z0-9_.:/@+-]+$")
_KEY = re.compile(r"[^A-Za-z0-9_]")
_RANK_BY_LEVEL = {"debug": 0, "info": 1, "error": 2}
_MAX_VALUE_CHARS = 512
# Fields that eliot adds for its task tree; one line per event needs none of them.
_TASK_FIELDS = frozenset(("task_uuid", "task_level", "message_type", "timestamp"))


def _escape(value: object) -> str:
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
            parts.append(f"{_KEY.sub('_', key)}={_escape(value)}")
    return " ".join(parts)


class KeyValueLog:
    """Write eliot events to a text stream.

    Parameters
    ----------
    level : str
        ``debug``, ``info`` or ``error``; lower events are dropped.
    stream : text stream
        Where lines go.
    """

    def __init__(self, level: str, stream: TextIO) -> None:
        self._rank = _RANK_BY_LEVEL[level]
        self._stream = stream
        self.is_debug = level == "debug"

    @classmethod
    def from_config(cls, level: str, stream: TextIO | None = None) -> "KeyValueLog":
        """Return a log that receives every eliot event of the process."""
        log = cls(level, stream or sys.stderr)
        eliot.add_destinations(log.write_message)
        return log

    def write_message(self, message: dict[str, Any]) -> None:
        """Write one eliot message; a closed stream loses it without an error."""
        try:
            self._stream.write(format_line(message) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            return

    def close(self) -> None:
        """Receive no further events."""
        eliot.remove_destination(self.write_message)

    def event(self, name: str, level: str = "info", **fields: object) -> None:
        """Log one event."""
        if _RANK_BY_LEVEL[level] >= self._rank:
            eliot.log_message(message_type=name, **fields)
