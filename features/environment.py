"""One event loop and one set of processes for each scenario."""

import asyncio

import aiohttp

from bluebellusher_standins.cluster import Cluster


def before_scenario(context, _scenario) -> None:
    """Prepare an empty cluster."""
    context.loop = asyncio.new_event_loop()
    context.answers = []

    async def prepare() -> None:
        context.cluster = Cluster()
        timeout = aiohttp.ClientTimeout(total=30)
        headers = {"Authorization": "Bearer key-of-c1"}
        context.session = aiohttp.ClientSession(headers=headers, timeout=timeout)

    context.loop.run_until_complete(prepare())


def after_scenario(context, _scenario) -> None:
    """Stop every process of the scenario."""

    async def clean() -> None:
        await context.session.close()
        await context.cluster.__aexit__()

    context.loop.run_until_complete(clean())
    context.loop.close()
