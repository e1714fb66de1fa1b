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
N_LOCAL = 3
N_REMOTE = 1
# Time constant with which the failure rate of an endpoint loses its weight, in ms. A
# failed endpoint is used again after a few of these periods.
FAILURE_DECAY_MS = 4_000.0
# Penalty of an endpoint whose attempts all fail, in occupied slots. It exceeds the
# number of slots of any engine, so that such an endpoint ranks behind a full one.
FAILURE_PENALTY_SLOTS = 24.0
# Time without progress of own attempts, in ms, after which an endpoint counts as
# stopped.
STALL_MS = 600.0


@dataclass(frozen=True, slots=True)
class SlotAware:
    """Policy that chooses the smallest share of occupied slots in a random sample.

    The number of occupied slots is that of the latest report, corrected by the own
    attempts that were dispatched or ended since; without a report only own attempts
    count.

    Load pattern: many entries receive the same report. If all of them chose the least
    loaded endpoint, it would be full long before its next report. A small random sample
    makes their choices differ. Shares of slots are compared instead of predicted times
    because the ranks of a group advance in lock-step and the fullest rank sets the pace
    of all. For the same reason, a request at a slow endpoint counts as many times as
    the endpoint needs longer.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the entry.
    remote_penalty_slots : float
        Number of occupied slots that is added to an endpoint in another failure domain.
    """

    failure_domain: str
    remote_penalty_slots: float = 1.0

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
        sample = self._draw_sample(candidates, random_state)
        return min(
            sample, key=lambda v: self.compute_occupied_share(v, now_ms)
        ).info.endpoint_id

    def _draw_sample(
        self, candidates: Sequence[EndpointView], random_state: Random
    ) -> list[EndpointView]:
        if len(candidates) <= N_LOCAL + N_REMOTE:
            return random_state.sample(candidates, len(candidates))
        local_views = [
            v for v in candidates if v.info.failure_domain == self.failure_domain
        ]
        remote_views = [
            v for v in candidates if v.info.failure_domain != self.failure_domain
        ]
        sample = random_state.sample(local_views, min(N_LOCAL, len(local_views)))
        n_remote = N_LOCAL + N_REMOTE - len(sample)
        return sample + random_state.sample(
            remote_views, min(n_remote, len(remote_views))
        )

    def compute_occupied_share(self, view: EndpointView, now_ms: int) -> float:
        """Return the share of occupied slots, including all penalties."""
        n_slots = view.info.n_slots or 1
        n_occupied = count_occupied_slots(view, now_ms)
        pace = view.report.pace if view.report is not None else 1.0
        # The request to place counts too, so that an idle slow endpoint is not chosen.
        n_occupied = n_occupied * pace + (pace - 1)
        if view.info.failure_domain != self.failure_domain:
            n_occupied += self.remote_penalty_slots
        age_ms = now_ms - view.failure_rate_updated_at_ms
        n_occupied += (
            FAILURE_PENALTY_SLOTS * view.failure_rate * exp(-age_ms / FAILURE_DECAY_MS)
        )
        if view.stalled_ms(now_ms) > STALL_MS:
            n_occupied += FAILURE_PENALTY_SLOTS
        return n_occupied / n_slots


def count_occupied_slots(view: EndpointView, now_ms: int) -> float:
    """Return the estimated number of occupied slots of an endpoint.

    The estimate is the latest report corrected by the own attempts that were dispatched
    or ended since, or the number of own attempts when the report is missing or older
    than ``REPORT_MAX_AGE_MS``.
    """
    report = view.report
    if report is None or now_ms - view.reported_at_ms > REPORT_MAX_AGE_MS:
        return float(view.n_own_in_flight)
    n_change_since_report = len(view.own_dispatched_at_ms) - len(view.own_ended_at_ms)
    n_estimated = report.n_running + report.n_queued + n_change_since_report
    return float(max(view.n_own_in_flight, n_estimated))
