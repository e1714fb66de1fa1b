"""The rank's side of a map change."""

from bluebellusher_core.mapswitch._messages import (
    Commit,
    Epoch,
    Install,
    LoadWeights,
    Prepare,
    Proposal,
    Query,
    State,
    Vote,
    VoteValue,
)


class RankSwitch:
    """Votes of one rank and the map that it uses in each step.

    Parameters
    ----------
    rank : int
        Index of this rank.
    n_ranks : int
        Ranks of the group.

    Notes
    -----
    The outcome of a proposal is unanimous, as in two-phase commit [1]_, with the
    ranks themselves as the decision record. A rank that died takes the lock-step
    group with it, so that waiting for its vote costs nothing more.

    References
    ----------
    .. [1] J. Gray, "Notes on Data Base Operating Systems", 1978.
    """

    def __init__(self, rank: int, n_ranks: int) -> None:
        self._rank = rank
        self._n_ranks = n_ranks
        self._epoch: Epoch | None = None
        self._map_version: int | None = None
        self._lowest_token = 0
        self._last_started_step = -1
        self._pending: Proposal | None = None
        self._is_ready = False
        self._ready_ranks: set[int] = set()
        self._refused: set[Proposal] = set()
        self._committed: Proposal | None = None

    @property
    def map_version(self) -> int | None:
        """Return the map of the last started step; ``None`` before an install."""
        return self._map_version

    def install(self, message: Install) -> bool:
        """Join a newer epoch at step 0; return whether the message was accepted."""
        is_fenced = message.epoch.fencing_token < self._lowest_token
        is_old = self._epoch is not None and message.epoch <= self._epoch
        if is_fenced or is_old:
            return False
        self._lowest_token = message.epoch.fencing_token
        self._epoch = message.epoch
        self._map_version = message.map_version
        self._last_started_step = -1
        self._drop_pending()
        self._refused.clear()
        self._committed = None
        return True

    def raise_token(self, fencing_token: int) -> State:
        """Refuse lower tokens from now on and report the state of this rank.

        A proposal with a lower token that this rank has not promised yet is
        refused. A promise stays, because another rank may rely on it.
        """
        self._lowest_token = max(self._lowest_token, fencing_token)
        pending = self._pending
        if pending and not self._is_ready and self._is_fenced(pending):
            self._refuse(pending)
        return State(self._rank, self._epoch, self._map_version, self._pending)

    def _is_fenced(self, proposal: Proposal) -> bool:
        return proposal.fencing_token < self._lowest_token

    def prepare(self, message: Prepare) -> Vote | LoadWeights:
        """Start to prepare a proposal; return the vote, or the load that precedes it.

        A repeated message gets the same vote again.
        """
        proposal = message.proposal
        known = self.vote_on(proposal)
        if known.value is not VoteValue.UNDECIDED:
            return known
        reason = self._reason_to_refuse(proposal)
        if reason:
            return self._refuse(proposal, reason)
        self._lowest_token = max(self._lowest_token, proposal.fencing_token)
        self._pending = proposal
        return LoadWeights(proposal)

    def _reason_to_refuse(self, proposal: Proposal) -> str:
        if proposal.epoch != self._epoch:
            return f"epoch {proposal.epoch}: expected {self._epoch}"
        if self._is_fenced(proposal):
            expected = f"expected at least {self._lowest_token}"
            return f"fencing token {proposal.fencing_token}: {expected}"
        if self._pending is not None and self._pending != proposal:
            return f"map version {self._pending.map_version} is still pending"
        return ""

    def weights_loaded(self, proposal: Proposal) -> Vote | None:
        """Vote ready if the proposal is still open; return the vote."""
        if self._pending != proposal:
            return None
        self._is_ready = True
        self._ready_ranks.add(self._rank)
        return self.vote_on(proposal)

    def weights_failed(self, proposal: Proposal, reason: str) -> Vote:
        """Refuse a proposal whose weights cannot be loaded."""
        if self._pending == proposal and not self._is_ready:
            return self._refuse(proposal, reason)
        return self.vote_on(proposal)

    def vote_on(self, proposal: Proposal) -> Vote:
        """Return this rank's vote.

        A rank that has started the switch step without having been ready used the
        old map in that step, so its vote is a refusal from then on.
        """
        if proposal.epoch != self._epoch:
            # This rank may have promised readiness before it lost its memory or
            # joined another epoch, so it must not answer for that epoch.
            return self._vote(proposal, VoteValue.UNDECIDED, "other epoch")
        if proposal == self._committed:
            return self._vote(proposal, VoteValue.READY)
        if proposal == self._pending and self._is_ready:
            return self._vote(proposal, VoteValue.READY)
        if proposal in self._refused:
            return self._vote(proposal, VoteValue.REFUSED, "refused before")
        if self._last_started_step >= proposal.switch_step:
            return self._vote(proposal, VoteValue.REFUSED, "switch step has started")
        return self._vote(proposal, VoteValue.UNDECIDED)

    def _vote(self, proposal: Proposal, value: VoteValue, reason: str = "") -> Vote:
        return Vote(self._rank, proposal, value, reason)

    def _refuse(self, proposal: Proposal, reason: str = "") -> Vote:
        if proposal.epoch == self._epoch:
            # Proposals of steps in the past are refused by their step alone.
            self._refused = {
                p for p in self._refused if p.switch_step > self._last_started_step
            }
            self._refused.add(proposal)
        if self._pending == proposal:
            self._drop_pending()
        return self._vote(proposal, VoteValue.REFUSED, reason)

    def _drop_pending(self) -> None:
        self._pending = None
        self._is_ready = False
        self._ready_ranks = set()

    def receive_vote(self, vote: Vote) -> None:
        """Take in the vote of another rank, in any order and any number of times."""
        if vote.proposal != self._pending or vote.proposal.epoch != self._epoch:
            return
        if vote.value is VoteValue.REFUSED:
            self._refuse(vote.proposal, vote.reason)
        elif vote.value is VoteValue.READY:
            self._ready_ranks.add(vote.rank)

    def commit(self, message: Commit) -> None:
        """Take in that all ranks are ready.

        A rank that is not ready itself ignores the message, since it cannot be true.
        """
        if message.proposal == self._pending and self._is_ready:
            self._ready_ranks = set(range(self._n_ranks))

    def plan_queries(self, step: int) -> list[tuple[int, Query]]:
        """Return what to ask which rank when ``step`` waits for the outcome."""
        proposal = self._pending
        if proposal is None or not self._is_ready or step < proposal.switch_step:
            return []
        missing = [r for r in range(self._n_ranks) if r not in self._ready_ranks]
        return [(rank, Query(proposal)) for rank in missing]

    def start_step(self, step: int) -> int | None:
        """Return the map version to use in ``step``, or ``None`` to wait.

        Raises
        ------
        ValueError
            When ``step`` does not follow the last started step.
        """
        if self._epoch is None:
            return None
        if step != self._last_started_step + 1:
            expected = self._last_started_step + 1
            raise ValueError(f"step={step}: expected {expected}")
        proposal = self._pending
        if proposal is not None and step >= proposal.switch_step:
            if not self._is_ready:
                self._refuse(proposal, "switch step came before the weights")
            elif len(self._ready_ranks) < self._n_ranks:
                return None
            else:
                self._committed = proposal
                self._map_version = proposal.map_version
                self._drop_pending()
        self._last_started_step = step
        return self._map_version
