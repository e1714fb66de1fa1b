"""Log lines of key=value pairs, one per event, on standard output."""

import os
import select
import time

MAX_VALUE_CHARACTERS = 200
MAX_LINE_BYTES = 4_000
_STANDARD_OUTPUT = 1


class LogWriter:
    """Write lines to a descriptor without ever waiting for its reader.

    A supervisor that stops reading would otherwise stop the agent. Lines that
    cannot be written are counted and the count is written later.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._n_dropped = 0

    def write(self, line: str) -> None:
        """Write one line, or drop it when the reader does not keep up."""
        # A pipe that is ready takes at least 4096 bytes without blocking.
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
    """Write one line; values are quoted when they are not plain words.

    Bodies, headers and secrets are never passed to this function.
    """
    parts = [f"time_ms={time.time_ns() // 1_000_000}", f"event={event}"]
    parts += [f"{key}={_quote(value)}" for key, value in fields.items()]
    _writer.write(" ".join(parts))


def _quote(value: object) -> str:
    text = str(value)[:MAX_VALUE_CHARACTERS]
    is_plain = text and all("!" <= c <= "~" and c not in "\"'=" for c in text)
    return text if is_plain else ascii(text)
