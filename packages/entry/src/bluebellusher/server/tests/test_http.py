"""Guards against requests that raise a traceback or stop or block the process."""

import asyncio
import http.client
import io
import json
import socket
import threading

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellusher.cli._entry import Entry
from bluebellusher.observability import KeyValueLog
from bluebellusher.settings import Settings
from bluebellusher_core.clock import SystemClock

SETTINGS = {
    "instance_id": "entry-1",
    "failure_domain": "a",
    "shared_secret": "s3cr3t-of-this-test",
    "http": {"host": "127.0.0.1", "port": 0},
    "peer_listen": {"host": "127.0.0.1", "port": 0},
    "platform_url": "http://127.0.0.1:9",
    "services": [
        {"service_id": "writer", "kind": "model", "models": ["m"]},
        {"service_id": "desk", "kind": "plain"},
    ],
    "customers": [{"customer_id": "c1", "credentials": ["key-of-c1"]}],
    "operators": [{"name": "op", "credential": "key-of-op"}],
    "limits": {"max_body_bytes": 100_000, "slow_sender_timeout_ms": 300},
}
AUTH = {"Authorization": "Bearer key-of-c1"}
MODEL_PATH = "/v1/chat/completions"


class EntryThread:
    """Entry without endpoints that runs in its own thread."""

    def __init__(self) -> None:
        self.log = io.StringIO()
        self.port = 0
        self._ready = threading.Event()
        self._thread = threading.Thread(target=lambda: uvloop.run(self._run()))

    def __enter__(self) -> "EntryThread":
        self._thread.start()
        assert self._ready.wait(20)
        return self

    def __exit__(self, *_: object) -> None:
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(20)

    async def _run(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        log = KeyValueLog.from_config("info", self.log)
        self._loop.set_exception_handler(
            lambda _, context: log.event("internal-fault", error=str(context))
        )
        entry = Entry(Settings.model_validate(SETTINGS), SystemClock(), log)
        await entry.start()
        text = self.log.getvalue()
        self.port = int(text.split(" port=")[1].split()[0])
        self._ready.set()
        await self._stop.wait()
        await entry.stop()
        log.close()

    def send_request(self, method, path, headers=AUTH, body=b""):
        """Send one request; return the status, body and headers of the response."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())
        finally:
            connection.close()

    def send_raw(self, data: bytes) -> bytes:
        """Send bytes, close the sending side and return all received bytes."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=20) as sock:
            received = b""
            try:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                while part := sock.recv(65536):
                    received += part
            except ConnectionError:
                pass
            return received

    def assert_no_fault(self) -> None:
        """Assert that the entry serves requests and has logged no fault."""
        assert self.send_request("GET", "/healthz")[0] == 200
        assert "internal-fault" not in self.log.getvalue()
        assert "Traceback" not in self.log.getvalue()


@pytest.fixture(scope="module")
def server():
    """Start one entry for all tests of this module."""
    with EntryThread() as entry_thread:
        yield entry_thread


def read_error(body: bytes) -> dict:
    """Return the error object of a rejection's body."""
    return json.loads(body)["error"]


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "reason"),
    [
        ("POST", MODEL_PATH, {}, b"{}", 401, "unknown_customer"),
        (
            "POST",
            MODEL_PATH,
            {"Authorization": "Bearer x"},
            b"{}",
            401,
            "unknown_customer",
        ),
        ("POST", MODEL_PATH, AUTH, b"{", 400, "bad_request"),
        ("POST", MODEL_PATH, AUTH, b"[" * 50_000, 400, "bad_request"),
        ("POST", MODEL_PATH, AUTH, b"\xff\xfe", 400, "bad_request"),
        ("POST", MODEL_PATH, AUTH, b'{"model": 3}', 400, "bad_request"),
        (
            "POST",
            MODEL_PATH,
            AUTH,
            b'{"model": "m", "messages": 1}',
            400,
            "bad_request",
        ),
        ("POST", MODEL_PATH, AUTH, b'{"model": "z"}', 404, "unknown_service"),
        ("POST", MODEL_PATH, AUTH, b"x" * 100_001, 413, "body_too_large"),
        ("POST", MODEL_PATH, {**AUTH, "X-Deadline-Ms": "0"}, b"", 400, "bad_request"),
        ("GET", "/services/none/a", AUTH, b"", 404, "unknown_service"),
        ("GET", "/services/writer/a", AUTH, b"", 404, "unknown_service"),
        ("GET", "/services/desk", {**AUTH, "X-Priority": "?"}, b"", 400, "bad_request"),
        ("PUT", "/services/desk/a%20b", AUTH, b"x", 503, "no_endpoint"),
        ("POST", "/nothing", AUTH, b"", 404, "unknown_service"),
        ("DELETE", MODEL_PATH, AUTH, b"", 405, "bad_request"),
        (
            "POST",
            MODEL_PATH,
            AUTH,
            b'{"model": "m", "messages": [{"content": "\\ud800"}]}',
            503,
            "no_endpoint",
        ),
    ],
)
def test_rejected_requests_get_a_specific_reason(
    server, method, path, headers, body, status, reason
):
    """Guards against rejections with a wrong status code, reason or outcome."""
    response_status, answer, response_headers = server.send_request(
        method, path, headers, body
    )
    assert (response_status, read_error(answer)["reason"]) == (status, reason)
    assert read_error(answer)["outcome"] == "not_run"
    assert ("retry-after" in response_headers) is (status == 503)
    server.assert_no_fault()


def test_unfinished_request_gets_status_408(server):
    """Guards against senders that hold a connection with an unfinished request."""
    for unfinished_request in (
        b"POST /v1/ch",
        b"POST " + MODEL_PATH.encode() + b" HTTP/1.1\r\n"
        b"Authorization: Bearer key-of-c1\r\nContent-Length: 9\r\n\r\n{",
    ):
        with socket.create_connection(("127.0.0.1", server.port), timeout=20) as sock:
            sock.sendall(unfinished_request)
            assert sock.recv(100).startswith(b"HTTP/1.1 408 ")
    server.assert_no_fault()


def test_status_page_requires_an_operator_credential(server):
    """Guards against a customer that reads the status page of the entry."""
    assert server.send_request("GET", "/admin/status")[0] == 401
    headers = {"Authorization": "Bearer key-of-op"}
    status, body, _ = server.send_request("GET", "/admin/status", headers)
    assert (status, json.loads(body)["instance_id"]) == (200, "entry-1")
    assert server.send_request("GET", "/readyz")[0] == 200
    assert server.send_request("GET", "/v1/requests/k")[0] == 503


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=8,
)
field_names = st.sampled_from(["model", "messages", "max_tokens", "stream", "x"])
model_documents = st.dictionaries(field_names, json_values | st.just("m"), max_size=5)


@settings(max_examples=60)
@given(model_documents.map(lambda d: json.dumps(d).encode()) | st.binary(max_size=200))
def test_property_any_model_body_is_rejected(server, body):
    """Guards against model request bodies that raise a traceback."""
    status, answer, _ = server.send_request("POST", MODEL_PATH, AUTH, body)
    assert status in (400, 404, 503)
    assert read_error(answer)["outcome"] == "not_run"
    server.assert_no_fault()


header_names = st.sampled_from(
    [
        b"X-Deadline-Ms",
        b"X-Priority",
        b"Idempotency-Key",
        b"traceparent",
        b"Content-Length",
        b"Transfer-Encoding",
        b"Expect",
        b"Authorization",
        b"X-Y",
    ]
)
raw_headers = st.lists(
    st.tuples(header_names, st.binary(max_size=30) | st.just(b"chunked")), max_size=6
)


@settings(max_examples=80)
@given(
    st.sampled_from([b"GET", b"POST", b"HEAD", b"\xff", b""]),
    st.sampled_from(
        [MODEL_PATH.encode(), b"/services/desk/x", b"/v1/requests/%ff", b"*"]
    )
    | st.binary(max_size=30),
    raw_headers,
    st.binary(max_size=80),
)
def test_property_server_survives_any_bytes(server, method, path, headers, body):
    """Guards against raw bytes that stop the process or one of its tasks."""
    lines = [method + b" " + path + b" HTTP/1.1", b"Authorization: Bearer key-of-c1"]
    lines += [name + b": " + value for name, value in headers]
    answer = server.send_raw(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    assert not answer or answer.startswith(b"HTTP/1.1 ")
    assert b"Traceback" not in answer
    server.assert_no_fault()
