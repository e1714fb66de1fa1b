"""A request that may not be repeated runs twice when its answer is lost."""

import asyncio
import os
import pathlib
import sys
from collections import Counter

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import Deployment, make_route, run_case  # noqa: E402
from http_io import Message  # noqa: E402
from record import Record  # noqa: E402

from engine import PREFIX, Engine, answer_whole, reset  # noqa: E402

N_REQUESTS = 300
N_CALLERS = 4
# One of the three engines loses the answer of one in 40 requests that it ran.
FAULTY_ENGINE = "i-desk-0"
LOSE_EVERY = 40


async def play(record: Record, is_troubled: bool) -> bool:
    """Send bookings by PUT; return whether none of them ran more than once."""
    n_answers = 0

    async def answer(
        engine: Engine,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        nonlocal n_answers
        n_answers += engine.engine_id == FAULTY_ENGINE
        is_lost = engine.engine_id == FAULTY_ENGINE and n_answers % LOSE_EVERY == 0
        if is_troubled and is_lost:
            attempt = request.get(f"{PREFIX}Attempt-Id")
            record.write("answer-lost", engine=engine.engine_id, attempt=attempt)
            reset(writer)
            return False
        return await answer_whole(engine, request, reader, writer)

    deployment = Deployment(
        record,
        [make_route("book", "non_idempotent", "desk", max_attempts=1)],
        [{"name": "desk", "max_connections": 96}],
    )
    try:
        await deployment.start(1)
        for index in range(3):
            engine = Engine(
                deployment.store, record, f"i-desk-{index}", "desk", answer=answer
            )
            await deployment.add_engine(engine)
        await deployment.wait_ready()
        entry = deployment.entries[0]
        numbers = iter(range(N_REQUESTS))
        sent: list[str] = []

        async def book() -> None:
            for number in numbers:
                attempt, _ = await deployment.call(
                    entry, "PUT", f"/book/{number}", 1_510, b"one meal"
                )
                sent.append(attempt)

        await asyncio.gather(*(book() for _ in range(N_CALLERS)))
        await asyncio.sleep(0.5)
        n_runs = Counter(
            run.get(f"{PREFIX}Attempt-Id")
            for engine in deployment.engines
            for run in engine.runs
        )
        if sum(n_runs.values()) < N_REQUESTS / 2:
            raise RuntimeError("the engines ran too few requests")
        twice = [attempt for attempt in sent if n_runs[attempt] > 1]
        record.write("checked", ran_twice=twice)
        return not twice
    finally:
        await deployment.stop()


# TROUBLE=0 plays the case without its disruption.
run_case(play, FOLDER, os.environ.get("TROUBLE", "1") != "0")
