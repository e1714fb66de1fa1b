"""Choices of ``DomainAware`` with given loads."""

from dataclasses import replace
from random import Random

import pytest

from bluebellusher_core.domain_traffic import TrafficPrice
from bluebellusher_core.events import (
    EndpointConnected,
    EndpointInfo,
    LoadReported,
    Priority,
    RequestSpec,
)
from bluebellusher_core.membership import Endpoints
from bluebellusher_core.routing import DomainAware

N_SLOTS = 5
POOL = ("s", "", "")
NONE: frozenset[str] = frozenset()
REQUEST = RequestSpec(
    request_id="r",
    customer_id="c",
    service_id="s",
    model="",
    adapter="",
    priority=Priority.NORMAL,
    deadline_ms=9_000,
    is_idempotent=True,
    idempotency_key=None,
    fingerprint="",
    prefix_hashes=(),
    n_input_tokens=868,
    n_max_output_tokens=96,
    objective_at_ms=1_500,
)


def make_endpoints(n_running_by_domain, reported_at_ms=900, n_endpoints=6):
    """Return endpoints of each domain with a report of their running requests."""
    endpoints = Endpoints(100, queue_factor=1.0)
    for domain, n_running in n_running_by_domain.items():
        for index in range(n_endpoints):
            info = EndpointInfo(
                f"{domain}{index}", domain, frozenset({"s"}), NONE, NONE, N_SLOTS
            )
            endpoints.connect(EndpointConnected(info), 0)
            report = LoadReported(
                info.endpoint_id, 1, n_running, 0, 0, N_SLOTS, 0.0, NONE, NONE, 0
            )
            endpoints.record_load_report(report, reported_at_ms)
    return endpoints


def make_policy(endpoints, price_per_gb=3_000.0):
    """Return the policy of an entry in domain ``a``."""
    policy = DomainAware("a", TrafficPrice(price_per_gb, 1.0), endpoints)
    policy.count_entries = lambda: 3
    return policy


def count_leaving(policy, request=REQUEST, n_requests=300, start_ms=1_000):
    """Return how many of the requests, 1 ms apart, are sent to another domain.

    The reports stay as they are, so that only the first decisions are realistic.
    """
    random_state, n_leaving = Random(1), 0
    for index in range(n_requests):
        now_ms = start_ms + index
        views = policy.endpoints.views_with_capacity(POOL, now_ms)
        spec = replace(request, objective_at_ms=now_ms + 500)
        chosen = policy.choose(spec, views, now_ms, random_state)
        n_leaving += not chosen.startswith("a")
    return n_leaving


def test_requests_leave_an_overloaded_domain_only():
    """Guards against traffic without a gain, and against an overloaded domain."""
    assert count_leaving(make_policy(make_endpoints({"a": 1, "b": 0, "c": 0}))) == 0
    n_leaving = count_leaving(make_policy(make_endpoints({"a": 4, "b": 1, "c": 1})))
    assert 20 < n_leaving < 290


def test_no_request_waits_for_the_own_domain_to_save_bytes():
    """Guards against late requests while other domains have free slots."""
    policy = make_policy(make_endpoints({"a": N_SLOTS, "b": 2}), price_per_gb=1e9)
    assert count_leaving(policy, n_requests=20) == 20


def test_price_does_not_hold_back_the_highest_priority():
    """Guards against requests of priority 0 that are late to save bytes."""
    endpoints = make_endpoints({"a": 4, "b": 1, "c": 1})
    highest = replace(REQUEST, priority=Priority.HIGH)
    n_normal = count_leaving(make_policy(endpoints, 1e6))
    assert n_normal == 0
    assert count_leaving(make_policy(endpoints, 1e6), highest) > 20


def test_nothing_is_sent_by_stale_reports():
    """Guards against a share for a domain that is cut off and seems idle."""
    endpoints = make_endpoints({"a": 4, "b": 0, "c": 0}, reported_at_ms=0)
    for view in endpoints.views_of(POOL):
        if view.info.failure_domain == "a":
            view.reported_at_ms = 20_000
    assert count_leaving(make_policy(endpoints), n_requests=50, start_ms=20_000) == 0


def test_nothing_is_sent_to_a_domain_without_any_report():
    """Guards against a share for a domain that was cut off before this entry started.

    Its endpoints are known from their registrations.
    """
    endpoints = make_endpoints({"a": 4, "b": 0})
    for view in list(endpoints.views_of(POOL)):
        if view.info.failure_domain == "b":
            view.report = None
            endpoints.update_info(replace(view.info, n_slots=20))
    assert count_leaving(make_policy(endpoints)) == 0


def exclude(endpoints, endpoint_id, cause):
    """Take an endpoint out of use, or most of its capacity."""
    if cause == "draining":
        endpoints.drain(endpoint_id)
    elif cause == "paused":
        endpoints.start_pause(endpoint_id, 0, 60_000, 950)
    elif cause == "limited":
        endpoints.limits.record_answer(endpoint_id, 0, 0.2, 940, 950)
    elif cause == "closed":
        closed = replace(
            endpoints.view_by_id[endpoint_id].report, sequence=2, is_open=False
        )
        endpoints.record_load_report(closed, 950)
    elif cause == "failing":
        view = endpoints.view_by_id[endpoint_id]
        view.failure_rate, view.failure_rate_updated_at_ms = 1.0, 1_000


@pytest.mark.parametrize(
    "cause", ["draining", "paused", "limited", "closed", "failing"]
)
def test_domain_that_cannot_serve_is_no_reason_to_send_requests(cause):
    """Guards against requests for an evacuated, cold, closed or unreachable domain.

    Its endpoints seem idle because nothing is sent there.
    """
    endpoints = make_endpoints({"a": 4, "b": 0})
    for index in range(6):
        exclude(endpoints, f"b{index}", cause)
    policy = make_policy(endpoints)
    assert count_leaving(policy) == 0
    load = policy.traffic_by_pool[POOL].load_by_domain.get("b")
    assert load is None or load.n_slots < 6


def test_request_stays_where_its_prompt_is_cached():
    """Guards against prompts that are read again in another domain."""
    endpoints = make_endpoints({"a": 3, "b": 1, "c": 1})
    endpoints.view_by_id["a3"].cached_prefixes.update({11, 12})
    policy = make_policy(endpoints)
    cached = replace(REQUEST, prefix_hashes=(11, 12))
    n_cached, n_other = count_leaving(policy, cached), count_leaving(policy)
    assert n_cached == 0
    assert n_other > 20


def test_large_requests_leave_less_often():
    """Guards against bytes that could stay when small requests could leave instead."""
    policy = make_policy(make_endpoints({"a": 4, "b": 1, "c": 1}))
    random_state, n_leaving = Random(2), {868: 0, 8_680: 0}
    for index in range(480):
        now_ms = 1_000 + index
        n_tokens = 8_680 if index % 4 == 0 else 868
        spec = replace(REQUEST, n_input_tokens=n_tokens, objective_at_ms=now_ms + 500)
        views = policy.endpoints.views_with_capacity(POOL, now_ms)
        chosen = policy.choose(spec, views, now_ms, random_state)
        n_leaving[n_tokens] += not chosen.startswith("a")
    assert n_leaving[8_680] / 120 < 0.8 * n_leaving[868] / 360


def test_choose_without_candidates_returns_none():
    """Guards against an exception when there is no candidate."""
    assert make_policy(make_endpoints({})).choose(REQUEST, [], 0, Random(1)) is None
