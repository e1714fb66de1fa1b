"""Switch, log lines and metrics of the traffic between failure domains."""

from types import SimpleNamespace

from bluebellusher.gateway._domain_traffic import DomainTraffic, make_policy
from bluebellusher.gateway.tests.harness import answer_sealed, run_scenario
from bluebellusher.observability import Metrics
from bluebellusher.settings import DomainTrafficSettings
from bluebellusher_core.domain_traffic import DomainLoad, ShareDecision
from bluebellusher_core.reducer import EntryConfig, EntryState
from bluebellusher_core.routing import DomainAware, SlotAware
from bluebellusher_core.routing._domain_load import PoolTraffic

PRICE = DomainTrafficSettings(price_per_gb=900, answer_value=3)


def make_traffic(price=PRICE):
    """Return the observed traffic of an entry, its policy, log lines and metrics."""
    settings = SimpleNamespace(domain_traffic=price, failure_domain="a")
    state = EntryState.from_config(EntryConfig("e"), make_policy(settings))
    lines, metrics = [], Metrics()
    log = SimpleNamespace(log=lambda name, **fields: lines.append((name, fields)))
    return DomainTraffic(state, "a", log, metrics), state.policy, lines, metrics


def set_share(policy, share):
    """Let the policy have decided this share for domain ``b``."""
    loads = {"a": DomainLoad(20, 18, 15), "b": DomainLoad(20, 2, 5)}
    decision = ShareDecision({"b": share} if share else {}, 20.0)
    policy.traffic_by_pool["s", "", ""] = PoolTraffic(decision, load_by_domain=loads)


def test_nothing_changes_without_a_price():
    """Guards against another choice, line or metric where no price is set."""
    traffic, policy, lines, metrics = make_traffic(price=None)
    assert policy == SlotAware("a")
    traffic.tick(1_000)
    traffic.reload(PRICE)
    traffic.count_attempt("s", "b", 4_000)
    assert (lines, traffic.compute_gauges()) == ([], {})
    assert "domain_traffic" not in metrics.to_prometheus({})


def test_large_changes_of_a_share_are_logged():
    """Guards against a share without a trace in the log, and against many lines."""
    traffic, policy, lines, _ = make_traffic()
    for now_ms, share in ((1_000, 0.05), (2_000, 0.3), (2_100, 0.5), (4_000, 0.35)):
        set_share(policy, share)
        traffic.tick(now_ms)
    set_share(policy, 0.0)
    traffic.tick(6_000)
    assert [fields["share"] for _, fields in lines] == [0.3, 0.0]
    assert lines[0][1]["domain"] == "b"
    assert lines[0][1]["own_occupied"] == 18


def test_share_and_bytes_are_exported_by_service():
    """Guards against traffic between domains that nobody sees."""
    traffic, policy, _, metrics = make_traffic()
    set_share(policy, 0.25)
    traffic.count_attempt("s", "a", 4_000)
    traffic.count_attempt("s", "b", 4_000)
    text = metrics.to_prometheus(traffic.compute_gauges())
    assert "# TYPE bluebellusher_domain_traffic_share gauge" in text
    assert 'bluebellusher_domain_traffic_share{service="s"} 0.25' in text
    assert 'bluebellusher_domain_traffic_attempts_total{service="s"} 1' in text
    assert 'bluebellusher_domain_traffic_bytes_total{service="s"} 5500' in text


def test_changed_price_is_applied_without_a_restart():
    """Guards against an old price after the settings were reloaded."""
    traffic, policy, _, _ = make_traffic()
    assert isinstance(policy, DomainAware)
    traffic.reload(DomainTrafficSettings(price_per_gb=15_000, answer_value=1))
    assert policy.price.price_per_gb == 15_000


def test_bytes_of_an_attempt_are_counted_in_both_directions():
    """Guards against a bill that lacks the bodies of requests or of answers."""
    counted = []

    async def scenario(harness):
        harness.dispatcher._count_bytes = lambda *fields: counted.append(fields)
        _, _, body = await harness.fetch("POST", data=b"x" * 1_000)
        assert counted == [("desk", "here", 1_000 + len(body))]

    run_scenario(scenario, [answer_sealed])
