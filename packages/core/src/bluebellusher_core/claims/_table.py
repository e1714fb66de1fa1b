"""Claim writes that wait, that are in flight, and that must be repeated."""

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

COLLECT_MS = 5
N_MAX_BATCH = 100
# Two batches overlap the round trips; more of them only make batches smaller.
N_MAX_IN_FLIGHT = 2
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
N_MAX_OUTCOMES = 20_000
FLUSH_TIMER = "claims:flush"
RETRY_TIMER = "claims:retry:"


@dataclass(slots=True)
class _Batch:
    writes: tuple[ClaimWrite, ...]
    is_outcome: bool
    n_unanswered: int = 0


@dataclass(slots=True)
class ClaimTable:
    """Claims of one entry.

    Claims wait a few milliseconds so that one transaction carries many of them. A
    batch without an answer is sent again with the same claim ids. While the table
    does not answer, only one batch of claims is in flight, so that claims which were
    never sent can be given up without a further write.

    Parameters
    ----------
    id_prefix : str
        Unique for each start of each entry.
    """

    id_prefix: str
    is_answering: bool = True
    _n_ids: int = 0
    _is_flush_set: bool = False
    _unsent: dict[str, ClaimWrite] = field(default_factory=dict)
    _sent: dict[str, ClaimWrite] = field(default_factory=dict)
    _outcomes: dict[str, ClaimWrite] = field(default_factory=dict)
    _batch_by_id: dict[str, _Batch] = field(default_factory=dict)

    @property
    def is_idle(self) -> bool:
        """Whether no write waits or is in flight."""
        return not (self._unsent or self._outcomes or self._batch_by_id)

    def claim(self, spec: RequestSpec, now_ms: int) -> list[Effect]:
        """Collect the claim of a request."""
        self._unsent[spec.request_id] = ClaimWrite(
            request_id=spec.request_id,
            customer_id=spec.customer_id,
            idempotency_key=spec.idempotency_key or "",
            claim_id=self._new_id("c"),
            fingerprint=spec.fingerprint,
            state=ClaimState.CLAIMED,
        )
        return self._set_flush(now_ms)

    def withdraw(self, request_id: str) -> ClaimWrite | None:
        """Give up a claim; return its write when it may have taken effect."""
        self._unsent.pop(request_id, None)
        return self._sent.pop(request_id, None)

    def record(
        self, write: ClaimWrite, state: ClaimState, attempt_id: str, now_ms: int
    ) -> list[Effect]:
        """Write the outcome of a claim: ``DONE`` or ``ABANDONED``."""
        outcome = replace(write, state=state, attempt_id=attempt_id)
        self._outcomes[write.claim_id] = outcome
        if len(self._outcomes) > N_MAX_OUTCOMES:
            # The row stays claimed, so a repeat of the key is not run.
            del self._outcomes[next(iter(self._outcomes))]
        return self._set_flush(now_ms)

    def flush(self) -> list[Effect]:
        """Send what has been collected."""
        self._is_flush_set = False
        return self._send_claims() + self._send_outcomes()

    def answered(
        self, event: ClaimsAnswered
    ) -> tuple[list[tuple[ClaimWrite, ClaimResult]], list[Effect]]:
        """Return the results that concern claims still wanted."""
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
                # An answer that leaves out a claim tells nothing about it.
                self._unsent[write.request_id] = write
                self._sent[write.request_id] = write
            else:
                results.append((write, result))
        return results, self.flush()

    def unanswered(self, batch_id: str, now_ms: int) -> list[Effect]:
        """Send a batch again after a pause."""
        batch = self._batch_by_id.get(batch_id)
        if batch is None:
            return []
        self.is_answering = False
        backoff_ms = min(MIN_BACKOFF_MS << batch.n_unanswered, MAX_BACKOFF_MS)
        batch.n_unanswered = min(batch.n_unanswered + 1, 10)
        return [SetTimer(f"{RETRY_TIMER}{batch_id}", now_ms + backoff_ms)]

    def send_again(self, batch_id: str) -> list[Effect]:
        """Send a batch again, without the claims that were given up meanwhile."""
        batch = self._batch_by_id.get(batch_id)
        if batch is None or not batch.n_unanswered:
            return []
        if not batch.is_outcome:
            kept = [w for w in batch.writes if w.request_id in self._sent]
            batch.writes = tuple(kept)
        if not batch.writes:
            del self._batch_by_id[batch_id]
            return self.flush()
        return [WriteClaims(batch_id, batch.writes)]

    def _send_claims(self) -> list[Effect]:
        effects: list[Effect] = []
        n_allowed = N_MAX_IN_FLIGHT if self.is_answering else 1
        while self._n_in_flight(is_outcome=False) < n_allowed:
            writes = self._take_claims()
            if not writes:
                break
            for write in writes:
                self._sent[write.request_id] = write
            effects.append(self._send(writes, is_outcome=False))
        return effects

    def _take_claims(self) -> list[ClaimWrite]:
        """Take claims with different keys, none of which is in flight.

        Two claims of one key in one transaction would both find the row absent.
        """
        busy = self._rows_in_flight(only_outcomes=False)
        taken = _pick(self._unsent.values(), busy)
        for write in taken:
            del self._unsent[write.request_id]
        return taken

    def _send_outcomes(self) -> list[Effect]:
        effects: list[Effect] = []
        # No caller waits for an outcome, so the batches may be large.
        if self._n_in_flight(is_outcome=True) == 0:
            writes = self._take_outcomes()
            if writes:
                effects.append(self._send(writes, is_outcome=True))
        return effects

    def _take_outcomes(self) -> list[ClaimWrite]:
        busy = self._rows_in_flight(only_outcomes=True)
        taken = _pick(self._outcomes.values(), busy)
        for write in taken:
            del self._outcomes[write.claim_id]
        return taken

    def _rows_in_flight(self, only_outcomes: bool) -> set[tuple[str, str]]:
        return {
            (write.customer_id, write.idempotency_key)
            for batch in self._batch_by_id.values()
            if batch.is_outcome or not only_outcomes
            for write in batch.writes
        }

    def _send(self, writes: list[ClaimWrite], is_outcome: bool) -> WriteClaims:
        batch_id = self._new_id("b")
        self._batch_by_id[batch_id] = _Batch(tuple(writes), is_outcome)
        return WriteClaims(batch_id, tuple(writes))

    def _n_in_flight(self, is_outcome: bool) -> int:
        batches = self._batch_by_id.values()
        return sum(1 for batch in batches if batch.is_outcome is is_outcome)

    def _set_flush(self, now_ms: int) -> list[Effect]:
        if self._is_flush_set:
            return []
        self._is_flush_set = True
        return [SetTimer(FLUSH_TIMER, now_ms + COLLECT_MS)]

    def _new_id(self, kind: str) -> str:
        self._n_ids += 1
        return f"{self.id_prefix}.{kind}{self._n_ids}"


def _pick(writes: Iterable[ClaimWrite], busy: set[tuple[str, str]]) -> list[ClaimWrite]:
    """Return a batch of writes of different rows, none of which is busy."""
    picked: list[ClaimWrite] = []
    for write in writes:
        row = (write.customer_id, write.idempotency_key)
        if row in busy:
            continue
        busy.add(row)
        picked.append(write)
        if len(picked) == N_MAX_BATCH:
            break
    return picked
