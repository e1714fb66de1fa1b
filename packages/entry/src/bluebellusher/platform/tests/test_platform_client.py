"""Guards against platform failures that are reported with the wrong outcome."""

import asyncio

from bluebellusher.platform import (
    Consistency,
    ObjectExistsError,
    PlatformClient,
    PlatformNotDoneError,
    PlatformOutcomeUnknownError,
    TransactConflictError,
    WeightRateLimitedError,
)
from bluebellusher_core.clock import ManualClock
from bluebellusher_standins.platform import PlatformServer


def run(scenario, **options):
    """Run ``scenario(client, server)`` with a new platform on a free port.

    ``options`` are arguments of ``PlatformServer``.
    """

    async def run_scenario():
        async with (
            PlatformServer(**options) as server,
            PlatformClient(server.base_url, "a", 2000) as client,
        ):
            await scenario(client, server)

    asyncio.run(run_scenario())


def test_transaction_reports_version_and_conflicting_rows():
    """Guards against a transaction that ignores its conditions."""

    async def scenario(client, server):
        assert (await client.transact({"k": 0}, {"k": {"n": 1}})).ok == 1
        error = (await client.transact({"k": 0, "j": 0}, {"k": 2, "j": 2})).error
        assert isinstance(error, TransactConflictError)
        assert [(row.key, row.version) for row in error.conflicts] == [("k", 1)]
        assert (await client.read_row("j")).ok.version == 0
        assert (await client.transact({"k": 1}, {}, ["k"])).is_ok()
        assert (await client.read_rows("k")).ok == ()

    run(scenario)


def test_lost_answer_is_an_unknown_outcome():
    """Guards against a write that took effect but is reported as not done."""

    async def scenario(client, server):
        await client.read_row("k")
        server.faults.lose_answers = 1
        error = (await client.transact({"k": 0}, {"k": 1})).error
        assert isinstance(error, PlatformOutcomeUnknownError)
        assert (error.step, error.peer) == (
            "table-transact",
            f"127.0.0.1:{server.port}",
        )
        assert (await client.read_row("k")).ok.value == 1

    run(scenario)


def test_down_or_unreachable_platform_is_reported_as_not_done():
    """Guards against unknown outcomes, which forbid a repeat, without need."""

    async def scenario(client, server):
        server.faults.is_down = True
        assert isinstance(
            (await client.transact({}, {"k": 1})).error, PlatformNotDoneError
        )
        await server.stop()
        assert isinstance(
            (await client.transact({}, {"k": 1})).error, PlatformNotDoneError
        )
        assert server.table.read("k").version == 0

    run(scenario)


def test_deadline_and_cut_off_are_unknown_outcomes():
    """Guards against a slow or cut-off write that is reported as not done."""

    async def scenario(client, server):
        server.faults.delay_ms = 300
        result = await client.transact({}, {"k": 1}, deadline_ms=50)
        assert isinstance(result.error, PlatformOutcomeUnknownError)
        server.faults.delay_ms = 0
        server.faults.cut_off_domains = ["a"]
        result = await client.transact({}, {"k": 1})
        assert isinstance(result.error, PlatformOutcomeUnknownError)

    run(scenario)


def test_eventual_read_may_be_stale_and_strong_read_is_not():
    """Guards against a stand-in whose eventual reads always return the last state."""
    clock = ManualClock(start_ms=10_000)

    async def scenario(client, server):
        await client.transact({}, {"k": 1})
        clock.advance(1000)
        await client.transact({}, {"k": 2})
        server.faults.stale_ms = 500
        assert (await client.read_row("k", Consistency.EVENTUAL)).ok.value == 1
        assert (await client.read_row("k")).ok.value == 2

    run(scenario, clock=clock)


def test_repeated_object_write_with_a_lost_answer_succeeds():
    """Guards against a stored object whose repeated write is reported as failed.

    Usage would then be reported as lost although it was stored.
    """

    async def scenario(client, server):
        server.faults.lose_answers = 1
        await client.put_object("usage/a b", b"data")
        assert (await client.put_object("usage/a b", b"data")).is_ok()
        error = (await client.put_object("usage/a b", b"other")).error
        assert isinstance(error, ObjectExistsError)
        assert (await client.get_object("usage/a b")).ok == b"data"
        assert (await client.get_object("absent")).ok is None
        assert (await client.list_objects("usage/")).ok == ("usage/a b",)

    run(scenario)


def test_instance_list_lags_and_weights_are_rate_limited():
    """Guards against a stand-in without list delay or rate limit for weights.

    Code that relies on a current list or unlimited fetches would pass its tests.
    """
    clock = ManualClock(start_ms=10_000)
    instance = {
        "instance_id": "e1",
        "role": "endpoint",
        "state": "running",
        "failure_domain": "a",
        "host": "127.0.0.1",
        "port": 1,
        "services": ["s"],
    }

    async def scenario(client, server):
        server.set_instance(instance)
        assert (await client.list_instances()).ok == ()
        clock.advance(1000)
        assert (await client.list_instances()).ok[0].services == ("s",)
        assert (await client.fetch_weights("x", 1000)).is_ok()
        error = (await client.fetch_weights("x", 1000)).error
        assert isinstance(error, WeightRateLimitedError)
        assert error.retry_after_ms == 1000

    run(scenario, clock=clock, weight_bytes_per_second=1000)
