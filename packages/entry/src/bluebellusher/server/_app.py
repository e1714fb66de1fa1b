"""HTTP server of an entry."""

import asyncio
import logging
import socket
from collections.abc import Callable, Sequence
from typing import Any, cast

from sanic import Request, Sanic
from sanic.application.state import ApplicationServerInfo
from sanic.config import Config
from sanic.exceptions import SanicException
from sanic.handlers import ErrorHandler
from sanic.http.constants import HTTP
from sanic.response import HTTPResponse
from sanic.server.async_server import AsyncioServer
from sanic.server.protocols.http_protocol import HttpProtocol

from bluebellusher.links import AnswerStream
from bluebellusher.runtime import ClaimStore, Exchange, Runtime
from bluebellusher.server._body import read_body
from bluebellusher.server._operator import OperatorPages
from bluebellusher.server._parse import (
    MODEL_PATH,
    BadRequestError,
    RequestDraft,
    RequestParser,
)
from bluebellusher.server._protocol import EntryProtocol
from bluebellusher.server._respond import (
    make_rejection_body,
    make_rejection_headers,
    to_status_code,
)
from bluebellusher.server._status import Pages, SpendingGate, StatusSource
from bluebellusher.server._stream import AnswerSender
from bluebellusher.settings import Settings
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import RequestSpec

_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_REASON_BY_STATUS = {
    404: Reason.UNKNOWN_SERVICE,
    408: Reason.SLOW_SENDER,
    413: Reason.BODY_TOO_LARGE,
}
# Sanic's response timeout. It is longer than the longest deadline, at which the entry
# itself ends a request.
_RESPONSE_TIMEOUT_S = 3_600
_KEEP_ALIVE_TIMEOUT_S = 75
_BACKLOG = 1024
_SEND_BUFFER_BYTES = 128 * 1024
# Time in ms after the deadline in which a caller must read its answer. Its connection
# is then aborted, because the caller could otherwise hold it without a time limit.
_DELIVERY_GRACE_MS = 5_000


class HttpServer:
    """HTTP server for callers and operators on one address.

    Parameters
    ----------
    settings : Settings
        Addresses, credentials and limits.
    runtime : Runtime
        Runs the requests.
    store : ClaimStore
        Store of the claims that ``GET /v1/requests/{key}`` reads.
    status : StatusSource
        State of the entry for operators and load balancers.
    make_request_id : callable
        Returns a new request id on each call.
    extra_pages : sequence of Pages
        Routes that other parts of the entry serve.
    spending : SpendingGate or None
        Admits requests within the rates and budgets; None admits every request.
    """

    def __init__(
        self,
        settings: Settings,
        runtime: Runtime,
        store: ClaimStore,
        status: StatusSource,
        make_request_id: Callable[[], str],
        extra_pages: Sequence[Pages] = (),
        spending: SpendingGate | None = None,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._make_request_id = make_request_id
        self._parser = RequestParser(settings)
        self._operator_pages = OperatorPages(self._parser, runtime, store, status)
        self._extra_pages = extra_pages
        self._spending = spending
        self._server: AsyncioServer | None = None

    async def start(self) -> int:
        """Start to accept connections; return the port."""
        app = self._build_app()
        # Sanic replaces port 0 by its own default, so the socket is bound here.
        address = self._settings.http
        sock = socket.create_server(
            (address.host, address.port),
            family=socket.AF_INET6 if ":" in address.host else socket.AF_INET,
            backlog=_BACKLOG,
        )
        # Accepted sockets inherit the buffer size. The kernel would otherwise grow the
        # buffer to megabytes, and the engine of a slow caller would be throttled only
        # when that buffer is full.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        port = int(sock.getsockname()[1])
        self._server = await app.create_server(
            sock=sock,
            return_asyncio_server=True,
            access_log=False,
            protocol=EntryProtocol,
            backlog=_BACKLOG,
        )
        assert self._server is not None
        # Sanic adds an empty Alt-Svc header unless HTTP/1.1 is the only version.
        version_info = ApplicationServerInfo({"version": HTTP.VERSION_1, "port": port})
        app.state.server_info.append(version_info)
        await self._server.startup()
        await self._server.start_serving()
        return port

    @property
    def n_connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._server.connections) if self._server else 0

    def stop_accepting(self) -> None:
        """Accept no new connections; requests in progress continue."""
        if self._server is not None and self._server.server is not None:
            self._server.server.close()

    def close_idle(self) -> int:
        """Close connections without a request in progress.

        Return the number of connections that are still open.
        """
        connections = list(self._server.connections) if self._server else []
        for connection in connections:
            connection.close_if_idle()
        return self.n_connections

    def _build_app(self) -> Sanic[Any, Any]:
        _disable_sanic_loggers()
        app: Sanic[Any, Any] = Sanic(
            f"entry-{id(self):x}",
            config=self._make_config(),
            configure_logging=False,
            error_handler=_RejectingErrorHandler(self._runtime),
        )
        app.ctx.n_max_connections = self._settings.limits.max_connections
        self._add_caller_routes(app)
        self._operator_pages.add_to(app)
        for pages in self._extra_pages:
            pages.add_to(app)
        return app

    def _add_caller_routes(self, app: Sanic[Any, Any]) -> None:
        # These are functions because sanic sets an attribute on the handler of a
        # streamed route, and bound methods do not accept attributes.
        async def serve_model(request: Request) -> HTTPResponse | None:
            return await self._serve_model(request)

        async def serve_plain(
            request: Request, service_id: str, path: str = ""
        ) -> HTTPResponse | None:
            return await self._serve_plain(request, service_id, path)

        app.add_route(serve_model, MODEL_PATH, methods=["POST"], stream=True)
        service_path = "/services/<service_id:str>"
        for name, path in (
            ("root", service_path),
            ("path", service_path + "/<path:path>"),
        ):
            app.add_route(serve_plain, path, _METHODS, stream=True, name=name)

    def _make_config(self) -> Config:
        limits = self._settings.limits
        # With an empty prefix, sanic reads no settings from environment variables.
        config = Config(env_prefix="")
        config.update(
            {
                "MOTD": False,
                "ACCESS_LOG": False,
                "AUTO_EXTEND": False,
                # Touch-up removes unused hooks from the code that sends chunks. Sanic
                # can do it only once in a process.
                "TOUCHUP": not getattr(HttpProtocol, "__touched__", False),
                "REQUEST_MAX_SIZE": limits.max_body_bytes,
                "REQUEST_TIMEOUT": limits.slow_sender_timeout_ms / 1000,
                "RESPONSE_TIMEOUT": _RESPONSE_TIMEOUT_S,
                "KEEP_ALIVE_TIMEOUT": _KEEP_ALIVE_TIMEOUT_S,
                "GRACEFUL_TCP_CLOSE_TIMEOUT": 5.0,
            }
        )
        return config

    async def _serve_model(self, request: Request) -> HTTPResponse | None:
        return await self._serve(
            request, lambda body: self._parser.parse_model(request.headers, body)
        )

    async def _serve_plain(
        self, request: Request, service_id: str, path: str
    ) -> HTTPResponse | None:
        target = "/" + path
        if request.query_string:
            target += "?" + request.query_string
        return await self._serve(
            request,
            lambda body: self._parser.parse_plain(
                request.headers, request.method, service_id, target, body
            ),
        )

    async def _serve(
        self, request: Request, parse: Callable[[bytes], RequestDraft]
    ) -> HTTPResponse | None:
        request_id = self._make_request_id()
        limits = self._settings.limits
        try:
            self._parser.authenticate(request.headers)
            draft = parse(await read_body(request, limits))
            if self._spending is not None:
                draft = await self._spending.admit(request_id, draft, parse)
        except BadRequestError as error:
            return self._reject(error, request_id)
        if self._runtime.is_shutting_down:
            # The answer carries ``Connection: close``, so that the caller opens another
            # connection for its next request.
            cast(Any, request.stream).keep_alive = False
        exchange = self._make_exchange(draft, request_id, request)
        self._runtime.submit(exchange)
        outcome = "caller_left"
        timeout_s = (draft.remaining_ms + _DELIVERY_GRACE_MS) / 1000
        watchdog = asyncio.get_running_loop().call_later(
            timeout_s, _abort_connection, request
        )
        try:
            sender = AnswerSender(request, exchange, self._runtime.metrics)
            outcome = await sender.send()
        finally:
            watchdog.cancel()
            self._runtime.end_exchange(exchange)
            if self._spending is not None:
                self._spending.settle(request_id, outcome, exchange)
            self._runtime.metrics.count(
                "bluebellusher_requests_total", "outcome", outcome
            )
            exchange.span.end(request_id=request_id, outcome=outcome)
        return None

    def _reject(self, error: BadRequestError, request_id: str) -> HTTPResponse:
        self._runtime.metrics.count(
            "bluebellusher_bad_requests_total", "reason", error.reason.value
        )
        return make_rejection(
            error.reason, request_id, error.detail, error.retry_after_ms
        )

    def _make_exchange(
        self, draft: RequestDraft, request_id: str, request: Request
    ) -> Exchange:
        limits = self._settings.limits
        is_answer_kept = bool(draft.idempotency_key) and not draft.is_idempotent
        traceparent = request.headers.get("traceparent", "")
        return Exchange(
            spec=_to_spec(draft, request_id, self._runtime.now_ms()),
            method=draft.method,
            path=draft.path,
            headers=draft.headers,
            body=draft.body,
            answer=AnswerStream(limits.max_kept_answer_bytes if is_answer_kept else 0),
            span=self._runtime.tracer.start("request", traceparent),
            is_answer_kept=is_answer_kept,
        )


def make_rejection(
    reason: Reason, request_id: str, detail: str, retry_after_ms: int | None = None
) -> HTTPResponse:
    """Create the response to a request that was rejected before admission.

    ``retry_after_ms`` defaults to 1 s for the status codes 408, 429 and 503.
    """
    if retry_after_ms is None and to_status_code(reason) in (408, 429, 503):
        retry_after_ms = 1_000
    rejection = Rejection(Outcome.NOT_RUN, reason, "receive", "", retry_after_ms)
    return HTTPResponse(
        make_rejection_body(rejection, request_id, detail),
        to_status_code(reason),
        make_rejection_headers(rejection),
        "application/json",
    )


class _RejectingErrorHandler(ErrorHandler):
    """Error handler that answers every error that sanic catches with a rejection."""

    def __init__(self, runtime: Runtime) -> None:
        super().__init__()
        self._runtime = runtime

    def response(self, request: Request, exception: Exception) -> HTTPResponse:
        """Create a rejection that names the type of the exception but not its text."""
        status = getattr(exception, "status_code", 500)
        detail = type(exception).__name__
        if isinstance(exception, SanicException) and status < 500:
            reason = _REASON_BY_STATUS.get(status, Reason.BAD_REQUEST)
            answer = make_rejection(reason, "", detail)
            answer.status = status
            return answer
        if not isinstance(exception, asyncio.CancelledError):
            self._runtime.report_fault("serve", request, exception)
        # The request may have been dispatched before the exception was raised.
        reason = Reason.OUTCOME_UNKNOWN
        rejection = Rejection(Outcome.UNKNOWN, reason, "serve", "", None)
        body = make_rejection_body(rejection, "", detail)
        return HTTPResponse(body, 500, None, "application/json")


def _abort_connection(request: Request) -> None:
    """Abort the connection of a caller that has not read its answer in time."""
    transport: Any = request.transport
    if transport is not None:
        transport.abort()


def _to_spec(draft: RequestDraft, request_id: str, now_ms: int) -> RequestSpec:
    return RequestSpec(
        request_id=request_id,
        customer_id=draft.customer_id,
        service_id=draft.service_id,
        model=draft.model,
        adapter=draft.adapter,
        priority=draft.priority,
        deadline_ms=now_ms + draft.remaining_ms,
        is_idempotent=draft.is_idempotent,
        idempotency_key=draft.idempotency_key,
        fingerprint=draft.fingerprint,
        prefix_hashes=draft.prefix_hashes,
        n_input_tokens=draft.n_input_tokens,
        n_max_output_tokens=draft.n_max_output_tokens,
    )


def _disable_sanic_loggers() -> None:
    """Disable sanic's loggers, which would log callers' input and tracebacks."""
    for name in ("root", "error", "access", "server", "websockets"):
        logger = logging.getLogger(f"sanic.{name}")
        logger.handlers = [logging.NullHandler()]
        logger.propagate = False
        logger.setLevel(logging.CRITICAL + 1)
