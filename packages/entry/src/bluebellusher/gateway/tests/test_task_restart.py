"""Background tasks of an entry that end by an error while the process runs."""

import asyncio

from bluebellusher.gateway import Gateway
from bluebellusher.gateway.tests.harness import (
    CODEC,
    LogRecorder,
    PlainDialect,
    make_settings,
)
from bluebellusher.observability import KeyValueLog
from bluebellusher.ports import PlatformPorts
from bluebellusher.shared.tests.fakes import FakeStore, wait_until
from bluebellusher_core.clock import SystemClock


def test_failed_task_is_logged_and_restarted():
    """Guards against a lease or table that is never updated again after an error.

    A table watcher whose task raises an error must be logged and restarted. Its
    cancellation at the shutdown must not be logged as an error.
    """
    recorder = LogRecorder()
    log = KeyValueLog.from_config("info", recorder)

    async def main():
        ports = PlatformPorts(FakeStore(), PlainDialect(), CODEC)
        gateway = Gateway(make_settings(), ports, SystemClock(), log)
        watcher = gateway.routing_watcher
        n_runs = 0

        async def fail_once():
            nonlocal n_runs
            n_runs += 1
            if n_runs == 1:
                raise KeyError("row")
            await asyncio.Event().wait()

        watcher.run = fail_once
        await gateway.start()
        try:
            await wait_until(lambda: recorder.count("internal-fault"))
            (line,) = recorder.get_lines("internal-fault")
            assert "step=task" in line
            assert "KeyError" in line
            await wait_until(lambda: n_runs == 2)
        finally:
            await gateway.stop()
            log.close()
        assert recorder.count("internal-fault") == 1, (
            "the shutdown was logged as an internal fault"
        )

    asyncio.run(main())
