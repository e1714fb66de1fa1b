"""Tests of the map leader with a model of a group."""

import asyncio
from dataclasses import replace
from random import Random

import pytest

from bluebellusher.ranks import MapLeader
from bluebellusher.ranks._leader import MAX_STATE_AGE_MS
from bluebellusher.shared.tests.fakes import FakeLog, wait_until
from bluebellusher_core.clock import ManualClock, SystemClock
from bluebellusher_core.directory import GroupModel
from bluebellusher_core.ranks import (
    OrderAction,
    RankOrder,
    pack_counts,
    to_leader_token,
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


class FakeLease:
    """Fake lease; a test ends the leadership by setting ``leading_token`` to None."""

    leading_token = 1
    seen_token = 0

    def record_seen_token(self, token):
        """Record the highest token that an agent has accepted."""
        self.seen_token = max(self.seen_token, token)


class FakeLinks:
    """Fake connections to the agents of a model group.

    ``is_lost`` returns whether an order is lost; a lost order has no effect or answer.
    ``counts`` are the counts that every rank returns, and ``counted_ids`` are the ranks
    from which counts were requested without the experts.
    """

    def __init__(self, group, is_lost=lambda order: False):
        self.on_state = None
        self.group = group
        self.is_lost = is_lost
        self.counts = HOT
        self.n_orders = 0
        self.counted_ids = set()
        self.clock = SystemClock()

    def get_states(self):
        """Return the current states of all ranks."""
        now_ms = self.clock.now_ms()
        return [
            replace(self.group.get_state(rank), received_at_ms=now_ms)
            for rank in range(len(self.group.engines))
        ]

    def find_domain(self, rank_id):
        """Return the failure domain of a rank; each of four domains has a quarter."""
        return f"d{int(rank_id) % 4}"

    async def call(self, rank_id, message):
        """Answer a request for counts, with the rank's experts if requested."""
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

    async def send_order(self, order: RankOrder):
        """Carry out an order and answer it, unless the order is lost."""
        await asyncio.sleep(0)
        self.n_orders += 1
        rank = int(order.rank_id)
        if self.is_lost(order):
            return None
        token = max(self.group.token_by_rank[rank], order.fencing_token)
        self.group.token_by_rank[rank] = token
        self.group.engines[rank].execute(order, self.group.step)
        return messages.RankOrderDone(is_accepted=True, reason="")


def run(links, scenario, clock=None):
    """Run a scenario concurrently with a leader and the passes of its group."""

    async def run_passes():
        while True:
            links.group.start_pass()
            await asyncio.sleep(0.02)

    def find_model(rank_id):
        return MODEL

    async def main():
        log = FakeLog()
        leader = MapLeader(
            FakeLease(),
            links,
            find_model,
            "d0",
            300.0,
            clock or SystemClock(),
            Random(1),
            log,
        )
        tasks = [asyncio.create_task(leader.run()), asyncio.create_task(run_passes())]
        try:
            async with asyncio.timeout(20):
                await scenario(leader, log)
        finally:
            for task in tasks:
                task.cancel()

    asyncio.run(main())


def test_hot_expert_gets_replicas_on_several_ranks():
    """Guards against a rank that stays overloaded and delays every pass."""
    links = FakeLinks(Group(N_RANKS))

    async def scenario(leader, log):
        await wait_until(lambda: links.group.n_switches >= 1)
        content = links.group.engines[0].map_content
        holders = [rank for rank in range(N_RANKS) if 0 in content[0][rank]]
        assert len(holders) > 1
        line = next(fields for name, fields in log.lines if name == "map-wanted")
        assert line["planned_skew"] < line["skew"]

    run(links, scenario)


def test_new_leader_fences_ranks_whose_reports_are_old():
    """Guards against a new leader that waits for the next reports of remote agents.

    The agents report to an entry of another failure domain every 2.4 s only. They
    report at once to an entry that fences them.
    """
    links = FakeLinks(Group(N_RANKS))
    get_current_states, started_ms = links.get_states, SystemClock().now_ms()

    def get_states():
        return [
            state
            if state.fencing_token
            else replace(state, received_at_ms=started_ms - 10 * MAX_STATE_AGE_MS)
            for state in get_current_states()
        ]

    links.get_states = get_states

    async def scenario(leader, log):
        await wait_until(lambda: links.group.n_switches >= 1)

    run(links, scenario)


def test_second_fence_is_not_delayed_by_the_first():
    """Guards against a pause of one repeat interval between the two fences.

    Both fences of an agent differ in their token only, and the second one counted as a
    repetition of the first.
    """
    links = FakeLinks(Group(N_RANKS))
    links.counts = [100] * N_EXPERTS
    # The clock stands still, so that no order is ever due to be repeated.
    clock = links.clock = ManualClock(1_000)

    async def scenario(leader, log):
        await wait_until(lambda: links.n_orders == N_FENCES)

    run(links, scenario, clock)


def test_lost_orders_are_sent_again():
    """Guards against a group that waits for seconds after an order was lost."""
    rng = Random(2)
    links = FakeLinks(Group(N_RANKS), is_lost=lambda order: rng.random() < 0.35)

    async def scenario(leader, log):
        await wait_until(lambda: links.group.n_switches >= 1)

    run(links, scenario)


def test_balanced_load_causes_no_orders_except_fences():
    """Guards against weight loads and held steps that save no time."""
    links = FakeLinks(Group(N_RANKS))
    links.counts = [100] * N_EXPERTS

    async def scenario(leader, log):
        await asyncio.sleep(1.0)
        assert links.n_orders == N_FENCES, "only the fences"

    run(links, scenario)


def test_unreadable_counts_are_logged_and_cause_no_change():
    """Guards against damaged counts that are treated as zero load and not logged."""
    links = FakeLinks(Group(N_RANKS))
    original_call = links.call

    async def call_damaged(rank_id, message):
        counts = await original_call(rank_id, message)
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


def test_entry_without_the_lease_sends_no_orders():
    """Guards against two entries that send orders to the same group."""
    links = FakeLinks(Group(N_RANKS))

    async def scenario(leader, log):
        leader._lease.leading_token = None
        await asyncio.sleep(0.6)
        assert links.n_orders == 0

    run(links, scenario)


def test_plan_for_a_group_formed_again_starts_from_its_first_map():
    """Guards against a plan based on the map of the previous epoch."""
    links = FakeLinks(Group(N_RANKS))

    async def scenario(leader, log):
        await wait_until(lambda: links.group.n_switches >= 1)
        links.group.form_again()
        n_before = links.group.n_switches
        await wait_until(lambda: links.group.n_switches > n_before)

    run(links, scenario)


def test_leader_completes_its_change_before_it_stops():
    """Guards against a step that stays held until there is another leader."""
    hold_orders = []

    def is_lost(order):
        if order.action is OrderAction.HOLD:
            hold_orders.append(order)
        return False

    links = FakeLinks(Group(N_RANKS), is_lost)

    async def scenario(leader, log):
        await wait_until(lambda: hold_orders)
        await leader.finish_changes(2_000)
        assert not any(e.held_step for e in links.group.engines)
        assert not any(e.armed for e in links.group.engines)

    run(links, scenario)


@pytest.mark.parametrize("n_unanswered", [0, 1, 3])
def test_late_hold_is_used_to_switch_to_the_current_map(n_unanswered):
    """Guards against a late hold that blocks its group or is released unsafely.

    A release could be carried out late as well, so the held step is used to switch to
    the current map. This must also work when a rank does not answer the request for its
    experts.
    """
    links = FakeLinks(Group(N_RANKS))
    links.counts = [100] * N_EXPERTS
    original_call, unanswered = links.call, []

    async def call(rank_id, message):
        if message.with_map and rank_id == "2" and len(unanswered) < n_unanswered:
            unanswered.append(message)
            return None
        return await original_call(rank_id, message)

    links.call = call

    async def scenario(leader, log):
        await wait_until(lambda: links.n_orders >= N_FENCES)
        links.group.engines[0].held_step = links.group.step + 1
        await wait_until(lambda: links.group.n_switches >= 1)
        held_step = links.group.step
        await wait_until(lambda: links.group.step > held_step + 3)
        assert any(name == "map-repeated" for name, _ in log.lines)

    run(links, scenario)


def test_large_group_is_counted_only_in_the_domain_of_its_leader():
    """Guards against counts that need more bytes between domains than requests."""
    links = FakeLinks(Group(32))

    async def scenario(leader, log):
        await wait_until(lambda: links.group.n_switches >= 1)
        assert links.counted_ids == {str(rank) for rank in range(0, 32, 4)}

    run(links, scenario)


def test_entry_that_does_not_lead_records_the_tokens_of_agents():
    """Guards against a token that is used twice after the lease's row was lost."""
    links = FakeLinks(Group(N_RANKS))

    async def scenario(leader, log):
        leader._lease.leading_token = None
        await wait_until(lambda: links.on_state is not None)
        links.on_state(replace(links.get_states()[0], fencing_token=21))
        assert leader._lease.seen_token == to_leader_token(21) == 10

    run(links, scenario)
