"""Isolated runs of suspects, and requests that are known to crash endpoints."""

from bluebellusher_core.effects import Effect, LogEvent
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import DigestReceived
from bluebellusher_core.membership import Pool, pool_of
from bluebellusher_core.poison import BLOCK_MS
from bluebellusher_core.requests import _final, _placing
from bluebellusher_core.requests._model import Attempt, Phase, Request
from bluebellusher_core.state import EntryState

# An isolated run keeps its endpoint from other new work, so only a part of the
# endpoints of a pool is used for isolated runs at the same time.
ISOLATING_SHARE = 4
N_MAX_RESERVED_TRIES = 8
MIN_TRY_AGAIN_MS = 20
MAX_TRY_AGAIN_MS = 500
N_MAX_DIGEST = 1_000


def place_suspects(state: EntryState, now_ms: int) -> list[Effect]:
    """Start isolated runs, one for each endpoint and for each fingerprint."""
    effects: list[Effect] = []
    for request_id, at_ms in list(state.isolate_at_ms.items()):
        if at_ms <= now_ms:
            request = state.request_by_id[request_id]
            effects += _place(state, request, now_ms)
    return effects


def _place(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    spec = request.spec
    if spec.deadline_ms <= now_ms:
        reason = Reason.DEADLINE_EXCEEDED
        return _final.give_up(state, request, reason, "isolation", now_ms)
    if not state.poison.is_suspect(spec.fingerprint, now_ms):
        del state.isolate_at_ms[spec.request_id]
        _final.release(state, request)
        return _placing.requeue(state, request, now_ms)
    if state.poison.n_running(spec.fingerprint):
        return []
    if state.poison.held_until_ms(spec.fingerprint, now_ms):
        return []
    endpoint_id = _choose(state, request, now_ms)
    if endpoint_id is None:
        return []
    del state.isolate_at_ms[spec.request_id]
    return _placing.dispatch(state, request, endpoint_id, now_ms, is_isolated=True)


def _choose(state: EntryState, request: Request, now_ms: int) -> str | None:
    pool = pool_of(request.spec)
    views = state.endpoints.views_of(pool)
    if request.reserved_endpoint_id:
        if any(v.info.endpoint_id == request.reserved_endpoint_id for v in views):
            return request.reserved_endpoint_id
        _final.release(state, request)
    if not has_free_share(state, pool):
        return None
    free = state.endpoints.views_with_capacity(pool, now_ms)
    return _placing.choose(state, request, free, now_ms) if free else None


def has_free_share(state: EntryState, pool: Pool) -> bool:
    """Return whether another endpoint of the pool may be used for isolation."""
    views = state.endpoints.views_of(pool)
    n_isolating = sum(1 for view in views if view.is_isolating)
    return n_isolating < max(1, len(views) // ISOLATING_SHARE)


def refused(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    retry_after_ms: int,
    now_ms: int,
) -> list[Effect]:
    """Try again soon where older attempts have not produced output yet.

    The endpoint stays reserved, because it would otherwise never become quiet.
    """
    request.phase = Phase.WAITING
    request.n_reserved_tries += 1
    pause_ms = max(retry_after_ms, MIN_TRY_AGAIN_MS) << (request.n_reserved_tries - 1)
    pause_ms = min(pause_ms, MAX_TRY_AGAIN_MS)
    state.isolate_at_ms[request.spec.request_id] = now_ms + pause_ms
    view = state.endpoints.view_by_id.get(attempt.endpoint_id)
    if request.n_reserved_tries >= N_MAX_RESERVED_TRIES:
        request.avoided.add(attempt.endpoint_id)
        request.reserved_endpoint_id = ""
        request.n_reserved_tries = 0
    elif view is not None and not view.is_draining:
        _final.reserve(state, request, attempt.endpoint_id)
    return []


def block(
    state: EntryState,
    fingerprint: str,
    peer: str,
    is_own: bool,
    now_ms: int,
    block_ms: int = BLOCK_MS,
) -> list[Effect]:
    """Refuse a fingerprint for a while, and give its callers the final answer."""
    is_new = not state.poison.is_blocked(fingerprint, now_ms)
    state.poison.block(fingerprint, now_ms, is_own, block_ms)
    if not is_new:
        return []
    effects: list[Effect] = []
    fields = (("fingerprint", fingerprint), ("peer", peer))
    effects.append(LogEvent("fingerprint-blocked", fields))
    for request in list(state.request_by_id.values()):
        is_ours = request.spec.fingerprint == fingerprint
        if is_ours and request.phase is not Phase.DETACHED:
            _placing.withdraw(state, request)
            reason = Reason.CRASHES_ENDPOINTS
            effects += _final.give_up(state, request, reason, "isolation", now_ms, peer)
    return effects


def digest_received(
    state: EntryState, event: DigestReceived, now_ms: int
) -> list[Effect]:
    """Take over what a peer has observed."""
    state.check_at_ms = 0
    effects: list[Effect] = []
    for fingerprint in event.blocked_fingerprints[:N_MAX_DIGEST]:
        effects += block(state, fingerprint, event.peer_id, False, now_ms)
    if state.config.n_crashes_to_block:
        return effects
    for fingerprint in event.suspect_fingerprints[:N_MAX_DIGEST]:
        state.poison.suspect(fingerprint, now_ms, is_own=False)
    return effects


def next_due_ms(state: EntryState, now_ms: int) -> list[int]:
    """Return the times at which a waiting suspect may move."""
    due = [at_ms for at_ms in state.isolate_at_ms.values() if at_ms > now_ms]
    for request_id in state.isolate_at_ms:
        fingerprint = state.request_by_id[request_id].spec.fingerprint
        held_until_ms = state.poison.held_until_ms(fingerprint, now_ms)
        if held_until_ms:
            due.append(held_until_ms)
    return due
