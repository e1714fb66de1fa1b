"""A server leaves just after the open connections to the store have gone silent."""

import asyncio
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

ZONES = ["obihiro", "obihiro", "otofuke", "memuro"]
# Bounds of the sheet.
CONTACT_S = 3.0
DRAIN_S = 2.0
# Time from its leaving to its exit: ``drain_ms`` and 1.5 s.
LIFE_S = 3.5


async def exit_at(record: Record, service: Service, at_s: float) -> None:
    """End a server at a time of the record."""
    await asyncio.sleep(at_s - record.now())
    await service.close()
    record.line(f"{service.server_id} exits")


async def load(
    fleet: Fleet, record: Record, seconds: float, entries: list[Machine]
) -> list[str]:
    """Send 80 requests a second, half of them bookings, in turn to the machines.

    Returns the ids of the bookings that have run and were not answered with success.
    """
    tasks = []
    for i in range(int(seconds * 80)):
        target = entries[i % len(entries)]
        method, path = ("GET", f"/look/{i}") if i // 4 % 2 else ("POST", f"/book/{i}")
        body = b"" if method == "GET" else b"booking " * 75
        tasks.append(asyncio.create_task(ask(record, target, method, path, body)))
        await asyncio.sleep(0.0125)
    failed = {a.attempt_id for a in await asyncio.gather(*tasks) if a.status != 200}
    runs = [run for service in fleet.services for run in service.arrivals]
    return [run[1] for run in runs if run[1] in failed and run[2].startswith("POST")]


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
    await asyncio.sleep(4)
    if await load(fleet, record, 1, entries):
        return None
    if not leaving.arrivals:
        return None
    silent_at_s = record.now()
    if has_trouble:
        for link in fleet.links.values():
            link.silence()
        record.line("the open connections to the store have gone silent")
    await asyncio.sleep(0.1)
    leaving.leave()
    left_at_s = record.now()
    record.line(f"the store accepted that {leaving.server_id} is gone")
    await asyncio.sleep(silent_at_s + CONTACT_S + 0.1 - record.now())
    record.line("all machines are in touch")
    asked_at_s = record.now()
    exiting = asyncio.create_task(exit_at(record, leaving, left_at_s + LIFE_S))
    lost = await load(fleet, record, 4, entries)
    await exiting
    late = [a for a in leaving.arrivals if a[0] > asked_at_s]
    bound_s = left_at_s + DRAIN_S
    record.line(f"bookings that have run and are lost: {' '.join(lost) or 'none'}")
    record.line(
        f"{len(late)} reached {leaving.server_id} after {asked_at_s:.3f}, in touch,"
        f" until {late[-1][0] if late else 0:.3f}; its bound was {bound_s:.3f}"
    )
    return 1 if late else 0


main(FOLDER, case)
