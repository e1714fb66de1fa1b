"""Log lines of key=value pairs, one per event, on standard error."""

import sys
import time

MAX_VALUE_CHARACTERS = 200


def log(event: str, **fields: object) -> None:
    """Write one line; values are quoted when they are not plain words.

    Bodies, headers and secrets are never passed to this function.
    """
    parts = [f"time_ms={time.time_ns() // 1_000_000}", f"event={event}"]
    parts += [f"{key}={_quote(value)}" for key, value in fields.items()]
    print(" ".join(parts), file=sys.stderr, flush=True)


def _quote(value: object) -> str:
    text = str(value)[:MAX_VALUE_CHARACTERS]
    is_plain = text and all("!" <= c <= "~" and c not in "\"'=" for c in text)
    return text if is_plain else ascii(text)
