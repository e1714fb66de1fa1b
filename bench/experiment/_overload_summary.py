"""Figures of a day on which callers compete for insufficient capacity."""

from statistics import median

from bench.experiment._callers import CallerResult
from bench.experiment._overload import (
    OverloadCaller,
    OverloadModel,
    compute_capacity_per_s,
)
from bench.experiment._overload_settings import OverloadLoad
from bench.experiment._policies import POLICY_BY_NAME

# Time from the begin of a burst until its figures count, in ms.
SETTLE_MS = 2_000
# Time after a burst from which service counts as before, in ms.
RECOVERY_MS = 2_000


def summarize_overload(model: OverloadModel) -> dict[str, float]:
    """Return the shares of a day by result, priority and part of the burst.

    ``of_capacity`` is the number of answers on time of the burst's callers, without
    its first seconds, as a share of what the ranks can serve or of the callers, if
    those are fewer. ``after`` is the share on time after the burst.
    """
    load = model.load
    callers = [c for c in model.callers if isinstance(c, OverloadCaller)]
    begin_ms, end_ms = load.burst_begin_ms + SETTLE_MS, load.burst_end_ms
    in_burst = [c for c in callers if begin_ms <= c.first_sent_ms < end_ms]
    capacity = compute_capacity_per_s(load, model.engine) * (end_ms - begin_ms) / 1_000
    n_possible = max(1.0, min(float(len(in_burst)), capacity))
    figures = {
        "value": sum(c.value for c in callers) / sum(c.worth for c in callers),
        "of_capacity": _count(in_burst, CallerResult.ON_TIME) / n_possible,
    }
    for kind in sorted({k.priority for k in load.kinds}):
        selected = [c for c in in_burst if load.kinds[c.kind].priority == kind]
        figures[f"p{kind}"] = _share(selected, CallerResult.ON_TIME)
    figures["late"] = _share(in_burst, CallerResult.LATE)
    figures["lost"] = _share(in_burst, CallerResult.LOST)
    after_ms = load.burst_end_ms + RECOVERY_MS
    after = [c for c in callers if c.first_sent_ms >= after_ms]
    figures["after"] = _share(after, CallerResult.ON_TIME)
    before = [c for c in callers if c.first_sent_ms < load.burst_begin_ms]
    figures["before"] = _share(before, CallerResult.ON_TIME)
    firsts = [c.first_event_ms - c.first_sent_ms for c in in_burst if c.first_event_ms]
    figures["first_ms"] = float(median(firsts)) if firsts else 0.0
    figures["refused"] = model.counts.n_refused / max(1, model.counts.n_arrived)
    if load.large_customer_share:
        others = [c for c in in_burst if c.customer_id != "k0"]
        figures["others"] = _share(others, CallerResult.ON_TIME)
        large = [c for c in in_burst if c.customer_id == "k0"]
        figures["large"] = _share(large, CallerResult.ON_TIME)
    return figures


def run_overload_day(load: OverloadLoad, policy: str, seed: int) -> dict[str, float]:
    """Simulate one day and return its figures."""
    model = OverloadModel(load, POLICY_BY_NAME[policy], seed)
    model.run()
    return summarize_overload(model)


def _count(callers: list[OverloadCaller], result: CallerResult) -> int:
    return sum(c.result is result for c in callers)


def _share(callers: list[OverloadCaller], result: CallerResult) -> float:
    return _count(callers, result) / max(1, len(callers))
