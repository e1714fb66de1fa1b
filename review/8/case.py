"""A server leaves while one entry is frozen and the other one restarts."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from fleet import (  # noqa: E402
    Fleet,
    Machine,
    Record,
    Service,
    ask,
    main,
    make_config,
    make_route,
    make_service,
)

ZONES = ["obihiro", "otofuke"]
# Bounds of the sheet.
CONTACT_S = 3.0
DRAIN_S = 2.0
FREEZE_S = 3.9


async def load(
    fleet: Fleet, record: Record, n: int, entries: list[Machine]
) -> list[str]:
    """Send ``n`` requests, 80 a second, half of them bookings, to the machines in turn.

    Returns the ids of the bookings that have run and were not answered with success.
    """
    tasks = []
    for i in range(n):
        target = entries[i % len(entries)]
        method, path = ("GET", f"/look/{i}") if i // 2 % 2 else ("POST", f"/book/{i}")
        body = b"" if method == "GET" else b"booking " * 75
        tasks.append(asyncio.create_task(ask(record, target, method, path, body)))
        await asyncio.sleep(0.0125)
    failed = {a.attempt_id for a in await asyncio.gather(*tasks) if a.status != 200}
    runs = [run for service in fleet.services for run in service.arrivals]
    return [run[1] for run in runs if run[1] in failed and run[2].startswith("POST")]


async def exit_at(record: Record, service: Service, at_s: float) -> None:
    """End a server at a time of the record."""
    await asyncio.sleep(at_s - record.now())
    await service.close()
    record.line(f"{service.server_id} exits")


async def case(fleet: Fleet, record: Record, has_trouble: bool) -> int | None:
    """Play the case; return 1 if a request reached the server too late."""
    await fleet.start_store()
    routes = [
        make_route("r-1", "/look/", "idempotent", "desk"),
        make_route("r-2", "/book/", "non_idempotent", "desk"),
    ]
    fleet.store.put("op", "config", make_config(7, routes, [make_service("desk")]))
    for i, zone in enumerate(["obihiro", "otofuke", "memuro", "obihiro"]):
        await fleet.add_service(
            Service(fleet.store, record, f"i-{i}", "desk", zone, work_s=0.1)
        )
    leaving = fleet.services[0]
    entries = await fleet.add_entries(ZONES)
    for machine in entries:
        await machine.start()
    for machine in entries:
        if not await machine.wait_ready():
            return None
    restarted, frozen = entries
    await asyncio.sleep(3)
    if await load(fleet, record, 80, entries):
        return None
    n_before = len(leaving.arrivals)
    record.line(f"{leaving.server_id} got {n_before} of them")
    if not n_before:
        return None
    frozen_at_s = record.now()
    if has_trouble:
        frozen.send(signal.SIGSTOP)
    restarted.send(signal.SIGTERM)
    if await restarted.wait(10) is None:
        return None
    leaving.leave()
    left_at_s = record.now()
    record.line(f"the store accepted that {leaving.server_id} is gone")
    await restarted.start()
    await asyncio.sleep(max(0.0, frozen_at_s + FREEZE_S - record.now()))
    if has_trouble:
        frozen.send(signal.SIGCONT)
    healed_at_s = record.now()
    if not await restarted.wait_ready():
        return None
    in_touch_at_s = healed_at_s + CONTACT_S
    await asyncio.sleep(in_touch_at_s + 0.5 - record.now())
    record.line("all machines are in touch")
    asked_at_s = record.now()
    exiting = asyncio.create_task(exit_at(record, leaving, asked_at_s + 2.0))
    lost = await load(fleet, record, 320, entries)
    await exiting
    late = [a for a in leaving.arrivals if a[0] > asked_at_s]
    bound_s = left_at_s + DRAIN_S
    record.line(f"bookings that have run and are lost: {' '.join(lost) or 'none'}")
    record.line(
        f"{len(late)} reached {leaving.server_id} after {asked_at_s:.3f}, in touch;"
        f" its bound was {bound_s:.3f}"
    )
    return 1 if late else 0


main(FOLDER, case)
