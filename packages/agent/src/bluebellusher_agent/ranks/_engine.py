"""Interface of adapters to the engine on the same instance, and their results."""

from dataclasses import dataclass
from typing import Protocol

from bluebellusher_core.ranks import RankOrder


@dataclass(frozen=True, slots=True)
class EngineState:
    """State of an engine, and of its rank if it belongs to a group.

    Parameters
    ----------
    n_running, n_queued : int
        Number of requests in the batch, and waiting for it.
    pace : float
        Slowness of the engine relative to its usual speed; above 1 when the engine is
        slower than usual.
    started_wall_ms : int
        Unix time in ms at which the engine was started.
    group_id : str
        Id of the engine's group; empty for none, and the following fields then have no
        meaning.
    epoch, rank, n_ranks, is_open, step : int, int, int, bool, int
        See ``bluebellusher_core.ranks.RankState``.
    map_version, prepared_version, armed_version, armed_step : int
        See ``bluebellusher_core.ranks.RankState``.
    held_step : int or None
        See ``bluebellusher_core.ranks.RankState``.
    """

    n_running: int
    n_queued: int
    pace: float
    started_wall_ms: int
    group_id: str = ""
    epoch: int = 0
    rank: int = 0
    n_ranks: int = 0
    is_open: bool = True
    step: int = 0
    map_version: int = 0
    prepared_version: int = 0
    armed_version: int = 0
    armed_step: int = 0
    held_step: int | None = None


@dataclass(frozen=True, slots=True)
class RankCounts:
    """Number of times that the rank's requests have chosen each expert since its start.

    Parameters
    ----------
    epoch : int
        Epoch of the group.
    step : int
        Number of the last pass that the rank had started.
    n_by_expert : tuple of int
        Number of choices of each expert, layer after layer.
    experts : tuple of tuple of int
        Experts that the rank holds, by layer; empty unless they were requested.
    map_version : int
        Version of the map in use.
    """

    epoch: int
    step: int
    n_by_expert: tuple[int, ...]
    experts: tuple[tuple[int, ...], ...] = ()
    map_version: int = 0


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Answer of the engine to an order.

    Parameters
    ----------
    is_accepted : bool
        Whether the engine has accepted the order.
    reason : str
        Status and text of the engine's answer, or the fault that prevented one.
    """

    is_accepted: bool
    reason: str


class EngineControl(Protocol):
    """Adapter to the engine on the same instance.

    Every coroutine raises ``StepError`` when the engine does not answer, or when its
    answer cannot be used.
    """

    async def read_state(self) -> EngineState:
        """Return the current state of the engine."""

    async def read_counts(self, with_map: bool) -> RankCounts:
        """Return the counts, including the rank's experts if ``with_map`` is True."""

    async def execute(self, order: RankOrder, timeout_ms: int) -> OrderAnswer:
        """Send an order once and return the answer to it.

        Raises
        ------
        StepError
            When the engine does not answer within ``timeout_ms``.
        """

    def close(self) -> None:
        """Close all connections to the engine."""
