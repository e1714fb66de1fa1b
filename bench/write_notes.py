"""Write the measured tables and charts into the notes in docs/decisions.

Usage: ``python -m bench.write_notes``. Only the text between the two marker lines of
each note is replaced.
"""

from pathlib import Path

from bench import bench_admission
from bench.bench_routing import SELECTED, TARGET_RATIO
from bench.routing_runs import (
    FAULTS,
    LAGS_MS,
    LOADS,
    ORACLES,
    POLICIES,
    POLICIES_WITH_REPORTS,
    TARGET_LOAD,
    compute_ttft_ratio,
    find_cell_figures,
    mean_figure,
    measure_capacity,
)
from bench.svg_plot import Chart, draw_chart

DECISIONS = Path(__file__).resolve().parent.parent / "docs" / "decisions"
BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"


def main() -> None:
    """Run all routing and admission simulations and write both notes."""
    replace_measured(DECISIONS / "routing.md", format_routing_tables())
    (DECISIONS / "routing.svg").write_text(draw_chart(make_routing_chart()))
    replace_measured(DECISIONS / "admission.md", format_admission_tables())
    (DECISIONS / "admission.svg").write_text(draw_chart(make_admission_chart()))


def replace_measured(path: Path, text: str) -> None:
    """Replace the text between the markers of a note."""
    before, _, rest = path.read_text(encoding="utf-8").partition(BEGIN)
    _, _, after = rest.partition(END)
    path.write_text(f"{before}{BEGIN}\n\n{text}\n{END}{after}", encoding="utf-8")


def make_table(header: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def format_routing_tables() -> str:
    """Return the tables of the target figures and of all figures at every load."""
    parts = [f"Capacity: {measure_capacity():.4g} requests/s.\n", format_ratio_table()]
    for load in LOADS:
        parts.append(f"Load {load:.0%} of capacity:\n")
        parts.append(format_load_table(load))
    return "\n".join(parts)


def format_ratio_table() -> str:
    """Return a table of p95 time to first token over that of the oracle.

    The last column states whether the selected policy meets the target.
    """
    names = [name for name in POLICIES if name not in ORACLES]
    rows = []
    for fault in FAULTS:
        for lag_ms in LAGS_MS:
            ratios = [
                compute_ttft_ratio(name, TARGET_LOAD, fault, lag_ms) for name in names
            ]
            is_met = ratios[names.index(SELECTED)] <= TARGET_RATIO
            verdict = "met" if is_met else "missed"
            cells = [f"{ratio:.2f}" for ratio in ratios]
            rows.append([fault, f"{lag_ms / 1000:.0f} s", *cells, verdict])
    title = f"p95 time to first token at 80% load over the oracle's, target {SELECTED} "
    header = ["fault", "report lag", *names, f"<= {TARGET_RATIO}"]
    return f"{title}<= {TARGET_RATIO}:\n\n{make_table(header, rows)}"


def format_load_table(load: float) -> str:
    """Return a table of all figures of all policies at one load."""
    rows = []
    for fault in FAULTS:
        for policy in POLICIES:
            lags = LAGS_MS if policy in POLICIES_WITH_REPORTS else LAGS_MS[:1]
            for lag_ms in lags:
                reads_reports = policy in POLICIES_WITH_REPORTS
                lag = f"{lag_ms / 1000:.0f} s" if reads_reports else "-"
                cells = format_figure_cells(policy, load, fault, lag_ms)
                rows.append([fault, policy, lag, *cells])
    header = ["fault", "policy", "lag", "TTFT p50 ms", "p95 ms", "p99 ms"]
    header += ["TBT p95 ms", "cache hits", "skew", "goodput 1/s"]
    return make_table(header, rows)


def format_figure_cells(
    policy: str, load: float, fault: str, lag_ms: float
) -> list[str]:
    """Return the figures of one cell as text, one per column."""
    runs = find_cell_figures((policy, load, fault, lag_ms))
    cells = [f"{mean_figure(runs, f'ttft_{p}_ms'):.0f}" for p in ("p50", "p95", "p99")]
    cells.append(f"{mean_figure(runs, 'tbt_p95_ms'):.1f}")
    cells += [
        f"{mean_figure(runs, name):.2f}" for name in ("cache_hit_share", "load_skew")
    ]
    return [*cells, f"{mean_figure(runs, 'goodput_per_s'):.1f}"]


def make_routing_chart() -> Chart:
    """Return a chart of the target ratio for every fault and report lag."""
    conditions = [(fault, lag_ms) for fault in FAULTS for lag_ms in LAGS_MS]
    names = [name for name in POLICIES if name not in ORACLES]
    return Chart(
        title="p95 time to first token over the oracle's, 80% load",
        x_label="n, s, f, l: no fault, slow, frozen, lost; number: report lag in s",
        y_label="ratio",
        x_names=tuple(f"{f[0]}{lag_ms / 1000:.0f}" for f, lag_ms in conditions),
        values_by_series={
            name: [
                compute_ttft_ratio(name, TARGET_LOAD, *condition)
                for condition in conditions
            ]
            for name in reversed(names)
        },
        y_max=8.0,
        target=TARGET_RATIO,
    )


def format_admission_tables() -> str:
    """Return the verdict on the target and a table of both queues at every load."""
    rows = []
    for load in bench_admission.LOADS:
        for queue in bench_admission.QUEUES:
            rows.append([f"{load:.0%}", queue, *format_admission_cells(queue, load)])
    header = ["load", "queue", "goodput / capacity", "tokens / capacity"]
    header += ["small customers answered", "refused at once", "TTFT p95 ms"]
    value = bench_admission.compute_goodput_share("fair", bench_admission.TARGET_LOAD)
    is_met = value >= bench_admission.TARGET_SHARE
    verdict = "met" if is_met else "missed"
    target = f"Target at 150% load: goodput >= {bench_admission.TARGET_SHARE} of "
    return (
        f"{target}capacity; measured {value:.3f}, {verdict}.\n\n"
        f"{make_table(header, rows)}"
    )


def format_admission_cells(queue: str, load: float) -> list[str]:
    """Return the figures of one queue at one load as text, one per column."""
    figures = [figures for figures, _ in bench_admission.measure(queue, load)]
    return [
        f"{bench_admission.compute_goodput_share(queue, load):.3f}",
        f"{bench_admission.compute_token_share(queue, load):.3f}",
        f"{bench_admission.compute_small_customer_share(queue, load):.3f}",
        f"{mean_figure(figures, 'rejected_share'):.3f}",
        f"{mean_figure(figures, 'ttft_p95_ms'):.0f}",
    ]


def make_admission_chart() -> Chart:
    """Return a chart of goodput over load for both queues."""
    return Chart(
        title="Answers within their deadline over capacity",
        x_label="offered load over capacity",
        y_label="goodput",
        x_names=tuple(f"{load:.0%}" for load in bench_admission.LOADS),
        values_by_series={
            queue: [
                bench_admission.compute_goodput_share(queue, load)
                for load in bench_admission.LOADS
            ]
            for queue in bench_admission.QUEUES
        },
        y_max=1.2,
        target=bench_admission.TARGET_SHARE,
    )


if __name__ == "__main__":
    main()
