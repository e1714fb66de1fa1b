"""What is known of ranks, and the orders that they take."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

ExpertMap = tuple[tuple[tuple[int, ...], ...], ...]
"""Experts by layer and rank."""


@dataclass(frozen=True, slots=True)
class RankState:
    """What one rank reports.

    Parameters
    ----------
    rank_id : str
        Endpoint that runs the rank.
    group_id : str
        Its group.
    epoch : int
        Grows each time the group is formed anew, with map 0 and nothing prepared.
    rank, n_ranks : int
        Place in the group, and its size.
    is_open : bool
        Whether the group runs.
    step : int
        The last pass that was begun.
    map_version : int
        The map in use.
    prepared_version : int
        The map whose experts are all there; 0 for none.
    armed_version, armed_step : int
        The map that is used from that step on; 0 when not armed.
    held_step : int or None
        The step that waits here for its release.
    fencing_token : int
        Highest token that the rank's agent has seen.
    read_at_ms : int
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
    read_at_ms: int = 0


class OrderAction(StrEnum):
    """What a rank is told."""

    FENCE = "fence"
    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    GO = "go"


@dataclass(frozen=True, slots=True)
class RankOrder:
    """An order to one rank; it is refused in another epoch.

    ``experts_by_rank`` is the whole map by layer and rank, for ``PREPARE`` only.
    ``fencing_token`` is compared by agents, and by engines that check it; 0 for none.
    """

    rank_id: str
    action: OrderAction
    epoch: int
    map_version: int = 0
    step: int = 0
    experts_by_rank: ExpertMap = ()
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class GroupView:
    """The states of all ranks of one group in one epoch."""

    group_id: str
    epoch: int
    state_by_rank: Mapping[int, RankState]

    @classmethod
    def from_states(
        cls, states: Iterable[RankState], now_ms: int, max_age_ms: int
    ) -> "GroupView | None":
        """Return the view of a group, or None unless every rank is known and open.

        Parameters
        ----------
        states : iterable of RankState
            Latest states of the ranks of one group.
        now_ms, max_age_ms : int
            Monotonic time, and the age from which a state no longer counts.
        """
        states = [s for s in states if now_ms - s.read_at_ms <= max_age_ms]
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
        """States in the order of the ranks."""
        return [self.state_by_rank[rank] for rank in sorted(self.state_by_rank)]

    @property
    def step(self) -> int:
        """The last pass that any rank is known to have begun."""
        return max(state.step for state in self.states)

    @property
    def held(self) -> list[RankState]:
        """Ranks at which a step is held."""
        return [state for state in self.states if state.held_step is not None]

    @property
    def armed(self) -> list[RankState]:
        """Ranks that are armed."""
        return [state for state in self.states if state.armed_version]

    @property
    def common_prepared_version(self) -> int:
        """The version that every rank has prepared; 0 when they differ."""
        versions = {state.prepared_version for state in self.states}
        return versions.pop() if len(versions) == 1 else 0

    @property
    def common_map_version(self) -> int | None:
        """The version that every rank uses, or None while they differ."""
        versions = {state.map_version for state in self.states}
        return versions.pop() if len(versions) == 1 else None
