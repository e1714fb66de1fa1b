"""HTTP client for ``/admin/rules`` of an entry."""

import asyncio
import os
from typing import Literal, TypeVar

import aiohttp
from pydantic import BaseModel, ValidationError

from bluebellusher.cli.rules_base import CommandError, ExitCode, parse_or_fail
from bluebellusher.links import BoundedResponse, open_session, read_response_body
from bluebellusher_core.billing import RulesVersion

TOKEN_VARIABLE = "BLUEBELLUSHER_ADMIN_TOKEN"
# Timeout of a request in seconds. An entry answers a change only after one entry in
# each failure domain has staged it, and some domains are slow.
ANSWER_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 5.0
# Upper bound of the body of an answer, in bytes. The history contains all versions.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# HTTP statuses that leave open whether a change was accepted.
_UNKNOWN_STATUSES = frozenset((*range(300, 400), 502, 503, 504))

ModelT = TypeVar("ModelT", bound=BaseModel)


class AcceptedVersion(BaseModel):
    """One accepted version of the rules, such as the version in force."""

    version: int
    rules_text: str
    author: str = ""
    accepted_wall_ms: int = 0


class VersionList(BaseModel):
    """All accepted versions, in any order."""

    versions: list[AcceptedVersion]


class ChangeState(BaseModel):
    """State of one change, as reported by the entry.

    A refused change also has the version in force: its number and its text.
    """

    state: Literal["accepted", "refused", "unknown"]
    version: int = 0
    reason: str = ""
    head_version: int = 0
    rules_text: str = ""


class ChangeRequest(BaseModel):
    """Change to the rules, with an id that makes it safe to send the change again."""

    change_id: str
    base_version: int
    rules_text: str
    author: str
    without_domains: list[str]


class RulesClient:
    """Client that reads and changes the rules through one entry.

    Parameters
    ----------
    url : str
        Address of the entry, such as ``http://10.0.0.4:8080``.
    timeout_s : float
        Timeout of one request, in seconds.
    """

    def __init__(self, url: str, timeout_s: float = ANSWER_TIMEOUT_S) -> None:
        self._url = url.rstrip("/") + "/admin/rules"
        self._timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )

    def read_head(self) -> AcceptedVersion:
        """Return the version in force."""
        return self._get_model("", AcceptedVersion)

    def read_versions(self) -> list[AcceptedVersion]:
        """Return all versions, sorted by number."""
        accepted_versions = self._get_model("/versions", VersionList).versions
        return sorted(accepted_versions, key=lambda accepted: accepted.version)

    def read_change(self, change_id: str) -> ChangeState | None:
        """Return the state of a change, or ``None`` if the entry has no such change."""
        status, body = self._get(f"/changes/{change_id}")
        if status == 404:
            return None
        return self._parse_answer(status, body, ChangeState)

    def send_change(self, change: ChangeRequest) -> ChangeState:
        """Send a change and return its state.

        A lost, late or unreadable answer gives the state ``unknown``. If no connection
        was made, or the entry answers with an error, ``CommandError`` is raised.
        """
        try:
            status, body = asyncio.run(
                self._send_request("POST", "", change.model_dump_json())
            )
        except aiohttp.ClientConnectorError as e:
            # Without a connection the change was not sent and cannot be accepted.
            raise self._make_error(f"no connection: {e}") from e
        except (aiohttp.ClientError, TimeoutError) as e:
            return ChangeState(state="unknown", reason=f"no answer: {e!r}")
        if status in _UNKNOWN_STATUSES:
            reason = f"HTTP status {status}: {body[:2000]}"
            return ChangeState(state="unknown", reason=reason)
        if status not in (200, 409):
            raise self._make_error(f"HTTP status {status}: {body[:2000]}")
        try:
            return ChangeState.model_validate_json(body)
        except ValidationError as e:
            return ChangeState(state="unknown", reason=f"unreadable answer: {e}")

    def _get_model(self, path: str, model_type: type[ModelT]) -> ModelT:
        """Request a path and return the answer as a model."""
        status, body = self._get(path)
        return self._parse_answer(status, body, model_type)

    def _get(self, path: str) -> tuple[int, str]:
        """Request a path; return the status and body of the answer."""
        try:
            return asyncio.run(self._send_request("GET", path, None))
        except (aiohttp.ClientError, TimeoutError) as e:
            raise self._make_error(f"no answer: {e!r}") from e

    def _parse_answer(self, status: int, body: str, model_type: type[ModelT]) -> ModelT:
        """Return the body of an answer with status 200 as a model."""
        if status != 200:
            raise self._make_error(f"HTTP status {status}: {body[:2000]}")
        try:
            return model_type.model_validate_json(body)
        except ValidationError as e:
            raise self._make_error(f"unreadable answer: {e}") from e

    def _make_error(self, message: str) -> CommandError:
        """Return an error of the entry, with its address."""
        return CommandError(ExitCode.ENTRY_FAILED, f"{self._url}: {message}")

    async def _send_request(
        self, method: str, path: str, body: str | None
    ) -> tuple[int, str]:
        """Send one request with the operator's token; return status and body."""
        headers = {"Content-Type": "application/json"}
        token = os.environ.get(TOKEN_VARIABLE)
        if token:
            headers["Authorization"] = f"Bearer {token}"
        async with (
            open_session(
                repeats_reads=True,
                timeout=self._timeout,
                response_class=BoundedResponse,
            ) as session,
            session.request(
                method,
                self._url + path,
                data=body,
                headers=headers,
                allow_redirects=False,
            ) as answer,
        ):
            content = await read_response_body(answer, MAX_ANSWER_BYTES)
            return answer.status, content.decode(errors="replace")


def parse_history(text: str, source: str) -> list[AcceptedVersion]:
    """Return the versions in a history file, sorted by number.

    ``source`` is the name of the file, for errors.
    """
    try:
        accepted_versions = VersionList.model_validate_json(text).versions
    except ValidationError as e:
        message = f"{source}: expected the output of 'rules history --format json': {e}"
        raise CommandError(ExitCode.USAGE_ERROR, message) from e
    return sorted(accepted_versions, key=lambda accepted: accepted.version)


def parse_versions(
    accepted_versions: list[AcceptedVersion], source: str
) -> list[RulesVersion]:
    """Return versions with parsed rules; ``source`` names their origin in errors."""
    return [
        RulesVersion(
            parse_or_fail(accepted.rules_text, f"{source}, version {accepted.version}"),
            accepted.accepted_wall_ms // 1000,
            accepted.version,
        )
        for accepted in accepted_versions
    ]
