"""Replays of loads on several failure domains, in virtual time."""

from dataclasses import replace

from bench.experiment._domain_loads import RANKS, make_loads
from bench.experiment.domains import run_day, summarize
from bluebellusher_core.domain_traffic import TrafficPrice

MIDDLE = TrafficPrice(price_per_gb=3_000.0, answer_value=2.0)


def run(day, rule="shares", price=MIDDLE, seeds=(1, 2)):
    """Return the mean figures of the days with these seeds."""
    return summarize([run_day(day, rule, price, seed) for seed in seeds])


def test_no_traffic_without_a_gain():
    """Guards against bytes that leave domains with an even and moderate load."""
    figures = run(replace(RANKS, load=0.4))
    assert figures["left"] < 0.01
    assert run(replace(RANKS, load=0.4), "today")["left"] > 0.02


def test_swing_out_of_phase_is_shared_without_oscillation():
    """Guards against a herd, an oscillation, and domains that send to each other."""
    for name in ("ranks.swing-out-of-phase", "ranks.64-entries"):
        day = make_loads()[name]
        figures, local = run(day), run(day, "only-if-full")
        assert figures["net"] > local["net"] + 0.02
        assert figures["mutual"] < 0.02
        # A rule that sends all or nothing exceeds this.
        assert figures["jump"] < 0.1


def test_uneven_plain_endpoints_share_their_load():
    """Guards against queues in domains with fewer endpoints, which send no reports."""
    day = make_loads()["plain.high"]
    assert run(day)["net"] > run(day, "only-if-full")["net"] + 0.08


def test_entries_that_are_cut_off_serve_their_callers():
    """Guards against requests that wait for a domain which cannot be reached."""
    day = make_loads()["ranks.entries-cut-off"]
    assert run(day)["net"] > run(day, "only-if-full")["net"]
    assert run(day)["lost"] < 0.01


def test_lost_domain_is_replaced_by_the_others():
    """Guards against requests that fail while two domains have capacity."""
    day = make_loads()["ranks.domain-gone"]
    figures = run(day)
    assert figures["net"] > run(day, "only-if-full")["net"] - 0.01
    assert figures["mutual"] < 0.03


def test_price_reduces_the_traffic():
    """Guards against a price without effect."""
    day = make_loads()["ranks.swing-out-of-phase"]
    high = TrafficPrice(price_per_gb=40_000.0, answer_value=1.0)
    assert run(day, price=high)["left"] < 0.8 * run(day)["left"]
