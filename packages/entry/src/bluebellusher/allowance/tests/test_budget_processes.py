"""Guards, with real processes, against spending above a budget."""

import asyncio
import json
import signal

import aiohttp

from bluebellusher.allowance.tests.fakes import make_rules_text
from bluebellusher_standins.cluster import HOST, Cluster

KEY = {"Authorization": "Bearer key-of-c1"}
OPERATOR = {"Authorization": "Bearer key-of-op"}
TIMEOUT = aiohttp.ClientTimeout(total=60)
N_TOKENS = 20


def run_scenario(scenario, n_entries: int, budget: int) -> None:
    """Run a scenario with entries of one domain that have the rules in force."""

    async def inner() -> None:
        async with (
            Cluster() as cluster,
            aiohttp.ClientSession(timeout=TIMEOUT) as session,
        ):
            await cluster.start_platform()
            await cluster.start_engine("engine-1", "a", token_interval_ms=0.1)
            ports = cluster.reserve_peer_ports(n_entries)
            entries = [
                await cluster.start_entry(f"entry-{i}", "a", port)
                for i, port in enumerate(ports)
            ]
            body = {"change_id": "one", "base_version": 0, "author": "Mio"}
            body = {**body, "rules_text": make_rules_text(f"{budget} tokens")}
            url = f"http://{HOST}:{entries[0].port}/admin/rules"
            async with session.post(url, json=body, headers=OPERATOR) as answer:
                assert answer.status == 200, await answer.text()
            for entry in entries:
                await entry.wait_for("event=config-in-force version=1")
            await scenario(cluster, session, entries)

    asyncio.run(inner())


async def send_request(session, entry):
    """Send a request for ``N_TOKENS`` tokens; return the status and the headers."""
    message = {"role": "user", "content": "hello"}
    body = {"model": "model-a", "messages": [message], "max_tokens": N_TOKENS}
    url = f"http://{HOST}:{entry.port}/v1/chat/completions"
    async with session.post(url, json=body, headers=KEY) as answer:
        await answer.read()
        return answer.status, answer.headers


async def send_requests(session, entry, n_requests: int) -> int:
    """Send requests, 5 at a time, until one is rejected; return the number that ran."""
    n_completed = 0
    for _ in range(0, n_requests, 5):
        answers = await asyncio.gather(
            *(send_request(session, entry) for _ in range(5))
        )
        assert {status for status, _ in answers} <= {200, 429}
        n_completed += sum(status == 200 for status, _ in answers)
        if any(status == 429 for status, _ in answers):
            break
    return n_completed


async def send_until_rejected(session, entry):
    """Send requests one at a time until one is rejected.

    Concurrent requests reserve more units than they use, and the unused ones become
    free again. The result is the number that ran and the headers of the rejection.
    """
    for n_completed in range(1_000):
        status, headers = await send_request(session, entry)
        if status != 200:
            assert status == 429
            return n_completed, headers
    raise AssertionError("none of 1000 requests was rejected")


async def read_platform(session, cluster, path: str, **params):
    """Return the parsed JSON document at a path of the platform."""
    url = f"http://{HOST}:{cluster.platform_port}{path}"
    async with session.get(url, params=params) as answer:
        return json.loads(await answer.read())


async def read_usage(session, cluster) -> list[dict]:
    """Return all usage records."""
    names = await read_platform(session, cluster, "/objects", prefix="usage/")
    pages = [
        await read_platform(session, cluster, f"/objects/{name}")
        for name in names["objects"]
    ]
    return [record for page in pages for record in page["records"]]


async def read_granted_units(session, cluster) -> int:
    """Return the sum in units of all grants in the table."""
    rows = await read_platform(session, cluster, "/table/rows", prefix="allowance/")
    (row,) = rows["rows"]
    return sum(amount for _, amount in row["value"]["grants"].values())


async def set_faults(session, cluster, **faults) -> None:
    """Set faults of the platform."""
    url = f"http://{HOST}:{cluster.platform_port}/faults"
    async with session.post(url, json=faults) as answer:
        assert answer.status == 200


def test_budget_is_kept_with_an_entry_killed_and_one_frozen():
    """Guards against an entry that spends units since granted to another entry."""
    budget = 4_000

    async def scenario(cluster, session, entries):
        n_completed = sum(
            [await send_requests(session, entry, 20) for entry in entries]
        )
        assert n_completed == 60
        entries[1].signal(signal.SIGSTOP)
        entries[2].signal(signal.SIGKILL)
        n_completed += await send_requests(session, entries[0], 1_000)
        n_completed_singly, headers = await send_until_rejected(session, entries[0])
        assert int(headers["Retry-After"]) > 0
        entries[1].signal(signal.SIGCONT)
        n_completed += (
            n_completed_singly + (await send_until_rejected(session, entries[1]))[0]
        )
        assert await read_granted_units(session, cluster) <= budget
        # Every answer used all its output tokens and at least one input token.
        assert n_completed * (N_TOKENS + 1) <= budget
        for entry in entries[:2]:
            await entry.stop()
        records = await read_usage(session, cluster)
        n_recorded = sum(r["n_charged_units"] for r in records)
        assert n_recorded <= await read_granted_units(session, cluster) <= budget

    run_scenario(scenario, 3, budget)


def test_granted_units_can_be_spent_while_the_table_is_unavailable():
    """Guards against an outage that stops paid requests, and against overspending."""

    async def scenario(cluster, session, entries):
        assert (await send_request(session, entries[0]))[0] == 200
        await set_faults(session, cluster, is_down=True)
        assert await send_requests(session, entries[0], 5) > 0
        n_completed, headers = await send_until_rejected(session, entries[0])
        assert n_completed < 200 and int(headers["Retry-After"]) <= 5
        await set_faults(session, cluster, is_down=False)
        for _ in range(200):
            if (await send_request(session, entries[0]))[0] == 200:
                break
            await asyncio.sleep(0.05)
        assert (await send_request(session, entries[0]))[0] == 200

    run_scenario(scenario, 1, 20_000)


def test_usage_and_returned_grant_agree_after_shutdown():
    """Guards against usage that is lost or counted twice when answers are lost."""

    async def scenario(cluster, session, entries):
        assert await send_requests(session, entries[0], 30) == 30
        await set_faults(session, cluster, lose_answers=3)
        assert await send_requests(session, entries[0], 30) == 30
        assert await entries[0].stop() == 0
        records = await read_usage(session, cluster)
        assert sum(r["n_requests"] for r in records) == 60
        assert sum(r["n_output_tokens"] for r in records) == 60 * N_TOKENS
        n_charged = sum(r["n_charged_units"] for r in records)
        assert n_charged == await read_granted_units(session, cluster)

    run_scenario(scenario, 1, 100_000)
