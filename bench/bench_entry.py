"""Processor time of an entry per relayed token, and its memory and load when idle."""

import asyncio
import json
import os
import pathlib

import aiohttp

from bench.report import print_figure
from bluebellusher_standins.cluster import Cluster, ManagedProcess

IDLE_S = 10.0
N_STREAMS = 64
N_TOKENS = 200
N_ENGINES = 4
HEADERS = {"Authorization": "Bearer key-of-c1"}
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid: int) -> float:
    """Return the user and system time of a process, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes of 1,000,000 bytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024 / 1e6


async def send_streams(entry: ManagedProcess) -> None:
    """Send ``N_STREAMS`` concurrent streaming requests and read the answers.

    Raises ``RuntimeError`` if a stream ends without its last event.
    """
    url = f"http://127.0.0.1:{entry.port}/v1/chat/completions"
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(headers=HEADERS, connector=connector) as session:

        async def send(number: int) -> None:
            message = {"role": "user", "content": f"question {number}"}
            body = {"model": "model-a", "messages": [message], "stream": True}
            data = json.dumps({**body, "max_tokens": N_TOKENS})
            async with session.post(url, data=data) as answer:
                text = await answer.read()
            if not text.endswith(b"data: [DONE]\n\n"):
                raise RuntimeError(f"stream {number} is incomplete: {text[-200:]!r}")

        await asyncio.gather(*(send(number) for number in range(N_STREAMS)))


async def measure() -> None:
    """Start a deployment on this machine and print the figures of one entry.

    The first batch of streams is a warm-up that is not measured.
    """
    async with Cluster() as cluster:
        await cluster.start_platform()
        for number in range(N_ENGINES):
            name = f"engine-{number + 1}"
            await cluster.start_engine(name, "a", n_slots=32, token_interval_ms=20)
        ports = cluster.reserve_peer_ports(2)
        entry, _ = [
            await cluster.start_entry(f"entry-{i}", "a", port, log_level="info")
            for i, port in enumerate(ports)
        ]
        await entry.wait_for("event=peer-connected")
        started_s = read_cpu_s(entry.pid)
        await asyncio.sleep(IDLE_S)
        idle_share = (read_cpu_s(entry.pid) - started_s) / IDLE_S
        print_figure("entry.idle_memory", read_memory_mb(entry.pid), "MB", "<=32")
        print_figure("entry.idle_cpu", 100 * idle_share, "%_of_core", "<=1.8")
        await send_streams(entry)
        started_s = read_cpu_s(entry.pid)
        await send_streams(entry)
        used_s = read_cpu_s(entry.pid) - started_s
        n_events = N_STREAMS * N_TOKENS
        print_figure("entry.cpu_per_token_event", 1e6 * used_s / n_events, "us")
        print_figure("entry.memory_after_load", read_memory_mb(entry.pid), "MB")


def main() -> None:
    """Run the measurement in an event loop."""
    asyncio.run(measure())


if __name__ == "__main__":
    main()
