"""Estimate of the popularity of experts from sampled counts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.balance import PopularityTracker

SHIFTED_COUNTS = [[1.0, 1.0, 1.0, 40.0]]


def test_counts_of_few_prompts_are_averaged():
    """Guards against shares that follow the few prompts of one interval."""
    tracker = PopularityTracker()
    for index in range(8):
        sample = [10.0, 10.0, 10.0, 10.0]
        sample[index % 2] += 4.0
        tracker.observe([sample])
    first, second, *_ = tracker.shares[0]
    assert abs(first - second) < 4.0 / 44.0


def test_abrupt_change_replaces_the_average_at_once():
    """Guards against shares that average counts from before and after a change."""
    tracker = PopularityTracker()
    for index in range(8):
        sample = [10.0, 10.0, 10.0, 10.0]
        sample[index % 4] += 1.0
        tracker.observe([sample])
    tracker.observe(SHIFTED_COUNTS)
    assert tracker.shares[0][3] == pytest.approx(40 / 43)


def test_interval_without_choices_is_accepted():
    """Guards against a division by zero after an interval in which a group was idle."""
    tracker = PopularityTracker()
    tracker.observe([[0.0, 0.0]])
    tracker.observe([[1.0, 1.0]])
    assert sum(tracker.shares[0]) <= 1.0


@given(
    st.lists(
        st.lists(st.floats(0, 1e9), min_size=5, max_size=5), min_size=1, max_size=20
    )
)
def test_shares_form_a_distribution(samples):
    """Guards against shares that the validation of loads refuses."""
    tracker = PopularityTracker()
    for sample in samples:
        tracker.observe([sample])
    assert all(share >= 0 for share in tracker.shares[0])
    assert sum(tracker.shares[0]) <= 1.0 + 1e-9
