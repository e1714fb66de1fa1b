"""Random arrivals of requests from ten customers, for simulations."""

from dataclasses import dataclass
from random import Random

from bench.engine_model import BLOCK_TOKENS, Job
from bluebellusher_core.events import Priority, RequestSpec

# Share of the arrivals of each customer: three large customers and seven small ones.
SHARE_BY_CUSTOMER = {
    "big-a": 0.30,
    "big-b": 0.25,
    "big-c": 0.15,
    **{f"small-{i}": 0.30 / 7 for i in range(7)},
}
N_PREFIXES_BIG = 12
N_PREFIXES_SMALL = 4
DEADLINE_MS_BY_PRIORITY = {
    Priority.HIGH: 8_000,
    Priority.NORMAL: 15_000,
    Priority.LOW: 30_000,
}


@dataclass(frozen=True, slots=True)
class _Prefix:
    """A prompt prefix that many requests of a customer share."""

    hashes: tuple[int, ...]


def make_jobs(
    rate_per_s: float, duration_ms: float, seed: int, deadline_factor: float = 1.0
) -> list[Job]:
    """Return Poisson arrivals of requests, spread at random over four entries.

    Parameters
    ----------
    rate_per_s : float
        Mean number of requests per second. The n-th request is the same for every
        rate, apart from its time of arrival and its deadline.
    duration_ms : float
        Length of the simulation in milliseconds.
    seed : int
        Seed of all random choices.
    deadline_factor : float
        Factor on the time from the arrival of each request to its deadline.
    """
    random = Random(seed)
    prefixes_by_customer = _make_prefixes(random)
    customers = list(SHARE_BY_CUSTOMER)
    shares = list(SHARE_BY_CUSTOMER.values())
    jobs: list[Job] = []
    now = 0.0
    while True:
        now += random.expovariate(1.0) * 1000.0 / rate_per_s
        if now >= duration_ms:
            return jobs
        customer_id = random.choices(customers, shares)[0]
        prefixes = prefixes_by_customer[customer_id]
        job = _make_job(random, customer_id, prefixes, now, len(jobs), deadline_factor)
        jobs.append(job)


def _make_prefixes(random: Random) -> dict[str, list[_Prefix]]:
    prefixes_by_customer = {}
    for customer_id in SHARE_BY_CUSTOMER:
        is_big = customer_id.startswith("big")
        n_prefixes = N_PREFIXES_BIG if is_big else N_PREFIXES_SMALL
        prefixes_by_customer[customer_id] = [
            _Prefix(_make_hashes(random, random.randint(4, 12)))
            for _ in range(n_prefixes)
        ]
    return prefixes_by_customer


def _make_job(
    random: Random,
    customer_id: str,
    prefixes: list[_Prefix],
    now: float,
    index: int,
    deadline_factor: float,
) -> Job:
    # The n-th prefix is chosen with a probability proportional to 1 / n.
    weights = [1.0 / (n + 1) for n in range(len(prefixes))]
    prefix = random.choices(prefixes, weights)[0]
    hashes = prefix.hashes + _make_hashes(random, random.randint(1, 3))
    n_output = max(10, min(600, int(random.lognormvariate(4.6, 0.6))))
    priority = random.choices(list(Priority), (0.2, 0.6, 0.2))[0]
    request = RequestSpec(
        request_id=f"r{index}",
        customer_id=customer_id,
        service_id="chat",
        model="model",
        adapter="",
        priority=priority,
        deadline_ms=int(now + deadline_factor * DEADLINE_MS_BY_PRIORITY[priority]),
        is_idempotent=True,
        idempotency_key=None,
        fingerprint=f"f{index}",
        prefix_hashes=hashes,
        n_input_tokens=len(hashes) * BLOCK_TOKENS,
        n_max_output_tokens=int(n_output / random.uniform(0.5, 1.0)),
    )
    return Job(request, random.randrange(4), now, n_output)


def _make_hashes(random: Random, n_blocks: int) -> tuple[int, ...]:
    return tuple(random.getrandbits(48) for _ in range(n_blocks))
