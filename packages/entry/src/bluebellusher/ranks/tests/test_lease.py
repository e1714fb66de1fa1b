"""Tests of the keeper of the map leader's lease."""

import asyncio
import json

from bluebellusher.ranks import LeaseKeeper
from bluebellusher.ranks._lease import (
    GUARD_MS,
    HOLDER_POLL_MS,
    RENEW_AFTER_MS,
    TERM_MS,
)
from bluebellusher.shared.tests.fakes import DOWN, FakeLog, FakeStore, wait_until
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.lease import LeaseRow, LeaseTracker


def make_keeper(store, clock, name, is_held_elsewhere=lambda: False, delay_ms=0):
    """Return a keeper of the entry ``name``, by default without a takeover delay."""
    return LeaseKeeper.from_parts(
        store, "lease", name, delay_ms, clock, FakeLog(), is_held_elsewhere
    )


def run(scenario):
    """Run a scenario with a fake store and a manual clock."""

    async def main():
        await scenario(FakeStore(), ManualClock(1_000))

    asyncio.run(main())


def test_only_one_entry_acquires_the_lease():
    """Guards against two leaders that use the same fencing token."""

    async def scenario(store, clock):
        keepers = [make_keeper(store, clock, name) for name in ("a", "b")]
        tasks = [asyncio.create_task(keeper.run()) for keeper in keepers]
        await wait_until(lambda: any(k.token is not None for k in keepers))
        await asyncio.sleep(0.3)
        assert sum(k.token is not None for k in keepers) == 1
        for task in tasks:
            task.cancel()

    run(scenario)


def test_free_lease_is_acquired_when_the_takeover_delay_ends():
    """Guards against groups without a leader until the next poll of the store."""

    async def scenario(store, clock):
        keeper = make_keeper(store, clock, "a/1", delay_ms=100)
        task = asyncio.create_task(keeper.run())
        await wait_until(lambda: store.n_calls == 1)
        assert keeper._choose_poll_ms() == 100
        clock.advance(100)
        await wait_until(lambda: keeper.token is not None)
        task.cancel()

    run(scenario)


def test_lease_expires_before_another_entry_acquires_it():
    """Guards against a holder whose lease another entry acquires before it expires."""

    async def scenario(store, clock):
        keeper = make_keeper(store, clock, "a")
        task = asyncio.create_task(keeper.run())
        await wait_until(lambda: keeper.token is not None)
        token = keeper.token
        store.fault = DOWN
        clock.advance(TERM_MS)
        assert keeper.token is None
        task.cancel()
        store.fault = None
        other = make_keeper(store, clock, "b")
        task = asyncio.create_task(other.run())
        await asyncio.sleep(0.1)
        assert other.token is None
        clock.advance(TERM_MS + GUARD_MS)
        await wait_until(lambda: other.token is not None, clock)
        assert other.token > token
        task.cancel()

    run(scenario)


def test_holder_continues_to_lead_while_the_store_is_unavailable():
    """Guards against groups without a leader during an outage of the store.

    In the run trouble-3 of arrullo-oax, no entry led for 8 s of an outage, and the
    number of late requests depended on the map that was in use when the outage began.
    """

    async def scenario(store, clock):
        keeper = make_keeper(store, clock, "a/1")
        task = asyncio.create_task(keeper.run())
        await wait_until(lambda: keeper.token is not None)
        token = keeper.token
        store.fault = DOWN
        clock.advance(TERM_MS + GUARD_MS)
        await wait_until(lambda: keeper.leading_token == token and keeper.token is None)
        keeper.record_seen_token(token)
        assert keeper.leading_token == token
        keeper.record_seen_token(token + 1)
        assert keeper.leading_token is None, "another entry leads"
        store.fault = None
        await wait_until(lambda: keeper.token is not None, clock)
        assert keeper.token > token
        task.cancel()

    run(scenario)


def test_holder_that_lost_the_lease_to_another_stops_leading():
    """Guards against two entries that lead at the same time after a lost lease."""

    async def scenario(store, clock):
        keeper = make_keeper(store, clock, "a/1")
        task = asyncio.create_task(keeper.run())
        await wait_until(lambda: keeper.token is not None)
        store.put("leases", "lease", b'["b/1", 9, 1]')
        clock.advance(TERM_MS)
        await wait_until(lambda: keeper.leading_token is None)
        task.cancel()

    run(scenario)


def test_lost_answer_to_the_write_does_not_lose_the_lease():
    """Guards against an entry that holds a lease without having recorded it."""

    async def scenario(store, clock):
        keeper = make_keeper(store, clock, "a")
        store.loses_answers = True
        task = asyncio.create_task(keeper.run())
        await wait_until(lambda: store.version > 0)
        store.loses_answers = False
        await wait_until(lambda: keeper.token is not None)
        task.cancel()

    run(scenario)


def test_lease_is_not_read_while_a_peer_reports_holding_it():
    """Guards against store calls of every entry while one of them holds the lease."""

    async def scenario(store, clock):
        keeper = make_keeper(store, clock, "b", is_held_elsewhere=lambda: True)
        task = asyncio.create_task(keeper.run())
        await asyncio.sleep(0.6)
        assert store.n_calls == 0
        task.cancel()

    run(scenario)


def test_released_lease_is_not_acquired_again_by_the_same_entry():
    """Guards against an entry that acquires the lease again during its shutdown."""

    async def scenario(store, clock):
        keeper = make_keeper(store, clock, "a")
        task = asyncio.create_task(keeper.run())
        await wait_until(lambda: keeper.token is not None)
        await keeper.release()
        await asyncio.wait_for(task, 5)
        assert keeper.token is None

    run(scenario)


def test_unreadable_lease_is_logged_and_acquired():
    """Guards against a damaged row that is treated as a free lease and not logged.

    The agents still report the token of the damaged row, and the next token is higher.
    """

    async def scenario(store, clock):
        store.put("leases", "lease", b"not json")
        keeper = make_keeper(store, clock, "a")
        task = asyncio.create_task(keeper.run())
        await wait_until(lambda: keeper.token is not None)
        names = [name for name, _ in keeper._log.lines]
        assert names.index("lease-unreadable") < names.index("lease-held")
        keeper.record_seen_token(57)
        await wait_until(lambda: keeper.leading_token == 58)
        task.cancel()

    run(scenario)


def test_holder_keeps_the_lease_when_the_store_is_restored():
    """Guards against groups without a leader while versions of rows catch up.

    The renewals of the holder met a row with a lower version, which it ignored.
    """

    async def scenario(store, clock):
        keeper = make_keeper(store, clock, "a/1")
        task = asyncio.create_task(keeper.run())
        await wait_until(lambda: keeper.token is not None)
        copy = store.copy()
        for _ in range(3):
            version = store.version
            clock.advance(RENEW_AFTER_MS)
            await wait_until(lambda v=version: store.version > v)
        token = keeper.token
        store.restore(copy)
        for _ in range(2 * TERM_MS // HOLDER_POLL_MS):
            clock.advance(HOLDER_POLL_MS // 2)
            await asyncio.sleep(HOLDER_POLL_MS / 1000 / 2 + 0.01)
            assert keeper.token is not None
        assert keeper.token > token
        task.cancel()

    run(scenario)


def test_lease_of_a_restored_store_is_not_acquired_before_the_holder_has_ended():
    """Guards against two leaders when the restored row names an earlier holder."""

    async def scenario(store, clock):
        free_row = store.put("leases", "lease", b'["", 5, 3]')
        copy = store.copy()
        store.put("leases", "lease", b'["b/1", 6, 1]')
        store.restore(copy)
        keeper = make_keeper(store, clock, "a/1")
        task = asyncio.create_task(keeper.run())
        await wait_until(lambda: store.n_calls > 0)
        clock.advance(TERM_MS)
        await asyncio.sleep(0.3)
        assert keeper.token is None
        await wait_until(lambda: keeper.token is not None, clock)
        assert keeper.token > 6 > json.loads(free_row.value)[1]
        task.cancel()

    run(scenario)


def test_write_that_a_restored_store_applies_by_chance_does_not_acquire_the_lease():
    """Guards against two holders whose rows have the same version of two histories."""
    tracker = LeaseTracker("lease", "a/1")
    tracker.observe(4, LeaseRow("", 7, 2), now_ms=0, store_epoch=0)
    write = tracker.plan_write(now_ms=0)
    tracker.write_succeeded(write, row_version=5, now_ms=5, store_epoch=1)
    assert tracker.held_token(now_ms=6) is None
    assert tracker.plan_write(now_ms=6) is None
