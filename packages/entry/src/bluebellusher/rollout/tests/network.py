"""Network of entries over loopback, in which failure domains can be cut off."""

import asyncio
import contextlib
import io

import aiohttp

from bluebellusher.cli._entry import Entry
from bluebellusher.observability import KeyValueLog
from bluebellusher.settings import Settings
from bluebellusher_core.clock import SystemClock
from bluebellusher_standins.cluster import HOST, SHARED_SECRET, PortReservations
from bluebellusher_standins.platform import PlatformServer

# Number of checks of a condition, 10 ms apart, before a test fails.
N_CONDITION_CHECKS = 2_000
OPERATOR = {"Authorization": "Bearer key-of-op"}


def make_rules(weight: int, name: str = "Mio") -> str:
    """Return a rules text that gives customer c1 a weight.

    ``name`` is the author of the share in its comment.
    """
    return (
        "currency JPY # Haruka: books\n"
        "month-zone Asia/Tokyo # Haruka: invoices\n"
        "customer c1 # Yuta: contract\n"
        "budget c1 1000 JPY per month # Yuta: contract\n"
        f"share c1 {weight} # {name}: agreed\n"
    )


class CuttableProxy:
    """TCP proxy in front of a port, whose connections can be cut."""

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._is_cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> "CuttableProxy":
        """Listen on a free port, and return the proxy."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def cut(self) -> None:
        """Abort all connections, and every new one after it is accepted."""
        self._is_cut = True
        for writer in self._writers:
            writer.transport.abort()

    def heal(self) -> None:
        """Forward new connections again."""
        self._is_cut = False

    async def stop(self) -> None:
        """Abort all connections and stop listening."""
        self.cut()
        self._server.close()

    async def _accept(self, reader, writer) -> None:
        """Forward a new connection in both directions, or abort it while cut."""
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self._target_port
            )
        except OSError:
            # The entry behind the proxy does not listen yet.
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer),
            self._forward(target_reader, writer),
        )

    async def _forward(self, reader, writer) -> None:
        """Copy bytes in one direction until the connection ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                writer.write(data)
        writer.close()
        self._writers.discard(writer)


class Network:
    """Platform and several entries, whose connections go through proxies.

    The failure domain of an entry is the first letter of its name. Each entry connects
    to each peer through a proxy of its own, so that a domain can be cut off.
    """

    def __init__(self) -> None:
        self.platform = PlatformServer(instance_lag_ms=0)
        self.entry_by_name: dict[str, Entry] = {}
        self.log_by_name: dict[str, io.StringIO] = {}
        self.url_by_name: dict[str, str] = {}
        self._peer_port_by_name: dict[str, int] = {}
        self._reservations = PortReservations()
        self._proxies: list[tuple[str, str, CuttableProxy]] = []

    async def __aenter__(self) -> "Network":
        await self.platform.start()
        self.session = aiohttp.ClientSession(headers=OPERATOR)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        for name in list(self.entry_by_name):
            await self.stop(name)
        for _, _, proxy in self._proxies:
            await proxy.stop()
        await self.platform.stop()
        self._reservations.close()

    async def start(self, *names: str) -> None:
        """Start entries, which connect to each other and to those already started."""
        for name in names:
            self._peer_port_by_name[name] = self._reservations.reserve()
        for name in names:
            peers = []
            for peer, port in self._peer_port_by_name.items():
                if peer != name:
                    proxy = await CuttableProxy(port).start()
                    self._proxies.append((name[0], peer[0], proxy))
                    address = {"host": HOST, "port": proxy.port}
                    peers.append({**address, "failure_domain": peer[0]})
            await self._start_entry(name, peers)

    async def _start_entry(self, name: str, peers: list[dict]) -> None:
        """Start an entry with the settings of its peers."""
        port = self._peer_port_by_name[name]
        settings = {
            "instance_id": name,
            "failure_domain": name[0],
            "shared_secret": SHARED_SECRET,
            "http": {"host": HOST, "port": 0},
            "peer_listen": {"host": HOST, "port": port},
            "platform_url": self.platform.base_url,
            "peers": peers,
            "services": [{"service_id": "s", "kind": "model", "models": ["m"]}],
            "customers": [{"customer_id": "c1", "credentials": ["key-of-c1"]}],
            "operators": [{"name": "op", "credential": "key-of-op"}],
            "limits": {"platform_timeout_ms": 500},
        }
        log = self.log_by_name[name] = io.StringIO()
        entry = Entry(
            Settings.model_validate(settings),
            SystemClock(),
            KeyValueLog.from_config("info", log),
        )
        await entry.start()
        self.entry_by_name[name] = entry
        http_port = log.getvalue().split(" port=")[1].split()[0]
        self.url_by_name[name] = f"http://{HOST}:{http_port}/admin"

    async def stop(self, name: str) -> None:
        """Stop an entry and remove it from the network."""
        await self.entry_by_name.pop(name).stop()

    def cut_off(self, domain: str) -> None:
        """Cut a domain off from the other domains and from the platform."""
        self.platform.faults.cut_off_domains = [domain]
        for link in self._proxies:
            if domain in link[:2] and link[0] != link[1]:
                link[2].cut()

    def heal(self) -> None:
        """Restore the connections between all domains and to the platform."""
        self.platform.faults.cut_off_domains = []
        for _, _, proxy in self._proxies:
            proxy.heal()

    def get_version(self, name: str) -> int:
        """Return the number of the version in force at an entry."""
        return self.entry_by_name[name].rollout.in_force.version

    async def wait_until(self, condition) -> None:
        """Wait for a condition; raise ``TimeoutError`` if it is not met in time."""
        for _ in range(N_CONDITION_CHECKS):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise TimeoutError("the condition was not met in time")

    async def wait_until_in_force(self, version: int) -> None:
        """Wait until a version is in force at every entry."""
        names = list(self.entry_by_name)
        await self.wait_until(
            lambda: all(self.get_version(n) == version for n in names)
        )

    async def wait_until_connected(self) -> None:
        """Wait until every entry has received the version of every other entry."""
        n_peers = len(self.entry_by_name) - 1
        entries = list(self.entry_by_name.values())
        await self.wait_until(
            lambda: all(
                len(e.peer_exchange.config_version_by_peer_id) >= n_peers
                and len(e.peers.connections_by_peer_id) == n_peers
                for e in entries
            )
        )

    async def apply(
        self, name: str, change_id: str, base_version: int, text: str, **extra_fields
    ):
        """Send a change to an entry; return the status code and the body.

        ``extra_fields`` are further fields of the request body.
        """
        body = {
            "change_id": change_id,
            "base_version": base_version,
            "rules_text": text,
        }
        body = {**body, "author": f"author of {change_id}", **extra_fields}
        url = self.url_by_name[name] + "/rules"
        async with self.session.post(url, json=body) as answer:
            return answer.status, await answer.json()

    async def get(self, name: str, path: str):
        """Return the status code and the body of a page below /admin."""
        async with self.session.get(self.url_by_name[name] + path) as answer:
            return answer.status, await answer.json()
