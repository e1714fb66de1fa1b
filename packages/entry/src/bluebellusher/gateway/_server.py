"""HTTP server for callers, readiness checks and metrics."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from aiohttp import web

from bluebellusher.gateway._admission import Admission, Denial, fingerprint
from bluebellusher.gateway._answers import AnswerWriter, make_refusal
from bluebellusher.links import AnswerStream
from bluebellusher.runtime import Exchange, Runtime
from bluebellusher.shared import Directory
from bluebellusher_core.errors import Outcome, Reason, Rejection

# Callers reuse connections for up to four fifths of the configured idle time.
KEEP_ALIVE_TIMEOUT_S = 75.0
# A body that is still incomplete after this time ends its connection.
BODY_TIMEOUT_MS = 15_000
MAX_HEADER_BYTES = 65_536
NOT_READY_RETRY_MS = 500
_BACKLOG = 1024


class CallerServer:
    """Serve callers by the routes in force.

    Parameters
    ----------
    runtime : Runtime
        Decides and executes.
    directory : Directory
        Routes and customers in force.
    admission : Admission
        Describes requests.
    make_request_id : callable
        Returns a new id with each call.
    """

    def __init__(
        self,
        runtime: Runtime,
        directory: Directory,
        admission: Admission,
        make_request_id: Callable[[], str],
    ) -> None:
        self._runtime = runtime
        self._directory = directory
        self._admission = admission
        self._make_request_id = make_request_id
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self._listener: asyncio.Server | None = None
        self._busy: set[Any] = set()

    @property
    def n_connections(self) -> int:
        """Return how many callers are connected."""
        return len(self._server.connections)

    async def listen(self, host: str, port: int) -> None:
        """Accept callers."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, port, backlog=_BACKLOG
        )

    def stop_accepting(self) -> None:
        """Accept no new connection; requests in progress go on."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close connections on which no request is in progress.

        ``RequestHandler.close`` would end the task of an idle connection and leave
        its socket open, on which later requests are never read.
        """
        for connection in list(self._server.connections):
            if connection not in self._busy:
                connection.force_close()

    async def close(self) -> None:
        """Close every connection."""
        await self._server.shutdown(timeout=0.1)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._busy.add(request.protocol)
        try:
            response = await self._serve(request)
            if self._runtime.is_shutting_down:
                # Also after a stream that began before: its connection takes no more.
                response.force_close()
            if request.transport is not None and not request.transport.is_closing():
                # Here and not by the caller, so that the connection counts as busy.
                await response.prepare(request)
                await response.write_eof()
            return response
        finally:
            self._busy.discard(request.protocol)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = self._make_request_id()
        table = self._directory.routing
        if table is None:
            return self._refuse_unready(request_id, request)
        now_ms = self._runtime.now_ms()
        target = request.raw_path
        found = self._admission.admit(
            table, request_id, request.method, target, request.headers, now_ms
        )
        if isinstance(found, Denial):
            return self._deny(request_id, request, found, table.version)
        try:
            async with asyncio.timeout(BODY_TIMEOUT_MS / 1000):
                body = await _read_body(request, table.limits.max_body_bytes)
        except TimeoutError:
            denial = Denial(HTTPStatus.REQUEST_TIMEOUT, "slow sender")
            return self._deny(request_id, request, denial, table.version)
        if body is None:
            denial = Denial(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too long")
            return self._deny(request_id, request, denial, table.version)
        spec = found.spec
        spec = replace(
            spec, fingerprint=fingerprint(spec, request.method, target, body)
        )
        exchange = Exchange(
            spec=spec,
            method=request.method,
            path=target,
            headers={},
            body=body,
            answer=AnswerStream(),
            span=self._runtime.tracer.start(
                "request", request.headers.get("traceparent", "")
            ),
            header_items=list(request.headers.items()),
            caller_attempt_id=found.fields.attempt_id,
            last_event_id=found.fields.last_event_id,
            max_silence_ms=found.max_silence_ms,
        )
        self._runtime.log(
            "request-arrived",
            request=request_id,
            caller_attempt=found.fields.attempt_id,
            route=found.route.route_id,
            service=spec.service_id,
            customer=spec.customer_id,
            fingerprint=spec.fingerprint,
            version=table.version,
            remaining_ms=spec.deadline_ms - now_ms,
            is_returning=spec.is_returning,
        )
        return await self._answer(request, exchange)

    async def _answer(
        self, request: web.BaseRequest, exchange: Exchange
    ) -> web.StreamResponse:
        self._runtime.submit(exchange)
        writer = AnswerWriter(request, exchange, self._runtime)
        outcome = "caller_left"
        try:
            response = await writer.write()
            outcome = writer.outcome
            return response
        finally:
            self._runtime.end(exchange)
            self._note_end(exchange, outcome, writer)

    def _note_end(self, exchange: Exchange, outcome: str, writer: AnswerWriter) -> None:
        spec, answer = exchange.spec, exchange.answer
        metrics = self._runtime.metrics
        metrics.count("bluebellusher_requests_total", "outcome", outcome)
        if answer.rejection is not None:
            reason = answer.rejection.reason.value
            metrics.count("bluebellusher_refusals_total", "reason", reason)
        self._runtime.log(
            "request-ended",
            request=spec.request_id,
            outcome=outcome,
            status=writer.status,
            reason=answer.rejection.reason.value if answer.rejection else "",
            step=answer.rejection.step if answer.rejection else "",
            peer=answer.rejection.peer if answer.rejection else "",
            retry_after_ms=writer.retry_after_ms,
            took_ms=writer.took_ms,
            first_ms=writer.first_ms,
            gap_ms=writer.longest_gap_ms,
            n_bytes=answer.n_bytes,
        )
        exchange.span.end(request_id=spec.request_id, outcome=outcome)

    def _refuse_unready(
        self, request_id: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        refusal = Rejection(
            Outcome.NOT_RUN, Reason.NOT_READY, "receive", "", NOT_READY_RETRY_MS
        )
        response = make_refusal(refusal, request_id)
        self._runtime.log(
            "request-ended",
            request=request_id,
            caller_attempt=self._admission.read_attempt_id(request.headers),
            outcome=refusal.outcome.value,
            status=response.status,
            reason=refusal.reason.value,
            step=refusal.step,
            retry_after_ms=NOT_READY_RETRY_MS,
        )
        return response

    def _deny(
        self, request_id: str, request: web.BaseRequest, denial: Denial, version: int
    ) -> web.StreamResponse:
        self._runtime.metrics.count(
            "bluebellusher_denied_total", "reason", denial.reason
        )
        self._runtime.log(
            "request-denied",
            request=request_id,
            caller_attempt=self._admission.read_attempt_id(request.headers),
            status=denial.status.value,
            reason=denial.reason,
            version=version,
        )
        return web.Response(status=denial.status.value, text=denial.reason)


class PageServer:
    """Serve a few fixed pages, such as readiness and metrics."""

    def __init__(self, pages: dict[str, Callable[[], web.Response]]) -> None:
        self._pages = pages
        self._server = web.Server(self._handle, access_log=None)

    async def listen(self, host: str, port: int) -> None:
        """Answer checks."""
        loop = asyncio.get_running_loop()
        await loop.create_server(self._server, host, port)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        page = self._pages.get(request.path)
        return page() if page else web.Response(status=404)


async def _read_body(request: web.BaseRequest, max_bytes: int) -> bytes | None:
    """Return the whole body, or None when it is too long."""
    if not request.can_read_body:
        return b""
    parts = bytearray()
    content: Any = request.content
    while data := await content.readany():
        parts += data
        if len(parts) > max_bytes:
            return None
    return bytes(parts)
