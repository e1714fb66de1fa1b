"""Stored form of the answer of a claimed request."""

import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

# Size up to which the body of a kept answer is stored in its claim row, in bytes. A
# longer body is stored as an object.
MAX_ROW_ANSWER_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Answer that is kept for repeats of the request's idempotency key.

    ``body`` is None when it was longer than the size limit of kept answers.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes | None

    def to_row(self, object_name: str) -> dict[str, Any]:
        """Return the form that is stored in the claim row.

        A body above ``MAX_ROW_ANSWER_BYTES`` is replaced by ``object_name``, under
        which the caller of this method stores the body.
        """
        row: dict[str, Any] = {"status": self.status, "headers": dict(self.headers)}
        if self.body is None:
            return row
        if len(self.body) > MAX_ROW_ANSWER_BYTES:
            return {**row, "object": object_name}
        return {**row, "body": base64.b64encode(self.body).decode("ascii")}

    @property
    def n_bytes(self) -> int:
        """Return the length of the body, in bytes."""
        return len(self.body or b"")

    @property
    def needs_object(self) -> bool:
        """Return whether the body is too long for the claim row."""
        return self.body is not None and len(self.body) > MAX_ROW_ANSWER_BYTES


def read_kept_answer(row: Any) -> tuple[KeptAnswer, str] | None:
    """Return a stored answer and the name of the object that holds its body.

    The name is empty when the body is not stored as an object. Returns None when
    ``row`` is not an answer in the stored form.
    """
    try:
        body = base64.b64decode(row["body"]) if "body" in row else None
        headers = {str(k): str(v) for k, v in row["headers"].items()}
        answer = KeptAnswer(int(row["status"]), headers, body)
        return answer, str(row.get("object", ""))
    except (TypeError, KeyError, ValueError, AttributeError, binascii.Error):
        return None
