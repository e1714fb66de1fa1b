"""Guards against requests that raise a traceback, stop the process or hold it up."""

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
KEY = {"Authorization": "Bearer key-of-c1"}
MODEL = "/v1/chat/completions"


class Server:
    """Entry without endpoints that runs in its own thread."""

    def __init__(self) -> None:
        self.log = io.StringIO()
        self.port = 0
        self._ready = threading.Event()
        self._thread = threading.Thread(target=lambda: uvloop.run(self._run()))

    def __enter__(self) -> "Server":
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

    def ask(self, method, path, headers=KEY, body=b""):
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

    def check_alive(self) -> None:
        """Assert that the entry serves requests and has logged no fault."""
        assert self.ask("GET", "/healthz")[0] == 200
        assert "internal-fault" not in self.log.getvalue()
        assert "Traceback" not in self.log.getvalue()


@pytest.fixture(scope="module")
def server():
    """Start one entry for all tests of this module."""
    with Server() as running:
        yield running


def _error(body: bytes) -> dict:
    return json.loads(body)["error"]


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "reason"),
    [
        ("POST", MODEL, {}, b"{}", 401, "unknown_customer"),
        ("POST", MODEL, {"Authorization": "Bearer x"}, b"{}", 401, "unknown_customer"),
        ("POST", MODEL, KEY, b"{", 400, "bad_request"),
        ("POST", MODEL, KEY, b"[" * 50_000, 400, "bad_request"),
        ("POST", MODEL, KEY, b"\xff\xfe", 400, "bad_request"),
        ("POST", MODEL, KEY, b'{"model": 3}', 400, "bad_request"),
        ("POST", MODEL, KEY, b'{"model": "m", "messages": 1}', 400, "bad_request"),
        ("POST", MODEL, KEY, b'{"model": "z"}', 404, "unknown_service"),
        ("POST", MODEL, KEY, b"x" * 100_001, 413, "body_too_large"),
        ("POST", MODEL, {**KEY, "X-Deadline-Ms": "0"}, b"", 400, "bad_request"),
        ("GET", "/services/none/a", KEY, b"", 404, "unknown_service"),
        ("GET", "/services/writer/a", KEY, b"", 404, "unknown_service"),
        ("GET", "/services/desk", {**KEY, "X-Priority": "?"}, b"", 400, "bad_request"),
        ("PUT", "/services/desk/a%20b", KEY, b"x", 503, "no_endpoint"),
        ("POST", "/nothing", KEY, b"", 404, "unknown_service"),
        ("DELETE", MODEL, KEY, b"", 405, "bad_request"),
        (
            "POST",
            MODEL,
            KEY,
            b'{"model": "m", "messages": [{"content": "\\ud800"}]}',
            503,
            "no_endpoint",
        ),
    ],
)
def test_refusals_are_clear(server, method, path, headers, body, status, reason):
    """Guards against rejections with a wrong status code, reason or outcome."""
    found, answer, returned = server.ask(method, path, headers, body)
    assert (found, _error(answer)["reason"]) == (status, reason)
    assert _error(answer)["outcome"] == "not_run"
    assert ("retry-after" in returned) is (status == 503)
    server.check_alive()


def test_a_slow_sender_is_refused(server):
    """Guards against senders that hold a connection with an unfinished request."""
    for sent in (
        b"POST /v1/ch",
        b"POST " + MODEL.encode() + b" HTTP/1.1\r\n"
        b"Authorization: Bearer key-of-c1\r\nContent-Length: 9\r\n\r\n{",
    ):
        with socket.create_connection(("127.0.0.1", server.port), timeout=20) as sock:
            sock.sendall(sent)
            assert sock.recv(100).startswith(b"HTTP/1.1 408 ")
    server.check_alive()


def test_operator_pages_need_an_operator(server):
    """Guards against a customer that reads the status page of the entry."""
    assert server.ask("GET", "/admin/status")[0] == 401
    headers = {"Authorization": "Bearer key-of-op"}
    status, body, _ = server.ask("GET", "/admin/status", headers)
    assert (status, json.loads(body)["instance_id"]) == (200, "entry-1")
    assert server.ask("GET", "/readyz")[0] == 200
    assert server.ask("GET", "/v1/requests/k")[0] == 503


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=8,
)
names = st.sampled_from(["model", "messages", "max_tokens", "stream", "x"])
documents = st.dictionaries(names, json_values | st.just("m"), max_size=5)


@settings(max_examples=60)
@given(documents.map(lambda d: json.dumps(d).encode()) | st.binary(max_size=200))
def test_property_any_model_body_gets_a_refusal(server, body):
    """Guards against model request bodies that raise a traceback."""
    status, answer, _ = server.ask("POST", MODEL, KEY, body)
    assert status in (400, 404, 503)
    assert _error(answer)["outcome"] == "not_run"
    server.check_alive()


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
    st.sampled_from([MODEL.encode(), b"/services/desk/x", b"/v1/requests/%ff", b"*"])
    | st.binary(max_size=30),
    raw_headers,
    st.binary(max_size=80),
)
def test_property_any_bytes_leave_the_server_running(
    server, method, path, headers, body
):
    """Guards against raw bytes that stop the process or one of its tasks."""
    lines = [method + b" " + path + b" HTTP/1.1", b"Authorization: Bearer key-of-c1"]
    lines += [name + b": " + value for name, value in headers]
    answer = server.send_raw(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    assert not answer or answer.startswith(b"HTTP/1.1 ")
    assert b"Traceback" not in answer
    server.check_alive()
