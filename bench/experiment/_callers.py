"""Callers of the closed-group model, which wait, leave and retry once."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from bench.experiment._settings import Load

# Attempts of one caller, the first one included.
N_MAX_TRIES = 2
# A caller honours a pause up to this share of its remaining time.
MAX_PAUSE_SHARE = 1 / 3
# Value of a late answer; an answer on time has the value 1.
LATE_VALUE = 0.5


class CallerResult(StrEnum):
    """How a caller was served in the end."""

    ON_TIME = "on_time"
    LATE = "late"
    LOST = "lost"


@dataclass(slots=True)
class Caller:
    """A caller with its deadline and what it has received.

    Parameters
    ----------
    caller_id : str
        Id of the caller, which is also the fingerprint of its request.
    first_sent_ms, deadline_ms : int
        Times of the first attempt and of the deadline.
    n_events : int
        Length of the answer.
    n_tries : int
        Attempts so far.
    n_received : int
        Events received.
    first_event_ms, last_event_ms : int
        Time of the first event, 0 for none; time of the last event or attempt.
    request_id : str
        Id of the request in progress; empty for none.
    result : CallerResult
        Result at the end.
    """

    caller_id: str
    first_sent_ms: int
    deadline_ms: int
    n_events: int
    n_tries: int = 0
    n_received: int = 0
    first_event_ms: int = 0
    last_event_ms: int = 0
    request_id: str = ""
    result: CallerResult = CallerResult.LOST

    @property
    def value(self) -> float:
        """Value of the answer to the caller."""
        if self.result is CallerResult.ON_TIME:
            return 1.0
        return LATE_VALUE if self.result is CallerResult.LATE else 0.0


def draw_callers(load: Load, random_state: Random) -> list[Caller]:
    """Return the callers of one day, in the order of their first attempts."""
    callers: list[Caller] = []
    burst_ms = (0.4 * load.duration_ms, 0.6 * load.duration_ms)
    at_ms = 0.0
    while True:
        is_burst = burst_ms[0] <= at_ms < burst_ms[1]
        rate = load.callers_per_s * (load.burst_factor if is_burst else 1.0)
        at_ms += random_state.expovariate(rate / 1_000)
        if at_ms >= load.duration_ms:
            return callers
        sent_ms = load.scale(at_ms)
        deadline_ms = sent_ms + load.scale(
            random_state.uniform(*load.deadline_range_ms)
        )
        n_events = int(random_state.lognormvariate(0.0, 0.65) * load.n_events * 0.81)
        n_events = max(1, min(n_events, int(2.5 * load.n_events)))
        callers.append(Caller(f"c{len(callers)}", sent_ms, deadline_ms, n_events))
