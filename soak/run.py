"""One seeded run: processes, faults from outside, callers, and what must hold."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import aiohttp

from soak.endpoint import POISON
from soak.entry import HOST_NAME
from soak.store import StoreServer

HOST = "127.0.0.1"
DOMAINS = ("north", "south", "west")
N_ENTRIES = 3
N_ENDPOINTS = 6
N_CALLERS = 6
# What the users' platform allows: runs of a request after its third crash, sent by an
# entry that has run, and reached the store, for this long.
N_CRASHES_TO_BLOCK = 3
N_MAX_LATE_RUNS = 3
CONTACT_MS = 3_000
SETTLE_S = 4.0
START_POLL_S = 0.2
CALLER_TIMEOUT_S = 5.0
# An entry that is told to stop may take this long.
GRACE_S = 6


def find_free_ports(n_ports: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _make_entry_command(path: pathlib.Path) -> Callable[[int], list[str]]:
    """Return how an entry is started, each time in the same way."""
    return lambda _n_starts: ["-m", "soak.entry", str(path)]


def now_ms() -> int:
    """Return Unix time, which all processes of one machine share."""
    return time.time_ns() // 1_000_000


@dataclass
class Process:
    """One process, started again with the same command or with a new id."""

    name: str
    make_command: Callable[[int], list[str]]
    log: pathlib.Path
    n_starts: int = 0
    started_at_ms: list[int] = field(default_factory=list)
    ended_at_ms: list[int] = field(default_factory=list)
    handle: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        self.n_starts += 1
        self.started_at_ms.append(now_ms())
        with self.log.open("ab") as log:
            self.handle = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.make_command(self.n_starts),
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.handle is not None and self.handle.returncode is None:
            self.handle.send_signal(number)

    async def wait(self) -> None:
        """Wait for the end."""
        assert self.handle is not None
        await self.handle.wait()
        self.ended_at_ms.append(now_ms())


@dataclass
class Call:
    """What a caller sent and what it got; status 0 is a broken connection."""

    attempt: str
    entry: str
    path: str
    sent_at_ms: int
    body: bytes
    status: int = 0
    answer: bytes = b""


@dataclass
class Report:
    """Outcome of a run."""

    seed: int
    faults: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    n_poison_runs: int = 0
    n_late_runs: int = 0
    violations: list[str] = field(default_factory=list)


class Soak:
    """One run.

    Parameters
    ----------
    seed : int
        Chooses faults and requests.
    directory : pathlib.Path
        Takes settings, logs and notes.
    seconds : float
        Length, without start and end.

    Attributes
    ----------
    faults : list of (str, callable)
        What is chosen from; a test may take some out.
    """

    def __init__(self, seed: int, directory: pathlib.Path, seconds: float) -> None:
        self.report = Report(seed)
        self._random = Random(seed)
        self._directory = directory
        self._seconds = seconds
        self._store = StoreServer()
        self._store_away_ms: list[tuple[int, int]] = []
        self._calls: list[Call] = []
        self._entries: dict[str, Process] = {}
        self._endpoints: list[Process] = []
        self._ports_by_entry: dict[str, list[int]] = {}
        self._is_over = False
        self.faults: list[tuple[str, Callable[[], Awaitable[None]]]] = [
            ("kill-entry", self._kill_entry),
            ("kill-all-entries", self._kill_all_entries),
            ("stop-entry", self._stop_entry),
            ("freeze-entry", self._freeze_entry),
            ("kill-endpoint", self._kill_endpoint),
            ("leave-endpoint", self._leave_endpoint),
            ("store-away", self._lose_store),
        ]

    async def run(self) -> Report:
        """Play, and check what must hold."""
        await self._store.start(HOST)
        self._store.put("routing", "current", b"1")
        self._make_processes()
        processes = [*self._entries.values(), *self._endpoints]
        keepers = [asyncio.create_task(self._keep(p)) for p in processes]
        try:
            async with asyncio.timeout(60):
                await self._wait_until_served()
            callers = [
                asyncio.create_task(self._call_often(i)) for i in range(N_CALLERS)
            ]
            callers.append(asyncio.create_task(self._send_poison()))
            faults = asyncio.create_task(self._disturb())
            await asyncio.sleep(self._seconds)
            faults.cancel()
            self._store.is_away = False
            for process in processes:
                process.send(signal.SIGCONT)
            await asyncio.sleep(SETTLE_S)
            self._is_over = True
            await asyncio.gather(*callers)
        finally:
            self._is_over = True
            await self._end_processes(keepers)
            await self._store.stop()
        self._check()
        return self.report

    async def _end_processes(self, keepers: list[asyncio.Task[None]]) -> None:
        """End every process, also one that is being started just now."""
        running = set(keepers)
        while running:
            for process in (*self._entries.values(), *self._endpoints):
                process.send(signal.SIGCONT)
                process.send(signal.SIGKILL)
            _, running = await asyncio.wait(running, timeout=START_POLL_S)

    def _make_processes(self) -> None:
        for i in range(N_ENTRIES):
            name = f"entry-{i}"
            ports = find_free_ports(3)
            self._ports_by_entry[name] = ports
            settings = {
                "instance_id": name,
                "failure_domain": DOMAINS[i % len(DOMAINS)],
                "shared_secret": "a-secret-of-sixteen-characters",
                "callers": f"{HOST}:{ports[0]}",
                "readiness": f"{HOST}:{ports[1]}",
                "peers": f"{HOST}:{ports[2]}",
                "store": f"{HOST}:{self._store.port}",
                "agent_port": 1,
                "shutdown_grace_s": GRACE_S,
            }
            path = self._directory / f"{name}.json5"
            path.write_text(json.dumps(settings))
            command = _make_entry_command(path)
            log = self._directory / f"{name}.log"
            self._entries[name] = Process(name, command, log)
        for i, port in enumerate(find_free_ports(N_ENDPOINTS)):
            self._endpoints.append(self._make_endpoint(i, port))

    def _make_endpoint(self, number: int, port: int) -> Process:
        def make_command(n_starts: int) -> list[str]:
            # Some start again under the id that they had.
            suffix = "" if number % 2 else f".{n_starts}"
            return [
                "-m",
                "soak.endpoint",
                f"--id=x{number}{suffix}",
                f"--host={HOST}",
                f"--port={port}",
                f"--domain={DOMAINS[number % len(DOMAINS)]}",
                f"--store={HOST}:{self._store.port}",
                f"--notes={self._directory / 'notes.jsonl'}",
            ]

        name = f"endpoint-{number}"
        return Process(name, make_command, self._directory / f"{name}.log")

    async def _keep(self, process: Process) -> None:
        """Start a process again whenever it has ended."""
        while not self._is_over:
            await process.start()
            await process.wait()
            await asyncio.sleep(self._random.uniform(0.2, 1.5))

    async def _wait_until_served(self) -> None:
        waiting = list(self._entries)
        while waiting:
            call = await self._call_once(waiting[0], "/any/start", b"")
            if call.status == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(START_POLL_S)
        self._calls.clear()

    # Callers.

    async def _call_often(self, number: int) -> None:
        random = Random(f"{self.report.seed}.{number}")
        sessions: dict[str, aiohttp.ClientSession] = {}
        while not self._is_over:
            entry = random.choice(list(self._entries))
            path = random.choice(["/any/", "/once/"]) + str(random.randrange(50))
            body = random.randbytes(8).hex().encode()
            await self._call(entry, path, body, sessions)
            await asyncio.sleep(random.uniform(0.005, 0.06))
        for session in sessions.values():
            await session.close()

    async def _send_poison(self) -> None:
        random = Random(f"{self.report.seed}.poison")
        while not self._is_over:
            entry = random.choice(list(self._entries))
            await self._call_once(entry, "/once/poison", POISON)
            await asyncio.sleep(random.uniform(0.1, 0.6))

    async def _call(
        self,
        entry: str,
        path: str,
        body: bytes,
        sessions: dict[str, aiohttp.ClientSession],
    ) -> Call:
        """Send a request; connections in ``sessions`` are kept until they break."""
        attempt = f"{len(self._calls)}.{self._random.randrange(1 << 30):x}"
        call = Call(attempt, entry, path, now_ms(), body)
        self._calls.append(call)
        session = sessions.get(entry)
        if session is None:
            session = sessions[entry] = aiohttp.ClientSession()
        headers = {"Host": HOST_NAME, "Attempt": attempt, "Remaining": "3000"}
        url = f"http://{HOST}:{self._ports_by_entry[entry][0]}{path}"
        timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
        try:
            async with session.post(
                url, data=body, headers=headers, timeout=timeout
            ) as response:
                call.answer = await response.read()
                call.status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            call.answer = type(error).__name__.encode()
        if not call.status:
            await sessions.pop(entry).close()
        return call

    async def _call_once(self, entry: str, path: str, body: bytes) -> Call:
        """Send a request on a connection of its own."""
        sessions: dict[str, aiohttp.ClientSession] = {}
        call = await self._call(entry, path, body, sessions)
        for session in sessions.values():
            await session.close()
        return call

    # Faults.

    async def _disturb(self) -> None:
        while self.faults:
            await asyncio.sleep(self._random.uniform(0.3, 2.0))
            name, fault = self._random.choice(self.faults)
            self.report.faults[name] += 1
            await fault()

    def _choose_entry(self) -> Process:
        return self._random.choice(list(self._entries.values()))

    async def _kill_entry(self) -> None:
        self._choose_entry().send(signal.SIGKILL)

    async def _kill_all_entries(self) -> None:
        for entry in self._entries.values():
            entry.send(signal.SIGKILL)

    async def _stop_entry(self) -> None:
        self._choose_entry().send(signal.SIGTERM)

    async def _freeze_entry(self) -> None:
        entry = self._choose_entry()
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.5, 2.5))
        entry.send(signal.SIGCONT)

    async def _kill_endpoint(self) -> None:
        self._random.choice(self._endpoints).send(signal.SIGKILL)

    async def _leave_endpoint(self) -> None:
        self._random.choice(self._endpoints).send(signal.SIGTERM)

    async def _lose_store(self) -> None:
        begun_ms = now_ms()
        self._store.is_away = True
        try:
            await asyncio.sleep(self._random.uniform(0.5, 3.0))
        finally:
            self._store.is_away = False
            self._store_away_ms.append((begun_ms, now_ms()))

    # Promises.

    def _check(self) -> None:
        path = self._directory / "notes.jsonl"
        notes = [json.loads(line) for line in path.read_text().splitlines()]
        n_runs = Counter(note["attempt"] for note in notes)
        for call in self._calls:
            self.report.statuses[call.status] += 1
            if call.status == 200 and call.answer != call.attempt.encode():
                self._violate(call, "answer of another request")
            if not call.path.startswith("/once/"):
                continue
            if n_runs[call.attempt] > 1:
                self._violate(call, f"ran {n_runs[call.attempt]} times")
            if call.status in (429, 503) and n_runs[call.attempt]:
                self._violate(call, "refused as not run, and has run")
        self._check_poison([note for note in notes if note["kind"] == "poison"])

    def _check_poison(self, runs: list[dict[str, str]]) -> None:
        runs.sort(key=lambda note: int(note["at_ms"]))
        self.report.n_poison_runs = len(runs)
        if len(runs) <= N_CRASHES_TO_BLOCK:
            return
        since_ms = int(runs[N_CRASHES_TO_BLOCK - 1]["at_ms"]) + CONTACT_MS
        call_by_attempt = {call.attempt: call for call in self._calls}
        late = [
            call_by_attempt[note["attempt"]]
            for note in runs[N_CRASHES_TO_BLOCK:]
            if int(note["at_ms"]) > since_ms
        ]
        in_touch = [call for call in late if self._was_in_touch(call)]
        self.report.n_late_runs = len(in_touch)
        if len(in_touch) > N_MAX_LATE_RUNS:
            self._violate(in_touch[-1], f"{len(in_touch)} late runs of poison")

    def _was_in_touch(self, call: Call) -> bool:
        """Return whether an entry had run and reached the store for long enough."""
        since_ms = call.sent_at_ms - CONTACT_MS
        process = self._entries[call.entry]
        has_run = not any(
            since_ms <= at_ms <= call.sent_at_ms + CONTACT_MS
            for at_ms in (*process.started_at_ms, *process.ended_at_ms)
        )
        has_store = not any(
            begun <= call.sent_at_ms and ended >= since_ms
            for begun, ended in self._store_away_ms
        )
        return has_run and has_store

    def _violate(self, call: Call, what: str) -> None:
        self.report.violations.append(
            f"{what}: attempt={call.attempt} entry={call.entry} path={call.path}"
            f" status={call.status} sent_at_ms={call.sent_at_ms}"
        )


def make_environment() -> None:
    """Let child processes find the sources of this work tree."""
    paths = [path for path in sys.path if path]
    os.environ["PYTHONPATH"] = os.pathsep.join(dict.fromkeys([os.getcwd(), *paths]))
