"""Implementation of the store of claims on the platform client."""

from collections.abc import Mapping
from typing import Any

from bluebellusher.platform import (
    PlatformClient,
    PlatformError,
    PlatformNotDoneError,
    TransactConflictError,
)
from bluebellusher.runtime._store import Committed, Conflict, Row, StoreError


class PlatformStore:
    """Store claims through the platform client; implements ``ClaimStore``."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def transact(
        self, conditions: Mapping[str, int], puts: Mapping[str, Any]
    ) -> Committed | Conflict:
        """Write all rows of ``puts`` if every row in ``conditions`` has its version."""
        result = await self._client.transact(conditions, puts)
        if result.is_ok():
            return Committed(result.ok)
        if isinstance(result.error, TransactConflictError):
            rows = result.error.conflicts
            return Conflict(tuple(Row(r.key, r.version, r.value) for r in rows))
        raise _to_store_error(result.error)

    async def read_row(self, key: str) -> Row:
        """Return the current row; its version is 0 when it does not exist."""
        result = await self._client.read_row(key)
        if not result.is_ok():
            raise _to_store_error(result.error)
        return Row(result.ok.key, result.ok.version, result.ok.value)

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object; an object that already exists is not changed."""
        result = await self._client.put_object(name, data)
        if not result.is_ok():
            raise _to_store_error(result.error)

    async def read_object(self, name: str) -> bytes:
        """Return the content of an object."""
        result = await self._client.get_object(name)
        if not result.is_ok():
            raise _to_store_error(result.error)
        if result.ok is None:
            raise StoreError(f"object {name} does not exist", is_refused=True)
        return result.ok


def _to_store_error(error: PlatformError) -> StoreError:
    return StoreError(str(error), isinstance(error, PlatformNotDoneError))
