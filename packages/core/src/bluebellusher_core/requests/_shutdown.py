"""End of the requests of an entry that shuts down.

Requests that were sent early in the shutdown have most of the grace period to
complete. Those that arrive later, and those that still wait then, are rejected unless
their deadline is before the end of the grace period: the process would end while an
endpoint runs them.
"""

from bluebellusher_core.effects import Effect, SetTimer
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import RequestSpec
from bluebellusher_core.requests import _final, _placing
from bluebellusher_core.requests._model import Phase
from bluebellusher_core.state import EntryState

TIMER_ID = "shutdown"
# Time after which the caller of a rejected request may retry, in ms. Another entry can
# accept the request at once.
RETRY_AFTER_MS = 0


def handle_arrivals_ended(
    state: EntryState, answer_by_ms: int, now_ms: int
) -> list[Effect]:
    """Reject the waiting requests that may not be answered by ``answer_by_ms``."""
    state.answer_by_ms = answer_by_ms
    effects: list[Effect] = [SetTimer(TIMER_ID, answer_by_ms)]
    for request in list(state.request_by_id.values()):
        is_waiting = request.phase is Phase.WAITING and not request.may_have_run
        if is_waiting and may_outlast(state, request.spec):
            effects += _reject(state, request.spec.request_id, now_ms)
    return effects


def handle_timeout(state: EntryState, now_ms: int) -> list[Effect]:
    """Reject all requests that have no answer at the end of the grace period."""
    effects: list[Effect] = []
    for request in list(state.request_by_id.values()):
        if request.phase is not Phase.DETACHED:
            effects += _reject(state, request.spec.request_id, now_ms)
    return effects


def may_outlast(state: EntryState, spec: RequestSpec) -> bool:
    """Return whether a request may run longer than the entry that shuts down."""
    return state.answer_by_ms is not None and spec.deadline_ms > state.answer_by_ms


def make_rejection() -> Rejection:
    """Return the rejection of a request that arrived too late to be answered."""
    return Rejection(
        Outcome.NOT_RUN, Reason.SHUTTING_DOWN, "shutdown", "", RETRY_AFTER_MS
    )


def _reject(state: EntryState, request_id: str, now_ms: int) -> list[Effect]:
    """Reject a request of an entry that shuts down."""
    request = state.request_by_id[request_id]
    _placing.remove_waiting(state, request)
    return _final.reject_request(
        state,
        request,
        Reason.SHUTTING_DOWN,
        "shutdown",
        now_ms,
        retry_after_ms=RETRY_AFTER_MS,
    )
