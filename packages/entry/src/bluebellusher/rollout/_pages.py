"""HTTP routes below ``/admin/rules`` for operators."""

import json
import re
from typing import Annotated, Any

from pydantic import BaseModel, Field, ValidationError
from sanic import Request, Sanic
from sanic.response import HTTPResponse

from bluebellusher.platform import PlatformError
from bluebellusher.rollout._changes import ChangeRequest, ChangeResult, ChangeRunner
from bluebellusher.rollout._in_force import find_rules_errors
from bluebellusher.rollout._table import ConfigTable
from bluebellusher.server import RequestParser
from bluebellusher_core.rollout import ChangeState, ConfigVersion

_CHANGE_ID = r"^[A-Za-z0-9_-]{1,64}$"


class _ChangeBody(BaseModel):
    """Body of ``POST /admin/rules``."""

    change_id: Annotated[str, Field(pattern=_CHANGE_ID)]
    base_version: Annotated[int, Field(ge=0, lt=2**53)]
    rules_text: str
    author: Annotated[str, Field(min_length=1, max_length=200)]
    without_domains: Annotated[list[str], Field(max_length=100)] = []


class RulesPages:
    """HTTP routes that return and change the rules.

    Parameters
    ----------
    parser : RequestParser
        Authenticates operators.
    runner : ChangeRunner
        Executes changes.
    table : ConfigTable
        Source of accepted versions and of the states of changes.
    """

    def __init__(
        self, parser: RequestParser, runner: ChangeRunner, table: ConfigTable
    ) -> None:
        self._parser = parser
        self._runner = runner
        self._table = table

    def add_to(self, app: Sanic[Any, Any]) -> None:
        """Register the routes in the HTTP server."""
        path = "/admin/rules"
        app.add_route(self._post_change, path, methods=["POST"], name="rules-post")
        app.add_route(self._get_head, path, name="rules-head")
        app.add_route(self._get_versions, f"{path}/versions", name="rules-versions")
        change_path = f"{path}/changes/<change_id:str>"
        app.add_route(self._get_change, change_path, name="rules-change")

    async def _post_change(self, request: Request) -> HTTPResponse:
        """Execute a change and return its state."""
        operator = self._parser.find_operator(request.headers)
        if operator is None:
            return _unknown_operator_response()
        try:
            body = _ChangeBody.model_validate_json(request.body)
        except ValidationError as error:
            details = error.errors(
                include_url=False, include_context=False, include_input=False
            )
            return _json_response(
                {"error": {"reason": "bad_request", "detail": details}}, 400
            )
        errors = find_rules_errors(body.rules_text)
        if errors:
            return _json_response(
                {"error": {"reason": "rules_errors", "detail": errors}}, 400
            )
        change = ChangeRequest(
            body.change_id,
            body.base_version,
            body.rules_text,
            body.author,
            operator,
            tuple(body.without_domains),
        )
        return _result_response(await self._runner.apply(change))

    async def _get_head(self, request: Request) -> HTTPResponse:
        """Return the last accepted version."""
        if self._parser.find_operator(request.headers) is None:
            return _unknown_operator_response()
        head = await self._runner.read_head()
        if head is None:
            return _json_response({"version": 0, "rules_text": ""})
        return _json_response(_to_json(head))

    async def _get_versions(self, request: Request) -> HTTPResponse:
        """Return all accepted versions."""
        if self._parser.find_operator(request.headers) is None:
            return _unknown_operator_response()
        try:
            versions = await self._table.read_all()
        except PlatformError as error:
            return _table_unavailable_response(error)
        return _json_response({"versions": [_to_json(config) for config in versions]})

    async def _get_change(self, request: Request, change_id: str) -> HTTPResponse:
        """Return the state of a change."""
        if self._parser.find_operator(request.headers) is None:
            return _unknown_operator_response()
        if not re.fullmatch(_CHANGE_ID, change_id):
            return _json_response({"error": {"reason": "bad_request"}}, 400)
        if self._runner.is_running(change_id):
            return _json_response(
                {"state": "unknown", "reason": "it is not decided yet"}
            )
        try:
            version = await self._table.read_change(change_id)
        except PlatformError as error:
            return _table_unavailable_response(error)
        if version == 0:
            return _json_response({"error": {"reason": "unknown_change"}}, 404)
        if version < 0:
            reason = "it did not reach the table in time"
            return _json_response({"state": "refused", "reason": reason})
        return _json_response({"state": "accepted", "version": version})


def _result_response(result: ChangeResult) -> HTTPResponse:
    head = result.head
    body = {
        "state": result.state.value,
        "version": result.version,
        "reason": result.reason,
        "head_version": head.version if head else 0,
        "rules_text": head.rules_text if head else "",
    }
    status_by_state = {ChangeState.ACCEPTED: 200, ChangeState.REFUSED: 409}
    return _json_response(body, status_by_state.get(result.state, 503))


def _to_json(config: ConfigVersion) -> dict[str, Any]:
    return {
        "version": config.version,
        "rules_text": config.rules_text,
        "author": config.author,
        "accepted_wall_ms": config.accepted_wall_ms,
    }


def _unknown_operator_response() -> HTTPResponse:
    return _json_response({"error": {"reason": "unknown_operator"}}, 401)


def _table_unavailable_response(error: PlatformError) -> HTTPResponse:
    detail = {"reason": "table_unavailable", "detail": str(error)}
    return _json_response({"error": detail}, 503)


def _json_response(body: dict[str, Any], status: int = 200) -> HTTPResponse:
    return HTTPResponse(json.dumps(body), status, content_type="application/json")
