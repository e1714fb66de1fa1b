"""HTTP routes below ``/admin/rules`` for operators."""

import json
import re
from typing import Annotated, Any

from pydantic import BaseModel, Field, ValidationError
from sanic import Request, Sanic
from sanic.response import HTTPResponse

from bluebellusher.platform import PlatformError
from bluebellusher.rollout._changes import ChangeAnswer, ChangeOrder, ChangeRunner
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
        app.add_route(self._post, path, methods=["POST"], name="rules-post")
        app.add_route(self._get, path, name="rules-head")
        app.add_route(self._get_versions, f"{path}/versions", name="rules-versions")
        change_path = f"{path}/changes/<change_id:str>"
        app.add_route(self._get_change, change_path, name="rules-change")

    async def _post(self, request: Request) -> HTTPResponse:
        """Execute a change and return its state."""
        operator = self._parser.find_operator(request.headers)
        if operator is None:
            return _unknown_operator()
        try:
            body = _ChangeBody.model_validate_json(request.body)
        except ValidationError as error:
            details = error.errors(
                include_url=False, include_context=False, include_input=False
            )
            return _json({"error": {"reason": "bad_request", "detail": details}}, 400)
        errors = find_rules_errors(body.rules_text)
        if errors:
            return _json({"error": {"reason": "rules_errors", "detail": errors}}, 400)
        order = ChangeOrder(
            body.change_id,
            body.base_version,
            body.rules_text,
            body.author,
            operator,
            tuple(body.without_domains),
        )
        return _answer(await self._runner.apply(order))

    async def _get(self, request: Request) -> HTTPResponse:
        """Return the last accepted version."""
        if self._parser.find_operator(request.headers) is None:
            return _unknown_operator()
        head = await self._runner.read_head()
        if head is None:
            return _json({"version": 0, "rules_text": ""})
        return _json(_to_json(head))

    async def _get_versions(self, request: Request) -> HTTPResponse:
        """Return all accepted versions."""
        if self._parser.find_operator(request.headers) is None:
            return _unknown_operator()
        try:
            versions = await self._table.read_all()
        except PlatformError as error:
            return _table_failed(error)
        return _json({"versions": [_to_json(config) for config in versions]})

    async def _get_change(self, request: Request, change_id: str) -> HTTPResponse:
        """Return the state of a change."""
        if self._parser.find_operator(request.headers) is None:
            return _unknown_operator()
        if not re.fullmatch(_CHANGE_ID, change_id):
            return _json({"error": {"reason": "bad_request"}}, 400)
        if self._runner.is_running(change_id):
            return _json({"state": "unknown", "reason": "the change is in progress"})
        try:
            version = await self._table.read_change(change_id)
        except PlatformError as error:
            return _table_failed(error)
        if version == 0:
            return _json({"error": {"reason": "unknown_change"}}, 404)
        if version < 0:
            reason = "it was not written to the table in time"
            return _json({"state": "refused", "reason": reason})
        return _json({"state": "accepted", "version": version})


def _answer(answer: ChangeAnswer) -> HTTPResponse:
    head = answer.head
    body = {
        "state": answer.state.value,
        "version": answer.version,
        "reason": answer.reason,
        "head_version": head.version if head else 0,
        "rules_text": head.rules_text if head else "",
    }
    status_by_state = {ChangeState.ACCEPTED: 200, ChangeState.REFUSED: 409}
    return _json(body, status_by_state.get(answer.state, 503))


def _to_json(config: ConfigVersion) -> dict[str, Any]:
    return {
        "version": config.version,
        "rules_text": config.rules_text,
        "author": config.author,
        "accepted_wall_ms": config.accepted_wall_ms,
    }


def _unknown_operator() -> HTTPResponse:
    return _json({"error": {"reason": "unknown_operator"}}, 401)


def _table_failed(error: PlatformError) -> HTTPResponse:
    detail = {"reason": "table_unavailable", "detail": str(error)}
    return _json({"error": detail}, 503)


def _json(body: dict[str, Any], status: int = 200) -> HTTPResponse:
    return HTTPResponse(json.dumps(body), status, content_type="application/json")
