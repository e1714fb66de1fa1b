"""Isolated runs of suspect requests, and blocked fingerprints."""

from bluebellusher_core.effects import Effect, LogEvent
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import DigestReceived
from bluebellusher_core.membership import Pool, pool_of
from bluebellusher_core.poison import BLOCK_MS
from bluebellusher_core.requests import _final, _placing
from bluebellusher_core.requests._model import Attempt, Phase, Request
from bluebellusher_core.state import EntryState

# An endpoint starts no other work during an isolated run. Therefore at most one in
# ISOLATING_SHARE endpoints of a pool, but at least one, is used for isolated runs at
# the same time.
ISOLATING_SHARE = 4
N_MAX_RESERVED_TRIES = 8
MIN_TRY_AGAIN_MS = 20
MAX_TRY_AGAIN_MS = 500
N_MAX_DIGEST = 1_000


def place_suspects(state: EntryState, now_ms: int) -> list[Effect]:
    """Start the isolated runs that are due, at most one for each fingerprint."""
    effects: list[Effect] = []
    for request_id, at_ms in list(state.isolate_at_ms.items()):
        if at_ms <= now_ms:
            request = state.request_by_id[request_id]
            effects += _place(state, request, now_ms)
    return effects


def _place(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Start the isolated run of one request if an endpoint is available for it.

    A request whose deadline has passed is rejected. One whose fingerprint is no longer
    a suspect is requeued.
    """
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
    """Return the reserved or else a free endpoint for an isolated run, or None."""
    pool = pool_of(request.spec)
    views = state.endpoints.views_of(pool)
    if request.reserved_endpoint_id:
        if any(v.info.endpoint_id == request.reserved_endpoint_id for v in views):
            return request.reserved_endpoint_id
        _final.release(state, request)
    if not has_free_share(state, pool):
        return None
    free = state.endpoints.views_with_room(pool, now_ms)
    return _placing.choose(state, request, free, now_ms) if free else None


def has_free_share(state: EntryState, pool: Pool) -> bool:
    """Return whether one more endpoint of a pool may be used for isolated runs."""
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
    """Schedule the next try of an isolated run that its endpoint refused.

    An endpoint refuses while older attempts have produced no output yet. It stays
    reserved, because new attempts would otherwise keep the isolated run from ever
    starting. The wait doubles with each refusal, from ``MIN_TRY_AGAIN_MS`` or the
    endpoint's own ``retry_after_ms`` to ``MAX_TRY_AGAIN_MS``. After
    ``N_MAX_RESERVED_TRIES`` refusals the request avoids the endpoint.
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
    """Block a fingerprint for ``block_ms`` and reject its requests in progress.

    Parameters
    ----------
    state : EntryState
        State of the entry; it is changed in place.
    fingerprint : str
        The fingerprint to block.
    peer : str
        The endpoint, entry or store that the evidence concerns or came from.
    is_own : bool
        Whether this entry observed the crash itself, so that peers are sent the block.
    now_ms : int
        Monotonic time.
    block_ms : int
        Duration of the block, in ms; a block that is already set is not extended.
    """
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
    """Apply the blocked and suspect fingerprints that a peer sent.

    Suspects are ignored where this entry counts crashes itself.
    """
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
    """Return the times at which the isolated runs of waiting suspects may start."""
    due = [at_ms for at_ms in state.isolate_at_ms.values() if at_ms > now_ms]
    for request_id in state.isolate_at_ms:
        fingerprint = state.request_by_id[request_id].spec.fingerprint
        held_until_ms = state.poison.held_until_ms(fingerprint, now_ms)
        if held_until_ms:
            due.append(held_until_ms)
    return due
