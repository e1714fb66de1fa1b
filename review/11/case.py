"""Another writer leaves rows with a missing field at the addresses of engines."""

import asyncio
import contextlib
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_3"))

from standins import (  # noqa: E402
    CONTACT_S,
    HOST,
    Caller,
    Engine,
    Entry,
    Record,
    Store,
    answer_soundly,
    is_disrupted,
    make_config,
    make_route,
)

N_ENTRIES = 4
N_ENGINES = 3
N_CALLERS = 16
DEADLINE_MS = 2_500
TRAFFIC_S = 8.0


def make_odd_row(engine: Engine) -> dict[str, object]:
    """Return a row that names the address of an engine and lacks a field.

    The missing field is ``cold_remaining_ms``.
    """
    return {
        "backend": "desk",
        "address": f"{HOST}:{engine.port}",
        "zone": "north",
        "version": "1",
        "slots": 12,
        "state": "ready",
        "sequence": 1,
        "born": time.time_ns() // 1_000_000,
    }


async def call_repeatedly(caller: Caller, end_s: float) -> None:
    """Send one request after the other on a kept connection."""
    while time.monotonic() < end_s:
        await caller.ask("GET", "/look/1", DEADLINE_MS)
        await asyncio.sleep(0.3)


async def run(record: Record, folder: pathlib.Path) -> bool:
    """Return whether the rule held."""
    store = Store()
    await store.start()
    route = make_route("look", "/look/", "idempotent", "desk", DEADLINE_MS)
    store.put("op", "config", make_config(7, [route], ["desk"]))
    engines = [
        Engine(store, "desk", f"i-d{n + 1}", "north", answer_soundly, record)
        for n in range(N_ENGINES)
    ]
    for engine in engines:
        await engine.start()
    entries: list[Entry] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        for n in range(N_ENTRIES):
            entry = Entry(store, folder, f"edge-{n + 1}", "north", tuple(entries[:1]))
            entries.append(entry)
            await entry.start()
        for entry in entries:
            await entry.wait_until_ready()
        if is_disrupted():
            for engine in engines:
                key = f"seen-{engine.engine_id}"
                store.put("servers", key, make_odd_row(engine))
                record.note(f"another writer adds servers/{key}")
        await asyncio.sleep(CONTACT_S + 1)
        end_s = time.monotonic() + TRAFFIC_S
        callers = [
            Caller(entries[n % N_ENTRIES], f"c{n}", record) for n in range(N_CALLERS)
        ]
        tasks += [asyncio.create_task(call_repeatedly(c, end_s)) for c in callers]
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        for entry in entries:
            await entry.kill()
    calls = [call for caller in callers for call in caller.calls]
    n_served = sum(call.status == 200 and call.is_complete for call in calls)
    record.note(f"{len(calls)} requests, {n_served} served")
    print(f"{len(calls)} requests, {n_served} served")
    return n_served > 0


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
