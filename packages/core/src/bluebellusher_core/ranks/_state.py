"""Reported states of ranks, and the orders that are sent to them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

ExpertMap = tuple[tuple[tuple[int, ...], ...], ...]
"""Indices of the experts that each rank holds, by layer and rank."""


@dataclass(frozen=True, slots=True)
class RankState:
    """State that one rank has reported.

    Parameters
    ----------
    rank_id : str
        Id of the endpoint that runs the rank.
    group_id : str
        Id of the group that the rank belongs to.
    epoch : int
        Number of the formation of the group. It increases each time the group is
        formed again, which resets the map to version 0 and discards prepared maps.
    rank, n_ranks : int
        Index of the rank in the group, and number of ranks in the group.
    is_open : bool
        Whether the group is running.
    step : int
        Number of the last pass that the rank has started.
    map_version : int
        Version of the map in use.
    prepared_version : int
        Version of the map whose weights are all loaded; 0 for none.
    armed_version, armed_step : int
        Version of the map to switch to, and the first step that uses it; both 0 when
        the rank is not armed.
    held_step : int or None
        Step that the rank does not start before its release; None for no hold.
    fencing_token : int
        Highest fencing token that the rank's agent has accepted.
    pace : float
        Time that the rank needs for its work, as a multiple of the usual time.
    received_at_ms : int
        Monotonic time at which the state was received.
    """

    rank_id: str
    group_id: str
    epoch: int
    rank: int
    n_ranks: int
    is_open: bool
    step: int
    map_version: int = 0
    prepared_version: int = 0
    armed_version: int = 0
    armed_step: int = 0
    held_step: int | None = None
    fencing_token: int = 0
    pace: float = 1.0
    received_at_ms: int = 0


class OrderAction(StrEnum):
    """Kind of an order to a rank.

    ``FENCE`` raises the lowest fencing token that the agent accepts and does not reach
    the engine. ``PREPARE`` loads the weights of a map, ``HOLD`` keeps the group from
    starting a step, ``ARM`` makes the rank use a prepared map from a step on, and
    ``RELEASE`` releases a held step.
    """

    FENCE = "fence"
    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    RELEASE = "go"


@dataclass(frozen=True, slots=True)
class RankOrder:
    """Order to one rank; a rank in another epoch refuses it.

    Parameters
    ----------
    rank_id : str
        Id of the endpoint that runs the rank.
    action : OrderAction
        Kind of the order.
    epoch : int
        Epoch of the group that the order applies to.
    map_version : int
        Version of the map, for ``PREPARE`` and ``ARM``.
    step : int
        Step to hold, to arm for or to release.
    expert_map : ExpertMap
        The whole map, for ``PREPARE`` only.
    fencing_token : int
        Token that the rank's agent checks, and the engine if it supports fencing; 0
        for none.
    """

    rank_id: str
    action: OrderAction
    epoch: int
    map_version: int = 0
    step: int = 0
    expert_map: ExpertMap = ()
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class GroupView:
    """States of all ranks of one group, all from the same epoch."""

    group_id: str
    epoch: int
    state_by_rank: Mapping[int, RankState]

    @classmethod
    def from_states(
        cls, states: Iterable[RankState], now_ms: int, max_age_ms: int
    ) -> "GroupView | None":
        """Return the view of a group, or None if it would be incomplete.

        A view needs a recent state of every rank, with the latest epoch and an open
        group.

        Parameters
        ----------
        states : iterable of RankState
            Latest states of the ranks of one group.
        now_ms : int
            Monotonic time.
        max_age_ms : int
            Age above which a state is ignored.
        """
        states = [s for s in states if now_ms - s.received_at_ms <= max_age_ms]
        if not states:
            return None
        epoch = max(state.epoch for state in states)
        state_by_rank = {s.rank: s for s in states if s.epoch == epoch and s.is_open}
        n_ranks = states[0].n_ranks
        if set(state_by_rank) != set(range(n_ranks)):
            return None
        return cls(states[0].group_id, epoch, state_by_rank)

    @property
    def states(self) -> list[RankState]:
        """States ordered by the index of the rank."""
        return [self.state_by_rank[rank] for rank in sorted(self.state_by_rank)]

    @property
    def step(self) -> int:
        """Highest step that any rank has reported as started."""
        return max(state.step for state in self.states)

    @property
    def holding_states(self) -> list[RankState]:
        """States of the ranks at which a step is held."""
        return [state for state in self.states if state.held_step is not None]

    @property
    def armed_states(self) -> list[RankState]:
        """States of the ranks that are armed."""
        return [state for state in self.states if state.armed_version]

    @property
    def common_prepared_version(self) -> int:
        """Version that all ranks have prepared; 0 if they differ."""
        versions = {state.prepared_version for state in self.states}
        return versions.pop() if len(versions) == 1 else 0

    @property
    def common_map_version(self) -> int | None:
        """Version that all ranks use; None if they differ."""
        versions = {state.map_version for state in self.states}
        return versions.pop() if len(versions) == 1 else None
