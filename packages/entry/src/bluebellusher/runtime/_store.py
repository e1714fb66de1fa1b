"""Interface of the table and the objects in which claims are stored."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """Row of the table; version 0 means that the row does not exist."""

    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Committed:
    """Result of a transaction that took effect.

    ``version`` is the new version of every row that the transaction wrote.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a transaction that wrote nothing.

    ``rows`` are the current rows whose versions differ from the conditions.
    """

    rows: tuple[Row, ...]


class StoreError(Exception):
    """A call to the store failed or returned an invalid answer.

    Parameters
    ----------
    reason : str
        Description of the error.
    is_refused : bool
        Whether the platform stated that the call had no effect. Otherwise a write may
        have taken effect.
    """

    def __init__(self, reason: str, is_refused: bool) -> None:
        super().__init__(reason)
        self.is_refused = is_refused


class ClaimStore(Protocol):
    """Table of claims and objects with long answers.

    Every method raises ``StoreError`` when the store is unavailable or its answer is
    invalid.
    """

    async def transact(
        self, conditions: Mapping[str, int], puts: Mapping[str, Any]
    ) -> Committed | Conflict:
        """Write all rows of ``puts`` if every row in ``conditions`` has its version.

        Parameters
        ----------
        conditions : mapping of str to int
            Expected versions by row key; 0 for a row that does not exist.
        puts : mapping of str to object
            New values by row key.
        """

    async def read_row(self, key: str) -> Row:
        """Return the current row; its version is 0 when it does not exist."""

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object; an object that already exists is not changed."""

    async def read_object(self, name: str) -> bytes:
        """Return the content of an object."""
