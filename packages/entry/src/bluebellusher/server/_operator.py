"""Read-only routes for operators, load balancers and callers."""

import json
from typing import Any
from urllib.parse import unquote

from sanic import Request, Sanic
from sanic.response import HTTPResponse, text

from bluebellusher.runtime import ClaimStore, Runtime, StoreError
from bluebellusher.server._parse import (
    BadRequestError,
    RequestParser,
    parse_idempotency_key,
)
from bluebellusher.server._respond import to_status_code
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
        app.add_route(self._serve_health, "/healthz")
        app.add_route(self._serve_readiness, "/readyz")
        app.add_route(self._serve_metrics, "/metrics")
        app.add_route(self._serve_status, "/admin/status")
        app.add_route(self._serve_outcome, "/v1/requests/<key:path>")

    async def _serve_health(self, _request: Request) -> HTTPResponse:
        return text("ok\n")

    async def _serve_readiness(self, _request: Request) -> HTTPResponse:
        """Serve 200 or 503 to the load balancer of the platform."""
        is_ready = self._status.is_ready()
        return text("ready\n" if is_ready else "not ready\n", 200 if is_ready else 503)

    async def _serve_metrics(self, _request: Request) -> HTTPResponse:
        body = self._runtime.metrics.to_prometheus(self._status.gauges())
        return text(body, content_type="text/plain; version=0.0.4")

    async def _serve_status(self, request: Request) -> HTTPResponse:
        """Serve the status page, to operators only."""
        if self._parser.find_operator(request.headers) is None:
            return _json_response({"error": {"reason": "unknown_operator"}}, 401)
        return _json_response(self._status.status())

    async def _serve_outcome(self, request: Request, key: str) -> HTTPResponse:
        """Serve the state of the claim of an idempotency key, to its customer."""
        try:
            customer_id = self._parser.authenticate(request.headers)
            key = unquote(key)
            parse_idempotency_key(key)
            row = await self._store.read_row(f"claim/{customer_id}/{key}")
        except BadRequestError as error:
            return _error_response(error.reason, error.detail)
        except StoreError:
            return _error_response(
                Reason.CLAIM_STORE_UNAVAILABLE, "the table does not answer"
            )
        value = row.value if isinstance(row.value, dict) else {}
        state = str(value.get("state", "absent"))
        if state not in _OUTCOME_BY_STATE:
            return _json_response({"key": key, "state": "absent"}, 404)
        outcome = _OUTCOME_BY_STATE[state].value
        answer = value.get("answer")
        status = answer.get("status") if isinstance(answer, dict) else None
        body = {"key": key, "state": state, "outcome": outcome, "status": status}
        return _json_response(body)


def _json_response(body: dict[str, Any], status: int = 200) -> HTTPResponse:
    return HTTPResponse(json.dumps(body), status, content_type="application/json")


def _error_response(reason: Reason, detail: str) -> HTTPResponse:
    body = {"error": {"reason": reason.value, "detail": detail}}
    return _json_response(body, to_status_code(reason))
