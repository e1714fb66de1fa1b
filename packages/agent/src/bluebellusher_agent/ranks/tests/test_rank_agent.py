"""Tests of the rank agent, over a connection from an entry, with a fake engine."""

import asyncio
import contextlib
from dataclasses import replace

import pytest

from bluebellusher_agent._settings import Address
from bluebellusher_agent.ranks import (
    EngineState,
    OrderAnswer,
    RankAgent,
    RankAgentSettings,
    RankCounts,
)
from bluebellusher_agent.tests.entry_client import EntryClient
from bluebellusher_core.errors import StepError
from bluebellusher_core.ranks import OrderAction, unpack_counts
from bluebellusher_core.wire import messages

SECRET = "a-secret-of-sixteen-characters"
SETTINGS = RankAgentSettings(
    "side-1",
    "domain",
    SECRET,
    Address("127.0.0.1", 0),
    Address("127.0.0.1", 1),
    Address("127.0.0.1", 0),
)


class FakeEngine:
    """Fake engine with the state, counts and faults that a test sets.

    A read that starts while ``gate`` is set waits for it, and sets ``is_waiting``. The
    next ``n_unanswered`` orders are not answered; ``waited_ms`` is the sum of their
    timeouts.
    """

    def __init__(self):
        self.state = EngineState(1, 0, 1.0, 100, "g", 1, 0, 2, True, 5)
        self.counts = RankCounts(1, 5, (10, 20, 30), ((0, 1, 2),), 7)
        self.orders = []
        self.is_down = False
        self.n_unanswered = 0
        self.waited_ms = 0
        self.gate = None
        self.is_waiting = asyncio.Event()

    async def read_state(self):
        """Return the state at the start of the read, after waiting for the gate."""
        if self.is_down:
            raise StepError("read", "engine", "refused")
        state, gate = self.state, self.gate
        if gate is not None:
            self.is_waiting.set()
            await gate.wait()
        return state

    async def read_counts(self, with_map):
        """Return the counts and experts that the test has set."""
        if self.is_down:
            raise StepError("read-counts", "engine", "refused")
        return self.counts

    async def execute(self, order, timeout_ms):
        """Record an order, or fail as if the engine had not answered.

        Orders with map version 409 are refused.
        """
        if self.n_unanswered:
            self.n_unanswered -= 1
            self.waited_ms += timeout_ms
            raise StepError("order", "engine", f"no answer within {timeout_ms} ms")
        self.orders.append(order)
        return OrderAnswer(order.map_version != 409, "status")

    def close(self):
        """Do nothing, because no connection is open."""


def run(scenario):
    """Run a scenario with an agent, its fake engine and a connected entry."""

    async def main():
        engine = FakeEngine()
        agent = RankAgent(SETTINGS, engine)
        await agent.start()
        port = agent._servers[0].sockets[0].getsockname()[1]
        try:
            async with asyncio.timeout(20):
                async with EntryClient(port, secret=SECRET) as entry:
                    await scenario(agent, engine, entry)
        finally:
            with contextlib.suppress(Exception):
                await agent.stop()

    asyncio.run(main())


def make_order(token, action="hold", **fields):
    """Return a message with an order for epoch 1."""
    return messages.RankOrder(
        call_id="c", fencing_token=token, action=action, epoch=1, **fields
    )


def test_state_is_reported_on_connect_and_on_change():
    """Guards against entries that place requests based on an outdated state."""

    async def scenario(agent, engine, entry):
        first = await entry.next(messages.RankReport)
        assert (first.group_id, first.n_running, first.is_open) == ("g", 1, True)
        engine.state = EngineState(0, 0, 1.0, 100, "g", 1, 0, 2, False, 6)
        while (await entry.next(messages.RankReport)).is_open:
            continue

    run(scenario)


async def next_report(entry, timeout_s):
    """Return the next report, or None if none arrives within the timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            return await entry.next(messages.RankReport)
    except TimeoutError:
        return None


def test_map_state_is_reported_at_once_only_to_the_leader():
    """Guards against delayed map changes and needless reports to other entries.

    Only the leader acts on a prepared map, so only the leader needs the report at once.
    """

    async def scenario(agent, engine, entry):
        port = agent._servers[0].sockets[0].getsockname()[1]
        async with EntryClient(port, secret=SECRET) as other:
            entry.send(make_order(5, action="fence"))
            for client in (entry, other):
                while (await client.next(messages.RankReport)).fencing_token != 5:
                    continue
            # Both entries have received the state, and no periodic report is due soon.
            agent._last_near_report_ms = agent.clock.now_ms() + 60_000
            engine.state = replace(engine.state, prepared_version=77)
            while (await entry.next(messages.RankReport)).prepared_version != 77:
                continue
            assert await next_report(other, 0.5) is None
            agent._last_near_report_ms = 0
            assert (await next_report(other, 2.0)).prepared_version == 77

    run(scenario)


def test_reads_continue_after_an_unexpected_error():
    """Guards against an agent that reports an outdated state after one failed read."""

    async def scenario(agent, engine, entry):
        await entry.next(messages.RankReport)
        read_state = engine.read_state

        async def fail_once():
            engine.read_state = read_state
            raise RuntimeError("unexpected answer of the engine")

        engine.read_state = fail_once
        engine.state = EngineState(0, 0, 1.0, 100, "g", 1, 0, 2, False, 6)
        while (await entry.next(messages.RankReport)).is_open:
            continue

    run(scenario)


def test_unchanged_state_is_reported_more_often_in_the_same_domain():
    """Guards against reports that need more bytes between domains than requests.

    The number of reports is proportional to the number of entries times the number of
    endpoints.
    """

    async def scenario(agent, engine, entry):
        port = agent._servers[0].sockets[0].getsockname()[1]
        near_client = EntryClient(port, "near", SECRET, SETTINGS.failure_domain)
        async with near_client as near:
            for client in (entry, near):
                await client.next(messages.RankReport)
            agent._last_full_report_ms = agent.clock.now_ms() + 60_000
            agent._last_near_report_ms = 0
            assert await next_report(near, 2.0) is not None
            assert await next_report(entry, 0.5) is None
            agent._last_full_report_ms = 0
            assert await next_report(entry, 2.0) is not None

    run(scenario)


def test_closed_group_is_reported_to_every_entry_at_once():
    """Guards against entries that send requests to a group that lacks a rank."""

    async def scenario(agent, engine, entry):
        port = agent._servers[0].sockets[0].getsockname()[1]
        async with EntryClient(port, secret=SECRET) as other:
            entry.send(make_order(5, action="fence"))
            await next_report(other, 2.0)
            agent._last_near_report_ms = agent.clock.now_ms() + 60_000
            engine.state = replace(engine.state, is_open=False)
            for client in (entry, other):
                while (await client.next(messages.RankReport)).is_open:
                    continue

    run(scenario)


def test_order_of_an_earlier_leader_is_refused():
    """Guards against orders of a previous leader whose lease has expired."""

    async def scenario(agent, engine, entry):
        entry.send(make_order(5, step=9))
        assert (await entry.next(messages.RankOrderDone)).is_accepted
        entry.send(make_order(4, step=10))
        answer = await entry.next(messages.RankOrderDone)
        assert not answer.is_accepted
        assert "older" in answer.reason
        assert [(o.step, o.fencing_token) for o in engine.orders] == [(9, 5)]

    run(scenario)


def test_unknown_action_is_refused_and_changes_nothing():
    """Guards against invalid orders that are not answered or raise the token."""

    async def scenario(agent, engine, entry):
        entry.send(make_order(5, action="turn"))
        answer = await entry.next(messages.RankOrderDone)
        assert not answer.is_accepted
        assert "action='turn'" in answer.reason
        assert (agent.fencing_token, engine.orders) == (0, [])

    run(scenario)


def test_fence_is_reported_and_not_sent_to_the_engine():
    """Guards against a new leader that acts before its predecessor is fenced.

    The leader waits until reports contain its token. Engines do not support the order
    to fence, so the agent must not send it to them.
    """

    async def scenario(agent, engine, entry):
        entry.send(make_order(8, action="fence"))
        assert (await entry.next(messages.RankOrderDone)).is_accepted
        while (await entry.next(messages.RankReport)).fencing_token != 8:
            continue
        assert engine.orders == []

    run(scenario)


def test_read_started_before_a_fence_does_not_carry_its_token():
    """Guards against a leader that acts on a state that was read before its fence."""

    async def scenario(agent, engine, entry):
        await entry.next(messages.RankReport)
        gate = engine.gate = asyncio.Event()
        await engine.is_waiting.wait()
        engine.gate = None
        engine.state = replace(engine.state, held_step=9)
        entry.send(make_order(8, action="fence"))
        report = await entry.next(messages.RankReport)
        while report.fencing_token != 8:
            report = await entry.next(messages.RankReport)
        assert report.held_step == 9
        gate.set()
        for _ in range(3):
            report = await entry.next(messages.RankReport)
            assert (report.fencing_token, report.held_step) == (8, 9)

    run(scenario)


def test_refusal_by_the_engine_is_sent_to_the_leader():
    """Guards against a leader that treats a refused order as accepted."""

    async def scenario(agent, engine, entry):
        entry.send(make_order(1, action="arm", map_version=409, step=3))
        assert not (await entry.next(messages.RankOrderDone)).is_accepted
        assert engine.orders[0].action is OrderAction.ARM

    run(scenario)


def test_unanswered_order_is_retried_at_once():
    """Guards against a group that waits at a held step for an unanswered order.

    With half of the orders lost, each change made a group of 12 ranks wait for 1 s.
    """

    async def scenario(agent, engine, entry):
        engine.n_unanswered = 3
        entry.send(make_order(1, step=9))
        assert (await entry.next(messages.RankOrderDone)).is_accepted
        assert len(engine.orders) == 1

    run(scenario)


def test_counts_are_relative_to_the_previous_request():
    """Guards against plans based on all choices since the start of the rank."""

    async def scenario(agent, engine, entry):
        entry.send(messages.RankPull(call_id="1", with_map=True))
        first = await entry.next(messages.RankCounts)
        assert first.packed_counts is None
        assert first.experts == [[0, 1, 2]]
        engine.counts = RankCounts(1, 6, (10, 120, 40), (), 7)
        entry.send(messages.RankPull(call_id="2", with_map=False))
        second = await entry.next(messages.RankCounts)
        assert unpack_counts(second.packed_counts) == [0, 100, 10]

    run(scenario)


def test_failed_read_of_counts_is_answered_with_the_reason():
    """Guards against a leader that waits for the counts of an unresponsive engine."""

    async def scenario(agent, engine, entry):
        engine.is_down = True
        entry.send(messages.RankPull(call_id="1", with_map=False))
        answer = await entry.next(messages.RankCounts)
        assert answer.reason == "refused"

    run(scenario)


def test_unexpected_message_closes_the_connection():
    """Guards against attempts sent to a rank agent, which cannot run requests."""

    async def scenario(agent, engine, entry):
        entry.send(messages.Dispatch(attempt_id="a"))
        await entry.wait(lambda: not agent._connections)

    run(scenario)


@pytest.mark.parametrize(
    ("change", "found"),
    [
        ({"listen": "10.0.0.1"}, "listen: found '10.0.0.1': expected host:port"),
        ({"engine": 5}, "engine: found 5"),
        ({"shared_secret": "short"}, "shared_secret: found str"),
        ({"instance_id": None}, "instance_id: found None"),
    ],
)
def test_error_names_the_invalid_setting(tmp_path, change, found):
    """Guards against an agent that starts with missing or invalid settings.

    The error names the setting and contains no secret.
    """
    import json

    document = {
        "instance_id": "side-1",
        "failure_domain": "d",
        "shared_secret": SECRET,
        "listen": "10.0.0.1:7340",
        "engine": "10.0.0.1:80",
        "metrics": "10.0.0.1:9100",
    }
    path = tmp_path / "agent.json"
    path.write_text(json.dumps(document))
    assert RankAgentSettings.from_file(str(path)).listen.port == 7340
    path.write_text(json.dumps({**document, **change}))
    with pytest.raises(StepError) as error_info:
        RankAgentSettings.from_file(str(path))
    assert found in str(error_info.value)
    if "shared_secret" in change:
        assert "short" not in str(error_info.value)


def test_group_waits_less_than_a_gap_of_a_stream_for_lost_answers_to_orders():
    """Guards against a group that is held while the agent of one rank waits.

    Of twelve ranks whose engines answer half of the orders, the slowest one answers the
    fifth order. Callers count gaps between events above 120 ms as late, and a machine
    that freezes meanwhile holds the group until it resumes.
    """
    n_lost, max_gap_ms = 4, 120

    async def scenario(agent, engine, entry):
        engine.n_unanswered = n_lost
        entry.send(make_order(1, step=9))
        assert (await entry.next(messages.RankOrderDone)).is_accepted
        assert engine.waited_ms <= max_gap_ms / 2

    run(scenario)
