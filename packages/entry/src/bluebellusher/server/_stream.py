"""Transmission of an answer to its caller."""

from time import monotonic_ns
from typing import Any

from sanic import Request
from sanic.response import HTTPResponse

from bluebellusher.observability import Metrics
from bluebellusher.runtime import Exchange
from bluebellusher.server._respond import (
    refusal_body,
    refusal_headers,
    returned_headers,
    status_of,
)
from bluebellusher_core.errors import Rejection


class AnswerSender:
    """Sender of an answer to its caller, at the rate of the caller's socket."""

    def __init__(self, request: Request, exchange: Exchange, metrics: Metrics) -> None:
        self._request = request
        self._exchange = exchange
        self._metrics = metrics
        self._started_ns = self._sent_ns = monotonic_ns()
        self._response: HTTPResponse | None = None

    async def send(self) -> str:
        """Send the whole answer or a rejection; return the outcome for metrics."""
        answer = self._exchange.answer
        while data := await answer.take():
            if answer.is_complete and self._response is None:
                await self._send_whole(data)
                return "completed"
            await self._send_part(data)
            answer.note_sent(len(data))
        if answer.refusal is not None:
            return await self._send_refusal(answer.refusal)
        if self._response is None:
            await self._send_whole(b"")
        else:
            await self._response.eof()
        self._record_total()
        return "completed"

    async def _send_whole(self, data: bytes) -> None:
        answer = self._exchange.answer
        request_id = self._exchange.spec.request_id
        headers = returned_headers(answer.headers, request_id)
        await self._respond_once(answer.status, headers, data)
        self._record_first()
        self._record_total()

    async def _respond_once(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        content_type = headers.pop("content-type", "application/octet-stream")
        response = HTTPResponse(body, status, headers, content_type)
        self._response = await self._request.respond(response)
        await self._response.send(body, end_stream=True)

    async def _send_part(self, data: bytes) -> None:
        if self._response is None:
            answer = self._exchange.answer
            request_id = self._exchange.spec.request_id
            headers = returned_headers(answer.headers, request_id)
            content_type = headers.pop("content-type", "application/octet-stream")
            self._response = await self._request.respond(
                status=answer.status, headers=headers, content_type=content_type
            )
            self._record_first()
        else:
            self._record_between()
        await self._response.send(data)

    async def _send_refusal(self, refusal: Rejection) -> str:
        request_id = self._exchange.spec.request_id
        body = refusal_body(refusal, request_id)
        if self._response is None:
            headers = {**refusal_headers(refusal), "content-type": "application/json"}
            headers["x-request-id"] = request_id
            await self._respond_once(status_of(refusal.reason), headers, body)
        elif self._exchange.answer.is_events:
            # Without the terminating [DONE] the caller detects an incomplete answer.
            # The empty line comes first because the answer may end within a line.
            await self._response.send(b"\n\nevent: error\ndata: " + body + b"\n\n")
            await self._response.eof()
        else:
            # Without the last chunk the caller's HTTP client reports a truncated body.
            self._abort()
        return refusal.outcome.value

    def _abort(self) -> None:
        transport: Any = self._request.transport
        if transport is not None:
            transport.abort()

    def _record_first(self) -> None:
        self._sent_ns = monotonic_ns()
        duration_ms = (self._sent_ns - self._started_ns) // 1_000_000
        self._metrics.first_token.record_value(max(1, duration_ms))

    def _record_between(self) -> None:
        now_ns = monotonic_ns()
        self._metrics.n_chunks_by_gap_ms[(now_ns - self._sent_ns) // 1_000_000] += 1
        self._sent_ns = now_ns

    def _record_total(self) -> None:
        duration_ms = (monotonic_ns() - self._started_ns) // 1_000_000
        self._metrics.total.record_value(max(1, duration_ms))
