"""From the answer of an endpoint to the response that a caller receives."""

import json
from http import HTTPStatus

from aiohttp import web

from bluebellusher.links import CONNECTION_HEADERS
from bluebellusher.runtime import Exchange, Runtime
from bluebellusher_core.errors import Outcome, Reason, Rejection

_LIMIT_REASONS = frozenset((Reason.RATE_LIMITED, Reason.BUDGET_EXHAUSTED))


class AnswerWriter:
    """Write what the relay has checked, and note times for log and metrics.

    Parameters
    ----------
    request : web.BaseRequest
        The caller's request.
    exchange : Exchange
        Holds the answer.
    runtime : Runtime
        Clock and metrics.
    """

    def __init__(
        self, request: web.BaseRequest, exchange: Exchange, runtime: Runtime
    ) -> None:
        self.outcome = ""
        self.status = 0
        self.retry_after_ms = 0
        self.first_ms = 0
        self.longest_gap_ms = 0
        self._request = request
        self._exchange = exchange
        self._runtime = runtime
        self._arrived_at_ms = self._sent_at_ms = runtime.now_ms()
        self._response: web.StreamResponse | None = None

    @property
    def took_ms(self) -> int:
        """Time since the arrival."""
        return self._runtime.now_ms() - self._arrived_at_ms

    async def write(self) -> web.StreamResponse:
        """Write the whole answer and return the response."""
        answer = self._exchange.answer
        while data := await answer.read():
            if answer.is_complete and self._response is None:
                return self._whole(data)
            await self._write_part(data)
            answer.record_sent(len(data))
        if answer.rejection is not None:
            return self._refuse(answer.rejection)
        if self._response is None:
            return self._whole(b"")
        self.outcome = Outcome.COMPLETED.value
        await self._response.write_eof()
        self._runtime.metrics.total.record_value(max(1, self.took_ms))
        return self._response

    def _whole(self, data: bytes) -> web.StreamResponse:
        answer = self._exchange.answer
        self.status = answer.status
        self.outcome = Outcome.COMPLETED.value
        self._record_first()
        self._runtime.metrics.total.record_value(max(1, self.took_ms))
        headers = _returned_headers(answer.headers)
        return web.Response(body=data, status=answer.status, headers=headers)

    async def _write_part(self, data: bytes) -> None:
        if self._response is None:
            answer = self._exchange.answer
            self.status = answer.status
            headers = _returned_headers(answer.headers)
            self._response = web.StreamResponse(status=answer.status, headers=headers)
            if self._runtime.is_shutting_down:
                self._response.force_close()
            self._response.enable_chunked_encoding()
            await self._response.prepare(self._request)
            self._record_first()
        else:
            now_ms = self._runtime.now_ms()
            gap_ms = now_ms - self._sent_at_ms
            self._sent_at_ms = now_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
            self._runtime.metrics.n_chunks_by_gap_ms[gap_ms] += 1
        await self._response.write(data)

    def _refuse(self, refusal: Rejection) -> web.StreamResponse:
        self.outcome = refusal.outcome.value
        self.retry_after_ms = refusal.retry_after_ms or 0
        if self._response is not None:
            # Without the last chunk the caller sees that the answer is cut.
            transport = self._request.transport
            if transport is not None:
                transport.abort()
            return self._response
        response = make_refusal(refusal, self._exchange.spec.request_id)
        self.status = response.status
        return response

    def _record_first(self) -> None:
        self._sent_at_ms = self._runtime.now_ms()
        self.first_ms = self.took_ms
        self._runtime.metrics.first_token.record_value(max(1, self.first_ms))


def make_refusal(refusal: Rejection, request_id: str) -> web.Response:
    """Return the final answer to a request that was given up.

    Only a request that has certainly not run gets a status that promises so.
    """
    body = {
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
        "step": refusal.step,
        "request_id": request_id,
    }
    headers = {}
    if refusal.outcome is Outcome.NOT_RUN and refusal.retry_after_ms is not None:
        headers["Retry-After"] = f"{refusal.retry_after_ms / 1000:.3f}"
    return web.Response(
        body=json.dumps({"error": body}).encode(),
        status=_status_of(refusal),
        headers=headers,
        content_type="application/json",
    )


def _status_of(refusal: Rejection) -> int:
    if refusal.outcome is Outcome.NOT_RUN:
        if refusal.reason in _LIMIT_REASONS:
            return HTTPStatus.TOO_MANY_REQUESTS
        return HTTPStatus.SERVICE_UNAVAILABLE
    if refusal.reason is Reason.DEADLINE_EXCEEDED:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def _returned_headers(headers: dict[str, str]) -> dict[str, str]:
    return {
        name: value for name, value in headers.items() if name not in CONNECTION_HEADERS
    }
