"""Time to validate rules files of four sizes and to compute their forecasts."""

import time
from collections.abc import Callable
from functools import partial

from bench.report import print_figure
from bluebellusher_core.billing import Month, compute_forecast
from bluebellusher_core.rules import parse_rules

# Numbers of customers and models: today's deployment, two sizes between, the target.
SIZES = ((10, 2), (50, 6), (150, 12), (470, 27))
N_REPEATS = 3
COMMENT = "# Kenji Ono: size of a measurement"
ZONE = "Asia/Tokyo"


def build_rules(n_customers: int, n_models: int) -> str:
    """Return the text of a rules file in which every third customer uses up its budget.

    ``n_models`` must be at least 2.
    """
    lines = ["currency JPY", f"month-zone {ZONE}"]
    lines += _make_model_lines(n_models)
    for i in range(n_customers):
        lines += _make_customer_lines(i, n_models)
    return "".join(f"{line} {COMMENT}\n" for line in lines)


def _make_model_lines(n_models: int) -> list[str]:
    lines = []
    for i in range(n_models):
        service, model = f"service-{i}", f"model-{i}"
        lines += [
            f"capacity {service} 400",
            f"engine-price {service} 410 per hour",
            f"engines {service} 200 {ZONE}",
            f"engines {service} 370 from 07:00 to 21:00 on Mon-Sat {ZONE}",
            f"model {model} on {service}",
            f"token-price {model} input {20 + i} per million",
            f"token-price {model} cached {4 + i} per million",
            f"token-price {model} output {80 + i} per million",
        ]
    return lines


def _make_customer_lines(i: int, n_models: int) -> list[str]:
    customer = f"customer-{i}"
    first, second = 1 + i % (n_models - 1), 1 + (i + 1) % (n_models - 1)
    budget = 10_000 if i % 3 == 0 else 1_000_000
    counts = "2000 requests per day input 900 cached 400 output 1100"
    return [
        f"customer {customer}",
        f"budget {customer} {budget} JPY per month",
        f"when-exhausted {customer} cheaper-model model-0 up to 5000 JPY",
        f"rate {customer} 600 requests per minute",
        f"share {customer} 2",
        f"load {customer} model-{first} {counts} from 08:00 to 22:00 {ZONE}",
        f"load {customer} model-{second} {counts} on Mon-Fri {ZONE}",
    ]


def measure_min_ms(action: Callable[[], object]) -> float:
    """Return the shortest time in milliseconds of ``N_REPEATS`` calls.

    The minimum is the time least affected by other processes.
    """
    times_ms = []
    for _ in range(N_REPEATS):
        start_s = time.perf_counter()
        action()
        times_ms.append((time.perf_counter() - start_s) * 1000)
    return min(times_ms)


def main() -> None:
    """Print the times for each size, and how the time per rule grows with the size."""
    month = Month(2027, 1, ZONE)
    per_rule: dict[str, list[float]] = {"check": [], "forecast": []}
    for n_customers, n_models in SIZES:
        text = build_rules(n_customers, n_models)
        rules = parse_rules(text).ok
        size = f"{n_customers}_customers"
        print_figure(f"rules_{size}", len(rules.rules), "rules")
        elapsed_ms = {
            "check": measure_min_ms(partial(parse_rules, text)),
            "forecast": measure_min_ms(partial(compute_forecast, rules, month)),
        }
        for name, value in elapsed_ms.items():
            print_figure(f"rules_{name}_{size}", value, "ms")
            per_rule[name].append(value / len(rules.rules))
    for name, values in per_rule.items():
        ratio = values[-1] / values[0]
        label = f"rules_{name}_time_per_rule_largest_to_smallest"
        print_figure(label, ratio, "ratio", target="<=2", baseline="1")


if __name__ == "__main__":
    main()
