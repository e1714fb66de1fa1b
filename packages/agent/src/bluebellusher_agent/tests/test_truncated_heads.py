"""Answers of an engine that end inside their head, or whose head is invalid."""

import asyncio
import contextlib

import pytest

from bluebellusher_agent._http import ExchangeError, HttpClient

HOST = "127.0.0.1"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEAD_BY_FRAMING = {
    "length": b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 15\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nX-A: b\r\nConnection: close\r\n\r\n",
    "informational": b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
}


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("framing", HEAD_BY_FRAMING)
def test_answer_that_ends_in_its_head_is_an_error(framing, is_kept):
    """Guards against an empty report, or a confirmed order, from a broken answer."""
    head = HEAD_BY_FRAMING[framing]

    async def main():
        answers = []

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    data = answers.pop(0)
                    writer.write(data)
                    await writer.drain()
                    if data != WHOLE:
                        break
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        client = HttpClient(HOST, server.sockets[0].getsockname()[1])
        for n_bytes in range(len(head)):
            answers[:] = [head[:n_bytes]]
            if is_kept:
                answers.insert(0, WHOLE)
                assert await client.fetch("GET", "/x") == (200, b"ok")
            with pytest.raises(ExchangeError):
                await client.fetch("GET", "/x")
            assert not answers
        client.close_idle(is_all=True)
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "line",
    [
        "HTTP/1.1 000 None",
        "HTTP/1.1 099 None",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 600 None",
        "HTTP/1.1 999 None",
        "HTTP/2.0 200 OK",
    ],
)
def test_invalid_status_is_an_error(line):
    """Guards against a status that no caller can interpret, or a wait after it."""

    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(line.encode() + b"\r\nContent-Length: 2\r\n\r\nok")
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        client = HttpClient(HOST, server.sockets[0].getsockname()[1])
        with pytest.raises(ExchangeError, match="expected an HTTP answer"):
            await client.fetch("GET", "/x")
        server.close()

    asyncio.run(main())
