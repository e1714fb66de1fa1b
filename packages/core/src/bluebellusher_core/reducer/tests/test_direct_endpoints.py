"""Requests to endpoints that register themselves and have no agent."""

from dataclasses import replace

from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.effects import DiscardAnswer, Dispatch, Reject
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    EndpointDraining,
    EndpointInfo,
    EndpointRegistered,
    EntriesCounted,
    LoadReported,
    RequestArrived,
    TimerFired,
    Usage,
)
from bluebellusher_core.membership._endpoints import REPORT_MAX_AGE_MS
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec


def make_info(endpoint_id, incarnation=1):
    """Return the registration of an endpoint with 4 slots."""
    services = frozenset({"s"})
    return EndpointInfo(
        endpoint_id, "d", services, frozenset(), frozenset(), 4, incarnation
    )


def start_entry(n_endpoints=2, **options):
    """Return the state of an entry with registered endpoints ``x0``, ``x1``, ..."""
    state = EntryState.from_config(EntryConfig("e", **options))
    for i in range(n_endpoints):
        reduce(state, EndpointRegistered(make_info(f"x{i}")), 0)
    return state


def find_dispatch(effects):
    """Return the dispatch among effects, or None."""
    return next((e for e in effects if isinstance(e, Dispatch)), None)


def find_rejection(effects):
    """Return the rejection among effects, or None."""
    return next((e.rejection for e in effects if isinstance(e, Reject)), None)


def make_finished(dispatch, status):
    """Return the event of a finished attempt with an HTTP status."""
    return AttemptFinished(
        dispatch.attempt_id, status, 10, Usage(), dispatch.endpoint_id
    )


def test_server_error_is_retried_at_another_endpoint():
    """Guards against a server error relayed where a retry elsewhere was allowed."""
    state = start_entry()
    first = find_dispatch(reduce(state, RequestArrived(make_spec()), 0))
    effects = reduce(state, make_finished(first, 500), 50)
    assert DiscardAnswer("r") in effects
    second = find_dispatch(effects)
    assert second.endpoint_id != first.endpoint_id
    # The route allows two attempts, so the second error is relayed.
    assert find_dispatch(reduce(state, make_finished(second, 500), 100)) is None


def test_server_error_of_a_non_idempotent_request_is_relayed():
    """Guards against a second run of a non-idempotent request after a server error."""
    state = start_entry()
    spec = make_spec(is_idempotent=False)
    first = find_dispatch(reduce(state, RequestArrived(spec), 0))
    assert find_dispatch(reduce(state, make_finished(first, 500), 50)) is None


def test_broken_attempts_stay_within_the_limit_of_their_route():
    """Guards against a request with more broken attempts than its route allows."""
    state = start_entry(4)
    dispatch = find_dispatch(reduce(state, RequestArrived(make_spec()), 0))
    n_attempts = 0
    while dispatch is not None:
        n_attempts += 1
        event = AttemptBroken(
            dispatch.attempt_id, Reason.CONNECTION_LOST, 0, False, dispatch.endpoint_id
        )
        effects = reduce(state, event, n_attempts)
        dispatch = find_dispatch(effects)
    assert n_attempts == 2
    assert find_rejection(effects).outcome is Outcome.UNKNOWN


def test_retries_after_refusals_use_the_retry_budget():
    """Guards against endless retries of all entries while endpoints refuse."""
    state = start_entry(2, n_min_retries=3, n_shared_retries=12, retry_percent=0)
    reduce(state, EntriesCounted(4), 0)
    n_sent, now_ms = 0, 0
    for i in range(10):
        spec = make_spec(f"r{i}", deadline_ms=60_000)
        effects = reduce(state, RequestArrived(spec), now_ms)
        for _ in range(50):
            dispatch = find_dispatch(effects)
            now_ms += 2_000
            if dispatch is None:
                break
            n_sent += 1
            event = AttemptRefused(
                dispatch.attempt_id,
                Reason.ENDPOINT_FULL,
                0,
                dispatch.endpoint_id,
                has_arrived=True,
            )
            effects = reduce(state, event, now_ms)
    assert n_sent <= 10 + 3


def test_retry_after_a_failed_connection_uses_no_retry_budget():
    """Guards against a retry budget spent on endpoints that cannot be connected."""
    state = start_entry(2, n_min_retries=1, retry_percent=0)
    first = find_dispatch(reduce(state, RequestArrived(make_spec()), 0))
    event = AttemptRefused(
        first.attempt_id, Reason.CONNECT_FAILED, 0, first.endpoint_id
    )
    assert find_dispatch(reduce(state, event, 5)) is not None
    assert state.retry_budget.n_available == 1


def test_broken_stream_resumes_at_another_endpoint_at_the_relayed_offset():
    """Guards against a stream that ends with the connection to one endpoint."""
    state = start_entry()
    spec = make_spec(can_resume_elsewhere=True)
    first = find_dispatch(reduce(state, RequestArrived(spec), 0))
    event = AttemptBroken(
        first.attempt_id, Reason.CONNECTION_LOST, 120, True, first.endpoint_id
    )
    second = find_dispatch(reduce(state, event, 50))
    assert second.endpoint_id != first.endpoint_id
    assert second.resume_offset == 120


def test_endpoint_that_registers_again_keeps_its_attempts():
    """Guards against attempts that break because a registration expired."""
    state = start_entry(1)
    first = find_dispatch(reduce(state, RequestArrived(make_spec()), 0))
    reduce(state, EndpointDraining("x0"), 10)
    assert (
        find_rejection(reduce(state, RequestArrived(make_spec("other")), 11))
        is not None
    )
    assert reduce(state, EndpointRegistered(make_info("x0")), 20) == []
    assert first.attempt_id in state.attempt_by_id
    assert find_dispatch(reduce(state, RequestArrived(make_spec("r2")), 30)) is not None


def test_restart_of_an_endpoint_breaks_its_attempts():
    """Guards against requests that wait for an earlier start of an endpoint."""
    state = start_entry(2)
    first = find_dispatch(reduce(state, RequestArrived(make_spec()), 0))
    info = make_info(first.endpoint_id, incarnation=2)
    effects = reduce(state, EndpointRegistered(info), 10)
    assert find_dispatch(effects).request_id == "r"


def test_closed_group_gets_no_requests():
    """Guards against dispatches to ranks that report a closed group."""
    state = start_entry(1)
    report = LoadReported(
        "x0", 1, 0, 0, 0, 4, 0.0, frozenset(), frozenset(), 0, is_open=False
    )
    reduce(state, report, 0)
    spec = replace(make_spec(), start_by_ms=2_000)
    assert find_dispatch(reduce(state, RequestArrived(spec), 10)) is None
    opened = replace(report, sequence=2, is_open=True)
    assert find_dispatch(reduce(state, opened, 500)).request_id == "r"


def make_group_report(
    endpoint_id, sequence, is_open=True, epoch=1, step=0, n_running=0
):
    """Return the load report of one rank of group ``g``."""
    return LoadReported(
        endpoint_id,
        sequence,
        n_running,
        0,
        0,
        4,
        0.0,
        frozenset(),
        frozenset(),
        0,
        is_open=is_open,
        group_id="g",
        epoch=epoch,
        step=step,
    )


def test_unresponsive_rank_of_a_closed_group_gets_no_requests():
    """Guards against requests dispatched to a rank in a domain that is cut off.

    That rank sends no reports, and its last report was of an open group.
    """
    state = start_entry(3)
    for i in range(3):
        reduce(state, make_group_report(f"x{i}", 1, is_open=True), 0)
    reduce(state, make_group_report("x1", 2, is_open=False), 1_500)
    spec = replace(make_spec(), start_by_ms=4_000)
    assert find_dispatch(reduce(state, RequestArrived(spec), 1_510)) is None
    opened = make_group_report("x2", 2, is_open=True, epoch=2)
    assert find_dispatch(reduce(state, opened, 2_500)).request_id == "r"


def start_entry_with_group(n_ranks, **options):
    """Return the state of an entry with one open group and an objective queue."""
    config = EntryConfig("e", **options)
    state = EntryState.from_config(config, make_queue=ObjectiveQueue)
    for i in range(n_ranks):
        reduce(state, EndpointRegistered(make_info(f"x{i}")), 0)
        reduce(state, make_group_report(f"x{i}", 1), 0)
    return state


def make_closed_refusal(dispatch):
    """Return the refusal of a rank that reports its group as closed."""
    return AttemptRefused(
        dispatch.attempt_id,
        Reason.ENDPOINTS_CLOSED,
        0,
        dispatch.endpoint_id,
        has_arrived=True,
    )


def test_refusal_by_one_rank_closes_the_group():
    """Guards against attempts at each rank of a closed group until a report arrives.

    Each refused attempt costs time and a token of the retry budget. The caller is
    rejected at once and can retry instead.
    """
    state = start_entry_with_group(4)
    first = find_dispatch(reduce(state, RequestArrived(make_spec()), 10))
    n_retries = state.retry_budget.n_available
    rejection = find_rejection(reduce(state, make_closed_refusal(first), 1_600))
    assert rejection.reason is Reason.ENDPOINTS_CLOSED
    assert rejection.outcome is Outcome.NOT_RUN
    assert state.retry_budget.n_available == n_retries
    effects = reduce(state, RequestArrived(make_spec("other")), 1_610)
    assert find_dispatch(effects) is None


def test_retried_requests_at_a_closed_group_use_the_retry_budget():
    """Guards against endless retries while reports contradict the refusals.

    A run (duna-barcas-grown, fresh-64d9) had 1,069 retries in 10 s where 682 are
    allowed.
    """
    state = start_entry_with_group(
        8, n_min_retries=3, n_shared_retries=12, retry_percent=0
    )
    reduce(state, EntriesCounted(4), 0)
    n_sent, now_ms = 0, 0
    for i in range(10):
        spec = make_spec(f"r{i}", is_returning=True, deadline_ms=60_000)
        effects = reduce(state, RequestArrived(spec), now_ms)
        for sequence in range(2, 30):
            dispatch = find_dispatch(effects)
            if dispatch is None:
                break
            n_sent += 1
            now_ms += 1_500
            effects = reduce(state, make_closed_refusal(dispatch), now_ms)
            if find_dispatch(effects) is None:
                # The next report states that the group is open.
                report = make_group_report(
                    dispatch.endpoint_id, 100 * i + sequence, epoch=100 * i + sequence
                )
                effects = reduce(state, report, now_ms + 10)
    assert n_sent <= 10 + 3


def test_closed_report_of_an_earlier_epoch_does_not_close_the_next_one():
    """Guards against a group that stays closed after its epoch has changed."""
    state = start_entry(2)
    reduce(state, make_group_report("x0", 1, is_open=False), 0)
    reduce(state, make_group_report("x1", 1, is_open=True, epoch=2), 100)
    assert find_dispatch(reduce(state, RequestArrived(make_spec()), 110)) is not None


def test_retried_requests_wait_for_a_closed_group_by_its_rate_when_open():
    """Guards against rejected retries because no request runs in a closed group.

    The group has 12 slots, a request takes 1 s, and the group opens with all slots
    free. Half of them are this entry's share, so that six requests can start within
    the 2 s that they may wait.
    """
    state = EntryState.from_config(EntryConfig("e"), make_queue=ObjectiveQueue)
    reduce(state, EntriesCounted(2), 0)
    for i in range(3):
        reduce(state, EndpointRegistered(make_info(f"x{i}")), 0)
        reduce(state, make_group_report(f"x{i}", 1, is_open=True), 0)
    first = find_dispatch(reduce(state, RequestArrived(make_spec("first")), 0))
    reduce(state, make_finished(first, 200), 1_000)
    reduce(state, make_group_report("x0", 2, is_open=False), 1_100)
    for i in range(6):
        spec = make_spec(f"r{i}", start_by_ms=3_200, is_returning=True)
        assert find_rejection(reduce(state, RequestArrived(spec), 1_200)) is None
    opened = make_group_report("x0", 3, is_open=True, epoch=2)
    effects = reduce(state, opened, 2_000)
    assert len([e for e in effects if isinstance(e, Dispatch)]) == 6


def reduce_arrival(state, spec, now_ms):
    """Let a request arrive; return its dispatch and its rejection, or None for each."""
    effects = reduce(state, RequestArrived(spec), now_ms)
    return find_dispatch(effects), find_rejection(effects)


def test_stalled_group_gets_no_new_requests():
    """Guards against callers that get no output because a group has stalled.

    The ranks report the group as open, but a rank with running requests reports no new
    pass. New requests wait and are rejected as not run before their callers leave. A
    retried request is dispatched to a rank, which runs it in the next pass.
    """
    state = EntryState.from_config(EntryConfig("e"), make_queue=ObjectiveQueue)
    for i in range(2):
        reduce(state, EndpointRegistered(make_info(f"x{i}")), 0)
    reduce(state, make_group_report("x1", 1, step=7), 0)
    for sequence, at_ms in enumerate((0, 500, 1_000), 1):
        report = make_group_report("x0", sequence, step=7, n_running=2)
        reduce(state, report, at_ms)
    rejected = make_spec("rejected", start_by_ms=1_200)
    waiting = make_spec("waiting", start_by_ms=3_000)
    for spec in (rejected, waiting):
        assert reduce_arrival(state, spec, 1_010) == (None, None)
    retried = make_spec("returning", is_returning=True, start_by_ms=3_000)
    assert find_dispatch(reduce(state, RequestArrived(retried), 1_020)) is not None
    rejection = find_rejection(reduce(state, TimerFired("wake"), 1_110))
    assert rejection.reason is Reason.ENDPOINTS_CLOSED
    assert rejection.outcome is Outcome.NOT_RUN
    report = make_group_report("x1", 2, step=8, n_running=2)
    assert find_dispatch(reduce(state, report, 1_500)).request_id == "waiting"
    new_request = make_spec("fresh")
    assert find_dispatch(reduce(state, RequestArrived(new_request), 1_510)) is not None


def test_group_whose_agents_are_silent_gets_requests():
    """Guards against a group that is given up because its agents do not report.

    The last reports show work, and the ranks still run requests.
    """
    state = start_entry_with_group(2)
    for sequence, at_ms in enumerate((100, 200, 400), 2):
        reduce(state, make_group_report("x0", sequence, step=7, n_running=2), at_ms)
    silent_until_ms = 400 + REPORT_MAX_AGE_MS + 1
    effects = reduce(
        state, RequestArrived(make_spec(deadline_ms=60_000)), silent_until_ms
    )
    assert find_dispatch(effects) is not None


def test_idle_group_without_passes_is_open():
    """Guards against an idle group, which runs no passes, classified as stalled."""
    state = start_entry(2)
    for sequence, at_ms in enumerate((0, 600, 1_200, 1_800), 1):
        reduce(state, make_group_report("x0", sequence, step=7), at_ms)
    busy = make_group_report("x0", 5, step=7, n_running=1)
    reduce(state, busy, 1_900)
    assert find_dispatch(reduce(state, RequestArrived(make_spec()), 1_910)) is not None
