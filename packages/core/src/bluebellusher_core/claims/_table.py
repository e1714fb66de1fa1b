"""Table of claim writes: unsent, in flight and to be sent again."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from bluebellusher_core.effects import (
    ClaimState,
    ClaimWrite,
    Effect,
    SetTimer,
    WriteClaims,
)
from bluebellusher_core.events import ClaimResult, ClaimsAnswered, RequestSpec

# Time for which writes are collected into one batch, in ms.
BATCH_DELAY_MS = 5
# Upper bound of the writes in one batch.
N_MAX_BATCH = 100
# Two batches of claims in flight overlap their round trips. More would only make the
# batches smaller.
N_MAX_IN_FLIGHT = 2
# Bounds of the wait before a batch without an answer is sent again, in ms.
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
# Upper bound of the outcomes that wait to be written.
N_MAX_OUTCOMES = 20_000
FLUSH_TIMER = "claims:flush"
RETRY_TIMER = "claims:retry:"


@dataclass(slots=True)
class _Batch:
    """Writes that are sent together, and how often the table did not answer them."""

    writes: tuple[ClaimWrite, ...]
    is_outcome: bool
    n_unanswered: int = 0


@dataclass(slots=True)
class ClaimTable:
    """Claim writes of one entry.

    Claims are collected for a few milliseconds, so that one transaction writes many of
    them. A batch without an answer is sent again with the same claim ids. While the
    table is unavailable, at most one batch of claims is in flight. The other claims
    stay unsent and can be withdrawn without a further write.

    Parameters
    ----------
    id_prefix : str
        Prefix of claim and batch ids, unique for each start of each entry.
    """

    id_prefix: str
    is_answering: bool = True
    _n_ids: int = 0
    _is_flush_scheduled: bool = False
    _unsent: dict[str, ClaimWrite] = field(default_factory=dict)
    _sent: dict[str, ClaimWrite] = field(default_factory=dict)
    _outcomes: dict[str, ClaimWrite] = field(default_factory=dict)
    _batch_by_id: dict[str, _Batch] = field(default_factory=dict)

    @property
    def is_idle(self) -> bool:
        """Whether no write waits or is in flight."""
        return not (self._unsent or self._outcomes or self._batch_by_id)

    def claim(self, spec: RequestSpec, now_ms: int) -> list[Effect]:
        """Add the claim of a request to the next batch."""
        self._unsent[spec.request_id] = ClaimWrite(
            request_id=spec.request_id,
            customer_id=spec.customer_id,
            idempotency_key=spec.idempotency_key or "",
            claim_id=self._new_id("c"),
            fingerprint=spec.fingerprint,
            state=ClaimState.CLAIMED,
        )
        return self._schedule_flush(now_ms)

    def withdraw(self, request_id: str) -> ClaimWrite | None:
        """Withdraw a claim; return its write if it was sent and may have taken effect.

        Returns None for a claim that was never sent.
        """
        self._unsent.pop(request_id, None)
        return self._sent.pop(request_id, None)

    def record(
        self, write: ClaimWrite, state: ClaimState, attempt_id: str, now_ms: int
    ) -> list[Effect]:
        """Add the outcome of a claim, ``DONE`` or ``ABANDONED``, to the next batch.

        Beyond ``N_MAX_OUTCOMES`` the oldest unsent outcome is discarded.
        """
        outcome = replace(write, state=state, attempt_id=attempt_id)
        self._outcomes[write.claim_id] = outcome
        if len(self._outcomes) > N_MAX_OUTCOMES:
            # The row of a discarded outcome stays claimed, so that a request with the
            # same key is not run again.
            del self._outcomes[next(iter(self._outcomes))]
        return self._schedule_flush(now_ms)

    def flush(self) -> list[Effect]:
        """Send collected claims and outcomes, up to the limits of batches in flight."""
        self._is_flush_scheduled = False
        return self._send_claims() + self._send_outcomes()

    def apply_answer(
        self, event: ClaimsAnswered
    ) -> tuple[list[tuple[ClaimWrite, ClaimResult]], list[Effect]]:
        """Handle the table's answer to a batch.

        Returns the results of claims that were not withdrawn, and the effects that send
        the next batches.
        """
        batch = self._batch_by_id.pop(event.batch_id, None)
        if batch is None:
            return [], []
        self.is_answering = True
        if batch.is_outcome:
            return [], self.flush()
        result_by_id = {result.request_id: result for result in event.results}
        results: list[tuple[ClaimWrite, ClaimResult]] = []
        for write in batch.writes:
            if self._sent.pop(write.request_id, None) is None:
                continue
            result = result_by_id.get(write.request_id)
            if result is None:
                # The answer does not state the result of this claim, so the claim is
                # sent again.
                self._unsent[write.request_id] = write
                self._sent[write.request_id] = write
            else:
                results.append((write, result))
        return results, self.flush()

    def schedule_resend(self, batch_id: str, now_ms: int) -> list[Effect]:
        """Schedule a batch without an answer to be sent again.

        The wait doubles each time, from ``MIN_BACKOFF_MS`` to ``MAX_BACKOFF_MS``.
        """
        batch = self._batch_by_id.get(batch_id)
        if batch is None:
            return []
        self.is_answering = False
        backoff_ms = min(MIN_BACKOFF_MS << batch.n_unanswered, MAX_BACKOFF_MS)
        batch.n_unanswered = min(batch.n_unanswered + 1, 10)
        return [SetTimer(f"{RETRY_TIMER}{batch_id}", now_ms + backoff_ms)]

    def resend(self, batch_id: str) -> list[Effect]:
        """Send an unanswered batch again, without the claims withdrawn meanwhile."""
        batch = self._batch_by_id.get(batch_id)
        if batch is None or not batch.n_unanswered:
            return []
        if not batch.is_outcome:
            remaining_writes = [w for w in batch.writes if w.request_id in self._sent]
            batch.writes = tuple(remaining_writes)
        if not batch.writes:
            del self._batch_by_id[batch_id]
            return self.flush()
        return [WriteClaims(batch_id, batch.writes)]

    def _send_claims(self) -> list[Effect]:
        """Send unsent claims until enough batches of claims are in flight."""
        effects: list[Effect] = []
        n_allowed = N_MAX_IN_FLIGHT if self.is_answering else 1
        while self._n_in_flight(is_outcome=False) < n_allowed:
            writes = self._dequeue_claims()
            if not writes:
                break
            for write in writes:
                self._sent[write.request_id] = write
            effects.append(self._send(writes, is_outcome=False))
        return effects

    def _dequeue_claims(self) -> list[ClaimWrite]:
        """Remove and return unsent claims with different keys, none of them in flight.

        Two claims of one key in one transaction would both find that the row does not
        exist.
        """
        excluded_rows = self._rows_in_flight(only_outcomes=False)
        selected = _select_batch(self._unsent.values(), excluded_rows)
        for write in selected:
            del self._unsent[write.request_id]
        return selected

    def _send_outcomes(self) -> list[Effect]:
        """Send unsent outcomes unless a batch of outcomes is in flight."""
        effects: list[Effect] = []
        # No caller waits for the write of an outcome, so the batches may be large: one
        # is in flight at a time.
        if self._n_in_flight(is_outcome=True) == 0:
            writes = self._dequeue_outcomes()
            if writes:
                effects.append(self._send(writes, is_outcome=True))
        return effects

    def _dequeue_outcomes(self) -> list[ClaimWrite]:
        """Remove and return unsent outcomes whose rows have no outcome in flight."""
        excluded_rows = self._rows_in_flight(only_outcomes=True)
        selected = _select_batch(self._outcomes.values(), excluded_rows)
        for write in selected:
            del self._outcomes[write.claim_id]
        return selected

    def _rows_in_flight(self, only_outcomes: bool) -> set[tuple[str, str]]:
        """Return customer and idempotency key of the rows with a write in flight."""
        return {
            (write.customer_id, write.idempotency_key)
            for batch in self._batch_by_id.values()
            if batch.is_outcome or not only_outcomes
            for write in batch.writes
        }

    def _send(self, writes: list[ClaimWrite], is_outcome: bool) -> WriteClaims:
        """Record a new batch as in flight and return the effect that sends it."""
        batch_id = self._new_id("b")
        self._batch_by_id[batch_id] = _Batch(tuple(writes), is_outcome)
        return WriteClaims(batch_id, tuple(writes))

    def _n_in_flight(self, is_outcome: bool) -> int:
        """Return the number of batches of claims or of outcomes in flight."""
        batches = self._batch_by_id.values()
        return sum(1 for batch in batches if batch.is_outcome is is_outcome)

    def _schedule_flush(self, now_ms: int) -> list[Effect]:
        """Set the flush timer unless it is pending."""
        if self._is_flush_scheduled:
            return []
        self._is_flush_scheduled = True
        return [SetTimer(FLUSH_TIMER, now_ms + BATCH_DELAY_MS)]

    def _new_id(self, kind: str) -> str:
        """Return a new id; ``kind`` is ``"c"`` for a claim and ``"b"`` for a batch."""
        self._n_ids += 1
        return f"{self.id_prefix}.{kind}{self._n_ids}"


def _select_batch(
    writes: Iterable[ClaimWrite], excluded_rows: set[tuple[str, str]]
) -> list[ClaimWrite]:
    """Return at most ``N_MAX_BATCH`` writes to different rows.

    Rows in ``excluded_rows`` are skipped. The selected rows are added to it.
    """
    selected: list[ClaimWrite] = []
    for write in writes:
        row = (write.customer_id, write.idempotency_key)
        if row in excluded_rows:
            continue
        excluded_rows.add(row)
        selected.append(write)
        if len(selected) == N_MAX_BATCH:
            break
    return selected
