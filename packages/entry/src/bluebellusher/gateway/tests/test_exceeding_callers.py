"""Guards against untrue answers to callers at and above the limits."""

import asyncio
import gzip
from dataclasses import replace

import pytest
from aiohttp import web

from bluebellusher.gateway.tests.harness import (
    HOST,
    answer_sealed,
    make_customer,
    run_scenario,
)
from bluebellusher_core.directory import CallerLimits

LIMITS = CallerLimits(
    max_header_bytes=4_096,
    max_body_bytes=100_000,
    header_timeout_ms=400,
    idle_timeout_ms=600,
)
HEAD = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt: t1\r\nRemaining: 3000\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Last request of a connection, which the entry closes after its answer.
LAST = HEAD + b"Connection: close\r\n"
LAST_CHUNKED = LAST + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = HEAD + b"Content-Length: 50000\r\n\r\n"


async def send(harness, data):
    """Send bytes on a new connection; return what the entry answers until its end."""
    reader, writer = await asyncio.open_connection(HOST, harness.port)
    writer.write(data)
    answer = await reader.read()
    writer.close()
    return answer


def set_limits(harness):
    """Apply ``LIMITS`` at once."""
    harness.directory.routing = replace(harness.directory.routing, limits=LIMITS)
    harness.server._guard.limits = LIMITS


def run(scenario):
    """Run a scenario with one endpoint and ``LIMITS``."""

    async def run_with_limits(harness):
        set_limits(harness)
        await scenario(harness)

    run_scenario(run_with_limits, [answer_sealed])


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"A: " + b"a" * 8_000, 431),
        (HEAD + b"A: b\r\n" * 2_000, 431),
        (b"\r\n" * 4_000, 431),
        (HEAD, 408),
        (HEAD + b"Content-Length: 100001\r\n\r\n", 413),
        (CHUNKED + b"186a1\r\n" + b"a" * 100_001, 413),
        (CHUNKED + b"1;" + b"a" * 20_000, 431),
        (CHUNKED + b"0\r\nA: " + b"a" * 20_000, 431),
        (CHUNKED + b"xyz\r\n", 400),
        (LENGTH + b"a" * 49_999, 408),
    ],
    ids=[
        *("line", "lines", "empty lines", "open head", "length", "chunk"),
        *("extension", "trailer", "invalid chunk", "open body"),
    ],
)
def test_requests_above_the_limits_are_rejected_and_never_sent(data, status):
    """Guards against a wrong status, and against an attempt of a rejected request."""

    async def scenario(harness):
        answer = await send(harness, data)
        # aiohttp answers to an invalid head with HTTP/1.0.
        assert answer.split()[:2] in (
            [version, str(status).encode()] for version in (b"HTTP/1.0", b"HTTP/1.1")
        )
        assert not harness.endpoints[0].received
        assert (await harness.fetch("POST", data=b"b"))[0] == 200

    run(scenario)


@pytest.mark.parametrize(
    "data",
    [
        LAST + b"A: " + b"a" * (4_096 - len(LAST) - 7) + b"\r\n\r\n",
        LAST_CHUNKED + b"186a0\r\n" + b"a" * 100_000 + b"\r\n0\r\n\r\n",
        LAST_CHUNKED + b"1\r\na\r\n" * 20_000 + b"0\r\nA: b\r\n\r\n",
        LAST + b"Content-Length: 50000\r\n\r\n" + b"a" * 50_000,
    ],
    ids=["head", "chunk", "chunks of one byte", "length"],
)
def test_requests_at_the_limits_are_served(data):
    """Guards against limits that callers within them reach."""

    async def scenario(harness):
        answer = await send(harness, data)
        assert answer.startswith(b"HTTP/1.1 200 ")

    run(scenario)


def test_pipelined_requests_are_answered_in_order():
    """Guards against a request that is lost while an earlier one is in progress."""

    async def scenario(harness):
        data = LENGTH + b"a" * 50_000 + HEAD + b"\r\n" + LAST + b"\r\n"
        answer = await send(harness, data)
        assert answer.count(b"HTTP/1.1 200 ") == 3
        bodies = [body for _, body in harness.endpoints[0].received]
        assert bodies == [b"a" * 50_000, b"", b""]

    run(scenario)


def test_refused_connection_never_sends_a_part_of_a_body():
    """Guards against a body that is sent without the parts that were released."""
    body = b"a" * 50_000

    async def scenario(harness):
        for n_bytes in (0, 2_000, 20_000, 40_000):
            head = LENGTH if n_bytes else CHUNKED
            sent = body if n_bytes else b"c350\r\n" + body + b"\r\n0\r\n\r\n"
            reader, writer = await asyncio.open_connection(HOST, harness.port)
            writer.write(head + sent[:n_bytes])
            await asyncio.sleep(0.05)
            # The connection is refused for what follows the request.
            writer.write(sent[n_bytes:] + HEAD + b"A: " + b"a" * 8_000)
            await reader.read()
            writer.close()
        assert all(received == body for _, received in harness.endpoints[0].received)

    run(scenario)


def test_open_body_gives_its_memory_to_an_ordinary_request():
    """Guards against an ordinary request that is rejected for others' open bodies."""

    async def scenario(harness):
        harness.server._guard.budget.n_max_bytes = 60_000
        data = LENGTH + b"a" * 40_000
        attacks = [asyncio.create_task(send(harness, data)) for _ in range(2)]
        done, _ = await asyncio.wait(attacks, return_when=asyncio.FIRST_COMPLETED)
        answer = done.pop().result()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1.000" in answer
        assert (await harness.fetch("POST", data=b"b" * 20_000))[0] == 200
        assert len(harness.endpoints[0].received) == 1
        await asyncio.wait(attacks)

    run(scenario)


def test_bytes_of_a_known_customer_count_for_it():
    """Guards against a customer that fills the budget from many addresses."""

    async def scenario(harness):
        _, writer = await asyncio.open_connection(HOST, harness.port)
        writer.write(HEAD + b"Key: k\r\nContent-Length: 9\r\n\r\na")
        await writer.drain()
        (account,) = await wait_for_accounts(harness)
        assert account.owner == "tenant"
        writer.close()

    async def wait_for_accounts(harness):
        while True:
            accounts = [c.account for c in harness.server._server.connections]
            if accounts and accounts[0].owner != HOST:
                return accounts
            await asyncio.sleep(0.01)

    run_scenario(scenario, [answer_sealed], customers=[make_customer("k")])


def test_caller_that_does_not_read_its_answer_is_disconnected():
    """Guards against answers that are held without end for callers that do not read."""

    async def answer_large(request, body):
        headers = {"Seal": "s", "Attempt": request.headers["Attempt"]}
        return web.Response(body=bytes(32 * 1024 * 1024), headers=headers)

    async def scenario(harness):
        set_limits(harness)
        _, writer = await asyncio.open_connection(HOST, harness.port, limit=1)
        writer.write(HEAD + b"\r\n")
        while not harness.recorder.get_lines("request-ended"):  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        while harness.server.n_connections:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        writer.transport.abort()

    run_scenario(scenario, [answer_large])


def test_answered_requests_hold_no_bytes():
    """Guards against bytes that stay in the budget after their request has ended."""

    async def scenario(harness):
        for _ in range(5):
            await harness.fetch("POST", data=b"b" * 50_000)
            await harness.fetch("POST", path="/unknown", data=b"b" * 50_000)
        assert harness.server._guard.budget.n_bytes == 0

    run(scenario)


@pytest.mark.parametrize("n_last", [1, 2, 3, 4])
def test_connection_stays_usable_after_the_end_of_a_body_arrives_in_two_parts(n_last):
    """Guards against a rejection that is sent on an idle connection.

    The end of the body was taken for the begin of a head that does not arrive.
    """

    async def scenario(harness):
        reader, writer = await asyncio.open_connection(HOST, harness.port)
        data = CHUNKED + b"5\r\nabcde\r\n0\r\n\r\n"
        writer.write(data[:-n_last])
        await asyncio.sleep(0.1)
        writer.write(data[-n_last:])
        assert (await reader.readuntil(b"whole")).startswith(b"HTTP/1.1 200 ")
        await asyncio.sleep(2 * LIMITS.header_timeout_ms / 1000)
        writer.write(LAST + b"\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
        writer.close()

    run(scenario)


def test_open_body_behind_an_answered_request_stays_charged():
    """Guards against bodies that are not in the budget, and cannot be given up."""

    async def scenario(harness):
        reader, writer = await asyncio.open_connection(HOST, harness.port)
        get = HEAD.replace(b"POST", b"GET") + b"\r\n"
        writer.write(get + LENGTH + b"a" * 1_000)
        await reader.readuntil(b"whole")
        budget = harness.server._guard.budget
        writer.write(b"a" * 30_000)
        while budget.n_bytes < 31_000:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        writer.transport.abort()

    run(scenario)


def test_body_with_a_content_encoding_is_sent_as_it_came():
    """Guards against a body that is decoded, and grows beyond the limit on bodies."""
    text = b"a" * 200_000
    body = gzip.compress(text)
    head = LAST + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def scenario(harness):
        answer = await send(harness, head + body)
        assert answer.startswith(b"HTTP/1.1 200 ")
        # The endpoint decodes the body once more.
        assert harness.endpoints[0].received[0][1] == text

    run(scenario)
