"""Simulation of many entries that choose endpoints by the same load reports."""

import heapq
import itertools
from dataclasses import dataclass
from random import Random

from bluebellusher_core.events import EndpointInfo, LoadReported
from bluebellusher_core.routing import EndpointView

LOCAL_REPORT_INTERVAL_MS = 200
REMOTE_REPORT_INTERVAL_MS = 600
SERVICE_MS = 1_300


@dataclass
class SimulationResult:
    """Numbers of requests that waited for a slot or ran in another failure domain.

    ``n_waited_long`` counts the requests that waited longer than 250 ms.
    """

    n_requests: int = 0
    n_waited: int = 0
    n_waited_long: int = 0
    n_remote: int = 0


def simulate_herd(
    make_policy, n_entries, n_endpoints, n_slots, load, seed=3, simulated_ms=15_000
):
    """Simulate arrivals at all entries; return how many requests had to wait.

    Parameters
    ----------
    make_policy : callable
        Returns the policy of an entry in a given failure domain.
    n_entries, n_endpoints, n_slots : int
        Numbers of entries and endpoints, which are spread over three failure domains,
        and slots of an endpoint.
    load : float
        Arrival rate as a share of the capacity.
    seed : int
        Seed of the random arrivals and choices.
    simulated_ms : int
        Simulated time, in ms.
    """
    random_state, result, order = Random(seed), SimulationResult(), itertools.count()
    domains = [f"d{i % 3}" for i in range(max(n_entries, n_endpoints))]
    policies = [make_policy(domains[i]) for i in range(n_entries)]
    views = [
        [
            _make_view(f"x{index}", domains[index], n_slots)
            for index in range(n_endpoints)
        ]
        for _ in range(n_entries)
    ]
    running = [0] * n_endpoints
    waiting = [[] for _ in range(n_endpoints)]
    events = []

    def push(at_ms, kind, value):
        heapq.heappush(events, (at_ms, next(order), kind, value))

    arrivals_per_ms = load * n_endpoints * n_slots / SERVICE_MS
    at_ms = 0.0
    while at_ms < simulated_ms:
        at_ms += random_state.expovariate(arrivals_per_ms)
        push(at_ms, "arrive", random_state.randrange(n_entries))
    for index in range(n_endpoints):
        push(
            random_state.uniform(0, LOCAL_REPORT_INTERVAL_MS),
            "report",
            (index, 0),
        )
    while events:
        now_ms, _, kind, value = heapq.heappop(events)
        if now_ms > simulated_ms:
            break
        now_ms = int(now_ms)
        if kind == "arrive":
            own_views = views[value]
            chosen = policies[value].choose(None, own_views, now_ms, random_state)
            index = int(chosen[1:])
            view = own_views[index]
            view.n_own_in_flight += 1
            view.own_dispatched_at_ms.append(now_ms)
            result.n_requests += 1
            result.n_remote += domains[index] != domains[value]
            if running[index] < n_slots:
                running[index] += 1
                push(now_ms + SERVICE_MS, "end", (index, value))
            else:
                result.n_waited += 1
                waiting[index].append((now_ms, value))
        elif kind == "end":
            index, entry = value
            view = views[entry][index]
            view.n_own_in_flight -= 1
            view.own_ended_at_ms.append(now_ms)
            running[index] -= 1
            if waiting[index]:
                waiting_since_ms, waiting_entry = waiting[index].pop(0)
                result.n_waited_long += now_ms - waiting_since_ms > 250
                running[index] += 1
                push(now_ms + SERVICE_MS, "end", (index, waiting_entry))
        else:
            index, n = value
            push(now_ms + LOCAL_REPORT_INTERVAL_MS, "report", (index, n + 1))
            reaches_all_entries = (
                n % (REMOTE_REPORT_INTERVAL_MS // LOCAL_REPORT_INTERVAL_MS) == 0
            )
            for i in range(n_entries):
                if reaches_all_entries or domains[i] == domains[index]:
                    _apply_report(
                        views[i][index],
                        running[index],
                        len(waiting[index]),
                        n,
                        now_ms,
                    )
    return result


def _make_view(endpoint_id, domain, n_slots):
    info = EndpointInfo(
        endpoint_id, domain, frozenset({"s"}), frozenset(), frozenset(), n_slots
    )
    return EndpointView(info)


def _apply_report(view, n_running, n_queued, sequence, now_ms):
    view.report = LoadReported(
        view.info.endpoint_id,
        sequence,
        n_running,
        n_queued,
        0,
        view.info.n_slots,
        0.0,
        frozenset(),
        frozenset(),
        0,
    )
    view.reported_at_ms = now_ms
    view.own_dispatched_at_ms.clear()
    view.own_ended_at_ms.clear()
