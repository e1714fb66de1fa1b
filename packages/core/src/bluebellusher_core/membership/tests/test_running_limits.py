"""``RunningLimits`` with recent, old and wrong observations."""

import pytest

from bluebellusher_core.directory import EngineModel, GapObjective, GroupModel
from bluebellusher_core.events import EndpointInfo, LoadReported
from bluebellusher_core.membership import ActiveEntries, RunningLimits
from bluebellusher_core.routing import EndpointView

NOW_MS = 10_000
ENGINE = EngineModel(
    n_slots=5,
    n_kv_tokens=40_000,
    n_steps_per_pass=5,
    step_ms=4.55,
    sequence_ms=2.18,
    context_ms_per_1000=0.044,
    prefill_tokens_per_ms=61.4,
    n_chunk_tokens=512,
    n_usual_prompt_tokens=868.0,
    n_usual_answer_tokens=96.0,
    report_lag_ms=0.0,
    group=GroupModel(12, 64, 8, 4, 1, 1.0, 0.85),
)


def make_limits(max_gap_ms=150, own_id="e0", n_entries=1):
    """Return limits of an entry that is connected to the others of its domain."""
    entries = ActiveEntries(own_id)
    peer_ids = {f"e{i}" for i in range(n_entries)} - {own_id}
    entries.record_connected(peer_ids, 0, peer_ids)
    limits = RunningLimits(entries, "d")
    limits.set_objectives({"s": GapObjective(ENGINE, max_gap_ms)})
    return limits


def make_view(n_running=0, pace=1.0, domain="d"):
    """Return a view with a report that has just arrived."""
    none = frozenset()
    info = EndpointInfo("x0", domain, frozenset({"s"}), none, none, 5)
    report = LoadReported(
        "x0", 1, n_running, 0, 0, 5, 0.0, none, none, 0, group_id="g", pace=pace
    )
    return EndpointView(info, report, NOW_MS)


def test_limit_follows_the_allowed_gap_the_pace_and_the_observed_gaps():
    """Guards against more running requests than keep their gaps."""
    view = make_view(n_running=4)
    limits = make_limits()
    usual = limits.find_limit(view, NOW_MS).n_usual
    assert usual == 4
    assert make_limits(120).find_limit(view, NOW_MS).n_usual < usual
    assert limits.find_limit(make_view(4, pace=1.5), NOW_MS).n_usual < usual
    for _ in range(200):
        limits.record_gap(view, 140, [view], NOW_MS)
    assert limits.find_limit(view, NOW_MS + 100).n_usual < usual


def test_limit_is_lifted_where_no_request_alone_keeps_its_gaps():
    """Guards against idle slots while every answer is late in any case."""
    assert make_limits(max_gap_ms=30).find_limit(make_view(), NOW_MS).n_usual == 5


def test_gap_of_a_stopped_group_expires():
    """Guards against a limit that stays low after a pause of the group."""
    limits, view = make_limits(), make_view(n_running=4)
    for _ in range(50):
        limits.record_gap(view, 60_000, [view], NOW_MS)
    limits.record_gap(view, -5, [view], NOW_MS)
    later_ms = NOW_MS + 3_001
    view.reported_at_ms = later_ms
    assert limits.find_limit(view, later_ms).n_usual == 4


@pytest.mark.parametrize("n_running", range(8))
def test_entries_together_take_no_more_than_the_free_slots(n_running):
    """Guards against a free slot to which every entry sends a request."""
    view = make_view(n_running)
    rooms = [
        make_limits(own_id=f"e{i}", n_entries=13).count_room(view, NOW_MS).n_usual
        for i in range(13)
    ]
    assert sum(rooms) == 4 - n_running


def test_entries_without_reports_share_the_limit():
    """Guards against unlimited requests when the agents send no reports."""
    view = make_view(n_running=5)
    now_ms = NOW_MS + 60_000
    rooms = [
        make_limits(own_id=f"e{i}", n_entries=13).count_room(view, now_ms).n_usual
        for i in range(13)
    ]
    assert sum(rooms) == 4


def test_entries_of_another_domain_use_only_ranks_with_several_free_slots():
    """Guards against requests to ranks that have filled since an old report."""
    assert make_limits().count_room(make_view(3, domain="other"), NOW_MS).n_usual == 0
    assert make_limits().count_room(make_view(1, domain="other"), NOW_MS).n_usual > 0


def test_entry_of_an_evacuated_domain_uses_the_last_remote_slot():
    """Guards against entries that get no slot because their own domain is evacuated."""
    limits, view = make_limits(), make_view(3, domain="other")
    limits.is_own_domain_usable = False
    assert limits.count_room(view, NOW_MS).n_usual == 1
