"""Guards against changes that are lost, reverted or in force at some sites only."""

import asyncio
from dataclasses import replace

from bluebellusher.rollout import ConfigSource, _changes
from bluebellusher.rollout._compression import compress_text, decompress_text
from bluebellusher.rollout.tests.network import Network, make_rules
from bluebellusher_core.rollout import ConfigVersion, WriteChange, _change
from bluebellusher_core.rules import Share
from bluebellusher_core.wire import messages


def run(scenario, *names: str) -> None:
    """Run a scenario in a network of connected entries."""

    async def run_scenario() -> None:
        async with Network() as network:
            await network.start(*names)
            await network.wait_until_connected()
            await scenario(network)

    asyncio.run(run_scenario())


def test_change_comes_into_force_at_all_entries():
    """Guards against entries that keep old rules after a change.

    The test also covers the pages for operators, and the rejection of rules with
    errors and of credentials that are not an operator's.
    """

    async def scenario(network):
        answer = await network.apply("a1", "one", 0, make_rules(3))
        assert answer[0] == 200 and answer[1]["version"] == 1
        await network.wait_until_in_force(1)
        for name, entry in network.entry_by_name.items():
            await network.wait_until(lambda e=entry: e.state.config_version == 1)
            assert entry.state.weight_by_customer == {"c1": 3.0}, name
            assert entry.rollout.in_force.rules.customers == ("c1",)
        _, status = await network.get("b1", "/status")
        assert status["config_version"] == status["config"]["version"] == 1
        assert status["config"]["source"].startswith(("table", "peer:"))
        _, head = await network.get("c1", "/rules")
        assert (head["version"], head["author"]) == (1, "author of one")
        assert head["rules_text"] == make_rules(3)
        _, versions = await network.get("c1", "/rules/versions")
        assert [v["version"] for v in versions["versions"]] == [1]
        assert await network.get("c1", "/rules/changes/one") == (
            200,
            {"state": "accepted", "version": 1},
        )
        assert (await network.get("c1", "/rules/changes/two"))[0] == 404
        assert (await network.apply("a1", "bad", 1, "nonsense\n"))[0] == 400
        network.session.headers["Authorization"] = "Bearer key-of-c1"
        assert (await network.apply("a1", "two", 1, make_rules(4)))[0] == 401

    run(scenario, "a1", "a2", "b1", "c1")


def test_only_one_of_two_concurrent_changes_is_accepted():
    """Guards against two changes of one base version that are both accepted."""

    async def scenario(network):
        answers = await asyncio.gather(
            network.apply("a1", "one", 0, make_rules(3)),
            network.apply("b1", "two", 0, make_rules(4)),
        )
        assert sorted(status for status, _ in answers) == [200, 409]
        accepted, refused = sorted(answers, key=lambda answer: answer[0])
        weight = 3 if answers[0] is accepted else 4
        assert refused[1]["head_version"] == 1
        assert refused[1]["rules_text"] == make_rules(weight)
        await network.wait_until_in_force(1)
        status, answer = await network.apply("a1", "three", 1, make_rules(5))
        assert (status, answer["version"]) == (200, 2)
        _, versions = await network.get("a1", "/rules/versions")
        texts = [v["rules_text"] for v in versions["versions"]]
        assert texts == [make_rules(weight), make_rules(5)]

    run(scenario, "a1", "b1")


def test_lost_answer_of_the_table_is_resolved():
    """Guards against a change that is written twice or reported as refused.

    The platform executes the transaction, but its answer is lost.
    """

    async def scenario(network):
        network.platform.faults.lose_answers = 1
        status, answer = await network.apply("a1", "one", 0, make_rules(3))
        assert (status, answer["version"]) == (200, 1)
        await network.wait_until_in_force(1)
        assert await network.apply("b1", "one", 0, make_rules(3)) == (status, answer)
        status, answer = await network.apply("b1", "one", 0, make_rules(9))
        assert (status, answer["state"]) == (409, "refused")
        _, versions = await network.get("a1", "/rules/versions")
        assert len(versions["versions"]) == 1

    run(scenario, "a1", "b1")


def test_unknown_change_is_resolved(monkeypatch):
    """Guards against a change that stays unknown, or is written after its refusal.

    The platform fails before the write of change two. The entry then records the
    change as refused, and a delayed write of it must conflict.
    """
    monkeypatch.setattr(_change, "CHANGE_DEADLINE_MS", 500)
    monkeypatch.setattr(_changes, "_RESOLVE_INTERVAL_S", 0.05)

    async def scenario(network):
        network.platform.faults.is_down = True
        status, answer = await network.apply("a1", "one", 0, make_rules(3))
        assert (status, answer["state"]) == (503, "unknown")
        network.platform.faults.is_down = False
        read_rows = network.entry_by_name["a1"].rollout._runner._table.read_rows

        async def read_then_fail(change_id):
            rows = await read_rows(change_id)
            network.platform.faults.is_down = True
            return rows

        table = network.entry_by_name["a1"].rollout._runner._table
        table.read_rows = read_then_fail
        status, answer = await network.apply("a1", "two", 0, make_rules(3))
        assert (status, answer["state"]) == (503, "unknown")
        table.read_rows = read_rows
        network.platform.faults.is_down = False
        key = "config/change/two"
        await network.wait_until(lambda: network.platform.table.read(key).version)
        status, answer = await network.get("b1", "/rules/changes/two")
        assert (status, answer["state"]) == (200, "refused")
        status, answer = await network.apply("b1", "two", 0, make_rules(3))
        assert (status, answer["state"]) == (409, "refused")
        late_write = WriteChange(0, ConfigVersion(1, "two", make_rules(3), "Mio", 1))
        result = await table.write_change(late_write, "op")
        assert (result.status, result.rows.change_version) == ("conflict", -1)

    run(scenario, "a1", "b1")


def test_refusal_names_the_domain_that_is_cut_off():
    """Guards against a change that is accepted without a domain that is cut off.

    An operator can list the domain to apply the change without it. The domain must
    receive that version when it is connected again.
    """

    async def scenario(network):
        network.cut_off("c")
        # The change is refused both before and after a1 detects that the connection to
        # c1 is lost.
        for change_id in ("one", "two"):
            status, answer = await network.apply("a1", change_id, 0, make_rules(3))
            assert (status, answer["state"]) == (409, "refused")
            assert "failure domain c does not answer" in answer["reason"]
            a1 = network.entry_by_name["a1"]
            await network.wait_until(
                lambda e=a1: "c1" not in e.peers.connections_by_peer_id
            )
        status, answer = await network.apply(
            "a1", "two", 0, make_rules(3), without_domains=["c"]
        )
        assert (status, answer["version"]) == (200, 1)
        await network.wait_until(lambda: network.get_version("b1") == 1)
        assert network.get_version("c1") == 0
        network.heal()
        await network.wait_until_in_force(1)

    run(scenario, "a1", "b1", "c1")


def test_domain_of_the_instance_list_without_peers_must_answer():
    """Guards against a domain that is ignored because it has no configured peer."""

    async def scenario(network):
        network.platform.set_instance(
            {
                "instance_id": "d1",
                "role": "entry",
                "state": "running",
                "failure_domain": "d",
                "host": "127.0.0.1",
                "port": 9,
            }
        )
        status, answer = await network.apply("a1", "one", 0, make_rules(3))
        assert status == 409 and "failure domain d" in answer["reason"]

    run(scenario, "a1", "b1")


def test_stale_version_never_replaces_a_newer_one():
    """Guards against an older version that replaces the one in force.

    The older version arrives from a stale read of the table and in a delayed push from
    a peer.
    """

    async def scenario(network):
        await network.apply("a1", "one", 0, make_rules(3))
        old_rows = dict(network.platform.table._row_by_key)
        await network.apply("a1", "two", 1, make_rules(4))
        await network.wait_until_in_force(2)
        network.platform.table._row_by_key = old_rows
        a1, b1 = (network.entry_by_name[name].rollout for name in ("a1", "b1"))
        for rollout in (a1, b1):
            await rollout._distributor._poll_once()
        b1._distributor._receive_push(
            "a1",
            messages.ConfigPush(version=1, change_id="one", rules_text=make_rules(3)),
        )
        assert decompress_text(compress_text(make_rules(3))) == make_rules(3)
        for rollout in (a1, b1):
            assert rollout.in_force.version == 2
            assert rollout.in_force.current.rules_text == make_rules(4)
        _, head = await network.get("b1", "/rules")
        assert head["version"] == 2

    run(scenario, "a1", "b1")


def test_entry_gets_rules_from_peers_while_the_table_is_down():
    """Guards against an entry that starts without rules while the table is down.

    The entry must receive the rules from its peers.
    """

    async def scenario(network):
        await network.apply("a1", "one", 0, make_rules(3))
        await network.wait_until_in_force(1)
        network.platform.faults.is_down = True
        await network.start("b1")
        await network.wait_until_in_force(1)
        _, status = await network.get("b1", "/status")
        assert status["config"]["source"].startswith("peer:a")
        assert status["config"]["confirmed_age_ms"] is None

    run(scenario, "a1", "a2")


def test_entry_without_peers_polls_the_table():
    """Guards against an entry without connected peers that never polls the table."""

    async def scenario(network):
        network.cut_off("b")
        network.platform.faults.cut_off_domains = []
        await network.apply("a1", "one", 0, make_rules(3), without_domains=["b"])
        await network.wait_until_in_force(1)
        assert (
            network.entry_by_name["b1"].rollout.in_force.status()["source"] == "table"
        )

    run(scenario, "a1", "b1")


def test_version_with_unknown_syntax_keeps_the_previous_rules():
    """Guards against a version with unknown syntax that replaces valid rules.

    Such a version arrives when other entries run newer software. It must be logged
    only once, and the next version that can be parsed must come into force.
    """

    async def scenario(network):
        await network.apply("a1", "one", 0, make_rules(3))
        await network.wait_until_in_force(1)
        b1 = network.entry_by_name["b1"].rollout.in_force
        text = make_rules(5) + "newer-keyword 1 # Mio: later software\n"
        offered = replace(b1.current, version=2, rules_text=text, change_id="two")
        for _ in range(2):
            assert not b1.offer(offered, ConfigSource("table"))
        assert (b1.version, b1.highest_offered_version) == (1, 2)
        assert b1.rules.of_type(Share)[0].weight == 3
        assert network.log_by_name["b1"].getvalue().count("config-rejected") == 1
        newest = replace(
            offered, version=3, rules_text=make_rules(6), change_id="three"
        )
        assert b1.offer(newest, ConfigSource("table"))

    run(scenario, "a1", "b1")


def test_change_that_a_peer_cannot_parse_is_refused(monkeypatch):
    """Guards against an accepted change that one entry cannot put into force."""

    async def scenario(network):
        runner = network.entry_by_name["b1"].rollout._runner
        links, send = runner._links, runner._links.send

        def send_refusal(peer_id, message):
            if isinstance(message, messages.ConfigStaged):
                message.is_staged, message.reason = False, "line 4: unknown keyword"
            return send(peer_id, message)

        monkeypatch.setattr(links, "send", send_refusal)
        status, answer = await network.apply("a1", "one", 0, make_rules(3))
        assert (status, answer["state"]) == (409, "refused")
        assert "b1 refused to stage it: line 4" in answer["reason"]
        assert network.platform.table.read("config/head").version == 0

    run(scenario, "a1", "b1")
