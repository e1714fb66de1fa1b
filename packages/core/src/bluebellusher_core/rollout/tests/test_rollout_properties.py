"""Guards against changes that revert, fork, or are in force after a refusal."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellusher_core.rollout import (
    ChangeProposal,
    ChangeRows,
    ChangeState,
    ConfigVersion,
    RequestStaging,
    StagingReply,
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
        self.head_history: list[tuple[int, ConfigVersion | None]] = [(0, None)]
        self.version_by_change: dict[str, int] = {}

    def read(self, change_id):
        row_version, head = self.head_history[-1]
        return ChangeRows(row_version, head, self.version_by_change.get(change_id, 0))

    def write(self, effect: WriteChange) -> bool:
        is_current = effect.head_row_version == self.head_history[-1][0]
        if not is_current or effect.config.change_id in self.version_by_change:
            return False
        self.version_by_change[effect.config.change_id] = effect.config.version
        self.head_history.append((effect.head_row_version + 1, effect.config))
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
        self.delayed_writes = []
        self.final_state_by_change = {}
        self.entries = [VersionTracker() for _ in DOMAINS]
        self.highest_versions = [0] * len(DOMAINS)

    def propose_change(self):
        """Propose a change to the version in force at a random entry."""
        change_id = f"change-{len(self.proposals)}"
        base_version = self.random.choice(self.entries).version
        peers = {domain: [f"{domain}-1", f"{domain}-2"] for domain in DOMAINS[1:]}
        rows = self.table.read(change_id)
        proposal = ChangeProposal(
            change_id, base_version, change_id, "ana", rows, peers, self.now_ms, 0
        )
        self.proposals.append(proposal)

    def advance(self):
        for proposal in self.proposals[-3:]:
            for effect in proposal.advance(self.now_ms):
                if isinstance(effect, RequestStaging):
                    self._stage(proposal, effect)
                else:
                    self._write(proposal, effect)
            self._record_final_state(proposal)

    def _stage(self, proposal, effect):
        if self.random.random() < 0.8:
            reply = StagingReply(effect.peer_id, effect.peer_id[0], True)
            proposal.receive_staging_reply(reply)

    def _write(self, proposal, effect):
        delivery = self.random.choice(["answered", "lost answer", "late", "dropped"])
        if delivery == "late":
            self.delayed_writes.append(effect)
        if delivery in ("late", "dropped"):
            return
        is_applied = self.table.write(effect)
        if delivery == "lost answer":
            return
        status = WriteStatus.APPLIED if is_applied else WriteStatus.CONFLICT
        rows = None if is_applied else self.table.read(proposal.change_id)
        proposal.receive_write_result(WriteResult(status, rows))

    def _record_final_state(self, proposal):
        if proposal.is_final:
            # After "unknown", a query of the operator may have recorded a final state,
            # while the proposal itself stays unknown.
            first_state = self.final_state_by_change.setdefault(
                proposal.change_id, proposal.state
            )
            assert proposal.state in (first_state, ChangeState.UNKNOWN)

    def apply_delayed_write(self):
        if self.delayed_writes:
            index = self.random.randrange(len(self.delayed_writes))
            self.table.write(self.delayed_writes.pop(index))

    def resolve_unknown_change(self):
        unknown_ids = [
            c for c, s in self.final_state_by_change.items() if s == "unknown"
        ]
        if not unknown_ids:
            return
        change_id = self.random.choice(unknown_ids)
        state = resolve_change(change_id, self.table.read(change_id))
        if not isinstance(state, ChangeState):
            self.table.refuse(change_id)
            state = resolve_change(change_id, self.table.read(change_id))
        self.final_state_by_change[change_id] = state

    def poll(self):
        """Let a random entry read the head, from a stale copy in some cases."""
        index = self.random.randrange(len(self.entries))
        recent_heads = self.table.head_history[-3:]
        _, head = self.random.choice(recent_heads)
        if head is not None:
            self.entries[index].offer(head)

    def gossip(self):
        source, target = self.random.sample(self.entries, 2)
        if source.current is not None:
            target.offer(source.current)

    def advance_clock(self):
        self.now_ms += self.random.choice([50, 300, 1_100, 11_000])

    def check_invariants(self):
        for index, entry in enumerate(self.entries):
            assert entry.version >= self.highest_versions[index]
            self.highest_versions[index] = entry.version
        versions = [head.version for _, head in self.table.head_history[1:]]
        assert versions == list(range(1, len(versions) + 1))
        in_force = {head.change_id for _, head in self.table.head_history[1:]}
        for change_id, state in self.final_state_by_change.items():
            assert state is not ChangeState.REFUSED or change_id not in in_force
            assert state is not ChangeState.ACCEPTED or change_id in in_force

    def run_random_action(self):
        weight_by_action = {
            self.propose_change: 1,
            self.advance: 6,
            self.apply_delayed_write: 1,
            self.resolve_unknown_change: 1,
            self.poll: 3,
            self.gossip: 1,
            self.advance_clock: 3,
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
        world.run_random_action()
        world.check_invariants()


def _proposal(peers, rows=None):
    rows = rows or ChangeRows(0, None, 0)
    return ChangeProposal("c1", 0, "text", "ana", rows, peers, 0, 0)


def test_refused_change_names_the_unreachable_failure_domain():
    """Guards against a change that is accepted although a site cannot apply it."""
    proposal = _proposal({"b": ["b-1", "b-2"]})
    assert proposal.advance(0) == [RequestStaging("b-1")]
    assert proposal.advance(500) == []
    assert proposal.advance(1_000) == [RequestStaging("b-2")]
    assert proposal.advance(2_000) == []
    assert proposal.state is ChangeState.REFUSED
    assert "failure domain b" in proposal.reason


def test_every_domain_is_staged_before_the_write():
    """Guards against a write before all failure domains have staged the change."""
    proposal = _proposal({"b": ["b-1"], "c": ["c-1"]})
    proposal.advance(0)
    proposal.receive_staging_reply(StagingReply("b-1", "b", True))
    assert proposal.advance(10) == []
    proposal.receive_staging_reply(StagingReply("c-1", "c", True))
    (effect,) = proposal.advance(20)
    assert isinstance(effect, WriteChange)


def test_two_changes_with_one_version_raise_an_error():
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
