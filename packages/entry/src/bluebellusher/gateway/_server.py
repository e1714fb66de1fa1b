"""HTTP servers for callers, and for readiness checks and metrics."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from typing import Any

from aiohttp import web

from bluebellusher.gateway._admission import Admission, Denial, fingerprint
from bluebellusher.gateway._answering import BodyRefusedError
from bluebellusher.gateway._answers import AnswerWriter, make_rejection_response
from bluebellusher.gateway._connection_guard import (
    RECEIVE_BUFFER_BYTES,
    ConnectionGuard,
    GuardedServer,
)
from bluebellusher.gateway._connections import (
    BODY_TOO_LARGE,
    GIVEN_UP,
    CallerConnection,
)
from bluebellusher.links import AnswerStream
from bluebellusher.runtime import Exchange, Runtime
from bluebellusher.shared import Directory
from bluebellusher_core.directory import CallerLimits
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.memory import (
    ByteBudget,
    choose_budget_bytes,
    choose_max_connections,
)

# Idle timeout of a caller's connection, in s. Callers reuse a connection for up to four
# fifths of the configured idle time.
KEEP_ALIVE_TIMEOUT_S = 75.0
# Timeout of the complete body of a request, in ms. A request whose body is still
# incomplete by then is denied, and its connection ends.
BODY_TIMEOUT_MS = 15_000
# Upper bound of the request line and of each header field, in bytes.
MAX_HEADER_BYTES = 65_536
# Memory and descriptors of a process whose settings name none.
DEFAULT_MEMORY_MB = 512
DEFAULT_N_DESCRIPTORS = 8_192
# Connections to each address for operators.
MAX_PAGE_CONNECTIONS = 64
# Limits on requests for pages.
PAGE_LIMITS = CallerLimits(max_body_bytes=65_536)
# Time after which a caller may retry while the entry has no configuration, in ms.
NOT_READY_RETRY_MS = 500
# Connections that the kernel queues until the entry accepts them.
_BACKLOG = 1024


class CallerServer:
    """HTTP server that callers send their requests to.

    Parameters
    ----------
    runtime : Runtime
        Passes requests to the reducer and executes its effects.
    directory : Directory
        Provides the routes and customers in force.
    admission : Admission
        Admits or denies requests.
    make_request_id : callable
        Returns a new request id for each call.
    budget : ByteBudget or None
        Bytes that the process may hold for all callers.
    n_max_connections : int or None
        Upper bound of the open connections.
    """

    def __init__(
        self,
        runtime: Runtime,
        directory: Directory,
        admission: Admission,
        make_request_id: Callable[[], str],
        budget: ByteBudget | None = None,
        n_max_connections: int | None = None,
    ) -> None:
        self._runtime = runtime
        self._directory = directory
        self._admission = admission
        self._make_request_id = make_request_id
        self._guard = ConnectionGuard(
            budget or ByteBudget(choose_budget_bytes(DEFAULT_MEMORY_MB * 1_000_000)),
            n_max_connections or choose_max_connections(DEFAULT_N_DESCRIPTORS),
            runtime,
            self._find_limits,
        )
        self._server = GuardedServer(
            self._guard,
            self._handle,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self._listener: asyncio.Server | None = None
        self._busy_protocols: set[Any] = set()

    @property
    def n_connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._server.connections)

    async def listen(self, host: str, port: int) -> None:
        """Accept connections of callers at an address."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, port, backlog=_BACKLOG
        )
        _bound_receive_buffers(self._listener)
        self._guard.start()

    def stop_accepting(self) -> None:
        """Accept no new connections; requests in progress continue."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close the connections without a request in progress.

        ``RequestHandler.close`` would end the task of an idle connection but leave its
        socket open. Requests that a caller sends on such a socket are never read.
        """
        for connection in list(self._server.connections):
            if connection not in self._busy_protocols:
                connection.force_close()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.shutdown(timeout=0.1)
        self._guard.close()

    def _find_limits(self) -> CallerLimits:
        table = self._directory.routing
        return table.limits if table is not None else CallerLimits()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and mark its connection as busy until the response ends."""
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        self._busy_protocols.add(connection)
        try:
            response = await self._serve(request, connection)
            if self._runtime.is_shutting_down or connection.is_refused:
                # A stream that started before the shutdown needs this too: its
                # connection must not be used for another request.
                response.force_close()
            if request.transport is not None and not request.transport.is_closing():
                # Written here instead of by aiohttp after the return, so that the
                # connection counts as busy until the response has been sent.
                await response.prepare(request)
                await response.write_eof()
                await connection.linger()
            return response
        finally:
            connection.end_request(request.content)
            self._busy_protocols.discard(connection)

    async def _serve(
        self, request: web.BaseRequest, connection: CallerConnection
    ) -> web.StreamResponse:
        """Admit a request, read its body and return the answer, or deny it."""
        request_id = self._make_request_id()
        table = self._directory.routing
        if table is None:
            return self._reject_not_ready(request_id, request)
        now_ms = self._runtime.now_ms()
        target = request.raw_path
        result = self._admission.admit(
            table, request_id, request.method, target, request.headers, now_ms
        )
        if isinstance(result, Denial):
            return self._deny(request_id, request, result, table.version)
        if result.spec.customer_id:
            connection.account.owner = result.spec.customer_id
        try:
            async with asyncio.timeout(BODY_TIMEOUT_MS / 1000):
                max_body_bytes = table.limits.max_body_bytes
                body = await _read_body(request, connection, max_body_bytes)
        except TimeoutError:
            connection.refuse("slow_body")
            denial = Denial(HTTPStatus.REQUEST_TIMEOUT, "slow sender")
            return self._deny(request_id, request, denial, table.version)
        except BodyRefusedError as error:
            return self._deny(request_id, request, error.denial, table.version)
        # The request is sent from here on, so that a rejection would not be true.
        connection.account.is_evictable = False
        spec = result.spec
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
            caller_attempt_id=result.fields.attempt_id,
            last_event_id=result.fields.last_event_id,
            max_silence_ms=result.max_silence_ms,
        )
        self._runtime.log(
            "request-arrived",
            request=request_id,
            caller_attempt=result.fields.attempt_id,
            route=result.route.route_id,
            service=spec.service_id,
            customer=spec.customer_id,
            fingerprint=spec.fingerprint,
            parts=",".join(spec.shared_part_ids),
            version=table.version,
            remaining_ms=spec.deadline_ms - now_ms,
        )
        return await self._answer(request, exchange)

    async def _answer(
        self, request: web.BaseRequest, exchange: Exchange
    ) -> web.StreamResponse:
        """Submit an admitted request and write its answer to the caller."""
        self._runtime.submit(exchange)
        writer = AnswerWriter(request, exchange, self._runtime)
        outcome = "caller_left"
        try:
            response = await writer.write()
            outcome = writer.outcome
            return response
        finally:
            self._runtime.end_exchange(exchange)
            self._record_end(exchange, outcome, writer)

    def _record_end(
        self, exchange: Exchange, outcome: str, writer: AnswerWriter
    ) -> None:
        """Record the end of a request in the metrics, the log and its span."""
        spec, answer = exchange.spec, exchange.answer
        metrics = self._runtime.metrics
        metrics.count("bluebellusher_requests_total", "outcome", outcome)
        if answer.rejection is not None:
            reason = answer.rejection.reason.value
            metrics.count("bluebellusher_refusals_total", "reason", reason)
        self._count_by_priority(exchange)
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

    def _count_by_priority(self, exchange: Exchange) -> None:
        """Count a request by its priority where priorities compete for capacity."""
        spec, rejection = exchange.spec, exchange.answer.rejection
        limits = self._runtime.state.endpoints.running_limits
        if limits.find_objective(spec.service_id) is None:
            return
        name = f"bluebellusher_priority_{int(spec.priority)}"
        metrics = self._runtime.metrics
        if rejection is None:
            metrics.count(f"{name}_admitted_total")
        else:
            metrics.count(f"{name}_rejected_total", "reason", rejection.reason.value)

    def _reject_not_ready(
        self, request_id: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Reject a request because the entry has no configuration yet."""
        rejection = Rejection(
            Outcome.NOT_RUN, Reason.NOT_READY, "receive", "", NOT_READY_RETRY_MS
        )
        response = make_rejection_response(rejection, request_id)
        self._runtime.log(
            "request-ended",
            request=request_id,
            caller_attempt=self._admission.read_attempt_id(request.headers),
            outcome=rejection.outcome.value,
            status=response.status,
            reason=rejection.reason.value,
            step=rejection.step,
            retry_after_ms=NOT_READY_RETRY_MS,
        )
        return response

    def _deny(
        self, request_id: str, request: web.BaseRequest, denial: Denial, version: int
    ) -> web.StreamResponse:
        """Return the response of a denial, counted and logged."""
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
        headers = {}
        if denial.retry_after_ms:
            headers["Retry-After"] = f"{denial.retry_after_ms / 1000:.3f}"
        return web.Response(
            status=denial.status.value, text=denial.reason, headers=headers
        )


class PageServer:
    """HTTP server of pages for operators, such as readiness and metrics.

    Parameters
    ----------
    pages : dict of str to callable
        Function that returns the response, by path. Other paths get a 404.
    runtime : Runtime
        Provides the clock, the metrics and the log.
    budget : ByteBudget
        Bytes that the process may hold for all clients.
    """

    def __init__(
        self,
        pages: dict[str, Callable[[], web.Response]],
        runtime: Runtime,
        budget: ByteBudget,
    ) -> None:
        self._pages = pages
        self._guard = ConnectionGuard(
            budget, MAX_PAGE_CONNECTIONS, runtime, lambda: PAGE_LIMITS
        )
        self._server = GuardedServer(self._guard, self._handle)

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at an address."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(self._server, host, port)
        _bound_receive_buffers(listener)
        self._guard.start()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        page = self._pages.get(request.path)
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        connection.end_request(request.content)
        return page() if page else web.Response(status=404)


def _bound_receive_buffers(listener: asyncio.Server) -> None:
    """Bound the receive buffers of the connections that a listener accepts."""
    for sock in listener.sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


async def _read_body(
    request: web.BaseRequest, connection: CallerConnection, max_bytes: int
) -> bytes:
    """Return the complete body; raise ``BodyRefusedError`` above ``max_bytes``."""
    if not request.can_read_body:
        return b""
    if (request.content_length or 0) > max_bytes:
        connection.refuse("body_too_large")
        raise BodyRefusedError(BODY_TOO_LARGE)
    content: Any = request.content
    while data := await content.readany():
        connection.body += data
        if len(connection.body) > max_bytes:
            connection.refuse("body_too_large")
            raise BodyRefusedError(BODY_TOO_LARGE)
    if connection.is_refused:
        # The parts that had been read were released when the connection was refused.
        raise BodyRefusedError(GIVEN_UP)
    body = bytes(connection.body)
    connection.body = bytearray()
    return body
