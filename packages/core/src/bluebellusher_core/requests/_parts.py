"""Requests with prompt parts that crash engines."""

from bluebellusher_core.effects import BroadcastCrashes, Effect, LogEvent, SetTimer
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import STORE_SOURCE, CrashesReceived, RequestSpec
from bluebellusher_core.poison import CrashRecord, is_part_key, part_key
from bluebellusher_core.requests import _final
from bluebellusher_core.requests._model import Attempt, Request
from bluebellusher_core.state import EntryState

# Id of the timer that rejects waiting requests with a blocked part, and its delay in
# ms. Within the delay, peers tell whether they have seen output with the part.
TIMER_ID = "parts"
REJECT_DELAY_MS = 100
# Expected number of entries that tell a peer that they have seen output with a part.
N_EXPECTED_REPLIES = 4


def find_block_ms(state: EntryState, spec: RequestSpec, now_ms: int) -> int | None:
    """Return the time until a request may run, in ms; see ``PartBlocks``.

    The part that is blocked longest decides.
    """
    if not state.config.n_crashes_to_block:
        return None
    blocks_ms = [
        block_ms
        for part_id in spec.shared_part_ids
        if (block_ms := state.part_blocks.find_block_ms(part_id, now_ms)) is not None
    ]
    return max(blocks_ms, default=None)


def make_rejection(block_ms: int) -> Rejection:
    """Return the rejection of a request with a part that is blocked for a time."""
    reason = Reason.CRASHES_ENDPOINTS
    return Rejection(Outcome.NOT_RUN, reason, "admission", "", block_ms)


def prepare_dispatch(state: EntryState, request: Request, now_ms: int) -> list[Effect]:
    """Reject a request with a blocked part, or make it the trial run that is due."""
    if request.is_trial:
        return []
    block_ms = find_block_ms(state, request.spec, now_ms)
    if block_ms is None:
        return []
    if block_ms:
        return reject(state, request, block_ms, now_ms)
    request.is_trial = True
    return _start_trial(state, request.spec, now_ms)


def _start_trial(state: EntryState, spec: RequestSpec, now_ms: int) -> list[Effect]:
    """Record a trial run, which defers the trials of all entries."""
    effects: list[Effect] = []
    trial_id = f"{state.config.entry_id}.{now_ms}"
    for part_id in spec.shared_part_ids:
        if state.part_blocks.find_block_ms(part_id, now_ms) is None:
            continue
        key = part_key(part_id)
        state.crashes.record_part_trial(key, trial_id, now_ms)
        fields = (("part", part_id), ("request", spec.request_id))
        effects.append(LogEvent("part-trial", fields))
        effects.append(BroadcastCrashes((state.crashes.record(key, now_ms),)))
    return effects


def reject(
    state: EntryState, request: Request, block_ms: int, now_ms: int
) -> list[Effect]:
    """Reject an admitted request with a part that is blocked for a time."""
    reason = Reason.CRASHES_ENDPOINTS
    return _final.reject_request(
        state, request, reason, "parts", now_ms, retry_after_ms=block_ms
    )


def suspect_parts(
    state: EntryState, request: Request, attempt: Attempt, now_ms: int
) -> None:
    """Record a broken run without output as a possible crash by each shared part."""
    if attempt.is_started:
        return
    for part_id in request.spec.shared_part_ids:
        state.crashes.suspect(
            part_key(part_id),
            attempt.endpoint_id,
            attempt.incarnation,
            attempt.dispatched_at_ms,
            now_ms,
        )


def record_output(state: EntryState, spec: RequestSpec, now_ms: int) -> list[Effect]:
    """Record that a run has produced output, which clears all parts of its request."""
    if not state.config.n_crashes_to_block or not spec.shared_part_ids:
        return []
    state.part_blocks.n_outputs += 1
    effects: list[Effect] = []
    for part_id in spec.shared_part_ids:
        effects += _final.clear_crashes(state, part_key(part_id), now_ms)
    return effects


def handle_crash_counted(state: EntryState, key: str, now_ms: int) -> list[Effect]:
    """Log a part that has become blocked, and schedule the end of waiting requests."""
    part_id = key.removeprefix(part_key(""))
    block_ms = state.part_blocks.find_block_ms(part_id, now_ms)
    if block_ms is None:
        return []
    fields = (("part", part_id), ("block_ms", block_ms))
    return [
        LogEvent("part-blocked", fields),
        SetTimer(TIMER_ID, now_ms + REJECT_DELAY_MS),
    ]


def tell_of_output(
    state: EntryState, event: CrashesReceived, record: CrashRecord, now_ms: int
) -> list[Effect]:
    """Tell a peer that takes a crashed part for a new one that it has had output.

    Where there are many entries, a few of those that know answer.
    """
    is_new_there = bool(record.crashes) and record.sound_age_ms is None
    if not is_new_there or not is_part_key(record.fingerprint):
        return []
    if event.source == STORE_SOURCE:
        # The store cannot be told, and its row may name the crash for minutes.
        return []
    own_record = state.crashes.record(record.fingerprint, now_ms)
    if own_record.sound_age_ms is None:
        return []
    if state.random_state.random() * state.n_entries >= N_EXPECTED_REPLIES:
        return []
    return [BroadcastCrashes((own_record,))]
