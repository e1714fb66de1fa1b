"""One seeded run: processes, injected faults, callers and the checked guarantees."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import aiohttp

from bluebellusher.links import open_session
from bluebellusher_standins.cluster import PortReservations
from soak.endpoint import POISON
from soak.entry import HOST_NAME, make_prefix
from soak.store import StoreServer

HOST = "127.0.0.1"
DOMAINS = ("north", "south", "west")
N_ENTRIES = 3
N_ENDPOINTS = 6
N_CALLERS = 6
# The users' platform blocks a request after its third crash and allows at most three
# late runs of it. A run is late if it started more than 3,000 ms after that crash, and
# its entry had been running, and could reach the store, in the 3,000 ms before the
# caller sent the request.
N_CRASHES_TO_BLOCK = 3
N_MAX_LATE_RUNS = 3
MIN_CONTACT_MS = 3_000
# Time in ms after which a configuration must be in force on entries in contact.
CONFIG_APPLY_MS = 2_000
# Time in seconds within which the operator writes the configuration again that a
# restored store has lost.
MAX_REWRITE_S = 0.5
# Methods of the callers' requests; an answer to HEAD would have no body to check.
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
# Time in seconds in which callers still send requests after the last fault.
SETTLE_S = 5.0
START_POLL_S = 0.2
CALLER_TIMEOUT_S = 5.0
# Time in seconds that an entry has for its shutdown after SIGTERM.
SHUTDOWN_GRACE_S = 6


def _make_entry_command(path: pathlib.Path) -> Callable[[int], list[str]]:
    """Return a function that makes the arguments of an entry process.

    They are the same for every start.
    """
    return lambda _n_starts: ["-m", "soak.entry", str(path)]


def now_ms() -> int:
    """Return Unix time in milliseconds, a clock that all processes here share."""
    return time.time_ns() // 1_000_000


@dataclass
class Process:
    """One process and its restarts.

    ``make_command`` returns the arguments of the Python interpreter for the given
    number of the start, counted from 1. Output of all starts is appended to ``log``.
    """

    name: str
    make_command: Callable[[int], list[str]]
    log: pathlib.Path
    n_starts: int = 0
    started_at_ms: list[int] = field(default_factory=list)
    ended_at_ms: list[int] = field(default_factory=list)
    handle: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and record the time."""
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
        """Send a signal, unless the process has not started or has ended."""
        if self.handle is not None and self.handle.returncode is None:
            self.handle.send_signal(number)

    async def wait(self) -> None:
        """Wait until the process ends and record the time."""
        assert self.handle is not None
        await self.handle.wait()
        self.ended_at_ms.append(now_ms())


@dataclass
class Call:
    """One request of a caller and its answer.

    A ``status`` of 0 stands for a connection that broke before the answer was whole;
    ``answer`` is then the name of the exception.
    """

    attempt: str
    entry: str
    path: str
    sent_at_ms: int
    body: bytes
    status: int = 0
    answer: bytes = b""


@dataclass
class Report:
    """Counts and violations of one run.

    ``n_poison_runs`` counts all runs of the poison request, and ``n_late_runs`` those
    that the entries should have prevented.
    """

    seed: int
    faults: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    n_poison_runs: int = 0
    n_late_runs: int = 0
    violations: list[str] = field(default_factory=list)


class Soak:
    """One run of entries, endpoints and callers with injected faults.

    Parameters
    ----------
    seed : int
        Seed of the random choice of faults and requests.
    directory : pathlib.Path
        Folder in which settings, logs and the notes of runs are written.
    seconds : float
        Time in seconds in which faults are injected. Start and end take extra time.

    Attributes
    ----------
    faults : list of (str, callable)
        Names and functions of the faults from which one is chosen each time. Tests may
        remove some.
    """

    def __init__(self, seed: int, directory: pathlib.Path, seconds: float) -> None:
        self.report = Report(seed)
        self._random = Random(seed)
        self._directory = directory
        self._seconds = seconds
        self._store = StoreServer()
        self._store_outages_ms: list[tuple[int, int]] = []
        self._freezes_ms: dict[str, list[tuple[int, int]]] = {}
        self._config_version = 0
        self._config_written_at_ms: list[int] = []
        self._expected_calls: list[Call] = []
        self._calls: list[Call] = []
        self._entries: dict[str, Process] = {}
        self._endpoints: list[Process] = []
        self._reservations = PortReservations()
        self._ports_by_entry: dict[str, list[int]] = {}
        self._is_finished = False
        self.faults: list[tuple[str, Callable[[], Awaitable[None]]]] = [
            ("kill-entry", self._kill_entry),
            ("kill-all-entries", self._kill_all_entries),
            ("stop-entry", self._stop_entry),
            ("freeze-entry", self._freeze_entry),
            ("kill-endpoint", self._kill_endpoint),
            ("leave-endpoint", self._terminate_endpoint),
            ("store-away", self._interrupt_store),
            ("store-restored", self._restore_store),
        ]

    async def run(self) -> Report:
        """Run all processes and callers under faults, and check the guarantees.

        Raises ``TimeoutError`` if the entries do not answer within 60 seconds.
        """
        await self._store.start(HOST)
        self._change_configuration()
        self._make_processes()
        processes = [*self._entries.values(), *self._endpoints]
        supervisors = [asyncio.create_task(self._supervise(p)) for p in processes]
        try:
            async with asyncio.timeout(60):
                await self._wait_until_entries_answer()
            callers = [
                asyncio.create_task(self._run_caller(i)) for i in range(N_CALLERS)
            ]
            callers.append(asyncio.create_task(self._send_poison()))
            callers.append(asyncio.create_task(self._send_to_new_routes()))
            operator_task = asyncio.create_task(self._change_configurations())
            fault_task = asyncio.create_task(self._inject_faults())
            await asyncio.sleep(self._seconds)
            fault_task.cancel()
            self._store.is_unavailable = False
            for process in processes:
                process.send(signal.SIGCONT)
            await asyncio.sleep(SETTLE_S)
            operator_task.cancel()
            self._is_finished = True
            await asyncio.gather(*callers)
        finally:
            self._is_finished = True
            await self._end_processes(supervisors)
            await self._store.stop()
            self._reservations.close()
        self._check_guarantees()
        return self.report

    async def _end_processes(self, supervisors: list[asyncio.Task[None]]) -> None:
        """Kill all processes until every supervisor has ended.

        The signals are repeated, because a supervisor may be starting a process.
        """
        running = set(supervisors)
        while running:
            for process in (*self._entries.values(), *self._endpoints):
                process.send(signal.SIGCONT)
                process.send(signal.SIGKILL)
            _, running = await asyncio.wait(running, timeout=START_POLL_S)

    def _make_processes(self) -> None:
        for i in range(N_ENTRIES):
            name = f"entry-{i}"
            ports = [self._reservations.reserve() for _ in range(3)]
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
                "shutdown_grace_s": SHUTDOWN_GRACE_S,
            }
            path = self._directory / f"{name}.json5"
            path.write_text(json.dumps(settings))
            command = _make_entry_command(path)
            log = self._directory / f"{name}.log"
            self._entries[name] = Process(name, command, log)
        for i in range(N_ENDPOINTS):
            port = self._reservations.reserve()
            self._endpoints.append(self._make_endpoint(i, port))

    def _make_endpoint(self, number: int, port: int) -> Process:
        def make_command(n_starts: int) -> list[str]:
            # Endpoints with an odd number keep their id over restarts. The others get
            # a new one at each start.
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

    async def _supervise(self, process: Process) -> None:
        """Start a process and restart it whenever it ends, after a random delay."""
        while not self._is_finished:
            await process.start()
            await process.wait()
            await asyncio.sleep(self._random.uniform(0.2, 1.5))

    async def _wait_until_entries_answer(self) -> None:
        pending = list(self._entries)
        while pending:
            call = await self._send_on_new_connection(pending[0], "/any/start")
            if call.status == 200:
                pending.pop(0)
            else:
                await asyncio.sleep(START_POLL_S)
        self._calls.clear()

    # Callers.

    async def _run_caller(self, number: int) -> None:
        random = Random(f"{self.report.seed}.{number}")
        sessions: dict[str, aiohttp.ClientSession] = {}
        while not self._is_finished:
            entry = random.choice(list(self._entries))
            path = random.choice(["/any/", "/once/"]) + str(random.randrange(50))
            body = random.randbytes(8).hex().encode()
            method = random.choice(METHODS)
            await self._send_request(entry, method, path, body, sessions)
            await asyncio.sleep(random.uniform(0.005, 0.06))
        for session in sessions.values():
            await session.close()

    async def _send_poison(self) -> None:
        random = Random(f"{self.report.seed}.poison")
        while not self._is_finished:
            entry = random.choice(list(self._entries))
            await self._send_on_new_connection(entry, "/once/poison", POISON)
            await asyncio.sleep(random.uniform(0.1, 0.6))

    async def _send_request(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes,
        sessions: dict[str, aiohttp.ClientSession],
    ) -> Call:
        """Send a request to an entry and record it with its answer.

        Sessions by entry are taken from ``sessions`` or added there. The session of a
        request that got no answer is closed and removed.
        """
        attempt = f"{len(self._calls)}.{self._random.randrange(1 << 30):x}"
        call = Call(attempt, entry, path, now_ms(), body)
        self._calls.append(call)
        session = sessions.get(entry)
        if session is None:
            session = sessions[entry] = open_session()
        headers = {"Host": HOST_NAME, "Attempt": attempt, "Remaining": "3000"}
        url = f"http://{HOST}:{self._ports_by_entry[entry][0]}{path}"
        timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
        try:
            async with session.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as response:
                call.answer = await response.read()
                call.status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            call.answer = type(error).__name__.encode()
        if not call.status:
            await sessions.pop(entry).close()
        return call

    async def _send_on_new_connection(
        self, entry: str, path: str, body: bytes = b""
    ) -> Call:
        """Send a POST request on a new connection, and close the connection."""
        sessions: dict[str, aiohttp.ClientSession] = {}
        call = await self._send_request(entry, "POST", path, body, sessions)
        for session in sessions.values():
            await session.close()
        return call

    # Operator.

    def _change_configuration(self) -> None:
        """Write the next configuration version, which adds a route."""
        self._config_version += 1
        self._config_written_at_ms.append(now_ms())
        self._write_configuration()

    def _write_configuration(self) -> None:
        self._store.put("routing", "current", str(self._config_version).encode())

    async def _change_configurations(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.3, 2.0))
            if not self._store.is_unavailable:
                self._change_configuration()

    async def _send_to_new_routes(self) -> None:
        """Send requests to the newest route that all entries must have in force."""
        random = Random(f"{self.report.seed}.routes")
        while not self._is_finished:
            latest_ms = now_ms() - CONFIG_APPLY_MS
            version = sum(at_ms < latest_ms for at_ms in self._config_written_at_ms)
            if version:
                entry = random.choice(list(self._entries))
                path = make_prefix(version) + "x"
                call = await self._send_on_new_connection(entry, path)
                self._expected_calls.append(call)
            await asyncio.sleep(0.05)

    # Faults.

    async def _inject_faults(self) -> None:
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
        frozen_at_ms = now_ms()
        entry.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(self._random.uniform(0.5, 2.5))
        finally:
            entry.send(signal.SIGCONT)
            freezes = self._freezes_ms.setdefault(entry.name, [])
            freezes.append((frozen_at_ms, now_ms()))

    async def _kill_endpoint(self) -> None:
        self._random.choice(self._endpoints).send(signal.SIGKILL)

    async def _terminate_endpoint(self) -> None:
        self._random.choice(self._endpoints).send(signal.SIGTERM)

    async def _interrupt_store(self) -> None:
        outage_start_ms = now_ms()
        self._store.is_unavailable = True
        try:
            await asyncio.sleep(self._random.uniform(0.5, 3.0))
        finally:
            self._store.is_unavailable = False
            self._store_outages_ms.append((outage_start_ms, now_ms()))

    async def _restore_store(self) -> None:
        """Interrupt the store, and let it return from a copy of its rows."""
        outage_start_ms = now_ms()
        self._store.is_unavailable = True
        try:
            await asyncio.sleep(self._random.uniform(0.2, 3.0))
        finally:
            self._store.restore(self._random.uniform(1.0, 18.0))
            self._store.is_unavailable = False
            self._store_outages_ms.append((outage_start_ms, now_ms()))
            # Also when the faults have ended meanwhile.
            asyncio.get_running_loop().call_later(
                self._random.uniform(0.0, MAX_REWRITE_S), self._write_configuration
            )

    # Guarantees.

    def _check_guarantees(self) -> None:
        path = self._directory / "notes.jsonl"
        notes = [json.loads(line) for line in path.read_text().splitlines()]
        n_runs = Counter(note["attempt"] for note in notes)
        for call in self._calls:
            self.report.statuses[call.status] += 1
            if call.status == 200 and call.answer != call.attempt.encode():
                self._add_violation(call, "received the answer of another request")
            if not call.path.startswith("/once/"):
                continue
            if n_runs[call.attempt] > 1:
                self._add_violation(call, f"ran {n_runs[call.attempt]} times")
            if call.status in (429, 503) and n_runs[call.attempt]:
                self._add_violation(call, "rejected as not run, although it ran")
        for call in self._expected_calls:
            if call.status == 404 and self._had_contact(call):
                self._add_violation(call, "a route is missing that was added before")
        self._check_poison([note for note in notes if note["kind"] == "poison"])

    def _check_poison(self, runs: list[dict[str, str]]) -> None:
        runs.sort(key=lambda note: int(note["at_ms"]))
        self.report.n_poison_runs = len(runs)
        if len(runs) <= N_CRASHES_TO_BLOCK:
            return
        blocked_at_ms = int(runs[N_CRASHES_TO_BLOCK - 1]["at_ms"]) + MIN_CONTACT_MS
        call_by_attempt = {call.attempt: call for call in self._calls}
        late_calls = [
            call_by_attempt[note["attempt"]]
            for note in runs[N_CRASHES_TO_BLOCK:]
            if int(note["at_ms"]) > blocked_at_ms
        ]
        informed = [call for call in late_calls if self._had_contact(call)]
        self.report.n_late_runs = len(informed)
        if len(informed) > N_MAX_LATE_RUNS:
            self._add_violation(
                informed[-1],
                f"{len(informed)} late runs of poison request",
            )

    def _had_contact(self, call: Call) -> bool:
        """Return whether the entry of a call could have received the block in time.

        That is, the store was available in the last ``MIN_CONTACT_MS`` before the call,
        the entry was not frozen in this time, and it neither started nor ended from
        then until ``MIN_CONTACT_MS`` after the call.
        """
        contact_start_ms = call.sent_at_ms - MIN_CONTACT_MS
        process = self._entries[call.entry]
        was_running = not any(
            contact_start_ms <= at_ms <= call.sent_at_ms + MIN_CONTACT_MS
            for at_ms in (*process.started_at_ms, *process.ended_at_ms)
        )
        interruptions_ms = [
            *self._store_outages_ms,
            *self._freezes_ms.get(call.entry, ()),
        ]
        had_store = not any(
            start_ms <= call.sent_at_ms and end_ms >= contact_start_ms
            for start_ms, end_ms in interruptions_ms
        )
        return was_running and had_store

    def _add_violation(self, call: Call, description: str) -> None:
        self.report.violations.append(
            f"{description}: attempt={call.attempt} entry={call.entry} path={call.path}"
            f" status={call.status} sent_at_ms={call.sent_at_ms}"
        )


def set_python_path() -> None:
    """Set ``PYTHONPATH`` so that child processes import from this work tree."""
    paths = [path for path in sys.path if path]
    os.environ["PYTHONPATH"] = os.pathsep.join(dict.fromkeys([os.getcwd(), *paths]))
