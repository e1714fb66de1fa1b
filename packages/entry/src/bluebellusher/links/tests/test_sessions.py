"""Client sessions at servers that close connections without an answer."""

import asyncio
import pathlib

import aiohttp
import pytest

from bluebellusher.links import (
    NOT_CONNECTED_ERRORS,
    ConnectionLostError,
    open_session,
)

REPOSITORY = pathlib.Path(__file__).parents[6]
# Code that sends requests whose repeats would matter.
SOURCE_FOLDERS = ("packages/entry/src", "platform", "soak")
FACTORY_NAME = "_sessions.py"


async def count_arrivals(method, **options):
    """Send a request to a server that closes each connection after the head.

    Return the number of requests that have arrived there, and the error of the session.
    """
    n_arrived = 0

    async def serve(reader, writer):
        nonlocal n_arrived
        await reader.readuntil(b"\r\n\r\n")
        n_arrived += 1
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with open_session(**options) as session:
        with pytest.raises(aiohttp.ClientError) as error:
            await session.request(method, f"http://127.0.0.1:{port}/")
        server.close()
        with pytest.raises(NOT_CONNECTED_ERRORS):
            await session.request(method, f"http://127.0.0.1:{port}/")
    return n_arrived, error.value


@pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "POST"])
def test_lost_connection_is_distinguished_from_a_failed_one(method):
    """Guards against a request that has arrived and counts as not sent."""
    n_arrived, error = asyncio.run(count_arrivals(method))
    assert n_arrived == 1
    assert isinstance(error, ConnectionLostError)
    assert str(error) == "ServerDisconnectedError"


@pytest.mark.parametrize(("method", "n_expected"), [("GET", 2), ("PUT", 1)])
def test_only_reads_are_repeated_where_it_is_allowed(method, n_expected):
    """Guards against writes that are repeated with the reads."""
    n_arrived, _ = asyncio.run(count_arrivals(method, repeats_reads=True))
    assert n_arrived == n_expected


def test_sessions_are_opened_in_one_place():
    """Guards against a new client whose requests aiohttp repeats by itself."""
    paths = [
        path
        for folder in SOURCE_FOLDERS
        for path in (REPOSITORY / folder).rglob("*.py")
        if "tests" not in path.parts and path.name != FACTORY_NAME
    ]
    assert paths
    assert [path for path in paths if "ClientSession(" in path.read_text()] == []
