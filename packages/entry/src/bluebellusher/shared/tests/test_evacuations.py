"""Rows of evacuations, and the check of a domain right before an attempt is written."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from expression import Error

from bluebellusher.shared import (
    Directory,
    DomainCheck,
    TableCopy,
    TableWatcher,
)
from bluebellusher.shared._domain_check import REFRESH_TIMEOUT_MS, SUSPENSION_MS
from bluebellusher.shared.tests.fakes import DOWN, FakeLog, FakeStore
from bluebellusher.shared.tests.virtual_time import LoopClock, run_in_virtual_time
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.directory import MirrorRow, TableMirror
from bluebellusher_core.events import DomainsEvacuated

TABLE = "op"
# Time from the acknowledgement of a row until it must be in force, in s.
EVACUATION_S = 5.0
LATENCY_S = 0.004
TICK_S = 0.5
# Added to the wait of a call to get its timeout, in s.
MARGIN_S = 0.7
CODEC = SimpleNamespace(
    routing_key="config",
    read_evacuation=lambda key: key.partition("evacuate/")[2] or None,
)


def make_directory():
    """Return a directory and the log that collects its events."""
    log = FakeLog()
    return Directory(CODEC, log.post, ManualClock(), log), log


def row(key, version, value=b"{}", is_removed=False):
    """Return a row of the table."""
    return MirrorRow(key, version, value, is_removed)


def test_one_event_has_the_whole_set():
    """Guards against evacuations that are applied one by one, or twice."""
    directory, log = make_directory()
    directory.apply_routing_rows([row("evacuate/a", 3), row("evacuate/b", 4)])
    directory.apply_routing_rows([row("evacuate/a", 5)])
    (event,) = log.events
    assert event == DomainsEvacuated(
        frozenset("ab"), (("a", 3), ("b", 4)), "row", event.known_at_ms
    )
    directory.apply_routing_rows([row("evacuate/a", 6, is_removed=True)])
    assert log.events[1].domains == frozenset("b")
    assert log.events[1].row_versions == (("a", 6),)


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"null", b"[" * 100_000])
def test_invalid_rows_have_no_effect_on_others(value):
    """Guards against a row of any content that evacuates or restores other domains."""
    directory, log = make_directory()
    rows = [row("evacuate/", 3, value), row("evacuate", 4, value), row("", 5, value)]
    directory.apply_routing_rows([*rows, row("other/a", 6, value)])
    assert not log.events
    directory.apply_routing_rows([row("evacuate/no such", 7, value)])
    directory.apply_routing_rows([row("evacuate/a", 8, value)])
    assert directory.evacuations.domains == {"no such", "a"}


def test_withdrawal_that_is_read_with_the_row_changes_nothing():
    """Guards against a ramp after an evacuation that was never in force."""
    directory, log = make_directory()
    rows = [row("evacuate/a", 3), row("evacuate/a", 4, is_removed=True)]
    directory.apply_routing_rows(rows)
    assert not log.events


class Table:
    """An entry's copy of the table, its directory and its check, in virtual time.

    Calls to the store take ``LATENCY_S`` after their answer was made, so that an answer
    may be older than a suspension.
    """

    def __init__(self, store, log=None):
        self.clock, self.log, self._store = LoopClock(), log or FakeLog(), store
        self.latency_s = LATENCY_S
        self.directory = Directory(CODEC, self.log.post, self.clock, self.log)
        self.copy = TableCopy(
            TableMirror(TABLE),
            self.directory.apply_routing_rows,
            self.directory.apply_restored_routing_rows,
            self.log,
        )
        watcher = TableWatcher(
            self, self.copy, lambda is_up: None, self.clock, Random(1), self.log
        )
        evacuations = self.directory.evacuations
        self.check = DomainCheck(evacuations, watcher, self.clock, self.log)
        self.tasks = [asyncio.create_task(t) for t in (watcher.run(), self._tick())]

    async def _tick(self):
        while True:
            self.check.observe(self.clock.now_ms())
            await asyncio.sleep(TICK_S)

    async def _call(self, call, wait_s):
        """Return a call's answer, or an error if it comes after the timeout."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s + MARGIN_S
        result = await call
        await asyncio.sleep(self.latency_s)
        return result if loop.time() < end_s else Error(DOWN)

    async def read_table(self, table):
        """Return all rows of a table."""
        return await self._call(self._store.read_table(table), 0.8)

    async def read_changes(self, table, above_version, wait_ms):
        """Return the changes above a version."""
        call = self._store.read_changes(table, above_version, wait_ms)
        return await self._call(call, wait_ms / 1_000)

    def close(self):
        """End the tasks."""
        for task in self.tasks:
            task.cancel()


def suspend(duration_s):
    """Let time pass in which no callback of the event loop runs."""
    asyncio.get_running_loop()._skipping_selector.time_s += duration_s


def test_evacuations_are_those_of_a_restored_store():
    """Guards against a domain that stays evacuated, or in use, after a restoration.

    The restored copy lacks one evacuation and has one that had been removed.
    """

    async def scenario():
        store = FakeStore()
        store.put(TABLE, "evacuate/a", b"{}")
        copy = store.copy()
        store.put(TABLE, "evacuate/a", b"", is_removed=True)
        store.put(TABLE, "evacuate/b", b"{}")
        table = Table(store)
        await asyncio.sleep(1)
        assert table.directory.evacuations.domains == {"b"}
        store.restore(copy)
        await asyncio.sleep(EVACUATION_S)
        assert table.directory.evacuations.domains == {"a"}
        assert table.log.events[-1].cause == "store-restored"
        assert "store-restored" in table.log.names()
        table.close()

    run_in_virtual_time(scenario())


def test_starting_entry_waits_for_the_store_although_a_peer_has_older_rows():
    """Guards against attempts of a starting entry by the tables of a cut-off peer."""

    async def scenario():
        store = FakeStore()
        store.put(TABLE, "other", b"")
        store.put(TABLE, "evacuate/a", b"{}")
        table = Table(store)
        table.latency_s = 0.3
        table.copy.apply([row("other", 1)], 1)
        await asyncio.sleep(0.01)
        assert await table.check.is_evacuated("a")
        assert not await table.check.is_evacuated("b")
        table.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("suspended_s", [2.0, 30.0])
def test_suspended_entry_reads_the_rows_before_it_sends(suspended_s):
    """Guards against an attempt chosen before a suspension and written after it."""

    async def scenario():
        store = FakeStore()
        store.put(TABLE, "other", b"")
        table = Table(store)
        await asyncio.sleep(1)
        assert not await table.check.is_evacuated("a")
        store.put(TABLE, "evacuate/a", b"{}")
        suspend(suspended_s)
        results = [await table.check.is_evacuated("a")]
        assert results == [True]
        assert "process-resumed" in table.log.names()
        table.close()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("is_refreshing", [True, False])
def test_answer_from_before_a_suspension_confirms_nothing(is_refreshing):
    """Guards against an old answer, processed after a suspension, taken for a new one.

    The answer is that of the call that waits for changes, or that of the read after an
    earlier suspension.
    """

    async def scenario():
        store = FakeStore()
        store.put(TABLE, "other", b"")
        table = Table(store)
        await asyncio.sleep(1)
        check = None
        if is_refreshing:
            suspend(3.0)
            check = asyncio.create_task(table.check.is_evacuated("a"))
        else:
            store.put(TABLE, "other", b"2")
        await asyncio.sleep(LATENCY_S / 2)
        store.put(TABLE, "evacuate/a", b"{}")
        suspend(6.0)
        await asyncio.sleep(LATENCY_S)
        assert await (check or table.check.is_evacuated("a"))
        table.close()

    run_in_virtual_time(scenario())


def test_rows_stay_in_force_while_the_entry_is_cut_off():
    """Guards against an entry of a cut-off domain that forgets evacuations, or stops.

    The last known rows, and those of a peer that it reaches, are in force. Rows that
    were written meanwhile apply soon after the store is reached again.
    """

    async def scenario():
        store = FakeStore()
        store.put(TABLE, "evacuate/a", b"{}")
        table = Table(store)
        await asyncio.sleep(1)
        store.fault = DOWN
        for domain in "bc":
            store.put(TABLE, f"evacuate/{domain}", b"{}")
        await asyncio.sleep(30)
        is_evacuated = table.check.is_evacuated
        assert [await is_evacuated(d) for d in "abc"] == [True, False, False]
        table.copy.apply([row("evacuate/b", 2)], 2)
        assert [await is_evacuated(d) for d in "abc"] == [True, True, False]
        store.put(TABLE, "evacuate/a", b"", is_removed=True)
        store.fault = None
        await asyncio.sleep(1)
        assert [await is_evacuated(d) for d in "abc"] == [False, True, True]
        table.close()

    run_in_virtual_time(scenario())


def test_attempts_go_on_by_the_last_rows_when_the_store_does_not_answer():
    """Guards against attempts that wait for a store that is down after a suspension."""

    async def scenario():
        loop, store = asyncio.get_running_loop(), FakeStore()
        store.put(TABLE, "evacuate/a", b"{}")
        table = Table(store)
        await asyncio.sleep(1)
        table.latency_s = 10.0
        suspend(3.0)
        start_s = loop.time()
        checks = [table.check.is_evacuated(domain) for domain in "abab"]
        assert await asyncio.gather(*checks) == [True, False, True, False]
        assert loop.time() - start_s <= REFRESH_TIMEOUT_MS / 1_000 + 0.01
        start_s = loop.time()
        assert not await table.check.is_evacuated("b")
        assert loop.time() == start_s
        table.close()

    run_in_virtual_time(scenario())


def test_running_entry_makes_no_further_call_to_the_store():
    """Guards against calls for each attempt, which the store bills."""

    async def scenario():
        store = FakeStore()
        store.put(TABLE, "other", b"")
        table = Table(store)
        await asyncio.sleep(1)
        n_calls = store.n_calls
        for _ in range(100):
            assert not await table.check.is_evacuated("a")
        assert store.n_calls == n_calls
        table.close()

    run_in_virtual_time(scenario())


async def run_random(random):
    """Write and remove rows at random while the entry is suspended and sends.

    The store is down at times. Returns the writes, the ends of the outages and the sent
    attempts.
    """
    loop, store = asyncio.get_running_loop(), FakeStore()
    store.put(TABLE, "other", b"")
    table = Table(store)
    writes, outages, sent = [], [], []

    async def write():
        while True:
            await asyncio.sleep(random.choice([0.3, 2.0, 12.0]))
            domain, is_removed = random.choice("ab"), random.random() < 0.4
            writes.append((loop.time(), domain, is_removed))
            store.put(TABLE, f"evacuate/{domain}", b"{}", is_removed)

    async def fail():
        while True:
            await asyncio.sleep(random.uniform(5, 25))
            store.fault, duration_s = DOWN, random.uniform(0.1, 4)
            outages.append(loop.time() + duration_s)
            await asyncio.sleep(duration_s)
            store.fault, outages[-1] = None, loop.time()

    async def send(domain):
        while True:
            await asyncio.sleep(random.uniform(0, 0.2))
            if not await table.check.is_evacuated(domain):
                sent.append((loop.time(), domain))

    async def freeze():
        while True:
            await asyncio.sleep(random.choice([0.01, 0.3, 3.0, 9.0]))
            # Another program writes while this process is suspended.
            duration_s = random.choice([0.4, 1.4, 1.6, 4.0, 9.0])
            part = random.random()
            suspend(part * duration_s)
            if random.random() < 0.7:
                domain, is_removed = random.choice("ab"), random.random() < 0.4
                writes.append((loop.time(), domain, is_removed))
                store.put(TABLE, f"evacuate/{domain}", b"{}", is_removed)
            suspend((1 - part) * duration_s)

    jobs = (write(), fail(), freeze(), send("a"), send("b"), send("a"))
    tasks = [asyncio.create_task(job) for job in jobs]
    await asyncio.sleep(150)
    for task in tasks:
        task.cancel()
    table.close()
    return writes, outages, sent


@pytest.mark.parametrize("seed", range(30))
def test_no_attempt_is_sent_after_the_bound(seed):
    """Guards against attempts to a domain whose row was written 5 s before.

    Writes, suspensions of up to 9 s and outages of the store come in any order. The
    time in which the store is down extends the bound.
    """
    writes, outages, sent = run_in_virtual_time(run_random(Random(seed)))
    n_to_evacuated = 0
    for at_s, domain in sent:
        earlier = [w for w in writes if w[1] == domain and w[0] < at_s]
        evacuated_since_s = None
        for written_at_s, _, is_removed in earlier:
            if is_removed:
                evacuated_since_s = None
            elif evacuated_since_s is None:
                evacuated_since_s = written_at_s
        if evacuated_since_s is None:
            continue
        n_to_evacuated += 1
        since_s = at_s - EVACUATION_S
        is_excused = any(end_s > since_s for end_s in outages)
        assert evacuated_since_s > since_s or is_excused
    assert sent, "no attempt was sent"
    assert SUSPENSION_MS < EVACUATION_S * 1_000
