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
    Usage,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec


def make_info(endpoint_id, incarnation=1):
    """Return the registration of an endpoint with 4 slots."""
    services = frozenset({"s"})
    return EndpointInfo(
        endpoint_id, "d", services, frozenset(), frozenset(), 4, incarnation
    )


def start(n_endpoints=2, **options):
    """Return the state of an entry with registered endpoints ``x0``, ``x1``, ..."""
    state = EntryState.from_config(EntryConfig("e", **options))
    for i in range(n_endpoints):
        reduce(state, EndpointRegistered(make_info(f"x{i}")), 0)
    return state


def dispatched(effects):
    """Return the dispatch among effects, or None."""
    return next((e for e in effects if isinstance(e, Dispatch)), None)


def rejected(effects):
    """Return the rejection among effects, or None."""
    return next((e.rejection for e in effects if isinstance(e, Reject)), None)


def finish(dispatch, status):
    """Return the event of a finished attempt with an HTTP status."""
    return AttemptFinished(
        dispatch.attempt_id, status, 10, Usage(), dispatch.endpoint_id
    )


def test_failure_of_an_endpoint_is_replaced_by_another_attempt():
    """Guards against a server error relayed where a retry elsewhere was allowed."""
    state = start()
    first = dispatched(reduce(state, RequestArrived(make_spec()), 0))
    effects = reduce(state, finish(first, 500), 50)
    assert DiscardAnswer("r") in effects
    second = dispatched(effects)
    assert second.endpoint_id != first.endpoint_id
    # The route allows two attempts, so the second error is relayed.
    assert dispatched(reduce(state, finish(second, 500), 100)) is None


def test_failure_of_a_booking_is_passed_on():
    """Guards against a second run of a non-idempotent request after a server error."""
    state = start()
    spec = make_spec(is_idempotent=False)
    first = dispatched(reduce(state, RequestArrived(spec), 0))
    assert dispatched(reduce(state, finish(first, 500), 50)) is None


def test_broken_attempts_stay_within_the_bound_of_their_route():
    """Guards against a request with more broken attempts than its route allows."""
    state = start(4)
    dispatch = dispatched(reduce(state, RequestArrived(make_spec()), 0))
    n_attempts = 0
    while dispatch is not None:
        n_attempts += 1
        event = AttemptBroken(
            dispatch.attempt_id, Reason.CONNECTION_LOST, 0, False, dispatch.endpoint_id
        )
        effects = reduce(state, event, n_attempts)
        dispatch = dispatched(effects)
    assert n_attempts == 2
    assert rejected(effects).outcome is Outcome.UNKNOWN


def test_refusals_of_endpoints_are_paid_from_the_retry_budget():
    """Guards against endless retries of all entries while endpoints refuse."""
    state = start(2, n_min_retries=3, n_shared_retries=12, retry_percent=0)
    reduce(state, EntriesCounted(4), 0)
    n_sent, now_ms = 0, 0
    for i in range(10):
        spec = make_spec(f"r{i}", deadline_ms=60_000)
        effects = reduce(state, RequestArrived(spec), now_ms)
        for _ in range(50):
            dispatch = dispatched(effects)
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


def test_attempt_that_never_arrived_costs_no_retry():
    """Guards against a retry budget spent on endpoints that cannot be connected."""
    state = start(2, n_min_retries=1, retry_percent=0)
    first = dispatched(reduce(state, RequestArrived(make_spec()), 0))
    event = AttemptRefused(
        first.attempt_id, Reason.CONNECT_FAILED, 0, first.endpoint_id
    )
    assert dispatched(reduce(state, event, 5)) is not None
    assert state.retry_budget.n_available == 1


def test_broken_stream_resumes_on_any_endpoint_from_what_was_relayed():
    """Guards against a stream that ends with the connection to one endpoint."""
    state = start()
    spec = make_spec(can_resume_elsewhere=True)
    first = dispatched(reduce(state, RequestArrived(spec), 0))
    event = AttemptBroken(
        first.attempt_id, Reason.CONNECTION_LOST, 120, True, first.endpoint_id
    )
    second = dispatched(reduce(state, event, 50))
    assert second.endpoint_id != first.endpoint_id
    assert second.resume_offset == 120


def test_endpoint_that_registers_again_keeps_its_requests():
    """Guards against attempts that break because a registration expired."""
    state = start(1)
    first = dispatched(reduce(state, RequestArrived(make_spec()), 0))
    reduce(state, EndpointDraining("x0"), 10)
    assert rejected(reduce(state, RequestArrived(make_spec("other")), 11)) is not None
    assert reduce(state, EndpointRegistered(make_info("x0")), 20) == []
    assert first.attempt_id in state.attempt_by_id
    assert dispatched(reduce(state, RequestArrived(make_spec("r2")), 30)) is not None


def test_new_start_of_an_endpoint_breaks_its_requests():
    """Guards against requests that wait for an earlier start of an endpoint."""
    state = start(2)
    first = dispatched(reduce(state, RequestArrived(make_spec()), 0))
    info = make_info(first.endpoint_id, incarnation=2)
    effects = reduce(state, EndpointRegistered(info), 10)
    assert dispatched(effects).request_id == "r"


def test_closed_group_gets_no_requests():
    """Guards against dispatches to ranks that report a closed group."""
    state = start(1)
    report = LoadReported(
        "x0", 1, 0, 0, 0, 4, 0.0, frozenset(), frozenset(), 0, is_open=False
    )
    reduce(state, report, 0)
    spec = replace(make_spec(), start_by_ms=2_000)
    assert dispatched(reduce(state, RequestArrived(spec), 10)) is None
    opened = replace(report, sequence=2, is_open=True)
    assert dispatched(reduce(state, opened, 500)).request_id == "r"


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


def test_silent_rank_of_a_closed_group_gets_no_requests():
    """Guards against requests dispatched to a rank in a domain that is cut off.

    That rank sends no reports, and its last report was of an open group.
    """
    state = start(3)
    for i in range(3):
        reduce(state, make_group_report(f"x{i}", 1, is_open=True), 0)
    reduce(state, make_group_report("x1", 2, is_open=False), 1_500)
    spec = replace(make_spec(), start_by_ms=4_000)
    assert dispatched(reduce(state, RequestArrived(spec), 1_510)) is None
    opened = make_group_report("x2", 2, is_open=True, epoch=2)
    assert dispatched(reduce(state, opened, 2_500)).request_id == "r"


def start_group(n_ranks, **options):
    """Return the state of an entry with one open group and an objective queue."""
    config = EntryConfig("e", **options)
    state = EntryState.from_config(config, make_queue=ObjectiveQueue)
    for i in range(n_ranks):
        reduce(state, EndpointRegistered(make_info(f"x{i}")), 0)
        reduce(state, make_group_report(f"x{i}", 1), 0)
    return state


def refuse_closed(dispatch):
    """Return the refusal of a rank that reports its group as closed."""
    return AttemptRefused(
        dispatch.attempt_id,
        Reason.ENDPOINTS_CLOSED,
        0,
        dispatch.endpoint_id,
        has_arrived=True,
    )


def test_answer_that_names_a_faulty_rank_closes_the_group():
    """Guards against attempts at each rank of a closed group until a report arrives.

    Each refused attempt costs time and a token of the retry budget. The caller is
    rejected at once and can retry instead.
    """
    state = start_group(4)
    first = dispatched(reduce(state, RequestArrived(make_spec()), 10))
    n_retries = state.retry_budget.n_available
    rejection = rejected(reduce(state, refuse_closed(first), 1_600))
    assert rejection.reason is Reason.ENDPOINTS_CLOSED
    assert rejection.outcome is Outcome.NOT_RUN
    assert state.retry_budget.n_available == n_retries
    effects = reduce(state, RequestArrived(make_spec("other")), 1_610)
    assert dispatched(effects) is None


def test_answers_of_a_closed_group_are_paid_when_the_request_is_sent_again():
    """Guards against endless retries while reports contradict the refusals.

    A run (duna-barcas-grown, fresh-64d9) had 1,069 retries in 10 s where 682 are
    allowed.
    """
    state = start_group(8, n_min_retries=3, n_shared_retries=12, retry_percent=0)
    reduce(state, EntriesCounted(4), 0)
    n_sent, now_ms = 0, 0
    for i in range(10):
        spec = make_spec(f"r{i}", is_returning=True, deadline_ms=60_000)
        effects = reduce(state, RequestArrived(spec), now_ms)
        for sequence in range(2, 30):
            dispatch = dispatched(effects)
            if dispatch is None:
                break
            n_sent += 1
            now_ms += 1_500
            effects = reduce(state, refuse_closed(dispatch), now_ms)
            if dispatched(effects) is None:
                # The next report states that the group is open.
                report = make_group_report(
                    dispatch.endpoint_id, 100 * i + sequence, epoch=100 * i + sequence
                )
                effects = reduce(state, report, now_ms + 10)
    assert n_sent <= 10 + 3


def test_lost_rank_of_an_earlier_epoch_does_not_close_the_next_one():
    """Guards against a group that stays closed after its epoch has changed."""
    state = start(2)
    reduce(state, make_group_report("x0", 1, is_open=False), 0)
    reduce(state, make_group_report("x1", 1, is_open=True, epoch=2), 100)
    assert dispatched(reduce(state, RequestArrived(make_spec()), 110)) is not None


def test_callers_that_came_back_wait_for_a_closed_group_by_its_later_rate():
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
    first = dispatched(reduce(state, RequestArrived(make_spec("first")), 0))
    reduce(state, finish(first, 200), 1_000)
    reduce(state, make_group_report("x0", 2, is_open=False), 1_100)
    for i in range(6):
        spec = make_spec(f"r{i}", start_by_ms=3_200, is_returning=True)
        assert rejected(reduce(state, RequestArrived(spec), 1_200)) is None
    opened = make_group_report("x0", 3, is_open=True, epoch=2)
    effects = reduce(state, opened, 2_000)
    assert len([e for e in effects if isinstance(e, Dispatch)]) == 6


def test_group_that_stands_still_gets_no_fresh_requests():
    """Guards against callers that get no output because a group has stalled.

    The ranks report the group as open, but a rank with running requests reports no new
    pass. New requests are rejected. A retried request is not rejected again but
    dispatched to a rank, which runs it in the next pass.
    """
    state = EntryState.from_config(EntryConfig("e"), make_queue=ObjectiveQueue)
    for i in range(2):
        reduce(state, EndpointRegistered(make_info(f"x{i}")), 0)
    reduce(state, make_group_report("x1", 1, step=7), 0)
    for sequence, at_ms in enumerate((0, 500, 1_000), 1):
        report = make_group_report("x0", sequence, step=7, n_running=2)
        reduce(state, report, at_ms)
    rejection = rejected(reduce(state, RequestArrived(make_spec()), 1_010))
    assert rejection.reason is Reason.ENDPOINTS_CLOSED
    returning = make_spec("returning", is_returning=True, start_by_ms=3_000)
    assert dispatched(reduce(state, RequestArrived(returning), 1_020)) is not None
    reduce(state, make_group_report("x1", 2, step=8, n_running=2), 1_500)
    fresh = make_spec("fresh")
    assert dispatched(reduce(state, RequestArrived(fresh), 1_510)) is not None


def test_idle_group_makes_no_passes_and_is_open():
    """Guards against an idle group, which runs no passes, classified as stalled."""
    state = start(2)
    for sequence, at_ms in enumerate((0, 600, 1_200, 1_800), 1):
        reduce(state, make_group_report("x0", sequence, step=7), at_ms)
    busy = make_group_report("x0", 5, step=7, n_running=1)
    reduce(state, busy, 1_900)
    assert dispatched(reduce(state, RequestArrived(make_spec()), 1_910)) is not None
