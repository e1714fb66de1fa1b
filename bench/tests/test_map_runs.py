"""Replays of sudden changes of popularity with counts that are samples."""

import pytest

from bench.map_runs import SITES, run_map_policy

MAX_COPIED_SHARE = 1 / 3
MAX_SKEW_RATIO = 1.05


@pytest.mark.parametrize("site_name", ["12x4x72", "12x3x96"])
@pytest.mark.parametrize("seed", [1, 2])
def test_copies_pay_for_themselves(site_name, seed):
    """Guards against weights that are copied after every sample of a few prompts.

    The bounds are those asked for: a third of the bytes that plans on the last counts
    move without a price, at a mean skew at most 5 in 100 higher.
    """
    site = SITES[site_name]
    before = run_map_policy(site, "rank-bounded.last-counts.free", seed)
    after = run_map_policy(site, "rank-bounded", seed)
    assert after.n_gb <= MAX_COPIED_SHARE * before.n_gb
    assert after.mean_skew <= MAX_SKEW_RATIO * before.mean_skew


def test_maps_that_change_at_a_price_still_beat_none():
    """Guards against a price that leaves popular experts on one rank."""
    site = SITES["12x4x72"]
    none = run_map_policy(site, "none", 1)
    priced = run_map_policy(site, "rank-bounded", 1)
    assert priced.mean_pass < none.mean_pass / 1.5
