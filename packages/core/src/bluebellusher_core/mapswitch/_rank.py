"""State of one rank in the commit protocol of a map change."""

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


class MapParticipant:
    """Votes of one rank on proposed maps, and the map that it uses in each step.

    Parameters
    ----------
    rank : int
        Index of this rank.
    n_ranks : int
        Number of ranks in the group.

    Notes
    -----
    A proposal is committed only by unanimous votes, as in two-phase commit [1]_, and
    the votes that the ranks store are the record of the decision. If a rank fails, the
    whole lock-step group stops anyway, so that waiting for the vote of the failed rank
    causes no additional outage.

    References
    ----------
    .. [1] J. Gray, "Notes on Data Base Operating Systems", 1978.
    """

    def __init__(self, rank: int, n_ranks: int) -> None:
        self._rank = rank
        self._n_ranks = n_ranks
        self._epoch: Epoch | None = None
        self._map_version: int | None = None
        self._min_fencing_token = 0
        self._last_started_step = -1
        self._pending_proposal: Proposal | None = None
        self._has_voted_ready = False
        self._ready_ranks: set[int] = set()
        self._refused_proposals: set[Proposal] = set()
        self._committed_proposal: Proposal | None = None

    @property
    def map_version(self) -> int | None:
        """Version of the map of the last started step; None before an ``Install``."""
        return self._map_version

    def install(self, message: Install) -> bool:
        """Join a newer epoch at step 0 and return whether the message was accepted.

        The message is refused when its fencing token is too low or its epoch is not
        newer than the epoch of this rank.
        """
        is_fenced = message.epoch.fencing_token < self._min_fencing_token
        is_old = self._epoch is not None and message.epoch <= self._epoch
        if is_fenced or is_old:
            return False
        self._min_fencing_token = message.epoch.fencing_token
        self._epoch = message.epoch
        self._map_version = message.map_version
        self._last_started_step = -1
        self._clear_pending_proposal()
        self._refused_proposals.clear()
        self._committed_proposal = None
        return True

    def raise_token(self, fencing_token: int) -> State:
        """Refuse lower fencing tokens from now on and return the state of this rank.

        A pending proposal with a lower token is refused, unless this rank has already
        voted ready: another rank may rely on that vote.
        """
        self._min_fencing_token = max(self._min_fencing_token, fencing_token)
        pending = self._pending_proposal
        if pending and not self._has_voted_ready and self._is_fenced(pending):
            self._refuse(pending)
        return State(self._rank, self._epoch, self._map_version, self._pending_proposal)

    def _is_fenced(self, proposal: Proposal) -> bool:
        """Return whether a proposal has a lower token than this rank accepts."""
        return proposal.fencing_token < self._min_fencing_token

    def prepare(self, message: Prepare) -> Vote | LoadWeights:
        """Start to prepare a proposal.

        Returns
        -------
        Vote or LoadWeights
            The vote if it is decided already, which answers repeated messages, or if
            the proposal is refused; an undecided vote on a proposal of another epoch;
            otherwise the weight load that precedes the vote.
        """
        proposal = message.proposal
        current_vote = self.get_vote(proposal)
        is_other_epoch = proposal.epoch != self._epoch
        if is_other_epoch or current_vote.value is not VoteValue.UNDECIDED:
            return current_vote
        reason = self._find_refusal_reason(proposal)
        if reason:
            return self._refuse(proposal, reason)
        self._min_fencing_token = max(self._min_fencing_token, proposal.fencing_token)
        self._pending_proposal = proposal
        return LoadWeights(proposal)

    def _find_refusal_reason(self, proposal: Proposal) -> str:
        """Return why the proposal is refused; empty when it is acceptable."""
        if self._is_fenced(proposal):
            expected = f"expected at least {self._min_fencing_token}"
            return f"fencing token {proposal.fencing_token}: {expected}"
        if self._pending_proposal is not None and self._pending_proposal != proposal:
            return f"map version {self._pending_proposal.map_version} is still pending"
        return ""

    def handle_weights_loaded(self, proposal: Proposal) -> Vote | None:
        """Vote ready after the weights have been loaded, and return the vote.

        Returns None when the proposal is no longer pending.
        """
        if self._pending_proposal != proposal:
            return None
        self._has_voted_ready = True
        self._ready_ranks.add(self._rank)
        return self.get_vote(proposal)

    def handle_load_failure(self, proposal: Proposal, reason: str) -> Vote:
        """Refuse a proposal whose weights cannot be loaded, and return the vote.

        A vote that has already been cast stays as it is.
        """
        if self._pending_proposal == proposal and not self._has_voted_ready:
            return self._refuse(proposal, reason)
        return self.get_vote(proposal)

    def get_vote(self, proposal: Proposal) -> Vote:
        """Return the vote of this rank on a proposal.

        A rank that starts the switch step without having voted ready uses the old map
        in that step, so its vote is a refusal from then on.
        """
        if proposal.epoch != self._epoch:
            # This rank may have voted ready in that epoch before it restarted or
            # joined another epoch, so it must not vote for that epoch.
            return self._make_vote(proposal, VoteValue.UNDECIDED, "other epoch")
        if proposal == self._committed_proposal:
            return self._make_vote(proposal, VoteValue.READY)
        if proposal == self._pending_proposal and self._has_voted_ready:
            return self._make_vote(proposal, VoteValue.READY)
        if proposal in self._refused_proposals:
            return self._make_vote(proposal, VoteValue.REFUSED, "refused before")
        if self._last_started_step >= proposal.switch_step:
            return self._make_vote(
                proposal, VoteValue.REFUSED, "switch step has started"
            )
        return self._make_vote(proposal, VoteValue.UNDECIDED)

    def _make_vote(
        self, proposal: Proposal, value: VoteValue, reason: str = ""
    ) -> Vote:
        """Return a vote of this rank."""
        return Vote(self._rank, proposal, value, reason)

    def _refuse(self, proposal: Proposal, reason: str = "") -> Vote:
        """Record the refusal of a proposal and return the vote."""
        if proposal.epoch == self._epoch:
            # Refusals whose switch step has started need not be stored: ``get_vote``
            # refuses such proposals by their step.
            self._refused_proposals = {
                p
                for p in self._refused_proposals
                if p.switch_step > self._last_started_step
            }
            self._refused_proposals.add(proposal)
        if self._pending_proposal == proposal:
            self._clear_pending_proposal()
        return self._make_vote(proposal, VoteValue.REFUSED, reason)

    def _clear_pending_proposal(self) -> None:
        """Discard the pending proposal and the votes on it."""
        self._pending_proposal = None
        self._has_voted_ready = False
        self._ready_ranks = set()

    def receive_vote(self, vote: Vote) -> None:
        """Record the vote of another rank.

        Votes may arrive in any order and more than once; votes on other proposals or
        epochs are ignored.
        """
        if (
            vote.proposal != self._pending_proposal
            or vote.proposal.epoch != self._epoch
        ):
            return
        if vote.value is VoteValue.REFUSED:
            self._refuse(vote.proposal, vote.reason)
        elif vote.value is VoteValue.READY:
            self._ready_ranks.add(vote.rank)

    def commit(self, message: Commit) -> None:
        """Record that all ranks have voted ready.

        A rank that has not voted ready itself ignores the message, because the message
        contradicts its own state.
        """
        if message.proposal == self._pending_proposal and self._has_voted_ready:
            self._ready_ranks = set(range(self._n_ranks))

    def plan_queries(self, step: int) -> list[tuple[int, Query]]:
        """Return the queries for missing votes, each with the index of its rank.

        The list is empty unless ``step`` has to wait for the outcome of the pending
        proposal.
        """
        proposal = self._pending_proposal
        if proposal is None or not self._has_voted_ready or step < proposal.switch_step:
            return []
        missing = [r for r in range(self._n_ranks) if r not in self._ready_ranks]
        return [(rank, Query(proposal)) for rank in missing]

    def start_step(self, step: int) -> int | None:
        """Start a step if the map to use in it is decided.

        Returns
        -------
        int or None
            Version of the map to use in the step. None when the step cannot start yet,
            because a vote is missing or the rank has not joined an epoch.

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
        proposal = self._pending_proposal
        if proposal is not None and step >= proposal.switch_step:
            if not self._has_voted_ready:
                self._refuse(proposal, "switch step started before weights were loaded")
            elif len(self._ready_ranks) < self._n_ranks:
                return None
            else:
                self._committed_proposal = proposal
                self._map_version = proposal.map_version
                self._clear_pending_proposal()
        self._last_started_step = step
        return self._map_version
