"""Validation of received messages, whose fields may be missing or malicious."""

from typing import Any

from bluebellusher_agent._http import is_header_value, is_path, is_token

MAX_ID_CHARACTERS = 128
MAX_HEADERS = 128
MAX_REMAINING_MS = 3_600_000
MAX_INT64 = 2**63 - 1


def is_id(text: Any) -> bool:
    """Return whether ``text`` is a valid attempt, request or order id."""
    if not isinstance(text, str) or not 0 < len(text) <= MAX_ID_CHARACTERS:
        return False
    return all(c.isascii() and (c.isalnum() or c in "-_.:~") for c in text)


def find_id_problem(dispatch: Any) -> str:
    """Return an error message for the ids of a ``Dispatch``, empty if valid."""
    if not (is_id(dispatch.attempt_id) and is_id(dispatch.request_id)):
        return "attempt_id or request_id: expected letters, digits and -_.:~"
    return ""


def find_dispatch_problem(dispatch: Any, is_model: bool) -> str:
    """Return an error message for an invalid ``Dispatch``, else an empty string.

    The ids of the dispatch must have passed ``find_id_problem``. ``is_model`` is
    whether the target is an engine.
    """
    if not is_token(dispatch.method):
        return f"method={dispatch.method!r}: expected an HTTP method"
    if not is_path(dispatch.path):
        return "path: expected printable ASCII that starts with /"
    if is_model and (dispatch.method != "POST" or not dispatch.path.startswith("/v1/")):
        # Other methods and paths of an engine cancel attempts or change its state.
        return f"{dispatch.method} {dispatch.path}: expected POST below /v1/"
    headers = dispatch.headers or {}
    are_headers_valid = all(
        is_token(n) and is_header_value(v) for n, v in headers.items()
    )
    if not are_headers_valid or len(headers) > MAX_HEADERS:
        return "headers: expected HTTP names and values"
    if not is_header_value(dispatch.traceparent or ""):
        return "traceparent: expected a header value"
    return _find_number_problem(dispatch)


def _find_number_problem(dispatch: Any) -> str:
    bounds = (
        ("priority", 2),
        ("remaining_ms", MAX_REMAINING_MS),
        ("resume_offset", MAX_INT64),
        ("credit_bytes", MAX_INT64),
    )
    for name, high in bounds:
        value = getattr(dispatch, name)
        low = -MAX_INT64 if name == "remaining_ms" else 0
        if value is None or not low <= value <= high:
            return f"{name}={value}: expected {low} to {high}"
    return ""


def is_order(order: Any) -> bool:
    """Return whether an ``Order`` has a valid id, action, lease name and token."""
    has_valid_ids = is_id(order.order_id) and is_id(order.action)
    lease_name = order.lease_name
    has_valid_lease = isinstance(lease_name, str) and 0 < len(lease_name) <= 256
    token = order.fencing_token
    return (
        has_valid_ids
        and has_valid_lease
        and token is not None
        and 0 <= token < MAX_INT64
    )
