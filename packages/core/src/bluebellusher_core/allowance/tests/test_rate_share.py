"""Guards against exceeded rates, and against entries that never get a share."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.allowance import RateShare

PERIOD_MS = 1_000


def _shares(limit, n_entries):
    return [RateShare(limit, PERIOD_MS, n_entries, i) for i in range(n_entries)]


@given(
    limit=st.integers(1, 30),
    n_entries=st.integers(1, 6),
    requests=st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 400), st.booleans()), max_size=200
    ),
)
def test_property_requests_in_a_period_stay_within_the_limit(
    limit, n_entries, requests
):
    """Guards against entries that together admit more requests than the limit."""
    shares = _shares(limit, n_entries)
    n_admitted_by_period: dict[int, int] = {}
    wall_ms = 0
    for number, (index, gap_ms, is_settled) in enumerate(requests):
        wall_ms += gap_ms
        share = shares[index % n_entries]
        if share.reserve(f"r{number}", 1, wall_ms):
            period = wall_ms // PERIOD_MS
            n_admitted = n_admitted_by_period.get(period, 0) + 1
            n_admitted_by_period[period] = n_admitted
            if is_settled:
                share.settle(f"r{number}", 1)
                share.settle(f"r{number}", 0)
    assert all(n <= limit for n in n_admitted_by_period.values())


@given(st.integers(1, 30), st.integers(1, 6), st.integers(0, 100))
def test_property_shares_add_up_and_every_entry_gets_one(limit, n_entries, period):
    """Guards against a remainder that is lost, doubled or always at the same entry."""
    shares = _shares(limit, n_entries)
    assert sum(share.units_in_period(period) for share in shares) == limit
    for share in shares:
        assert sum(share.units_in_period(period + i) for i in range(n_entries)) == limit
        next_share_ms = share.ms_until_next_share(period * PERIOD_MS)
        assert share.units_in_period(period + next_share_ms // PERIOD_MS) > 0


def test_unused_units_are_returned_and_a_clock_set_back_admits_nothing():
    """Guards against unused units that are lost, and against units used twice."""
    share = RateShare(10, PERIOD_MS, 1, 0)
    assert share.reserve("a", 10, wall_ms=5_000)
    assert not share.reserve("b", 1, wall_ms=5_100)
    share.settle("a", 4)
    assert share.reserve("b", 6, wall_ms=5_200)
    assert not share.reserve("c", 1, wall_ms=4_999)
    assert not share.reserve("c", 1, wall_ms=5_300)


def test_request_above_a_whole_share_is_paid_off_by_later_periods():
    """Guards against a long request that is always rejected, or costs nothing."""
    share = RateShare(10, PERIOD_MS, 2, 0)
    assert share.reserve("a", 14, wall_ms=0)
    assert not share.reserve("b", 1, wall_ms=10)
    assert not share.reserve("b", 2, wall_ms=2_000)
    assert share.reserve("b", 1, wall_ms=2_000)


@given(
    st.integers(1, 50),
    st.lists(
        st.tuples(st.integers(1, 200), st.integers(0, 3_000), st.integers(0, 200))
    ),
)
def test_property_tokens_over_many_periods_stay_within_the_limit(limit, requests):
    """Guards against long requests whose tokens exceed the limit over many periods."""
    share = RateShare(limit, PERIOD_MS, 1, 0)
    wall_ms, n_used, largest = 0, 0, 0
    for number, (n_units, gap_ms, n_actual) in enumerate(requests):
        wall_ms += gap_ms
        if share.reserve(f"r{number}", n_units, wall_ms):
            n_used += min(n_actual, n_units)
            largest = max(largest, n_units)
            share.settle(f"r{number}", n_actual)
    assert n_used <= limit * (wall_ms // PERIOD_MS + 1) + largest


def test_index_outside_the_entries_is_an_error():
    """Guards against shares that add up to more than the limit."""
    with pytest.raises(ValueError, match="entry_index=2"):
        RateShare(10, PERIOD_MS, 2, 2)


def test_units_of_an_earlier_period_are_not_returned_to_the_current_one():
    """Guards against a late settlement that raises the rate of the current period."""
    share = RateShare(10, PERIOD_MS, 1, 0)
    assert share.reserve("a", 10, wall_ms=0)
    assert share.reserve("b", 10, wall_ms=1_000)
    share.settle("a", 0)
    assert not share.reserve("c", 1, wall_ms=1_100)
