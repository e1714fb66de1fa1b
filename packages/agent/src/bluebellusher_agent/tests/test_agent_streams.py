"""Guards against answers that the agent loses, truncates, mixes or repeats."""

import asyncio

import uvloop

from bluebellusher_agent.tests.entry_client import (
    EntryClient,
    make_body,
    run_agent,
    with_engine,
)
from bluebellusher_core.wire import messages
from bluebellusher_standins.engine import compute_expected_answer


def test_concurrent_answers_arrive_complete_and_unmixed():
    """Guards against bytes of one answer in another when they share a batch."""

    async def scenario(entry, agent, engine):
        bodies = {
            f"a{i}": make_body(f"text {i}", is_stream=i % 3 > 0) for i in range(9)
        }
        for attempt_id, body in bodies.items():
            entry.dispatch(attempt_id, body)
        for attempt_id, body in bodies.items():
            started = await entry.next(messages.Started, attempt_id)
            assert started.status == 200
            assert await entry.finish(attempt_id) == compute_expected_answer(body)

    with_engine(scenario)


def test_usage_of_the_engine_is_reported():
    """Guards against answers that are billed without their tokens."""

    async def scenario(entry, agent, engine):
        entry.dispatch("a1", make_body("x" * 400, n_tokens=5))
        finish = await entry.next(messages.Finish, "a1")
        assert (finish.n_input_tokens, finish.n_output_tokens) == (101, 5)
        entry.dispatch("a2", make_body("x" * 400, n_tokens=6, is_stream=False))
        finish = await entry.next(messages.Finish, "a2")
        assert (finish.n_cached_tokens, finish.n_output_tokens) == (96, 6)

    with_engine(scenario)


def test_no_byte_is_sent_beyond_the_credit():
    """Guards against unbounded buffers in the entry when a caller reads slowly."""

    async def scenario(entry, agent, engine):
        body = make_body(n_tokens=30)
        entry.dispatch("a1", body, credit_bytes=100)
        await entry.wait(lambda: len(entry.data("a1")) >= 100)
        await wait_for_flushes(agent)
        assert len(entry.data("a1")) == 100
        entry.send(messages.Credit("a1", 50))
        await entry.wait(lambda: len(entry.data("a1")) >= 150)
        assert len(entry.data("a1")) == 150
        entry.send(messages.Credit("a1", 1 << 20))
        assert await entry.finish("a1") == compute_expected_answer(body)

    with_engine(scenario)


async def wait_for_flushes(agent):
    """Wait for several flush intervals, in which a faulty agent would send more."""
    await asyncio.sleep(0.1)


def test_broken_engine_stream_is_resumed_at_its_offset():
    """Guards against bytes that are lost or repeated when a stream is resumed."""

    async def scenario(entry, agent, engine):
        engine.set_faults(break_streams=3, truncate_streams=2)
        # The stream must last until all faults have occurred, also on a busy machine.
        body = make_body(n_tokens=800)
        entry.dispatch("a1", body)
        assert await entry.finish("a1") == compute_expected_answer(body)
        assert (engine.faults.break_streams, engine.faults.truncate_streams) == (0, 0)
        assert len(engine.received_bodies) == 1

    with_engine(scenario)


def test_stalled_engine_connection_is_replaced():
    """Guards against a stream that stalls on a dead connection until its deadline."""

    async def scenario(entry, agent, engine):
        engine.set_faults(mute_streams=1)
        body = make_body(n_tokens=40)
        entry.dispatch("a1", body)
        assert await entry.finish("a1") == compute_expected_answer(body)
        assert len(engine.received_bodies) == 1

    with_engine(scenario, stream_silence_ms=500)


def test_truncated_stream_is_not_relayed_as_finished():
    """Guards against a truncated answer that is relayed as complete."""

    async def scenario(entry, agent, engine):
        engine.set_faults(truncate_streams=1, refuse_resumes=True)
        entry.dispatch("a1", make_body(n_tokens=40))
        broken = await entry.next(messages.Broken, "a1")
        assert broken.reason == "engine_error"
        assert entry.find(messages.Finish) is None

    with_engine(scenario)


def test_answer_of_another_attempt_is_not_relayed():
    """Guards against a caller that receives the answer to another caller."""

    async def scenario(entry, agent, engine):
        engine.set_faults(cross_attempts=1)
        entry.dispatch("a1", make_body())
        assert (await entry.next(messages.Broken, "a1")).reason == "stream_corrupt"
        assert entry.find(messages.Started) is None
        assert entry.data("a1") == b""

    with_engine(scenario)


def test_entry_resumes_after_a_lost_connection():
    """Guards against an answer that is lost or generated again with its connection."""

    async def scenario(entry, agent, engine):
        body = make_body(n_tokens=60)
        entry.dispatch("a1", body, request_id="r1")
        await entry.wait(lambda: len(entry.data("a1")) > 500)
        entry.abort()
        await entry.wait(lambda: entry.is_closed)
        async with EntryClient(agent.port) as reconnected:
            offset = len(entry.data("a1")) - 100
            reconnected.dispatch("a2", body, request_id="r1", resume_offset=offset)
            remaining_data = await reconnected.finish("a2")
            assert entry.data("a1")[
                :offset
            ] + remaining_data == compute_expected_answer(body)
        async with EntryClient(agent.port) as third:
            third.dispatch("a3", body, request_id="r1", resume_offset=5)
            assert await third.finish("a3") == compute_expected_answer(body)[5:]
        assert len(engine.received_bodies) == 1

    with_engine(scenario)


def test_unresponsive_connection_is_closed_and_its_answer_can_be_resumed():
    """Guards against an answer that stays bound to an unresponsive connection."""

    async def scenario(entry, agent, engine):
        body = make_body(n_tokens=20)
        entry.dispatch("a1", body, request_id="r1", credit_bytes=10)
        entry.sends_heartbeats = False
        await entry.wait(lambda: entry.is_closed)
        async with EntryClient(agent.port) as reconnected:
            reconnected.dispatch("a2", body, request_id="r1", resume_offset=10)
            remaining_data = await reconnected.finish("a2")
            assert entry.data("a1") + remaining_data == compute_expected_answer(body)

    with_engine(scenario)


def test_only_the_same_entry_and_request_can_resume():
    """Guards against an answer that is relayed to another entry or request."""

    async def scenario(entry, agent, engine):
        body = make_body(n_tokens=200)
        entry.dispatch("a1", body, request_id="r1")
        await entry.next(messages.Started, "a1")
        async with EntryClient(agent.port, "entry-2") as other:
            other.dispatch("b1", body, request_id="r1", resume_offset=10)
            assert (await other.next(messages.Broken, "b1")).reason == "outcome_unknown"
            other.send(messages.Cancel("a1"))
            other.dispatch("a1", body, request_id="r1")
            await other.wait(lambda: other.is_closed)
            assert other.data_by_attempt == {}
        async with EntryClient(agent.port) as same:
            same.dispatch("b2", make_body("other"), request_id="r1")
            await same.wait(lambda: same.is_closed)
        assert await entry.finish("a1") == compute_expected_answer(body)

    with_engine(scenario)


def test_detached_answer_is_cancelled_after_the_resume_window():
    """Guards against engine slots occupied for entries that do not reconnect."""

    async def scenario(entry, agent, engine):
        entry.dispatch("a1", make_body(n_tokens=8000))
        await entry.next(messages.Started, "a1")
        entry.abort()
        async with EntryClient(agent.port) as other:
            await other.wait(lambda: not engine.batcher.running)
            assert engine.cancelled_attempts == ["a1"]

    with_engine(scenario, resume_window_ms=100)


def test_cancel_frees_the_engine_slot_and_ends_the_attempt():
    """Guards against work that continues after its caller disconnected."""

    async def scenario(entry, agent, engine):
        entry.dispatch("a1", make_body(n_tokens=8000))
        await entry.next(messages.Started, "a1")
        entry.send(messages.Cancel("a1"))
        entry.dispatch("a2", make_body("next"))
        assert await entry.finish("a2") == compute_expected_answer(make_body("next"))
        assert engine.cancelled_attempts == ["a1"]
        assert entry.find(messages.Finish, "a1") is None

    with_engine(scenario, settings={"n_slots": 1})


def test_unreachable_target_is_refused_as_not_run():
    """Guards against an unknown outcome for an attempt that was never sent."""

    async def main():
        async with run_agent(1) as agent, EntryClient(agent.port) as entry:
            entry.dispatch("a1", make_body())
            refusal = await entry.next(messages.Refuse, "a1")
            assert refusal.reason == "engine_error"

    uvloop.run(main())
