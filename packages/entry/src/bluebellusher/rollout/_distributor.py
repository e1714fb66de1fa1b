"""Distribution of versions between entries and from the table to entries."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from bluebellusher.links import PeerLinks
from bluebellusher.platform import PlatformError
from bluebellusher.rollout._compression import compress_text, decompress_text
from bluebellusher.rollout._domains import DomainView
from bluebellusher.rollout._in_force import ConfigInForce, ConfigSource
from bluebellusher.rollout._table import ConfigTable
from bluebellusher.runtime import PeerExchange
from bluebellusher_core.clock import Clock
from bluebellusher_core.rollout import ConfigVersion, choose_fan_out, is_poller
from bluebellusher_core.rules import RuleSet
from bluebellusher_core.wire import messages

# Mean time in milliseconds between two reads of the head row by a poller.
POLL_INTERVAL_MS = 1_000
# Time in milliseconds after which an unanswered pull is repeated, to any peer that
# runs a newer version.
PULL_TIMEOUT_MS = 1_000


class ConfigDistributor:
    """Distributor of versions: announces, pulls and pushes them, and polls the table.

    A new version is announced by a digest. A peer that has an older version pulls the
    rules text from one peer at a time. The text is the large part of a version, and
    each entry receives it only once, although several peers announce the version.

    Parameters
    ----------
    in_force : ConfigInForce
        Receives every version from peers and from the table.
    table : ConfigTable
        Table whose head row is polled.
    domains : DomainView
        Connected peers, from which the pollers and the receivers of announcements
        are chosen.
    links : PeerLinks
        Connections to peers.
    make_digest : callable
        Returns the current ``Digest`` message of this entry.
    clock : Clock
        Monotonic time for the timeout of pulls.
    random_state : Random
        Chooses peers and the jitter of polls.
    """

    def __init__(
        self,
        in_force: ConfigInForce,
        table: ConfigTable,
        domains: DomainView,
        links: PeerLinks,
        make_digest: Callable[[], Any],
        clock: Clock,
        random_state: Random,
    ) -> None:
        self._in_force = in_force
        self._table = table
        self._domains = domains
        self._links = links
        self._make_digest = make_digest
        self._clock = clock
        self._random_state = random_state
        self._version_by_peer_id: dict[str, int] = {}
        self._pulled_at_ms: int | None = None

    def register(self, exchange: PeerExchange) -> None:
        """Register the handlers of peer messages, and announce every new version."""
        exchange.register(messages.Digest, self._receive_digest)
        exchange.register(messages.ConfigPull, self._receive_pull)
        exchange.register(messages.ConfigPush, self._receive_push)
        self._in_force.add_listener(self._announce_version)

    def tick(self, now_ms: int) -> None:
        """Repeat a pull that was not answered within ``PULL_TIMEOUT_MS``."""
        pulled_at_ms = self._pulled_at_ms
        if pulled_at_ms is not None and now_ms - pulled_at_ms >= PULL_TIMEOUT_MS:
            self._pulled_at_ms = None
            self._pull()

    async def poll(self, own_id: str) -> None:
        """Read the head once, and then about every second while this entry is a poller.

        The interval varies by 20% in both directions, so that the reads of several
        entries do not coincide. ``own_id`` is the instance id of this entry.
        """
        await self._poll_once()
        while True:
            jitter = 0.8 + 0.4 * self._random_state.random()
            await asyncio.sleep(POLL_INTERVAL_MS / 1000 * jitter)
            if is_poller(own_id, self._domains.own_domain_peers()):
                await self._poll_once()

    async def _poll_once(self) -> None:
        """Read the head row, and offer its version if it is newer."""
        try:
            _, head = await self._table.read_head()
            if (
                head is not None
                and head.version > self._in_force.highest_offered_version
            ):
                config = await self._table.read_version(head.version)
                self._in_force.offer(config, ConfigSource("table"))
        except PlatformError:
            # The version is then not confirmed, which the status shows by the growing
            # ``confirmed_age_ms``.
            return
        if head is None or head.version <= self._in_force.version:
            self._in_force.record_confirmation()

    def _announce_version(self, _config: ConfigVersion, _rules: RuleSet) -> None:
        """Send a digest with the new version number to a few connected peers."""
        domain_by_peer = self._domains.domain_by_peer()
        own_domain = self._domains.own_domain
        for peer_id in choose_fan_out(domain_by_peer, own_domain, self._random_state):
            self._links.send(peer_id, self._make_digest())

    def _receive_digest(self, peer_id: str, digest: Any) -> None:
        """Record a peer's addresses and version, and pull if no pull is pending."""
        members = digest.members or ()
        self._domains.record_addresses(
            peer_id,
            (f"{m.host}:{m.port}" for m in members if m.instance_id == peer_id),
        )
        self._version_by_peer_id[peer_id] = digest.config_version or 0
        if self._pulled_at_ms is None:
            self._pull()

    def _pull(self) -> None:
        """Request the rules from one of the connected peers with a newer version."""
        highest_offered_version = self._in_force.highest_offered_version
        domain_by_peer = self._domains.domain_by_peer()
        newer_peers = [
            peer_id
            for peer_id, version in sorted(self._version_by_peer_id.items())
            if version > highest_offered_version and peer_id in domain_by_peer
        ]
        if newer_peers:
            peer_id = self._random_state.choice(newer_peers)
            self._pulled_at_ms = self._clock.now_ms()
            self._links.send(
                peer_id, messages.ConfigPull(above_version=highest_offered_version)
            )

    def _receive_pull(self, peer_id: str, pull: Any) -> None:
        """Send the version in force if it is newer than that of the peer."""
        current = self._in_force.current
        if current is not None and current.version > (pull.above_version or 0):
            push = messages.ConfigPush(
                version=current.version,
                change_id=current.change_id,
                rules_text=compress_text(current.rules_text),
                author=current.author,
                accepted_wall_ms=current.accepted_wall_ms,
            )
            self._links.send(peer_id, push)

    def _receive_push(self, peer_id: str, push: Any) -> None:
        """Offer the version that a peer sent, and pull if a peer has a newer one."""
        self._pulled_at_ms = None
        version = push.version or 0
        # The pushed version replaces the announced one. If the digest of this peer
        # announced a higher version than the peer can send, the next pull would
        # otherwise ask the same peer again.
        self._version_by_peer_id[peer_id] = version
        config = ConfigVersion(
            version,
            push.change_id or "",
            decompress_text(push.rules_text or ""),
            push.author or "",
            push.accepted_wall_ms or 0,
        )
        self._in_force.offer(config, ConfigSource(f"peer:{peer_id}"))
        self._pull()
