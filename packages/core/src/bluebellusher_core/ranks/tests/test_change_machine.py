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
    leader_token_of,
)
from bluebellusher_core.ranks._change import LATE_ORDER_MS
from bluebellusher_core.ranks.tests._engines import Group

N_RANKS = 3
RANKS = st.integers(0, N_RANKS - 1)
PLACES = st.integers(0, 100)
MAX_AGE_MS = 1_000
WEIGHT_BY_ACTION = {
    "report": 6,
    "report_all": 3,
    "decide": 6,
    "want": 4,
    "deliver": 12,
    "deliver_directly": 2,
    "lose": 1,
    "execute": 10,
    "pass": 2,
    "replace": 0.2,
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

    def want(self, epoch):
        """Set a target map that differs from the maps of all other leaders."""
        self.n_maps += 1
        return self.change.want((((self.token, self.n_maps),),), epoch)


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

    @rule(at=PLACES, rank=RANKS)
    def report(self, at, rank):
        """Deliver a report of the current state of one rank to a leader."""
        leader = self.leaders[at % len(self.leaders)]
        leader.state_by_rank[rank] = self.group.read(rank)

    @rule(at=PLACES)
    def report_all(self, at):
        """Deliver reports of the current state of every rank to a leader."""
        for rank in range(N_RANKS):
            self.report(at, rank)

    @rule(at=PLACES)
    def decide(self, at):
        """Make a leader send the orders that it decides on."""
        leader = self.leaders[at % len(self.leaders)]
        view = GroupView.from_states(leader.state_by_rank.values(), 0, MAX_AGE_MS)
        if view is None:
            return
        self.group.send(leader.change.decide(view, self.now_ms))
        if leader.change.is_blocked:
            leader.want(view.epoch)

    @rule(at=PLACES)
    def want(self, at):
        """Make an idle leader set a new target map."""
        leader = self.leaders[at % len(self.leaders)]
        view = GroupView.from_states(leader.state_by_rank.values(), 0, MAX_AGE_MS)
        if view is None or not leader.change.is_idle:
            return
        leader.want(view.epoch)

    @rule(at=PLACES)
    def give_up(self, at):
        """Make a leader abort a change whose map takes too long to prepare."""
        leader = self.leaders[at % len(self.leaders)]
        view = GroupView.from_states(leader.state_by_rank.values(), 0, MAX_AGE_MS)
        if view is not None and not view.armed and not view.held:
            leader.change.give_up()

    @precondition(lambda self: self.group.under_way)
    @rule(at=PLACES)
    def deliver(self, at):
        """Deliver one order to its agent."""
        self.group.deliver(at)

    @precondition(lambda self: self.group.under_way)
    @rule(at=PLACES)
    def deliver_directly(self, at):
        """Deliver an order of the newest leader to its engine, bypassing the agent.

        This is stricter than the product, in which an agent checks every order.
        """
        order = self.group.under_way[at % len(self.group.under_way)]
        if leader_token_of(order.fencing_token) == self.leaders[-1].token:
            self.group.deliver_directly(at)

    @precondition(lambda self: self.group.under_way)
    @rule(at=PLACES)
    def lose(self, at):
        """Lose an order in transit."""
        del self.group.under_way[at % len(self.group.under_way)]

    @precondition(lambda self: self.group.accepted)
    @rule(at=PLACES)
    def execute(self, at):
        """Make an engine carry out one order."""
        self.group.execute(at)

    @precondition(lambda self: self.group.accepted)
    @rule()
    def execute_all(self):
        """Make the engines carry out all accepted orders."""
        while self.group.accepted:
            self.group.execute(0)

    @rule(n=st.integers(1, 3))
    def begin_passes(self, n):
        """Run up to ``n`` passes of the group."""
        for _ in range(n):
            self.group.begin_pass()

    @rule(seed=st.integers(0, 2**32), n=st.integers(20, 200))
    def churn(self, seed, n):
        """Run ``n`` weighted random actions, chosen by ``seed``."""
        chance = Random(seed)
        for name in chance.choices(ACTIONS, WEIGHT_BY_ACTION.values(), k=n):
            at = chance.randrange(1_000)
            match name:
                case "report":
                    self.report(at, at % N_RANKS)
                case "report_all":
                    self.report_all(at)
                case "decide":
                    self.decide(at)
                case "want":
                    self.want(at)
                case "deliver" if self.group.under_way:
                    self.group.deliver(at)
                case "deliver_directly" if self.group.under_way:
                    self.deliver_directly(at)
                case "lose" if self.group.under_way:
                    self.lose(at)
                case "execute" if self.group.accepted:
                    self.group.execute(at)
                case "pass":
                    self.group.begin_pass()
                case "replace" if len(self.leaders) < 4:
                    self.replace_leader()

    @rule(n=st.integers(1, 6), at=PLACES)
    def work(self, n, at):
        """Run ``n`` rounds in which each order is delivered and carried out at once."""
        for _ in range(n):
            self.report_all(at)
            self.decide(at)
            while self.group.under_way:
                self.group.deliver(0)
            self.execute_all()
            self.group.begin_pass()
        # After this time no engine carries out an earlier order any more.
        self.now_ms += LATE_ORDER_MS

    @precondition(lambda self: len(self.leaders) < 4)
    @rule()
    def replace_leader(self):
        """Start a new leader while the old one continues."""
        self.leaders.append(_Leader(self.leaders[-1].token + 1))

    @rule()
    def form_anew(self):
        """Form the group again in a new epoch."""
        self.group.form_anew()

    def teardown(self):
        """Guards against a group that waits at a held step forever."""
        if not hasattr(self, "group"):
            return
        leader = len(self.leaders) - 1
        self.work(20, leader)
        self.work(20, leader)
        step = self.group.step
        self.work(3, leader)
        assert self.group.step == step + 3, "the group still waits at a held step"


TestChangeMachine = ChangeMachine.TestCase
TestChangeMachine.settings = settings(max_examples=300, stateful_step_count=15)


def run_in_order(group, leader, n):
    """Run ``n`` rounds of one leader and its group without faults."""
    machine = ChangeMachine()
    machine.group, machine.leaders, machine.now_ms = group, [leader], 0
    machine.work(n, 0)


def test_change_arrives_without_faults():
    """Guards against a protocol that is safe because it never changes the map."""
    group, leader = Group(N_RANKS), _Leader(1)
    run_in_order(group, leader, 3)
    version = leader.want(epoch=1)
    run_in_order(group, leader, 8)
    assert [engine.map_version for engine in group.engines] == [version] * N_RANKS
    assert leader.change.is_idle
    assert group.n_switches == 1


def test_new_leader_completes_a_change_that_was_armed():
    """Guards against a step that stays held after its leader has failed."""
    group, first = Group(N_RANKS), _Leader(1)
    run_in_order(group, first, 2)
    version = first.want(epoch=1)
    for _ in range(20):
        machine = ChangeMachine()
        machine.group, machine.leaders, machine.now_ms = group, [first], 0
        machine.report_all(0)
        machine.decide(0)
        while group.under_way:
            group.deliver(0)
        while group.accepted:
            group.execute(0)
        if group.engines[0].armed:
            break
    assert group.engines[0].armed
    # Rank 2 has not received its order to arm.
    group.engines[2].armed = None
    run_in_order(group, _Leader(2), 8)
    assert [engine.map_version for engine in group.engines] == [version] * N_RANKS


def see(group, leader, now_ms=0):
    """Return the orders of a leader that has received the state of every rank."""
    states = [group.read(rank) for rank in range(N_RANKS)]
    view = GroupView.from_states(states, 0, MAX_AGE_MS)
    return leader.change.decide(view, now_ms)


def deliver_all(group, orders):
    """Deliver orders to the agents; the engines do not carry them out yet."""
    group.send(orders)
    while group.under_way:
        group.deliver(0)


def prepare_all(group, leader):
    """Prepare a map on all ranks, so that the leader's next order is to hold a step."""
    run_in_order(group, leader, 3)
    leader.want(epoch=1)
    deliver_all(group, see(group, leader))
    while group.accepted:
        group.execute(0)


def take_over_before_late_hold():
    """Return a group with a delayed hold of an old leader while a new one prepares.

    Returns
    -------
    tuple of Group, _Leader and list
        The group, its new leader, and the new leader's accepted orders to prepare,
        which no engine has carried out.
    """
    group, first, second = Group(N_RANKS), _Leader(1), _Leader(2)
    prepare_all(group, first)
    deliver_all(group, see(group, first))
    (late_hold,) = group.accepted
    group.accepted.clear()
    for _ in range(2):
        deliver_all(group, see(group, second))
        group.accepted.clear()
    assert see(group, second) == []
    second.want(epoch=1)
    deliver_all(group, see(group, second))
    late_prepares = list(group.accepted)
    group.accepted[:] = [late_hold]
    group.execute(0)
    return group, second, late_prepares


def test_late_hold_is_not_used_for_a_map_that_is_being_replaced():
    """Guards against ranks armed for one map while orders to prepare another arrive.

    An order to prepare that was carried out late kept the last rank from being armed,
    and the step was released with different maps.
    """
    group, leader, late_prepares = take_over_before_late_hold()
    orders = see(group, leader)
    assert {order.action for order in orders} == {OrderAction.PREPARE}
    group.accepted += late_prepares
    while group.accepted:
        group.execute(0)
    run_in_order(group, leader, 8)
    assert group.n_switches == 1
    assert group.engines[0].held_step is None


def test_late_hold_is_not_released_before_ranks_are_armed():
    """Guards against a release that is carried out while ranks are being armed."""
    group, leader, _ = take_over_before_late_hold()
    group.engines[1].prepared = (0, "")
    for _ in range(20):
        orders = see(group, leader)
        if any(order.action is OrderAction.GO for order in orders):
            break
        deliver_all(group, orders)
        while group.accepted:
            group.execute(0)
    assert all(engine.armed for engine in group.engines)


def test_late_hold_without_a_map_waits_for_one():
    """Guards against a release that is delayed until the next map is being armed.

    The leader sends no release while it has no target map for the held step.
    """
    group, leader = Group(N_RANKS), _Leader(1)
    run_in_order(group, leader, 3)
    group.engines[0].held_step = group.step + 1
    assert see(group, leader) == []
    assert leader.change.is_blocked
    leader.want(epoch=1)
    run_in_order(group, leader, 8)
    assert group.n_switches == 1
    assert group.engines[0].held_step is None


def test_leader_goes_on_with_the_held_map_of_the_one_before_it():
    """Guards against a wait for orders to prepare that no leader can have sent.

    All ranks have prepared the map of the directly preceding leader, so that no order
    to prepare another map can be in transit.
    """
    group, first, second = Group(N_RANKS), _Leader(1), _Leader(2)
    prepare_all(group, first)
    deliver_all(group, see(group, first))
    group.execute(0)
    run_in_order(group, second, 4)
    assert group.n_switches == 1


def test_leader_waits_where_an_earlier_one_may_have_prepared_another_map():
    """Guards against a delayed order to prepare between two orders to arm.

    Leader 2 may have prepared another map before leader 3 started, so leader 3 arms the
    map of leader 1 only when such an order can no longer take effect.
    """
    group, first, third = Group(N_RANKS), _Leader(1), _Leader(3)
    prepare_all(group, first)
    deliver_all(group, see(group, first))
    group.execute(0)
    for _ in range(2):
        deliver_all(group, see(group, third))
        group.accepted.clear()
    assert see(group, third, now_ms=5) == []
    assert see(group, third, now_ms=5 + LATE_ORDER_MS - 1) == []
    orders = see(group, third, now_ms=5 + LATE_ORDER_MS)
    assert {order.action for order in orders} == {OrderAction.ARM}


def test_state_from_before_the_last_fence_is_not_acted_upon():
    """Guards against a hold that only the previous leader has observed.

    A state that was read before the last agent was fenced does not show this hold.
    """
    group, first, second = Group(N_RANKS), _Leader(1), _Leader(2)
    prepare_all(group, first)
    deliver_all(group, see(group, first))
    late_hold = group.accepted.pop()
    fences = see(group, second)
    deliver_all(group, fences[:1])
    stale = group.read(0)
    # Rank 0 holds the step now, and the first leader arms the ranks whose agents the
    # second leader has not fenced yet.
    group.accepted[:] = [late_hold]
    group.execute(0)
    deliver_all(group, see(group, first)[1:])
    assert [order.action for _, order in group.accepted] == [OrderAction.ARM] * 2
    deliver_all(group, fences[1:])
    view = GroupView.from_states([stale, group.read(1), group.read(2)], 0, MAX_AGE_MS)
    orders = second.change.decide(view, 0)
    assert [order.action for order in orders] == [OrderAction.FENCE] * N_RANKS
    run_in_order(group, second, 8)
    assert group.n_switches == 1


def test_wait_begins_anew_with_each_held_step():
    """Guards against a wait that counts the time since an earlier held step.

    Orders to prepare that are still in transit could then take effect while ranks are
    being armed.
    """
    group, first, third = Group(N_RANKS), _Leader(1), _Leader(3)
    prepare_all(group, first)
    group.engines[0].held_step = group.step + 1
    for _ in range(2):
        deliver_all(group, see(group, third))
        group.accepted.clear()
    assert see(group, third) == []
    group.engines[0].held_step = group.step + 2
    assert see(group, third, now_ms=LATE_ORDER_MS) == []
    assert see(group, third, now_ms=2 * LATE_ORDER_MS)


def test_states_of_another_epoch_give_no_view():
    """Guards against orders that are based on states of two epochs of a group."""
    group = Group(N_RANKS)
    states = [group.read(rank) for rank in range(N_RANKS)]
    states[1] = replace(states[1], epoch=2)
    assert GroupView.from_states(states, 0, MAX_AGE_MS) is None


def test_old_states_give_no_view():
    """Guards against orders that are based on outdated states."""
    states = [Group(N_RANKS).read(rank) for rank in range(N_RANKS)]
    assert GroupView.from_states(states, MAX_AGE_MS + 1, MAX_AGE_MS) is None
