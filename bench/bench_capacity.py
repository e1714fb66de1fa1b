"""Growth of state, messages and processor time with size, used by docs/CAPACITY.md."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random

from expression import Result

from bench.report import print_figure
from bench.slopes import measure_line
from bluebellusher_core.allowance import AllowanceRow, Grant
from bluebellusher_core.events import (
    CacheReported,
    DigestReceived,
    EndpointConnected,
    EndpointInfo,
    LoadReported,
)
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.rollout import choose_fan_out
from bluebellusher_core.rules import RuleSet, parse_rules
from bluebellusher_core.wire import FrameDecoder, encode, messages

N_ENDPOINT_SIZES = (16, 32, 64, 128, 256)
N_TRACKED_ENDPOINTS = 64
N_ENTRY_SIZES = (25, 100, 400, 1600)
N_ENTRIES = 1_600
N_CUSTOMER_SIZES = (10, 50, 150, 470)
N_CUSTOMERS = 470
N_CACHED_PREFIXES = 1_000
N_DOMAINS = 12
N_FINGERPRINT_SIZES = (0, 10, 100, 1_000)
N_REPEATS = 5


def measure_time_us(call: Callable[[], object], n_calls: int = 1) -> float:
    """Return the processor time of a call in microseconds.

    It is the minimum over ``N_REPEATS`` measurements, each the mean of ``n_calls``
    calls.
    """
    min_ns = None
    for _ in range(N_REPEATS):
        started_ns = time.process_time_ns()
        for _ in range(n_calls):
            call()
        used_ns = time.process_time_ns() - started_ns
        min_ns = used_ns if min_ns is None else min(min_ns, used_ns)
    assert min_ns is not None
    return min_ns / n_calls / 1_000


def measure_memory_kb(make: Callable[[], object]) -> float:
    """Return the memory that the result of ``make`` uses, in units of 1,000 bytes."""
    gc.collect()
    tracemalloc.start()
    retained_object = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained_object
    return size / 1_000


def make_entry(n_endpoints: int) -> EntryState:
    """Return the state of an entry whose endpoints have reported load and caches."""
    state = EntryState.from_config(EntryConfig("entry-1"))
    for i in range(n_endpoints):
        info = EndpointInfo(
            endpoint_id=f"endpoint-{i}",
            failure_domain=f"domain-{i % N_DOMAINS}",
            services=frozenset({"chat"}),
            models=frozenset({"model"}),
            adapters=frozenset(),
            n_slots=64,
        )
        reduce(state, EndpointConnected(info), 0)
        reduce(state, make_report(i, 1), 0)
        first = i * N_CACHED_PREFIXES
        prefixes = tuple(range(first, first + N_CACHED_PREFIXES))
        reduce(state, CacheReported(f"endpoint-{i}", prefixes, (), False), 0)
    return state


def make_report(index: int, sequence: int) -> LoadReported:
    """Return a load report of the endpoint with the given index."""
    return LoadReported(
        endpoint_id=f"endpoint-{index}",
        sequence=sequence,
        n_running=10,
        n_queued=2,
        n_queued_tokens=900,
        n_slots=64,
        kv_use=0.5,
        models=frozenset({"model"}),
        adapters=frozenset(),
        age_ms=100,
    )


def measure_report_round_us(n_endpoints: int) -> float:
    """Return the time in microseconds to decode and apply a report of each endpoint."""
    state = make_entry(n_endpoints)
    frame = encode(
        messages.LoadReport(
            sequence=2,
            n_running=10,
            n_queued=2,
            n_queued_tokens=900,
            n_slots=64,
            kv_use=0.5,
            models=["model"],
            adapters=[],
            is_draining=False,
            age_ms=100,
        )
    )

    def receive_all() -> None:
        for i in range(n_endpoints):
            FrameDecoder("endpoint").feed(frame)
            reduce(state, make_report(i, 2), 10)

    return measure_time_us(receive_all)


def make_digest(n_fingerprints: int) -> bytes:
    """Return the frame of a digest with ``n_fingerprints`` blocked fingerprints."""
    blocked = [f"{i:032x}" for i in range(n_fingerprints)]
    digest = messages.Digest(
        config_version=7,
        members=[],
        blocked_fingerprints=blocked,
        suspect_fingerprints=[],
    )
    return encode(digest)


def measure_digest_us(n_fingerprints: int) -> float:
    """Return the time in microseconds to decode and apply a digest."""
    state = EntryState.from_config(EntryConfig("entry-1"))
    frame = make_digest(n_fingerprints)

    def receive() -> None:
        (digest,) = FrameDecoder("peer").feed(frame)
        blocked = tuple(digest.blocked_fingerprints)
        reduce(state, DigestReceived("entry-2", 7, blocked, ()), 0)

    return measure_time_us(receive, n_calls=20)


def simulate_push(n_entries: int) -> tuple[int, int]:
    """Simulate the push of one configuration version from one entry to all others.

    Each entry that receives the version for the first time forwards it to the peers
    that ``choose_fan_out`` returns. The result is the number of hops until no entry is
    new, and the number of entries reached.
    """
    random_state = Random(1)
    domain_by_entry = {f"e{i}": f"d{i % N_DOMAINS}" for i in range(n_entries)}
    reached, frontier, n_hops = {"e0"}, ["e0"], 0
    while frontier:
        next_frontier: list[str] = []
        for entry in frontier:
            peers = {e: d for e, d in domain_by_entry.items() if e != entry}
            for peer in choose_fan_out(peers, domain_by_entry[entry], random_state):
                if peer not in reached:
                    reached.add(peer)
                    next_frontier.append(peer)
        if next_frontier:
            n_hops += 1
        frontier = next_frontier
    return n_hops, len(reached)


def make_rules(n_customers: int) -> str:
    """Return the text of a rules file with four rules for each customer."""
    lines = [
        "currency JPY",
        "month-zone Asia/Tokyo",
        "capacity chat 100 in domain-0",
        "engines chat 50 Asia/Tokyo",
        "engine-price chat 100 per hour",
        "model large on chat",
        "token-price large input 3 per million",
        "token-price large cached 1 per million",
        "token-price large output 9 per million",
    ]
    for i in range(n_customers):
        name = f"customer-{i}"
        lines += [
            f"customer {name}",
            f"budget {name} 1000000 JPY per month",
            f"share {name} 2",
            f"rate {name} 20 requests per second",
        ]
    return "".join(f"{line}  # Ana Ito: measured\n" for line in lines)


def parse_valid_rules(n_customers: int) -> RuleSet:
    """Return the parsed rules of ``make_rules``.

    Raises ``ValueError`` if they are invalid, because the measurement would then cover
    only the errors.
    """
    match parse_rules(make_rules(n_customers)):
        case Result(tag="ok", ok=rule_set):
            return rule_set
        case result:
            raise ValueError(f"n_customers={n_customers}: {result.error[0]}")


def compute_allowance_row_bytes(n_holders: int) -> float:
    """Return the size in bytes of a budget row with grants of ``n_holders`` entries.

    The row is measured as the text of its ``repr``.
    """
    grants = {f"entry-{i}/1790000000000": Grant(100, 10**9) for i in range(n_holders)}
    row = AllowanceRow(10**12, 7, grants)
    return float(len(repr(row)))


def main() -> None:
    """Measure and print all figures."""
    measure_line(
        "capacity.entry_endpoint_memory",
        "KB",
        N_ENDPOINT_SIZES,
        lambda n: measure_memory_kb(lambda: make_entry(n)),
        N_TRACKED_ENDPOINTS,
    )
    measure_line(
        "capacity.entry_report_round",
        "us",
        N_ENDPOINT_SIZES,
        measure_report_round_us,
        N_TRACKED_ENDPOINTS,
    )
    measure_line(
        "capacity.digest_bytes",
        "B",
        N_FINGERPRINT_SIZES,
        lambda n: float(len(make_digest(n))),
        100,
    )
    measure_line(
        "capacity.digest_cpu", "us", N_FINGERPRINT_SIZES, measure_digest_us, 100
    )
    for n_entries in N_ENTRY_SIZES:
        n_hops, n_reached = simulate_push(n_entries)
        print_figure(f"capacity.push_hops.at{n_entries}", n_hops, "hops")
        share = 100 * n_reached / n_entries
        print_figure(f"capacity.push_reached.at{n_entries}", share, "%")
    measure_line(
        "capacity.allowance_row",
        "B",
        N_ENTRY_SIZES,
        compute_allowance_row_bytes,
        N_ENTRIES,
    )
    measure_line(
        "capacity.rules_memory",
        "KB",
        N_CUSTOMER_SIZES,
        lambda n: measure_memory_kb(lambda: parse_valid_rules(n)),
        N_CUSTOMERS,
    )
    measure_line(
        "capacity.rules_parse",
        "us",
        N_CUSTOMER_SIZES,
        lambda n: measure_time_us(lambda: parse_valid_rules(n)),
        N_CUSTOMERS,
    )
    size = len(make_rules(N_CUSTOMERS).encode())
    print_figure(f"capacity.rules_bytes.at{N_CUSTOMERS}", size, "B")
