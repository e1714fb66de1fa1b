"""Conversion of an endpoint's answer into the HTTP response to the caller."""

import json
from http import HTTPStatus

from aiohttp import web

from bluebellusher.links import CONNECTION_HEADERS
from bluebellusher.runtime import Exchange, Runtime
from bluebellusher_core.errors import Outcome, Reason, Rejection

# Reasons that are reported with status 429 instead of 503.
_LIMIT_REASONS = frozenset((Reason.RATE_LIMITED, Reason.BUDGET_EXHAUSTED))


class AnswerWriter:
    """Writer of the checked parts of an answer to the caller.

    It also measures the latencies of the answer for the log and the metrics.

    Parameters
    ----------
    request : web.BaseRequest
        The caller's request.
    exchange : Exchange
        Request in progress, with the answer that the relay fills.
    runtime : Runtime
        Provides the clock and the metrics.

    Attributes
    ----------
    outcome : str
        Outcome of the request; empty until the answer has ended.
    status : int
        HTTP status of the response; 0 until the response starts.
    retry_after_ms : int
        Time after which a rejected request may be retried, in ms; 0 for none.
    first_ms : int
        Time to the first byte of the answer, in ms; 0 until it is sent.
    longest_gap_ms : int
        Longest time between two parts of the answer, in ms.
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
        self._submitted_at_ms = self._last_sent_at_ms = runtime.now_ms()
        self._response: web.StreamResponse | None = None

    @property
    def took_ms(self) -> int:
        """Time since the request was submitted to the runtime, in ms."""
        return self._runtime.now_ms() - self._submitted_at_ms

    async def write(self) -> web.StreamResponse:
        """Write the complete answer or the rejection, and return the response.

        An answer that is complete before its first byte was written, or a rejection at
        that point, is returned as a response for the server to send.
        """
        answer = self._exchange.answer
        while data := await answer.read():
            if answer.is_complete and self._response is None:
                return self._make_complete_response(data)
            await self._write_part(data)
            answer.record_sent(len(data))
        if answer.rejection is not None:
            return self._finish_rejected(answer.rejection)
        if self._response is None:
            return self._make_complete_response(b"")
        self.outcome = Outcome.COMPLETED.value
        await self._response.write_eof()
        self._runtime.metrics.time_total_ms.record_value(max(1, self.took_ms))
        return self._response

    def _make_complete_response(self, data: bytes) -> web.StreamResponse:
        """Return a complete answer as one response with a content length."""
        answer = self._exchange.answer
        self.status = answer.status
        self.outcome = Outcome.COMPLETED.value
        self._record_first_byte()
        self._runtime.metrics.time_total_ms.record_value(max(1, self.took_ms))
        headers = _select_headers(answer.headers)
        return web.Response(body=data, status=answer.status, headers=headers)

    async def _write_part(self, data: bytes) -> None:
        """Write the next part of an answer, after the headers for the first part."""
        if self._response is None:
            answer = self._exchange.answer
            self.status = answer.status
            headers = _select_headers(answer.headers)
            self._response = web.StreamResponse(status=answer.status, headers=headers)
            if self._runtime.is_shutting_down:
                self._response.force_close()
            self._response.enable_chunked_encoding()
            await self._response.prepare(self._request)
            self._record_first_byte()
        else:
            now_ms = self._runtime.now_ms()
            gap_ms = now_ms - self._last_sent_at_ms
            self._last_sent_at_ms = now_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
            self._runtime.metrics.n_chunks_by_gap_ms[gap_ms] += 1
        await self._response.write(data)

    def _finish_rejected(self, rejection: Rejection) -> web.StreamResponse:
        """Return the rejection's response, or abort a response that has started."""
        self.outcome = rejection.outcome.value
        self.retry_after_ms = rejection.retry_after_ms or 0
        if self._response is not None:
            # The connection ends without the final chunk, so that the caller detects
            # the truncated answer.
            transport = self._request.transport
            if transport is not None:
                transport.abort()
            return self._response
        response = make_rejection_response(rejection, self._exchange.spec.request_id)
        self.status = response.status
        return response

    def _record_first_byte(self) -> None:
        """Record the time to the first byte."""
        self._last_sent_at_ms = self._runtime.now_ms()
        self.first_ms = self.took_ms
        self._runtime.metrics.time_to_first_token_ms.record_value(max(1, self.first_ms))


def make_rejection_response(rejection: Rejection, request_id: str) -> web.Response:
    """Return the HTTP response to a rejected request.

    ``Retry-After`` is set only for a request that has certainly not run.
    """
    body = {
        "outcome": rejection.outcome.value,
        "reason": rejection.reason.value,
        "step": rejection.step,
        "request_id": request_id,
    }
    headers = {}
    if rejection.outcome is Outcome.NOT_RUN and rejection.retry_after_ms is not None:
        headers["Retry-After"] = f"{rejection.retry_after_ms / 1000:.3f}"
    return web.Response(
        body=json.dumps({"error": body}).encode(),
        status=_choose_status(rejection),
        headers=headers,
        content_type="application/json",
    )


def _choose_status(rejection: Rejection) -> int:
    """Return the HTTP status of a rejection.

    429 and 503 state that the request has not run, 502 and 504 that it may have run.
    """
    if rejection.outcome is Outcome.NOT_RUN:
        if rejection.reason in _LIMIT_REASONS:
            return HTTPStatus.TOO_MANY_REQUESTS
        return HTTPStatus.SERVICE_UNAVAILABLE
    if rejection.reason is Reason.DEADLINE_EXCEEDED:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def _select_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the endpoint's headers without those that concern one connection."""
    return {
        name: value for name, value in headers.items() if name not in CONNECTION_HEADERS
    }
