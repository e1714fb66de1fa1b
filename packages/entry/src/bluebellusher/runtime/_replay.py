"""Replay of a kept answer to a repeat of its idempotency key."""

from typing import Any

from bluebellusher.links import AnswerStream
from bluebellusher.runtime._kept import read_kept
from bluebellusher.runtime._store import ClaimStore, StoreError
from bluebellusher_core.errors import Outcome, Reason, Rejection


async def replay(answer: AnswerStream, row: Any, store: ClaimStore) -> None:
    """Give a caller the kept answer, or say that it cannot be read."""
    kept = read_kept(row.get("answer")) if isinstance(row, dict) else None
    if kept is None:
        return answer.reject(_refusal(Reason.OUTCOME_UNKNOWN, None))
    head, object_name = kept
    body = head.body
    try:
        if object_name:
            body = await store.read_object(object_name)
    except StoreError:
        return answer.reject(_refusal(Reason.CLAIM_STORE_UNAVAILABLE, 1_000))
    if body is None:
        return answer.reject(_refusal(Reason.OUTCOME_UNKNOWN, None))
    answer.start(head.status, {**head.headers, "x-replayed": "true"})
    answer.write(body)
    answer.complete()


def _refusal(reason: Reason, retry_after_ms: int | None) -> Rejection:
    return Rejection(Outcome.UNKNOWN, reason, "replay", "table", retry_after_ms)
