"""Guards against answers that are lost, cut, mixed or sent twice by the agent."""

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


def test_concurrent_answers_arrive_whole_and_unmixed():
    """Guards against answers that are mixed up in shared batches."""

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
    """Guards against answers that are billed as empty."""

    async def scenario(entry, agent, engine):
        entry.dispatch("a1", make_body("x" * 400, n_tokens=5))
        finish = await entry.next(messages.Finish, "a1")
        assert (finish.n_input_tokens, finish.n_output_tokens) == (101, 5)
        entry.dispatch("a2", make_body("x" * 400, n_tokens=6, is_stream=False))
        finish = await entry.next(messages.Finish, "a2")
        assert (finish.n_cached_tokens, finish.n_output_tokens) == (96, 6)

    with_engine(scenario)


def test_no_byte_is_sent_beyond_the_credit():
    """Guards against a slow caller that makes the entry buffer without bound."""

    async def scenario(entry, agent, engine):
        body = make_body(n_tokens=30)
        entry.dispatch("a1", body, credit_bytes=100)
        await entry.wait(lambda: len(entry.data("a1")) >= 100)
        await agent_settled(agent)
        assert len(entry.data("a1")) == 100
        entry.send(messages.Credit("a1", 50))
        await entry.wait(lambda: len(entry.data("a1")) >= 150)
        assert len(entry.data("a1")) == 150
        entry.send(messages.Credit("a1", 1 << 20))
        assert await entry.finish("a1") == compute_expected_answer(body)

    with_engine(scenario)


async def agent_settled(agent):
    """Let several flush periods pass, in which a faulty agent would send more."""
    await asyncio.sleep(0.1)


def test_broken_engine_stream_is_resumed_at_its_offset():
    """Guards against bytes that are lost or repeated when a stream is resumed."""

    async def scenario(entry, agent, engine):
        engine.set_faults(break_streams=3, truncate_streams=2)
        # Long enough to go on while all faults come, also on a busy machine.
        body = make_body(n_tokens=800)
        entry.dispatch("a1", body)
        assert await entry.finish("a1") == compute_expected_answer(body)
        assert (engine.faults.break_streams, engine.faults.truncate_streams) == (0, 0)
        assert len(engine.received_bodies) == 1

    with_engine(scenario)


def test_silent_engine_connection_is_replaced():
    """Guards against a stream that hangs on a dead connection to its deadline."""

    async def scenario(entry, agent, engine):
        engine.set_faults(mute_streams=1)
        body = make_body(n_tokens=40)
        entry.dispatch("a1", body)
        assert await entry.finish("a1") == compute_expected_answer(body)
        assert len(engine.received_bodies) == 1

    with_engine(scenario, stream_silence_ms=500)


def test_stream_that_ends_early_is_never_finished():
    """Guards against a cut answer that is taken for a whole one."""

    async def scenario(entry, agent, engine):
        engine.set_faults(truncate_streams=1, refuse_resumes=True)
        entry.dispatch("a1", make_body(n_tokens=40))
        broken = await entry.next(messages.Broken, "a1")
        assert broken.reason == "engine_error"
        assert entry.find(messages.Finish) is None

    with_engine(scenario)


def test_answer_of_another_attempt_is_not_relayed():
    """Guards against a caller that receives another caller's answer."""

    async def scenario(entry, agent, engine):
        engine.set_faults(cross_attempts=1)
        entry.dispatch("a1", make_body())
        assert (await entry.next(messages.Broken, "a1")).reason == "stream_corrupt"
        assert entry.find(messages.Started) is None
        assert entry.data("a1") == b""

    with_engine(scenario)


def test_entry_resumes_after_a_lost_connection():
    """Guards against an answer that is lost or run again with its connection."""

    async def scenario(entry, agent, engine):
        body = make_body(n_tokens=60)
        entry.dispatch("a1", body, request_id="r1")
        await entry.wait(lambda: len(entry.data("a1")) > 500)
        entry.abort()
        await entry.wait(lambda: entry.is_closed)
        async with EntryClient(agent.port) as again:
            offset = len(entry.data("a1")) - 100
            again.dispatch("a2", body, request_id="r1", resume_offset=offset)
            rest = await again.finish("a2")
            assert entry.data("a1")[:offset] + rest == compute_expected_answer(body)
        async with EntryClient(agent.port) as third:
            third.dispatch("a3", body, request_id="r1", resume_offset=5)
            assert await third.finish("a3") == compute_expected_answer(body)[5:]
        assert len(engine.received_bodies) == 1

    with_engine(scenario)


def test_silent_connection_is_closed_and_its_answer_can_be_resumed():
    """Guards against a dead connection that keeps an answer for itself."""

    async def scenario(entry, agent, engine):
        body = make_body(n_tokens=20)
        entry.dispatch("a1", body, request_id="r1", credit_bytes=10)
        entry.sends_heartbeats = False
        await entry.wait(lambda: entry.is_closed)
        async with EntryClient(agent.port) as again:
            again.dispatch("a2", body, request_id="r1", resume_offset=10)
            rest = await again.finish("a2")
            assert entry.data("a1") + rest == compute_expected_answer(body)

    with_engine(scenario)


def test_only_the_same_entry_and_request_can_resume():
    """Guards against an answer that is given to another caller."""

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


def test_abandoned_answer_is_cancelled_after_the_resume_window():
    """Guards against engine slots that are held for entries that never return."""

    async def scenario(entry, agent, engine):
        entry.dispatch("a1", make_body(n_tokens=8000))
        await entry.next(messages.Started, "a1")
        entry.abort()
        async with EntryClient(agent.port) as other:
            await other.wait(lambda: not engine.batcher.running)
            assert engine.cancelled_attempts == ["a1"]

    with_engine(scenario, resume_window_ms=100)


def test_cancel_frees_the_engine_and_silences_the_attempt():
    """Guards against work that goes on after its caller left."""

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
    """Guards against a needless unknown outcome."""

    async def main():
        async with run_agent(1) as agent, EntryClient(agent.port) as entry:
            entry.dispatch("a1", make_body())
            refusal = await entry.next(messages.Refuse, "a1")
            assert refusal.reason == "engine_error"

    uvloop.run(main())
