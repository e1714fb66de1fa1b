"""Copies of tables that entries get from peers that have started since."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellusher.shared import TableCopy, TableExchange
from bluebellusher.shared.tests.fakes import FakeLog
from bluebellusher.shared.tests.test_shared import FakeNetwork, make_digest
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.directory import MirrorRow, TableMirror, _mirror

TABLE = "t"
ENTRY_IDS = ("e0", "e1")


class VersionedTable:
    """Table of the store that keeps the rows as of each version."""

    def __init__(self):
        self.log = []
        self.rows_by_version = [{}]

    @property
    def version(self):
        """Version of the last change."""
        return len(self.log)

    def change(self, key, is_removed):
        """Write or remove a row."""
        row = MirrorRow(key, self.version + 1, b"v", is_removed)
        rows = dict(self.rows_by_version[-1])
        if is_removed:
            rows.pop(key, None)
        else:
            rows[key] = row
        self.log.append(row)
        self.rows_by_version.append(rows)


class Entries:
    """Entries that read a table from the store or from each other.

    No entry reaches the store by itself, so that they exchange changes at once.
    """

    def __init__(self):
        self.table = VersionedTable()
        self.network = FakeNetwork()
        self.copy_by_id = {}
        for entry_id in ENTRY_IDS:
            self.start(entry_id)

    def start(self, entry_id):
        """Start an entry, which reads the whole table."""
        exchange = TableExchange(self.network.make_links(entry_id), ManualClock())
        copy = TableCopy(
            TableMirror(TABLE), lambda rows: None, lambda rows: None, FakeLog()
        )
        exchange.add(copy, lambda: False)
        self.copy_by_id[entry_id] = copy
        self.network.exchange_by_id[entry_id] = exchange
        self.read_table(entry_id)

    def read_table(self, entry_id):
        """Read all rows from the store."""
        rows = self.table.rows_by_version[-1].values()
        self.copy_by_id[entry_id].replace(rows, self.table.version, 0)

    def read_changes(self, entry_id):
        """Read the changes since the version of the copy from the store."""
        copy = self.copy_by_id[entry_id]
        copy.apply(self.table.log[copy.mirror.version :], self.table.version)

    def send_digest(self, entry_id, peer_id):
        """Send a digest, after which the peer requests the rows that it lacks."""
        exchange = self.network.exchange_by_id[entry_id]
        digest = make_digest(exchange)
        self.network.exchange_by_id[peer_id].on_digest(entry_id, digest)

    def check(self):
        """Check that each copy has the rows that the table had at its version."""
        for entry_id, copy in self.copy_by_id.items():
            mirror = copy.mirror
            expected = self.table.rows_by_version[mirror.version]
            assert mirror.row_by_key == expected, entry_id


def test_removal_before_the_start_of_a_peer_reaches_an_entry_that_missed_it():
    """Guards against requests to an endpoint that left while the entry was frozen.

    The peer has started since and knows the rows, but not the removal.
    """
    entries = Entries()
    for key in ("x0", "x1"):
        entries.table.change(key, is_removed=False)
    entries.read_changes("e0")
    entries.table.change("x0", is_removed=True)
    entries.start("e1")
    entries.send_digest("e1", "e0")
    assert list(entries.copy_by_id["e0"].mirror.row_by_key) == ["x1"]
    entries.check()


IDS = st.sampled_from(ENTRY_IDS)
STEPS = st.one_of(
    st.tuples(st.just("change"), st.sampled_from("ab"), st.booleans()),
    st.tuples(st.sampled_from(["start", "read_table", "read_changes"]), IDS),
    st.tuples(st.just("send_digest"), IDS, IDS),
)


@pytest.mark.parametrize("n_max_removed", [1, _mirror.N_MAX_REMOVED])
@settings(max_examples=500)
@given(steps=st.lists(STEPS, min_size=20, max_size=40))
def test_copy_always_has_the_rows_of_its_version(n_max_removed, steps):
    """Guards against rows that stay, or return, after any exchange between entries.

    Few removals are recorded in one case, so that the older ones are forgotten.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_mirror, "N_MAX_REMOVED", n_max_removed)
        entries = Entries()
        for name, *arguments in steps:
            subject = entries.table if name == "change" else entries
            getattr(subject, name)(*arguments)
            entries.check()
