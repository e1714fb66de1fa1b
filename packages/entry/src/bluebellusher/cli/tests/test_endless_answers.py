"""Commands of operators at an address that answers without end."""

import asyncio
import contextlib
import threading

import pytest

from bluebellusher.cli import _commands, rules_client
from bluebellusher.cli.rules_base import CommandError

HOST = "127.0.0.1"
MAX_BYTES = 1_000_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n["


@pytest.fixture
def endless_url(monkeypatch):
    """URL of a server that answers without end, with small limits of the commands."""
    monkeypatch.setattr(rules_client, "MAX_ANSWER_BYTES", MAX_BYTES)
    monkeypatch.setattr(_commands, "MAX_STATUS_BYTES", MAX_BYTES)
    loop, port = asyncio.new_event_loop(), 0

    async def answer(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            # The bound keeps the test from running forever without a limit.
            for _ in range(2_000):
                writer.write(b"0," * 32_768)
                await writer.drain()
        writer.close()

    server = loop.run_until_complete(asyncio.start_server(answer, HOST, 0))
    port = server.sockets[0].getsockname()[1]
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield f"http://{HOST}:{port}"
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    server.close()
    loop.close()


def test_rules_command_rejects_an_answer_without_end(endless_url):
    """Guards against a command that exhausts the memory of the operator's machine."""
    with pytest.raises(CommandError, match="1000000 bytes"):
        rules_client.RulesClient(endless_url).read_head()


def test_status_command_rejects_an_answer_without_end(endless_url):
    """Guards against a command that exhausts the memory of the operator's machine."""
    with pytest.raises(ValueError):
        _commands._fetch_status(endless_url)
