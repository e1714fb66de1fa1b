"""Guards against an endpoint that sends without end and exhausts an entry's memory.

Each test starts an entry as a process. The endpoint and callers that read nothing are
in the process of the test. Checked are only values that do not depend on the speed of
the machine: the entry is alive, its peak memory is within the machine of the settings,
and one ordinary request is answered afterwards.
"""

import asyncio
import contextlib
import json
import time

import pytest

from soak.entry import HOST_NAME
from soak.run import HOST
from soak.store import ENDPOINTS_TABLE
from soak.tests.test_exceeding_clients import (
    MARGIN_MB,
    PART,
    Entry,
    make_chunk,
    request_repeatedly,
)

# Requests at once, as many as the smallest machine of the deployments may have.
N_REQUESTS = 60
# Series of requests after which memory that is not released exceeds the margin.
N_SERIES = 5
# Time for which the endpoint sends and no caller reads, in s. It bounds the test and is
# not checked.
SENDING_S = 2
# Time after which the memory must be released, in s.
RELEASE_S = 3
OK = b"HTTP/1.1 200 OK\r\nSeal: s\r\nAttempt: t\r\n"
ERROR = b"HTTP/1.1 500 Error\r\nSeal: s\r\nAttempt: t\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nAttempt: t\r\n"
LENGTH = b"Content-Length: 900000000\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = OK + b"Content-Type: text/event-stream\r\n" + CHUNKED
EVENT = b"id: 1\ndata: " + b"a" * 500 + b"\n\n"
WHOLE = OK + b"Content-Length: 2\r\n\r\nok"

# Kind of answer: first part and repeated part.
ANSWER_BY_KIND = {
    "informational answers": (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 1_000),
    "status line": (b"HTTP/1.1 200 ", PART),
    "header line": (OK + b"A: ", PART),
    "header lines": (OK, b"A: b\r\n" * 10_000),
    "empty lines": (b"", b"\r\n" * 32_768),
    "binary bytes": (b"", bytes(65_536)),
    "body of an error": (ERROR + LENGTH, PART),
    "body of a refusal": (REFUSAL + LENGTH, PART),
    "body of a length": (OK + LENGTH, PART),
    "body in chunks": (OK + CHUNKED, make_chunk(PART)),
    "body until close": (OK + b"\r\n", PART),
    "chunks of one byte": (OK + CHUNKED, make_chunk(b"a") * 10_000),
    "chunk size": (OK + CHUNKED, b"1" * 65_536),
    "chunk extension": (OK + CHUNKED + b"1;a=", PART),
    "trailers": (OK + CHUNKED + b"0\r\nA: ", PART),
    "events": (EVENTS, make_chunk(EVENT) * 100),
    "large events": (EVENTS, make_chunk(b"data: " + PART * 3 + b"\n\n")),
    "comments": (EVENTS, make_chunk(b": a\n\n") * 5_000),
    "one event": (EVENTS + make_chunk(b"data: "), make_chunk(PART)),
    "answers after the answer": (WHOLE, WHOLE * 1_000),
}

# Kinds that are sent one after the other to one entry.
KINDS_BY_GROUP = {
    "heads": [
        "informational answers",
        "status line",
        "header line",
        "header lines",
        "empty lines",
        "binary bytes",
    ],
    "chunks": ["chunks of one byte", "chunk size", "chunk extension", "trailers"],
    "small events": ["events", "comments"],
    "one event": ["one event", "large events"],
    "failures": ["body of an error", "body of a refusal"],
    "bodies": ["body of a length", "body until close"],
    "chunked body": ["body in chunks"],
    "answers after the answer": ["answers after the answer"],
}


class FaultyEndpoint:
    """Endpoint that answers soundly, or without end while ``answer`` is set."""

    def __init__(self):
        self.answer = None
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            await reader.readuntil(b"\r\n\r\n")
            first, repeated = self.answer or (WHOLE, b"")
            writer.write(first)
            while repeated:
                writer.write(repeated)
                await writer.drain()
        writer.close()

    def close(self):
        """Close the port; open connections stay open."""
        self._server.close()


async def replace_endpoint(entry):
    """Replace the endpoint of an entry by a faulty one and return it."""
    endpoint = FaultyEndpoint()
    port = await endpoint.start()
    fields = {
        "service_id": "desk",
        "host": HOST,
        "port": port,
        "failure_domain": "north",
        "n_slots": 1_000,
        "is_draining": False,
        "started_wall_ms": int(time.time() * 1000),
    }
    entry.store.put(ENDPOINTS_TABLE, "x9", json.dumps(fields).encode())
    previous = entry.processes[1]
    previous.kill()
    await previous.wait()
    entry.store.put(ENDPOINTS_TABLE, "x1", b"", is_removed=True)
    await asyncio.sleep(1)
    assert await request_repeatedly(entry) == 200
    return endpoint


async def request_without_reading(entry):
    """Send requests whose answers are not read while the endpoint sends."""
    port = entry.port_by_name["callers"]
    head = f"GET /any/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt: t\r\n".encode()
    writers = []
    for _ in range(N_REQUESTS):
        reader, writer = await asyncio.open_connection(HOST, port, limit=1_024)
        reader._transport.pause_reading()
        writer.write(head + b"Remaining: 8000\r\n\r\n")
        writers.append(writer)
    await asyncio.sleep(SENDING_S)
    for writer in writers:
        writer.transport.abort()


@pytest.mark.parametrize("group", KINDS_BY_GROUP)
def test_entry_outlasts_endpoints_that_send_without_end(group, tmp_path):
    """Guards against an entry that ends, with the requests of all other callers."""

    async def main():
        async with Entry(tmp_path) as entry:
            endpoint = await replace_endpoint(entry)
            rest_mb = entry.check()
            for kind in KINDS_BY_GROUP[group]:
                endpoint.answer = ANSWER_BY_KIND[kind]
                await request_without_reading(entry)
                endpoint.answer = None
                status = await request_repeatedly(entry)
                entry.check()
                assert status == 200, kind
            await asyncio.sleep(RELEASE_S)
            assert entry.check() < rest_mb + MARGIN_MB
            endpoint.close()

    asyncio.run(main())


def test_memory_does_not_grow_with_each_series_of_answers(tmp_path):
    """Guards against answers that stay in memory after their callers have left."""

    async def main():
        async with Entry(tmp_path) as entry:
            endpoint = await replace_endpoint(entry)
            rest_mb = entry.check()
            for _ in range(N_SERIES):
                endpoint.answer = ANSWER_BY_KIND["body of a length"]
                await request_without_reading(entry)
            endpoint.answer = None
            assert await request_repeatedly(entry) == 200
            await asyncio.sleep(RELEASE_S)
            assert entry.check() < rest_mb + MARGIN_MB
            endpoint.close()

    asyncio.run(main())


def test_every_kind_of_answer_is_sent():
    """Guards against a kind that belongs to no group."""
    kinds = [kind for group in KINDS_BY_GROUP.values() for kind in group]
    assert sorted(kinds) == sorted(ANSWER_BY_KIND)
