"""Changes of the rules while an entry is frozen, with real processes."""

import asyncio
import json
import signal

import aiohttp

from bluebellusher.rollout.tests.network import OPERATOR, make_rules
from bluebellusher_standins.cluster import HOST, Cluster


async def apply(session, entry, change_id, base_version):
    """Send a change to an entry; return the status code and the body."""
    body = {
        "change_id": change_id,
        "base_version": base_version,
        "rules_text": make_rules(3 + base_version),
        "author": "Mio",
    }
    url = f"http://{HOST}:{entry.port}/admin/rules"
    async with session.post(url, data=json.dumps(body)) as answer:
        return answer.status, await answer.json()


def test_change_is_refused_only_while_an_entry_is_frozen():
    """Guards against acceptance while the only entry of a domain is unresponsive.

    The entry of domain c is stopped by SIGSTOP and keeps its connections. The change
    must be refused with the name of the domain. After SIGCONT, the next change must be
    accepted and come into force at all entries.
    """

    async def scenario(cluster, session):
        await cluster.start_platform()
        ports = cluster.reserve_peer_ports(3)
        entries = [
            await cluster.start_entry(f"entry-{domain}", domain, port)
            for domain, port in zip("abc", ports, strict=True)
        ]
        for domain in "bc":
            await entries[0].wait_for(f"event=peer-connected peer=entry-{domain}")
        assert (await apply(session, entries[0], "one", 0))[0] == 200
        for entry in entries:
            await entry.wait_for("event=config-in-force version=1")
        entries[2].signal(signal.SIGSTOP)
        status, answer = await apply(session, entries[0], "two", 1)
        assert (status, answer["version"]) == (409, 0)
        assert "failure domain c does not answer" in answer["reason"]
        entries[2].signal(signal.SIGCONT)
        # The other entries may have closed their connections to the frozen entry. The
        # change is refused until these are restored, and is repeated under new ids.
        for i in range(200):
            status, answer = await apply(session, entries[0], f"three-{i}", 1)
            if status == 200:
                break
            await asyncio.sleep(0.1)
        assert (status, answer["version"]) == (200, 2)
        for entry in entries:
            await entry.wait_for("event=config-in-force version=2")

    async def run_scenario():
        async with (
            Cluster() as cluster,
            aiohttp.ClientSession(headers=OPERATOR) as session,
        ):
            await scenario(cluster, session)

    asyncio.run(run_scenario())
