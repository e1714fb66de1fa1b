"""Hooks that give each scenario its own event loop and processes."""

import asyncio

import aiohttp

from bluebellusher_standins.cluster import Cluster


def before_scenario(context, _scenario) -> None:
    """Create the event loop, an empty cluster and the HTTP session of a caller."""
    context.loop = asyncio.new_event_loop()
    context.answers = []

    async def open_cluster() -> None:
        context.cluster = Cluster()
        timeout = aiohttp.ClientTimeout(total=30)
        headers = {"Authorization": "Bearer key-of-c1"}
        context.session = aiohttp.ClientSession(headers=headers, timeout=timeout)

    context.loop.run_until_complete(open_cluster())


def after_scenario(context, _scenario) -> None:
    """Close the HTTP session and stop every process of the scenario."""

    async def stop_processes() -> None:
        await context.session.close()
        await context.cluster.__aexit__()

    context.loop.run_until_complete(stop_processes())
    context.loop.close()
