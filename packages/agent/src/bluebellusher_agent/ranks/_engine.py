"""What an adapter must provide to reach the engine on the same instance."""

from dataclasses import dataclass
from typing import Protocol

from bluebellusher_core.ranks import RankOrder


@dataclass(frozen=True, slots=True)
class RankReading:
    """State of an engine, and of its rank where it has one.

    Parameters
    ----------
    n_running, n_queued : int
        Requests in the batch and waiting.
    pace : float
        Over 1 for an engine that is slower than usual.
    started_wall_ms : int
        Unix time of the engine's start.
    group_id : str
        Its group; empty for none. The fields below then say nothing.
    epoch, rank, n_ranks, is_open, step : int, int, int, bool, int
        As in ``RankState``.
    map_version, prepared_version, armed_version, armed_step : int
        As in ``RankState``.
    held_step : int or None
        As in ``RankState``.
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
    """How often the rank's requests chose each expert since the rank started.

    ``n_by_expert`` goes through the layers in turn. ``experts`` are those that the
    rank holds by layer, when they were asked for.
    """

    epoch: int
    step: int
    n_by_expert: tuple[int, ...]
    experts: tuple[tuple[int, ...], ...] = ()
    map_version: int = 0


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Whether an order was accepted; ``reason`` says what the engine answered."""

    is_accepted: bool
    reason: str


class EngineControl(Protocol):
    """The engine on the same instance.

    Every method raises ``StepError`` when the engine gives no usable answer.
    """

    async def read(self) -> RankReading:
        """Return the present state."""

    async def read_counts(self, with_map: bool) -> RankCounts:
        """Return the counts, and the experts of the rank when they are wanted."""

    async def execute(self, order: RankOrder, timeout_ms: int) -> OrderAnswer:
        """Give an order once; ``StepError`` when no answer comes in time."""

    def close(self) -> None:
        """Close all connections."""
