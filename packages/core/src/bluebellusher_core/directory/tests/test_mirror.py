"""Table copies after late, repeated, stale and missing answers."""

from hypothesis import given
from hypothesis import strategies as st

from bluebellusher_core.directory import MirrorRow, TableMirror


def compute_rows(log):
    """Return the rows of the table after all changes of a history."""
    table = {}
    for row in log:
        if row.is_removed:
            table.pop(row.key, None)
        else:
            table[row.key] = row
    return table


def make_history(choices):
    """Return changes with increasing versions."""
    return [
        MirrorRow(key, version, str(version).encode(), is_removed)
        for version, (key, is_removed) in enumerate(choices, start=1)
    ]


HISTORIES = st.lists(
    st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=30
).map(make_history)


@given(HISTORIES, st.data())
def test_any_order_of_answers_leads_to_the_newest_rows(history, data):
    """Guards against a late or repeated answer that reverts a newer change."""
    mirror = TableMirror("t")
    late_answers = data.draw(st.lists(st.sampled_from(history), max_size=40))
    for row in late_answers:
        mirror.apply([row], 0)
    mirror.apply(history, history[-1].version)
    for row in late_answers:
        mirror.apply([row], 0)
    assert mirror.row_by_key == compute_rows(history)


@given(HISTORIES, st.integers(0, 30), st.integers(0, 30))
def test_changes_of_a_peer_complete_the_copy(history, n_own, n_peer):
    """Guards against a missing row after a peer has sent its changes."""
    behind, ahead = TableMirror("t"), TableMirror("t")
    for mirror, n in ((behind, n_own), (ahead, n_peer)):
        rows = history[:n]
        mirror.apply(rows, rows[-1].version if rows else 0)
    behind.apply(ahead.changes_since(behind.version), ahead.version)
    expected = history[: max(n_own, n_peer)]
    assert behind.row_by_key == compute_rows(expected)


def test_snapshot_removes_missing_rows():
    """Guards against rows that stay although their removal was not received."""
    mirror = TableMirror("t")
    mirror.apply([MirrorRow("a", 1, b""), MirrorRow("b", 2, b"")], 2)
    changed_rows = mirror.replace([MirrorRow("a", 1, b"")], 9)
    assert [(row.key, row.is_removed) for row in changed_rows] == [("b", True)]
    assert mirror.changes_since(2) == changed_rows


def test_stale_snapshot_changes_nothing():
    """Guards against an outdated snapshot that reverts newer changes."""
    mirror = TableMirror("t")
    mirror.apply([MirrorRow("a", 7, b"new")], 7)
    assert mirror.replace([MirrorRow("a", 3, b"old")], 5) == []
    assert mirror.row_by_key["a"].value == b"new"


def test_late_answer_does_not_bring_back_a_row_that_was_removed_before_the_snapshot():
    """Guards against an endpoint that left and is in use again after a restart.

    The copy of a new entry has no record of the removal. A peer with an older copy sent
    its rows late.
    """
    mirror = TableMirror("t")
    mirror.replace([MirrorRow("a", 2, b"")], 9)
    assert mirror.apply([MirrorRow("left", 3, b"old")], 7) == []
    assert set(mirror.row_by_key) == {"a"}
    assert mirror.apply([MirrorRow("new", 10, b"")], 10) == [MirrorRow("new", 10, b"")]
