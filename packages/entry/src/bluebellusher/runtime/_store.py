"""What the runtime needs of the platform."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; version 0 means that it is absent."""

    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction that took effect; ``version`` is that of every row it put."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction that wrote nothing; ``rows`` are those that contradicted it."""

    rows: tuple[Row, ...]


class StoreError(Exception):
    """The platform gave no usable answer.

    Parameters
    ----------
    reason : str
        What happened.
    is_refused : bool
        Whether the platform said that it did nothing; otherwise a write may have
        taken effect.
    """

    def __init__(self, reason: str, is_refused: bool) -> None:
        super().__init__(reason)
        self.is_refused = is_refused


class ClaimStore(Protocol):
    """Table and objects; every method raises ``StoreError``."""

    async def transact(
        self, conditions: Mapping[str, int], puts: Mapping[str, Any]
    ) -> Committed | Conflict:
        """Put all rows if every row in ``conditions`` has the given version."""

    async def read_row(self, key: str) -> Row:
        """Return the current row."""

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object; one that exists already is left as it is."""

    async def read_object(self, name: str) -> bytes:
        """Return an object."""
