"""Processor time of a choice by ``DomainAware`` and by ``SlotAware``, in one run."""

from random import Random
from time import process_time_ns

from bench.experiment._domain_loads import RANKS
from bench.experiment._domain_model import make_request
from bench.report import print_figure
from bluebellusher_core.domain_traffic import TrafficPrice
from bluebellusher_core.events import EndpointConnected, EndpointInfo, LoadReported
from bluebellusher_core.membership import Endpoints
from bluebellusher_core.routing import DomainAware, RoutingPolicy, SlotAware

N_ENDPOINTS = 64
N_CHOICES = 2_000
POOL = ("s", "", "")
# Occupied slots of 5 in each domain: no request leaves, or a share does.
LOAD_BY_NAME = {"even": (2, 2, 2), "uneven": (4, 2, 1)}
# Time between two requests of one of 13 entries and of one of 64, in ms.
INTERVALS_MS = {"13-entries": 110, "64-entries": 550}


def main() -> None:
    """Print the ratio of the processor times for each load and rate of requests."""
    for load_name, n_running_by_domain in LOAD_BY_NAME.items():
        for rate_name, interval_ms in INTERVALS_MS.items():
            endpoints = _make_endpoints(n_running_by_domain)
            price = TrafficPrice(price_per_gb=3_000, answer_value=2)
            aware = DomainAware("a", price, endpoints, count_entries=lambda: 13)
            times = [0, 0]
            policies: tuple[RoutingPolicy, ...] = (SlotAware("a"), aware)
            for _ in range(5):
                for index, policy in enumerate(policies):
                    times[index] += _measure_ns(policy, endpoints, interval_ms)
            name = f"domains.cpu_ratio.{load_name}.{rate_name}"
            print_figure(name, times[1] / times[0], "ratio")
            name = f"domains.cpu_slot_aware.{load_name}.{rate_name}"
            print_figure(name, times[0] / 5 / N_CHOICES / 1_000, "us")
            name = f"domains.cpu_domain_aware.{load_name}.{rate_name}"
            print_figure(name, times[1] / 5 / N_CHOICES / 1_000, "us")


def _make_endpoints(n_running_by_domain: tuple[int, ...]) -> Endpoints:
    """Return endpoints in three domains with reports that do not become stale."""
    endpoints = Endpoints(N_ENDPOINTS, queue_factor=1.0)
    empty: frozenset[str] = frozenset()
    for index in range(N_ENDPOINTS):
        domain = index % 3
        info = EndpointInfo(
            f"x{index}", "abc"[domain], frozenset({"s"}), empty, empty, RANKS.n_slots
        )
        endpoints.connect(EndpointConnected(info), 0)
        report = LoadReported(
            info.endpoint_id,
            1,
            n_running_by_domain[domain],
            0,
            0,
            RANKS.n_slots,
            0.0,
            empty,
            empty,
            0,
        )
        endpoints.record_load_report(report, 10**9)
    return endpoints


def _measure_ns(policy: RoutingPolicy, endpoints: Endpoints, interval_ms: int) -> int:
    """Return the processor time of the choices, in ns."""
    random_state = Random(5)
    views = endpoints.views_with_capacity(POOL, 0)
    requests = [make_request(RANKS, f"r{n}", n * interval_ms) for n in range(N_CHOICES)]
    if isinstance(policy, DomainAware):
        policy.traffic_by_pool.clear()
    start_ns = process_time_ns()
    for n, request in enumerate(requests):
        policy.choose(request, views, n * interval_ms, random_state)
    return process_time_ns() - start_ns


if __name__ == "__main__":
    main()
