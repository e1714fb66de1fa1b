"""Assembly of the rollout components of one entry."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from bluebellusher.links import EventSink, LinkTicker, PeerLinks
from bluebellusher.platform import PlatformClient
from bluebellusher.rollout._changes import ChangeRunner
from bluebellusher.rollout._distributor import ConfigDistributor
from bluebellusher.rollout._domains import DomainView
from bluebellusher.rollout._in_force import ConfigInForce
from bluebellusher.rollout._pages import RulesPages
from bluebellusher.rollout._table import ConfigTable
from bluebellusher.runtime import PeerExchange
from bluebellusher.server import RequestParser
from bluebellusher.settings import Settings
from bluebellusher_core.clock import Clock
from bluebellusher_core.wire import messages


class ConfigRollout:
    """Rollout of the rules at one entry: its components and their background tasks.

    Parameters
    ----------
    settings : Settings
        Settings of this entry; its instance id decides whether it polls the table.
    in_force : ConfigInForce
        Version in force and its rules, which the rest of the entry reads.
    distributor : ConfigDistributor
        Exchange of versions with peers and the table.
    runner : ChangeRunner
        Execution of the changes that operators send.
    pages : RulesPages
        HTTP routes for operators.
    """

    def __init__(
        self,
        settings: Settings,
        in_force: ConfigInForce,
        distributor: ConfigDistributor,
        runner: ChangeRunner,
        pages: RulesPages,
    ) -> None:
        self.in_force = in_force
        self.pages = pages
        self._settings = settings
        self._distributor = distributor
        self._runner = runner
        self._poll_task: asyncio.Task[None] | None = None

    @classmethod
    def from_parts(
        cls,
        settings: Settings,
        sink: EventSink,
        clock: Clock,
        links: PeerLinks,
        platform: PlatformClient,
        make_digest: Callable[[], Any],
        random_state: Random,
    ) -> "ConfigRollout":
        """Build the components from the services of an entry.

        Parameters
        ----------
        settings : Settings
            Settings of this entry.
        sink : EventSink
            Receives ``PolicyChanged`` events and log lines.
        clock : Clock
            Monotonic and wall time.
        links : PeerLinks
            Connections to peers.
        platform : PlatformClient
            Client of the table and the instance list.
        make_digest : callable
            Returns the current ``Digest`` message of this entry.
        random_state : Random
            Chooses peers and the jitter of polls.
        """
        in_force = ConfigInForce(settings, sink, clock)
        table = ConfigTable(platform)
        domains = DomainView(settings, links, platform)
        distributor = ConfigDistributor(
            in_force, table, domains, links, make_digest, clock, random_state
        )
        runner = ChangeRunner(in_force, table, domains, links, sink, clock)
        pages = RulesPages(RequestParser(settings), runner, table)
        return cls(settings, in_force, distributor, runner, pages)

    def start(self, exchange: PeerExchange, ticker: LinkTicker) -> None:
        """Register the handlers of peer messages and start to poll the table."""
        exchange.register(messages.ConfigStage, self._runner.receive_stage)
        exchange.register(messages.ConfigStaged, self._runner.receive_staging_reply)
        self._distributor.register(exchange)
        ticker.add_callback(self._distributor.tick)
        self._poll_task = asyncio.create_task(
            self._distributor.poll(self._settings.instance_id)
        )

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        if self._poll_task is not None:
            self._poll_task.cancel()
            await asyncio.gather(self._poll_task, return_exceptions=True)
        await self._runner.close()
