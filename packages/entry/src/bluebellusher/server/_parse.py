"""Parsing and validation of callers' requests."""

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from bluebellusher.server._prompt import (
    compute_fingerprint,
    compute_prompt_hashes,
    estimate_tokens,
)
from bluebellusher.settings import ServiceKind, ServiceSettings, Settings
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import Priority
from bluebellusher_core.prefix import read_prompt

MODEL_PATH = "/v1/chat/completions"
DEFAULT_DEADLINE_MS = 60_000
MAX_DEADLINE_MS = 600_000
_VISIBLE_WORD = re.compile(r"^[\x21-\x7e]{1,255}\Z")
_DIGITS = re.compile(r"^[0-9]{1,6}\Z")
_VISIBLE_TEXT = re.compile(r"^[\x20-\x7e\t]*\Z")
_PRIORITY_BY_NAME = {p.name.lower(): p for p in Priority}
_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD"))
# Request headers that are not forwarded to endpoints, because they apply to one
# connection or to this entry.
_NOT_FORWARDED = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "traceparent",
        "transfer-encoding",
        "upgrade",
        "x-attempt-id",
        "x-deadline-ms",
        "x-priority",
        "x-resume-offset",
    )
)


class BadRequestError(Exception):
    """Rejection of a request before its admission.

    Parameters
    ----------
    reason : Reason
        Reason in the answer to the caller.
    detail : str
        Description of the fault for the caller.
    retry_after_ms : int or None
        Time after which the caller may retry the request, in ms; None uses the
        default of the status code.
    """

    def __init__(
        self, reason: Reason, detail: str, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.retry_after_ms = retry_after_ms


@dataclass(frozen=True, slots=True)
class RequestDraft:
    """Valid request that has no request id and no absolute deadline yet.

    ``remaining_ms`` is the time until the deadline, in ms.
    """

    customer_id: str
    service_id: str
    model: str
    adapter: str
    priority: Priority
    remaining_ms: int
    is_idempotent: bool
    idempotency_key: str | None
    fingerprint: str
    prefix_hashes: tuple[int, ...]
    n_input_tokens: int
    n_max_output_tokens: int
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = field(repr=False)


class RequestParser:
    """Parser that validates requests against the settings.

    Parameters
    ----------
    settings : Settings
        Customers, services and limits.
    """

    def __init__(self, settings: Settings) -> None:
        self._customer_by_credential = {
            credential.get_secret_value(): customer.customer_id
            for customer in settings.customers
            for credential in customer.credentials
        }
        self._operator_by_credential = {
            operator.credential.get_secret_value(): operator.name
            for operator in settings.operators
        }
        self._service_by_id = {s.service_id: s for s in settings.services}
        self._service_by_model = {m: s for s in settings.services for m in s.models}
        self._n_default_output_tokens = settings.limits.n_default_output_tokens

    def authenticate(self, headers: Mapping[str, str]) -> str:
        """Return the id of the customer whose credential the request carries.

        Raises
        ------
        BadRequestError
            When no customer has the credential.
        """
        customer_id = self._customer_by_credential.get(_read_bearer_credential(headers))
        if customer_id is None:
            raise BadRequestError(
                Reason.UNKNOWN_CUSTOMER, "Authorization: expected a known credential"
            )
        return customer_id

    def find_operator(self, headers: Mapping[str, str]) -> str | None:
        """Return the name of the operator whose credential is given, or ``None``."""
        return self._operator_by_credential.get(_read_bearer_credential(headers))

    def parse_model(self, headers: Mapping[str, str], body: bytes) -> RequestDraft:
        """Parse a request to a model.

        Raises
        ------
        BadRequestError
            When the request is invalid.
        """
        customer_id = self.authenticate(headers)
        document = _parse_json(body)
        model, _, adapter = _read_text(document, "model").partition(":")
        service = self._service_by_model.get(model)
        if service is None:
            raise BadRequestError(
                Reason.UNKNOWN_SERVICE, f"model={model[:80]!r}: expected a known model"
            )
        if adapter and not _VISIBLE_WORD.match(adapter):
            raise _bad_request_error(
                "model: expected visible ASCII characters after the colon"
            )
        n_max_tokens = self._read_max_tokens(document)
        prompt = _read_prompt(document)
        common_fields = self._read_common_fields(headers, customer_id, service, body)
        return RequestDraft(
            **common_fields,
            model=model,
            adapter=adapter,
            is_idempotent=True,
            prefix_hashes=compute_prompt_hashes(document["model"], prompt),
            n_input_tokens=estimate_tokens(prompt),
            n_max_output_tokens=n_max_tokens,
            method="POST",
            path=MODEL_PATH,
        )

    def parse_plain(
        self,
        headers: Mapping[str, str],
        method: str,
        service_id: str,
        path: str,
        body: bytes,
    ) -> RequestDraft:
        """Parse a request to a plain service.

        Raises
        ------
        BadRequestError
            When the request is invalid.
        """
        customer_id = self.authenticate(headers)
        service = self._service_by_id.get(service_id)
        if service is None or service.kind is not ServiceKind.PLAIN:
            raise BadRequestError(
                Reason.UNKNOWN_SERVICE,
                f"service={service_id[:80]!r}: expected a known plain service",
            )
        # The fingerprint covers method and path, because a plain service answers the
        # same body differently on different paths.
        fingerprint_input = f"{method} {path}\n".encode(errors="replace") + body
        common_fields = self._read_common_fields(
            headers, customer_id, service, fingerprint_input
        )
        return RequestDraft(
            **{**common_fields, "body": body},
            model="",
            adapter="",
            is_idempotent=service.is_idempotent or method in _IDEMPOTENT_METHODS,
            prefix_hashes=(),
            n_input_tokens=0,
            n_max_output_tokens=0,
            method=method,
            path=path,
        )

    def _read_common_fields(
        self,
        headers: Mapping[str, str],
        customer_id: str,
        service: ServiceSettings,
        fingerprint_input: bytes,
    ) -> dict[str, Any]:
        """Return the fields that drafts of model and plain requests share."""
        return {
            "customer_id": customer_id,
            "service_id": service.service_id,
            "priority": _read_priority(headers),
            "remaining_ms": _read_deadline(headers),
            "idempotency_key": parse_idempotency_key(headers.get("idempotency-key")),
            "fingerprint": compute_fingerprint(service.service_id, fingerprint_input),
            "headers": _select_forwarded_headers(headers),
            "body": fingerprint_input,
        }

    def _read_max_tokens(self, document: Mapping[str, Any]) -> int:
        """Return the limit on output tokens, at most 1 million."""
        value = document.get("max_tokens")
        if value is None:
            return self._n_default_output_tokens
        if isinstance(value, bool) or not isinstance(value, int) or value < 1:
            raise _bad_request_error("max_tokens: expected a whole number above 0")
        return min(value, 1_000_000)


def parse_idempotency_key(value: str | None) -> str | None:
    """Return an idempotency key without surrounding spaces.

    Raises
    ------
    BadRequestError
        When the key is not 1 to 255 visible ASCII characters.
    """
    value = value.strip() if value is not None else None
    if value is not None and not _VISIBLE_WORD.match(value):
        raise _bad_request_error(
            "Idempotency-Key: expected 1 to 255 visible ASCII characters"
        )
    return value


def _bad_request_error(detail: str) -> BadRequestError:
    return BadRequestError(Reason.BAD_REQUEST, detail)


def _read_bearer_credential(headers: Mapping[str, str]) -> str:
    """Return the bearer credential of a request; empty when it carries none."""
    scheme, _, credential = headers.get("authorization", "").partition(" ")
    return credential.strip() if scheme.lower() == "bearer" else ""


def _parse_json(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise _bad_request_error("body: expected JSON in UTF-8") from None
    if not isinstance(document, dict):
        raise _bad_request_error("body: expected a JSON object")
    return document


def _read_prompt(document: Mapping[str, Any]) -> bytes:
    if "messages" not in document:
        raise _bad_request_error("messages: expected a list")
    try:
        return read_prompt(document)
    except ValueError as error:
        raise _bad_request_error(str(error)) from None


def _read_text(document: Mapping[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise _bad_request_error(f"{name}: expected non-empty text")
    return value


def _read_priority(headers: Mapping[str, str]) -> Priority:
    name = headers.get("x-priority", "normal").lower()
    if name not in _PRIORITY_BY_NAME:
        raise _bad_request_error("X-Priority: expected high, normal or low")
    return _PRIORITY_BY_NAME[name]


def _read_deadline(headers: Mapping[str, str]) -> int:
    """Return the time until the deadline, in ms."""
    text = headers.get("x-deadline-ms")
    if text is None:
        return DEFAULT_DEADLINE_MS
    value = int(text) if _DIGITS.match(text) else 0
    if not 1 <= value <= MAX_DEADLINE_MS:
        raise _bad_request_error(f"X-Deadline-Ms: expected 1 to {MAX_DEADLINE_MS}")
    return value


def _select_forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers for the endpoint, by lower-case name."""
    forwarded = {}
    for name, value in headers.items():
        lower_name = name.lower()
        if lower_name in _NOT_FORWARDED:
            continue
        if not _VISIBLE_TEXT.match(value) or not _VISIBLE_WORD.match(lower_name):
            raise _bad_request_error("headers: expected visible ASCII characters")
        forwarded[lower_name] = value
    return forwarded
