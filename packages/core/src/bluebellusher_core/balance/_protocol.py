"""Interface of all placement policies."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from bluebellusher_core.balance._model import Loads, Move, Placement


@dataclass(frozen=True, slots=True)
class Conditions:
    """What limits the moves of one interval.

    Parameters
    ----------
    now_ms : int
        Monotonic time; it refills the allowance of the weight store.
    is_capacity_short : bool
        Whether the group has no capacity to spare; nothing moves then.
    store_retry_at_ms : int
        Time before which the weight store asked not to be called (429).
    n_loads_in_progress : int
        Expert loads of earlier plans that have not finished.
    """

    now_ms: int
    is_capacity_short: bool = False
    store_retry_at_ms: int = 0
    n_loads_in_progress: int = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """The next placement and the moves that lead to it."""

    placement: Placement
    moves: tuple[Move, ...] = ()

    @property
    def n_bytes(self) -> int:
        """Bytes that the moves read from the weight store."""
        return sum(move.n_bytes for move in self.moves)

    @property
    def n_loads(self) -> int:
        """Moves that load an expert."""
        return sum(1 for move in self.moves if move.to_rank is not None)


class PlacementPolicy(Protocol):
    """Chooses where the experts of a group are held.

    ``observe`` is called once in each interval, also while nothing may move;
    ``plan`` is called when a switch of the map is possible.
    """

    def observe(self, loads: Loads) -> None:
        """Take the loads of the last interval."""
        ...

    def plan(
        self, placement: Placement, conditions: Conditions, random_state: Random
    ) -> Plan:
        """Return the next placement, starting from the one in force."""
        ...
