"""A small deployment: the entries of the deploy file, a store, engines and clients."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

from http_io import HttpError, Message, exchange
from record import Record

from engine import PREFIX, Engine
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
READY_S = 30.0
METRICS_PORT = 9100
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2
BOUNDS = {
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "budget_slack": 88,
    "grace_period_s": 8,
}


class NotRunError(Exception):
    """The case could not be run."""


def _find_hosts() -> Callable[[], str]:
    """Return a function that returns unused loopback addresses, one a machine."""
    block = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
    counter = itertools.count(2)

    def find() -> str:
        return f"{block}.{next(counter)}"

    return find


def find_port(host: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class RoleProcess:
    """One process of a role, with the command and template of the deploy file.

    Parameters
    ----------
    deployment : Deployment
        Deployment that the process belongs to.
    role, name, host : str
        Role in the deploy file, name of the machine and its address.
    """

    def __init__(
        self, deployment: "Deployment", role: str, name: str, host: str
    ) -> None:
        self.deployment = deployment
        self.role, self.name, self.host = role, name, host
        self.metrics_port, self.agent_port = find_port(host), find_port(host)
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = deployment.folder / f"{name}.log"
        self.settings_path = deployment.folder / f"{name}.conf"

    async def start(self) -> None:
        """Write the settings and start the process."""
        role = self.deployment.deploy["roles"][self.role]
        template = (ROOT / role["template"]).read_text()
        # The templates name the port of the metrics, which may be in use here.
        template = template.replace(f":{METRICS_PORT}", f":{self.metrics_port}")
        self.settings_path.write_text(_fill(template, self._fields()))
        command = role["run"].split()
        command[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.deployment.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BLUEBELLUSHER_CONFIG": str(self.settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def _fields(self) -> dict[str, Any]:
        """Return the fields of the platform's settings file."""
        return {
            "node_name": self.name,
            "zone": "z1",
            "ip": self.host,
            "internal_ports": [self.agent_port, self.agent_port],
            "bounds": BOUNDS,
        }

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def read_resident_mb(self) -> float:
        """Return the resident memory of the process in MB; 0 when it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        with contextlib.suppress(OSError, IndexError, ValueError):
            statm = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
            return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0

    async def kill(self) -> None:
        """End the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


class Entry(RoleProcess):
    """Process of the role ``entry``."""

    def __init__(
        self, deployment: "Deployment", name: str, host: str, control_port: int
    ) -> None:
        super().__init__(deployment, "entry", name, host)
        self.front = find_port(host)
        self.ready = find_port(host)
        self.control = control_port

    def _fields(self) -> dict[str, Any]:
        store = self.deployment.store
        return {
            **super()._fields(),
            "listen": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{self.ready}",
                "control": f"{self.host}:{self.control}",
            },
            "platform": {"address": f"{store.host}:{store.port}"},
            "seed_nodes": self.deployment.seeds,
        }

    async def wait_ready(self) -> None:
        """Wait until the process reports itself ready."""
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError, HttpError, TimeoutError):
                answer = await exchange(
                    self.host, self.ready, "GET", "/ready", [("Host", "x")]
                )
                if answer.status == 200:
                    return
            if not self.is_running:
                raise NotRunError(f"{self.name} ended")
            await asyncio.sleep(0.1)
        raise NotRunError(f"{self.name} is not ready")


class Agent(RoleProcess):
    """Process of the role ``agent``, beside an engine at ``host:app_port``."""

    def __init__(
        self, deployment: "Deployment", name: str, host: str, app_port: int
    ) -> None:
        super().__init__(deployment, "agent", name, host)
        self.app_port = app_port

    def _fields(self) -> dict[str, Any]:
        return {**super()._fields(), "app": f"{self.host}:{self.app_port}"}


class Deployment:
    """Store, entries and engines of a case.

    Parameters
    ----------
    record : Record
        Record of the case.
    routes, services : list of dict
        Routes and services of the configuration.
    """

    def __init__(
        self,
        record: Record,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
    ) -> None:
        self.record = record
        self.routes, self.services = routes, services
        self.store = Store()
        self.entries: list[Entry] = []
        self.engines: list[Engine] = []
        self.agents: list[Agent] = []
        self.seeds: list[str] = []
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.find_host = _find_hosts()
        self._attempts = itertools.count(1)
        self._version = 0

    async def start(self, n_entries: int) -> None:
        """Start the store and the entries, and write the configuration."""
        host = self.find_host()
        await self.store.start(host, find_port(host))
        self.put_configuration()
        for index in range(n_entries):
            host = self.find_host()
            entry = Entry(self, f"edge-{index + 1}", host, find_port(host))
            self.entries.append(entry)
            self.seeds.append(f"{host}:{entry.control}")
        for entry in self.entries:
            await entry.start()

    def put_configuration(self) -> None:
        """Write the configuration to the store, under the next version."""
        self._version += 3
        body = {
            "version": self._version,
            "routes": self.routes,
            "services": self.services,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        }
        self.store.put("op", "config", json.dumps(body).encode())

    async def add_engine(self, engine: Engine) -> None:
        """Start an engine at an address of its own."""
        host = self.find_host()
        self.engines.append(engine)
        await engine.start(host, find_port(host))

    async def wait_ready(self) -> None:
        """Wait until all entries are ready and have the registrations."""
        for entry in self.entries:
            await entry.wait_ready()
        await asyncio.sleep(0.5)

    async def call(
        self,
        entry: Entry,
        method: str,
        target: str,
        deadline_ms: int,
        body: bytes = b"",
        headers: list[tuple[str, str]] | None = None,
    ) -> tuple[str, Message | None]:
        """Send one client attempt; return its id and the answer, None without one."""
        attempt = f"{next(self._attempts):016x}"
        sent = [
            ("Host", HOST_NAME),
            (f"{PREFIX}Attempt-Id", attempt),
            (f"{PREFIX}Deadline-Ms", str(deadline_ms)),
            (f"{PREFIX}Credential", KEY),
            *(headers or []),
        ]
        self.record.write(
            "sent",
            entry=entry.name,
            attempt=attempt,
            method=method,
            target=target,
            n_body=len(body),
            headers=headers or [],
        )
        try:
            answer = await exchange(
                entry.host,
                entry.front,
                method,
                target,
                sent,
                body,
                deadline_ms / 1000 + 2,
            )
        except (OSError, HttpError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write("answer", attempt=attempt, error=type(error).__name__)
            return attempt, None
        self.record.write(
            "answer",
            attempt=attempt,
            status=answer.status,
            n_body=len(answer.body),
            seal=answer.get(f"{PREFIX}Response-Seal"),
        )
        return attempt, answer

    async def stop(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for engine in self.engines:
            engine.close()
        for process in (*self.entries, *self.agents):
            await process.kill()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _fill(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the platform does."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def fill_section(match: re.Match[str]) -> str:
        items = find(match[1])
        filled = []
        for index, item in enumerate(items):
            text = match[2].replace("{{.}}", str(item))
            is_last = index == len(items) - 1
            filled.append(text.replace("{{,}}", "" if is_last else ","))
        return "".join(filled)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(find(match[1])), template)


def make_route(name: str, kind: str, service: str, **options: Any) -> dict[str, Any]:
    """Return a route of the configuration; its prefix is its name."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "backend": service,
        "timeout_ms": 8_000,
        "target_latency_ms": 400,
        "target_gap_ms": 120,
        "priority": 1,
        "max_attempts": 2,
        **options,
    }


def run_case(
    case: Callable[[Record, bool], Awaitable[bool]],
    folder: pathlib.Path,
    is_troubled: bool,
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    The case gets whether the disruption is played, and returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    record.write("case", case=folder.name, is_troubled=is_troubled)

    async def run() -> bool:
        async with asyncio.timeout(115):
            return await case(record, is_troubled)

    try:
        has_held = asyncio.run(run())
    except Exception as error:
        record.write("not-run", error=f"{type(error).__name__}: {error}")
        print(f"not run: {type(error).__name__}: {error}")
        sys.exit(EXIT_NOT_RUN)
    record.write("result", has_held=has_held)
    print("held" if has_held else "broken")
    sys.exit(EXIT_HELD if has_held else EXIT_BROKEN)
