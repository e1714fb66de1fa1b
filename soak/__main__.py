"""Command line: ``python -m soak --seeds 1-50 --seconds 30 --report FILE``."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from soak.run import Report, Soak, set_python_path


def parse_seeds(text: str) -> range:
    """Return the seeds of ``7`` or ``1-50``; a range includes both ends."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def format_report(report: Report) -> str:
    """Return a one-line summary of the report of one run."""
    statuses = " ".join(f"{s}:{n}" for s, n in sorted(report.statuses.items()))
    faults = " ".join(f"{name}:{n}" for name, n in sorted(report.faults.items()))
    return (
        f"seed={report.seed} violations={len(report.violations)}"
        f" poison_runs={report.n_poison_runs} late_runs={report.n_late_runs}"
        f" statuses=[{statuses}] faults=[{faults}]"
    )


def main() -> int:
    """Run every seed; return 1 if a run violated a guarantee, otherwise 0."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 2))
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--keep", type=pathlib.Path, help="keep logs of failed seeds")
    parser.add_argument("--report", type=pathlib.Path)
    options = parser.parse_args()
    set_python_path()
    lines = []
    n_failed_seeds = 0
    for seed in options.seeds:
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            report = asyncio.run(Soak(seed, directory, options.seconds).run())
            lines += [format_report(report), *report.violations]
            print("\n".join([format_report(report), *report.violations]), flush=True)
            n_failed_seeds += bool(report.violations)
            if report.violations and options.keep:
                options.keep.mkdir(parents=True, exist_ok=True)
                directory.rename(options.keep / f"seed-{seed}")
                directory.mkdir()
    if options.report:
        options.report.write_text("\n".join(lines) + "\n")
    print(f"{len(options.seeds)} seeds, {n_failed_seeds} with violated guarantees")
    return 1 if n_failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
