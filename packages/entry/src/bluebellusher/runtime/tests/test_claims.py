"""Tests that a claim is granted to one entry only and that its answer is kept."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from bluebellusher.runtime import (
    ClaimWriter,
    Committed,
    Conflict,
    KeptAnswer,
    Row,
    StoreError,
)
from bluebellusher.runtime._kept_answer import MAX_ROW_ANSWER_BYTES, read_kept_answer
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.effects import ClaimState, ClaimWrite
from bluebellusher_core.events import ClaimOutcome, ClaimsAnswered, ClaimsUnanswered
from bluebellusher_standins._table import Table


class LossyStore:
    """Table whose transactions fail as a script demands.

    A step of the script is ``ok``, ``lost`` when the transaction takes effect and its
    answer is lost, or ``down`` when the table refuses the transaction. Transactions
    after the end of the script succeed.
    """

    def __init__(self, table: Table, script: list[str]) -> None:
        self.table = table
        self.script = script
        self.object_by_name: dict[str, bytes] = {}

    async def transact(self, conditions, puts):
        """Run a transaction as the next step of the script demands."""
        step = self.script.pop(0) if self.script else "ok"
        if step == "down":
            raise StoreError("down", is_refused=True)
        answer = self.table.transact(conditions, puts)
        if step == "lost":
            raise StoreError("lost", is_refused=False)
        if isinstance(answer, int):
            return Committed(answer)
        return Conflict(tuple(Row(r.key, r.version, r.value) for r in answer))

    async def read_row(self, key):
        """Return a row; reads never fail."""
        row = self.table.read(key)
        return Row(row.key, row.version, row.value)

    async def put_object(self, name, data):
        """Store an object."""
        self.object_by_name[name] = data

    async def read_object(self, name):
        """Return the content of an object."""
        return self.object_by_name[name]


class Sink:
    """Sink that collects events and discards log lines."""

    def __init__(self) -> None:
        self.events = []

    def post(self, event) -> None:
        """Collect an event."""
        self.events.append(event)

    def log(self, name, **fields) -> None:
        """Discard a log line."""
        pass


def make_write(entry: str, key: str, state=ClaimState.CLAIMED, fingerprint="f"):
    """Return the write of a claim row by an entry."""
    return ClaimWrite(
        f"{entry}.{key}", "c1", key, f"claim-{entry}-{key}", fingerprint, state
    )


async def write_batch(store, writes, kept=None):
    """Write a batch until it is answered, as the reducer does; return its results."""
    sink = Sink()
    writer = ClaimWriter(store, sink, "entry")
    if kept is not None:
        writer.keep_answer(writes[0].request_id, kept)
    for attempt in range(10):
        writer.submit(f"b{attempt}", tuple(writes))
        await asyncio.gather(*writer._tasks)
        if isinstance(sink.events[-1], ClaimsAnswered):
            return {r.request_id: r for r in sink.events[-1].results}
        assert isinstance(sink.events[-1], ClaimsUnanswered)
    return {}


fault_scripts = st.lists(st.sampled_from(["ok", "lost", "down"]), max_size=5)


@given(
    st.lists(
        st.tuples(fault_scripts, st.sets(st.sampled_from("abc"), min_size=1)),
        max_size=4,
    )
)
def test_property_claim_of_a_key_is_granted_to_one_entry_only(entries):
    """Guards against a claim granted twice after a lost answer or a conflict (I4)."""
    table = Table(ManualClock())
    granted = []
    for number, (script, keys) in enumerate(entries):
        store = LossyStore(table, list(script))
        writes = [make_write(str(number), key) for key in sorted(keys)]
        results = asyncio.run(write_batch(store, writes))
        assert set(results) == {w.request_id for w in writes}
        for claim_write in writes:
            if results[claim_write.request_id].outcome is ClaimOutcome.GRANTED:
                granted.append(claim_write.idempotency_key)
    assert sorted(granted) == sorted(set(granted))
    assert set(granted) == {key for _, keys in entries for key in keys}


def test_abandoned_row_blocks_a_late_claim_write_and_frees_the_key():
    """Guards against a claim write that takes effect after its claim was abandoned."""
    table = Table(ManualClock())
    store = LossyStore(table, [])
    late_write = make_write("1", "a")
    asyncio.run(write_batch(store, [make_write("1", "a", ClaimState.ABANDONED)]))
    assert isinstance(table.transact({"claim/c1/a": 0}, {"claim/c1/a": {}}), list)
    results = asyncio.run(write_batch(store, [make_write("2", "a")]))
    assert results["2.a"].outcome is ClaimOutcome.GRANTED
    asyncio.run(write_batch(store, [make_write("1", "a", ClaimState.ABANDONED)]))
    assert table.read("claim/c1/a").value["claim_id"] == "claim-2-a"
    assert late_write.claim_id == "claim-1-a"


def test_outcome_never_replaces_the_claim_of_another_entry():
    """Guards against an outcome that overwrites the claim of another entry."""
    table = Table(ManualClock())
    store = LossyStore(table, [])
    asyncio.run(write_batch(store, [make_write("1", "a")]))
    asyncio.run(write_batch(store, [make_write("2", "a", ClaimState.DONE)]))
    assert table.read("claim/c1/a").value["state"] == "claimed"


@given(st.integers(0, 2 * MAX_ROW_ANSWER_BYTES), fault_scripts)
def test_property_kept_answer_is_replayed_completely(n_bytes, script):
    """Guards against a truncated replay and against a row above the size limit."""
    table = Table(ManualClock())
    store = LossyStore(table, [])
    asyncio.run(write_batch(store, [make_write("1", "a")]))
    kept = KeptAnswer(201, {"content-type": "text/plain"}, b"x" * n_bytes)
    store.script = list(script)
    asyncio.run(write_batch(store, [make_write("1", "a", ClaimState.DONE)], kept))
    results = asyncio.run(write_batch(store, [make_write("2", "a")]))
    assert results["2.a"].outcome is ClaimOutcome.DONE
    kept_answer, name = read_kept_answer(table.read("claim/c1/a").value["answer"])
    body = store.object_by_name[name] if name else kept_answer.body
    assert (kept_answer.status, body) == (201, kept.body)
    assert bool(name) is (n_bytes > MAX_ROW_ANSWER_BYTES)
    reused = asyncio.run(
        write_batch(store, [make_write("3", "a", fingerprint="other")])
    )
    assert reused["3.a"].outcome is ClaimOutcome.KEY_REUSED
