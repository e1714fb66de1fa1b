"""Write the measured tables and plots into docs/decisions.

Usage: ``python -m bench.write_notes``. The text between two marker lines of each
note is replaced; everything else stays.
"""

from pathlib import Path

from bench import bench_admission
from bench.bench_routing import CHOSEN, TARGET_RATIO
from bench.routing_runs import (
    FAULTS,
    LAGS_MS,
    LOADS,
    ORACLES,
    POLICIES,
    POLICIES_WITH_REPORTS,
    TARGET_LOAD,
    lookup,
    mean,
    measure_capacity,
    ttft_ratio,
)
from bench.svg_plot import Chart, draw_chart

DECISIONS = Path(__file__).resolve().parent.parent / "docs" / "decisions"
BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"


def main() -> None:
    """Measure everything and write both notes."""
    replace_measured(DECISIONS / "routing.md", routing_tables())
    (DECISIONS / "routing.svg").write_text(draw_chart(routing_chart()))
    replace_measured(DECISIONS / "admission.md", admission_tables())
    (DECISIONS / "admission.svg").write_text(draw_chart(admission_chart()))


def replace_measured(path: Path, text: str) -> None:
    """Replace what stands between the markers of a note."""
    before, _, rest = path.read_text(encoding="utf-8").partition(BEGIN)
    _, _, after = rest.partition(END)
    path.write_text(f"{before}{BEGIN}\n\n{text}\n{END}{after}", encoding="utf-8")


def table(header: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def routing_tables() -> str:
    """Return the target figures and all cells of all policies."""
    parts = [f"Capacity: {measure_capacity():.4g} requests/s.\n", ratio_table()]
    for load in LOADS:
        parts.append(f"Load {load:.0%} of capacity:\n")
        parts.append(load_table(load))
    return "\n".join(parts)


def ratio_table() -> str:
    """Return p95 time to first token over the oracle's, with the verdict."""
    names = [name for name in POLICIES if name not in ORACLES]
    rows = []
    for fault in FAULTS:
        for lag_ms in LAGS_MS:
            ratios = [ttft_ratio(name, TARGET_LOAD, fault, lag_ms) for name in names]
            is_met = ratios[names.index(CHOSEN)] <= TARGET_RATIO
            verdict = "met" if is_met else "missed"
            cells = [f"{ratio:.2f}" for ratio in ratios]
            rows.append([fault, f"{lag_ms / 1000:.0f} s", *cells, verdict])
    title = f"p95 time to first token at 80% load over the oracle's, target {CHOSEN} "
    header = ["fault", "report lag", *names, f"<= {TARGET_RATIO}"]
    return f"{title}<= {TARGET_RATIO}:\n\n{table(header, rows)}"


def load_table(load: float) -> str:
    """Return every figure of every policy at one load."""
    rows = []
    for fault in FAULTS:
        for policy in POLICIES:
            lags = LAGS_MS if policy in POLICIES_WITH_REPORTS else LAGS_MS[:1]
            for lag_ms in lags:
                is_read = policy in POLICIES_WITH_REPORTS
                lag = f"{lag_ms / 1000:.0f} s" if is_read else "-"
                cells = figure_cells(policy, load, fault, lag_ms)
                rows.append([fault, policy, lag, *cells])
    header = ["fault", "policy", "lag", "TTFT p50 ms", "p95 ms", "p99 ms"]
    header += ["TBT p95 ms", "cache hits", "skew", "goodput 1/s"]
    return table(header, rows)


def figure_cells(policy: str, load: float, fault: str, lag_ms: float) -> list[str]:
    """Return the figures of one cell as text."""
    runs = lookup((policy, load, fault, lag_ms))
    cells = [f"{mean(runs, f'ttft_{p}_ms'):.0f}" for p in ("p50", "p95", "p99")]
    cells.append(f"{mean(runs, 'tbt_p95_ms'):.1f}")
    cells += [f"{mean(runs, name):.2f}" for name in ("cache_hit_share", "load_skew")]
    return [*cells, f"{mean(runs, 'goodput_per_s'):.1f}"]


def routing_chart() -> Chart:
    """Return the target ratio over all faults and lags."""
    conditions = [(fault, lag_ms) for fault in FAULTS for lag_ms in LAGS_MS]
    names = [name for name in POLICIES if name not in ORACLES]
    return Chart(
        title="p95 time to first token over the oracle's, 80% load",
        x_label="n, s, f, l: no fault, slow, frozen, lost; number: report lag in s",
        y_label="ratio",
        x_names=tuple(f"{f[0]}{lag_ms / 1000:.0f}" for f, lag_ms in conditions),
        values_by_series={
            name: [ttft_ratio(name, TARGET_LOAD, *one) for one in conditions]
            for name in reversed(names)
        },
        y_max=8.0,
        target=TARGET_RATIO,
    )


def admission_tables() -> str:
    """Return the figures of both queues over the load."""
    rows = []
    for load in bench_admission.LOADS:
        for queue in bench_admission.QUEUES:
            rows.append([f"{load:.0%}", queue, *admission_cells(queue, load)])
    header = ["load", "queue", "goodput / capacity", "tokens / capacity"]
    header += ["small customers answered", "refused at once", "TTFT p95 ms"]
    value = bench_admission.goodput_share("fair", bench_admission.TARGET_LOAD)
    is_met = value >= bench_admission.TARGET_SHARE
    verdict = "met" if is_met else "missed"
    target = f"Target at 150% load: goodput >= {bench_admission.TARGET_SHARE} of "
    return (
        f"{target}capacity; measured {value:.3f}, {verdict}.\n\n{table(header, rows)}"
    )


def admission_cells(queue: str, load: float) -> list[str]:
    """Return the figures of one queue at one load as text."""
    figures = [figures for figures, _ in bench_admission.measure(queue, load)]
    return [
        f"{bench_admission.goodput_share(queue, load):.3f}",
        f"{bench_admission.token_share(queue, load):.3f}",
        f"{bench_admission.small_customer_share(queue, load):.3f}",
        f"{mean(figures, 'refused_share'):.3f}",
        f"{mean(figures, 'ttft_p95_ms'):.0f}",
    ]


def admission_chart() -> Chart:
    """Return goodput over load for both queues."""
    return Chart(
        title="Answers within their deadline over capacity",
        x_label="offered load over capacity",
        y_label="goodput",
        x_names=tuple(f"{load:.0%}" for load in bench_admission.LOADS),
        values_by_series={
            queue: [
                bench_admission.goodput_share(queue, load)
                for load in bench_admission.LOADS
            ]
            for queue in bench_admission.QUEUES
        },
        y_max=1.2,
        target=bench_admission.TARGET_SHARE,
    )


if __name__ == "__main__":
    main()
