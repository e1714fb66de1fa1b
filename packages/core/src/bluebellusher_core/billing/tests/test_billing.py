"""Tests of forecast, bill and explanation."""

from decimal import Decimal

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from bluebellusher_core.billing import (
    EngineUsage,
    Month,
    RulesVersion,
    TokenUsage,
    compute_bill,
    compute_forecast,
    explain_bill_difference,
    explain_version_difference,
)
from bluebellusher_core.billing.tests.simulation import (
    Meter,
    simulate_engines,
    simulate_load,
)
from bluebellusher_core.rules import RuleSet, parse_rules
from bluebellusher_core.rules.tests.strategies import COMMON_RULES, rules_texts

MONTHS = st.sampled_from(["2027-01", "2027-02", "2027-03", "2027-10", "2028-02"])
# One example simulates 44,000 minutes per customer. The shrinking phase is left out,
# because to shrink a failure would take minutes.
SLOW_SETTINGS = settings(max_examples=8, phases=[Phase.explicit, Phase.generate])


def parse(text: str) -> RuleSet:
    """Parse a text that must have no errors."""
    result = parse_rules(text)
    assert result.is_ok(), [e.render() for e in result.error]
    return result.ok


def build_rules(*lines: str, zone: str = "UTC") -> RuleSet:
    """Return a rule set with two services, two models, all prices, and the lines."""
    text = "".join(f"{line} # Mio Kato: test\n" for line in lines)
    return parse(COMMON_RULES.format(zone=zone) + text)


RULE_SETS = rules_texts().map(parse)


@given(RULE_SETS, MONTHS)
def test_property_forecast_adds_up(rules: RuleSet, text: str) -> None:
    """Guards against sums by rule, customer or service that differ from the total.

    Also guards against a minimum above the expected value and against an expected
    value above the ceiling.
    """
    result = compute_forecast(rules, Month.from_text(text, rules.month_zone))
    for groups in (
        result.sum_by_rule(),
        result.sum_by_customer(),
        result.sum_by_service(),
    ):
        amounts = list(groups.values())
        for field in ("minimum", "expected", "ceiling"):
            total = sum((getattr(a, field) for a in amounts), Decimal(0))
            assert total == getattr(result.total, field)
        assert all(0 <= a.minimum <= a.expected <= a.ceiling for a in amounts)


@SLOW_SETTINGS
@given(RULE_SETS, MONTHS)
def test_property_simulated_month_matches_forecast(rules: RuleSet, text: str) -> None:
    """Guards against an expected value that differs from a simulation of the load.

    Also guards against a bill of the simulated usage above the ceiling.
    """
    month = Month.from_text(text, rules.month_zone)
    usage = simulate_engines(rules, month)
    for customer, loads in rules.loads_by_customer.items():
        meter = Meter(customer)
        for load in loads:
            usage += simulate_load(rules, load, month, meter)
    actual = compute_bill(rules, usage, month)
    result = compute_forecast(rules, month)
    for customer, amount in result.sum_by_customer().items():
        lines = [line.amount for line in actual.lines if line.customer == customer]
        # The simulation may lose one request of 900 tokens, which costs up to 0.15,
        # in each daily window.
        allowed = amount.expected / 100 + 1
        assert abs(sum(lines) - amount.expected) <= allowed, customer
    assert actual.total <= result.total.ceiling


REQUEST_BATCHES = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["large", "small"]),
        st.integers(0, 31 * 86400 - 1),
        # The ceiling assumes that all tokens are output tokens, which cost the most.
        st.just((0, 0, 1000)) | st.tuples(*[st.integers(0, 1000)] * 3),
        st.sampled_from([1, 10**5, 10**9]),
    ),
    max_size=40,
)


@given(RULE_SETS, RULE_SETS, st.integers(0, 31 * 86400), REQUEST_BATCHES)
def test_property_usage_within_limits_stays_below_ceiling(
    first: RuleSet, second: RuleSet, offset_s: int, batches: list
) -> None:
    """Guards against a bill above the ceiling if the rules change within the month."""
    month = Month.from_text("2027-01", "UTC")
    changed_at_s = month.begin_s + offset_s
    versions = [RulesVersion(first, None, 1), RulesVersion(second, changed_at_s, 2)]
    meters = [Meter(f"c{i}") for i in range(3)]
    usage = []
    for index, model, after_s, counts, n_requests in sorted(
        batches, key=lambda batch: batch[2]
    ):
        at_s = month.begin_s + after_s // 60 * 60
        meter, rules = meters[index], first if at_s < changed_at_s else second
        if meter.customer in rules.customers:
            usage += meter.admit(rules, model, at_s, counts, n_requests)
    actual = compute_bill(versions, usage, month)
    ceilings = compute_forecast(versions, month).sum_by_customer()
    for line in actual.lines:
        lines = [x.amount for x in actual.lines if x.customer == line.customer]
        assert sum(lines) <= ceilings[line.customer].ceiling


@given(RULE_SETS, RULE_SETS, MONTHS, MONTHS)
def test_property_parts_add_up(
    first: RuleSet, second: RuleSet, text_a: str, text_b: str
) -> None:
    """Guards against parts that do not add up to the difference of two rule sets."""
    month_a = Month.from_text(text_a, first.month_zone)
    month_b = Month.from_text(text_b, second.month_zone)
    result = explain_bill_difference(first, second, month_a, month_b)
    assert result.before == compute_forecast(first, month_a).total.expected
    assert result.after == compute_forecast(second, month_b).total.expected
    assert sum(part.amount for part in result.parts) == result.difference


@given(
    st.lists(RULE_SETS, min_size=2, max_size=4), st.integers(0, 40 * 86400), st.data()
)
def test_property_parts_add_up_over_versions(
    rule_sets: list[RuleSet], step_s: int, data: st.DataObject
) -> None:
    """Guards against parts that leave out a version accepted within the month."""
    month = Month.from_text("2027-03", "Europe/Berlin")
    versions = [
        RulesVersion(rules, month.begin_s - 86400 + i * step_s, i + 1)
        for i, rules in enumerate(rule_sets)
    ]
    number = data.draw(st.integers(1, len(rule_sets)))
    result = explain_version_difference(versions, number, len(rule_sets), month)
    assert result.before == compute_forecast(versions[:number], month).total.expected
    assert result.after == compute_forecast(versions, month).total.expected
    assert sum(part.amount for part in result.parts) == result.difference


@pytest.mark.parametrize(
    ("text", "zone", "n_hours"),
    [
        ("2027-02", "Asia/Tokyo", 672),
        ("2028-02", "Asia/Tokyo", 696),
        ("2027-03", "Europe/Berlin", 743),
        ("2027-10", "Europe/Berlin", 745),
    ],
)
def test_months_have_their_real_length(text: str, zone: str, n_hours: int) -> None:
    """Guards against month lengths that ignore leap years or changes of the clocks."""
    rules = build_rules(f"engines desk 2 {zone}", zone=zone)
    result = compute_forecast(rules, Month.from_text(text, zone))
    assert result.total.expected == n_hours * 2 * 3


def test_windows_follow_their_precedence() -> None:
    """Guards against an hour that is charged under two engine rules of a service."""
    rules = build_rules(
        "engines desk 1 UTC",
        "engines desk 3 from 08:00 to 18:00 on Mon-Fri UTC",
        "engines desk 0 on 2027-02-01 UTC",
    )
    result = compute_forecast(rules, Month.from_text("2027-02", "UTC"))
    n_hours = 27 * 24 + 19 * 10 * 2
    assert result.total.expected == n_hours * 3


def test_rate_limits_the_expected_value() -> None:
    """Guards against an expected value for more tokens than a token rate admits."""
    rules = build_rules(
        "customer c0",
        "rate c0 100 tokens per second",
        # The window is one hour shorter on 2027-03-28, because the clocks in Berlin
        # skip the hour from 02:00 to 03:00.
        "load c0 large 800 requests per day input 900 "
        "from 01:00 to 03:00 Europe/Berlin",
    )
    month = Month.from_text("2027-03", "Europe/Berlin")
    n_tokens = 30 * 720_000 + 360_000
    assert (
        compute_forecast(rules, month).total.expected == Decimal(n_tokens) * 60 / 10**6
    )


@pytest.mark.parametrize("budget", ["500 JPY", "1000000 tokens"])
@pytest.mark.parametrize(
    "action",
    [
        "refuse",
        "lower-priority up to 300 JPY",
        "lower-priority up to 2000000 tokens",
        "cheaper-model small up to 300 JPY",
        "cheaper-model small up to 2000000 tokens",
    ],
)
def test_fully_used_limits_reach_ceiling(budget: str, action: str) -> None:
    """Guards against a ceiling that differs from the cost of fully used limits."""
    rules = build_rules(
        "customer c0", f"budget c0 {budget} per month", f"when-exhausted c0 {action}"
    )
    month = Month.from_text("2027-01", "UTC")
    usage = Meter("c0").admit(rules, "large", month.begin_s, (0, 0, 1), 10**9)
    unused = (
        compute_forecast(rules, month).total.ceiling
        - compute_bill(rules, usage, month).total
    )
    assert 0 <= unused <= Decimal("0.01")


@pytest.mark.parametrize("action", ["refuse", "cheaper-model small"])
def test_fully_used_rate_reaches_ceiling(action: str) -> None:
    """Guards against a ceiling that differs from the cost of a fully used rate."""
    rules = build_rules(
        "customer c0",
        "rate c0 6000 tokens per minute",
        "budget c0 100000 JPY per month",
        f"when-exhausted c0 {action}",
        "load c0 large 86400 requests per day output 100 UTC",
    )
    result = compute_forecast(rules, Month.from_text("2027-02", "UTC")).total
    assert result.expected == result.ceiling == Decimal(28 * 86400) * 100 * 320 / 10**6


def test_versions_price_usage_at_its_time() -> None:
    """Guards against usage priced by a version not in force at the time of use."""
    month = Month.from_text("2027-01", "UTC")
    middle_s = month.begin_s + 86400
    first = build_rules("engines desk 1 UTC")
    dearer = first.render().replace("desk 3 per hour", "desk 5 per hour")
    second = parse(dearer.replace("320 per million", "400 per million"))
    versions = [RulesVersion(first, None, 1), RulesVersion(second, middle_s, 2)]
    usage = [
        EngineUsage("desk", middle_s - 3600, middle_s + 3600, 1),
        TokenUsage("c0", "large", middle_s - 1, 0, 0, 10**6),
        TokenUsage("c0", "large", middle_s, 0, 0, 10**6),
    ]
    result = compute_bill(versions, usage, month)
    assert sorted(line.amount for line in result.lines) == [3, 5, 320, 400]
    with pytest.raises(ValueError, match="price of input"):
        compute_bill(first, [TokenUsage("c0", "oak", middle_s, 1, 0, 0)], month)


def test_parts_name_rule_author_and_time() -> None:
    """Guards against a part that names the wrong rule, author or acceptance time."""
    month = Month.from_text("2027-01", "UTC")
    old = build_rules("engines desk 1 UTC")
    text = old.render().replace("3 per hour # Aiko Mori: lease", "4 per hour # Ai: up")
    text += "customer c0 # Yui: new\nbudget c0 500 JPY per month # Yui: new\n"
    text += "load c0 large 1000 requests per day output 100 UTC # Yui: new\n"
    versions = [
        RulesVersion(old, 0, 1),
        RulesVersion(parse(text), month.begin_s + 86400, 2),
    ]
    result = explain_version_difference(versions, 1, 2, month)
    amount_by_author = {
        p.change.rule.author: p.amount for p in result.parts if p.amount
    }
    assert amount_by_author == {"Ai": 30 * 24, "Yui": 500}
    assert {part.accepted_s for part in result.parts} == {month.begin_s + 86400}


def test_price_and_quantity_share_their_joint_effect() -> None:
    """Guards against parts that depend on the order in which changes are applied."""
    old = build_rules("engines desk 1 UTC")
    text = old.render().replace("3 per hour", "4 per hour").replace("desk 1", "desk 2")
    parts = explain_bill_difference(
        old, parse(text), Month.from_text("2027-01", "UTC")
    ).parts
    assert {p.change.rule.KEYWORD: p.amount for p in parts} == {
        "engine-price": Decimal(744) * 3 / 2,
        "engines": Decimal(744) * 7 / 2,
    }
