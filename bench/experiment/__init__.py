"""Comparison of admission policies on a group of ranks that closes under load."""

from bench.experiment._callers import Caller, CallerResult
from bench.experiment._experiment import Experiment, load_experiment
from bench.experiment._model import ClosedGroupModel
from bench.experiment._offline import compute_best_share
from bench.experiment._overload import OverloadModel
from bench.experiment._overload_settings import OverloadLoad
from bench.experiment._overload_summary import run_overload_day
from bench.experiment._policies import POLICY_BY_NAME, Policy
from bench.experiment._settings import Load

__all__ = [
    "POLICY_BY_NAME",
    "Caller",
    "CallerResult",
    "ClosedGroupModel",
    "Experiment",
    "Load",
    "OverloadLoad",
    "OverloadModel",
    "Policy",
    "compute_best_share",
    "load_experiment",
    "run_overload_day",
]
