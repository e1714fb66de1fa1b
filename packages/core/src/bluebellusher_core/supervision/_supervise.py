"""Restart of a task after an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable

# Time before a failed task is restarted, in ms. Without it, a task that always fails at
# its start would occupy the event loop.
RESTART_DELAY_MS = 500
MS_PER_S = 1_000


async def supervise(
    run: Callable[[], Awaitable[None]], report: Callable[[Exception], None]
) -> None:
    """Run a task until it returns, and restart it after each error.

    Without the restart, a process whose watcher, lease or reader failed would go on
    with recorded state that is never updated again.

    Parameters
    ----------
    run : callable
        Runs the task; called again after each error.
    report : callable
        Called with each error.
    """
    while True:
        try:
            await run()
        except Exception as error:
            report(error)
            await asyncio.sleep(RESTART_DELAY_MS / MS_PER_S)
        else:
            return
