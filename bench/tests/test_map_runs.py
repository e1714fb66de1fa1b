"""Policies of expert placement under sudden changes of the popular experts."""

import pytest

from bench.map_runs import SITES, run_map_policy

MAX_LOADED_SHARE = 1 / 3
MAX_SKEW_RATIO = 1.05


@pytest.mark.parametrize("site_name", ["12x4x72", "12x3x96"])
@pytest.mark.parametrize("seed", [1, 2])
def test_price_of_loads_reduces_loaded_bytes_at_similar_skew(site_name, seed):
    """Guards against weight loads that only follow the noise of the counts.

    A planner that has a price of loads and averages the counts may load at most a third
    of the bytes of a planner that has no price and uses the last counts. Its mean skew
    may be at most 5% higher.
    """
    site = SITES[site_name]
    without_price = run_map_policy(site, "rank-bounded.last-counts.free", seed)
    with_price = run_map_policy(site, "rank-bounded", seed)
    assert with_price.loaded_gb <= MAX_LOADED_SHARE * without_price.loaded_gb
    assert with_price.mean_skew <= MAX_SKEW_RATIO * without_price.mean_skew


def test_price_of_loads_still_allows_map_changes_that_shorten_passes():
    """Guards against a price so high that popular experts stay on one rank."""
    site = SITES["12x4x72"]
    without_changes = run_map_policy(site, "none", 1)
    with_price = run_map_policy(site, "rank-bounded", 1)
    assert with_price.mean_pass < without_changes.mean_pass / 1.5
