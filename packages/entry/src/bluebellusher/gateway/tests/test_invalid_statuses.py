"""Answers whose status line is not that of a final HTTP/1 answer."""

import pytest

from bluebellusher.gateway.tests.harness import (
    answer_sealed,
    make_route,
    run_scenario,
)
from bluebellusher.gateway.tests.test_truncated_heads import TruncatingEndpoint
from bluebellusher_core.directory import RequestKind
from bluebellusher_core.events import EndpointInfo, EndpointLost, EndpointRegistered

INVALID_LINES = (
    "HTTP/1.1 000 None",
    "HTTP/1.1 001 None",
    "HTTP/1.1 099 None",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 None",
    "HTTP/1.1 999 None",
    "HTTP/1.1 0 None",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 2O0 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1",
    "HTTP/0.9 200 OK",
    "HTTP/2.0 200 OK",
)
HEADERS = {
    "sealed": b"Seal: s\r\nAttempt: t1\r\n",
    "not sealed": b"Attempt: t1\r\n",
    "not run": b"Not-Run: 1\r\nAttempt: t1\r\n",
}
ROUTES = [
    make_route(RequestKind.IDEMPOTENT, path_prefix="/any/", n_max_attempts=2),
    make_route(RequestKind.NON_IDEMPOTENT, path_prefix="/once/", n_max_attempts=1),
]


@pytest.mark.parametrize("headers", HEADERS)
@pytest.mark.parametrize("line", INVALID_LINES)
def test_invalid_status_is_not_relayed(line, headers):
    """Guards against a status of a faulty endpoint that no caller can interpret.

    A request that may be repeated is answered by another endpoint. The other one may
    have run, so that it is not rejected as not run.
    """
    endpoint = TruncatingEndpoint(is_reset=False)
    endpoint.data = line.encode() + b"\r\n" + HEADERS[headers]
    endpoint.data += b"Content-Length: 5\r\n\r\nwrong"

    async def scenario(harness):
        harness.runtime.post(EndpointLost("x0"))
        status, headers, _ = await harness.fetch("POST", "/once/x", data=b"q")
        assert status == 502
        assert "Seal" not in headers
        services = frozenset({"desk"})
        info = EndpointInfo("x0", "here", services, frozenset(), frozenset(), 4)
        harness.runtime.post(EndpointRegistered(info))
        status, _, body = await harness.fetch("GET", "/any/x")
        assert (status, body) == (200, b"whole")

    run_scenario(scenario, [answer_sealed], [endpoint], routes=ROUTES)


@pytest.mark.parametrize("status", [200, 204, 302, 404, 409, 500, 502, 504, 599])
def test_final_status_is_relayed(status):
    """Guards against valid answers that are taken for faulty ones."""
    endpoint = TruncatingEndpoint(is_reset=False)
    line = f"HTTP/1.1 {status} Text\r\n".encode()
    endpoint.data = line + HEADERS["sealed"] + b"Content-Length: 0\r\n\r\n"

    async def scenario(harness):
        found, headers, _ = await harness.fetch("POST", "/once/x", data=b"q")
        assert found == status
        assert headers["Seal"] == "s"

    run_scenario(scenario, [], [endpoint], routes=ROUTES)
