"""Protocols and types that an adapter to a platform implements.

Each platform has its own names for headers, fields and calls. An adapter only
translates these names. All decisions are made by the entry.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from expression import Result

from bluebellusher_core.directory import (
    EndpointRegistration,
    MirrorRow,
    RoutingTable,
)

MAX_PORT = 65_535
Headers = Sequence[tuple[str, str]]
"""Pairs of header name and value, in the order in which they were sent."""


@dataclass(frozen=True, slots=True)
class StoreError:
    """Failure of a call to the store.

    Parameters
    ----------
    step : str
        Name of the operation.
    reason : str
        Description of the failure, for the log.
    may_have_run : bool
        Whether a write may have taken effect or may still take effect.
    is_history_lost : bool
        Whether the store no longer has the requested changes. The caller must then
        read the whole table.
    is_unanswered : bool
        Whether the call timed out, so that only its connection may have failed.
    """

    step: str
    reason: str
    may_have_run: bool = False
    is_history_lost: bool = False
    is_unanswered: bool = False


@dataclass(frozen=True, slots=True)
class TableRows:
    """Rows or changed rows of a table, and the table version after them.

    Parameters
    ----------
    rows : tuple of MirrorRow
        All rows, or the changed ones.
    version : int
        Version of the table that includes them.
    store_epoch : int
        Number that rises each time the store is restored from an earlier copy of its
        rows, which assigns versions again; 0 when the store does not report it.
    """

    rows: tuple[MirrorRow, ...]
    version: int
    store_epoch: int = 0


@dataclass(frozen=True, slots=True)
class StoredRow:
    """Row after a write, and the store epoch (see ``TableRows``) of the answer.

    When ``store_epoch`` differs from that in which the expected version was read, the
    condition of the write was checked against a version of another history.
    """

    row: MirrorRow
    store_epoch: int = 0


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Conditional write of a row.

    The write takes effect only if the row has version ``expected_version``; 0 requires
    that the row is absent.
    """

    table: str
    key: str
    value: bytes
    expected_version: int


class RowStore(Protocol):
    """Store of tables, which persist when every process has ended."""

    async def read_table(self, table: str) -> Result[TableRows, StoreError]:
        """Return all rows of a table and the table version."""

    async def read_changes(
        self, table: str, above_version: int, wait_ms: int
    ) -> Result[TableRows, StoreError]:
        """Return the rows that changed after ``above_version``.

        Without a change, the call waits up to ``wait_ms`` milliseconds for one and then
        returns no rows.
        """

    async def write_row(self, write: RowWrite) -> Result[StoredRow, StoreError]:
        """Write a row if its condition holds; return the row as it then is.

        The returned row has a different value than ``write`` when the condition failed.
        """

    async def close(self) -> None:
        """Close all connections."""


@dataclass(frozen=True, slots=True)
class CallerFields:
    """Values from the headers of a caller's request.

    Parameters
    ----------
    attempt_id : str
        Id that the caller gave to its attempt.
    credential : str
        Credential that authenticates the customer; empty when there is none.
    remaining_ms : int or None
        Time in milliseconds for which the caller waits; ``None`` when not given.
    n_input_tokens, n_max_output_tokens : int
        Number of input tokens and highest number of output tokens of a generation;
        0 when not given.
    last_event_id : str
        Id of the last event that the caller received of the stream that it resumes;
        empty when it resumes none.
    shared_part_ids : tuple of str
        Ids of the parts of the prompt that other requests may share, in their order.
    """

    attempt_id: str
    credential: str = ""
    remaining_ms: int | None = None
    n_input_tokens: int = 0
    n_max_output_tokens: int = 0
    last_event_id: str = ""
    shared_part_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptFields:
    """Values that an attempt carries to its endpoint besides the caller's headers.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint to which the attempt is sent.
    remaining_ms : int
        Time in milliseconds until the deadline of the request.
    customer_id : str
        Customer who pays; empty when there is none.
    last_event_id : str
        Id of the last event that the caller received of a resumed stream; empty when
        no stream is resumed.
    priority : int
        Priority of the request.
    """

    endpoint_id: str
    remaining_ms: int
    customer_id: str
    last_event_id: str
    priority: int


@dataclass(frozen=True, slots=True)
class AnswerFields:
    """Values from the headers of an endpoint's answer.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt that the answer belongs to; empty when not given.
    is_not_run : bool
        Whether the endpoint reports that it did not run the request.
    is_wrong_endpoint : bool
        Whether the address now belongs to another endpoint.
    is_authentic : bool
        Whether the answer is marked as made by an endpoint, with an unchanged body.
    faulty_endpoint_id : str
        Id of the endpoint that caused a refusal; empty when not given.
    is_leaving : bool
        Whether the endpoint that answers announces its shutdown.
    pause_ms : int
        Time in milliseconds for which the endpoint asks for no requests from this
        entry; 0 when not given.
    max_requests_per_s : float or None
        Number of requests that the endpoint takes from all entries together, per
        second; ``None`` when it names no limit.
    warm_up_remaining_ms : int
        Time in milliseconds for which the endpoint states that it stays cold; 0 when
        not given.
    """

    attempt_id: str
    is_not_run: bool
    is_wrong_endpoint: bool
    is_authentic: bool
    faulty_endpoint_id: str = ""
    is_leaving: bool = False
    pause_ms: int = 0
    max_requests_per_s: float | None = None
    warm_up_remaining_ms: int = 0


class Dialect(Protocol):
    """Translation of the headers of callers and endpoints."""

    def read_caller(self, headers: Mapping[str, str]) -> CallerFields:
        """Return the values from a caller's headers.

        Raises
        ------
        ValueError
            When a header has an invalid value; the message names the header.
        """

    def read_attempt_id(self, headers: Mapping[str, str]) -> str:
        """Return the id that the caller gave to its attempt; empty when not given.

        Unlike ``read_caller``, this method raises nothing, so that the id is available
        for the log when the other headers are invalid.
        """

    def write_attempt(self, headers: Headers, fields: AttemptFields) -> Headers:
        """Return the headers of an attempt, made from the caller's and ``fields``."""

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerFields:
        """Return the values from the status and headers of an endpoint's answer."""


class TableCodec(Protocol):
    """Names of the shared tables and decoders of their values.

    Parameters
    ----------
    routing_table, routing_key : str
        Table and key of the row that holds the routing table.
    registration_table : str
        Table of the registrations of endpoints.
    """

    routing_table: str
    routing_key: str
    registration_table: str

    def read_routing(self, value: bytes) -> RoutingTable | None:
        """Return the routing table, or ``None`` when the value is malformed."""

    def read_evacuation(self, key: str) -> str | None:
        """Return the failure domain that a row evacuates by its key.

        The row is in ``routing_table``. The result is ``None`` for any other row.
        """

    def read_registration(
        self, endpoint_id: str, value: bytes
    ) -> EndpointRegistration | None:
        """Return the registration, or ``None`` when it holds no usable endpoint."""


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """Implementations that an adapter provides to an entry."""

    store: RowStore
    dialect: Dialect
    codec: TableCodec
