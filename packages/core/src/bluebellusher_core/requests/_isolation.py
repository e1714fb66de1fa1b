"""Isolated runs of suspect requests, and blocked fingerprints."""

from bluebellusher_core.effects import Effect, LogEvent
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import DigestReceived
from bluebellusher_core.membership import Pool, pool_of
from bluebellusher_core.poison import BLOCK_MS
from bluebellusher_core.requests import _final, _placing
from bluebellusher_core.requests._model import Attempt, Phase, Request
from bluebellusher_core.state import EntryState

# An endpoint starts no other work during an isolated run. Therefore at most one of each
# ENDPOINTS_PER_ISOLATED_RUN endpoints of a pool, and at least one endpoint of a small
# pool, is used for isolated runs at the same time.
ENDPOINTS_PER_ISOLATED_RUN = 4
N_MAX_RESERVED_REFUSALS = 8
# Bounds of the wait before a refused isolated run is tried again, in ms.
MIN_RETRY_WAIT_MS = 20
MAX_RETRY_WAIT_MS = 500
# Upper bound of the fingerprints of each kind that are read from a peer's digest.
N_MAX_DIGEST = 1_000


def place_suspects(state: EntryState, now_ms: int) -> list[Effect]:
    """Start the isolated runs that are due.

    At most one runs for each endpoint and for each fingerprint.
    """
    effects: list[Effect] = []
    for request_id, at_ms in list(state.isolate_at_ms.items()):
        if at_ms <= now_ms:
            request = state.request_by_id[request_id]
            effects += _place_suspect(state, request, now_ms)
    return effects


def _place_suspect(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Start the isolated run of one request if an endpoint is available for it.

    A request whose deadline has passed is rejected. One whose fingerprint is no longer
    a suspect is requeued.
    """
    spec = request.spec
    if spec.deadline_ms <= now_ms:
        reason = Reason.DEADLINE_EXCEEDED
        return _final.reject_request(state, request, reason, "isolation", now_ms)
    if not state.poison.is_suspect(spec.fingerprint, now_ms):
        del state.isolate_at_ms[spec.request_id]
        _final.release_endpoint(state, request)
        return _placing.requeue(state, request, now_ms)
    if state.poison.n_running(spec.fingerprint):
        return []
    if state.poison.held_until_ms(spec.fingerprint, now_ms):
        return []
    endpoint_id = _choose_endpoint(state, request, now_ms)
    if endpoint_id is None:
        return []
    del state.isolate_at_ms[spec.request_id]
    return _placing.dispatch(state, request, endpoint_id, now_ms, is_isolated=True)


def _choose_endpoint(state: EntryState, request: Request, now_ms: int) -> str | None:
    """Return the reserved or else a free endpoint for an isolated run, or None."""
    pool = pool_of(request.spec)
    views = state.endpoints.views_of(pool)
    if request.reserved_endpoint_id:
        if any(v.info.endpoint_id == request.reserved_endpoint_id for v in views):
            warm_ups = state.endpoints.limits.warm_ups
            is_exhausted = warm_ups.is_exhausted(request.reserved_endpoint_id, now_ms)
            return None if is_exhausted else request.reserved_endpoint_id
        _final.release_endpoint(state, request)
    if not has_isolation_capacity(state, pool):
        return None
    free_views = state.endpoints.views_with_capacity(pool, now_ms)
    return (
        _placing.choose_endpoint(state, request, free_views, now_ms)
        if free_views
        else None
    )


def has_isolation_capacity(state: EntryState, pool: Pool) -> bool:
    """Return whether one more endpoint of a pool may be used for isolated runs."""
    views = state.endpoints.views_of(pool)
    n_isolating = sum(1 for view in views if view.is_isolating)
    return n_isolating < max(1, len(views) // ENDPOINTS_PER_ISOLATED_RUN)


def retry_refused_run(
    state: EntryState,
    request: Request,
    attempt: Attempt,
    retry_after_ms: int,
    now_ms: int,
) -> list[Effect]:
    """Schedule the next try of an isolated run that its endpoint refused.

    An endpoint refuses while older attempts have produced no output yet. It stays
    reserved, because new attempts would otherwise keep the isolated run from ever
    starting. The wait doubles with each refusal, from the longer of
    ``MIN_RETRY_WAIT_MS`` and the endpoint's own ``retry_after_ms`` to
    ``MAX_RETRY_WAIT_MS``. After
    ``N_MAX_RESERVED_REFUSALS`` refusals the request avoids the endpoint.
    """
    request.phase = Phase.WAITING
    request.n_reserved_refusals += 1
    wait_ms = max(retry_after_ms, MIN_RETRY_WAIT_MS) << (
        request.n_reserved_refusals - 1
    )
    wait_ms = min(wait_ms, MAX_RETRY_WAIT_MS)
    state.isolate_at_ms[request.spec.request_id] = now_ms + wait_ms
    view = state.endpoints.view_by_id.get(attempt.endpoint_id)
    if request.n_reserved_refusals >= N_MAX_RESERVED_REFUSALS:
        request.avoided_endpoint_ids.add(attempt.endpoint_id)
        request.reserved_endpoint_id = ""
        request.n_reserved_refusals = 0
    elif view is not None and not view.is_draining:
        _final.reserve_endpoint(state, request, attempt.endpoint_id)
    return []


def block_fingerprint(
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
        is_affected = request.spec.fingerprint == fingerprint
        if is_affected and request.phase is not Phase.DETACHED:
            _placing.remove_waiting(state, request)
            reason = Reason.CRASHES_ENDPOINTS
            effects += _final.reject_request(
                state, request, reason, "isolation", now_ms, peer
            )
    return effects


def handle_digest(
    state: EntryState, event: DigestReceived, now_ms: int
) -> list[Effect]:
    """Apply the blocked and suspect fingerprints that a peer sent.

    Suspects are ignored where this entry counts crashes itself.
    """
    state.next_placement_ms = 0
    effects: list[Effect] = []
    for fingerprint in event.blocked_fingerprints[:N_MAX_DIGEST]:
        effects += block_fingerprint(state, fingerprint, event.peer_id, False, now_ms)
    if state.config.n_crashes_to_block:
        return effects
    for fingerprint in event.suspect_fingerprints[:N_MAX_DIGEST]:
        state.poison.suspect(fingerprint, now_ms, is_own=False)
    return effects


def list_due_times_ms(state: EntryState, now_ms: int) -> list[int]:
    """Return the times at which the isolated runs of waiting suspects may start."""
    due_times_ms = [at_ms for at_ms in state.isolate_at_ms.values() if at_ms > now_ms]
    for request_id in state.isolate_at_ms:
        fingerprint = state.request_by_id[request_id].spec.fingerprint
        held_until_ms = state.poison.held_until_ms(fingerprint, now_ms)
        if held_until_ms:
            due_times_ms.append(held_until_ms)
    return due_times_ms
