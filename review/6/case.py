"""Another writer registers a service that no configuration names."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from fleet import (  # noqa: E402
    Answer,
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
SERVER_ZONES = ["obihiro", "otofuke", "memuro"]
TRAFFIC_S = 20


async def load(record: Record, entries: list[Machine]) -> list[Answer]:
    """Send 20 requests a second, half of them bookings, in turn to the machines."""
    tasks = []
    for i in range(TRAFFIC_S * 20):
        target = entries[i % len(entries)]
        method, path = ("GET", f"/look/{i}") if i // 4 % 2 else ("POST", f"/book/{i}")
        body = b"" if method == "GET" else b"booking " * 75
        tasks.append(asyncio.create_task(ask(record, target, method, path, body)))
        await asyncio.sleep(0.05)
    return list(await asyncio.gather(*tasks))


async def case(fleet: Fleet, record: Record, has_trouble: bool) -> int | None:
    """Play the case; return 1 if no request was served."""
    await fleet.start_store()
    routes = [
        make_route("r-1", "/look/", "idempotent", "desk"),
        make_route("r-2", "/book/", "non_idempotent", "desk"),
    ]
    fleet.store.put("op", "config", make_config(7, routes, [make_service("desk")]))
    for i, zone in enumerate(SERVER_ZONES):
        await fleet.add_service(
            Service(fleet.store, record, f"i-{i}", "desk", zone, work_s=0.06)
        )
    entries = await fleet.add_entries(ZONES)
    for machine in entries:
        await machine.start()
    for machine in entries:
        if not await machine.wait_ready():
            return None
    await asyncio.sleep(2)
    if has_trouble:
        for service in fleet.services:
            row = service.copy_row("probe")
            fleet.store.put("servers", f"probe-{service.server_id}", row)
            record.line(f"another writer registers {row}")
    await asyncio.sleep(4)
    answers = await load(record, entries)
    n_served = sum(answer.status == 200 for answer in answers)
    n_refused = sum(answer.status == 503 for answer in answers)
    record.line(f"{n_served} served and {n_refused} refused of {len(answers)}")
    return 1 if n_served == 0 else 0


main(FOLDER, case)
