"""The leader of the maps against a model of a group."""

import asyncio
from dataclasses import replace
from random import Random

import pytest

from bluebellusher.ranks import MapLeader
from bluebellusher.shared.tests.fakes import FakeLog, wait_until
from bluebellusher_core.clock import SystemClock
from bluebellusher_core.directory import GroupModel
from bluebellusher_core.ranks import (
    OrderAction,
    RankOrder,
    pack_counts,
)
from bluebellusher_core.ranks.tests._engines import Group
from bluebellusher_core.wire import messages

N_RANKS, N_EXPERTS = 4, 8
MODEL = GroupModel(
    n_layers=1,
    n_experts=N_EXPERTS,
    n_slots=4,
    n_max_new=2,
    n_expert_bytes=1,
    load_ms=10.0,
    expert_share=0.85,
)
N_FENCES = 2 * N_RANKS
HOT = [1_000, 10, 10, 10, 10, 10, 10, 10]


class Lease:
    """A lease that the test gives and takes."""

    leading_token = 1

    def record_seen_token(self, token):
        """Ignore tokens of others."""


class Links:
    """Agents of a model group; ``lose`` decides which orders get no answer."""

    def __init__(self, group, lose=lambda order: False):
        self.on_state = None
        self.group = group
        self.lose = lose
        self.counts = HOT
        self.n_orders = 0
        self.counted_ids = set()
        self._clock = SystemClock()

    def states(self):
        """Return fresh states of every rank."""
        now_ms = self._clock.now_ms()
        return [
            replace(self.group.get_state(rank), received_at_ms=now_ms)
            for rank in range(len(self.group.engines))
        ]

    def find_domain(self, rank_id):
        """Return the domain of a rank; each has a quarter of the group."""
        return f"d{int(rank_id) % 4}"

    async def call(self, rank_id, message):
        """Answer a question for counts."""
        if not message.with_map:
            self.counted_ids.add(rank_id)
        await asyncio.sleep(0)
        engine = self.group.engines[int(rank_id)]
        experts = [
            [e for e in range(N_EXPERTS) if e % len(self.group.engines) == engine.rank]
        ]
        if engine.map_content:
            experts = [list(layer[engine.rank]) for layer in engine.map_content]
        return messages.RankCounts(
            epoch=engine.epoch,
            step=self.group.step,
            packed_counts=pack_counts(self.counts),
            experts=experts if message.with_map else [],
            map_version=engine.map_version,
        )

    async def give(self, order: RankOrder):
        """Carry out an order, with or without an answer."""
        await asyncio.sleep(0)
        self.n_orders += 1
        rank = int(order.rank_id)
        if self.lose(order):
            return None
        token = max(self.group.token_by_rank[rank], order.fencing_token)
        self.group.token_by_rank[rank] = token
        self.group.engines[rank].execute(order, self.group.step)
        return messages.RankOrderDone(is_accepted=True, reason="")


def run(links, scenario):
    """Run a leader and the passes of its group beside a scenario."""

    async def go_on():
        while True:
            links.group.start_pass()
            await asyncio.sleep(0.02)

    def find_model(rank_id):
        return MODEL

    async def main():
        log = FakeLog()
        leader = MapLeader(
            Lease(), links, find_model, "d0", 300.0, SystemClock(), Random(1), log
        )
        tasks = [asyncio.create_task(leader.run()), asyncio.create_task(go_on())]
        try:
            async with asyncio.timeout(20):
                await scenario(leader, log)
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(main())


def test_hot_expert_is_spread_over_the_ranks():
    """Guards against a straggler that nobody relieves."""
    links = Links(Group(N_RANKS))

    async def scenario(leader, log):
        await wait_until(lambda: links.group.n_switches >= 1)
        content = links.group.engines[0].map_content
        holders = [rank for rank in range(N_RANKS) if 0 in content[0][rank]]
        assert len(holders) > 1
        line = next(fields for name, fields in log.lines if name == "map-wanted")
        assert line["planned_skew"] < line["skew"]

    run(links, scenario)


def test_lost_orders_are_given_again():
    """Guards against a group that waits seconds for an order that was lost."""
    chance = Random(2)
    links = Links(Group(N_RANKS), lose=lambda order: chance.random() < 0.35)

    async def scenario(leader, log):
        await wait_until(lambda: links.group.n_switches >= 1)

    run(links, scenario)


def test_even_load_gets_no_orders():
    """Guards against copies and pauses that save nothing."""
    links = Links(Group(N_RANKS))
    links.counts = [100] * N_EXPERTS

    async def scenario(leader, log):
        await asyncio.sleep(1.0)
        assert links.n_orders == N_FENCES, "only the fences"

    run(links, scenario)


def test_unreadable_counts_are_logged_and_cause_no_change():
    """Guards against damaged counts that are taken for no load without a trace."""
    links = Links(Group(N_RANKS))
    answer = links.call

    async def call_damaged(rank_id, message):
        counts = await answer(rank_id, message)
        counts.packed_counts = b"?"
        return counts

    links.call = call_damaged

    async def scenario(leader, log):
        await wait_until(lambda: any(n == "counts-unreadable" for n, _ in log.lines))
        await wait_until(lambda: links.n_orders >= N_FENCES)
        await asyncio.sleep(0.5)
        assert links.n_orders == N_FENCES, "only the fences"
        fields = next(f for n, f in log.lines if n == "counts-unreadable")
        assert fields["rank"] in {str(rank) for rank in range(N_RANKS)}
        assert "expected at least" in fields["reason"]

    run(links, scenario)


def test_entry_without_the_lease_gives_no_orders():
    """Guards against two leaders."""
    links = Links(Group(N_RANKS))

    async def scenario(leader, log):
        leader._lease.leading_token = None
        await asyncio.sleep(0.6)
        assert links.n_orders == 0

    run(links, scenario)


def test_group_that_is_formed_anew_is_planned_for_from_its_first_map():
    """Guards against a plan for a map that the group has forgotten."""
    links = Links(Group(N_RANKS))

    async def scenario(leader, log):
        await wait_until(lambda: links.group.n_switches >= 1)
        links.group.form_again()
        n_before = links.group.n_switches
        await wait_until(lambda: links.group.n_switches > n_before)

    run(links, scenario)


def test_retiring_leader_finishes_its_change():
    """Guards against a held step that waits for the next leader."""
    held = []

    def lose(order):
        if order.action is OrderAction.HOLD:
            held.append(order)
        return False

    links = Links(Group(N_RANKS), lose)

    async def scenario(leader, log):
        await wait_until(lambda: held)
        await leader.retire(2_000)
        assert not any(e.held_step for e in links.group.engines)
        assert not any(e.armed for e in links.group.engines)

    run(links, scenario)


@pytest.mark.parametrize("n_unanswered", [0, 1, 3])
def test_step_that_was_held_late_is_used_for_the_present_map(n_unanswered):
    """Guards against a release that is late in turn, and against a group held on."""
    links = Links(Group(N_RANKS))
    links.counts = [100] * N_EXPERTS
    answer, unanswered = links.call, []

    async def call(rank_id, message):
        if message.with_map and rank_id == "2" and len(unanswered) < n_unanswered:
            unanswered.append(message)
            return None
        return await answer(rank_id, message)

    links.call = call

    async def scenario(leader, log):
        await wait_until(lambda: links.n_orders >= N_FENCES)
        links.group.engines[0].held_step = links.group.step + 1
        await wait_until(lambda: links.group.n_switches >= 1)
        held_step = links.group.step
        await wait_until(lambda: links.group.step > held_step + 3)
        assert any(name == "map-repeated" for name, _ in log.lines)

    run(links, scenario)


def test_large_group_is_counted_in_the_domain_of_its_leader():
    """Guards against counts that cost more bytes between domains than requests do."""
    links = Links(Group(32))

    async def scenario(leader, log):
        await wait_until(lambda: links.group.n_switches >= 1)
        assert links.counted_ids == {str(rank) for rank in range(0, 32, 4)}

    run(links, scenario)
