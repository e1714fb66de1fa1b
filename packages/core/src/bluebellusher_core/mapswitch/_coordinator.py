"""The lease holder's side of a map change."""

from bluebellusher_core.mapswitch._messages import (
    Commit,
    Prepare,
    Proposal,
    Vote,
    VoteValue,
)


class MapCoordinator:
    """Propose one map change and tell all ranks the outcome.

    The coordinator only speeds the ranks up; they find the same outcome without it.

    Parameters
    ----------
    proposal : Proposal
        The change to propose.
    n_ranks : int
        Ranks of the group.
    """

    def __init__(self, proposal: Proposal, n_ranks: int) -> None:
        self._proposal = proposal
        self._n_ranks = n_ranks
        self._ready_ranks: set[int] = set()
        self._refusal: Vote | None = None

    @property
    def outcome(self) -> VoteValue:
        """Return ``READY`` for the new map, ``REFUSED`` for the old one."""
        if self._refusal is not None:
            return VoteValue.REFUSED
        if len(self._ready_ranks) == self._n_ranks:
            return VoteValue.READY
        return VoteValue.UNDECIDED

    def receive_vote(self, vote: Vote) -> None:
        """Take in the vote of a rank."""
        if vote.proposal != self._proposal:
            return
        if vote.value is VoteValue.READY:
            self._ready_ranks.add(vote.rank)
        elif vote.value is VoteValue.REFUSED and self._refusal is None:
            self._refusal = vote

    def plan_messages(
        self, held_token: int | None
    ) -> list[tuple[int, Prepare | Commit | Vote]]:
        """Return what to send to which rank now; call again to repeat lost messages.

        Parameters
        ----------
        held_token : int or None
            What the lease tracker says at this moment. Without the token of the
            proposal nothing is sent, so that a lapsed holder proposes nothing.
        """
        if held_token != self._proposal.fencing_token:
            return []
        ranks = range(self._n_ranks)
        if self._refusal is not None:
            return [(rank, self._refusal) for rank in ranks]
        if self.outcome is VoteValue.READY:
            return [(rank, Commit(self._proposal)) for rank in ranks]
        missing = [rank for rank in ranks if rank not in self._ready_ranks]
        return [(rank, Prepare(self._proposal)) for rank in missing]
