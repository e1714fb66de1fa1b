"""Guards against endpoints that count as warm because of an old registration."""

from dataclasses import replace

from bluebellusher.shared import Directory
from bluebellusher.shared._warm_up import WarmUpReports
from bluebellusher.shared.tests.fakes import FakeLog
from bluebellusher_core.clock import ManualClock
from bluebellusher_core.directory import (
    EndpointRegistration,
    MirrorRow,
    RoutingTable,
    Service,
)
from bluebellusher_core.events import EndpointRegistered, WarmUpSource, WarmUpsReported

COLD = Service("s", 0, warm_up_ms=3_000, warm_up_requests_per_s=18.0)
ENDPOINT = EndpointRegistration("x", "s", "10.0.0.1", 80, "d", 4, False, 100)


def make_reports(service=COLD):
    """Return reports with a configuration, the list of their events and the clock."""
    events, clock = [], ManualClock()
    reports = WarmUpReports(events.append, clock)
    reports.set_routing(RoutingTable.from_parts(1, [], [service], None), [])
    return reports, events, clock


def apply(reports, events, registration, **options):
    """Apply a registration and return the source of its mark."""
    events.clear()
    reports.apply({"x": registration}, **options)
    ((mark,),) = [event.marks for event in events]
    return mark.source


def test_only_a_later_registration_of_a_start_is_a_renewal():
    """Guards against the first row after a gap, which may be old, taken for news."""
    reports, events, clock = make_reports()
    assert apply(reports, events, ENDPOINT) is WarmUpSource.FIRST
    assert apply(reports, events, ENDPOINT) is WarmUpSource.RENEWAL
    restarted = replace(ENDPOINT, started_wall_ms=200)
    assert apply(reports, events, restarted) is WarmUpSource.FIRST
    reports.apply({"x": None})
    assert apply(reports, events, restarted) is WarmUpSource.FIRST
    assert apply(reports, events, restarted, is_restored=True) is WarmUpSource.FIRST
    clock.advance(5_000)
    assert apply(reports, events, restarted) is WarmUpSource.FIRST
    assert apply(reports, events, restarted) is WarmUpSource.FIRST
    clock.advance(900)
    reports.tick(clock.now_ms())
    clock.advance(900)
    assert apply(reports, events, restarted) is WarmUpSource.RENEWAL
    events.clear()
    reports.apply({"x": ENDPOINT})
    assert not events


def test_service_without_a_rate_is_not_reported():
    """Guards against effects on deployments that state no rate."""
    reports, events, clock = make_reports(Service("s", 0))
    reports.apply({"x": ENDPOINT})
    reports.tick(clock.now_ms())
    assert not events


def test_changed_rate_is_reported_until_it_is_withdrawn():
    """Guards against endpoints that stay limited after the rate was removed."""
    reports, events, _ = make_reports()
    apply(reports, events, ENDPOINT)
    rates = []
    for service in (replace(COLD, warm_up_requests_per_s=9.0), Service("s", 0)):
        events.clear()
        table = RoutingTable.from_parts(2, [], [service], None)
        reports.set_routing(table, [ENDPOINT])
        rates += [mark.requests_per_s for event in events for mark in event.marks]
    assert rates == [9.0, 0.0]


class ColdCodec:
    """Codec of a configuration with a rate and of one endpoint."""

    routing_key = "config"

    def read_routing(self, value):
        """Return the configuration."""
        return RoutingTable.from_parts(int(value), [], [COLD], None)

    def read_registration(self, endpoint_id, value):
        """Return the registration of the endpoint."""
        return ENDPOINT

    def read_evacuation(self, key):
        """Return no evacuation."""
        return None


def test_endpoint_counts_as_cold_before_it_is_used():
    """Guards against requests that wait for an endpoint and are sent all at once."""
    log = FakeLog()
    directory = Directory(ColdCodec(), log.post, ManualClock(), log)
    directory.apply_routing_rows([MirrorRow("config", 1, b"1")])
    directory.apply_registration_rows([MirrorRow("x", 2, b"")])
    types = [type(event) for event in log.events]
    assert types == [WarmUpsReported, EndpointRegistered]
