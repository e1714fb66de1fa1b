"""Writing of claims and outcomes of non-idempotent requests to the table."""

import asyncio
from collections import OrderedDict
from collections.abc import Coroutine
from typing import Any

from bluebellusher.links import EventSink
from bluebellusher.runtime._kept_answer import KeptAnswer
from bluebellusher.runtime._store import ClaimStore, Committed, Row, StoreError
from bluebellusher_core.effects import ClaimState, ClaimWrite
from bluebellusher_core.events import (
    ClaimOutcome,
    ClaimResult,
    ClaimsAnswered,
    ClaimsUnanswered,
)

# Upper bound of the kept answers, and of the rows with state ``done``, in memory.
_N_MAX_IN_MEMORY = 1_000
# Upper bound of the bodies of all kept answers in memory, in bytes.
_MAX_KEPT_BYTES = 32 * 1024 * 1024
# Number of tries to write rows while others change them. A row changes at most twice
# after it was claimed. After this number of conflicts, the batch counts as unanswered
# and is sent again later.
_N_MAX_TRIES = 8


def claim_key(write: ClaimWrite) -> str:
    """Return the key of the row of a claim."""
    return f"claim/{write.customer_id}/{write.idempotency_key}"


class ClaimWriter:
    """Write batches of claims or outcomes to the table and post their results.

    A batch whose answer is lost is posted as unanswered. The reducer sends the batch
    again with the same claim ids. A row with the claim id of a write was written by an
    earlier try of that write.

    Parameters
    ----------
    store : ClaimStore
        The platform's table and objects.
    sink : EventSink
        Receives ``ClaimsAnswered`` and ``ClaimsUnanswered``.
    entry_id : str
        Id of this entry, which is stored in each row for operators.
    """

    def __init__(self, store: ClaimStore, sink: EventSink, entry_id: str) -> None:
        self._store = store
        self._sink = sink
        self._entry_id = entry_id
        self._tasks: set[asyncio.Task[None]] = set()
        self._done_row_by_request_id: OrderedDict[str, Any] = OrderedDict()
        self._kept_by_request_id: OrderedDict[str, KeptAnswer] = OrderedDict()
        self._n_kept_bytes = 0

    @property
    def n_in_flight(self) -> int:
        """Return the number of batches that are being written."""
        return len(self._tasks)

    def keep_answer(self, request_id: str, kept: KeptAnswer) -> None:
        """Keep the answer of a finished request until its outcome is written.

        Above the limits of kept answers, the oldest ones are evicted.
        """
        self._kept_by_request_id[request_id] = kept
        self._n_kept_bytes += kept.n_bytes
        while (
            len(self._kept_by_request_id) > _N_MAX_IN_MEMORY
            or self._n_kept_bytes > _MAX_KEPT_BYTES
        ):
            # The evicted answer cannot be replayed, but the outcome ``done`` is still
            # written to its row.
            _, evicted = self._kept_by_request_id.popitem(last=False)
            self._n_kept_bytes -= evicted.n_bytes

    def pop_done_row(self, request_id: str) -> Any:
        """Return and discard the row value that made the result of a claim ``DONE``."""
        return self._done_row_by_request_id.pop(request_id, None)

    def submit(self, batch_id: str, writes: tuple[ClaimWrite, ...]) -> None:
        """Start to write a batch, which contains either claims or outcomes."""
        is_claims = all(w.state is ClaimState.CLAIMED for w in writes)
        write_coroutine = (
            self._write_claims(writes) if is_claims else self._write_outcomes(writes)
        )
        task = asyncio.create_task(self._write_batch(batch_id, write_coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the writes in progress."""
        for task in self._tasks:
            task.cancel()

    async def _write_batch(
        self,
        batch_id: str,
        write_coroutine: Coroutine[Any, Any, tuple[ClaimResult, ...]],
    ) -> None:
        """Await the write of a batch and post its results, also after an error."""
        try:
            results = await write_coroutine
        except Exception as error:
            # Every batch needs an event, also after an unexpected error. The number of
            # batches in flight is limited, and one without an event would block others.
            self._sink.log(
                "claims-unanswered",
                step="claim",
                peer="table",
                error=f"{type(error).__name__}: {error}",
            )
            self._sink.post(ClaimsUnanswered(batch_id))
        else:
            self._sink.post(ClaimsAnswered(batch_id, results))

    async def _write_claims(
        self, writes: tuple[ClaimWrite, ...]
    ) -> tuple[ClaimResult, ...]:
        """Write claims in one transaction and return their results.

        After a conflict, the transaction is sent again without the claims whose results
        follow from the conflicting rows.
        """
        open_by_key = {claim_key(write): write for write in writes}
        version_by_key = dict.fromkeys(open_by_key, 0)
        results: list[ClaimResult] = []
        for _ in range(_N_MAX_TRIES):
            if not open_by_key:
                return tuple(results)
            conditions = {key: version_by_key[key] for key in open_by_key}
            puts = {
                key: self._make_row_value(write) for key, write in open_by_key.items()
            }
            answer = await self._store.transact(conditions, puts)
            if isinstance(answer, Committed):
                granted = ClaimOutcome.GRANTED
                results += [
                    ClaimResult(w.request_id, granted) for w in open_by_key.values()
                ]
                return tuple(results)
            for row in answer.rows:
                write = open_by_key[row.key]
                result = self._read_conflict(write, row)
                if result is None:
                    version_by_key[row.key] = row.version
                else:
                    results.append(result)
                    del open_by_key[row.key]
        raise StoreError("claim rows kept changing", is_refused=False)

    def _read_conflict(self, write: ClaimWrite, row: Row) -> ClaimResult | None:
        """Return the result of a claim from the existing row.

        Returns None when the claim may overwrite the row.
        """
        value = row.value if isinstance(row.value, dict) else {}
        state = value.get("state")
        request_id = write.request_id
        if row.version == 0:
            return None
        if value.get("claim_id") == write.claim_id:
            # An earlier try of this write took effect and its answer was lost.
            return ClaimResult(request_id, ClaimOutcome.GRANTED)
        if state == ClaimState.ABANDONED:
            return None
        if value.get("fingerprint") != write.fingerprint:
            return ClaimResult(request_id, ClaimOutcome.KEY_REUSED)
        if state != ClaimState.DONE:
            return ClaimResult(request_id, ClaimOutcome.IN_PROGRESS)
        self._done_row_by_request_id[request_id] = value
        if len(self._done_row_by_request_id) > _N_MAX_IN_MEMORY:
            self._done_row_by_request_id.popitem(last=False)
        return ClaimResult(request_id, ClaimOutcome.DONE, row.key)

    async def _write_outcomes(
        self, writes: tuple[ClaimWrite, ...]
    ) -> tuple[ClaimResult, ...]:
        """Write outcomes to the rows of their claims.

        Each row is read first, because a row of another claim must not be changed.
        """
        async with asyncio.TaskGroup() as group:
            for write in writes:
                if write.state is ClaimState.DONE:
                    group.create_task(self._write_done(write))
                else:
                    group.create_task(self._write_abandoned(write))
        return ()

    async def _write_done(self, write: ClaimWrite) -> None:
        """Write ``done`` and the kept answer to the row of a claim.

        Nothing is written when the row is not in state ``claimed`` or belongs to
        another claim.
        """
        key = claim_key(write)
        value = self._make_row_value(write)
        kept = self._kept_by_request_id.get(write.request_id)
        if kept is not None:
            name = f"answer/{write.customer_id}/{write.claim_id}"
            value["answer"] = kept.to_row(name)
            if kept.needs_object and kept.body is not None:
                await self._store.put_object(name, kept.body)
        for _ in range(_N_MAX_TRIES):
            row = await self._store.read_row(key)
            if not _is_claimed_by(row, write) or await self._write_row(row, value):
                self._discard_kept_answer(write.request_id)
                return
        raise StoreError(f"row {key} kept changing", is_refused=False)

    async def _write_abandoned(self, write: ClaimWrite) -> None:
        """Write ``abandoned`` to a row that does not exist or belongs to the claim.

        The row is written even when it does not exist, because a claim write that is
        still in transit must not take effect afterwards.
        """
        key = claim_key(write)
        for _ in range(_N_MAX_TRIES):
            row = await self._store.read_row(key)
            if row.version and not _is_claimed_by(row, write):
                return
            if await self._write_row(row, self._make_row_value(write)):
                return
        raise StoreError(f"row {key} kept changing", is_refused=False)

    async def _write_row(self, row: Row, value: dict[str, Any]) -> bool:
        """Write a row if its version is unchanged; return whether it was written."""
        answer = await self._store.transact({row.key: row.version}, {row.key: value})
        return isinstance(answer, Committed)

    def _discard_kept_answer(self, request_id: str) -> None:
        kept = self._kept_by_request_id.pop(request_id, None)
        if kept is not None:
            self._n_kept_bytes -= kept.n_bytes

    def _make_row_value(self, write: ClaimWrite) -> dict[str, Any]:
        """Return the stored form of a claim or outcome, without a kept answer."""
        return {
            "state": write.state.value,
            "claim_id": write.claim_id,
            "fingerprint": write.fingerprint,
            "entry_id": self._entry_id,
            "attempt_id": write.attempt_id,
        }


def _is_claimed_by(row: Row, write: ClaimWrite) -> bool:
    """Return whether a row belongs to a claim and has no outcome yet."""
    value = row.value if isinstance(row.value, dict) else {}
    is_same_claim = value.get("claim_id") == write.claim_id
    return is_same_claim and value.get("state") == ClaimState.CLAIMED
