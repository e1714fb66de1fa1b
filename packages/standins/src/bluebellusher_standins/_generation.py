"""Generations of the engine stand-in and their predictable answers."""

import asyncio
import hashlib
import json
from dataclasses import dataclass, field
from typing import Any

from bluebellusher_core.prefix import compute_prefix_hashes, read_prompt

N_DEFAULT_OUTPUT_TOKENS = 16
N_MAX_OUTPUT_TOKENS = 8192
BYTES_PER_TOKEN = 4


def count_prompt_tokens(body: dict[str, Any]) -> int:
    """Return the prompt length in tokens of ``BYTES_PER_TOKEN`` bytes, at least 1."""
    return max(1, len(read_prompt(body)) // BYTES_PER_TOKEN)


def read_n_output_tokens(body: dict[str, Any]) -> int:
    """Return the number of tokens of the answer, from ``max_tokens`` of the request.

    The number is limited to 1 to ``N_MAX_OUTPUT_TOKENS``.
    """
    n_requested = int(body.get("max_tokens") or N_DEFAULT_OUTPUT_TOKENS)
    return max(1, min(n_requested, N_MAX_OUTPUT_TOKENS))


def compute_expected_tokens(raw_body: bytes) -> list[str]:
    """Return the tokens of the answer, which depend only on the request body."""
    digest = hashlib.sha256(raw_body).hexdigest()[:8]
    n_tokens = read_n_output_tokens(json.loads(raw_body))
    return [f"{digest}.{index} " for index in range(n_tokens)]


def compute_expected_answer(raw_body: bytes) -> bytes:
    """Return all bytes of the answer to a request, streamed or not.

    Tests compare the answer that a caller received with the result.
    """
    body = json.loads(raw_body)
    if body.get("stream"):
        return b"".join(_make_stream_events(raw_body, body))
    return _make_json_answer(raw_body, body)


def _make_usage(body: dict[str, Any]) -> dict[str, int]:
    """Return the token counts that an answer reports."""
    n_prompt = count_prompt_tokens(body)
    n_output = read_n_output_tokens(body)
    return {
        "prompt_tokens": n_prompt,
        "completion_tokens": n_output,
        "total_tokens": n_prompt + n_output,
    }


def _encode_event(
    answer_id: str, model: str, choice: dict[str, Any], **extra: Any
) -> bytes:
    chunk = {
        "id": answer_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [choice] if choice else [],
        **extra,
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def _make_stream_events(raw_body: bytes, body: dict[str, Any]) -> list[bytes]:
    """Return the events of a streamed answer, one for each token.

    The last item also has the finish reason, the usage and the end marker.
    """
    answer_id = "cmpl-" + hashlib.sha256(raw_body).hexdigest()[:16]
    model = str(body.get("model", ""))
    events = [
        _encode_event(answer_id, model, {"index": 0, "delta": {"content": token}})
        for token in compute_expected_tokens(raw_body)
    ]
    stop = {"index": 0, "delta": {}, "finish_reason": "stop"}
    finish_event = _encode_event(answer_id, model, stop)
    usage = _encode_event(answer_id, model, {}, usage=_make_usage(body))
    events[-1] += finish_event + usage + b"data: [DONE]\n\n"
    return events


def _make_json_answer(raw_body: bytes, body: dict[str, Any]) -> bytes:
    """Return the body of an answer that is not streamed."""
    message = {
        "role": "assistant",
        "content": "".join(compute_expected_tokens(raw_body)),
    }
    answer = {
        "id": "cmpl-" + hashlib.sha256(raw_body).hexdigest()[:16],
        "object": "chat.completion",
        "created": 0,
        "model": str(body.get("model", "")),
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": _make_usage(body),
    }
    return json.dumps(answer).encode()


@dataclass(slots=True, eq=False)
class Generation:
    """State of one request in the engine.

    ``data`` holds the bytes of the answer that have been produced so far, and
    ``changed`` is set when bytes are added or the generation is cancelled.
    """

    attempt_id: str
    raw_body: bytes
    priority: int
    n_prompt_tokens: int
    n_output_tokens: int
    prefix_hashes: tuple[int, ...]
    is_stream: bool
    events: list[bytes]
    n_uncached_tokens: float = 0
    n_cached_tokens: int = 0
    n_emitted_tokens: int = 0
    data: bytearray = field(default_factory=bytearray)
    is_started: bool = False
    is_finished: bool = False
    is_cancelled: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @classmethod
    def from_request(
        cls, attempt_id: str, raw_body: bytes, priority: int
    ) -> "Generation":
        """Return the generation for a request body.

        Raises
        ------
        AttributeError, TypeError or ValueError
            When the body is malformed.
        """
        body = json.loads(raw_body)
        hashes = compute_prefix_hashes(str(body.get("model", "")), read_prompt(body))
        is_stream = bool(body.get("stream"))
        events = (
            _make_stream_events(raw_body, body)
            if is_stream
            else [_make_json_answer(raw_body, body)]
        )
        return cls(
            attempt_id=attempt_id,
            raw_body=raw_body,
            priority=priority,
            n_prompt_tokens=count_prompt_tokens(body),
            n_output_tokens=read_n_output_tokens(body),
            prefix_hashes=hashes,
            is_stream=is_stream,
            events=events,
        )

    def emit_token(self) -> None:
        """Emit one token; the last token finishes the answer."""
        if self.is_stream:
            self.data += self.events[self.n_emitted_tokens]
        self.n_emitted_tokens += 1
        self.is_started = True
        if self.n_emitted_tokens >= self.n_output_tokens:
            if not self.is_stream:
                self.data += self.events[0]
            self.is_finished = True
        if self.is_stream or self.is_finished:
            self.changed.set()

    def cancel(self) -> None:
        """Cancel the generation, which emits no further tokens."""
        self.is_cancelled = True
        self.changed.set()
