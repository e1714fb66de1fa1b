"""Coordinator of a map change, which runs at the lease holder."""

from bluebellusher_core.mapswitch._messages import (
    Commit,
    Prepare,
    Proposal,
    Vote,
    VoteValue,
)


class MapCoordinator:
    """Proposer of one map change, which also sends the outcome to all ranks.

    The coordinator only shortens the change: without it the ranks determine the same
    outcome by querying each other's votes.

    Parameters
    ----------
    proposal : Proposal
        The change to propose.
    n_ranks : int
        Number of ranks in the group.
    """

    def __init__(self, proposal: Proposal, n_ranks: int) -> None:
        self._proposal = proposal
        self._n_ranks = n_ranks
        self._ready_ranks: set[int] = set()
        self._refusal: Vote | None = None

    @property
    def outcome(self) -> VoteValue:
        """Outcome of the proposal, as far as votes have been received.

        ``READY`` means that the group switches to the new map, ``REFUSED`` that it
        keeps the old one.
        """
        if self._refusal is not None:
            return VoteValue.REFUSED
        if len(self._ready_ranks) == self._n_ranks:
            return VoteValue.READY
        return VoteValue.UNDECIDED

    def receive_vote(self, vote: Vote) -> None:
        """Record the vote of a rank; votes on other proposals are ignored."""
        if vote.proposal != self._proposal:
            return
        if vote.value is VoteValue.READY:
            self._ready_ranks.add(vote.rank)
        elif vote.value is VoteValue.REFUSED and self._refusal is None:
            self._refusal = vote

    def plan_messages(
        self, held_fencing_token: int | None
    ) -> list[tuple[int, Prepare | Commit | Vote]]:
        """Return the messages to send now, each with the index of its rank.

        Messages can be lost, so the caller repeats the call until the change ends.

        Parameters
        ----------
        held_fencing_token : int or None
            Fencing token of the lease that this process holds now; None for no lease.
            Unless it is the token of the proposal, no messages are returned, so that a
            process whose lease has expired proposes nothing.
        """
        if held_fencing_token != self._proposal.fencing_token:
            return []
        ranks = range(self._n_ranks)
        if self._refusal is not None:
            return [(rank, self._refusal) for rank in ranks]
        if self.outcome is VoteValue.READY:
            return [(rank, Commit(self._proposal)) for rank in ranks]
        missing = [rank for rank in ranks if rank not in self._ready_ranks]
        return [(rank, Prepare(self._proposal)) for rank in missing]
