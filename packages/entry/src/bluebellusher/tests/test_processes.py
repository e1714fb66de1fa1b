"""Guards against wrong handling of kills, freezes and outages by real processes."""

import asyncio
import json
import signal
import socket

import aiohttp

from bluebellusher_standins.cluster import Cluster
from bluebellusher_standins.engine import compute_expected_answer

KEY = {"Authorization": "Bearer key-of-c1"}
TIMEOUT = aiohttp.ClientTimeout(total=30)


def make_model_body(n_tokens: int, text: str = "hello") -> bytes:
    """Return the body of a streamed model request for ``n_tokens`` output tokens."""
    message = {"role": "user", "content": text}
    body = {"model": "model-a", "messages": [message], "stream": True}
    return json.dumps({**body, "max_tokens": n_tokens}).encode()


def url(process, path: str) -> str:
    """Return the URL of a path at a process."""
    return f"http://127.0.0.1:{process.port}{path}"


async def read_until(response, n_events: int) -> bytes:
    """Read a stream until ``n_events`` events are complete; return the bytes read."""
    data = b""
    while data.count(b"\n\n") < n_events:
        part = await response.content.readany()
        assert part, "stream ended early"
        data += part
    return data


async def open_raw(entry, body: bytes, deadline_ms: int = 60_000):
    """Send the head of a request; return the reader and writer of the connection.

    The receive buffers of the connection are set to 4096 bytes, so that a caller that
    reads slowly delays the entry.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", entry.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\n"
        f"Authorization: Bearer key-of-c1\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode())
    return reader, writer


async def set_faults(process, **faults) -> None:
    """Set faults of a stand-in process."""
    async with aiohttp.ClientSession() as session:
        await session.post(url(process, "/faults"), json=faults)


async def count_executions(session, service, body: bytes) -> int:
    """Return the number of times that a plain service executed a body."""
    target = url(service, "/executions")
    async with session.get(target, params={"body": body.decode()}) as answer:
        return (await answer.json())["n_executions"]


def run(scenario) -> None:
    """Run ``scenario(cluster, session)`` with a new cluster and an HTTP client."""

    async def run_scenario() -> None:
        async with (
            Cluster() as cluster,
            aiohttp.ClientSession(headers=KEY, timeout=TIMEOUT) as session,
        ):
            await scenario(cluster, session)

    asyncio.run(run_scenario())


def test_killed_agent_never_gives_a_complete_answer():
    """Guards against a truncated answer that appears complete to the caller (I2).

    The agent is killed while it relays the answer.
    """

    async def scenario(cluster, session):
        agent = await cluster.start_engine("engine-1", "a", token_interval_ms=20)
        entry = await cluster.start_entry("entry-1", "a")
        target = url(entry, "/v1/chat/completions")
        async with session.post(target, data=make_model_body(500)) as response:
            data = await read_until(response, 3)
            agent.signal(signal.SIGKILL)
            data += await response.content.read()
        assert b"event: error" in data
        assert b"endpoint_lost" in data
        assert b"[DONE]" not in data
        async with session.get(url(entry, "/healthz")) as response:
            assert response.status == 200

    run(scenario)


def test_frozen_agent_is_replaced_and_its_stream_resumed():
    """Guards against a stream that waits without end for an unresponsive agent.

    The agent is stopped by SIGSTOP and keeps its connection.
    """

    async def scenario(cluster, session):
        agent = await cluster.start_engine("engine-1", "a", token_interval_ms=20)
        entry = await cluster.start_entry("entry-1", "a")
        body = make_model_body(400)
        target = url(entry, "/v1/chat/completions")
        async with session.post(target, data=body) as response:
            data = await read_until(response, 3)
            agent.signal(signal.SIGSTOP)
            await entry.wait_for("event=agent-lost.*silent")
            agent.signal(signal.SIGCONT)
            data += await response.content.read()
        assert data == compute_expected_answer(body)

    run(scenario)


def test_sigterm_of_an_entry_interrupts_no_stream():
    """Guards against a graceful shutdown that interrupts a request (I6).

    A stream is in progress, and another request has sent only its head.
    """

    async def scenario(cluster, session):
        await cluster.start_engine("engine-1", "a", token_interval_ms=20)
        entry = await cluster.start_entry("entry-1", "a")
        body = make_model_body(100)
        target = url(entry, "/v1/chat/completions")
        # This request sends its head now and its body after SIGTERM.
        reader, writer = await open_raw(entry, body)
        async with session.post(target, data=body) as response:
            data = await read_until(response, 2)
            entry.signal(signal.SIGTERM)
            await entry.wait_for("event=stopping")
            new_session = aiohttp.ClientSession(timeout=TIMEOUT)
            async with new_session as session_after_sigterm:
                try:
                    await session_after_sigterm.get(url(entry, "/healthz"))
                except aiohttp.ClientConnectorError:
                    pass
                else:
                    raise AssertionError("a stopping entry accepted a connection")
            data += await response.content.read()
            writer.write(body)
            late_answer = await reader.read()
        assert data == compute_expected_answer(body)
        assert b"connection: close" in late_answer and b"data: [DONE]" in late_answer
        assert await entry.wait() == 0

    run(scenario)


def test_same_key_at_two_entries_runs_once():
    """Guards against a booking that runs twice (I4).

    Requests with the same idempotency key arrive at two entries at the same time.
    """

    async def scenario(cluster, session):
        await cluster.start_platform()
        await cluster.start_plain_service("desk-1", "a")
        entries = [await cluster.start_entry(f"entry-{i}", "a") for i in (1, 2)]
        service = cluster.process_by_name["desk-1.service"]
        for i in range(5):
            body = f"seat {i}".encode()
            headers = {"Idempotency-Key": f"booking-{i}"}
            path = "/services/order-desk/book"
            posts = [
                session.post(url(e, path), data=body, headers=headers)
                for e in entries * 3
            ]
            answers = await asyncio.gather(*posts)
            assert {a.status for a in answers} <= {200, 409}
            assert 200 in {a.status for a in answers}
            assert await count_executions(session, service, body) == 1
            repeat = await session.post(
                url(entries[1], path), data=body, headers=headers
            )
            assert repeat.status in (200, 409)
            assert await count_executions(session, service, body) == 1

    run(scenario)


def test_request_with_a_lost_answer_is_not_run_again():
    """Guards against a retry of work that may have run (I3, I4).

    The service executes the request and then closes the connection without an answer.
    """

    async def scenario(cluster, session):
        await cluster.start_platform()
        await cluster.start_plain_service("desk-1", "a")
        entry = await cluster.start_entry("entry-1", "a")
        service = cluster.process_by_name["desk-1.service"]
        target = url(entry, "/services/order-desk/pay")
        key_headers = {"Idempotency-Key": "payment-1"}
        for headers in (key_headers, {}):
            body = b"pay 1" if headers else b"pay 2"
            await set_faults(service, drop_after_execute=1)
            async with session.post(target, data=body, headers=headers) as answer:
                error = (await answer.json())["error"]
                assert (answer.status, error["outcome"]) == (502, "unknown")
            assert await count_executions(session, service, body) == 1
        async with session.post(target, data=b"pay 1", headers=key_headers) as answer:
            assert (answer.status, (await answer.json())["error"]["outcome"]) == (
                409,
                "unknown",
            )
        async with session.get(url(entry, "/v1/requests/payment-1")) as answer:
            assert (await answer.json())["outcome"] == "unknown"
        assert await count_executions(session, service, b"pay 1") == 1
        # An idempotent request is retried after a lost connection.
        await set_faults(service, drop_before_execute=1)
        async with session.get(target) as answer:
            assert answer.status == 200

    run(scenario)


def test_platform_outage_rejects_only_requests_that_need_a_claim():
    """Guards against an outage of the table that stops requests without a claim."""

    async def scenario(cluster, session):
        platform = await cluster.start_platform()
        await cluster.start_plain_service("desk-1", "a")
        entry = await cluster.start_entry("entry-1", "a")
        service = cluster.process_by_name["desk-1.service"]
        await set_faults(platform, is_down=True)
        target = url(entry, "/services/order-desk/book")
        key_headers = {"Idempotency-Key": "booking-1"}
        async with session.post(target, data=b"seat 1", headers=key_headers) as answer:
            error = (await answer.json())["error"]
            assert (answer.status, error["outcome"]) == (503, "not_run")
            assert error["reason"] == "claim_store_unavailable"
        assert await count_executions(session, service, b"seat 1") == 0
        async with session.get(target) as answer:
            assert answer.status == 200
        async with session.post(target, data=b"seat 2") as answer:
            assert answer.status == 200
        assert await count_executions(session, service, b"seat 2") == 1
        await set_faults(platform, is_down=False, lose_answers=1)
        async with session.post(
            target, data=b"seat 3", headers={"Idempotency-Key": "booking-3"}
        ) as answer:
            assert answer.status == 200
        assert await count_executions(session, service, b"seat 3") == 1

    run(scenario)


def test_slow_caller_bounds_the_relayed_bytes():
    """Guards against an entry that buffers without limit for a slow caller."""

    async def scenario(cluster, session):
        await cluster.start_engine("engine-1", "a", token_interval_ms=0.1)
        entry = await cluster.start_entry(
            "entry-1", "a", limits={"stream_window_bytes": 131_072}
        )
        body = make_model_body(8000)
        n_bytes = len(compute_expected_answer(body))
        reader, writer = await open_raw(entry, body)
        writer.write(body)
        await reader.readuntil(b"\n\n")
        status_url = url(entry, "/admin/status")
        operator = {"Authorization": "Bearer key-of-op"}
        relayed_counts = []
        # The caller reads nothing more, so the number of relayed bytes must stop
        # growing before half of the answer. It has stopped when 20 readings in a row
        # are equal.
        while len(relayed_counts) < 20 or len(set(relayed_counts[-20:])) > 1:
            async with session.get(status_url, headers=operator) as answer:
                relayed_counts.append((await answer.json())["n_bytes_relayed"])
        assert relayed_counts[-1] < n_bytes / 2
        writer.close()
        await entry.wait_for("a_outcome=caller_left")
        n_lines = len(entry.lines)
        _, writer = await open_raw(entry, body, deadline_ms=8_000)
        writer.write(body)
        # This caller neither reads nor disconnects; the entry closes its connection.
        await entry.wait_for("a_outcome=caller_left", n_lines)

    run(scenario)


def test_poison_request_crashes_at_most_two_engines():
    """Guards against a poison request that crashes one engine after another."""

    async def scenario(cluster, session):
        names = [f"engine-{i}" for i in range(5)]
        starts = [cluster.start_engine(n, "a", crash_marker="poison") for n in names]
        agents = await asyncio.gather(*starts)
        ports = cluster.reserve_peer_ports(2)
        entries = [
            await cluster.start_entry(f"entry-{i}", "a", port)
            for i, port in enumerate(ports)
        ]
        body = make_model_body(20, "poison")
        for entry in entries * 2:
            target = url(entry, "/v1/chat/completions")
            async with session.post(target, data=body) as answer:
                error = (await answer.json())["error"]
                assert (answer.status, error["reason"]) == (422, "crashes_endpoints")
            async with session.post(target, data=make_model_body(3)) as answer:
                assert await answer.read() == compute_expected_answer(
                    make_model_body(3)
                )
        crashes = [
            line for a in agents for line in a.lines if "event=engine-crash" in line
        ]
        assert 1 <= len(crashes) <= 2

    run(scenario)


def test_answers_of_other_attempts_are_never_delivered():
    """Guards against the answer of another attempt, or a truncated one (I2).

    The engine sends the id of another attempt with its answer, or truncates streams.
    """

    async def scenario(cluster, session):
        await cluster.start_engine("engine-1", "a")
        entry = await cluster.start_entry("entry-1", "a")
        engine = cluster.process_by_name["engine-1.engine"]
        target = url(entry, "/v1/chat/completions")
        for fault in ("cross_attempts", "truncate_streams"):
            await set_faults(engine, **{fault: 2})
            bodies = [make_model_body(30, f"{fault} {i}") for i in range(6)]
            posts = [session.post(target, data=body) for body in bodies]
            for body, answer in zip(bodies, await asyncio.gather(*posts), strict=True):
                data = await answer.read()
                is_whole = data == compute_expected_answer(body)
                assert is_whole or b"[DONE]" not in data
                assert is_whole or b"outcome" in data

    run(scenario)
