"""Guards against total spending above a budget, and against lost usage."""

import asyncio
import json
from decimal import Decimal
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellusher.allowance import (
    AllowanceRegistry,
    GrantWriter,
    SpendingLimiter,
    UsageWriter,
)
from bluebellusher.allowance._costs import compute_cost, compute_max_cost
from bluebellusher.allowance.tests.fakes import FakePlatform, make_rules_text
from bluebellusher.rollout import ConfigInForce, ConfigSource
from bluebellusher.server import BadRequestError, RequestParser
from bluebellusher.settings import Settings
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.events import Usage
from bluebellusher_core.rollout import ConfigVersion
from bluebellusher_core.rules import Limit, parse_rules

LIMIT = 1_000
N_ENTRIES = 3
WALL_MS = 1_796_000_000_000
RULES = parse_rules(make_rules_text("1000 tokens")).ok
FAULTS = st.lists(st.sampled_from(["ok", "ok", "lost", "down"]), max_size=4)
ACTIONS = st.tuples(
    st.sampled_from(["spend", "spend", "spend", "settle", "return", "kill", "idle"]),
    st.integers(0, N_ENTRIES - 1),
    st.integers(1, 300),
    FAULTS,
)


class SpendingEntry:
    """Entry that spends from one budget; a killed one is replaced under a new id."""

    def __init__(self, name: str, platform: FakePlatform, clock: ManualClock) -> None:
        self.clock = clock
        registry = AllowanceRegistry(name, N_ENTRIES, clock)
        self.writer = GrantWriter(registry, platform, clock, Random(name))
        limit = Limit(Decimal(LIMIT), "tokens")
        self.allowance = registry.get_or_create("c1", "budget", limit, RULES, 1)
        self.reserved: dict[str, int] = {}
        self.n_spent = 0
        self._n_requests = 0

    async def run_action(self, action: str, amount: int) -> None:
        """Execute one action."""
        holder = self.allowance.holder
        if action == "spend":
            self._n_requests += 1
            request_id = f"r{self._n_requests}"
            self.allowance.used_at_ms = self.clock.now_ms()
            self.allowance.demand = amount
            await self.writer.write_due_grants(is_returning=False)
            self.allowance.demand = 0
            if holder.reserve(request_id, amount, self.clock.wall_ms()):
                self.reserved[request_id] = amount
        elif action == "settle" and self.reserved:
            request_id, reserved = self.reserved.popitem()
            self.n_spent += holder.settle(request_id, min(amount, reserved))
        elif action in ("return", "idle"):
            if action == "idle":
                self.clock.advance(40_000)
            await self.writer.write_due_grants(is_returning=action == "return")

    @property
    def n_used(self) -> int:
        """Return the units that are spent or reserved."""
        return self.n_spent + sum(self.reserved.values())


async def run_actions(actions) -> int:
    """Execute actions, check the budget after each, and return the units used."""
    clock = ManualClock(0, WALL_MS)
    platform = FakePlatform(clock)
    entries = [SpendingEntry(f"e{i}/1", platform, clock) for i in range(N_ENTRIES)]
    n_used = n_used_by_killed = 0
    for step, (action, index, amount, faults) in enumerate(actions):
        platform.faults = list(faults)
        if action == "kill":
            n_used_by_killed += entries[index].n_used
            entries[index] = SpendingEntry(f"e{index}/{step + 2}", platform, clock)
        else:
            await entries[index].run_action(action, amount)
        n_used = n_used_by_killed + sum(entry.n_used for entry in entries)
        assert n_used <= LIMIT
    return n_used


@given(st.lists(ACTIONS, min_size=20, max_size=60))
def test_property_sum_over_entries_stays_within_the_budget(actions):
    """Guards against overspending when answers are lost or entries are killed."""
    asyncio.run(run_actions(actions))


def test_budget_can_be_used_up():
    """Guards against grants that leave much unspent, which would hide overspending."""
    actions = [("spend", i % N_ENTRIES, 10, []) for i in range(150)]
    assert asyncio.run(run_actions(actions)) >= LIMIT * 0.95


def test_units_of_an_unanswered_return_are_not_spent():
    """Guards against units that two entries spend after a return lost its answer."""
    actions = [
        ("spend", 0, 300, []),
        ("settle", 0, 1, []),
        ("return", 0, 1, ["lost"]),
        ("spend", 0, 290, ["down"]),
        *[("spend", 1, 100, [])] * 10,
    ]
    assert asyncio.run(run_actions(actions)) > LIMIT * 0.85


def test_costs_follow_the_prices():
    """Guards against a maximum cost below the real cost."""
    usage = Usage(100, 40, 7)
    assert (
        compute_cost(RULES, "model-a", usage, is_tokens=False) == 60 * 200 + 4000 + 3500
    )
    assert compute_cost(RULES, "model-a", usage, is_tokens=True) == 107
    assert compute_max_cost(RULES, "model-a", 100, 7, is_tokens=False) == 20_000 + 3500
    assert compute_max_cost(RULES, "model-a", 100, 7, is_tokens=True) == 107


class SpendingWorld:
    """Spending limiter of one entry, with rules in force."""

    def __init__(self, rules_text: str) -> None:
        self.clock = ManualClock(0, WALL_MS)
        self.platform = FakePlatform(self.clock)
        models = ["model-a", "model-b"]
        service = {"service_id": "reply-writer", "kind": "model", "models": models}
        address = {"host": "127.0.0.1", "port": 0}
        settings = Settings.model_validate(
            {
                "instance_id": "e1",
                "failure_domain": "a",
                "shared_secret": "s3cr3t-of-this-test",
                "http": address,
                "peer_listen": address,
                "platform_url": "http://127.0.0.1:9",
                "services": [service],
                "customers": [{"customer_id": "c1", "credentials": ["k"]}],
            }
        )
        self.parser = RequestParser(settings)
        in_force = ConfigInForce(settings, self, self.clock)
        config = ConfigVersion(1, "one", rules_text, "Mio", 1)
        assert in_force.offer(config, ConfigSource("table"))
        parts = (settings, 7, in_force, self.platform, self.clock, Random(1))
        self.spending = SpendingLimiter.from_parts(*parts)

    def post(self, _event) -> None:
        """Discard an event."""

    def log(self, *_args, **_fields) -> None:
        """Discard a log line."""

    async def admit(self, request_id: str, n_tokens: int):
        """Admit a request for up to ``n_tokens`` tokens; return the request to run."""
        headers = {"authorization": "Bearer k", "x-priority": "high"}
        message = {"role": "user", "content": "x"}
        body = {"model": "model-a", "messages": [message], "max_tokens": n_tokens}

        def parse(data):
            return self.parser.parse_model(headers, data)

        draft = parse(json.dumps(body).encode())
        return await self.spending.admit(request_id, draft, parse)


def run_spending(rules_text: str, scenario) -> None:
    """Run a scenario while the tasks of the spending limiter run."""

    async def inner() -> None:
        world = SpendingWorld(rules_text)
        world.spending.start()
        await scenario(world)
        await world.spending.close()

    asyncio.run(inner())


@pytest.mark.parametrize(
    ("exhausted", "priority", "model"),
    [
        ("lower-priority up to 500 tokens", "LOW", "model-a"),
        ("cheaper-model model-b up to 500 tokens", "HIGH", "model-b"),
    ],
)
def test_when_exhausted_applies_after_the_budget(exhausted, priority, model):
    """Guards against an early rejection, and against requests above the extra limit."""

    async def scenario(world):
        first = await world.admit("r1", 300)
        assert (first.priority.name, first.model) == ("HIGH", "model-a")
        second = await world.admit("r2", 300)
        assert (second.priority.name, second.model) == (priority, model)
        assert json.loads(second.body)["model"] == model
        with pytest.raises(BadRequestError) as caught:
            await world.admit("r3", 300)
        assert caught.value.reason == "budget_exhausted"
        # WALL_MS is on 2026-11-30 in Tokyo.
        assert 0 < caught.value.retry_after_ms < 86_400_000

    run_spending(make_rules_text("500 tokens", exhausted), scenario)


def test_settled_request_returns_its_reservation_once():
    """Guards against a charge for a request that did not run, and double settlement."""

    async def scenario(world):
        for _ in range(5):
            await world.admit("r1", 300)
            world.spending.settle("r1", "not_run", None)
            world.spending.settle("r1", "not_run", None)
        await world.spending.close()
        (key,) = world.spending._registry.allowance_by_key
        grants = world.platform.table.read(key).value["grants"]
        assert [amount for _, amount in grants.values()] == [0]
        assert world.platform.object_by_name == {}

    run_spending(make_rules_text("500 tokens"), scenario)


@given(st.lists(st.tuples(st.integers(1, 9), FAULTS), max_size=30))
def test_property_usage_is_stored_exactly_once(steps):
    """Guards against usage that is lost or doubled when an answer is lost."""

    async def scenario():
        clock = ManualClock(0, WALL_MS)
        platform = FakePlatform(clock)
        writer = UsageWriter("usage/a/e1/7", platform, clock, Random(1))
        for amount, faults in steps:
            platform.faults = list(faults)
            usage = Usage(amount, 0, amount)
            writer.add("c1", "model-a", 1, ("budget", "tokens", 2 * amount), usage)
            await writer.flush()
        platform.faults = []
        while not await writer.flush():
            pass
        stored = [json.loads(data) for data in platform.object_by_name.values()]
        records = [record for item in stored for record in item["records"]]
        n_units = sum(amount for amount, _ in steps)
        assert sum(r["n_output_tokens"] for r in records) == n_units
        assert sum(r["n_charged_units"] for r in records) == 2 * n_units
        assert sum(r["n_requests"] for r in records) == len(steps)

    asyncio.run(scenario())
