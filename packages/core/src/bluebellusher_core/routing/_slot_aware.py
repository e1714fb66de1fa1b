"""Routing by occupied slots, for endpoints that are reached without an agent."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp
from random import Random

from bluebellusher_core.events import RequestSpec
from bluebellusher_core.routing._protocol import EndpointView

# Age from which a load report is ignored, in ms. The entry's own attempts are then a
# better estimate of the load.
REPORT_MAX_AGE_MS = 3_000
# Numbers of endpoints of the entry's own failure domain and of other domains in a
# sample; docs/decisions/herd.md has the measurement.
N_NEAR = 3
N_FAR = 1
# Time constant with which the failure rate of an endpoint loses its weight, in ms. A
# failed endpoint is used again after a few of these periods.
FAILURE_MEMORY_MS = 4_000.0
# Penalty of an endpoint whose attempts all fail, in occupied slots. It exceeds the
# number of slots of any engine, so that such an endpoint ranks behind a full one.
FAILURE_PLACES = 24.0
# Time without progress of own attempts, in ms, after which an endpoint counts as
# stopped.
STALL_MS = 600.0


@dataclass(frozen=True, slots=True)
class SlotAware:
    """Policy with the smallest share of occupied slots in a random sample.

    The number of occupied slots is that of the latest report, corrected by the own
    attempts that were dispatched or ended since; without a report only own attempts
    count.

    Load pattern: many entries receive the same report. If all of them chose the least
    loaded endpoint, it would be full long before its next report. A small random sample
    makes their choices differ. Shares of slots are compared instead of predicted times
    because the ranks of a group advance in lock-step and the fullest rank sets the pace
    of all.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the entry.
    remote_places : float
        Number of occupied slots that is added to an endpoint in another failure domain.
    """

    failure_domain: str
    remote_places: float = 1.0

    def choose(
        self,
        request: RequestSpec,
        candidates: Sequence[EndpointView],
        now_ms: int,
        random_state: Random,
    ) -> str | None:
        """Return the id of the endpoint with the lowest cost in the sample."""
        if not candidates:
            return None
        drawn = self._draw(candidates, random_state)
        return min(drawn, key=lambda v: self._cost(v, now_ms)).info.endpoint_id

    def _draw(
        self, candidates: Sequence[EndpointView], random_state: Random
    ) -> list[EndpointView]:
        if len(candidates) <= N_NEAR + N_FAR:
            return random_state.sample(candidates, len(candidates))
        near = [v for v in candidates if v.info.failure_domain == self.failure_domain]
        far = [v for v in candidates if v.info.failure_domain != self.failure_domain]
        drawn = random_state.sample(near, min(N_NEAR, len(near)))
        n_far = N_NEAR + N_FAR - len(drawn)
        return drawn + random_state.sample(far, min(n_far, len(far)))

    def _cost(self, view: EndpointView, now_ms: int) -> float:
        n_slots = view.info.n_slots or 1
        n_taken = count_taken(view, now_ms)
        if view.info.failure_domain != self.failure_domain:
            n_taken += self.remote_places
        age_ms = now_ms - view.failure_noted_at_ms
        n_taken += FAILURE_PLACES * view.failure_rate * exp(-age_ms / FAILURE_MEMORY_MS)
        if view.stalled_ms(now_ms) > STALL_MS:
            n_taken += FAILURE_PLACES
        return n_taken / n_slots


def count_taken(view: EndpointView, now_ms: int) -> float:
    """Return the estimated number of occupied slots of an endpoint.

    The estimate is the latest report corrected by the own attempts that were dispatched
    or ended since, or the number of own attempts when the report is missing or older
    than ``REPORT_MAX_AGE_MS``.
    """
    report = view.report
    if report is None or now_ms - view.reported_at_ms > REPORT_MAX_AGE_MS:
        return float(view.n_own_in_flight)
    n_since = len(view.own_dispatched_at_ms) - len(view.own_ended_at_ms)
    n_reported = report.n_running + report.n_queued + n_since
    return float(max(view.n_own_in_flight, n_reported))
