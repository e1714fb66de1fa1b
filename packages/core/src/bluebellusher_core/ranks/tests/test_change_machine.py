"""Map changes with delayed orders, failed leaders and crashed ranks."""

from dataclasses import replace
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from bluebellusher_core.ranks import (
    GroupView,
    MapChange,
    OrderAction,
    to_leader_token,
)
from bluebellusher_core.ranks._change import MAX_ORDER_DELAY_MS
from bluebellusher_core.ranks.tests._engines import Group

N_RANKS = 3
RANKS = st.integers(0, N_RANKS - 1)
INDICES = st.integers(0, 100)
MAX_AGE_MS = 1_000
WEIGHT_BY_ACTION = {
    "report": 6,
    "report_all": 3,
    "decide": 6,
    "set_target": 4,
    "deliver": 12,
    "deliver_directly": 2,
    "lose_order": 1,
    "execute": 10,
    "start_pass": 2,
    "start_new_leader": 0.2,
}
ACTIONS = tuple(WEIGHT_BY_ACTION)


class _Leader:
    """A leader with the last reported states of the ranks.

    It may continue to send orders after a newer leader has started.
    """

    def __init__(self, token):
        self.token = token
        self.change = MapChange(token)
        self.state_by_rank = {}
        self.n_maps = 0

    def set_new_target(self, epoch):
        """Set a target map that differs from the maps of all other leaders."""
        self.n_maps += 1
        return self.change.set_target((((self.token, self.n_maps),),), epoch)


class ChangeMachine(RuleBasedStateMachine):
    """Guards against a pass that starts with different maps on its ranks.

    The actions of the protocol are interleaved in every way: agents receive orders
    late, engines carry them out late and out of order, new leaders start while old
    ones stop or continue, and the group is formed again.
    """

    @initialize()
    def start(self):
        """Create a group with its first leader."""
        self.group = Group(N_RANKS)
        self.leaders = [_Leader(1)]
        self.now_ms = 0

    @rule(index=INDICES, rank=RANKS)
    def report(self, index, rank):
        """Deliver a report of the current state of one rank to a leader."""
        leader = self.leaders[index % len(self.leaders)]
        leader.state_by_rank[rank] = self.group.get_state(rank)

    @rule(index=INDICES)
    def report_all(self, index):
        """Deliver reports of the current state of every rank to a leader."""
        for rank in range(N_RANKS):
            self.report(index, rank)

    @rule(index=INDICES)
    def decide(self, index):
        """Make a leader send the orders that it decides on."""
        leader = self.leaders[index % len(self.leaders)]
        view = GroupView.from_states(leader.state_by_rank.values(), 0, MAX_AGE_MS)
        if view is None:
            return
        self.group.send(leader.change.decide(view, self.now_ms))
        if leader.change.is_blocked:
            leader.set_new_target(view.epoch)

    @rule(index=INDICES)
    def set_target(self, index):
        """Make an idle leader set a new target map."""
        leader = self.leaders[index % len(self.leaders)]
        view = GroupView.from_states(leader.state_by_rank.values(), 0, MAX_AGE_MS)
        if view is None or not leader.change.is_idle:
            return
        leader.set_new_target(view.epoch)

    @rule(index=INDICES)
    def abort_change(self, index):
        """Make a leader abort a change whose map takes too long to prepare."""
        leader = self.leaders[index % len(self.leaders)]
        view = GroupView.from_states(leader.state_by_rank.values(), 0, MAX_AGE_MS)
        if view is not None and not view.armed_states and not view.holding_states:
            leader.change.clear_target()

    @precondition(lambda self: self.group.orders_in_transit)
    @rule(index=INDICES)
    def deliver(self, index):
        """Deliver one order to its agent."""
        self.group.deliver(index)

    @precondition(lambda self: self.group.orders_in_transit)
    @rule(index=INDICES)
    def deliver_directly(self, index):
        """Deliver an order of the newest leader to its engine, bypassing the agent.

        This is stricter than the product, in which an agent checks every order.
        """
        order = self.group.orders_in_transit[index % len(self.group.orders_in_transit)]
        if to_leader_token(order.fencing_token) == self.leaders[-1].token:
            self.group.deliver_directly(index)

    @precondition(lambda self: self.group.orders_in_transit)
    @rule(index=INDICES)
    def lose_order(self, index):
        """Lose an order in transit."""
        del self.group.orders_in_transit[index % len(self.group.orders_in_transit)]

    @precondition(lambda self: self.group.accepted)
    @rule(index=INDICES)
    def execute(self, index):
        """Make an engine carry out one order."""
        self.group.execute(index)

    @precondition(lambda self: self.group.accepted)
    @rule()
    def execute_all(self):
        """Make the engines carry out all accepted orders."""
        while self.group.accepted:
            self.group.execute(0)

    @rule(n=st.integers(1, 3))
    def run_passes(self, n):
        """Run up to ``n`` passes of the group."""
        for _ in range(n):
            self.group.start_pass()

    @rule(seed=st.integers(0, 2**32), n=st.integers(20, 200))
    def run_random_actions(self, seed, n):
        """Run ``n`` weighted random actions, chosen by ``seed``."""
        rng = Random(seed)
        for name in rng.choices(ACTIONS, WEIGHT_BY_ACTION.values(), k=n):
            index = rng.randrange(1_000)
            match name:
                case "report":
                    self.report(index, index % N_RANKS)
                case "report_all":
                    self.report_all(index)
                case "decide":
                    self.decide(index)
                case "set_target":
                    self.set_target(index)
                case "deliver" if self.group.orders_in_transit:
                    self.group.deliver(index)
                case "deliver_directly" if self.group.orders_in_transit:
                    self.deliver_directly(index)
                case "lose_order" if self.group.orders_in_transit:
                    self.lose_order(index)
                case "execute" if self.group.accepted:
                    self.group.execute(index)
                case "start_pass":
                    self.group.start_pass()
                case "start_new_leader" if len(self.leaders) < 4:
                    self.start_new_leader()

    @rule(n=st.integers(1, 6), index=INDICES)
    def run_rounds(self, n, index):
        """Run ``n`` rounds in which each order is delivered and carried out at once."""
        for _ in range(n):
            self.report_all(index)
            self.decide(index)
            while self.group.orders_in_transit:
                self.group.deliver(0)
            self.execute_all()
            self.group.start_pass()
        # Advance the clock until no engine can carry out a delayed order any more.
        self.now_ms += MAX_ORDER_DELAY_MS

    @precondition(lambda self: len(self.leaders) < 4)
    @rule()
    def start_new_leader(self):
        """Start a new leader while the old one continues."""
        self.leaders.append(_Leader(self.leaders[-1].token + 1))

    @rule()
    def form_again(self):
        """Form the group again in a new epoch."""
        self.group.form_again()

    def teardown(self):
        """Guards against a group that waits at a held step forever."""
        if not hasattr(self, "group"):
            return
        leader = len(self.leaders) - 1
        self.run_rounds(20, leader)
        self.run_rounds(20, leader)
        step = self.group.step
        self.run_rounds(3, leader)
        assert self.group.step == step + 3, "the group still waits at a held step"


TestChangeMachine = ChangeMachine.TestCase
TestChangeMachine.settings = settings(max_examples=300, stateful_step_count=15)


def run_without_faults(group, leader, n):
    """Run ``n`` rounds of one leader and its group without faults."""
    machine = ChangeMachine()
    machine.group, machine.leaders, machine.now_ms = group, [leader], 0
    machine.run_rounds(n, 0)


def test_change_completes_without_faults():
    """Guards against a protocol that is safe because it never changes the map."""
    group, leader = Group(N_RANKS), _Leader(1)
    run_without_faults(group, leader, 3)
    version = leader.set_new_target(epoch=1)
    run_without_faults(group, leader, 8)
    assert [engine.map_version for engine in group.engines] == [version] * N_RANKS
    assert leader.change.is_idle
    assert group.n_switches == 1


def test_new_leader_completes_a_change_that_was_armed():
    """Guards against a step that stays held after its leader has failed."""
    group, first = Group(N_RANKS), _Leader(1)
    run_without_faults(group, first, 2)
    version = first.set_new_target(epoch=1)
    for _ in range(20):
        machine = ChangeMachine()
        machine.group, machine.leaders, machine.now_ms = group, [first], 0
        machine.report_all(0)
        machine.decide(0)
        while group.orders_in_transit:
            group.deliver(0)
        while group.accepted:
            group.execute(0)
        if group.engines[0].armed:
            break
    assert group.engines[0].armed
    # Rank 2 has not received its order to arm.
    group.engines[2].armed = None
    run_without_faults(group, _Leader(2), 8)
    assert [engine.map_version for engine in group.engines] == [version] * N_RANKS


def decide_from_current_states(group, leader, now_ms=0):
    """Return the orders of a leader that has received the state of every rank."""
    states = [group.get_state(rank) for rank in range(N_RANKS)]
    view = GroupView.from_states(states, 0, MAX_AGE_MS)
    return leader.change.decide(view, now_ms)


def deliver_to_agents(group, orders):
    """Deliver orders to the agents; the engines do not carry them out yet."""
    group.send(orders)
    while group.orders_in_transit:
        group.deliver(0)


def prepare_target_map(group, leader):
    """Prepare a map on all ranks, so that the leader's next order is to hold a step."""
    run_without_faults(group, leader, 3)
    leader.set_new_target(epoch=1)
    deliver_to_agents(group, decide_from_current_states(group, leader))
    while group.accepted:
        group.execute(0)


def start_leader_before_late_hold():
    """Return a group with a delayed hold of an old leader while a new one prepares.

    Returns
    -------
    tuple of Group, _Leader and list
        The group, its new leader, and the new leader's accepted orders to prepare,
        which no engine has carried out.
    """
    group, first, second = Group(N_RANKS), _Leader(1), _Leader(2)
    prepare_target_map(group, first)
    deliver_to_agents(group, decide_from_current_states(group, first))
    (delayed_hold,) = group.accepted
    group.accepted.clear()
    for _ in range(2):
        deliver_to_agents(group, decide_from_current_states(group, second))
        group.accepted.clear()
    assert decide_from_current_states(group, second) == []
    second.set_new_target(epoch=1)
    deliver_to_agents(group, decide_from_current_states(group, second))
    delayed_prepares = list(group.accepted)
    group.accepted[:] = [delayed_hold]
    group.execute(0)
    return group, second, delayed_prepares


def test_late_hold_is_not_used_for_a_map_that_is_being_replaced():
    """Guards against ranks armed for one map while orders to prepare another arrive.

    An order to prepare that was carried out late kept the last rank from being armed,
    and the step was released with different maps.
    """
    group, leader, delayed_prepares = start_leader_before_late_hold()
    orders = decide_from_current_states(group, leader)
    assert {order.action for order in orders} == {OrderAction.PREPARE}
    group.accepted += delayed_prepares
    while group.accepted:
        group.execute(0)
    run_without_faults(group, leader, 8)
    assert group.n_switches == 1
    assert group.engines[0].held_step is None


def test_late_hold_is_not_released_before_ranks_are_armed():
    """Guards against a release that is carried out while ranks are being armed."""
    group, leader, _ = start_leader_before_late_hold()
    group.engines[1].prepared = (0, "")
    for _ in range(20):
        orders = decide_from_current_states(group, leader)
        if any(order.action is OrderAction.RELEASE for order in orders):
            break
        deliver_to_agents(group, orders)
        while group.accepted:
            group.execute(0)
    assert all(engine.armed for engine in group.engines)


def test_late_hold_without_target_map_waits_for_one():
    """Guards against a release that is delayed until the next map is being armed.

    The leader sends no release while it has no target map for the held step.
    """
    group, leader = Group(N_RANKS), _Leader(1)
    run_without_faults(group, leader, 3)
    group.engines[0].held_step = group.step + 1
    assert decide_from_current_states(group, leader) == []
    assert leader.change.is_blocked
    leader.set_new_target(epoch=1)
    run_without_faults(group, leader, 8)
    assert group.n_switches == 1
    assert group.engines[0].held_step is None


def test_new_leader_switches_to_held_map_of_previous_leader():
    """Guards against a wait for orders to prepare that no leader can have sent.

    All ranks have prepared the map of the directly preceding leader, so that no order
    to prepare another map can be in transit.
    """
    group, first, second = Group(N_RANKS), _Leader(1), _Leader(2)
    prepare_target_map(group, first)
    deliver_to_agents(group, decide_from_current_states(group, first))
    group.execute(0)
    run_without_faults(group, second, 4)
    assert group.n_switches == 1


def test_leader_waits_while_another_map_may_still_be_prepared():
    """Guards against a delayed order to prepare between two orders to arm.

    Leader 2 may have prepared another map before leader 3 started, so leader 3 arms the
    map of leader 1 only when such an order can no longer take effect.
    """
    group, first, third = Group(N_RANKS), _Leader(1), _Leader(3)
    prepare_target_map(group, first)
    deliver_to_agents(group, decide_from_current_states(group, first))
    group.execute(0)
    for _ in range(2):
        deliver_to_agents(group, decide_from_current_states(group, third))
        group.accepted.clear()
    assert decide_from_current_states(group, third, now_ms=5) == []
    assert (
        decide_from_current_states(group, third, now_ms=5 + MAX_ORDER_DELAY_MS - 1)
        == []
    )
    orders = decide_from_current_states(group, third, now_ms=5 + MAX_ORDER_DELAY_MS)
    assert {order.action for order in orders} == {OrderAction.ARM}


def test_state_read_before_the_last_fence_is_not_used():
    """Guards against a hold that only the previous leader has observed.

    A state that was read before the last agent was fenced does not show this hold.
    """
    group, first, second = Group(N_RANKS), _Leader(1), _Leader(2)
    prepare_target_map(group, first)
    deliver_to_agents(group, decide_from_current_states(group, first))
    delayed_hold = group.accepted.pop()
    fences = decide_from_current_states(group, second)
    deliver_to_agents(group, fences[:1])
    old_state = group.get_state(0)
    # Rank 0 holds the step now, and the first leader arms the ranks whose agents the
    # second leader has not fenced yet.
    group.accepted[:] = [delayed_hold]
    group.execute(0)
    deliver_to_agents(group, decide_from_current_states(group, first)[1:])
    assert [order.action for _, order in group.accepted] == [OrderAction.ARM] * 2
    deliver_to_agents(group, fences[1:])
    view = GroupView.from_states(
        [old_state, group.get_state(1), group.get_state(2)], 0, MAX_AGE_MS
    )
    orders = second.change.decide(view, 0)
    assert [order.action for order in orders] == [OrderAction.FENCE] * N_RANKS
    run_without_faults(group, second, 8)
    assert group.n_switches == 1


def test_wait_restarts_with_each_held_step():
    """Guards against a wait that counts the time since an earlier held step.

    Orders to prepare that are still in transit could then take effect while ranks are
    being armed.
    """
    group, first, third = Group(N_RANKS), _Leader(1), _Leader(3)
    prepare_target_map(group, first)
    group.engines[0].held_step = group.step + 1
    for _ in range(2):
        deliver_to_agents(group, decide_from_current_states(group, third))
        group.accepted.clear()
    assert decide_from_current_states(group, third) == []
    group.engines[0].held_step = group.step + 2
    assert decide_from_current_states(group, third, now_ms=MAX_ORDER_DELAY_MS) == []
    assert decide_from_current_states(group, third, now_ms=2 * MAX_ORDER_DELAY_MS)


def test_states_of_different_epochs_give_no_view():
    """Guards against orders that are based on states of two epochs of a group."""
    group = Group(N_RANKS)
    states = [group.get_state(rank) for rank in range(N_RANKS)]
    states[1] = replace(states[1], epoch=2)
    assert GroupView.from_states(states, 0, MAX_AGE_MS) is None


def test_outdated_states_give_no_view():
    """Guards against orders that are based on outdated states."""
    states = [Group(N_RANKS).get_state(rank) for rank in range(N_RANKS)]
    assert GroupView.from_states(states, MAX_AGE_MS + 1, MAX_AGE_MS) is None
