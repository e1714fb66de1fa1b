"""Access to the configuration rows in the table."""

from typing import Any

from bluebellusher.platform import (
    PlatformClient,
    PlatformError,
    Row,
    TransactConflictError,
)
from bluebellusher_core.rollout import (
    ChangeRows,
    ConfigVersion,
    WriteChange,
    WriteResult,
    WriteStatus,
)

HEAD_KEY = "config/head"
VERSION_PREFIX = "config/version/"
_CHANGE_PREFIX = "config/change/"
# Deadline in milliseconds for reading all versions. They arrive in one answer, whose
# size grows with the number of versions.
_HISTORY_DEADLINE_MS = 20_000


class ConfigTable:
    """Reader and writer of the head, version and change rows.

    The head row describes the last accepted version without its rules text, because
    pollers read this row every second. The text is in the row of the version, which is
    never rewritten. All methods except ``write_change`` raise ``PlatformError`` when
    the platform fails or a row is malformed.

    Parameters
    ----------
    client : PlatformClient
        Client of the table.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def read_head(self) -> tuple[int, ConfigVersion | None]:
        """Return the version of the head row, and the head without its rules text.

        The head is ``None`` when no version was accepted yet.
        """
        row = await self._read_row(HEAD_KEY)
        return row.version, _decode_version(row) if row.version else None

    async def read_version(self, version: int) -> ConfigVersion:
        """Return an accepted version with its rules text."""
        row = await self._read_row(f"{VERSION_PREFIX}{version}")
        if not row.version:
            raise _malformed_row_error(row, "the row is absent")
        return _decode_version(row)

    async def read_all(self) -> list[ConfigVersion]:
        """Return all accepted versions, ordered by number."""
        result = await self._client.read_rows(VERSION_PREFIX, _HISTORY_DEADLINE_MS)
        if not result.is_ok():
            raise result.error
        versions = [_decode_version(row) for row in result.ok]
        return sorted(versions, key=lambda config: config.version)

    async def read_change(self, change_id: str) -> int:
        """Return the version number recorded in the row of a change.

        The number is 0 when the row is absent, and -1 when the row records that the
        change was refused.
        """
        row = await self._read_row(_CHANGE_PREFIX + change_id)
        if not row.version:
            return 0
        try:
            return int(row.value["version"])
        except (KeyError, TypeError, ValueError) as error:
            raise _malformed_row_error(row, str(error)) from None

    async def read_rows(self, change_id: str) -> ChangeRows:
        """Return the rows that decide about a change.

        The head is read first. If this change has written the head that was read, the
        later read of the change row then always finds the row.
        """
        head_row_version, head = await self.read_head()
        return ChangeRows(head_row_version, head, await self.read_change(change_id))

    async def write_change(self, write: WriteChange, operator: str) -> WriteResult:
        """Accept a change in one transaction, if its conditions hold.

        The transaction requires that the head row has the expected version and that
        the row of the change is absent. The result is ``CONFLICT`` with the current
        rows when a condition failed, and ``NO_ANSWER`` when the platform failed, in
        which case the change may have been written.
        """
        config = write.config
        change_key = _CHANGE_PREFIX + config.change_id
        head = _to_head_value(config)
        change_value = {"version": config.version, "operator": operator}
        puts = {
            HEAD_KEY: head,
            f"{VERSION_PREFIX}{config.version}": {
                **head,
                "rules_text": config.rules_text,
            },
            change_key: change_value,
        }
        conditions = {HEAD_KEY: write.head_row_version, change_key: 0}
        result = await self._client.transact(conditions, puts)
        if result.is_ok():
            return WriteResult(WriteStatus.APPLIED)
        if not isinstance(result.error, TransactConflictError):
            return WriteResult(WriteStatus.NO_ANSWER)
        try:
            rows = await self.read_rows(config.change_id)
        except PlatformError:
            return WriteResult(WriteStatus.NO_ANSWER)
        return WriteResult(WriteStatus.CONFLICT, rows)

    async def write_refusal(self, change_id: str) -> None:
        """Record a change as refused, which is final, if its row is absent.

        An existing row is not modified.
        """
        key = _CHANGE_PREFIX + change_id
        result = await self._client.transact({key: 0}, {key: {"version": -1}})
        if not result.is_ok() and not isinstance(result.error, TransactConflictError):
            raise result.error

    async def _read_row(self, key: str) -> Row:
        """Return a row; raise ``PlatformError`` when the platform fails."""
        result = await self._client.read_row(key)
        if not result.is_ok():
            raise result.error
        return result.ok


def _to_head_value(config: ConfigVersion) -> dict[str, Any]:
    """Return the value of the head row, which has no rules text."""
    return {
        "version": config.version,
        "change_id": config.change_id,
        "author": config.author,
        "accepted_wall_ms": config.accepted_wall_ms,
    }


def _decode_version(row: Row) -> ConfigVersion:
    """Decode a head or version row; raise ``PlatformError`` when it is malformed."""
    value = row.value
    try:
        return ConfigVersion(
            version=int(value["version"]),
            change_id=str(value["change_id"]),
            rules_text=str(value.get("rules_text", "")),
            author=str(value["author"]),
            accepted_wall_ms=int(value["accepted_wall_ms"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise _malformed_row_error(row, f"{type(error).__name__}: {error}") from None


def _malformed_row_error(row: Row, reason: str) -> PlatformError:
    return PlatformError("config-read", "table", f"row {row.key}: {reason}")
