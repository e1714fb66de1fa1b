"""Tests of admission and of limits on running requests under overload."""

import pytest

from bench.experiment import OverloadLoad, run_overload_day

SHORT = {"duration_ms": 14_000, "burst_begin_ms": 3_000, "burst_end_ms": 11_000}


def run(policy, **options):
    """Return the figures of a short day with a burst."""
    return run_overload_day(OverloadLoad(**{**SHORT, **options}), policy, 1)


@pytest.mark.parametrize("factor", [2.5, 5.0])
def test_burst_leaves_the_first_priority_more_answers_on_time(factor):
    """Guards against a burst in which all answers are late, in no order of priority."""
    before = run("objective", burst_factor=factor)
    after = run("priority", burst_factor=factor)
    assert after["of_capacity"] > 2 * before["of_capacity"]
    assert after["p0"] > 2 * before["p0"]
    assert after["p0"] > after["p1"] >= after["p2"]
    assert after["value"] > before["value"]
    assert after["refused"] < before["refused"] / 2


def test_normal_load_is_not_rejected():
    """Guards against rejections of requests for which there is capacity."""
    figures = run("priority", burst_factor=1.0)
    assert figures["lost"] < 0.05
    assert figures["p0"] > 0.9


def test_normal_load_is_served_as_before():
    """Guards against a loss of service by overload control without an overload."""
    before = run("objective", burst_factor=1.0)
    after = run("priority", burst_factor=1.0)
    assert after["lost"] < 0.02
    assert after["value"] >= before["value"] - 0.02


def test_large_customer_takes_no_share_of_others():
    """Guards against one customer whose burst displaces all others."""
    figures = run("priority", large_customer_share=0.5)
    assert figures["others"] > 1.5 * figures["large"]
