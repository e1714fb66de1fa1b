"""Changes that the store acknowledges right after an outage in which it was silent."""

import asyncio
from random import Random

import pytest
from expression import Error

from bluebellusher.ports import StoreError
from bluebellusher.shared import TableCopy, TableWatcher
from bluebellusher.shared.tests.fakes import FakeLog, FakeStore
from bluebellusher.shared.tests.virtual_time import LoopClock, run_in_virtual_time
from bluebellusher_core.directory import TableMirror

from store import CALL_TIMEOUT_MS, CHANGES_MARGIN_MS

# Time after an outage of the store from which every change must be in force, in s. It
# is the shortest one among the deployments.
CONTACT_S = 3.0
# Time within which an available store answers, in s.
ANSWER_S = 0.005


class SilentStore(FakeStore):
    """Store that never answers calls which an outage overlaps, with client timeouts."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self._silenced = asyncio.Event()

    def start_outage(self):
        """Answer neither pending nor new calls."""
        self.is_silent = True
        self._silenced.set()

    def end_outage(self):
        """Answer calls that are sent from now on."""
        self.is_silent = False
        self._silenced = asyncio.Event()

    async def read_table(self, table):
        """Return all rows of a table, or an error after the timeout."""
        return await self._call(super().read_table(table), CALL_TIMEOUT_MS)

    async def read_changes(self, table, above_version, wait_ms):
        """Return changes, or an error after the timeout."""
        call = super().read_changes(table, above_version, wait_ms)
        return await self._call(call, wait_ms + CHANGES_MARGIN_MS)

    async def _call(self, call, timeout_ms):
        answer = asyncio.ensure_future(call)
        silenced = asyncio.ensure_future(self._silenced.wait())
        started_s = asyncio.get_running_loop().time()
        await asyncio.sleep(ANSWER_S)
        await asyncio.wait((answer, silenced), return_when=asyncio.FIRST_COMPLETED)
        is_silenced = silenced.done()
        for task in (answer, silenced):
            task.cancel()
        await asyncio.gather(answer, silenced, return_exceptions=True)
        if not is_silenced:
            return answer.result()
        elapsed_s = asyncio.get_running_loop().time() - started_s
        await asyncio.sleep(timeout_ms / 1000 - elapsed_s)
        return Error(StoreError("read", "TimeoutError"))


async def measure_delay_s(outage_at_s, outage_s):
    """Return the time from the end of an outage until a change after it is read."""
    loop, store, mirror = asyncio.get_running_loop(), SilentStore(), TableMirror("t")
    store.put("t", "route", b"old")
    was_read = asyncio.Event()

    def on_rows(rows):
        if any(row.value == b"new" for row in rows):
            was_read.set()

    watcher = TableWatcher(
        store,
        TableCopy(mirror, on_rows, on_rows, FakeLog()),
        lambda _: None,
        LoopClock(),
        Random(1),
        FakeLog(),
    )
    task = asyncio.create_task(watcher.run())
    await asyncio.sleep(outage_at_s)
    store.start_outage()
    await asyncio.sleep(outage_s)
    store.end_outage()
    ended_s = loop.time()
    store.put("t", "route", b"new")
    await was_read.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return loop.time() - ended_s


@pytest.mark.parametrize("outage_at_s", [tenth / 10 for tenth in range(2, 30, 2)])
def test_change_after_a_silent_outage_is_read_in_time(outage_at_s):
    """Guards against calls of an outage that delay changes until their timeout."""
    for hundredth in range(5, 1_000, 15):
        outage_s = hundredth / 100
        delay_s = run_in_virtual_time(measure_delay_s(outage_at_s, outage_s))
        assert delay_s < CONTACT_S, f"after an outage of {outage_s} s"
