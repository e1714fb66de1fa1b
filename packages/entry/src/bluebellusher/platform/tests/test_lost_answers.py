"""Writes whose answer is lost, redirected or followed by a closed port."""

import asyncio
import socket

import pytest

from bluebellusher.platform import PlatformClient, PlatformOutcomeUnknownError

REFUSAL = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"


class LosingPlatform:
    """Platform that executes the first request and loses its answer.

    Parameters
    ----------
    part : bytes
        Bytes of the lost answer that are sent, with ``%d`` for the number of a closed
        port.
    has_listener : bool
        Whether later connections are accepted; their requests get status 503.
    """

    def __init__(self, part, has_listener):
        self.n_arrived = 0
        self.port = 0
        self._part = part
        self._has_listener = has_listener
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.n_arrived += 1
        if self.n_arrived == 1:
            if not self._has_listener:
                self._server.close()
            writer.write(self._part.replace(b"%d", b"%d" % find_closed_port()))
        else:
            writer.write(REFUSAL)
        await writer.drain()
        writer.close()

    def close(self):
        """Close the port."""
        self._server.close()


def find_closed_port():
    """Return a port on which no process listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def put_object(client):
    """Write an object (PUT)."""
    return await client.put_object("name", b"data")


async def write_row(client):
    """Write a row (POST)."""
    return await client.transact({"k": 0}, {"k": 1})


@pytest.mark.parametrize("write", [put_object, write_row])
@pytest.mark.parametrize("has_listener", [True, False])
@pytest.mark.parametrize(
    "part",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 307 Moved\r\nLocation: http://127.0.0.1:%d/\r\n"
        b"Content-Length: 0\r\n\r\n",
    ],
    ids=["before the first byte", "in the head", "redirect"],
)
def test_write_with_a_lost_answer_is_sent_once_and_unknown(write, has_listener, part):
    """Guards against a write that took effect and is reported as not done.

    Its caller would write again, or take back what it believes not to be stored.
    """

    async def scenario():
        platform = LosingPlatform(part, has_listener)
        await platform.start()
        async with PlatformClient(f"http://127.0.0.1:{platform.port}") as client:
            result = await write(client)
        platform.close()
        assert platform.n_arrived == 1
        assert isinstance(result.error, PlatformOutcomeUnknownError)

    asyncio.run(scenario())
