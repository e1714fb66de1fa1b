"""Guards against too many requests to a cold endpoint under any order of faults."""

from dataclasses import dataclass, field, replace

from hypothesis import example, given, settings
from hypothesis import strategies as st

from bluebellusher_core.events import WarmUpMark, WarmUpSource
from bluebellusher_core.membership import ActiveEntries, RequestLimits

RATE = 18.0
DURATION_MS = 3_000
WINDOW_MS = 1_000
N_MAX = 32
STEP_MS = 50
RENEWAL_MS = 1_200
# Time for which an entry may rely on a registration that says "warm", in ms.
TRUST_MS = 2_200
FROZEN_MS = 1_000
# Time from the start of an entry until its peers are connected, in ms.
CONNECT_MS = 400
LISTING_MS = 30_000
X = "x0"


@dataclass
class Entry:
    """One start of an entry, with messages that have not arrived yet.

    ``told`` has the times at which the latest renewed registration was received and
    written.
    """

    limits: RequestLimits
    inbox: list = field(default_factory=list)
    frozen_until_ms: int = 0
    is_cut: bool = False
    is_stale: bool = False
    has_registration: bool = False
    told: tuple = (-(10**9), -(10**9))
    next_list_ms: int = 0
    connected_at_ms: int = 0


class Fleet:
    """Entries that send as many requests as they may to one endpoint."""

    def __init__(self, n_entries, listing_delay_ms):
        self.now_ms = 10_000
        self.cold_from_ms = self.now_ms
        self.incarnation = 1
        self.member_ids = {f"e{i}" for i in range(n_entries)}
        self.joined_at_ms = -(10**9)
        self.listing_delay_ms = listing_delay_ms
        self.sent_at_ms = []
        self.quiet_until_ms = 0
        self.entry_by_id = {}
        self.next_renewal_ms = self.now_ms
        for entry_id in sorted(self.member_ids):
            self.start(entry_id)

    def start(self, entry_id):
        """Start an entry without memory; its table of registrations may be old."""
        entry = Entry(RequestLimits(ActiveEntries(entry_id)))
        entry.next_list_ms = self.now_ms + self.listing_delay_ms
        entry.connected_at_ms = self.now_ms + CONNECT_MS
        self.entry_by_id[entry_id] = entry
        self.post(entry, WarmUpSource.FIRST, self.listing_delay_ms)

    def post(self, entry, source, delay_ms):
        """Send an entry what the registration says now."""
        remaining_ms = max(0, self.cold_from_ms + DURATION_MS - self.now_ms)
        mark = WarmUpMark(X, self.incarnation, RATE, DURATION_MS, remaining_ms, source)
        entry.inbox.append((self.now_ms + delay_ms, self.now_ms, mark))

    def advance(self, duration_ms, delay_ms):
        """Let time pass; registrations arrive ``delay_ms`` late."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            if self.now_ms >= self.next_renewal_ms:
                self.next_renewal_ms = self.now_ms + RENEWAL_MS
                for entry in self.entry_by_id.values():
                    if not entry.is_stale:
                        self.post(entry, WarmUpSource.RENEWAL, delay_ms)
            in_contact = {
                entry_id
                for entry_id, entry in self.entry_by_id.items()
                if not entry.is_cut and self.now_ms >= entry.connected_at_ms
            }
            for entry_id, entry in self.entry_by_id.items():
                if self.now_ms >= entry.frozen_until_ms:
                    self.act(entry_id, entry, in_contact - {entry_id})

    def act(self, entry_id, entry, peer_ids):
        """Let an entry read its messages and send all that it may."""
        limits, now_ms = entry.limits, self.now_ms
        is_alone = entry.is_cut or now_ms < entry.connected_at_ms
        limits.entries.record_connected(() if is_alone else peer_ids, now_ms)
        if now_ms >= entry.next_list_ms and not entry.is_stale:
            limits.entries.record_listed(self.member_ids | {entry_id}, now_ms)
            entry.next_list_ms = now_ms + LISTING_MS
        was_frozen = now_ms - entry.frozen_until_ms <= FROZEN_MS
        for message in [m for m in entry.inbox if m[0] <= now_ms]:
            entry.inbox.remove(message)
            _, written_at_ms, mark = message
            is_first = mark.source is WarmUpSource.FIRST
            if was_frozen and not is_first:
                mark = replace(mark, source=WarmUpSource.FIRST)
            elif not is_first:
                entry.told = (now_ms, written_at_ms)
            limits.warm_ups.record(mark, now_ms)
            entry.has_registration = True
        if not entry.has_registration or now_ms < self.quiet_until_ms:
            return
        for _ in range(4):
            if limits.is_exhausted(X, self.incarnation, now_ms):
                break
            limits.record_dispatch(X, self.incarnation, now_ms)
            is_cold = now_ms < self.cold_from_ms + DURATION_MS
            if is_cold and not self.is_excused(entry):
                self.sent_at_ms.append(now_ms)

    def is_excused(self, entry):
        """Return whether an entry relies on what was true when it was written.

        An endpoint that becomes cold while it runs is known to be so only from its next
        registration on.
        """
        received_at_ms, written_at_ms = entry.told
        is_trusted = self.now_ms - received_at_ms <= TRUST_MS
        # A registration of the same ms was written before the endpoint became cold.
        return is_trusted and written_at_ms <= self.cold_from_ms

    def count_most(self):
        """Return the most requests within a second that reached a cold endpoint."""
        times_ms = self.sent_at_ms
        return max(
            (sum(t <= at < t + WINDOW_MS for at in times_ms) for t in set(times_ms)),
            default=0,
        )

    def apply(self, action, entry_id, value_ms):
        """Apply a fault or its end to an entry, the endpoint or the store."""
        entry = self.entry_by_id[entry_id]
        match action:
            case "restart entry":
                self.start(entry_id)
            case "restart all":
                for restarted_id in list(self.entry_by_id):
                    self.start(restarted_id)
            case "freeze":
                entry.frozen_until_ms = self.now_ms + value_ms
            case "cut":
                entry.is_cut = True
            case "cut all":
                for other in self.entry_by_id.values():
                    other.is_cut = True
            case "quiet":
                self.quiet_until_ms = self.now_ms + value_ms
            case "lose tables":
                entry.is_stale = True
            case "store down":
                for other in self.entry_by_id.values():
                    other.is_stale = True
            case "heal":
                for other in self.entry_by_id.values():
                    other.is_cut = other.is_stale = False
            case "cool":
                self.cold_from_ms = self.now_ms
            case "restart endpoint":
                self.cold_from_ms = self.now_ms
                self.incarnation += 1
                for other in self.entry_by_id.values():
                    other.inbox.clear()
                    other.has_registration = False
                    self.post(other, WarmUpSource.FIRST, value_ms)
            case "join" if self.now_ms - self.joined_at_ms > LISTING_MS:
                self.joined_at_ms = self.now_ms
                self.start(f"new{self.now_ms}")
                self.member_ids.add(f"new{self.now_ms}")


ACTIONS = (
    "wait",
    "restart entry",
    "restart all",
    "freeze",
    "cut",
    "cut all",
    "quiet",
    "lose tables",
    "store down",
    "heal",
    "cool",
    "restart endpoint",
    "join",
)
steps = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.integers(0, 63),
        st.sampled_from([50, 300, 800, 1_500, 4_000]),
        st.sampled_from([50, 400, 800]),
    ),
    min_size=2,
    max_size=10,
)


@settings(max_examples=60)
@given(st.sampled_from([1, 3, 8, 13, 14, 30, 64]), st.sampled_from([50, 900]), steps)
@example(13, 50, [("restart all", 0, 1_500, 50)])
@example(
    13,
    900,
    [("wait", 0, 4_000, 50), ("restart all", 0, 50, 50), ("cool", 0, 1_500, 50)],
)
@example(
    13,
    50,
    [("cool", 0, 300, 50), ("cut all", 0, 50, 50), ("restart all", 0, 1_500, 50)],
)
@example(
    13,
    50,
    [
        ("store down", 0, 4_000, 50),
        ("cool", 0, 50, 50),
        ("quiet", 0, 800, 50),
        ("wait", 0, 50, 50),
        ("restart all", 0, 800, 50),
    ],
)
@example(64, 900, [("cut", 1, 300, 50), ("restart all", 0, 4_000, 800)])
@example(13, 50, [("store down", 0, 4_000, 50), ("cool", 0, 1_500, 50)])
def test_requests_of_all_entries_within_a_second_are_bounded(
    n_entries, listing_delay_ms, steps
):
    """Guards against shares that do not add up when entries know different things."""
    fleet = Fleet(n_entries, listing_delay_ms)
    fleet.advance(1_000, 50)
    for action, index, value_ms, delay_ms in steps:
        entry_ids = list(fleet.entry_by_id)
        fleet.apply(action, entry_ids[index % len(entry_ids)], value_ms)
        fleet.advance(value_ms, delay_ms)
    fleet.advance(2_000, 50)
    assert fleet.count_most() <= N_MAX
