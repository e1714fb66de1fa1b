"""Relay of one attempt's answer, with checks of its bytes."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bluebellusher.links._answer import AnswerStream


@dataclass(slots=True)
class AttemptRelay:
    """Relay of the answer of one attempt that was sent to an agent.

    Several attempts of a request may share its answer, for example after a hedge. Only
    the first attempt that starts to answer writes to it.

    Parameters
    ----------
    attempt_id, request_id, fingerprint : str
        Id of the attempt, and id and fingerprint of its request.
    answer : AnswerStream
        Answer of the request.
    is_isolated : bool
        Whether the attempt runs in isolation because its request is a suspect.
    on_sent : callable or None
        Called with the number of bytes that the caller's socket accepted, while this
        attempt writes the answer.
    """

    attempt_id: str
    request_id: str
    fingerprint: str
    answer: AnswerStream
    is_isolated: bool = False
    on_sent: Callable[[int], None] | None = None

    def start(self, started: Any) -> str:
        """Check and set status and headers.

        Return a description of the fault, or an empty string. The message is ignored
        when another attempt writes the answer.
        """
        if not self._acquire_answer():
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
        """Check the offset of a chunk and append its bytes to the answer.

        Return a description of the fault, or an empty string. The chunk is ignored when
        another attempt writes the answer.
        """
        if not self._acquire_answer():
            return ""
        if chunk.offset != self.answer.n_bytes:
            return f"offset={chunk.offset}: expected {self.answer.n_bytes}"
        if not self.answer.status:
            return "chunk before the status: expected Started first"
        self.answer.write(chunk.data or b"")
        return ""

    def finish(self, finish: Any) -> str:
        """Check length and CRC of the whole answer.

        Return a description of the fault, or an empty string.
        """
        if not self._acquire_answer():
            return "another attempt writes the answer"
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
        """End the attempt without a complete answer.

        Return the number of answer bytes that were relayed, which is the offset for a
        resume. When the caller has received no byte, the held bytes are discarded, so
        that another attempt can start from the beginning.
        """
        if self.answer.owner_attempt_id != self.attempt_id:
            return self.answer.n_bytes if self.answer.is_committed else 0
        self.answer.owner_attempt_id = ""
        self.answer.reset()
        return self.answer.n_bytes

    def _acquire_answer(self) -> bool:
        """Return whether this attempt writes the answer.

        An incomplete answer without a writer is assigned to this attempt.
        """
        if not self.answer.owner_attempt_id and not self.answer.is_complete:
            self.answer.owner_attempt_id = self.attempt_id
            self.answer.on_sent = self.on_sent
        return self.answer.owner_attempt_id == self.attempt_id
