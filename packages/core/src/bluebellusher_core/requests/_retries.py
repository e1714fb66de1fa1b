"""Recognition of requests that their callers retry.

Load pattern: a group of ranks closes or a burst arrives, and many callers are rejected
and retry. A caller retries once or twice only, so that a rejected retry is lost, while
a fresh request can be rejected and served later. The two must not be confused; a
request counts as a retry only if an entry has recorded the end of an earlier attempt.
"""

from dataclasses import replace

from bluebellusher_core.effects import BroadcastEnded, Effect, LogEvent, SetTimer
from bluebellusher_core.events import EndedReceived, RequestSpec
from bluebellusher_core.state import EntryState

# Time in which ended requests are collected for one message to the peers, in ms. It is
# shorter than any ``retry_after_ms`` except the shortest ones.
COLLECT_MS = 100
# Upper bound of the ended requests that are read from one message.
N_MAX_RECEIVED = 10_000
TIMER_ID = "ended"


def recognize(
    state: EntryState, spec: RequestSpec, now_ms: int
) -> tuple[RequestSpec, list[Effect]]:
    """Return the request, marked as returning if it is a retry, and its log line.

    The latency objective counts from the caller's first attempt.
    """
    arrived_at_ms = None
    if spec.caller_deadline_ms is not None and spec.fingerprint:
        arrived_at_ms = state.ended_requests.find_arrival_ms(
            spec.fingerprint, spec.caller_deadline_ms
        )
    if arrived_at_ms is None:
        return replace(spec, arrived_at_ms=now_ms), []
    age_ms = now_ms - arrived_at_ms
    objective_at_ms = spec.objective_at_ms
    if objective_at_ms is not None:
        objective_at_ms -= age_ms
    returning = replace(
        spec,
        arrived_at_ms=arrived_at_ms,
        objective_at_ms=objective_at_ms,
        is_returning=True,
    )
    fields = (("request", spec.request_id), ("age_ms", age_ms))
    return returning, [LogEvent("retry-recognized", fields)]


def record_ended(state: EntryState, spec: RequestSpec, now_ms: int) -> list[Effect]:
    """Remember a request that ended without a complete answer, and tell the peers."""
    if spec.caller_deadline_ms is None or not spec.fingerprint:
        return []
    is_timer_set = state.ended_requests.has_unsent
    state.ended_requests.record(
        spec.fingerprint,
        spec.caller_deadline_ms,
        spec.arrived_at_ms,
        now_ms,
        is_own=True,
    )
    return [] if is_timer_set else [SetTimer(TIMER_ID, now_ms + COLLECT_MS)]


def broadcast_ended(state: EntryState, now_ms: int) -> list[Effect]:
    """Tell the peers of the requests that ended since the last message."""
    requests = state.ended_requests.take_unsent(now_ms)
    return [BroadcastEnded(requests)] if requests else []


def handle_received(
    state: EntryState, event: EndedReceived, now_ms: int
) -> list[Effect]:
    """Remember the requests that ended at a peer."""
    for ended in event.requests[:N_MAX_RECEIVED]:
        if ended.remaining_ms <= 0:
            continue
        state.ended_requests.record(
            ended.fingerprint,
            now_ms + ended.remaining_ms,
            now_ms - ended.age_ms,
            now_ms,
        )
    return []
