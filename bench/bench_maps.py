"""Maps of experts under sudden changes: duration of passes and copies by policy."""

from bench.map_runs import POLICIES, run_map_policy
from bench.report import print_figure

SEEDS = (1, 2, 3)


def main() -> None:
    """Print the figures of every policy, as means over the seeds."""
    for name, make_policy in POLICIES.items():
        runs = [run_map_policy(make_policy(), seed) for seed in SEEDS]
        n_runs = len(runs)
        mean_pass = sum(run.mean_pass for run in runs) / n_runs
        slow_share = sum(run.slow_share for run in runs) / n_runs
        n_loads = sum(run.n_loads for run in runs) / n_runs
        print_figure(f"maps.pass.{name}", mean_pass, "of an even one")
        print_figure(f"maps.slow.{name}", slow_share, "share above twice")
        print_figure(f"maps.loads.{name}", n_loads, "copies")
