"""An engine fails requests that it has run, with a 503 that promises nothing."""

import asyncio
import contextlib
import pathlib
import random
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_3"))

from standins import (  # noqa: E402
    CONTACT_S,
    Caller,
    Engine,
    Entry,
    Record,
    Run,
    Store,
    answer_soundly,
    is_disrupted,
    make_config,
    make_route,
    write_answer,
)

N_CALLERS = 8
DEADLINE_MS = 2_500
BEFORE_S = 2.0
# Dose of the disruption: one engine of three, this share of its requests, for so long.
FAILED_SHARE = 0.45
GREY_S = 6.5
# Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)


class GreyWork:
    """Work of an engine that fails a share of its requests while it is grey."""

    def __init__(self, record: Record) -> None:
        self.grey_until_s = 0.0
        self._record = record
        self._random = random.Random(7)

    async def __call__(
        self, engine: Engine, run: Run, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, and answer it with 200 or with a failure of the engine."""
        is_grey = time.monotonic() < self.grey_until_s
        if not is_grey or self._random.random() >= FAILED_SHARE:
            await answer_soundly(engine, run, writer)
            return
        await asyncio.sleep(0.03)
        self._record.note(f"{engine.engine_id} has run {run.attempt_id} and fails it")
        write_answer(writer, run, 503, b"the booking database did not confirm")
        await writer.drain()


async def book(caller: Caller, end_s: float) -> None:
    """Send one booking after the other on a kept connection."""
    while time.monotonic() < end_s:
        body = f"booking {len(caller.calls)} of {id(caller)}".encode()
        await caller.ask("POST", "/book/1", DEADLINE_MS, body)
        await asyncio.sleep(0.1)


async def run(record: Record, folder: pathlib.Path) -> bool:
    """Return whether the rule held."""
    store = Store()
    await store.start()
    route = make_route("book", "/book/", "non_idempotent", "desk", DEADLINE_MS)
    store.put("op", "config", make_config(7, [route], ["desk"]))
    work = GreyWork(record)
    engines = [
        Engine(store, "desk", "i-d1", "north", work, record),
        Engine(store, "desk", "i-d2", "north", answer_soundly, record),
        Engine(store, "desk", "i-d3", "south", answer_soundly, record),
    ]
    for engine in engines:
        await engine.start()
    entries: tuple[Entry, ...] = ()
    tasks: list[asyncio.Task[None]] = []
    try:
        first = Entry(store, folder, "edge-1", "north")
        entries = (first, Entry(store, folder, "edge-2", "south", (first,)))
        for entry in entries:
            await entry.start()
        for entry in entries:
            await entry.wait_until_ready()
        await asyncio.sleep(CONTACT_S)
        end_s = time.monotonic() + BEFORE_S + GREY_S + 1
        callers = [Caller(entries[n % 2], f"c{n}", record) for n in range(N_CALLERS)]
        tasks += [asyncio.create_task(book(caller, end_s)) for caller in callers]
        await asyncio.sleep(BEFORE_S)
        if is_disrupted():
            work.grey_until_s = time.monotonic() + GREY_S
            record.note("i-d1 turns grey")
        await asyncio.gather(*tasks)
        ran_ids = {run.attempt_id for engine in engines for run in engine.runs}
        calls = [call for caller in callers for call in caller.calls]
        broken = [
            call
            for call in calls
            if call.status in PROMISES and call.attempt_id in ran_ids
        ]
        for call in broken:
            record.note(f"REFUSED: {call.attempt_id} answered {call.status}, has run")
        print(f"{len(calls)} bookings, {len(broken)} answered 'not run' that have run")
        return not broken
    finally:
        for task in tasks:
            task.cancel()
        for entry in entries:
            await entry.kill()


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(HERE / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as folder:
            return 0 if asyncio.run(run(record, pathlib.Path(folder))) else 1
    except Exception as error:
        with contextlib.suppress(OSError):
            record.note(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
