"""Checks on the bytes of one attempt."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bluebellusher.links._answer import AnswerStream


@dataclass(slots=True)
class AttemptRelay:
    """One attempt that an agent was asked to run.

    Parameters
    ----------
    attempt_id, request_id, fingerprint : str
        What is run.
    answer : AnswerStream
        Where its bytes go.
    is_isolated : bool
        Whether it runs as a suspect.
    on_drained : callable or None
        Told how many bytes the caller's socket took, while this attempt writes.
    """

    attempt_id: str
    request_id: str
    fingerprint: str
    answer: AnswerStream
    is_isolated: bool = False
    on_drained: Callable[[int], None] | None = None

    def start(self, started: Any) -> str:
        """Take status and headers; return what is wrong, or an empty string."""
        if not self._owns():
            return ""
        headers = {k.lower(): v for k, v in (started.headers or {}).items()}
        status = started.status or 0
        if not 200 <= status <= 599:
            return f"status={status}: expected 200 to 599"
        if not self.answer.start(status, headers):
            return (
                f"status={status}: expected {self.answer.status} as before the resume"
            )
        return ""

    def accept(self, chunk: Any) -> str:
        """Pass a chunk on; return what is wrong, or an empty string."""
        if not self._owns():
            return ""
        if chunk.offset != self.answer.n_bytes:
            return f"offset={chunk.offset}: expected {self.answer.n_bytes}"
        if not self.answer.status:
            return "chunk before status: expected Started first"
        self.answer.write(chunk.data or b"")
        return ""

    def finish(self, finish: Any) -> str:
        """Check the whole; return what is wrong, or an empty string."""
        if not self._owns():
            return "another attempt gave the answer"
        if not self.answer.status:
            problem = self.start(finish)
            if problem:
                return problem
        if finish.n_bytes != self.answer.n_bytes:
            return f"n_bytes={finish.n_bytes}: expected {self.answer.n_bytes}"
        if finish.crc32 != self.answer.crc32:
            return f"crc32={finish.crc32}: expected {self.answer.crc32}"
        return ""

    def release(self) -> int:
        """End without a whole answer; return the bytes the caller keeps.

        When the caller has received nothing, what was held back is dropped, so
        that another attempt can start from the beginning.
        """
        if self.answer.owner_attempt_id != self.attempt_id:
            return self.answer.n_bytes if self.answer.is_committed else 0
        self.answer.owner_attempt_id = ""
        self.answer.reset()
        return self.answer.n_bytes

    def _owns(self) -> bool:
        """Return whether this attempt writes the answer; the first to start does."""
        if not self.answer.owner_attempt_id and not self.answer.is_complete:
            self.answer.owner_attempt_id = self.attempt_id
            self.answer.on_drained = self.on_drained
        return self.answer.owner_attempt_id == self.attempt_id
