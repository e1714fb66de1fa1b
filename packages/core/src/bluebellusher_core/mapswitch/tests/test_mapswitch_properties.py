"""Guards against ranks of one group that use different maps in the same step."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellusher_core.mapswitch import (
    Commit,
    Epoch,
    Install,
    LoadWeights,
    MapCoordinator,
    MapParticipant,
    Prepare,
    Proposal,
    Query,
    Vote,
)

N_RANKS = 3


class SimulatedGroup:
    """Model of a group, its coordinators and a faulty network.

    Messages are delayed, lost, duplicated and reordered; ranks stall and restart.
    """

    def __init__(self, random_state):
        self.random = random_state
        self.fencing_token = 1
        self.epoch = Epoch(1, 1)
        self.next_version = 2
        self.ranks = [MapParticipant(i, N_RANKS) for i in range(N_RANKS)]
        self.epochs = [self.epoch] * N_RANKS
        self.steps = [0] * N_RANKS
        self.coordinators = []
        self.messages = []
        self.loads = []
        self.map_by_step = {}
        self.started_ranks_by_step = {}
        for rank in self.ranks:
            rank.install(Install(self.epoch, 1))

    def propose(self):
        """Propose a new map, sometimes with the token of the previous holder."""
        fencing_token = self.fencing_token - self.random.choice([0, 0, 0, 1])
        step = max(self.steps) + self.random.randrange(5)
        version = self.next_version
        self.next_version += 1
        proposal = Proposal(
            self.epoch, version, f"digest-{version}", fencing_token, step
        )
        self.coordinators.append((fencing_token, MapCoordinator(proposal, N_RANKS)))
        self.send()

    def send(self):
        """Send the due messages of the two latest coordinators."""
        for fencing_token, coordinator in self.coordinators[-2:]:
            self.messages += coordinator.plan_messages(fencing_token)

    def _deliver_to_coordinators(self, vote):
        """Deliver a vote to every coordinator."""
        for _, coordinator in self.coordinators:
            coordinator.receive_vote(vote)

    def deliver(self):
        """Deliver, lose or duplicate one message, chosen out of order."""
        if not self.messages:
            return
        # Prefer recent messages; otherwise many old messages delay the new ones.
        n_candidates = self.random.choice([6, 20, len(self.messages)])
        first_index = max(0, len(self.messages) - n_candidates)
        index = self.random.randrange(first_index, len(self.messages))
        target, message = self.messages[index]
        delivery = self.random.choice(["once", "once", "once", "repeat", "lose"])
        if delivery != "repeat":
            del self.messages[index]
        if delivery != "lose":
            self._handle(target, message)

    def _handle(self, target, message):
        """Pass a message to its rank and send the answer to everyone."""
        rank = self.ranks[target]
        answer = None
        if isinstance(message, Prepare):
            answer = rank.prepare(message)
        elif isinstance(message, Commit):
            rank.commit(message)
        elif isinstance(message, Query):
            answer = rank.get_vote(message.proposal)
        elif isinstance(message, Vote):
            rank.receive_vote(message)
        else:
            self._install(target, message)
        if isinstance(answer, LoadWeights):
            self.loads.append((target, answer.proposal))
        elif answer is not None:
            self._deliver_to_coordinators(answer)
            self.messages += [(i, answer) for i in range(N_RANKS) if i != target]

    def _install(self, target, message):
        """Move a rank to a new epoch if it accepts the message."""
        if self.ranks[target].install(message):
            self.epochs[target] = message.epoch
            self.steps[target] = 0

    def finish_load(self):
        """Finish or fail one weight load."""
        if not self.loads:
            return
        target, proposal = self.loads.pop(self.random.randrange(len(self.loads)))
        rank = self.ranks[target]
        if self.random.random() < 0.1:
            vote = rank.handle_load_failure(proposal, "weight store refused")
        else:
            vote = rank.handle_weights_loaded(proposal)
        if vote is not None:
            self._deliver_to_coordinators(vote)

    def run_rank(self):
        """Start the next step at one rank, if the barrier and its votes allow it."""
        self._run(self.random.randrange(N_RANKS))

    def _run(self, index):
        """Start the next step at one rank and record the map that it uses."""
        epoch, step = self.epochs[index], self.steps[index]
        if epoch is None:
            return
        # Lock-step barrier: a step starts when all ranks have started the previous one.
        if (
            step > 0
            and len(self.started_ranks_by_step.get((epoch, step - 1), ())) < N_RANKS
        ):
            return
        rank = self.ranks[index]
        version = rank.start_step(step)
        if version is None:
            self.messages += rank.plan_queries(step)
            return
        self.steps[index] = step + 1
        self.started_ranks_by_step.setdefault((epoch, step), set()).add(index)
        self.map_by_step.setdefault((epoch, step), set()).add(version)

    def replace_lease_holder(self):
        """Let a new lease holder fence one rank while its predecessor keeps sending."""
        self.fencing_token += 1
        self.random.choice(self.ranks).raise_token(self.fencing_token)

    def restart_rank(self):
        """Restart one rank with empty state, and form the group again."""
        index = self.random.randrange(N_RANKS)
        self.ranks[index] = MapParticipant(index, N_RANKS)
        self.epochs[index] = None
        self.steps[index] = 0
        self.loads = [load for load in self.loads if load[0] != index]
        self.epoch = Epoch(self.fencing_token, self.next_version)
        install = Install(self.epoch, self.next_version)
        self.next_version += 1
        self.messages += [(i, install) for i in range(N_RANKS)]

    def check_one_map_per_step(self):
        """Fail if ranks of one epoch have used different maps in one step."""
        for step, versions in self.map_by_step.items():
            assert len(versions) == 1, (step, versions)

    def run_random_action(self):
        """Run one action, chosen by weight."""
        weight_by_action = {
            self.propose: 4,
            self.send: 6,
            self.deliver: 60,
            self.finish_load: 20,
            self.run_rank: 30,
            self.replace_lease_holder: 1,
            self.restart_rank: 0.4,
        }
        actions = list(weight_by_action)
        (action,) = self.random.choices(actions, list(weight_by_action.values()))
        action()


@settings(max_examples=400)
@given(st.integers(0, 2**32))
def test_property_one_map_per_step(seed):
    """Guards against ranks with different maps in one step when messages are faulty.

    The messages are lost, delayed, duplicated and reordered. The seed determines a
    weighted schedule, which reaches a switch far more often than a schedule of actions
    that hypothesis draws one by one.
    """
    group = SimulatedGroup(Random(seed))
    for _ in range(300):
        group.run_random_action()
        group.check_one_map_per_step()


def test_schedules_reach_switches():
    """Guards against a property that holds only because no schedule switches maps."""
    n_switches = 0
    for seed in range(100):
        group = SimulatedGroup(Random(seed))
        for _ in range(300):
            group.run_random_action()
        steps = sorted(group.map_by_step)
        versions = [min(group.map_by_step[step]) for step in steps]
        n_switches += len(set(versions)) - 1
    assert n_switches >= 100


def _make_ready_group(n_ranks=2, switch_step=1):
    """Return ranks that have all voted ready on a proposal, and the proposal."""
    group = [MapParticipant(i, n_ranks) for i in range(n_ranks)]
    proposal = Proposal(Epoch(1, 1), 2, "d", 1, switch_step)
    for rank in group:
        rank.install(Install(Epoch(1, 1), 1))
        rank.prepare(Prepare(proposal))
        rank.handle_weights_loaded(proposal)
    return group, proposal


def test_ranks_switch_without_proposer_and_table():
    """Guards against a group that stops when the proposer fails before its commit."""
    group, _ = _make_ready_group()
    for rank in group:
        assert rank.start_step(0) == 1
        assert rank.start_step(1) is None
    for index, query in group[0].plan_queries(1):
        group[0].receive_vote(group[index].get_vote(query.proposal))
    assert group[0].start_step(1) == 2


def test_restarted_rank_does_not_refuse_a_proposal_that_it_voted_ready_on():
    """Guards against two maps in one step after a repeated Prepare.

    Another rank may have committed the proposal on the vote of this rank before the
    restart, so a refusal would let a third rank keep the old map.
    """
    group, proposal = _make_ready_group(n_ranks=3)
    restarted = MapParticipant(2, 3)
    vote = restarted.prepare(Prepare(proposal))
    assert vote.value == "undecided"
    group[1].start_step(0)
    group[1].receive_vote(vote)
    assert group[1].start_step(1) is None


def test_seed_with_a_refusal_after_a_restart_keeps_one_map_per_step():
    """Guards against the same fault in a schedule that hypothesis once drew."""
    group = SimulatedGroup(Random(173))
    for _ in range(300):
        group.run_random_action()
        group.check_one_map_per_step()


def test_refusal_stays_when_prepare_is_repeated():
    """Guards against a rank that votes ready on a proposal that it has refused."""
    rank = MapParticipant(0, 2)
    rank.install(Install(Epoch(1, 1), 1))
    first = Proposal(Epoch(1, 1), 2, "d", 1, 5)
    second = Proposal(Epoch(1, 1), 3, "e", 1, 6)
    rank.prepare(Prepare(first))
    assert rank.prepare(Prepare(second)).value == "refused"
    rank.handle_load_failure(first, "no memory")
    assert rank.prepare(Prepare(second)).value == "refused"


def test_expired_holder_cannot_propose_after_ranks_are_fenced():
    """Guards against a map change by a proposer whose lease expired during a pause."""
    rank = MapParticipant(0, 1)
    rank.install(Install(Epoch(1, 1), 1))
    rank.raise_token(2)
    vote = rank.prepare(Prepare(Proposal(Epoch(1, 1), 2, "d", 1, 5)))
    assert vote.value == "refused"
    proposal = Proposal(Epoch(1, 1), 2, "d", 1, 5)
    assert MapCoordinator(proposal, 1).plan_messages(held_fencing_token=None) == []
