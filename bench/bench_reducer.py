"""CPU and memory of the reducer for each request, at four sizes."""

import gc
import itertools
import time
import tracemalloc

from bench.report import print_figure
from bluebellusher_core.effects import Dispatch
from bluebellusher_core.events import (
    AttemptFinished,
    AttemptStarted,
    EndpointConnected,
    EndpointInfo,
    Priority,
    RequestArrived,
    RequestSpec,
    Usage,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce

# Endpoints and requests in flight. An entry tracks a subset of the endpoints, so the
# last size is the largest that an entry meets.
SIZES = ((4, 20), (16, 200), (64, 2_000), (256, 8_000))
N_MEASURED = 4_000
N_ROUNDS = 3
N_PREFIXES = 32
# 93,000 requests/s over 1,600 nodes are 58 a second; 1.8% of a core is 18 ms a
# second for all control work, which leaves 310 us for each request.
TARGET_CPU_US = "<=310"
# 32 MB for a node, of which 1% is one request among 100 in flight.
TARGET_BYTES = "<=16384"


def make_state(n_endpoints: int, n_in_flight: int) -> EntryState:
    """Return an entry whose endpoints have room for a few more requests."""
    state = EntryState.from_config(EntryConfig("entry-1"))
    n_slots = n_in_flight // n_endpoints + 4
    for i in range(n_endpoints):
        info = EndpointInfo(
            endpoint_id=f"endpoint-{i}",
            failure_domain="a",
            services=frozenset({"chat"}),
            models=frozenset({"model"}),
            adapters=frozenset(),
            n_slots=n_slots,
        )
        reduce(state, EndpointConnected(info), 0)
    return state


def make_request(number: int) -> RequestSpec:
    """Return a request with its own prompt."""
    return RequestSpec(
        request_id=f"request-{number}",
        customer_id=f"customer-{number % 10}",
        service_id="chat",
        model="model",
        adapter="",
        priority=Priority.NORMAL,
        deadline_ms=60_000,
        is_idempotent=True,
        idempotency_key=None,
        fingerprint=f"{number:064x}",
        prefix_hashes=tuple(range(number, number + N_PREFIXES)),
        n_input_tokens=500,
        n_max_output_tokens=300,
    )


def arrive(state: EntryState, number: int) -> str:
    """Feed one request and return the id of its attempt."""
    effects = reduce(state, RequestArrived(make_request(number)), 1)
    return next(e.attempt_id for e in effects if isinstance(e, Dispatch))


def measure_bytes(state: EntryState, n_in_flight: int) -> tuple[list[str], float]:
    """Fill the entry and return the attempts and the bytes for each request.

    The request itself is counted too, because the entry keeps it.
    """
    gc.collect()
    tracemalloc.start()
    attempt_ids = [arrive(state, number) for number in range(n_in_flight)]
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return attempt_ids, n_bytes / n_in_flight


def measure_cpu_us(state: EntryState, attempt_ids: list[str], first: int) -> float:
    """Return CPU time in microseconds for the whole life of one request.

    Each new request takes the place of the oldest one, so the load stays the same.
    """
    requests = [make_request(first + i) for i in range(N_MEASURED)]
    oldest = itertools.count()
    start_ns = time.process_time_ns()
    for request in requests:
        attempt_id = attempt_ids[next(oldest)]
        reduce(state, AttemptStarted(attempt_id), 2)
        reduce(state, AttemptFinished(attempt_id, 200, 900, Usage()), 3)
        effects = reduce(state, RequestArrived(request), 4)
        attempt_ids += [e.attempt_id for e in effects if isinstance(e, Dispatch)]
    spent_ns = time.process_time_ns() - start_ns
    del attempt_ids[: next(oldest)]
    return spent_ns / N_MEASURED / 1_000


def main() -> None:
    """Print CPU and memory of each size; the smallest is the baseline."""
    baseline_us = 0.0
    for n_endpoints, n_in_flight in SIZES:
        state = make_state(n_endpoints, n_in_flight)
        attempt_ids, n_bytes = measure_bytes(state, n_in_flight)
        rounds = [
            measure_cpu_us(state, attempt_ids, n_in_flight + i * N_MEASURED)
            for i in range(N_ROUNDS)
        ]
        cpu_us = min(rounds)
        baseline_us = baseline_us or cpu_us
        size = f"endpoints_{n_endpoints}.requests_{n_in_flight}"
        print_figure(f"reducer.cpu_per_request.{size}", cpu_us, "us", TARGET_CPU_US)
        ratio = cpu_us / baseline_us
        print_figure(f"reducer.cpu_ratio.{size}", ratio, "ratio", baseline="1")
        print_figure(f"reducer.memory_per_request.{size}", n_bytes, "B", TARGET_BYTES)


if __name__ == "__main__":
    main()
