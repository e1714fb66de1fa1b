"""Processor time and memory of the reducer per request, at four sizes."""

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

# Numbers of endpoints and of requests in flight. An entry tracks a subset of the
# endpoints; the last size is the largest that one entry has to handle.
SIZES = ((4, 20), (16, 200), (64, 2_000), (256, 8_000))
N_MEASURED = 4_000
N_SAMPLES = 3
N_PREFIXES = 32
# 93,000 requests/s over 1,600 nodes are 58 requests/s for each node. The limit of 1.8%
# of a core allows 18 ms of control work in each second, or 310 us for each request.
TARGET_CPU_US = "<=310"
# The memory limit of a node is 32 MB, and one request among 100 in flight has 1% of it.
# The target in bytes per request is far below that share.
TARGET_BYTES = "<=16384"


def make_state(n_endpoints: int, n_in_flight: int) -> EntryState:
    """Return the state of an entry whose endpoints have four more slots than needed.

    ``n_in_flight`` requests are spread evenly over the endpoints.
    """
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
    """Return a request whose prompt prefixes and fingerprint depend on ``number``."""
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


def dispatch_request(state: EntryState, number: int) -> str:
    """Apply the arrival of one request and return the id of its attempt."""
    effects = reduce(state, RequestArrived(make_request(number)), 1)
    return next(e.attempt_id for e in effects if isinstance(e, Dispatch))


def measure_bytes(state: EntryState, n_in_flight: int) -> tuple[list[str], float]:
    """Dispatch ``n_in_flight`` requests and return their attempt ids and memory.

    The memory is in bytes per request. It includes the request itself, because the
    state keeps it.
    """
    gc.collect()
    tracemalloc.start()
    attempt_ids = [dispatch_request(state, number) for number in range(n_in_flight)]
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return attempt_ids, n_bytes / n_in_flight


def measure_cpu_us(
    state: EntryState, attempt_ids: list[str], first_number: int
) -> float:
    """Return the processor time in microseconds from arrival to end of one request.

    Each new request replaces the oldest one, so the number in flight is constant.
    ``attempt_ids`` is updated.
    """
    requests = [make_request(first_number + i) for i in range(N_MEASURED)]
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
    """Print processor time and memory of each size, and ratios to the smallest one."""
    baseline_us = 0.0
    for n_endpoints, n_in_flight in SIZES:
        state = make_state(n_endpoints, n_in_flight)
        attempt_ids, n_bytes = measure_bytes(state, n_in_flight)
        samples_us = [
            measure_cpu_us(state, attempt_ids, n_in_flight + i * N_MEASURED)
            for i in range(N_SAMPLES)
        ]
        cpu_us = min(samples_us)
        baseline_us = baseline_us or cpu_us
        size = f"endpoints_{n_endpoints}.requests_{n_in_flight}"
        print_figure(f"reducer.cpu_per_request.{size}", cpu_us, "us", TARGET_CPU_US)
        ratio = cpu_us / baseline_us
        print_figure(f"reducer.cpu_ratio.{size}", ratio, "ratio", baseline="1")
        print_figure(f"reducer.memory_per_request.{size}", n_bytes, "B", TARGET_BYTES)


if __name__ == "__main__":
    main()
