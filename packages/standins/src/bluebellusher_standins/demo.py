"""Demonstration of a deployment of separate processes on the loopback interface.

Run it with ``make demo``. It starts the platform stand-in, 4 entries in 3 failure
domains, 4 engines and a plain service with their agents. It then shows how requests are
handled while an engine is drained and while another is killed, and stops all processes.
The exit code is 0 only if every printed expectation is met.
"""

import asyncio
import json
import pathlib
import signal
import sys
import time
from collections import Counter

import aiohttp

from bluebellusher_standins.cluster import Cluster, ManagedProcess
from bluebellusher_standins.engine import compute_expected_answer

DOMAIN_BY_ENTRY = {
    "entry-1": "obihiro",
    "entry-2": "obihiro",
    "entry-3": "otofuke",
    "entry-4": "memuro",
}
DOMAIN_BY_ENGINE = {
    "engine-1": "obihiro",
    "engine-2": "obihiro",
    "engine-3": "otofuke",
    "engine-4": "memuro",
}
HEADERS = {"Authorization": "Bearer key-of-c1"}
MODEL_PATH = "/v1/chat/completions"
BOOKING_PATH = "/services/order-desk/bookings"
RULES = pathlib.Path("examples/rules/tokachi.rules")


class Demo:
    """Steps of the demonstration, with the number of expectations that failed."""

    def __init__(self, cluster: Cluster, session: aiohttp.ClientSession) -> None:
        self.cluster = cluster
        self.session = session
        self.n_failed = 0

    def print_line(self, text: str) -> None:
        """Print an indented line."""
        print(f"  {text}", flush=True)

    def expect(self, is_met: bool, text: str) -> None:
        """Print an expectation and whether it is met; count the ones that are not."""
        self.n_failed += 0 if is_met else 1
        print(f"  [{'ok' if is_met else 'FAILED'}] {text}", flush=True)

    def process(self, name: str) -> ManagedProcess:
        """Return the process with the given name."""
        return self.cluster.process_by_name[name]

    def url(self, entry: str, path: str) -> str:
        """Return the URL of a path at an entry."""
        return f"http://127.0.0.1:{self.process(entry).port}{path}"

    async def start(self) -> None:
        """Start all processes and print their process ids and ports."""
        print("Starting 15 processes", flush=True)
        await self.cluster.start_platform()
        engines = [
            self.cluster.start_engine(name, domain, token_interval_ms=10)
            for name, domain in DOMAIN_BY_ENGINE.items()
        ]
        desk = self.cluster.start_plain_service("desk-1", "obihiro")
        await asyncio.gather(desk, *engines)
        ports = self.cluster.reserve_peer_ports(len(DOMAIN_BY_ENTRY))
        entries = [
            self.cluster.start_entry(name, domain, port)
            for (name, domain), port in zip(DOMAIN_BY_ENTRY.items(), ports, strict=True)
        ]
        await asyncio.gather(*entries)
        for name, process in self.cluster.process_by_name.items():
            self.print_line(f"{name:16} process {process.pid}, port {process.port}")

    async def show_streamed_request(self) -> None:
        """Send a streamed request and print its way through the processes."""
        print("A streamed request through all processes", flush=True)
        entry = self.process("entry-1")
        n_lines = len(entry.lines)
        body = make_body("What grows in Memuro?", 20)
        self.print_line(
            "1. the caller sends POST " + MODEL_PATH + " to entry-1 (obihiro)"
        )
        started = time.monotonic()
        first_ms = 0.0
        answer = b""
        async with self.session.post(self.url("entry-1", MODEL_PATH), data=body) as r:
            async for part in r.content.iter_any():
                first_ms = first_ms or (time.monotonic() - started) * 1000
                answer += part
        total_ms = (time.monotonic() - started) * 1000
        line = await entry.wait_for("span=attempt", n_lines)
        endpoint = read_field(line, "a_endpoint_id")
        attempt = read_field(line, "a_attempt_id")
        self.print_line(f"2. entry-1 chooses {endpoint} and sends Dispatch {attempt}")
        self.print_line(f"3. the agent of {endpoint} calls its engine over HTTP")
        self.print_line(
            "4. entry-1 receives batches of tokens and checks offset and CRC-32"
        )
        self.print_line(
            f"5. the caller receives the first token after {first_ms:.0f} ms"
        )
        self.print_line(
            f"6. the answer, {len(answer)} bytes, ends after {total_ms:.0f} ms"
        )
        self.print_line(f"   trace id of all processes: {read_field(line, 'trace_id')}")
        self.expect(
            answer == compute_expected_answer(body), "the answer has the expected bytes"
        )

    async def show_booking(self) -> None:
        """Send a request that is not idempotent twice with the same idempotency key."""
        print("A booking that must run only once", flush=True)
        body = b'{"room": 12, "night": "2027-02-14"}'
        headers = {"Idempotency-Key": "booking-77"}
        bodies = []
        for entry in ("entry-1", "entry-4"):
            url = self.url(entry, BOOKING_PATH)
            async with self.session.post(url, data=body, headers=headers) as answer:
                bodies.append(await answer.read())
                is_replayed = "x-replayed" in answer.headers
                text = "replayed the stored answer" if is_replayed else "ran it"
                self.print_line(
                    f"{entry} claimed key booking-77 in the table and {text}"
                )
            await self._wait_for_stored_answer()
        n_executions = await self._count_executions(body)
        self.print_line(f"the service reports {n_executions} execution(s)")
        self.expect(n_executions == 1, "the booking ran exactly once")
        self.expect(bodies[0] == bodies[1], "both callers received the same answer")

    async def _wait_for_stored_answer(self) -> None:
        """Poll the outcome until the claim is stored with the answer."""
        url = self.url("entry-2", "/v1/requests/booking-77")
        async with asyncio.timeout(10):
            while True:
                async with self.session.get(url) as answer:
                    if (await answer.json()).get("state") == "done":
                        return

    async def _count_executions(self, body: bytes) -> int:
        """Return how often the plain service executed a request with ``body``."""
        port = self.process("desk-1.service").port
        url = f"http://127.0.0.1:{port}/executions"
        async with self.session.get(url, params={"body": body.decode()}) as answer:
            return int((await answer.json())["n_executions"])

    async def show_drain(self) -> None:
        """Drain an endpoint while streams run on it."""
        print("A drain of engine-2 while streams run on it", flush=True)
        n_lines_by_entry = self._count_lines()
        streams = [asyncio.create_task(self._run_stream(i, 120)) for i in range(12)]
        await self._wait_for_attempts("engine-2")
        agent = self.process("engine-2")
        agent.signal(signal.SIGTERM)
        for entry in DOMAIN_BY_ENTRY:
            await self.process(entry).wait_for("event=agent-lost.*peer=engine-2")
        n_complete = sum(await asyncio.gather(*streams))
        attempt_counts = self._count_attempts(n_lines_by_entry)
        self.print_line("12 streams ran on " + format_counts(attempt_counts))
        self.expect(n_complete == 12, "every stream in progress was completed")
        self.expect(
            attempt_counts["engine-2"] > 0, "engine-2 had streams when its drain began"
        )
        n_lines_by_entry = self._count_lines()
        n_complete = sum(
            await asyncio.gather(*(self._run_stream(i, 5) for i in range(12)))
        )
        attempt_counts = self._count_attempts(n_lines_by_entry)
        self.print_line("12 new requests ran on " + format_counts(attempt_counts))
        self.expect(n_complete == 12, "every new request was answered")
        self.expect(attempt_counts["engine-2"] == 0, "none of them ran on engine-2")

    async def show_kill(self) -> None:
        """Kill an engine while streams run on it."""
        print(
            "A kill of the engine process of engine-3 while streams run on it",
            flush=True,
        )
        streams = [asyncio.create_task(self._run_stream(i, 120)) for i in range(12)]
        await self._wait_for_attempts("engine-3")
        self.process("engine-3.engine").signal(signal.SIGKILL)
        are_complete = await asyncio.gather(*streams)
        n_cut = are_complete.count(False)
        self.print_line(
            f"{are_complete.count(True)} streams completed, {n_cut} ended with an error"
        )
        self.expect(n_cut > 0, "the streams of engine-3 ended with an error event")
        self.expect(n_cut < 12, "the streams of the other engines completed")
        are_complete = list(
            await asyncio.gather(*(self._run_stream(i, 5) for i in range(12)))
        )
        self.expect(
            all(are_complete), "12 new requests were answered by the other engines"
        )

    async def _run_stream(self, number: int, n_tokens: int) -> bool:
        """Send a streamed request to an entry; return whether its answer is complete.

        An incomplete answer with the marker of a complete one is a failed expectation.
        """
        body = make_body(f"question {number}", n_tokens)
        entry = f"entry-{number % 4 + 1}"
        async with self.session.post(self.url(entry, MODEL_PATH), data=body) as answer:
            data = await answer.read()
        is_complete = data == compute_expected_answer(body)
        if not is_complete and b"data: [DONE]" in data:
            self.expect(False, "an incomplete answer has no marker of a complete one")
        return is_complete

    async def _wait_for_attempts(self, endpoint: str) -> None:
        """Wait until an entry reports attempts in progress at an endpoint."""
        headers = {"Authorization": "Bearer key-of-op"}
        async with asyncio.timeout(10):
            while True:
                for entry in DOMAIN_BY_ENTRY:
                    url = self.url(entry, "/admin/status")
                    async with self.session.get(url, headers=headers) as answer:
                        status = await answer.json()
                    is_busy = any(
                        e["endpoint_id"] == endpoint and e["n_started"]
                        for e in status["endpoints"]
                    )
                    if is_busy:
                        return

    def _count_lines(self) -> dict[str, int]:
        """Return the number of log lines of each entry."""
        return {name: len(self.process(name).lines) for name in DOMAIN_BY_ENTRY}

    def _count_attempts(self, n_lines_by_entry: dict[str, int]) -> Counter[str]:
        """Return the attempts by endpoint, from log lines after the given numbers."""
        counts: Counter[str] = Counter()
        for name, start in n_lines_by_entry.items():
            for line in self.process(name).lines[start:]:
                if "span=attempt" in line:
                    counts[read_field(line, "a_endpoint_id")] += 1
        return counts

    async def show_forecast(self) -> None:
        """Print the first lines of the forecast of next month's bill."""
        print("Forecast of next month's bill by the rules in " + str(RULES), flush=True)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "bluebellusher.cli", "rules", "forecast"),
            str(RULES),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        for line in output.decode().splitlines()[:16]:
            self.print_line(line)
        self.expect(process.returncode == 0, "the forecast succeeded")


def make_body(text: str, n_tokens: int) -> bytes:
    """Return the body of a request for a streamed answer of ``n_tokens`` tokens."""
    message = {"role": "user", "content": text}
    body = {"model": "model-a", "messages": [message], "stream": True}
    return json.dumps({**body, "max_tokens": n_tokens}).encode()


def read_field(line: str, name: str) -> str:
    """Return the value of a field in a log line; empty when it is absent."""
    for part in line.split():
        if part.startswith(name + "="):
            return part.removeprefix(name + "=")
    return ""


def format_counts(counts: Counter[str]) -> str:
    """Return the counts as text, ordered by name."""
    return ", ".join(f"{name}: {n}" for name, n in sorted(counts.items()))


async def run_demo() -> int:
    """Run all steps; return the number of expectations that failed."""
    timeout = aiohttp.ClientTimeout(total=20)
    async with (
        Cluster() as cluster,
        aiohttp.ClientSession(headers=HEADERS, timeout=timeout) as session,
    ):
        demo = Demo(cluster, session)
        await demo.start()
        await demo.show_streamed_request()
        await demo.show_booking()
        await demo.show_drain()
        await demo.show_kill()
        await demo.show_forecast()
        print("Stopping all processes", flush=True)
        for name in DOMAIN_BY_ENTRY:
            code = await demo.process(name).stop()
            demo.expect(code == 0, f"{name} exited with code 0 after SIGTERM")
    return demo.n_failed


def main() -> int:
    """Run the demonstration; return 0 only if every expectation is met."""
    started = time.monotonic()
    n_failed = asyncio.run(run_demo())
    duration_s = time.monotonic() - started
    verdict = "all expectations met" if not n_failed else f"{n_failed} failed"
    print(f"{verdict} after {duration_s:.1f} s", flush=True)
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())
