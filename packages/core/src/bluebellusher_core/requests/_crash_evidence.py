"""Detection of requests that crash endpoints, where no agent reports crashes.

A broken connection may have many causes, and isolated runs would occupy endpoints just
when most of them are needed. Instead, each broken run is recorded as a suspected crash,
the address of its endpoint is checked at once, and only confirmed crashes are counted.
"""

from bluebellusher_core.effects import (
    BroadcastCrashes,
    CheckEndpoint,
    Effect,
    LogEvent,
    SetTimer,
)
from bluebellusher_core.events import CrashesReceived, EndpointChecked
from bluebellusher_core.poison import (
    BLOCK_MS,
    TRIAL_AFTER_MS,
    CrashRecord,
    is_part_key,
)
from bluebellusher_core.rendezvous import choose
from bluebellusher_core.requests import _isolation, _parts
from bluebellusher_core.requests._model import Attempt, Request
from bluebellusher_core.state import EntryState

# Upper bound of the records that are read from one message of a peer or the store.
N_MAX_RECORDS = 1_000
# Time, in ms, for which the port of a process that is ending may still accept
# connections. An open port dismisses only the crashes suspected before that time.
EXIT_GRACE_MS = 2_000
# Interval between the checks of an address in that time, in ms.
RECHECK_INTERVAL_MS = 500


def record_broken_run(
    state: EntryState, request: Request, attempt: Attempt, is_fatal: bool, now_ms: int
) -> list[Effect]:
    """Record a broken run as a possible crash that its request caused.

    Where agents report crashes, a fatal break makes the fingerprint a suspect.
    Otherwise the endpoint's address is checked, unless the endpoint was draining.
    """
    fingerprint = request.spec.fingerprint
    if not state.config.n_crashes_to_block:
        if is_fatal:
            state.poison.suspect(fingerprint, now_ms, is_own=True)
        return []
    endpoint_id = attempt.endpoint_id
    view = state.endpoints.view_by_id.get(endpoint_id)
    if attempt.is_leaving or (view is not None and view.is_draining):
        # A planned shutdown broke the run.
        return []
    state.crashes.suspect(
        fingerprint,
        endpoint_id,
        attempt.incarnation,
        attempt.dispatched_at_ms,
        now_ms,
    )
    _parts.suspect_parts(state, request, attempt, now_ms)
    fields = (
        ("request", request.spec.request_id),
        ("fingerprint", fingerprint),
        ("endpoint", endpoint_id),
        ("after_ms", now_ms - attempt.dispatched_at_ms),
    )
    return [
        LogEvent("crash-suspected", fields),
        *_check_address(state, endpoint_id, now_ms),
    ]


def _check_address(state: EntryState, endpoint_id: str, now_ms: int) -> list[Effect]:
    """Check the address of an endpoint unless a check is in progress."""
    if endpoint_id in state.check_started_at_ms:
        return []
    state.check_started_at_ms[endpoint_id] = now_ms
    return [CheckEndpoint(endpoint_id)]


def handle_endpoint_checked(
    state: EntryState, event: EndpointChecked, now_ms: int
) -> list[Effect]:
    """Handle the result of an address check.

    A closed port confirms the suspected crashes of the endpoint. A listening port
    dismisses those that were suspected ``EXIT_GRACE_MS`` before the check, and the
    address is checked again for the others. An address that did not answer, and one
    that another endpoint has registered too, neither confirms nor dismisses a crash.
    """
    endpoint_id = event.endpoint_id
    asked_at_ms = state.check_started_at_ms.pop(endpoint_id, None)
    if asked_at_ms is None or event.is_listening is None:
        return []
    if not event.is_listening:
        return confirm_crashes(state, endpoint_id, "port closed", now_ms)
    if state.endpoints.contested.find_claimant(endpoint_id) is not None:
        # The port may be that of another endpoint.
        return []
    exited_by_ms = asked_at_ms - EXIT_GRACE_MS
    effects = _dismiss_crashes(state, endpoint_id, exited_by_ms, "listening", now_ms)
    last_broken_at_ms = state.crashes.last_suspected_at_ms(endpoint_id)
    if last_broken_at_ms is None:
        return effects
    if last_broken_at_ms > asked_at_ms:
        # Another run broke after the check had begun.
        return effects + _check_address(state, endpoint_id, now_ms)
    return effects + _schedule_check(state, endpoint_id, now_ms)


def handle_check_due(state: EntryState, endpoint_id: str, now_ms: int) -> list[Effect]:
    """Check an address again that accepted connections after a run had broken."""
    state.next_check_at_ms.pop(endpoint_id, None)
    if state.crashes.last_suspected_at_ms(endpoint_id) is None:
        return []
    return _check_address(state, endpoint_id, now_ms)


def _schedule_check(state: EntryState, endpoint_id: str, now_ms: int) -> list[Effect]:
    """Set the timer of the next check of an address, unless one is pending."""
    if endpoint_id in state.next_check_at_ms:
        return []
    due_ms = now_ms + RECHECK_INTERVAL_MS
    state.next_check_at_ms[endpoint_id] = due_ms
    return [SetTimer(f"check:{endpoint_id}", due_ms)]


def dismiss_before_attempt(
    state: EntryState, attempt: Attempt, evidence: str, now_ms: int
) -> list[Effect]:
    """Dismiss the suspected crashes before an attempt that its endpoint answered."""
    asked_at_ms = attempt.dispatched_at_ms
    return _dismiss_crashes(state, attempt.endpoint_id, asked_at_ms, evidence, now_ms)


def _dismiss_crashes(
    state: EntryState, endpoint_id: str, asked_at_ms: int, evidence: str, now_ms: int
) -> list[Effect]:
    """Dismiss and log the crashes of an endpoint suspected up to ``asked_at_ms``.

    That is the time at which the attempt or check that the endpoint answered was sent.
    """
    effects: list[Effect] = []
    for fingerprint in state.crashes.record_answer(endpoint_id, asked_at_ms, now_ms):
        fields = (
            ("fingerprint", fingerprint),
            ("endpoint", endpoint_id),
            ("evidence", evidence),
        )
        effects.append(LogEvent("crash-ruled-out", fields))
    return effects


def confirm_crashes(
    state: EntryState,
    endpoint_id: str,
    evidence: str,
    now_ms: int,
    started_at_ms: int | None = None,
) -> list[Effect]:
    """Confirm the suspected crashes of an endpoint whose process has ended.

    Logs and broadcasts each crash, and blocks a fingerprint that has reached the number
    of crashes to block.

    Parameters
    ----------
    state : EntryState
        State of the entry; it is changed in place.
    endpoint_id : str
        The endpoint that has ended.
    evidence : str
        How the end was observed, for the log.
    now_ms : int
        Monotonic time.
    started_at_ms : int or None
        Monotonic start time of the process that replaced the endpoint, if known.
    """
    effects: list[Effect] = []
    confirmed = state.crashes.confirm(endpoint_id, now_ms, started_at_ms)
    # Several runs at the endpoint may share a part of their prompts.
    for fingerprint in dict.fromkeys(confirmed):
        fields = (
            ("fingerprint", fingerprint),
            ("endpoint", endpoint_id),
            ("evidence", evidence),
            ("n_crashes", state.crashes.count(fingerprint, now_ms)),
        )
        effects.append(LogEvent("crash-counted", fields))
        effects.append(BroadcastCrashes((state.crashes.record(fingerprint, now_ms),)))
        effects += _update_block(state, fingerprint, endpoint_id, now_ms)
    return effects


def handle_received(
    state: EntryState, event: CrashesReceived, now_ms: int
) -> list[Effect]:
    """Merge crash records from a peer or the store.

    Each fingerprint is blocked or unblocked by the merged record. When a record counts
    crashes that a completed run has cleared here, this entry's record is broadcast.
    """
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
            effects += _update_block(state, fingerprint, event.source, now_ms)
        effects += _parts.tell_of_output(state, event, record, now_ms)
        own_record = state.crashes.record(fingerprint, now_ms)
        if _is_outdated(record, own_record):
            effects.append(BroadcastCrashes((own_record,)))
    return effects


def may_start_trial(state: EntryState, fingerprint: str, now_ms: int) -> bool:
    """Return whether this entry may start the trial run of a blocked fingerprint.

    A harmless request may have been running in three crashes by chance, where endpoints
    failed one after the other for another reason. One trial run decides. It
    starts only while the number of crashes is exactly the number to block, and only
    ``TRIAL_AFTER_MS`` after the block. Rendezvous hashing selects the single entry that
    may start it, so that all entries select the same one. An entry that has not
    received the list of entries starts none.
    """
    n_to_block = state.config.n_crashes_to_block
    if not n_to_block or state.crashes.count(fingerprint, now_ms) != n_to_block:
        return False
    blocked_for_ms = BLOCK_MS - state.crashes.block_remaining_ms(
        fingerprint, n_to_block, now_ms
    )
    if blocked_for_ms < TRIAL_AFTER_MS or state.poison.n_running(fingerprint):
        return False
    return choose(fingerprint, state.member_ids) == state.config.entry_id


def start_trial(state: EntryState, fingerprint: str, now_ms: int) -> list[Effect]:
    """Record a trial run as a crash and broadcast it, so that no other trial starts.

    A completed trial clears this crash with the others.
    """
    trial_id = f"trial@{state.config.entry_id}"
    state.crashes.record_trial(fingerprint, trial_id, now_ms)
    return [
        LogEvent("crash-trial", (("fingerprint", fingerprint),)),
        BroadcastCrashes((state.crashes.record(fingerprint, now_ms),)),
    ]


def _is_outdated(record: CrashRecord, own_record: CrashRecord) -> bool:
    """Return whether a record counts crashes that a completed run has cleared here."""
    if own_record.sound_age_ms is None:
        return False
    if record.sound_age_ms is not None:
        return False
    return any(crash.age_ms >= own_record.sound_age_ms for crash in record.crashes)


def _update_block(
    state: EntryState, fingerprint: str, peer: str, now_ms: int
) -> list[Effect]:
    """Block or unblock a fingerprint by its current number of crashes."""
    if is_part_key(fingerprint):
        return _parts.handle_crash_counted(state, fingerprint, now_ms)
    n_to_block = state.config.n_crashes_to_block
    remaining_ms = state.crashes.block_remaining_ms(fingerprint, n_to_block, now_ms)
    if remaining_ms > 0:
        return _isolation.block_fingerprint(
            state, fingerprint, peer, False, now_ms, remaining_ms
        )
    if state.poison.unblock(fingerprint):
        return [LogEvent("fingerprint-unblocked", (("fingerprint", fingerprint),))]
    return []
