"""Common contract of every routing policy, and decisions of ``PredictedLatency``."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.events import EndpointInfo, LoadReported, Priority, RequestSpec
from bluebellusher_core.routing import (
    EndpointView,
    LeastInFlight,
    PredictedLatency,
    PrefixHash,
    RoundRobin,
    TwoChoices,
)

POLICIES = [RoundRobin, LeastInFlight, TwoChoices, PrefixHash, PredictedLatency]
PREFIXES = tuple(range(100, 110))


def make_request(prefix_hashes=PREFIXES, n_input_tokens=2560):
    """Return a request with the given prompt."""
    return RequestSpec(
        request_id="r",
        customer_id="c",
        service_id="chat",
        model="model",
        adapter="",
        priority=Priority.NORMAL,
        deadline_ms=10**9,
        is_idempotent=True,
        idempotency_key=None,
        fingerprint="f",
        prefix_hashes=prefix_hashes,
        n_input_tokens=n_input_tokens,
        n_max_output_tokens=100,
    )


def make_report(endpoint_id, n_running=0, age_ms=0, sequence=1):
    """Return a load report of an engine with 16 slots."""
    names = frozenset({"model"}), frozenset()
    return LoadReported(
        endpoint_id, sequence, n_running, 0, 0, 16, 0.5, *names, age_ms=age_ms
    )


def make_view(endpoint_id, n_running=None, **fields):
    """Return a view; without ``n_running`` it has no report."""
    sets = frozenset({"chat"}), frozenset({"model"}), frozenset()
    view = EndpointView(EndpointInfo(endpoint_id, "north", *sets, n_slots=16))
    if n_running is not None:
        view.report = make_report(endpoint_id, n_running)
    for name, value in fields.items():
        setattr(view, name, value)
    return view


@st.composite
def any_views(draw):
    """Return views in any state, including inconsistent ones."""
    views = []
    for index in range(draw(st.integers(0, 20))):
        n_running = draw(st.none() | st.integers(0, 40))
        view = make_view(f"e{index}", n_running)
        view.is_draining = draw(st.booleans())
        view.is_isolating = draw(st.booleans())
        view.n_own_in_flight = draw(st.integers(0, 30))
        view.own_ended_at_ms = [5] * draw(st.integers(0, 9))
        view.own_dispatched_at_ms = [5] * draw(st.integers(0, 9))
        view.unanswered_at_ms = {"a": draw(st.integers(0, 50_000))}
        view.own_predicted_ms = draw(st.sampled_from([0.0, 50.0]))
        view.own_ttft_ms = draw(st.floats(0, 1000))
        view.cached_prefixes = set(PREFIXES[: draw(st.integers(0, 9))])
        views.append(view)
    return views


@pytest.mark.parametrize("policy_type", POLICIES)
@given(views=any_views(), seed=st.integers(0, 9), now_ms=st.integers(0, 90_000))
def test_property_common_contract(policy_type, views, seed, now_ms):
    """Guards against work for a draining endpoint and against unseeded randomness."""
    request = make_request(PREFIXES[: seed + 1] if seed else ())
    chosen = [
        policy_type().choose(request, views, now_ms, Random(seed)) for _ in range(2)
    ]
    assert chosen[0] == chosen[1]
    usable_ids = {
        v.info.endpoint_id for v in views if not (v.is_draining or v.is_isolating)
    }
    assert chosen[0] in usable_ids or chosen[0] is None
    # An endpoint without progress for 3 s may be skipped while others are full
    # (test_unresponsive_endpoint_gets_no_work_when_others_are_full).
    has_capacity = any(
        v.n_own_in_flight < 2 and now_ms - v.unanswered_at_ms["a"] <= 3_000
        for v in views
        if v.info.endpoint_id in usable_ids
    )
    if has_capacity and len(usable_ids) <= 12:
        assert chosen[0] is not None


@pytest.mark.parametrize("policy_type", POLICIES)
def test_every_policy_uses_more_than_one_endpoint(policy_type):
    """Guards against a policy that sends all requests to the same endpoint."""
    policy, random_state = policy_type(), Random(1)
    views = [make_view(f"e{index}", 0) for index in range(6)]
    used = Counter()
    for n in range(120):
        request = make_request((n * 7919,))
        endpoint_id = policy.choose(request, views, 0, random_state)
        used[endpoint_id] += 1
        views[int(endpoint_id[1:])].n_own_in_flight = used[endpoint_id] // 10
    assert len(used) >= 5


def choose(views, now_ms=0, seed=1, **parameters):
    """Return the choice of ``PredictedLatency`` in the failure domain of the views."""
    policy = PredictedLatency("north", **parameters)
    return policy.choose(make_request(), views, now_ms, Random(seed))


def test_cached_prefix_is_preferred_until_its_endpoint_is_loaded():
    """Guards against ignored cached prefixes, and against a hot spot due to them."""
    cached = make_view("e0", 0, cached_prefixes=set(PREFIXES))
    other = make_view("e1", 0)
    assert choose([cached, other]) == "e0"
    cached.n_own_queued_tokens = 10_000
    assert choose([cached, other]) == "e1"


def test_own_dispatches_since_the_report_count():
    """Guards against a burst of requests to the endpoint that last reported idle."""
    views = [make_view("e0", 2), make_view("e1", 6)]
    assert choose(views) == "e0"
    views[0].n_own_in_flight = 10
    views[0].own_dispatched_at_ms = [0] * 10
    assert choose(views) == "e1"


def test_entries_with_the_same_stale_report_choose_different_endpoints():
    """Guards against four entries that overload the only idle endpoint."""
    used = Counter()
    for seed in range(4):
        views = [make_view(f"e{i}", 10 * (i > 0), n_own_in_flight=2) for i in range(9)]
        views[0].n_own_in_flight = 0
        for view in views:
            view.report = make_report(view.info.endpoint_id, 8 * (view is not views[0]))
            view.reported_at_ms = -5000
        for _ in range(9):
            endpoint_id = choose(views, seed=seed)
            used[endpoint_id] += 1
            views[int(endpoint_id[1:])].n_own_in_flight += 1
    assert used["e0"] <= 16, "the batch of the idle endpoint overflows"


def test_unresponsive_endpoint_gets_no_work_when_others_are_full():
    """Guards against a frozen endpoint that collects requests under overload."""
    frozen = make_view("e0", 3, own_ttft_ms=100.0, own_predicted_ms=100.0)
    frozen.unanswered_at_ms = {"a": 0}
    full = make_view("e1", 19, n_own_in_flight=3)
    assert choose([frozen, full], now_ms=300) == "e0"
    assert choose([frozen, full], now_ms=4_000) is None


def test_endpoints_are_used_when_all_seem_unresponsive():
    """Guards against an entry that dispatches nothing after it was suspended."""
    views = [make_view(f"e{i}", 0, own_ttft_ms=100.0) for i in range(3)]
    for view in views:
        view.unanswered_at_ms = {"a": 0}
    assert choose(views, now_ms=60_000) is not None
    views[2].unanswered_at_ms = {}
    assert choose(views, now_ms=60_000) == "e2"


@pytest.mark.parametrize("age_ms", [None, 20_000])
def test_own_attempts_decide_without_recent_reports(age_ms):
    """Guards against old reports that take precedence over own attempts."""
    views = [make_view("e0"), make_view("e1")]
    views[0].n_own_in_flight = 3
    if age_ms is not None:
        views[0].report = make_report("e0", 3, age_ms)
        views[1].report = make_report("e1", 16, age_ms)
    assert choose(views) == "e1"


def test_full_endpoint_is_used_again_when_its_report_is_too_old():
    """Guards against endpoints that stay full because their reports have stopped."""
    view = make_view("e0", 19, n_own_in_flight=3)
    assert choose([view], now_ms=1_000) is None
    assert choose([view], now_ms=20_000) == "e0"


def test_frozen_and_slow_endpoints_get_no_work_until_they_recover():
    """Guards against one bad endpoint that raises the 95th percentile latency."""
    frozen = make_view("e0", 0, unanswered_at_ms={"a": 0})
    healthy = make_view("e1", 9)
    assert choose([frozen, healthy], now_ms=1) == "e0"
    assert choose([frozen, healthy], now_ms=2_000) == "e1"
    frozen.last_progress_at_ms = 2_000
    assert choose([frozen, healthy], now_ms=2_001) == "e0"
    slow = make_view("e2", 0, own_ttft_ms=300.0, own_predicted_ms=100.0)
    # A common prediction error must not make every endpoint seem fast.
    observed = {"own_ttft_ms": 50.0, "own_predicted_ms": 100.0}
    others = [make_view(f"e{n}", 9, **observed) for n in (3, 4)]
    assert choose([slow, *others]) != "e2"
    slow.own_ttft_ms = 100.0
    assert choose([slow, *others]) != "e2"
    assert choose([slow, *others], now_ms=100_000) == "e2"


def test_full_endpoints_are_not_chosen_but_keep_a_share_for_each_entry():
    """Guards against long queues in engines, and against an entry that gets no slot."""
    full = make_view("e0", 19, n_own_in_flight=3)
    assert choose([full]) is None
    full.n_own_in_flight = 1
    assert choose([full]) == "e0"


def test_best_prefix_match_outside_of_the_sample_is_considered():
    """Guards against ignored cached prefixes when there are many candidates."""
    views = [make_view(f"e{index}", 0) for index in range(100)]
    views[70].cached_prefixes = set(PREFIXES)
    assert {choose(views, seed=seed) for seed in range(20)} == {"e70"}


def test_invalid_parameters_raise_value_error():
    """Guards against invalid parameters that fail only at the first decision."""
    with pytest.raises(ValueError, match="n_sample=0"):
        PredictedLatency(n_sample=0)
    with pytest.raises(ValueError, match="prefill_tokens_per_ms=0"):
        PredictedLatency(prefill_tokens_per_ms=0)
    with pytest.raises(ValueError, match="n_blocks=0"):
        PrefixHash(n_blocks=0)
