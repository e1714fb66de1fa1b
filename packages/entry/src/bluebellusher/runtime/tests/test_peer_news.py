"""What entries tell each other of crashes and of endpoints that leave."""

from bluebellusher.runtime import PeerExchange
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.events import CrashesReceived, LeavingMark, LeavingReceived
from bluebellusher_core.poison import Crash, CrashRecord
from bluebellusher_core.wire import FrameDecoder, encode, messages

RECORDS = (
    CrashRecord("f", (Crash("x1@5", 30, 20), Crash("x2@7", 3, 2)), None),
    CrashRecord("g", (), 0),
)
MARKS = (LeavingMark("x1", 1_700_000_000_000, 250),)


class Links:
    """Passes every message through the wire format to one other entry."""

    def __init__(self, other):
        self.other = other
        self.n_sent = 0

    def send(self, _peer_id, message):
        """Send to a peer."""
        self.broadcast(message)

    def broadcast(self, message):
        """Send to all peers."""
        self.n_sent += 1
        (found,) = FrameDecoder("peer").feed(encode(message))
        self.other.on_peer_message("e1", found)


class Events(list):
    """Keeps events."""

    post = list.append

    def of(self, event_type):
        """Return the events of a type."""
        return [event for event in self if isinstance(event, event_type)]


def make_pair(records=RECORDS, marks=MARKS):
    """Return an entry that knows something, its links and what the other one gets."""
    clock, events = ManualClock(1_000), Events()
    other = PeerExchange(events, clock, messages.Digest)
    entry = PeerExchange(
        Events(), clock, messages.Digest, lambda: records, lambda: marks
    )
    entry.links = Links(other)
    return entry, clock, events


def test_entry_that_connects_is_told_everything():
    """Guards against news that only those hear who were there at the time."""
    entry, _, events = make_pair()
    entry.on_peer_open("e2", None)
    assert events.of(CrashesReceived) == [CrashesReceived("e1", RECORDS)]
    assert events.of(LeavingReceived) == [LeavingReceived("e1", MARKS)]


def test_news_are_told_at_once():
    """Guards against an entry that repeats for seconds what others know better."""
    entry, _, events = make_pair()
    entry.tell_crashes(RECORDS[:1])
    entry.tell_leaving(MARKS)
    assert events.of(CrashesReceived) == [CrashesReceived("e1", RECORDS[:1])]
    assert events.of(LeavingReceived) == [LeavingReceived("e1", MARKS)]


def tick(entry, clock, n_ticks):
    """Let time pass."""
    for _ in range(n_ticks):
        clock.advance(500)
        entry.tick(clock.now_ms())


def test_news_are_told_again_after_a_while():
    """Guards against an entry that was cut off when the news came."""
    entry, clock, events = make_pair()
    tick(entry, clock, 25)
    assert events.of(CrashesReceived)
    assert events.of(LeavingReceived)


def test_old_marks_and_single_old_crashes_are_told_no_more():
    """Guards against bytes for minutes about what concerns nobody."""
    old = CrashRecord("old", (Crash("x1@5", 99_000, 99_000),))
    blocked = CrashRecord("blocked", (*old.crashes, Crash("x2@7", 99_000, 99_000)))
    entry, clock, events = make_pair((old, blocked), (LeavingMark("x1", 1, 99_000),))
    tick(entry, clock, 25)
    assert events.of(CrashesReceived)[0].records == (blocked,)
    assert not events.of(LeavingReceived)


def test_ages_cost_no_digests():
    """Guards against a digest with every tick because ages have changed."""
    entry, clock, _ = make_pair()
    tick(entry, clock, 40)
    n_sent = entry.links.n_sent
    quiet, clock, _ = make_pair((), ())
    tick(quiet, clock, 40)
    assert n_sent <= quiet.links.n_sent + 3
