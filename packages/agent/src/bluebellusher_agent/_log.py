"""Logging to standard output: one line of key=value pairs per event."""

import os
import select
import time

MAX_VALUE_CHARACTERS = 200
MAX_LINE_BYTES = 4_000
_STANDARD_OUTPUT = 1


class LogWriter:
    """Write lines to a file descriptor without blocking.

    A blocking write would stop the agent when its supervisor stops reading the log.
    Lines that cannot be written are dropped; the next line that is written contains
    their number.

    Parameters
    ----------
    descriptor : int
        File descriptor that is open for writing.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._n_dropped = 0

    def write(self, line: str) -> None:
        """Write one line, or drop it if the descriptor is not ready for writing."""
        # A pipe that polls as ready accepts at least 4096 bytes without blocking.
        if not self._poll.poll(0):
            self._n_dropped += 1
            return
        if self._n_dropped:
            line += f" n_lines_dropped={self._n_dropped}"
            self._n_dropped = 0
        try:
            os.write(self._descriptor, line[:MAX_LINE_BYTES].encode("ascii") + b"\n")
        except OSError:
            self._n_dropped += 1


_writer = LogWriter(_STANDARD_OUTPUT)


def log(event: str, **fields: object) -> None:
    """Write one log line; values that are not plain words are quoted.

    Callers must not pass request bodies, headers or secrets.
    """
    parts = [f"time_ms={time.time_ns() // 1_000_000}", f"event={event}"]
    parts += [f"{key}={_quote(value)}" for key, value in fields.items()]
    _writer.write(" ".join(parts))


def _quote(value: object) -> str:
    text = str(value)[:MAX_VALUE_CHARACTERS]
    is_plain = text and all("!" <= c <= "~" and c not in "\"'=" for c in text)
    return text if is_plain else ascii(text)
