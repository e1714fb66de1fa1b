"""Guards against changes that revert, fork, or are in force after a refusal."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellusher_core.rollout import (
    ChangeProposal,
    ChangeState,
    ConfigVersion,
    RowRead,
    StageAt,
    StagedReply,
    VersionTracker,
    WriteChange,
    WriteResult,
    WriteStatus,
    choose_fan_out,
    is_poller,
    resolve_change,
)

DOMAINS = ("a", "b", "c")


class FakeTable:
    """Head and change rows, and the earlier heads that a stale read can return."""

    def __init__(self):
        self.head_copies: list[tuple[int, ConfigVersion | None]] = [(0, None)]
        self.version_by_change: dict[str, int] = {}

    def read(self, change_id):
        row_version, head = self.head_copies[-1]
        return RowRead(row_version, head, self.version_by_change.get(change_id, 0))

    def write(self, step: WriteChange) -> bool:
        is_current = step.head_row_version == self.head_copies[-1][0]
        if not is_current or step.config.change_id in self.version_by_change:
            return False
        self.version_by_change[step.config.change_id] = step.config.version
        self.head_copies.append((step.head_row_version + 1, step.config))
        return True

    def refuse(self, change_id) -> bool:
        if change_id in self.version_by_change:
            return False
        self.version_by_change[change_id] = -1
        return True


class RolloutWorld:
    """Racing operators with lost answers, delayed writes and stale reads."""

    def __init__(self, random_state):
        self.random = random_state
        self.now_ms = 0
        self.table = FakeTable()
        self.proposals = []
        self.late_writes = []
        self.final_by_change = {}
        self.entries = [VersionTracker() for _ in DOMAINS]
        self.highest_run = [0] * len(DOMAINS)

    def apply(self):
        """Propose a change to the version in force at a random entry."""
        change_id = f"change-{len(self.proposals)}"
        base = self.random.choice(self.entries).version
        peers = {domain: [f"{domain}-1", f"{domain}-2"] for domain in DOMAINS[1:]}
        rows = self.table.read(change_id)
        proposal = ChangeProposal(
            change_id, base, change_id, "ana", rows, peers, self.now_ms, 0
        )
        self.proposals.append(proposal)

    def advance(self):
        for proposal in self.proposals[-3:]:
            for step in proposal.advance(self.now_ms):
                if isinstance(step, StageAt):
                    self._stage(proposal, step)
                else:
                    self._write(proposal, step)
            self._record(proposal)

    def _stage(self, proposal, step):
        if self.random.random() < 0.8:
            reply = StagedReply(step.peer_id, step.peer_id[0], True)
            proposal.receive_staged(reply)

    def _write(self, proposal, step):
        fate = self.random.choice(["answered", "lost answer", "late", "dropped"])
        if fate == "late":
            self.late_writes.append(step)
        if fate in ("late", "dropped"):
            return
        is_applied = self.table.write(step)
        if fate == "lost answer":
            return
        status = WriteStatus.APPLIED if is_applied else WriteStatus.CONFLICT
        rows = None if is_applied else self.table.read(proposal.change_id)
        proposal.receive_write(WriteResult(status, rows))

    def _record(self, proposal):
        if proposal.is_final:
            # After "unknown", a query of the operator may have recorded a final state,
            # while the proposal itself stays unknown.
            known = self.final_by_change.setdefault(proposal.change_id, proposal.state)
            assert proposal.state in (known, ChangeState.UNKNOWN)

    def late_write_lands(self):
        if self.late_writes:
            index = self.random.randrange(len(self.late_writes))
            self.table.write(self.late_writes.pop(index))

    def ask_again(self):
        unknown = [c for c, s in self.final_by_change.items() if s == "unknown"]
        if not unknown:
            return
        change_id = self.random.choice(unknown)
        state = resolve_change(change_id, self.table.read(change_id))
        if not isinstance(state, ChangeState):
            self.table.refuse(change_id)
            state = resolve_change(change_id, self.table.read(change_id))
        self.final_by_change[change_id] = state

    def poll(self):
        """Let a random entry read the head, from a stale copy in some cases."""
        index = self.random.randrange(len(self.entries))
        copies = self.table.head_copies[-3:]
        _, head = self.random.choice(copies)
        if head is not None:
            self.entries[index].offer(head)

    def gossip(self):
        source, target = self.random.sample(self.entries, 2)
        if source.current is not None:
            target.offer(source.current)

    def time_passes(self):
        self.now_ms += self.random.choice([50, 300, 1_100, 11_000])

    def check(self):
        for index, entry in enumerate(self.entries):
            assert entry.version >= self.highest_run[index]
            self.highest_run[index] = entry.version
        versions = [head.version for _, head in self.table.head_copies[1:]]
        assert versions == list(range(1, len(versions) + 1))
        in_force = {head.change_id for _, head in self.table.head_copies[1:]}
        for change_id, state in self.final_by_change.items():
            assert state is not ChangeState.REFUSED or change_id not in in_force
            assert state is not ChangeState.ACCEPTED or change_id in in_force

    def act(self):
        weight_by_action = {
            self.apply: 1,
            self.advance: 6,
            self.late_write_lands: 1,
            self.ask_again: 1,
            self.poll: 3,
            self.gossip: 1,
            self.time_passes: 3,
        }
        actions = list(weight_by_action)
        (action,) = self.random.choices(actions, list(weight_by_action.values()))
        action()


@settings(max_examples=300)
@given(st.integers(0, 2**32))
def test_property_accepted_changes_form_one_chain_and_never_revert(seed):
    """Guards against lost, forked and reverted changes when operators race."""
    world = RolloutWorld(Random(seed))
    for _ in range(150):
        world.act()
        world.check()


def _proposal(peers, rows=None):
    rows = rows or RowRead(0, None, 0)
    return ChangeProposal("c1", 0, "text", "ana", rows, peers, 0, 0)


def test_unreachable_failure_domain_refuses_the_change_by_name():
    """Guards against a change that is accepted although a site cannot apply it."""
    proposal = _proposal({"b": ["b-1", "b-2"]})
    assert proposal.advance(0) == [StageAt("b-1")]
    assert proposal.advance(500) == []
    assert proposal.advance(1_000) == [StageAt("b-2")]
    assert proposal.advance(2_000) == []
    assert proposal.state is ChangeState.REFUSED
    assert "failure domain b" in proposal.reason


def test_every_domain_is_staged_before_the_write():
    """Guards against a write before all failure domains have staged the change."""
    proposal = _proposal({"b": ["b-1"], "c": ["c-1"]})
    proposal.advance(0)
    proposal.receive_staged(StagedReply("b-1", "b", True))
    assert proposal.advance(10) == []
    proposal.receive_staged(StagedReply("c-1", "c", True))
    (step,) = proposal.advance(20)
    assert isinstance(step, WriteChange)


def test_two_changes_with_one_version_are_reported():
    """Guards against two changes with one version number that raise no error."""
    tracker = VersionTracker()
    assert tracker.offer(ConfigVersion(1, "c1", "x", "ana", 0))
    with pytest.raises(ValueError, match="change_id='c2'"):
        tracker.offer(ConfigVersion(1, "c2", "y", "ben", 0))


@given(st.integers(1, 400), st.integers(0, 99))
def test_property_every_domain_has_pollers_and_fan_out_is_bounded(n_members, seed):
    """Guards against a domain without a poller, and against pushes to all peers."""
    members = [f"entry-{i}" for i in range(n_members)]
    n_pollers = sum(is_poller(member, members) for member in members)
    assert n_pollers == min(2, n_members)
    domains = {member: DOMAINS[i % 3] for i, member in enumerate(members)}
    chosen = choose_fan_out(domains, "a", Random(seed))
    assert len(chosen) == len(set(chosen)) <= 8
    reached = {domains[peer] for peer in chosen}
    assert reached == set(domains.values())
