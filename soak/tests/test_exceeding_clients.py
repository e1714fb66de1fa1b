"""Guards against clients beyond the limits that end or block an entry.

Each test starts an entry and an endpoint as processes and lets one kind of client
connect. Checked are only values that do not depend on the speed of the machine: the
entry is alive, its peak memory and its open descriptors are within the machine of the
settings, and one ordinary request is answered afterwards.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import sys

import aiohttp
import pytest

from bluebellusher.shared import CRASH_TABLE
from bluebellusher_standins.cluster import PortReservations
from soak.entry import HOST_NAME, Codec
from soak.run import HOST
from soak.store import ENDPOINTS_TABLE, StoreServer

# Machine of the entry, which its settings name: the smallest memory in the deployments,
# and few descriptors so that a small number of clients exceeds them.
MEMORY_MB = 152
N_DESCRIPTORS = 1_124
N_FEW_DESCRIPTORS = 512
# Resident memory, in MB, by which the entry may exceed its size before the clients: the
# heap that an allocator retains, an eighth of the machine.
MARGIN_MB = MEMORY_MB / 8
N_SERIES = 10
LIMITS = {"max_header_bytes": 16_384, "max_body_bytes": 1_048_576}
MIB = 1_048_576
PART = b"a" * 65_536
# Time in which clients send, in s. It bounds the test and is not checked.
SENDING_S = 8
START_S = 60
HEAD = f"POST /any/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nRemaining: 3000\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def make_length_head(n_bytes):
    """Return the head of a request with a body of ``n_bytes``."""
    return HEAD + f"Content-Length: {n_bytes}\r\n\r\n".encode()


def make_chunk(data):
    """Return a chunk with its size."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


# Kind of client: address, number of connections, first part, repeated part, repeats.
CLIENTS = {
    "header line": ("callers", 40, HEAD + b"A: ", PART, 128),
    "header line to readiness": ("readiness", 40, HEAD + b"A: ", PART, 128),
    "header line to metrics": ("metrics", 40, HEAD + b"A: ", PART, 128),
    "bytes without end to peers": ("peers", 40, b"", PART, 128),
    "trailers": ("callers", 40, CHUNKED + b"0\r\nA: ", PART, 128),
    "open chunked body": ("callers", 200, CHUNKED, make_chunk(PART[:-8]), 16),
    "open body of a length": ("callers", 200, make_length_head(MIB), PART, 15),
    "chunks of one byte": ("callers", 100, CHUNKED, make_chunk(b"a") * 10_000, 30),
    "announced 2 GB": ("callers", 40, make_length_head(2_000_000_000), PART, 256),
    "chunks above the limit": ("callers", 40, CHUNKED, make_chunk(PART), 256),
    "chunk extension": ("callers", 40, CHUNKED + b"1;a=", PART, 128),
    "empty lines": ("callers", 40, b"", b"\r\n" * 32_768, 128),
    "short header lines": ("callers", 40, HEAD, b"A: b\r\n" * 10_000, 128),
    "idle connections": ("callers", 600, b"", b"", 0),
    "idle connections to peers": ("peers", 600, b"", b"", 0),
    "pipelined requests": ("callers", 40, b"", (HEAD + b"\r\n") * 100, 100),
}


class Entry:
    """Entry process with an endpoint process, a store and their files."""

    def __init__(self, directory, n_descriptors=N_DESCRIPTORS):
        self.directory = directory
        self.n_descriptors = n_descriptors
        self.store = StoreServer()
        self.reservations = PortReservations()
        names = ("callers", "readiness", "metrics", "peers")
        self.port_by_name = {name: self.reservations.reserve() for name in names}
        self.processes = []
        self._writers = []

    async def __aenter__(self):
        await self.store.start(HOST)
        routing = {"version": 1, "limits": LIMITS}
        self.store.put("routing", "current", json.dumps(routing).encode())
        address_by_name = {n: f"{HOST}:{p}" for n, p in self.port_by_name.items()}
        settings = {
            "instance_id": "e",
            "failure_domain": "north",
            "shared_secret": "a-secret-of-sixteen-characters",
            "store": f"{HOST}:{self.store.port}",
            "agent_port": 1,
            "memory_mb": MEMORY_MB,
            "max_descriptors": self.n_descriptors,
            **address_by_name,
        }
        path = self.directory / "entry.json5"
        path.write_text(json.dumps(settings))
        await self._start("-m", "soak.entry", str(path))
        await self._start(
            *("-m", "soak.endpoint", "--id=x1", f"--host={HOST}", "--domain=north"),
            *(f"--port={self.reservations.reserve()}", "--notes=/dev/null"),
            f"--store={HOST}:{self.store.port}",
        )
        async with asyncio.timeout(START_S):
            while await self.request() != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.2)
        return self

    async def __aexit__(self, *error):
        self.disconnect_clients()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        # The store stops when its long polls have ended.
        for table in (Codec.routing_table, ENDPOINTS_TABLE, CRASH_TABLE):
            self.store.put(table, "end", b"")
        await self.store.stop()
        self.reservations.close()

    async def _start(self, *arguments):
        with (self.directory / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=log, stderr=log
            )
        self.processes.append(process)

    async def request(self):
        """Send one ordinary request; return its status, 0 if it is not answered."""
        url = f"http://{HOST}:{self.port_by_name['callers']}/any/x"
        headers = {"Host": HOST_NAME, "Attempt": "t", "Remaining": "3000"}
        timeout = aiohttp.ClientTimeout(total=30)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=b"ordinary", headers=headers) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    async def send(self, name, n_clients, first, repeated, n_repeats):
        """Send from all clients; their connections stay open."""

        async def run_client():
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(SENDING_S):
                    _, writer = await asyncio.open_connection(
                        HOST, self.port_by_name[name]
                    )
                    self._writers.append(writer)
                    writer.write(first)
                    for _ in range(n_repeats):
                        writer.write(repeated)
                        await writer.drain()

        await asyncio.gather(*(run_client() for _ in range(n_clients)))

    def disconnect_clients(self):
        """Abort the connections of all clients."""
        while self._writers:
            self._writers.pop().transport.abort()

    def check(self):
        """Check that the entry is alive and within its machine."""
        entry = self.processes[0]
        assert entry.returncode is None
        process = pathlib.Path(f"/proc/{entry.pid}")
        status = process.joinpath("status").read_text().splitlines()
        fields = dict(line.split(":", 1) for line in status)
        peak_mb = int(fields["VmHWM"].split()[0]) / 1000
        resident_mb = int(fields["VmRSS"].split()[0]) / 1000
        n_descriptors = len(os.listdir(process / "fd"))
        print(f"{peak_mb=} {resident_mb=} {n_descriptors=}")
        assert peak_mb < MEMORY_MB
        assert n_descriptors < self.n_descriptors
        return resident_mb


async def request_repeatedly(entry):
    """Return the status of an ordinary request, which its caller retries once.

    The caller waits for a second in between.
    """
    for _ in range(2):
        status = await entry.request()
        if status == 200:
            break
        await asyncio.sleep(1)
    return status


@pytest.mark.parametrize("kind", CLIENTS)
def test_entry_outlasts_clients_that_exceed_its_limits(kind, tmp_path):
    """Guards against an entry that these clients end, fill or block."""
    n_descriptors = N_FEW_DESCRIPTORS if "idle" in kind else N_DESCRIPTORS

    async def main():
        async with Entry(tmp_path, n_descriptors) as entry:
            await entry.send(*CLIENTS[kind])
            status = await request_repeatedly(entry)
            entry.check()
            assert status == 200
            entry.disconnect_clients()
            assert await request_repeatedly(entry) == 200
            entry.check()

    asyncio.run(main())


def test_memory_is_released_after_each_series_of_clients(tmp_path):
    """Guards against memory that such clients leave occupied after they have gone."""

    async def main():
        async with Entry(tmp_path) as entry:
            resident_mb = entry.check()
            for _ in range(N_SERIES):
                for kind in ("header line", "trailers", "open chunked body"):
                    name, n_clients, *parts = CLIENTS[kind]
                    await entry.send(name, n_clients // 4, *parts)
                    entry.disconnect_clients()
                assert await request_repeatedly(entry) == 200
            await asyncio.sleep(3)
            assert entry.check() < resident_mb + MARGIN_MB

    asyncio.run(main())
