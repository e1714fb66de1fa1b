"""State of one request in progress."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from bluebellusher.links import AnswerStream
from bluebellusher.observability import Span
from bluebellusher.runtime._kept_answer import KeptAnswer
from bluebellusher_core.events import RequestSpec, Usage


@dataclass(slots=True)
class Exchange:
    """Request in progress with its answer and attempts.

    It is discarded when the caller is served and all attempts have ended.

    Parameters
    ----------
    spec : RequestSpec
        Description of the request for the reducer.
    method, path, body : str, str, bytes
        The request as it is sent to the endpoint.
    headers : mapping of str to str
        Headers for endpoints with an agent.
    answer : AnswerStream
        The answer on its way to the caller.
    span : Span
        Span of the request.
    is_answer_kept : bool
        Whether the answer is kept for repeats of the idempotency key.
    n_attempts : int
        Number of attempts whose end the reducer has not handled yet.
    is_caller_served : bool
        Whether the caller received its answer or has disconnected.
    usage : Usage or None
        Usage of the attempt that finished.
    attempt_spans : dict of str to Span
        Spans of the attempts that have not ended, by attempt id.
    endpoint_by_attempt_id : dict of str to str
        Endpoint ids by attempt id.
    header_items : sequence of tuple
        Names and values of the caller's headers, for endpoints without an agent.
    caller_attempt_id : str
        Id that the caller gave its attempt; empty for none.
    last_event_id : str
        Id of the last event that the caller has of a stream; empty for none. It starts
        with the event after which the caller resumes, and follows the relayed events.
    max_silence_ms : int
        Time without an event from which a stream stalls, in ms.
    """

    spec: RequestSpec
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = field(repr=False)
    answer: AnswerStream
    span: Span
    is_answer_kept: bool = False
    n_attempts: int = 0
    is_caller_served: bool = False
    usage: Usage | None = None
    attempt_spans: dict[str, Span] = field(default_factory=dict)
    endpoint_by_attempt_id: dict[str, str] = field(default_factory=dict)
    header_items: Sequence[tuple[str, str]] = ()
    caller_attempt_id: str = ""
    last_event_id: str = ""
    max_silence_ms: int = 0

    def keep_answer(self) -> KeptAnswer:
        """Return the answer in the form that is kept for the idempotency key."""
        answer = self.answer
        body = None if answer.kept_body is None else bytes(answer.kept_body)
        return KeptAnswer(answer.status, answer.headers, body)
