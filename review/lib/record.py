"""Record of what was sent, answered and run."""

import json
import pathlib
import time


class Record:
    """File of one JSON object a line, each with the time since the start in ms."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def write(self, kind: str, **fields: object) -> None:
        """Write one line."""
        at_ms = round((time.monotonic() - self._started_s) * 1000)
        line = json.dumps({"at_ms": at_ms, "kind": kind, **fields})
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
