"""Changes that the store acknowledges during or after silence of its connections."""

import asyncio
import json
from random import Random

import pytest
from expression import Error

from bluebellusher.ports import StoreError
from bluebellusher.shared import Directory, TableCopy, TableWatcher
from bluebellusher.shared.tests.fakes import FakeLog, FakeStore
from bluebellusher.shared.tests.virtual_time import LoopClock, run_in_virtual_time
from bluebellusher_core.directory import MirrorRow, TableMirror

from codec import PlatformCodec
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
        return Error(StoreError("read", "TimeoutError", is_unanswered=True))


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


LEAVE_DELAY_S = 0.1
# Time from the start of an outage until a registration may expire: three intervals of
# heartbeats after the last one, which came at most one interval earlier, in s.
EXPIRY_S = 2 * 1.2
# Time after an outage in which a running endpoint registers again, in s.
REGISTRATION_S = 1.9


class Registration:
    """Endpoint ``x`` in the store, and the directory of an entry that watches it."""

    def __init__(self):
        self.store = SilentStore()
        self.log = FakeLog()
        self.directory = Directory(
            PlatformCodec(), self.log.post, LoopClock(), self.log
        )
        body = {"version": 1, "services": [{"name": "desk"}]}
        row = MirrorRow(PlatformCodec.routing_key, 1, json.dumps(body).encode())
        self.directory.apply_routing_rows([row])
        self.register()
        apply_rows = self.directory.apply_registration_rows
        mirror = TableMirror(PlatformCodec.registration_table)
        self.watcher = TableWatcher(
            self.store,
            TableCopy(mirror, apply_rows, apply_rows, self.log),
            self.directory.record_store_availability,
            LoopClock(),
            Random(1),
            self.log,
        )

    def register(self):
        """Write the registration of the endpoint."""
        body = {
            "backend": "desk",
            "address": "10.0.0.1:80",
            "zone": "d",
            "version": "1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 100,
        }
        table = PlatformCodec.registration_table
        self.store.put(table, "x", json.dumps(body).encode())

    def deregister(self):
        """Remove the registration of the endpoint."""
        table = PlatformCodec.registration_table
        self.store.put(table, "x", b"", is_removed=True)

    async def observe(self, duration_s):
        """Let time pass, with the ticks of an entry; return the times without it."""
        loop, unused_at_s = asyncio.get_running_loop(), []
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            await asyncio.sleep(0.05)
            now_ms = LoopClock().now_ms()
            self.directory.tick(now_ms, self.watcher.store_answered_at_ms)
            if self.directory.find("x") is None:
                unused_at_s.append(loop.time())
        return unused_at_s


async def run_registration(scenario, *arguments):
    """Run a scenario beside the watcher of a registration."""
    registration = Registration()
    task = asyncio.create_task(registration.watcher.run())
    await asyncio.sleep(0.5)
    result = await scenario(registration, *arguments)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return result


async def leave_after_silence(registration, silent_at_s):
    """Let open connections go silent and the endpoint leave; return if it is unused."""
    await registration.observe(silent_at_s)
    assert registration.directory.find("x") is not None
    registration.store.start_outage()
    registration.store.end_outage()
    await registration.observe(LEAVE_DELAY_S)
    registration.deregister()
    await registration.observe(CONTACT_S - LEAVE_DELAY_S)
    return registration.directory.find("x") is None


@pytest.mark.parametrize("silent_at_s", [tenth / 10 for tenth in range(2, 30)])
def test_endpoint_that_leaves_while_connections_are_silent_is_not_used(silent_at_s):
    """Guards against a grace time for endpoints that left although the store was up.

    Only the open connections to the store have gone silent. New ones work.
    """
    run = run_registration(leave_after_silence, silent_at_s)
    assert run_in_virtual_time(run)


async def expire_in_outage(registration, outage_at_s, outage_s):
    """Let a registration expire in an outage; return the times without it."""
    await registration.observe(outage_at_s)
    registration.store.start_outage()
    unused_at_s = await registration.observe(EXPIRY_S)
    registration.deregister()
    unused_at_s += await registration.observe(outage_s - EXPIRY_S)
    registration.store.end_outage()
    unused_at_s += await registration.observe(REGISTRATION_S)
    registration.register()
    return unused_at_s + await registration.observe(2 * CONTACT_S)


@pytest.mark.parametrize("outage_s", [3.0, 3.3, 4.1, 7.7])
@pytest.mark.parametrize("outage_at_s", [tenth / 10 for tenth in range(2, 30, 2)])
def test_endpoint_whose_registration_expired_in_an_outage_stays_in_use(
    outage_at_s, outage_s
):
    """Guards against running endpoints that are drained after a silent outage."""
    run = run_registration(expire_in_outage, outage_at_s, outage_s)
    assert run_in_virtual_time(run) == []
