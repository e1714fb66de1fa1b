"""Transmission of an answer to its caller."""

from time import monotonic_ns
from typing import Any

from sanic import Request
from sanic.response import HTTPResponse

from bluebellusher.observability import Metrics
from bluebellusher.runtime import Exchange
from bluebellusher.server._respond import (
    choose_status,
    make_rejection_body,
    make_rejection_headers,
    select_returned_headers,
)
from bluebellusher_core.errors import Rejection


class AnswerSender:
    """Sender of an answer to its caller, at the rate of the caller's socket."""

    def __init__(self, request: Request, exchange: Exchange, metrics: Metrics) -> None:
        self._request = request
        self._exchange = exchange
        self._metrics = metrics
        self._started_ns = self._last_sent_ns = monotonic_ns()
        self._response: HTTPResponse | None = None

    async def send(self) -> str:
        """Send the whole answer or a rejection; return the outcome for metrics."""
        answer = self._exchange.answer
        while data := await answer.read():
            if answer.is_complete and self._response is None:
                await self._send_whole(data)
                return "completed"
            await self._send_part(data)
            answer.record_sent(len(data))
        if answer.rejection is not None:
            return await self._send_rejection(answer.rejection)
        if self._response is None:
            await self._send_whole(b"")
        else:
            await self._response.eof()
        self._record_total_time()
        return "completed"

    async def _send_whole(self, data: bytes) -> None:
        """Send a complete answer of which nothing was sent yet, with its length."""
        answer = self._exchange.answer
        request_id = self._exchange.spec.request_id
        headers = select_returned_headers(answer.headers, request_id)
        await self._send_response(answer.status, headers, data)
        self._record_first_part()
        self._record_total_time()

    async def _send_response(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Send a response whose body is complete."""
        content_type = headers.pop("content-type", "application/octet-stream")
        response = HTTPResponse(body, status, headers, content_type)
        self._response = await self._request.respond(response)
        await self._response.send(body, end_stream=True)

    async def _send_part(self, data: bytes) -> None:
        """Send a part of the answer, before the first one the status and headers."""
        if self._response is None:
            answer = self._exchange.answer
            request_id = self._exchange.spec.request_id
            headers = select_returned_headers(answer.headers, request_id)
            content_type = headers.pop("content-type", "application/octet-stream")
            self._response = await self._request.respond(
                status=answer.status, headers=headers, content_type=content_type
            )
            self._record_first_part()
        else:
            self._record_gap()
        await self._response.send(data)

    async def _send_rejection(self, rejection: Rejection) -> str:
        """Send a rejection and return its outcome.

        After a part of the answer was sent, the rejection is an error event in a stream
        of events, and an aborted connection in any other answer.
        """
        request_id = self._exchange.spec.request_id
        body = make_rejection_body(rejection, request_id)
        if self._response is None:
            headers = {
                **make_rejection_headers(rejection),
                "content-type": "application/json",
            }
            headers["x-request-id"] = request_id
            await self._send_response(choose_status(rejection), headers, body)
        elif self._exchange.answer.is_events:
            # Without the terminating [DONE] the caller detects an incomplete answer.
            # The empty line comes first because the answer may end within a line.
            await self._response.send(b"\n\nevent: error\ndata: " + body + b"\n\n")
            await self._response.eof()
        else:
            # Without the last chunk the caller's HTTP client reports a truncated body.
            self._abort_connection()
        return rejection.outcome.value

    def _abort_connection(self) -> None:
        transport: Any = self._request.transport
        if transport is not None:
            transport.abort()

    def _record_first_part(self) -> None:
        """Record the time to the first part of the answer, in ms."""
        self._last_sent_ns = monotonic_ns()
        duration_ms = (self._last_sent_ns - self._started_ns) // 1_000_000
        self._metrics.time_to_first_token_ms.record_value(max(1, duration_ms))

    def _record_gap(self) -> None:
        """Record the time since the previous part of the answer, in ms."""
        now_ns = monotonic_ns()
        self._metrics.n_chunks_by_gap_ms[
            (now_ns - self._last_sent_ns) // 1_000_000
        ] += 1
        self._last_sent_ns = now_ns

    def _record_total_time(self) -> None:
        """Record the time to the end of the answer, in ms."""
        duration_ms = (monotonic_ns() - self._started_ns) // 1_000_000
        self._metrics.time_total_ms.record_value(max(1, duration_ms))
