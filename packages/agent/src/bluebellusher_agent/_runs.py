"""Table of the runs of an agent and decisions about new dispatches."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from bluebellusher_agent._run import Run
from bluebellusher_core.errors import Reason

# Time in ms for which the ids of ended attempts are recorded. Entries never reuse an
# attempt id on purpose. A repeated dispatch can only arrive from a connection that was
# replaced, and a connection is closed when it is unresponsive for 2 s.
ATTEMPT_RECORD_MS = 60_000
MAX_RECORDED_ATTEMPTS = 50_000
ISOLATION_RETRY_MS = 200
DRAIN_RETRY_MS = 1_000
CAPACITY_RETRY_MS = 500


class Verdict(Enum):
    """Action for a dispatch.

    ``START`` starts a run, ``RESUME`` sends the answer of an existing run from the
    requested offset on to the connection of the dispatch, and ``REPLACE`` cancels an
    existing run and starts a new one. ``REFUSE`` and ``BREAK`` send ``Refuse`` and
    ``Broken``. ``IGNORE`` does nothing. ``CLOSE`` closes the connection, because the
    dispatch contradicts an existing run.
    """

    START = "start"
    RESUME = "resume"
    REPLACE = "replace"
    REFUSE = "refuse"
    BREAK = "break"
    IGNORE = "ignore"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Decision:
    """Action for a dispatch, with the run that it affects or the reason to send."""

    verdict: Verdict
    run: Run | None = None
    reason: Reason = Reason.BAD_REQUEST
    retry_after_ms: int = 0


class RunTable:
    """Table of the attempts that run or whose answers are retained.

    An entry that lost its connection resumes an answer by a new ``Dispatch`` with the
    same request id and fingerprint, a new attempt id, and the number of bytes that it
    has received as the offset. The run continues under the new attempt id. Only the
    entry that started a run can resume it.

    Parameters
    ----------
    max_runs : int
        Maximum number of concurrent attempts.
    """

    def __init__(self, max_runs: int) -> None:
        self._max_runs = max_runs
        self._run_by_attempt: dict[str, Run] = {}
        self._run_by_request: dict[tuple[str, str], Run] = {}
        self._expiry_ms_by_used_id: OrderedDict[str, int] = OrderedDict()
        self.is_draining = False

    def __iter__(self) -> Iterator[Run]:
        return iter(list(self._run_by_attempt.values()))

    def __len__(self) -> int:
        return len(self._run_by_attempt)

    def get(self, attempt_id: str) -> Run | None:
        """Return the run whose current attempt id is ``attempt_id``, else None."""
        return self._run_by_attempt.get(attempt_id)

    def running(self) -> list[Run]:
        """Return the runs whose answers are not complete."""
        return [run for run in self if not (run.is_complete or run.is_ended)]

    @property
    def isolated(self) -> Run | None:
        """Return the isolated run in progress, else None."""
        return next((run for run in self.running() if run.is_isolated), None)

    def decide(self, dispatch: Any, connection: Any, now_ms: int) -> Decision:
        """Return the decision about a validated dispatch."""
        run_of_attempt = self._run_by_attempt.get(dispatch.attempt_id)
        if run_of_attempt is not None:
            return self._decide_repeat(run_of_attempt, dispatch, connection)
        self._discard_expired(now_ms)
        if dispatch.attempt_id in self._expiry_ms_by_used_id:
            return Decision(Verdict.BREAK, reason=Reason.OUTCOME_UNKNOWN)
        key = (connection.peer_id, dispatch.request_id)
        run_of_request = self._run_by_request.get(key)
        if run_of_request is not None:
            return self._decide_resume(run_of_request, dispatch, connection)
        if _format_request_key(key) in self._expiry_ms_by_used_id:
            return Decision(Verdict.BREAK, reason=Reason.OUTCOME_UNKNOWN)
        if dispatch.resume_offset:
            # The answer is no longer retained, or this agent was restarted since.
            return Decision(Verdict.BREAK, reason=Reason.OUTCOME_UNKNOWN)
        return self._decide_start(dispatch)

    def _decide_repeat(self, run: Run, dispatch: Any, connection: Any) -> Decision:
        """Decide about a dispatch with the current attempt id of a run."""
        if run.is_cancelled:
            return Decision(Verdict.BREAK, run, Reason.OUTCOME_UNKNOWN)
        is_same_request = (run.entry_id, run.request_id, run.fingerprint) == (
            connection.peer_id,
            dispatch.request_id,
            dispatch.fingerprint or "",
        )
        if not is_same_request:
            return Decision(Verdict.CLOSE, run)
        if run.connection is connection:
            return Decision(Verdict.IGNORE, run)
        return self._decide_offset(run, dispatch)

    def _decide_resume(self, run: Run, dispatch: Any, connection: Any) -> Decision:
        """Decide about a dispatch with a new attempt id for the request of a run."""
        if run.fingerprint != (dispatch.fingerprint or ""):
            return Decision(Verdict.CLOSE, run)
        can_run_again = dispatch.is_idempotent and not dispatch.resume_offset
        is_same_connection = run.connection is connection
        if can_run_again and (is_same_connection or not run.buffer.contains(0)):
            # The request runs again from the start: the entry has discarded the answer
            # that it received on this connection, for example because it was corrupt,
            # or the start of the answer is no longer retained.
            decision = self._decide_start(dispatch)
            can_start = decision.verdict is Verdict.START
            return Decision(Verdict.REPLACE, run) if can_start else decision
        return self._decide_offset(run, dispatch)

    def _decide_offset(self, run: Run, dispatch: Any) -> Decision:
        """Decide to resume a run if its answer is retained from the offset on."""
        if run.buffer.contains(dispatch.resume_offset):
            return Decision(Verdict.RESUME, run)
        return Decision(Verdict.BREAK, run, Reason.OUTCOME_UNKNOWN)

    def _decide_start(self, dispatch: Any) -> Decision:
        """Decide to start a new run, or to refuse it if the agent cannot run it now."""
        if self.is_draining:
            return _refuse(Reason.ENDPOINT_DRAINING, DRAIN_RETRY_MS)
        if dispatch.remaining_ms <= 0:
            return _refuse(Reason.DEADLINE_EXCEEDED, 0)
        running = self.running()
        if any(run.is_isolated for run in running):
            return _refuse(Reason.ENDPOINT_ISOLATING, ISOLATION_RETRY_MS)
        # A suspect must run alone: a crash could otherwise be caused by a request that
        # was running before it.
        if dispatch.is_isolated and running:
            return _refuse(Reason.ENDPOINT_ISOLATING, ISOLATION_RETRY_MS)
        n_recorded = len(self._expiry_ms_by_used_id)
        has_capacity = len(running) < self._max_runs
        if not has_capacity or n_recorded >= MAX_RECORDED_ATTEMPTS:
            return _refuse(Reason.NO_ENDPOINT, CAPACITY_RETRY_MS)
        return Decision(Verdict.START)

    def add(self, run: Run) -> None:
        """Add a run that is about to start."""
        self._run_by_attempt[run.attempt_id] = run
        self._run_by_request[run.entry_id, run.request_id] = run

    def rename(self, run: Run, attempt_id: str, now_ms: int) -> None:
        """Assign a new attempt id to a resumed run and record the old id as used."""
        del self._run_by_attempt[run.attempt_id]
        self._record_used(run.attempt_id, now_ms)
        run.attempt_id = attempt_id
        self._run_by_attempt[attempt_id] = run

    def remove(self, run: Run, now_ms: int) -> None:
        """Remove a run and, if it was sent to the target, record its attempt id."""
        if self._run_by_attempt.get(run.attempt_id) is run:
            del self._run_by_attempt[run.attempt_id]
        self.remove_request(run, now_ms)
        if run.is_sent:
            self._record_used(run.attempt_id, now_ms)

    def remove_request(self, run: Run, now_ms: int) -> None:
        """Prevent later dispatches of the request from resuming this run.

        The request id of a run that is not idempotent is recorded as used if a byte
        was sent to the target, so that a later dispatch does not repeat the run.
        """
        key = (run.entry_id, run.request_id)
        if self._run_by_request.get(key) is run:
            del self._run_by_request[key]
        if run.is_sent and not run.is_idempotent:
            self._record_used(_format_request_key(key), now_ms)

    def _record_used(self, name: str, now_ms: int) -> None:
        """Record an attempt id or request key as used for ``ATTEMPT_RECORD_MS``."""
        self._expiry_ms_by_used_id[name] = now_ms + ATTEMPT_RECORD_MS

    def _discard_expired(self, now_ms: int) -> None:
        """Discard the used ids and keys whose recording time has expired."""
        expiry_ms_by_used_id = self._expiry_ms_by_used_id
        while expiry_ms_by_used_id:
            attempt_id = next(iter(expiry_ms_by_used_id))
            if expiry_ms_by_used_id[attempt_id] > now_ms:
                return
            del expiry_ms_by_used_id[attempt_id]


def _format_request_key(key: tuple[str, str]) -> str:
    """Return the name under which a request key is recorded as used."""
    # Attempt ids contain no space, so that a request key never equals an attempt id.
    return f"{key[0]} {key[1]}"


def _refuse(reason: Reason, retry_after_ms: int) -> Decision:
    return Decision(Verdict.REFUSE, reason=reason, retry_after_ms=retry_after_ms)
