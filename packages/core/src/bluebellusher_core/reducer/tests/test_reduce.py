"""Behaviour of the reducer that the state machines rarely reach."""

from bluebellusher_core.claims import ClaimTable
from bluebellusher_core.effects import (
    ClaimState,
    CloseConnection,
    Complete,
    Dispatch,
    Reject,
    WriteClaims,
)
from bluebellusher_core.errors import Outcome, Reason
from bluebellusher_core.events import (
    AttemptAccepted,
    AttemptBroken,
    AttemptFinished,
    ClaimsUnanswered,
    DigestReceived,
    EndpointConnected,
    EndpointDraining,
    EndpointInfo,
    EndpointLost,
    Priority,
    RequestArrived,
    RequestSpec,
    TimerFired,
    Usage,
)
from bluebellusher_core.poison import HOLD_MS, PoisonTable
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.retry import RetryBudget


def make_spec(request_id, fingerprint="f", key=None, deadline_ms=60_000):
    """Return a request; one with a key is not idempotent."""
    return RequestSpec(
        request_id=request_id,
        customer_id="c",
        service_id="s",
        model="m",
        adapter="",
        priority=Priority.NORMAL,
        deadline_ms=deadline_ms,
        is_idempotent=key is None,
        idempotency_key=key,
        fingerprint=fingerprint,
        prefix_hashes=(),
        n_input_tokens=1,
        n_max_output_tokens=1,
    )


def connect(state, endpoint_id, incarnation=1, now_ms=0):
    """Connect an endpoint; return the effects."""
    names = frozenset("s"), frozenset("m"), frozenset()
    info = EndpointInfo(endpoint_id, "d", *names, 4, incarnation)
    return reduce(state, EndpointConnected(info), now_ms)


def start_entry(n_endpoints=3, **options):
    """Return the state of an entry with endpoints ``x0``, ``x1``, ..."""
    state = EntryState.from_config(EntryConfig("e", **options))
    for i in range(n_endpoints):
        connect(state, f"x{i}")
    return state


def submit(state, spec, now_ms=0):
    """Send a request; return its dispatch, or None if it was not dispatched."""
    effects = reduce(state, RequestArrived(spec), now_ms)
    return next((e for e in effects if isinstance(e, Dispatch)), None)


def lose_endpoint(state, dispatch, now_ms, n_bytes=0):
    """Lose the endpoint of an attempt in the order in which the runtime reports it."""
    event = AttemptBroken(
        dispatch.attempt_id, Reason.ENDPOINT_LOST, n_bytes, True, dispatch.endpoint_id
    )
    effects = reduce(state, event, now_ms)
    return effects + reduce(state, EndpointLost(dispatch.endpoint_id), now_ms)


def select_effects(effects, kind):
    """Return the effects of one type, or of one of several types."""
    return [effect for effect in effects if isinstance(effect, kind)]


def test_late_answer_is_ignored_and_unknown_attempt_closes_the_connection():
    """Guards against a second answer and a connection closed for a late answer."""
    state = start_entry()
    dispatch = submit(state, make_spec("r"))
    finished = AttemptFinished(
        dispatch.attempt_id, 200, 1, Usage(), dispatch.endpoint_id
    )
    assert select_effects(reduce(state, finished, 1), Complete)
    assert reduce(state, finished, 2) == []
    foreign = AttemptFinished("other.1.1", 200, 1, Usage(), "x0")
    assert reduce(state, foreign, 3) == [CloseConnection("x0")]


def test_stream_that_cannot_be_resumed_is_rejected_before_its_deadline():
    """Guards against a broken stream that waits until its deadline or starts again.

    The endpoint does not reconnect in time, or has restarted and lost the stream.
    """
    state = start_entry()
    for request_id, event in (("a", TimerFired("resume:a")), ("b", None)):
        dispatch = submit(state, make_spec(request_id, request_id), 10)
        assert not select_effects(
            lose_endpoint(state, dispatch, 20, n_bytes=9), (Dispatch, Reject)
        )
        if event is not None:
            effects = reduce(state, event, 3_020)
            connect(state, dispatch.endpoint_id, 1, 3_030)
        else:
            effects = connect(state, dispatch.endpoint_id, 2, 30)
        (final,) = select_effects(effects, Reject)
        assert final.rejection.outcome is Outcome.UNKNOWN
        assert final.rejection.reason is Reason.ENDPOINT_LOST


def test_unavailable_table_rejects_only_keyed_requests_before_their_deadline():
    """Guards against requests that wait for a claim until their deadline."""
    state = start_entry()
    assert submit(state, make_spec("keyed", key="k")) is None
    (write,) = select_effects(reduce(state, TimerFired("claims:flush"), 5), WriteClaims)
    reduce(state, ClaimsUnanswered(write.batch_id), 6)
    assert submit(state, make_spec("later", key="l"), 7) is None
    assert not select_effects(
        reduce(state, TimerFired("claims:flush"), 12), WriteClaims
    )
    assert submit(state, make_spec("idempotent"), 13) is not None
    for request_id in ("keyed", "later"):
        (final,) = reduce(state, TimerFired(f"claim:{request_id}"), 1_010)[:1]
        assert final.rejection.reason is Reason.CLAIM_STORE_UNAVAILABLE
        assert final.rejection.outcome is Outcome.NOT_RUN
    (retried,) = select_effects(
        reduce(state, TimerFired("claims:flush"), 1_020), WriteClaims
    )
    # A claim that was never sent needs no further write.
    assert [w.request_id for w in retried.writes] == ["keyed"]
    assert retried.writes[0].state is ClaimState.ABANDONED


def test_suspect_does_not_run_while_its_fingerprint_is_held():
    """Guards against a third endpoint lost before a crash can be confirmed."""
    state = start_entry()
    reduce(state, DigestReceived("peer", 1, (), ("p",)), 0)
    dispatch = submit(state, make_spec("r1", "p"), 1)
    assert dispatch.is_isolated
    reduce(state, AttemptAccepted(dispatch.attempt_id, dispatch.endpoint_id), 2)
    (final,) = select_effects(lose_endpoint(state, dispatch, 3), Reject)
    assert final.rejection.reason is Reason.ENDPOINT_LOST
    # Other entries do not hold the fingerprint, so the caller must wait for the hold.
    assert final.rejection.retry_after_ms == HOLD_MS
    assert submit(state, make_spec("r2", "p"), 4) is None
    effects = connect(state, dispatch.endpoint_id, 2, 5)
    (final,) = select_effects(effects, Reject)
    assert final.request_id == "r2"
    assert final.rejection.reason is Reason.CRASHES_ENDPOINTS


def test_hedge_runs_isolated_and_keeps_the_minimum_of_the_budget():
    """Guards against a hedge that loses a third endpoint or uses up the retries."""
    state = start_entry(hedge_after_ms=10)
    first = submit(state, make_spec("r0", "f0"))
    assert not select_effects(
        reduce(state, TimerFired(f"hedge:{first.attempt_id}"), 10), Dispatch
    )
    for i in range(1, 10):
        dispatch = submit(state, make_spec(f"r{i}", f"f{i}"))
    effects = reduce(state, TimerFired(f"hedge:{dispatch.attempt_id}"), 10)
    (hedge,) = select_effects(effects, Dispatch)
    assert hedge.is_isolated
    assert hedge.endpoint_id != dispatch.endpoint_id


def test_block_expires_although_peers_repeat_it_and_tables_stay_bounded():
    """Guards against a block that entries renew through each other's digests."""
    table = PoisonTable(n_max=2)
    for now_ms in range(0, 600_000, 100_000):
        table.block("f", now_ms, is_own=False)
    assert table.digest(599_999) == ((), ())
    assert table.is_blocked("f", 599_999)
    assert not table.is_blocked("f", 600_000)
    for name in "abcd":
        table.block(name, 0, is_own=True)
        table.suspect(name + name, 0, is_own=True)
        table.hold(name, "x", 1, True, 0)
    assert table.digest(1) == (("c", "d"), ("cc", "dd"))
    assert len(table._holds) == 2


def test_restart_confirms_a_crash_only_right_after_the_loss():
    """Guards against a fingerprint blocked for a later, unrelated restart."""
    table = PoisonTable()
    table.hold("f", "x", 1, True, 0)
    assert table.resolve_holds("x", 1, 10) == []
    assert table.resolve_holds("x", 2, 20) == []
    table.hold("f", "x", 1, True, 30)
    assert table.resolve_holds("x", 2, 40) == ["f"]


def test_requests_of_a_pool_without_endpoints_are_rejected_after_the_grace_period():
    """Guards against requests that wait until their deadline without any endpoint."""
    state = start_entry(n_endpoints=1)
    for i in range(5):
        submit(state, make_spec(f"r{i}", f"f{i}"))
    reduce(state, EndpointDraining("x0"), 10)
    (final,) = select_effects(reduce(state, TimerFired("wake"), 1_010), Reject)
    assert final.rejection.reason is Reason.NO_ENDPOINT
    (final,) = reduce(state, RequestArrived(make_spec("late")), 1_011)
    assert final.rejection.reason is Reason.NO_ENDPOINT


def test_every_table_is_bounded():
    """Guards against memory that grows with the traffic or during a store outage."""
    state = start_entry(n_endpoints=2, n_max_requests=3, n_max_endpoints=2)
    assert connect(state, "x2") == [CloseConnection("x2")]
    for i in range(9_000):
        dispatch = submit(state, make_spec(f"r{i}", f"f{i}"))
        reduce(state, AttemptFinished(dispatch.attempt_id, 200, 1, Usage()), 1)
    assert len(state.ended_attempts) <= 4_096
    assert not state.request_by_id and not state.poison._n_running
    for i in range(4):
        submit(state, make_spec(f"held{i}", f"f{i}"))
    assert len(state.request_by_id) == 3
    claims = ClaimTable("e")
    for i in range(20_050):
        claims.claim(make_spec(f"r{i}", key=f"k{i}"), 0)
        write = claims._unsent.pop(f"r{i}")
        claims.record(write, ClaimState.ABANDONED, "", 0)
    assert len(claims._outcomes) == 20_000


def test_budget_spends_its_minimum_and_a_tenth_of_the_requests():
    """Guards against retry storms: the budget is a minimum plus a share of requests."""
    budget = RetryBudget(n_min=2, percent=10)
    n_spent = sum(budget.try_spend() for _ in range(5))
    for _ in range(100):
        budget.earn()
        n_spent += budget.try_spend()
    assert n_spent == 12
