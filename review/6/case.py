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
FREEZE_S = 4.0


async def load(fleet: Fleet, record: Record, n: int, entries: list[Machine]) -> int:
    """Send ``n`` lookups, 40 a second, in turn to the machines; return the 200s."""
    tasks = []
    for i in range(n):
        target = entries[i % len(entries)]
        tasks.append(asyncio.create_task(ask(record, target, "GET", f"/look/{i}")))
        await asyncio.sleep(0.025)
    return sum(answer.status == 200 for answer in await asyncio.gather(*tasks))


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
    restarted, frozen = entries
    await asyncio.sleep(3)
    record.line(f"served before: {await load(fleet, record, 80, entries)} of 80")
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
    n_served = await load(fleet, record, 120, entries)
    late = [a for a in leaving.arrivals if a[0] > asked_at_s]
    bound_s = left_at_s + DRAIN_S
    record.line(
        f"served {n_served} of 120; {len(late)} reached {leaving.server_id}"
        f" after {asked_at_s:.3f}, in touch; its bound was {bound_s:.3f}"
    )
    return 1 if late else 0


main(FOLDER, case)
