"""Tests of tasks that fail and of tasks that are cancelled."""

import asyncio

import pytest

from bluebellusher_core.supervision import _supervise, supervise


@pytest.fixture(autouse=True)
def restart_without_delay(monkeypatch):
    """Restart failed tasks at once, so that no test waits."""
    monkeypatch.setattr(_supervise, "RESTART_DELAY_MS", 0)


def test_failed_task_is_restarted():
    """Guards against a process that goes on running after one of its tasks failed."""
    errors, n_runs = [], 0

    async def run():
        nonlocal n_runs
        n_runs += 1
        if n_runs < 3:
            raise RuntimeError(f"run {n_runs}")

    asyncio.run(supervise(run, errors.append))
    assert [str(error) for error in errors] == ["run 1", "run 2"]
    assert n_runs == 3


def test_cancelled_task_is_not_restarted():
    """Guards against a process that cannot stop because its tasks are restarted."""

    async def main():
        task = asyncio.create_task(supervise(asyncio.Event().wait, pytest.fail))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(main())
