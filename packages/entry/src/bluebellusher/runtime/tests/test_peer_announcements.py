"""Tests of the announcements of crashes and leaving endpoints between entries."""

from bluebellusher.runtime import PeerExchange
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.events import (
    CrashesReceived,
    EndedReceived,
    LeavingMark,
    LeavingReceived,
    LimitMark,
    LimitsReceived,
)
from bluebellusher_core.poison import Crash, CrashRecord
from bluebellusher_core.retry import EndedRequest
from bluebellusher_core.wire import FrameDecoder, encode, messages

RECORDS = (
    CrashRecord("f", (Crash("x1@5", 30, 20), Crash("x2@7", 3, 2)), None),
    CrashRecord("g", (), 0),
)
LIMITS = (LimitMark("x1", 7, 1.5, 30), LimitMark("x2", 8, None, 4))
MARKS = (LeavingMark("x1", 1_700_000_000_000, 250),)


class FakeLinks:
    """Links that deliver every message, encoded and decoded, to one other entry."""

    def __init__(self, other):
        self.other = other
        self.n_sent = 0

    def send(self, _peer_id, message):
        """Deliver a message to the other entry."""
        self.broadcast(message)

    def broadcast(self, message):
        """Deliver a message to the other entry and count it."""
        self.n_sent += 1
        (decoded,) = FrameDecoder("peer").feed(encode(message))
        self.other.on_peer_message("e1", decoded)


class EventList(list):
    """List of posted events."""

    post = list.append

    def of_type(self, event_type):
        """Return the events of a type."""
        return [event for event in self if isinstance(event, event_type)]


def make_connected_entries(records=RECORDS, marks=MARKS):
    """Return a sending entry, its clock and the events that another entry posts."""
    clock, events = ManualClock(1_000), EventList()
    other = PeerExchange(events, clock, messages.Digest)
    entry = PeerExchange(
        EventList(), clock, messages.Digest, lambda: records, lambda: marks
    )
    entry.links = FakeLinks(other)
    return entry, clock, events


def test_peer_that_connects_receives_all_announcements():
    """Guards against announcements that never reach entries that connect later."""
    entry, _, events = make_connected_entries()
    entry.on_peer_open("e2", messages.Hello(failure_domain="d"))
    assert events.of_type(CrashesReceived) == [CrashesReceived("e1", RECORDS)]
    assert events.of_type(LeavingReceived) == [LeavingReceived("e1", MARKS)]


def test_announcements_are_broadcast_immediately():
    """Guards against peers that act on outdated state until the next digest is due."""
    entry, _, events = make_connected_entries()
    entry.broadcast_crashes(RECORDS[:1])
    entry.broadcast_leaving(MARKS)
    assert events.of_type(CrashesReceived) == [CrashesReceived("e1", RECORDS[:1])]
    assert events.of_type(LeavingReceived) == [LeavingReceived("e1", MARKS)]


def test_ended_requests_reach_the_entries_of_the_failure_domain_only():
    """Guards against a message to every entry for each rejected request."""
    ended = (EndedRequest("f", 5_000, 1_200),)
    for domain, expected in (("d", [EndedReceived("e1", ended)]), ("other", [])):
        clock, events = ManualClock(1_000), EventList()
        other = PeerExchange(events, clock, messages.Digest)
        entry = PeerExchange(EventList(), clock, messages.Digest, failure_domain="d")
        entry.links = FakeLinks(other)
        entry.on_peer_open("e2", messages.Hello(failure_domain=domain))
        entry.broadcast_ended(ended)
        assert events.of_type(EndedReceived) == expected
        entry.on_peer_lost("e2")
        n_sent = entry.links.n_sent
        entry.broadcast_ended(ended)
        assert entry.links.n_sent == n_sent


def tick(entry, clock, n_ticks):
    """Advance the clock by ``n_ticks`` times 500 ms and tick the entry each time."""
    for _ in range(n_ticks):
        clock.advance(500)
        entry.tick(clock.now_ms())


def test_recent_announcements_are_repeated():
    """Guards against a missed announcement when an entry was disconnected."""
    entry, clock, events = make_connected_entries()
    tick(entry, clock, 25)
    assert events.of_type(CrashesReceived)
    assert events.of_type(LeavingReceived)


def test_old_leaving_marks_and_single_old_crashes_are_not_repeated():
    """Guards against minutes of traffic for announcements that are no longer useful."""
    old = CrashRecord("old", (Crash("x1@5", 99_000, 99_000),))
    blocked = CrashRecord("blocked", (*old.crashes, Crash("x2@7", 99_000, 99_000)))
    entry, clock, events = make_connected_entries(
        (old, blocked), (LeavingMark("x1", 1, 99_000),)
    )
    tick(entry, clock, 25)
    assert events.of_type(CrashesReceived)[0].records == (blocked,)
    assert not events.of_type(LeavingReceived)


def test_changed_ages_cause_no_digests():
    """Guards against a digest at each tick only because the ages have changed."""
    entry, clock, _ = make_connected_entries()
    tick(entry, clock, 40)
    n_sent = entry.links.n_sent
    idle_entry, clock, _ = make_connected_entries((), ())
    tick(idle_entry, clock, 40)
    assert n_sent <= idle_entry.links.n_sent + 3


def test_limits_are_broadcast_unchanged_also_to_a_new_peer():
    """Guards against limits that only the entry knows that received the answer."""
    clock, events = ManualClock(1_000), EventList()
    other = PeerExchange(events, clock, messages.Digest)
    entry = PeerExchange(
        EventList(), clock, messages.Digest, find_limits=lambda: LIMITS
    )
    entry.links = FakeLinks(other)
    entry.broadcast_limits(LIMITS)
    entry.on_peer_open("e2", messages.Hello(failure_domain="d"))
    expected = LimitsReceived("e1", LIMITS)
    assert events.of_type(LimitsReceived) == [expected, expected]
