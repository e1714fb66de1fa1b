"""Evidence for and against requests that crash endpoints, where no agent tells of it.

A broken connection may have many causes, and isolated runs would cost endpoints that
are needed most then. So runs that broke are suspected, the address of their endpoint is
checked at once, and crashes that are certain are counted.
"""

from bluebellusher_core.effects import CheckEndpoint, Effect, LogEvent, TellCrashes
from bluebellusher_core.events import CrashesLearned, EndpointChecked
from bluebellusher_core.poison import BLOCK_MS, TRIAL_AFTER_MS, CrashRecord
from bluebellusher_core.rendezvous import choose
from bluebellusher_core.requests import _isolation
from bluebellusher_core.requests._model import Attempt, Request
from bluebellusher_core.state import EntryState

N_MAX_RECORDS = 1_000


def suspect(
    state: EntryState, request: Request, attempt: Attempt, is_fatal: bool, now_ms: int
) -> list[Effect]:
    """Note that a run broke, in case the request is what crashes endpoints."""
    fingerprint = request.spec.fingerprint
    if not state.config.n_crashes_to_block:
        if is_fatal:
            state.poison.suspect(fingerprint, now_ms, is_own=True)
        return []
    endpoint_id = attempt.endpoint_id
    view = state.endpoints.view_by_id.get(endpoint_id)
    if attempt.is_leaving or (view is not None and view.is_draining):
        # It ends by plan.
        return []
    state.crashes.suspect(
        fingerprint,
        endpoint_id,
        attempt.incarnation,
        attempt.dispatched_at_ms,
        now_ms,
    )
    fields = (
        ("request", request.spec.request_id),
        ("fingerprint", fingerprint),
        ("endpoint", endpoint_id),
        ("after_ms", now_ms - attempt.dispatched_at_ms),
    )
    return [LogEvent("crash-suspected", fields), *_check(state, endpoint_id, now_ms)]


def _check(state: EntryState, endpoint_id: str, now_ms: int) -> list[Effect]:
    if endpoint_id in state.checked_at_ms:
        return []
    state.checked_at_ms[endpoint_id] = now_ms
    return [CheckEndpoint(endpoint_id)]


def checked(state: EntryState, event: EndpointChecked, now_ms: int) -> list[Effect]:
    """Take in whether anything listens where runs broke."""
    endpoint_id = event.endpoint_id
    since_ms = state.checked_at_ms.pop(endpoint_id, None)
    if since_ms is None or event.is_listening is None:
        return []
    if not event.is_listening:
        return gone(state, endpoint_id, "port closed", now_ms)
    effects = _ruled_out(state, endpoint_id, since_ms, "listening", now_ms)
    if state.crashes.is_suspected(endpoint_id):
        # These runs broke after the check had begun.
        effects += _check(state, endpoint_id, now_ms)
    return effects


def answered(
    state: EntryState, attempt: Attempt, evidence: str, now_ms: int
) -> list[Effect]:
    """Drop suspicions against what broke at an endpoint that answers on."""
    since_ms = attempt.dispatched_at_ms
    return _ruled_out(state, attempt.endpoint_id, since_ms, evidence, now_ms)


def _ruled_out(
    state: EntryState, endpoint_id: str, since_ms: int, evidence: str, now_ms: int
) -> list[Effect]:
    effects: list[Effect] = []
    for fingerprint in state.crashes.note_answer(endpoint_id, since_ms, now_ms):
        fields = (
            ("fingerprint", fingerprint),
            ("endpoint", endpoint_id),
            ("evidence", evidence),
        )
        effects.append(LogEvent("crash-ruled-out", fields))
    return effects


def gone(
    state: EntryState,
    endpoint_id: str,
    evidence: str,
    now_ms: int,
    started_at_ms: int | None = None,
) -> list[Effect]:
    """Count the crash for what broke there, and block what has crashed too many."""
    effects: list[Effect] = []
    for fingerprint in state.crashes.confirm(endpoint_id, now_ms, started_at_ms):
        fields = (
            ("fingerprint", fingerprint),
            ("endpoint", endpoint_id),
            ("evidence", evidence),
            ("n_crashes", state.crashes.count(fingerprint, now_ms)),
        )
        effects.append(LogEvent("crash-counted", fields))
        effects.append(TellCrashes((state.crashes.record(fingerprint, now_ms),)))
        effects += _review(state, fingerprint, endpoint_id, now_ms)
    return effects


def learned(state: EntryState, event: CrashesLearned, now_ms: int) -> list[Effect]:
    """Take over what another entry or the store remembers."""
    effects: list[Effect] = []
    if not state.config.n_crashes_to_block:
        return effects
    for record in event.records[:N_MAX_RECORDS]:
        fingerprint = record.fingerprint
        if state.crashes.merge(record, now_ms):
            n_crashes = state.crashes.count(fingerprint, now_ms)
            fields = (
                ("fingerprint", fingerprint),
                ("source", event.source),
                ("n_crashes", n_crashes),
            )
            effects.append(LogEvent("crash-learned", fields))
            effects += _review(state, fingerprint, event.source, now_ms)
        known = state.crashes.record(fingerprint, now_ms)
        if _is_outdated(record, known):
            effects.append(TellCrashes((known,)))
    return effects


def may_try(state: EntryState, fingerprint: str, now_ms: int) -> bool:
    """Return whether a blocked request may run once, to see whether it is sound.

    A sound request may stand near three crashes by chance, where endpoints fail one
    after the other. One entry of all, the same whichever is asked, makes one run. An
    entry that does not know the others makes none.
    """
    n_to_block = state.config.n_crashes_to_block
    if not n_to_block or state.crashes.count(fingerprint, now_ms) != n_to_block:
        return False
    blocked_for_ms = BLOCK_MS - state.crashes.left_ms(fingerprint, n_to_block, now_ms)
    if blocked_for_ms < TRIAL_AFTER_MS or state.poison.n_running(fingerprint):
        return False
    return choose(fingerprint, state.member_ids) == state.config.entry_id


def begin_trial(state: EntryState, fingerprint: str, now_ms: int) -> list[Effect]:
    """Count the trial as a crash until it is whole, so that no other one is made."""
    trial_id = f"trial@{state.config.entry_id}"
    state.crashes.note_trial(fingerprint, trial_id, now_ms)
    return [
        LogEvent("crash-trial", (("fingerprint", fingerprint),)),
        TellCrashes((state.crashes.record(fingerprint, now_ms),)),
    ]


def _is_outdated(record: CrashRecord, known: CrashRecord) -> bool:
    """Return whether a record counts crashes before a whole run that is known here."""
    if known.sound_age_ms is None:
        return False
    if record.sound_age_ms is not None:
        return False
    return any(crash.age_ms >= known.sound_age_ms for crash in record.crashes)


def _review(
    state: EntryState, fingerprint: str, peer: str, now_ms: int
) -> list[Effect]:
    """Block a fingerprint by its crashes, or take the block back."""
    n_to_block = state.config.n_crashes_to_block
    left_ms = state.crashes.left_ms(fingerprint, n_to_block, now_ms)
    if left_ms > 0:
        return _isolation.block(state, fingerprint, peer, False, now_ms, left_ms)
    if state.poison.unblock(fingerprint):
        return [LogEvent("fingerprint-unblocked", (("fingerprint", fingerprint),))]
    return []
