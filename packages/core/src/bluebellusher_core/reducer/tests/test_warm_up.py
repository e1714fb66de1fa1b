"""Endpoints that warm up get requests only at the rate of their service."""

import pytest

from bluebellusher_core.effects import LogEvent
from bluebellusher_core.events import (
    EndpointInfo,
    EndpointRegistered,
    MembersListed,
    PeersConnected,
    WarmUpMark,
    WarmUpSource,
    WarmUpsReported,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._warm_up_simulation import WarmUpSimulation

REQUESTS_PER_S = 18
WINDOW_MS = 1_000
# Requests that may reach a cold endpoint within one second.
N_MAX = 32


@pytest.mark.parametrize("n_entries", [13, 64])
def test_cold_endpoint_survives_the_restart_of_all_entries(n_entries):
    """Guards against entries without memory that each send to the only idle endpoint.

    They start at the same time and do not know each other, and the other endpoints
    refuse their requests, which are sent again.
    """
    simulation = WarmUpSimulation(n_entries, n_endpoints=4)
    simulation.full_ids = {"x1", "x2", "x3"}
    simulation.cold_until_by_id["x0"] = simulation.now_ms + 3_000
    simulation.restart_all()
    since_ms = simulation.now_ms
    simulation.send_for(2_500, 200)
    assert simulation.count_most("x0", WINDOW_MS, since_ms) <= N_MAX


@pytest.mark.parametrize("n_entries", [3, 13, 64])
def test_cold_endpoint_is_used_at_more_than_half_of_its_rate(n_entries):
    """Guards against shares that stay unused while all entries know each other."""
    simulation = WarmUpSimulation(n_entries, n_endpoints=4)
    simulation.full_ids = {"x1", "x2", "x3"}
    simulation.stream_ms = 100
    simulation.run(4_000)
    simulation.cold_until_by_id["x0"] = simulation.now_ms + 13_000
    simulation.run(2_000)
    simulation.arrivals_by_id["x0"].clear()
    simulation.send_for(10_000, 400)
    n_arrivals = len(simulation.arrivals_by_id["x0"])
    assert n_arrivals > 0.5 * REQUESTS_PER_S * 10
    assert simulation.count_most("x0", WINDOW_MS, 0) <= N_MAX


@pytest.mark.parametrize("n_entries", [3, 13, 64])
def test_warm_endpoints_are_served_as_without_a_rate(n_entries):
    """Guards against limits on endpoints that renewed registrations show as warm."""
    arrivals = []
    for requests_per_s in (REQUESTS_PER_S, 0):
        simulation = WarmUpSimulation(n_entries, 4, requests_per_s)
        simulation.stream_ms = 100
        simulation.run(4_000)
        simulation.send_for(3_000, 100)
        arrivals.append(simulation.arrivals_by_id)
    assert arrivals[0] == arrivals[1]


def make_state(member_ids=("e0",)):
    """Return an entry with one endpoint, and a function that reports on it."""
    state = EntryState.from_config(EntryConfig("e0"))
    reduce(state, MembersListed(frozenset(member_ids)), 0)

    def report(source, remaining_ms, now_ms, incarnation=1):
        args = "x0", incarnation, 18.0, 3_000, remaining_ms, source
        return reduce(state, WarmUpsReported((WarmUpMark(*args),)), now_ms)

    report(WarmUpSource.FIRST, 0, 0)
    names = frozenset({"s"}), frozenset(), frozenset()
    reduce(state, EndpointRegistered(EndpointInfo("x0", "d", *names, 5, 1)), 0)
    return state, report


def test_registration_after_a_cut_connection_may_be_older_than_the_cut():
    """Guards against a restarted engine that a late registration shows as warm."""
    state, report = make_state()
    warm_ups = state.endpoints.limits.warm_ups
    report(WarmUpSource.RENEWAL, 0, 100)
    assert not warm_ups.find_remaining_ms("x0", 100)
    warm_ups.record_cut("x0", 200)
    report(WarmUpSource.RENEWAL, 0, 1_000)
    assert warm_ups.find_remaining_ms("x0", 1_000) == 2_200
    report(WarmUpSource.RENEWAL, 0, 1_300)
    assert not warm_ups.find_remaining_ms("x0", 1_300)


def test_answer_of_a_cold_endpoint_limits_it_at_most_for_a_start():
    """Guards against ignored headers, and against a header with an endless time."""
    state, report = make_state()
    report(WarmUpSource.RENEWAL, 0, 100)
    report(WarmUpSource.ANSWER, 10**9, 200)
    assert state.endpoints.limits.warm_ups.find_remaining_ms("x0", 200) == 3_000


def test_requests_to_a_warm_endpoint_count_when_it_becomes_cold():
    """Guards against a burst that continues after the endpoint became cold."""
    state, report = make_state([f"e{i}" for i in range(13)])
    limits = state.endpoints.limits
    report(WarmUpSource.RENEWAL, 0, 1_000)
    for _ in range(5):
        limits.record_dispatch("x0", 1, 1_100)
    report(WarmUpSource.RENEWAL, 3_000, 1_200)
    assert limits.is_exhausted("x0", 1, 2_100)
    assert not limits.is_exhausted("x0", 1, 3_000)


def test_lower_one_of_two_limits_applies():
    """Guards against a limit that an endpoint names and that its warm-up replaces."""
    state, _ = make_state()
    limits = state.endpoints.limits
    assert limits.find_rate("x0", 1, 100) == 15.0
    limits.record_answer("x0", 1, 1.0, 50, 100)
    assert limits.find_rate("x0", 1, 100) == 1.0
    limits.record_answer("x0", 1, 200.0, 150, 200)
    assert limits.find_rate("x0", 1, 200) == 15.0


def test_each_change_of_the_warm_up_is_logged_once():
    """Guards against a log without the reason why an endpoint gets few requests."""
    state, report = make_state()
    names = []
    for at_ms, remaining_ms in ((100, 900), (200, 800), (300, 0), (400, 0)):
        effects = report(WarmUpSource.RENEWAL, remaining_ms, at_ms)
        names += [e.name for e in effects if isinstance(e, LogEvent)]
    effects = reduce(state, WarmUpsReported(), 9_000)
    names += [e.name for e in effects if isinstance(e, LogEvent)]
    assert names == ["endpoint-warming", "endpoint-warm", "endpoint-warming"]
    assert state.endpoints.count_warming(9_000) == 1


def test_new_entry_has_no_share_until_the_others_know_it():
    """Guards against shares in addition to those that the others divide."""
    state = EntryState.from_config(EntryConfig("new"))
    entries = state.endpoints.limits.entries
    assert entries.find_possible_share("x0", 13, 0) is None
    reduce(state, MembersListed(frozenset({"e1", "e2"})), 100)
    assert entries.find_possible_share("x0", 13, 100) is None
    reduce(state, MembersListed(frozenset({"e1", "e2", "new"})), 1_100)
    reduce(state, PeersConnected(frozenset({"e1"})), 1_200)
    assert entries.find_possible_share("x0", 13, 1_200) is None
    reduce(state, PeersConnected(frozenset({"e1", "e2"})), 1_300)
    assert entries.find_possible_share("x0", 13, 1_300).n_holders == 3


def test_choice_of_a_frozen_entry_is_outdated_only_where_a_rate_is_stated():
    """Guards against requests that were chosen before a freeze and sent after it."""
    state, _ = make_state()
    warm_ups = state.endpoints.limits.warm_ups
    assert not warm_ups.is_choice_outdated("x0", 100, 900)
    assert warm_ups.is_choice_outdated("x0", 100, 1_200)
    assert not warm_ups.is_choice_outdated("other", 100, 1_200)


def test_unchanged_registration_shows_a_warm_endpoint_while_the_store_answers():
    """Guards against endpoints that count as cold because nothing has changed.

    The store changes a registration only when more than its heartbeat changes.
    """
    state = EntryState.from_config(EntryConfig("e0"))
    warm_ups = state.endpoints.limits.warm_ups
    mark = WarmUpMark("x0", 1, 18.0, 3_000, 0, WarmUpSource.FIRST)
    reduce(state, WarmUpsReported((mark,)), 0)
    for now_ms in range(500, 10_000, 500):
        reduce(state, WarmUpsReported(table_read_at_ms=now_ms - 100), now_ms)
    assert warm_ups.find_remaining_ms("x0", 9_500) == 0
    assert warm_ups.find_remaining_ms("x0", 12_500) > 0
