"""Deployments of real processes on the loopback interface, for tests and the demo."""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
from collections.abc import Mapping
from typing import Any, Self

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
SHARED_SECRET = "loopback-secret-of-a-test"
HOST = "127.0.0.1"


class PortReservations:
    """Ports that are reserved for processes that start later.

    Each port is bound, without listening, by a socket that allows address reuse. While
    it is bound, the kernel does not assign it to another process as a free port, but a
    server that names the port can listen on it.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a reserved port, on which only a server that names it can listen."""
        bound_socket = socket.socket()
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind((HOST, 0))
        self._sockets.append(bound_socket)
        return int(bound_socket.getsockname()[1])

    def close(self) -> None:
        """Release all reserved ports."""
        for bound_socket in self._sockets:
            bound_socket.close()


class ManagedProcess:
    """Child process with the lines of its output.

    ``port`` is the port on which the process listens, once it is known.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.lines: list[str] = []
        self.port = 0
        self._output_changed = asyncio.Condition()
        self._has_output_ended = False
        self._output_reader = asyncio.create_task(self._read_output())

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    async def wait_for(
        self, pattern: str, start: int = 0, timeout_s: float = START_TIMEOUT_S
    ) -> str:
        """Wait for a line that matches ``pattern`` and return it.

        The search begins at line index ``start``.

        Raises
        ------
        TimeoutError
            When no line matches within ``timeout_s`` seconds.
        EOFError
            When the process ends without a matching line.
        """
        expression = re.compile(pattern)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._find_line(expression, start)
        except TimeoutError:
            last_lines = "\n".join(self.lines[-20:])
            message = (
                f"{self.name}: no line matches {pattern!r}; last lines:\n{last_lines}"
            )
            raise TimeoutError(message) from None

    async def _find_line(self, expression: re.Pattern[str], start: int) -> str:
        """Return the first matching line; wait for further output if there is none."""
        while True:
            for line in self.lines[start:]:
                if expression.search(line):
                    return line
            if self._has_output_ended:
                raise EOFError(
                    f"{self.name} ended; no line matches {expression.pattern!r}"
                )
            start = max(start, len(self.lines))
            async with self._output_changed:
                if len(self.lines) == start and not self._has_output_ended:
                    await self._output_changed.wait()

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is still running."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> int:
        """End the process and return its exit code.

        SIGTERM is sent first, and SIGKILL if the process still runs after
        ``STOP_TIMEOUT_S``. SIGCONT makes sure that a suspended process handles SIGTERM.
        """
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
        return await self.wait()

    async def wait(self) -> int:
        """Wait until the process has ended and return its exit code.

        All lines of its output have then been read.
        """
        code = await self.process.wait()
        await self._output_reader
        return code

    async def _read_output(self) -> None:
        """Collect the lines of the output until it ends."""
        assert self.process.stdout is not None
        async for raw_line in self.process.stdout:
            self.lines.append(raw_line.decode(errors="replace").rstrip())
            async with self._output_changed:
                self._output_changed.notify_all()
        self._has_output_ended = True
        async with self._output_changed:
            self._output_changed.notify_all()


class Cluster:
    """Deployment of processes that are configured with each other's addresses.

    All processes are stopped when the context manager exits.

    Examples
    --------
    ::

        async with Cluster() as cluster:
            await cluster.start_platform()
            await cluster.start_engine("engine-1", "obihiro")
            entry = await cluster.start_entry("entry-1", "obihiro")
    """

    def __init__(self) -> None:
        self.process_by_name: dict[str, ManagedProcess] = {}
        self.agent_ports: list[int] = []
        self.peer_ports: list[int] = []
        self._reservations = PortReservations()
        self.platform_port = 0
        self.services: list[dict[str, Any]] = [
            {"service_id": "reply-writer", "kind": "model", "models": ["model-a"]},
            {"service_id": "order-desk", "kind": "plain"},
        ]
        self._directory = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        # Entries are stopped first, so that they finish their streams while the
        # endpoints still run.
        processes = self.process_by_name.values()
        entries = [p for p in processes if p.name.startswith("entry")]
        other_processes = [p for p in processes if not p.name.startswith("entry")]
        for group in (entries, other_processes):
            await asyncio.gather(*(process.stop() for process in group))
        self._directory.cleanup()
        self._reservations.close()

    async def start(self, name: str, module: str, *arguments: str) -> ManagedProcess:
        """Start ``python -m module`` and wait until it listens.

        Raises
        ------
        RuntimeError
            When the process ends or does not listen within ``START_TIMEOUT_S``.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
            limit=1024 * 1024,
        )
        managed = ManagedProcess(name, process)
        self.process_by_name[name] = managed
        try:
            line = await managed.wait_for("event=listening")
        except (EOFError, TimeoutError) as error:
            raise RuntimeError(
                f"{name}: {error}\n" + "\n".join(managed.lines)
            ) from None
        managed.port = int(line.split(" port=")[1].split()[0])
        return managed

    async def start_platform(self) -> ManagedProcess:
        """Start the platform stand-in."""
        managed = await self.start("platform", "bluebellusher_standins.platform")
        self.platform_port = managed.port
        return managed

    async def start_engine(
        self, name: str, domain: str, **options: object
    ) -> ManagedProcess:
        """Start an engine stand-in and its agent; return the agent.

        ``options`` are settings of the engine, as in ``EngineSettings``.
        """
        arguments = []
        for key, value in options.items():
            arguments += ["--" + key.replace("_", "-"), str(value)]
        module = "bluebellusher_standins.engine"
        engine = await self.start(f"{name}.engine", module, *arguments)
        return await self.start_agent(name, domain, engine.port, "model")

    async def start_plain_service(self, name: str, domain: str) -> ManagedProcess:
        """Start a plain service stand-in and its agent; return the agent."""
        module = "bluebellusher_standins.plain_service"
        service = await self.start(f"{name}.service", module)
        return await self.start_agent(name, domain, service.port, "plain")

    async def start_agent(
        self, name: str, domain: str, target_port: int, kind: str, port: int = 0
    ) -> ManagedProcess:
        """Start an agent for the engine or plain service on ``target_port``.

        With ``port``, the agent replaces an earlier one that listened on that port.
        """
        is_model = kind == "model"
        settings = {
            "instance_id": name,
            "failure_domain": domain,
            "shared_secret": SHARED_SECRET,
            "listen": {"host": HOST, "port": port},
            "target": {"host": HOST, "port": target_port},
            "kind": kind,
            "services": ["reply-writer" if is_model else "order-desk"],
            "models": ["model-a"] if is_model else [],
        }
        path = self._write_settings(f"{name}.json5", settings)
        managed = await self.start(name, "bluebellusher_agent.main", "--config", path)
        if managed.port not in self.agent_ports:
            self.agent_ports.append(managed.port)
        return managed

    def reserve_peer_ports(self, n_ports: int) -> list[int]:
        """Reserve the ports for connections between entries.

        They are chosen before the entries start, because the settings of each entry
        contain the ports of the others.
        """
        self.peer_ports = [self._reservations.reserve() for _ in range(n_ports)]
        return self.peer_ports

    async def start_entry(
        self, name: str, domain: str, peer_port: int = 0, **more_settings: object
    ) -> ManagedProcess:
        """Start an entry and wait until it is connected to all agents started so far.

        ``more_settings`` are further settings of the entry.
        """
        settings = self.make_entry_settings(name, domain, peer_port)
        path = self._write_settings(f"{name}.json5", {**settings, **more_settings})
        module = "bluebellusher.cli"
        entry = await self.start(name, module, "serve", "--config", path)
        for port in self.agent_ports:
            agent = next(p for p in self.process_by_name.values() if p.port == port)
            await entry.wait_for(f"event=agent-connected peer={agent.name}( |$)")
        return entry

    def make_entry_settings(
        self, name: str, domain: str, peer_port: int
    ) -> Mapping[str, Any]:
        """Return the settings of an entry, with the addresses of other processes."""
        peers = [port for port in self.peer_ports if port != peer_port]
        return {
            "instance_id": name,
            "failure_domain": domain,
            "shared_secret": SHARED_SECRET,
            "http": {"host": HOST, "port": 0},
            "peer_listen": {"host": HOST, "port": peer_port},
            "platform_url": f"http://{HOST}:{self.platform_port or 9}",
            "agents": [{"host": HOST, "port": port} for port in self.agent_ports],
            "peers": [{"host": HOST, "port": port} for port in peers],
            "services": self.services,
            "customers": [{"customer_id": "c1", "credentials": ["key-of-c1"]}],
            "operators": [{"name": "op", "credential": "key-of-op"}],
            "log_level": "debug",
        }

    def _write_settings(self, name: str, document: Mapping[str, Any]) -> str:
        """Write a settings file and return its path."""
        path = pathlib.Path(self._directory.name) / name
        path.write_text(json.dumps(document), encoding="utf-8")
        return str(path)
