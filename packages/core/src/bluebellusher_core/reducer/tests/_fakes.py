"""Fake endpoints, connections and claim table of the simulation."""

from collections import deque
from dataclasses import dataclass, field

from bluebellusher_core.effects import ClaimState
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import ClaimOutcome, ClaimResult, RequestSpec

# Characters that a run sends in one chunk.
CHUNK_LENGTH = 4


def expected_answer(fingerprint):
    """Return the answer that every complete run of a request must produce."""
    return (fingerprint * 12)[: 3 * CHUNK_LENGTH]


@dataclass
class Run:
    """Execution of one attempt on an endpoint."""

    attempt_id: str
    entry_id: str
    spec: RequestSpec
    is_isolated: bool
    n_sent: int = 0
    is_finished: bool = False


@dataclass
class Endpoint:
    """Agent and engine of one endpoint."""

    endpoint_id: str
    incarnation: int = 1
    is_up: bool = True
    is_draining: bool = False
    is_frozen: bool = False
    run_by_attempt: dict = field(default_factory=dict)

    def unfinished_runs(self):
        """Return the runs that have not ended."""
        return [run for run in self.run_by_attempt.values() if not run.is_finished]

    def receive_dispatch(self, entry_id, effect, spec):
        """Start, resume or refuse an attempt; return the reply to the entry, if any."""
        if effect.resume_offset:
            return self._resume_run(entry_id, effect, spec)
        reason = self._refusal_reason(effect)
        if reason is not None:
            return ("refused", effect.attempt_id, reason)
        run = Run(effect.attempt_id, entry_id, spec, effect.is_isolated)
        self.run_by_attempt[effect.attempt_id] = run
        return ("accepted", effect.attempt_id) if effect.is_isolated else None

    def _refusal_reason(self, effect):
        """Return the reason to refuse a new attempt, or None.

        An isolated run shares the endpoint with no other run.
        """
        runs = self.unfinished_runs()
        if self.is_draining:
            return Reason.ENDPOINT_DRAINING
        if any(run.is_isolated for run in runs):
            return Reason.ENDPOINT_ISOLATING
        if effect.is_isolated and runs:
            return Reason.ENDPOINT_ISOLATING
        return None

    def _resume_run(self, entry_id, effect, spec):
        """Continue an earlier run of the same request; refuse when there is none."""
        for run in list(self.run_by_attempt.values()):
            if (run.entry_id, run.spec.request_id) == (entry_id, spec.request_id):
                del self.run_by_attempt[run.attempt_id]
                run.attempt_id = effect.attempt_id
                run.n_sent, run.is_finished = effect.resume_offset, False
                self.run_by_attempt[run.attempt_id] = run
                return ("started", effect.attempt_id)
        return ("refused", effect.attempt_id, Reason.ENDPOINT_LOST)

    def produce_messages(self, run):
        """Advance a run by one chunk and return the messages that it sends.

        A run that has sent its whole answer finishes.
        """
        answer = expected_answer(run.spec.fingerprint)
        if run.n_sent == len(answer):
            run.is_finished = True
            return [("finished", run.attempt_id, len(answer))]
        messages = [("started", run.attempt_id)] if run.n_sent == 0 else []
        data = answer[run.n_sent : run.n_sent + CHUNK_LENGTH]
        messages.append(("chunk", run.attempt_id, run.n_sent, data))
        run.n_sent += len(data)
        return messages


@dataclass
class Link:
    """Connection between an entry and an endpoint, with the messages in flight.

    ``is_loss_reported`` states whether the loss of the last connection was reported to
    the entry.
    """

    is_open: bool = False
    is_loss_reported: bool = True
    to_endpoint: deque = field(default_factory=deque)
    to_entry: deque = field(default_factory=deque)


class FakeClaimTable:
    """Rows of claims with the conditional writes of the store and the runtime."""

    def __init__(self):
        self.row_by_key = {}

    def has_row(self, write):
        """Return whether the key of a write has a row."""
        return (write.customer_id, write.idempotency_key) in self.row_by_key

    def apply(self, write):
        """Apply a conditional write and return the result that the runtime reports."""
        key = (write.customer_id, write.idempotency_key)
        row = self.row_by_key.get(key)
        is_same_claim = row is not None and row.claim_id == write.claim_id
        if write.state is not ClaimState.CLAIMED:
            if row is None or is_same_claim:
                self.row_by_key[key] = write
            return ClaimResult(write.request_id, ClaimOutcome.GRANTED)
        is_free = row is None or row.state is ClaimState.ABANDONED
        if is_free and not is_same_claim:
            self.row_by_key[key] = row = write
        return ClaimResult(write.request_id, *_read_outcome(row, write))


def _read_outcome(row, write):
    """Return the outcome of a claim and, if it is done, the reference of the answer."""
    if row.claim_id == write.claim_id and row.state is ClaimState.CLAIMED:
        return (ClaimOutcome.GRANTED,)
    if row.fingerprint != write.fingerprint:
        return (ClaimOutcome.KEY_REUSED,)
    if row.state is ClaimState.DONE:
        return ClaimOutcome.DONE, row.fingerprint
    return (ClaimOutcome.IN_PROGRESS,)
