"""Translation of engine reports, expert counts and orders."""

from math import inf

import pytest

from bluebellusher_core.errors import StepError
from bluebellusher_core.ranks import OrderAction, RankOrder

from engine import read_rank_counts, read_report, write_order

REPORT = {
    "group": {"name": "g0-0", "epoch": 2, "rank": 8, "state": "open"},
    "size": 12,
    "queued": 1,
    "in_flight": 4,
    "born": 1767541241250,
    "pace": 1.0,
    "step": 96,
    "map": 5,
    "prepared": 6,
    "armed": {"version": 6, "step": 99},
    "held": 99,
}


def test_report_is_decoded():
    """Guards against orders that are based on a wrongly decoded state."""
    state = read_report(REPORT, "engine")
    assert (state.group_id, state.epoch, state.rank) == ("g0-0", 2, 8)
    assert (state.map_version, state.prepared_version) == (5, 6)
    assert (state.armed_version, state.armed_step) == (6, 99)
    assert state.held_step == 99
    assert state.is_open


def test_absent_versions_are_zero_and_absent_held_step_is_none():
    """Guards against an engine without a held step that seems held at step 0."""
    body = {**REPORT, "prepared": None, "armed": None, "held": None}
    state = read_report(body, "engine")
    assert state.prepared_version == state.armed_version == 0
    assert state.held_step is None


def test_broken_group_is_closed_and_an_engine_without_group_is_open():
    """Guards against requests to a broken group, and idle engines without a group."""
    group = {**REPORT["group"], "state": "broken"}
    assert not read_report({**REPORT, "group": group}, "engine").is_open
    assert read_report({"queued": 0, "in_flight": 0}, "engine").is_open


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"queued": "x", "in_flight": 1},
        {"queued": inf, "in_flight": 1},
        {**REPORT, "born": inf},
        {**REPORT, "pace": 10**400},
    ],
)
def test_report_without_its_fields_is_an_error(body):
    """Guards against zeros in place of missing required fields of a report."""
    with pytest.raises(StepError, match="read-report"):
        read_report(body, "engine")


@pytest.mark.parametrize("counts", [[1, 2, 3, 4], [[1, 2], [3, 4]]])
def test_counts_are_read_flat_or_by_set(counts):
    """Guards against counts that are assigned to the experts of another set."""
    map_body = {"map": {"version": 5, "experts": [[0, 2], [1]]}}
    rank_counts = read_rank_counts(
        {"step": 1, "epoch": 2, "counts": counts}, map_body, "engine"
    )
    assert rank_counts.n_by_expert == (1, 2, 3, 4)
    assert rank_counts.experts == ((0, 2), (1,))
    assert rank_counts.map_version == 5


def test_orders_carry_only_their_fields():
    """Guards against orders that an engine refuses because of unknown fields."""
    prepare = RankOrder("x", OrderAction.PREPARE, 2, 7, 0, (((0,), (1,)),))
    assert write_order(prepare) == {
        "operation": "prepare",
        "epoch": 2,
        "version": 7,
        "map": (((0,), (1,)),),
    }
    arm = RankOrder("x", OrderAction.ARM, 2, 7, 99)
    assert write_order(arm) == {
        "operation": "arm",
        "epoch": 2,
        "version": 7,
        "step": 99,
    }
    fenced = RankOrder("x", OrderAction.RELEASE, 2, 0, 99, fencing_token=3)
    assert write_order(fenced)["fencing_token"] == 3
    hold = RankOrder("x", OrderAction.HOLD, 2, 0, 99)
    assert write_order(hold) == {"operation": "hold", "epoch": 2, "step": 99}
