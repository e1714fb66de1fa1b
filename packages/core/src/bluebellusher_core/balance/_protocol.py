"""Interface of placement policies, and the inputs and results of a plan."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from bluebellusher_core.balance._model import Loads, Move, Placement


@dataclass(frozen=True, slots=True)
class Conditions:
    """Conditions that limit the moves of one plan.

    Parameters
    ----------
    now_ms : int
        Monotonic time. The read budget of the weight store refills with it.
    is_capacity_short : bool
        Whether the group has no free capacity. No expert is moved then.
    store_retry_at_ms : int
        Monotonic time before which the weight store must not be read, because it has
        answered with status 429.
    n_loads_in_progress : int
        Number of weight loads of earlier plans that have not finished.
    """

    now_ms: int
    is_capacity_short: bool = False
    store_retry_at_ms: int = 0
    n_loads_in_progress: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """Next placement, and the moves from the current placement to it."""

    placement: Placement
    moves: tuple[Move, ...] = ()

    @property
    def n_bytes(self) -> int:
        """Number of bytes that the moves read from the weight store."""
        return sum(move.n_bytes for move in self.moves)

    @property
    def n_loads(self) -> int:
        """Number of moves that load an expert."""
        return sum(1 for move in self.moves if move.to_rank is not None)


class PlacementPolicy(Protocol):
    """Policy that decides which ranks of a group hold each expert.

    ``observe`` is called once per interval, even while no expert may be moved;
    ``plan`` is called when the group can switch to another map.
    """

    def observe(self, loads: Loads) -> None:
        """Record the loads of the last interval."""
        ...

    def plan(
        self, placement: Placement, conditions: Conditions, random_state: Random
    ) -> Plan:
        """Return the next placement, and the moves to it from ``placement``."""
        ...
