"""Replay of a kept answer when its idempotency key is used again."""

from typing import Any

from bluebellusher.links import AnswerStream
from bluebellusher.runtime._kept_answer import read_kept_answer
from bluebellusher.runtime._store import ClaimStore, StoreError
from bluebellusher_core.errors import Outcome, Reason, Rejection


async def replay(answer: AnswerStream, row: Any, store: ClaimStore) -> None:
    """Send a caller the kept answer, or reject the request when it cannot be read.

    Parameters
    ----------
    answer : AnswerStream
        Answer of the repeated request.
    row : object
        Value of the claim row, in state ``done``.
    store : ClaimStore
        Contains the bodies that are too long for the row.
    """
    stored = read_kept_answer(row.get("answer")) if isinstance(row, dict) else None
    if stored is None:
        return answer.reject(_make_rejection(Reason.OUTCOME_UNKNOWN, None))
    kept_answer, object_name = stored
    body = kept_answer.body
    try:
        if object_name:
            body = await store.read_object(object_name)
    except StoreError:
        return answer.reject(_make_rejection(Reason.CLAIM_STORE_UNAVAILABLE, 1_000))
    if body is None:
        return answer.reject(_make_rejection(Reason.OUTCOME_UNKNOWN, None))
    answer.start(kept_answer.status, {**kept_answer.headers, "x-replayed": "true"})
    answer.write(body)
    answer.complete()


def _make_rejection(reason: Reason, retry_after_ms: int | None) -> Rejection:
    return Rejection(Outcome.UNKNOWN, reason, "replay", "table", retry_after_ms)
