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


async def load(
    fleet: Fleet, record: Record, seconds: float, entries: list[Machine]
) -> list[str]:
    """Send 80 lookups a second in turn to the machines; return the ids of the 200s."""
    tasks = []
    for i in range(int(seconds * 80)):
        target = entries[i % len(entries)]
        tasks.append(asyncio.create_task(ask(record, target, "GET", f"/look/{i}")))
        await asyncio.sleep(0.0125)
    answers = await asyncio.gather(*tasks)
    return [answer.attempt_id for answer in answers if answer.status == 200]


async def case(fleet: Fleet, record: Record, has_trouble: bool) -> int | None:
    """Play the case; return 1 if a request reached the server too late."""
    await fleet.start_store()
    routes = [make_route("r-1", "/look/", "idempotent", "desk")]
    fleet.store.put("op", "config", make_config(7, routes, [make_service("desk")]))
    for i, zone in enumerate(["obihiro", "otofuke", "memuro"]):
        await fleet.add_service(
            Service(fleet.store, record, f"i-{i}", "desk", zone, work_s=0.06)
        )
    leaving = fleet.services[0]
    entries = await fleet.add_entries(ZONES)
    for machine in entries:
        await machine.start()
    for machine in entries:
        if not await machine.wait_ready():
            return None
    await asyncio.sleep(4)
    await load(fleet, record, 1, entries)
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
    served = await load(fleet, record, 4, entries)
    late = [a for a in leaving.arrivals if a[0] > asked_at_s]
    bound_s = left_at_s + DRAIN_S
    record.line(
        f"served {len(served)}; {len(late)} reached {leaving.server_id} after"
        f" {asked_at_s:.3f}, in touch, until {late[-1][0] if late else 0:.3f};"
        f" its bound was {bound_s:.3f}"
    )
    return 1 if late else 0


main(FOLDER, case)
