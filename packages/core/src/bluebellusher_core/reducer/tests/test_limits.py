"""Limits of the request rate that endpoints name for all entries together."""

import pytest

from bluebellusher_core.errors import Outcome
from bluebellusher_core.reducer.tests._limit_simulation import LimitSimulation

WINDOW_MS = 4_000
# Time after which all entries must keep to a limit, in ms.
CONTACT_MS = 3_000


def allowed(requests_per_s):
    """Return the requests of a window that a limit allows, with its tolerance."""
    return int(1.5 * requests_per_s * WINDOW_MS / 1_000) + 5


@pytest.mark.parametrize("n_entries", [1, 4, 16, 64])
@pytest.mark.parametrize("limit", [0.3, 1.0, 4.0, 12.0])
def test_all_entries_together_keep_to_a_limit(n_entries, limit):
    """Guards against entries that each apply a limit by themselves.

    A quiet time comes before the burst, in which every entry could save requests.
    """
    simulation = LimitSimulation(n_entries=n_entries)
    simulation.limit_by_id["x0"] = limit
    simulation.send_for(3_000, 40)
    since_ms = simulation.now_ms
    simulation.send_for(60_000, 1)
    simulation.send_for(8_000, 300)
    assert simulation.count_most("x0", WINDOW_MS, since_ms) <= allowed(limit)


@pytest.mark.parametrize("n_entries", [1, 4, 16])
def test_limited_endpoint_stays_in_use(n_entries):
    """Guards against an endpoint that gets far fewer requests than it takes."""
    simulation = LimitSimulation(n_entries=n_entries)
    simulation.limit_by_id["x0"] = 2.0
    simulation.send_for(3_000, 100)
    since_ms = simulation.now_ms
    simulation.send_for(20_000, 100)
    n_arrivals = sum(at >= since_ms for at, _ in simulation.arrivals_by_id["x0"])
    assert n_arrivals >= 0.8 * 2.0 * 20


@pytest.mark.parametrize(
    ("n_entries", "limit"), [(1, 0.0), (1, 1.0), (4, 1.0), (16, 1.0)]
)
def test_traffic_returns_after_the_end_of_a_limit(n_entries, limit):
    """Guards against a limit that is believed although no answer names it any more."""
    simulation = LimitSimulation(n_entries=n_entries)
    simulation.limit_by_id["x0"] = limit
    simulation.send_for(10_000, 60)
    del simulation.limit_by_id["x0"]
    simulation.send_for(3_000 if limit else 10_000, 60)
    since_ms = simulation.now_ms
    simulation.send_for(4_000, 60)
    n_arrivals = sum(at >= since_ms for at, _ in simulation.arrivals_by_id["x0"])
    assert n_arrivals >= 0.5 * 60 * 4 / len(simulation.endpoint_ids)


def test_answer_to_an_earlier_attempt_does_not_end_a_limit():
    """Guards against answers without a limit that were written before it was named."""
    simulation = LimitSimulation(n_entries=1)
    limits = simulation.state_by_id["e0"].endpoints.limits
    assert limits.record_answer("x0", 1, 1.0, sent_at_ms=100, now_ms=200)
    assert not limits.record_answer("x0", 1, None, sent_at_ms=150, now_ms=201)
    assert limits.is_limited("x0")
    assert limits.record_answer("x0", 1, None, sent_at_ms=250, now_ms=300)
    assert not limits.is_limited("x0")


def test_request_is_rejected_at_once_when_all_limits_are_used_up():
    """Guards against requests that wait for an endpoint that takes none in time."""
    simulation = LimitSimulation(n_entries=1, n_endpoints=2)
    for endpoint_id in simulation.endpoint_ids:
        simulation.limit_by_id[endpoint_id] = 0.2
    simulation.send_for(3_000, 20)
    simulation.rejections.clear()
    simulation.send("e0")
    ((at_ms, rejection),) = simulation.rejections
    assert at_ms == simulation.now_ms
    assert rejection.outcome is Outcome.NOT_RUN
    assert rejection.retry_after_ms > 0


@pytest.mark.parametrize("seed", range(24))
def test_limit_is_kept_while_entries_come_and_go(seed):
    """Guards against shares that no longer add up when entries change.

    Entries are killed, start again, join and are cut off, with uneven traffic. Those
    that were killed or cut off are excused, as the endpoint's platform excuses them.
    """
    simulation = LimitSimulation(seed, n_entries=3 + seed % 8)
    draw = simulation.random
    limit = draw.choice([0.5, 1.0, 1.2, 3.0, 8.0])
    simulation.limit_by_id["x0"] = limit
    weights = [draw.choice([1, 1, 5, 20]) for _ in range(40)]
    simulation.send_for(CONTACT_MS, 60, weights)
    since_ms, excused_ids = simulation.now_ms, set()
    for i in range(12):
        entry_id = draw.choice(list(simulation.state_by_id))
        kind = draw.randrange(5)
        if kind == 0 and len(simulation.state_by_id) > 2:
            simulation.kill_entry(entry_id)
            excused_ids.add(entry_id)
        elif kind == 1:
            simulation.start_entry(entry_id)
            excused_ids.add(entry_id)
        elif kind == 2:
            simulation.start_entry(f"new{i}")
        elif kind == 3:
            simulation.cut_ids.add(entry_id)
            excused_ids.add(entry_id)
            simulation.connect_entries()
        else:
            simulation.cut_ids.clear()
            simulation.connect_entries()
        simulation.send_for(
            draw.randint(500, 3_000), draw.choice([10, 60, 200]), weights
        )
    n_most = simulation.count_most("x0", WINDOW_MS, since_ms, excused_ids)
    assert n_most <= allowed(limit)
