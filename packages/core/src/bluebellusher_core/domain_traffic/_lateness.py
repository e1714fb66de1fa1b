"""Late answers that one more request in a failure domain causes."""

from collections.abc import Callable
from functools import lru_cache
from itertools import pairwise
from math import exp

# Number of intervals into which the utilization from 0 to 1 is divided.
N_STEPS = 64
# Resolution of the slack as a multiple of the service time, by which curves are cached.
SLACK_RESOLUTION = 0.05


def compute_marginal_lateness(
    n_slots: float, n_occupied: float, n_pool_slots: float, slack_ratio: float
) -> float:
    """Return how many answers become late if one more request is served, 0 to 1.

    The waiting time in a pool of servers (Erlang C) exceeds the slack of a request with
    a probability that follows from the number of slots and their utilization. The
    result is the derivative of the rate of late answers with respect to the rate of
    requests, so that it includes the requests that are delayed by the added one. It is
    1 in a domain without slots or without a free one.

    Parameters
    ----------
    n_slots : float
        Slots of the domain's endpoints.
    n_occupied : float
        Mean number of slots that are occupied, or would be if all requests were served.
    n_pool_slots : float
        Number of slots of which a request gets the first free one. It is lower than
        ``n_slots`` where an entry compares only some endpoints, or by old reports.
    slack_ratio : float
        Time that a request can wait for a slot and still be answered within its
        objective, as a multiple of the time that it occupies a slot.

    Examples
    --------
    >>> compute_marginal_lateness(12, 2, 12, 0.2) < 0.01
    True
    >>> compute_marginal_lateness(12, 12, 12, 0.2)
    1.0
    """
    find_lateness = make_lateness(n_slots, n_pool_slots, slack_ratio)
    return find_lateness(n_occupied)


def make_lateness(
    n_slots: float, n_pool_slots: float, slack_ratio: float
) -> Callable[[float], float]:
    """Return ``compute_marginal_lateness`` as a function of the occupied slots.

    It is evaluated for many numbers of occupied slots in one decision.
    """
    if n_slots < 1:
        return lambda n_occupied: 1.0
    n_resolved = max(0, int(slack_ratio / SLACK_RESOLUTION))
    curve = _compute_curve(max(1, int(min(n_slots, n_pool_slots))), n_resolved)
    scale = N_STEPS / n_slots

    def find_lateness(n_occupied: float) -> float:
        position = n_occupied * scale
        if position >= N_STEPS:
            return 1.0
        if position <= 0:
            return 0.0
        index = int(position)
        lower = curve[index]
        return lower + (curve[index + 1] - lower) * (position - index)

    return find_lateness


@lru_cache(maxsize=256)
def _compute_curve(n_slots: int, n_resolved: int) -> tuple[float, ...]:
    """Return the marginal lateness at each step of the utilization, ascending."""
    slack_ratio = n_resolved * SLACK_RESOLUTION
    late_rates = []
    for step in range(N_STEPS + 1):
        load = n_slots * step / N_STEPS
        p_late = _compute_wait_probability(n_slots, load) * exp(
            -(n_slots - load) * slack_ratio
        )
        late_rates.append(load * p_late)
    curve = [0.0]
    for previous, current in pairwise(late_rates):
        slope = (current - previous) * N_STEPS / n_slots
        curve.append(min(1.0, max(curve[-1], slope)))
    curve[-1] = 1.0
    return tuple(curve)


def _compute_wait_probability(n_slots: int, load: float) -> float:
    """Return the probability that a request finds all slots occupied (Erlang C)."""
    if load >= n_slots:
        return 1.0
    blocked = 1.0
    for n in range(1, n_slots + 1):
        blocked = load * blocked / (n + load * blocked)
    return blocked / (1 - load / n_slots * (1 - blocked))
