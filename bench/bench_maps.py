"""Duration of passes and size of weight loads under sudden changes of popularity."""

from bench.map_runs import POLICIES, SITES, MapRun, run_map_policy
from bench.report import print_figure

SEEDS = (1, 2, 3)


def main() -> None:
    """Print the figures of every policy on every site, as means over the seeds."""
    for site_name, site in SITES.items():
        for name in POLICIES:
            runs = [run_map_policy(site, name, seed) for seed in SEEDS]
            _print_means(f"{site_name}.{name}", runs)


def _print_means(name: str, runs: list[MapRun]) -> None:
    n_runs = len(runs)
    mean_pass = sum(run.mean_pass for run in runs) / n_runs
    slow_share = sum(run.slow_share for run in runs) / n_runs
    mean_skew = sum(run.mean_skew for run in runs) / n_runs
    n_changes = sum(run.n_changes for run in runs) / n_runs
    loaded_gb = sum(run.loaded_gb for run in runs) / n_runs
    print_figure(f"maps.pass.{name}", mean_pass, "of an even one")
    print_figure(f"maps.slow.{name}", slow_share, "share above twice")
    print_figure(f"maps.skew.{name}", mean_skew, "mean")
    print_figure(f"maps.changes.{name}", n_changes, "maps")
    print_figure(f"maps.copied.{name}", loaded_gb, "GB")
