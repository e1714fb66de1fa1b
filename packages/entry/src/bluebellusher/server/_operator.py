"""Read-only routes for operators, load balancers and callers."""

import json
from typing import Any
from urllib.parse import unquote

from sanic import Request, Sanic
from sanic.response import HTTPResponse, text

from bluebellusher.runtime import ClaimStore, Runtime, StoreError
from bluebellusher.server._parse import BadRequestError, RequestParser, read_key
from bluebellusher.server._respond import status_of
from bluebellusher.server._status import StatusSource
from bluebellusher_core.errors import Outcome, Reason

_OUTCOME_BY_STATE = {
    "claimed": Outcome.UNKNOWN,
    "done": Outcome.COMPLETED,
    "abandoned": Outcome.NOT_RUN,
}


class OperatorPages:
    """Routes for health, readiness, metrics, status and the outcomes of requests."""

    def __init__(
        self,
        parser: RequestParser,
        runtime: Runtime,
        store: ClaimStore,
        status: StatusSource,
    ) -> None:
        self._parser = parser
        self._runtime = runtime
        self._store = store
        self._status = status

    def add_to(self, app: Sanic[Any, Any]) -> None:
        """Register the routes with a sanic application."""
        app.add_route(self._health, "/healthz")
        app.add_route(self._ready, "/readyz")
        app.add_route(self._metrics, "/metrics")
        app.add_route(self._admin_status, "/admin/status")
        app.add_route(self._outcome, "/v1/requests/<key:path>")

    async def _health(self, _request: Request) -> HTTPResponse:
        return text("ok\n")

    async def _ready(self, _request: Request) -> HTTPResponse:
        is_ready = self._status.is_ready()
        return text("ready\n" if is_ready else "not ready\n", 200 if is_ready else 503)

    async def _metrics(self, _request: Request) -> HTTPResponse:
        body = self._runtime.metrics.to_prometheus(self._status.gauges())
        return text(body, content_type="text/plain; version=0.0.4")

    async def _admin_status(self, request: Request) -> HTTPResponse:
        if self._parser.find_operator(request.headers) is None:
            return _json({"error": {"reason": "unknown_operator"}}, 401)
        return _json(self._status.status())

    async def _outcome(self, request: Request, key: str) -> HTTPResponse:
        try:
            customer_id = self._parser.authenticate(request.headers)
            key = unquote(key)
            read_key(key)
            row = await self._store.read_row(f"claim/{customer_id}/{key}")
        except BadRequestError as error:
            return _error(error.reason, error.detail)
        except StoreError:
            return _error(Reason.CLAIM_STORE_UNAVAILABLE, "claim table unavailable")
        value = row.value if isinstance(row.value, dict) else {}
        state = str(value.get("state", "absent"))
        if state not in _OUTCOME_BY_STATE:
            return _json({"key": key, "state": "absent"}, 404)
        outcome = _OUTCOME_BY_STATE[state].value
        answer = value.get("answer")
        status = answer.get("status") if isinstance(answer, dict) else None
        body = {"key": key, "state": state, "outcome": outcome, "status": status}
        return _json(body)


def _json(body: dict[str, Any], status: int = 200) -> HTTPResponse:
    return HTTPResponse(json.dumps(body), status, content_type="application/json")


def _error(reason: Reason, detail: str) -> HTTPResponse:
    body = {"error": {"reason": reason.value, "detail": detail}}
    return _json(body, status_of(reason))
