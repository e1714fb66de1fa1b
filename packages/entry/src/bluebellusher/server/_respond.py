"""Status codes, headers and bodies of the responses to callers."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from bluebellusher.links import CONNECTION_HEADERS
from bluebellusher_core.errors import NOT_RUN_STATUSES, Outcome, Reason, Rejection

_STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_CUSTOMER: 401,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.SLOW_SENDER: 408,
    Reason.RATE_LIMITED: 429,
    Reason.BUDGET_EXHAUSTED: 429,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.ENDPOINT_LOST: 502,
    Reason.ENGINE_ERROR: 502,
    Reason.STREAM_CORRUPT: 502,
    Reason.UNCONFIRMED_REFUSAL: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.CLAIM_IN_PROGRESS: 409,
    Reason.CLAIM_KEY_REUSED: 422,
    Reason.CRASHES_ENDPOINTS: 422,
}
# Headers of an endpoint's answer that are not sent to the caller.
_NOT_RETURNED = CONNECTION_HEADERS | {"x-attempt-id", "x-resume-offset"}


def to_status_code(reason: Reason) -> int:
    """Return the status code for a reason; it is 503 for overload and outages."""
    return _STATUS_BY_REASON.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)


def choose_status(rejection: Rejection) -> int:
    """Return the status code of a rejection.

    A status that promises that the request has not run is replaced by 502 for one that
    may have run.
    """
    status = to_status_code(rejection.reason)
    if rejection.outcome is Outcome.UNKNOWN and status in NOT_RUN_STATUSES:
        return HTTPStatus.BAD_GATEWAY
    return status


def make_rejection_body(
    rejection: Rejection, request_id: str, detail: str = ""
) -> bytes:
    """Create the JSON body of the response to a rejected request."""
    error: dict[str, Any] = {
        "outcome": rejection.outcome.value,
        "reason": rejection.reason.value,
        "step": rejection.step,
        "peer": rejection.peer,
        "retry_after_ms": rejection.retry_after_ms,
        "request_id": request_id,
    }
    if detail:
        error["detail"] = detail
    return json.dumps({"error": error}).encode()


def make_rejection_headers(rejection: Rejection) -> dict[str, str]:
    """Create the ``Retry-After`` header, in whole seconds rounded up.

    The result is empty when the rejection has no time for a retry.
    """
    if rejection.retry_after_ms is None:
        return {}
    return {"retry-after": str(max(1, -(-rejection.retry_after_ms // 1000)))}


def select_returned_headers(
    headers: Mapping[str, str], request_id: str
) -> dict[str, str]:
    """Return the headers of an endpoint's answer that are sent to the caller."""
    returned = {
        name: value
        for name, value in headers.items()
        if name not in _NOT_RETURNED and (name + value).isprintable()
    }
    return {**returned, "x-request-id": request_id}
