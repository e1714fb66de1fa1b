"""Compare rules for traffic between failure domains.

Run as ``python -m bench.experiment.domains [--loads TEXT] [--rules NAMES]``.
"""

import argparse
from itertools import pairwise
from statistics import mean, pstdev

from bench.experiment._domain_loads import DomainDay, make_loads
from bench.experiment._domain_model import DayResult, DomainModel
from bench.experiment._domain_policies import ROUTING_BY_NAME
from bluebellusher_core.domain_traffic import TrafficPrice

# Prices of a GB, each with the worth of an answer.
PRICES = {"low": (600.0, 3.0), "middle": (3_000.0, 2.0), "high": (15_000.0, 1.0)}


def run_day(day: DomainDay, rule: str, price: TrafficPrice, seed: int) -> DayResult:
    """Simulate one day and return its result."""
    return DomainModel(day, ROUTING_BY_NAME[rule], price, seed).run()


def summarize(results: list[DayResult]) -> dict[str, float]:
    """Return the means over the days.

    ``net`` is the share of answers within the objective less the cost, which is in
    answers; ``jump`` is the mean change of a domain's share from second to second.
    """
    jumps = []
    for result in results:
        for domain in ("a", "b", "c"):
            shares = result.list_shares(domain)
            jumps += [abs(y - x) for x, y in pairwise(shares)]
    n = [max(1, r.n_requests) for r in results]
    net = [(r.n_on_time - r.cost) / k for r, k in zip(results, n, strict=True)]
    return {
        "left": mean(r.share_left for r in results),
        "mutual": mean(r.share_mutual for r in results),
        "jump": mean(jumps),
        "on_time": mean(r.n_on_time / k for r, k in zip(results, n, strict=True)),
        "late": mean(r.n_late / k for r, k in zip(results, n, strict=True)),
        "lost": mean(r.n_lost / k for r, k in zip(results, n, strict=True)),
        "cost": mean(r.cost / k for r, k in zip(results, n, strict=True)),
        "net": mean(net),
        "net_sd": pstdev(net),
    }


def main() -> None:
    """Print one line for each load, price and rule."""
    parser = argparse.ArgumentParser(
        prog="bench.experiment.domains", description=__doc__
    )
    parser.add_argument("--loads", default="", help="text that the load names contain")
    parser.add_argument("--rules", default=",".join(ROUTING_BY_NAME))
    parser.add_argument("--prices", default=",".join(PRICES))
    parser.add_argument("--seeds", type=int, default=2)
    arguments = parser.parse_args()
    for load_name, day in make_loads().items():
        if arguments.loads not in load_name:
            continue
        for price_name in arguments.prices.split(","):
            price = TrafficPrice(*PRICES[price_name])
            for rule in arguments.rules.split(","):
                results = [
                    run_day(day, rule, price, seed)
                    for seed in range(1, 1 + arguments.seeds)
                ]
                fields = " ".join(f"{k}={v:.4f}" for k, v in summarize(results).items())
                print(
                    f"load={load_name} price={price_name} rule={rule} {fields}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
