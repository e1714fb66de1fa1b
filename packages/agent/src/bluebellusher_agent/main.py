"""Command ``bluebellusher-agent --config FILE``."""

import asyncio
import os
import signal
import sys

import uvloop

from bluebellusher_agent._agent import Agent
from bluebellusher_agent._log import log
from bluebellusher_agent._settings import AgentSettings
from bluebellusher_core.errors import StepError

SETTINGS_POLL_S = 1.0


async def run_agent(path: str) -> None:
    """Run an agent until SIGTERM or SIGINT, then drain it and return.

    ``path`` is the path of the settings file.
    """
    agent = Agent(AgentSettings.from_file(path))
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await agent.start()
    watcher = loop.create_task(watch_settings(path, agent))
    await stop_requested.wait()
    watcher.cancel()
    agent.start_drain()
    await agent.wait_idle()
    await agent.finish_connections()
    await agent.stop()
    log("stopped")


async def watch_settings(path: str, agent: Agent) -> None:
    """Poll the settings file and start a drain when ``is_draining`` becomes true."""
    last_modified_ns = _read_modified_ns(path)
    while not agent.runs.is_draining:
        await asyncio.sleep(SETTINGS_POLL_S)
        modified_ns = _read_modified_ns(path)
        if modified_ns == last_modified_ns:
            continue
        last_modified_ns = modified_ns
        try:
            settings = AgentSettings.from_file(path)
        except StepError as error:
            log("bad-settings", peer=error.peer, reason=error.reason)
            continue
        if settings.is_draining:
            agent.start_drain()


def _read_modified_ns(path: str) -> int:
    """Return the modification time in nanoseconds, 0 if the file cannot be read."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0


def main() -> int:
    """Run the command line; return the exit status.

    The status is 2 for wrong arguments, invalid settings and a failure to listen.
    """
    arguments = sys.argv[1:]
    if len(arguments) != 2 or arguments[0] != "--config":
        print("usage: bluebellusher-agent --config FILE", file=sys.stderr)
        return 2
    try:
        uvloop.run(run_agent(arguments[1]))
    except StepError as error:
        print(f"bluebellusher-agent: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"bluebellusher-agent: cannot listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
