"""Receiver of the log lines of shared tables."""

from typing import Protocol


class LogSink(Protocol):
    """Receiver of log lines."""

    def log(self, name: str, **fields: str | int | float) -> None:
        """Write one log line."""
