"""One request of a caller and the answer that it is given."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from bluebellusher.links import AnswerStream
from bluebellusher.observability import Span
from bluebellusher.runtime._kept import KeptAnswer
from bluebellusher_core.events import RequestSpec, Usage


@dataclass(slots=True)
class Exchange:
    """What the runtime holds of a request while it is in progress.

    ``n_attempts`` counts attempts whose end the reducer has not handled yet; the
    exchange is forgotten when the caller is served and no attempt is left. ``usage`` is
    that of the attempt whose whole answer arrived. ``header_items`` are the caller's
    headers for endpoints that are reached directly, ``caller_attempt_id`` is the id
    that the caller gave, and ``last_event_id`` the last event that it has of a stream;
    ``max_silence_ms`` is how long its next event may take.
    """

    spec: RequestSpec
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = field(repr=False)
    answer: AnswerStream
    span: Span
    is_kept: bool = False
    n_attempts: int = 0
    is_caller_served: bool = False
    usage: Usage | None = None
    attempt_spans: dict[str, Span] = field(default_factory=dict)
    endpoint_by_attempt_id: dict[str, str] = field(default_factory=dict)
    header_items: Sequence[tuple[str, str]] = ()
    caller_attempt_id: str = ""
    last_event_id: str = ""
    max_silence_ms: int = 0

    def keep(self) -> KeptAnswer:
        """Return the answer for a repeat of the idempotency key."""
        answer = self.answer
        body = None if answer.kept_body is None else bytes(answer.kept_body)
        return KeptAnswer(answer.status, answer.headers, body)
