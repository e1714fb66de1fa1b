"""Requests that wait on several entries while a group of ranks opens."""

from collections import Counter

import pytest

from bluebellusher_core.admission import ObjectiveQueue
from bluebellusher_core.effects import Dispatch
from bluebellusher_core.events import (
    EndpointInfo,
    EndpointRegistered,
    LoadReported,
    RequestArrived,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec
from bluebellusher_core.routing import SlotAware

N_ENTRIES = 13
N_RANKS = 32
N_SLOTS = 5
N_WAITING = 20
# Requests that a rank may get within a second while it warms up: a rate of 18 per
# second, exceeded by half, and 5 more.
N_MAX_PER_RANK = 18 * 1.5 + 5
CLOSED_EPOCH, OPEN_EPOCH = 1, 2


class Entry:
    """Entry with a closed group of ranks and waiting requests."""

    def __init__(self, index, opens_groups_at_once):
        config = EntryConfig(f"e{index}", seed=index, queue_factor=1.0)
        policy = SlotAware(failure_domain=f"d{index % 3}")
        self.state = EntryState.from_config(config, policy, ObjectiveQueue)
        self.state.endpoints.opens_groups_at_once = opens_groups_at_once
        self.rank_by_attempt_id = {}
        for rank in range(N_RANKS):
            names = frozenset("s"), frozenset(), frozenset()
            info = EndpointInfo(f"x{rank}", f"d{rank % 3}", *names, N_SLOTS, 1)
            self.reduce(EndpointRegistered(info), 0)
            self.report(rank, CLOSED_EPOCH, is_open=False, now_ms=0)
        for number in range(N_WAITING):
            spec = make_spec(f"e{index}.r{number}", deadline_ms=8_000)
            self.reduce(RequestArrived(spec), 10)
        assert not self.rank_by_attempt_id

    def reduce(self, event, now_ms):
        for effect in reduce(self.state, event, now_ms):
            if isinstance(effect, Dispatch):
                self.rank_by_attempt_id[effect.attempt_id] = effect.endpoint_id

    def report(self, rank, epoch, is_open, now_ms):
        names = frozenset(), frozenset()
        event = LoadReported(
            f"x{rank}",
            now_ms + 1,
            0,
            0,
            0,
            N_SLOTS,
            0.0,
            *names,
            0,
            is_open,
            "g",
            epoch,
        )
        self.reduce(event, now_ms)


def open_group(opens_groups_at_once):
    """Return the number of attempts by rank after the first report of the opening."""
    entries = [Entry(i, opens_groups_at_once) for i in range(N_ENTRIES)]
    for entry in entries:
        entry.report(0, OPEN_EPOCH, is_open=True, now_ms=600)
    return Counter(r for e in entries for r in e.rank_by_attempt_id.values())


def test_first_rank_that_reports_the_opening_does_not_get_all_requests():
    """Guards against entries that send all waiting requests to one rank.

    The reports of the other ranks arrive later. A rank that has just started crashes
    under such a load, and closes the group again.
    """
    n_by_rank = open_group(opens_groups_at_once=True)
    assert n_by_rank.total() == N_ENTRIES * N_WAITING
    assert max(n_by_rank.values()) <= N_MAX_PER_RANK
    assert len(n_by_rank) == N_RANKS


def test_ranks_open_by_their_own_reports_unless_configured():
    """Guards against a change for deployments that do not limit starting endpoints."""
    assert set(open_group(opens_groups_at_once=False)) == {"x0"}


@pytest.mark.parametrize("is_open", [True, False])
def test_closed_rank_of_the_latest_epoch_keeps_its_group_closed(is_open):
    """Guards against requests to a group that closes again after its opening."""
    entry = Entry(0, opens_groups_at_once=True)
    entry.report(1, OPEN_EPOCH, is_open=False, now_ms=500)
    entry.report(0, OPEN_EPOCH, is_open=is_open, now_ms=600)
    assert not entry.rank_by_attempt_id


def test_rank_that_has_just_started_does_not_open_a_closed_pool():
    """Guards against requests to a rank that has not reported its closed group."""
    entry = Entry(0, opens_groups_at_once=True)
    names = frozenset("s"), frozenset(), frozenset()
    info = EndpointInfo("x3", "d0", *names, N_SLOTS, 2)
    entry.reduce(EndpointRegistered(info), 500)
    assert not entry.rank_by_attempt_id
    entry.report(0, OPEN_EPOCH, is_open=True, now_ms=600)
    assert "x3" in entry.rank_by_attempt_id.values()
