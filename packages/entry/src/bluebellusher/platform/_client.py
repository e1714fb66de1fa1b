"""Client that returns the result of each platform operation as a ``Result``."""

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Self, TypeVar
from urllib.parse import quote

from expression import Error, Ok, Result

from bluebellusher.platform._errors import (
    ObjectExistsError,
    PlatformError,
    PlatformNotDoneError,
    PlatformOutcomeUnknownError,
    TransactConflictError,
    WeightRateLimitedError,
)
from bluebellusher.platform._transport import PlatformTransport, Reply
from bluebellusher.platform._types import Consistency, Instance, Row

T = TypeVar("T")
# Deadline of an operation in milliseconds, if neither the client nor the call sets one.
DEFAULT_DEADLINE_MS = 2_000


class PlatformClient:
    """Client of the table, the object store, the instance list and the weight store.

    Every operation returns a ``Result`` and raises nothing when the platform fails. The
    error is a ``PlatformNotDoneError`` when the operation certainly had no effect, and
    a ``PlatformOutcomeUnknownError`` when it may have had one. Deadlines are times in
    milliseconds from the start of an HTTP exchange until its answer is complete;
    ``put_object`` makes a second exchange when the object exists already.

    Parameters
    ----------
    base_url : str
        Address of the platform, such as ``"http://10.0.0.5:8080"``.
    failure_domain : str
        Failure domain of this instance.
    deadline_ms : int
        Deadline of each operation whose call sets none.

    Examples
    --------
    ::

        result = await client.transact({"a": 0}, {"a": 1})
        match result:
            case Result(tag="ok", ok=version): ...
            case Result(tag="error", error=TransactConflictError(conflicts=rows)): ...
    """

    def __init__(
        self,
        base_url: str,
        failure_domain: str = "",
        deadline_ms: int = DEFAULT_DEADLINE_MS,
    ) -> None:
        self._transport = PlatformTransport(base_url, failure_domain, deadline_ms)

    async def close(self) -> None:
        """Close all connections."""
        await self._transport.close()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def transact(
        self,
        conditions: Mapping[str, int],
        puts: Mapping[str, Any],
        deletes: Sequence[str] = (),
        deadline_ms: int | None = None,
    ) -> Result[int, PlatformError]:
        """Write and delete rows if all conditions hold; return the version written.

        A failed condition gives a ``TransactConflictError``, and nothing is written.

        Parameters
        ----------
        conditions : mapping of str to int
            Required row version by key; 0 requires that the row is absent.
        puts : mapping of str to JSON value
            Values to write by key.
        deletes : sequence of str
            Keys to delete.
        deadline_ms : int or None
            Deadline of this operation; ``None`` for that of the client.
        """
        body = {
            "conditions": [
                {"key": key, "version": version} for key, version in conditions.items()
            ],
            "puts": [{"key": key, "value": value} for key, value in puts.items()],
            "deletes": list(deletes),
        }
        result = await self._transport.exchange(
            "table-transact", "POST", "/table/transact", deadline_ms, json=body
        )
        return result.bind(self._decode_transact_reply)

    def _decode_transact_reply(self, reply: Reply) -> Result[int, PlatformError]:
        """Decode the version written, or the rows that conflict."""
        step = "table-transact"
        if reply.status == 409:
            return self._decode_json(step, reply, _decode_conflicts).bind(
                lambda rows: Error(
                    TransactConflictError(step, self._transport.peer, rows)
                )
            )
        return self._decode_json(step, reply, lambda data: int(data["version"]))

    async def read_row(
        self,
        key: str,
        consistency: Consistency = Consistency.STRONG,
        deadline_ms: int | None = None,
    ) -> Result[Row, PlatformError]:
        """Return a row; its version is 0 when the row is absent."""
        step = "table-read"
        params = {"key": key, "consistency": consistency.value}
        result = await self._transport.exchange(
            step, "GET", "/table/row", deadline_ms, params=params
        )
        return result.bind(lambda reply: self._decode_json(step, reply, Row.from_json))

    async def read_rows(
        self, prefix: str, deadline_ms: int | None = None
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Return all rows whose key starts with ``prefix``."""
        step = "table-scan"
        result = await self._transport.exchange(
            step, "GET", "/table/rows", deadline_ms, params={"prefix": prefix}
        )
        return result.bind(lambda reply: self._decode_json(step, reply, _decode_rows))

    async def put_object(
        self, name: str, data: bytes, deadline_ms: int | None = None
    ) -> Result[None, PlatformError]:
        """Create an object that does not exist yet.

        The operation also succeeds when the object exists with the same content,
        because the answer to an earlier write of it may have been lost.
        """
        step = "object-put"
        result = await self._transport.exchange(
            step,
            "PUT",
            _object_path(name),
            deadline_ms,
            data=data,
            headers={"If-None-Match": "*"},
        )
        if not result.is_ok():
            return Error(result.error)
        if result.ok.status == 412:
            return await self._check_existing_object(name, data, deadline_ms)
        return self._decode_json(step, result.ok, lambda _: None)

    async def _check_existing_object(
        self, name: str, data: bytes, deadline_ms: int | None
    ) -> Result[None, PlatformError]:
        """Succeed if an existing object has the content that was to be written."""
        existing = await self.get_object(name, deadline_ms)
        if not existing.is_ok():
            # The status 412 does not show whether an earlier write of this content
            # created the object, so the outcome is unknown without its content.
            error = existing.error
            unknown_error = PlatformOutcomeUnknownError(
                "object-put", error.peer, error.reason
            )
            return Error(unknown_error)
        if existing.ok == data:
            return Ok(None)
        reason = f"{name} exists with other content"
        return Error(ObjectExistsError("object-put", self._transport.peer, reason))

    async def get_object(
        self, name: str, deadline_ms: int | None = None
    ) -> Result[bytes | None, PlatformError]:
        """Return the content of an object, or ``None`` when it does not exist."""
        step = "object-get"
        result = await self._transport.exchange(
            step, "GET", _object_path(name), deadline_ms
        )
        return result.bind(lambda reply: self._decode_object(step, reply))

    def _decode_object(
        self, step: str, reply: Reply
    ) -> Result[bytes | None, PlatformError]:
        """Return the body, or ``None`` for status 404."""
        if reply.status == 404:
            return Ok(None)
        if reply.status != 200:
            return Error(self._to_status_error(step, reply))
        return Ok(reply.body)

    async def list_objects(
        self, prefix: str, deadline_ms: int | None = None
    ) -> Result[tuple[str, ...], PlatformError]:
        """Return the names of all objects that start with ``prefix``."""
        step = "object-list"
        result = await self._transport.exchange(
            step, "GET", "/objects", deadline_ms, params={"prefix": prefix}
        )
        return result.bind(
            lambda reply: self._decode_json(step, reply, _decode_object_names)
        )

    async def list_instances(
        self, deadline_ms: int | None = None
    ) -> Result[tuple[Instance, ...], PlatformError]:
        """Return the instance list, which the platform updates with a delay."""
        step = "instance-list"
        result = await self._transport.exchange(step, "GET", "/instances", deadline_ms)
        return result.bind(
            lambda reply: self._decode_json(step, reply, _decode_instances)
        )

    async def fetch_weights(
        self, expert_id: str, n_bytes: int, deadline_ms: int | None = None
    ) -> Result[None, PlatformError]:
        """Ask the weight store to transfer the weights of one expert.

        A ``WeightRateLimitedError`` gives the time after which to retry.
        """
        step = "weight-fetch"
        body = {"expert_id": expert_id, "n_bytes": n_bytes}
        result = await self._transport.exchange(
            step, "POST", "/weights/fetch", deadline_ms, json=body
        )
        return result.bind(lambda reply: self._decode_weight_reply(step, reply))

    def _decode_weight_reply(
        self, step: str, reply: Reply
    ) -> Result[None, PlatformError]:
        """Return an error with the retry time for status 429."""
        if reply.status != 429:
            return self._decode_json(step, reply, lambda _: None)
        retry_after = reply.headers.get("Retry-After", "1")
        retry_after_ms = int(retry_after) * 1000 if retry_after.isdigit() else 1000
        return Error(WeightRateLimitedError(step, self._transport.peer, retry_after_ms))

    def _decode_json(
        self, step: str, reply: Reply, decode: Callable[[Any], T]
    ) -> Result[T, PlatformError]:
        """Decode the JSON body of a 200 or 409 answer with ``decode``."""
        if reply.status not in (200, 409):
            return Error(self._to_status_error(step, reply))
        try:
            return Ok(decode(json.loads(reply.body)))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            # A malformed answer does not show whether a write was executed.
            reason = f"malformed answer: {type(error).__name__}: {error}"[:200]
            return Error(
                PlatformOutcomeUnknownError(step, self._transport.peer, reason)
            )

    def _to_status_error(self, step: str, reply: Reply) -> PlatformError:
        """Return the error for an unexpected status; 4xx statuses had no effect."""
        reason = f"status {reply.status}: expected 200"
        if 400 <= reply.status < 500:
            return PlatformNotDoneError(step, self._transport.peer, reason)
        return PlatformOutcomeUnknownError(step, self._transport.peer, reason)


def _object_path(name: str) -> str:
    return "/objects/" + quote(name, safe="/")


def _decode_conflicts(data: Any) -> tuple[Row, ...]:
    return tuple(Row.from_json(row) for row in data["conflicts"])


def _decode_rows(data: Any) -> tuple[Row, ...]:
    return tuple(Row.from_json(row) for row in data["rows"])


def _decode_object_names(data: Any) -> tuple[str, ...]:
    return tuple(str(name) for name in data["objects"])


def _decode_instances(data: Any) -> tuple[Instance, ...]:
    return tuple(Instance.from_json(item) for item in data["instances"])
