"""The kept answer of a claimed request, as it is stored in its row."""

import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

# A row holds a kept answer up to this size; a longer one goes into an object.
MAX_ROW_ANSWER_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Status, headers and body; ``body`` is ``None`` when it was too long to keep."""

    status: int
    headers: Mapping[str, str]
    body: bytes | None

    def to_row(self, object_name: str) -> dict[str, Any]:
        """Return the stored form; ``object_name`` is used for a long body."""
        row: dict[str, Any] = {"status": self.status, "headers": dict(self.headers)}
        if self.body is None:
            return row
        if len(self.body) > MAX_ROW_ANSWER_BYTES:
            return {**row, "object": object_name}
        return {**row, "body": base64.b64encode(self.body).decode("ascii")}

    @property
    def n_bytes(self) -> int:
        """Return the length of the kept body."""
        return len(self.body or b"")

    @property
    def needs_object(self) -> bool:
        """Whether the body is stored in an object."""
        return self.body is not None and len(self.body) > MAX_ROW_ANSWER_BYTES


def read_kept(row: Any) -> tuple[KeptAnswer, str] | None:
    """Return the answer and the name of the object with its body, if there is one.

    ``None`` means that ``row`` does not hold an answer in the stored form.
    """
    try:
        body = base64.b64decode(row["body"]) if "body" in row else None
        headers = {str(k): str(v) for k, v in row["headers"].items()}
        answer = KeptAnswer(int(row["status"]), headers, body)
        return answer, str(row.get("object", ""))
    except (TypeError, KeyError, ValueError, AttributeError, binascii.Error):
        return None
