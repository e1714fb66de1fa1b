"""Starting a part again after an error that nobody expected."""

import asyncio
from collections.abc import Awaitable, Callable

# A part that fails at once must not take the processor from the others.
RESTART_PAUSE_MS = 500
MS_PER_S = 1_000


async def supervise(
    run: Callable[[], Awaitable[None]], report: Callable[[Exception], None]
) -> None:
    """Run a part until it returns, and again after each error.

    A watcher, lease or reader that ended by an error would leave its process running
    with beliefs that nothing corrects any more.

    Parameters
    ----------
    run : callable
        Starts the part; it must be possible to call it again.
    report : callable
        Told each error.
    """
    while True:
        try:
            await run()
        except Exception as error:
            report(error)
            await asyncio.sleep(RESTART_PAUSE_MS / MS_PER_S)
        else:
            return
