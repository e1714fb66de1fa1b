"""Leases of restarted entries, and tokens after a row was lost."""

from bluebellusher_core.lease import GUARD_MS, TERM_MS, LeaseRow, LeaseTracker

ROW = LeaseRow("entry-1/100", 4, 9)


def test_restarted_entry_acquires_its_own_lease_at_once():
    """Guards against groups without a leader after all entries were restarted.

    The restarted entries waited until the old lease had expired. No expert map changed
    in the meantime.
    """
    tracker = LeaseTracker("maps", "entry-1/200")
    tracker.observe(12, ROW, now_ms=0)
    write = tracker.plan_write(now_ms=0)
    assert write.row.fencing_token == 5
    assert write.row_version == 12


def test_restarted_entry_does_not_wait_for_other_entries():
    """Guards against a takeover delay for a lease that no other entry may acquire.

    The delay exceeded the first check of a restarted entry, and the next one came only
    1.5 s later.
    """
    tracker = LeaseTracker("maps", "entry-1/200", takeover_delay_ms=400)
    tracker.observe(12, ROW, now_ms=0)
    assert tracker.next_acquire_ms(now_ms=0) == 0
    assert tracker.plan_write(now_ms=0).row.fencing_token == 5


def test_time_until_a_lease_may_be_acquired():
    """Guards against entries that check a lease later than they may acquire it."""
    tracker = LeaseTracker("maps", "entry-2/1", takeover_delay_ms=400)
    assert tracker.next_acquire_ms(now_ms=0) is None
    tracker.observe(0, None, now_ms=0)
    assert tracker.next_acquire_ms(now_ms=100) == 300
    tracker.observe(12, ROW, now_ms=200)
    assert tracker.next_acquire_ms(now_ms=300) == 300 + TERM_MS + GUARD_MS
    assert tracker.next_acquire_ms(now_ms=90_000) == 0


def test_lease_of_another_entry_is_acquired_only_after_it_expired():
    """Guards against a second leader while the first one may still be running."""
    for holder_id in ("entry-2/200", "entry-11/1", "entry-1x/1"):
        tracker = LeaseTracker("maps", holder_id)
        tracker.observe(12, ROW, now_ms=0)
        assert tracker.plan_write(now_ms=TERM_MS + GUARD_MS - 1) is None
        assert tracker.plan_write(now_ms=TERM_MS + GUARD_MS) is not None


def test_token_exceeds_recorded_tokens_after_the_row_is_lost():
    """Guards against a holder whose orders are refused permanently.

    Receivers of orders keep the highest token that they have seen, but tokens start at
    1 again after the row was lost.
    """
    tracker = LeaseTracker("maps", "entry-1/7")
    tracker.record_seen_token(57)
    tracker.observe(0, None, now_ms=0)
    write = tracker.plan_write(now_ms=0)
    assert write.row.fencing_token == 58


def test_holder_raises_its_token_above_a_recorded_one():
    """Guards against a holder whose orders are refused because its token is too low."""
    tracker = LeaseTracker("maps", "entry-1/7")
    tracker.observe(0, None, now_ms=0)
    write = tracker.plan_write(now_ms=0)
    tracker.write_succeeded(write, row_version=1, now_ms=1)
    assert tracker.held_token(now_ms=2) == 1
    tracker.record_seen_token(57)
    write = tracker.plan_write(now_ms=3)
    assert (write.row_version, write.row.fencing_token) == (1, 58)
    tracker.write_succeeded(write, row_version=2, now_ms=4)
    assert tracker.held_token(now_ms=5) == 58
    assert tracker.plan_write(now_ms=6) is None


def test_token_fits_into_a_map_version_for_any_store_epoch():
    """Guards against orders that cannot be encoded because their token is too high."""
    for store_epoch in (1, 1_790_000_000, 2**63 - 1):
        tracker = LeaseTracker("maps", "entry-1/7")
        tracker.observe(0, None, now_ms=0, store_epoch=store_epoch)
        write = tracker.plan_write(now_ms=TERM_MS + GUARD_MS)
        assert 0 < write.row.fencing_token < 2**43
