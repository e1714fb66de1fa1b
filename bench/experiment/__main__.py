"""Run an experiment file: ``python -m bench.experiment FILE [--json OUTPUT]``."""

import argparse
import json
import sys
from pathlib import Path
from statistics import mean, pstdev

from bench.experiment._callers import Caller, CallerResult
from bench.experiment._experiment import load_experiment
from bench.experiment._model import ClosedGroupModel
from bench.experiment._offline import compute_best_share
from bench.experiment._overload_settings import OverloadLoad
from bench.experiment._overload_summary import run_overload_day
from bench.experiment._policies import POLICY_BY_NAME
from bench.experiment._settings import Load

# Width of the windows of which the two worst ones are reported, in ms.
WINDOW_MS = 2_000
# Callers below which a window is not reported.
N_MIN_CALLERS = 10


def summarize(callers: list[Caller], load: Load) -> dict[str, float]:
    """Return the shares of a day by result, and the mean value of the worst windows."""
    n_callers = max(1, len(callers))
    values_by_window: dict[int, list[float]] = {}
    for caller in callers:
        window = caller.first_sent_ms // load.scale(WINDOW_MS)
        values_by_window.setdefault(window, []).append(caller.value)
    means = sorted(
        mean(values)
        for values in values_by_window.values()
        if len(values) >= N_MIN_CALLERS
    )
    shares = {
        result.value: sum(c.result is result for c in callers) / n_callers
        for result in CallerResult
    }
    return {
        "value": mean(c.value for c in callers),
        "worst_windows": mean(means[:2]) if means else 0.0,
        **shares,
    }


def run_day(load: Load, policy: str, seed: int) -> dict[str, float]:
    """Simulate one day and return its summary; a closed group's has its bound."""
    if isinstance(load, OverloadLoad):
        return run_overload_day(load, policy, seed)
    model = ClosedGroupModel(load, POLICY_BY_NAME[policy], seed)
    summary = summarize(model.run(), load)
    best = compute_best_share(model.callers, model.open_intervals, load)
    return {**summary, "share_of_best": summary["value"] / best if best else 0.0}


def main() -> int:
    """Run the experiment named on the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="bench.experiment", description=__doc__)
    parser.add_argument("file", type=Path)
    parser.add_argument("--json", type=Path, help="file for the figures of all days")
    arguments = parser.parse_args()
    try:
        experiment = load_experiment(arguments.file, frozenset(POLICY_BY_NAME))
    except (OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return 2
    days = []
    for load_name, load in {**experiment.loads, **experiment.overloads}.items():
        for policy in experiment.policies:
            results = [run_day(load, policy, seed) for seed in experiment.seeds]
            days.append({"load": load_name, "policy": policy, "days": results})
            fields = " ".join(
                f"{name}={mean(r[name] for r in results):.3f}"
                f"±{pstdev(r[name] for r in results):.3f}"
                for name in results[0]
            )
            print(f"load={load_name} policy={policy} {fields}", flush=True)
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(days, indent=1), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
