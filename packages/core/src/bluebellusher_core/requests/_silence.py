"""End of attempts at endpoints that send nothing.

A silent endpoint may answer later, so that an attempt there ends only if another
endpoint can take its request over.
"""

from bluebellusher_core.effects import (
    AbandonAttempt,
    BroadcastSilent,
    Effect,
    LogEvent,
)
from bluebellusher_core.events import (
    AttemptStalled,
    EndpointProgressed,
    SilentReceived,
)
from bluebellusher_core.membership import pool_of
from bluebellusher_core.requests._model import Attempt, Phase
from bluebellusher_core.state import EntryState

LogField = tuple[str, str | int | float]
# Upper bound of the silent ranks that are read from one message of a peer.
N_MAX_RECEIVED = 1_000


def handle_progressed(
    state: EntryState, event: EndpointProgressed, now_ms: int
) -> list[Effect]:
    """Record output of an endpoint, and end the attempts at silent ranks of its group.

    Only attempts whose requests may run again elsewhere are ended. The others may still
    be answered when the machine responds again.
    """
    endpoints = state.endpoints
    view = endpoints.view_by_id.get(event.endpoint_id)
    if view is None or view.report is None:
        return []
    endpoints.silence.record_progress(view, event.gap_ms, now_ms)
    if endpoints.running_limits.is_active:
        endpoints.running_limits.record_gap(
            view, event.gap_ms, endpoints.view_by_id.values(), now_ms
        )
    silent = endpoints.silence.find_silent(
        view.report.group_id, endpoints.view_by_id.values(), now_ms
    )
    effects: list[Effect] = []
    for rank in silent:
        fields = (
            ("silent_ms", int(rank.silent_ms)),
            ("limit_ms", int(rank.limit_ms)),
        )
        effects += _end_attempts(state, rank.endpoint_id, fields, now_ms)
    told_ids = tuple(rank.endpoint_id for rank in silent if rank.has_streams)
    if told_ids:
        effects.append(BroadcastSilent(told_ids))
    return effects


def handle_received(
    state: EntryState, event: SilentReceived, now_ms: int
) -> list[Effect]:
    """End the attempts at ranks from which a peer and this entry receive nothing.

    A rank that has just sent something to this entry stays in use.
    """
    endpoints = state.endpoints
    effects: list[Effect] = []
    for endpoint_id in event.endpoint_ids[:N_MAX_RECEIVED]:
        view = endpoints.view_by_id.get(endpoint_id)
        if view is None or endpoints.silence.is_heard(view):
            continue
        if not endpoints.silence.is_excluded(endpoint_id, now_ms):
            endpoints.silence.exclude(endpoint_id, now_ms)
            fields = (("source", event.source),)
            effects += _end_attempts(state, endpoint_id, fields, now_ms)
    return effects


def handle_stalled(
    state: EntryState, event: AttemptStalled, now_ms: int
) -> list[Effect]:
    """End an attempt whose stream stalls if another endpoint can go on with it.

    Otherwise the end would only lose the stream, which may go on before its caller
    leaves.
    """
    attempt = state.attempt_by_id.get(event.attempt_id)
    if attempt is None or attempt.endpoint_id != event.endpoint_id:
        return []
    can_move = (
        _may_move(state, attempt, now_ms)
        and _count_payable_retries(state) > 0
        and _has_other_endpoint(state, attempt, now_ms)
    )
    fields = (
        ("request", attempt.request_id),
        ("attempt", attempt.attempt_id),
        ("endpoint", attempt.endpoint_id),
        ("gap_ms", event.gap_ms),
        ("is_abandoned", int(can_move)),
    )
    effects: list[Effect] = [LogEvent("stream-stalled", fields)]
    if can_move:
        attempt.is_abandoned = True
        effects.append(AbandonAttempt(attempt.attempt_id, attempt.endpoint_id))
    return effects


def _has_other_endpoint(state: EntryState, attempt: Attempt, now_ms: int) -> bool:
    """Return whether another endpoint can take over the request of an attempt now."""
    request = state.request_by_id[attempt.request_id]
    excluded_ids = request.avoided_endpoint_ids | {attempt.endpoint_id}
    views = state.endpoints.views_with_capacity(pool_of(request.spec), now_ms)
    return any(view.info.endpoint_id not in excluded_ids for view in views)


def _end_attempts(
    state: EntryState, endpoint_id: str, evidence: tuple[LogField, ...], now_ms: int
) -> list[Effect]:
    """Log a silent rank and abandon the attempts there that may run elsewhere.

    At most as many attempts end as the retry budget pays for. A request that is not
    paid for would be rejected, although its endpoint may still answer it.
    """
    movable = [
        attempt
        for attempt in state.attempt_by_id.values()
        if attempt.endpoint_id == endpoint_id and _may_move(state, attempt, now_ms)
    ]
    abandoned = movable[: _count_payable_retries(state)]
    for attempt in abandoned:
        attempt.is_abandoned = True
    fields = (
        ("endpoint", endpoint_id),
        *evidence,
        ("n_movable", len(movable)),
        ("n_abandoned", len(abandoned)),
    )
    effects: list[Effect] = [LogEvent("endpoint-silent", fields)]
    effects += [AbandonAttempt(a.attempt_id, a.endpoint_id) for a in abandoned]
    return effects


def _count_payable_retries(state: EntryState) -> int:
    """Return how many more attempts may end.

    The retry of an abandoned attempt is paid when its relay reports the end.
    """
    n_unpaid = sum(attempt.is_abandoned for attempt in state.attempt_by_id.values())
    return max(0, state.retry_budget.n_available - n_unpaid)


def _may_move(state: EntryState, attempt: Attempt, now_ms: int) -> bool:
    """Return whether the request of an attempt may run again at another endpoint."""
    if attempt.is_abandoned:
        return False
    request = state.request_by_id[attempt.request_id]
    spec = request.spec
    if not spec.is_idempotent or request.is_trial or request.phase is Phase.DETACHED:
        return False
    if attempt.is_started and not spec.can_resume_elsewhere:
        return False
    n_max_attempts = spec.n_max_attempts or state.config.n_max_attempts
    return request.n_broken + 1 < n_max_attempts and spec.deadline_ms > now_ms
