"""Interface of routing policies and their view of an endpoint."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from bluebellusher_core.events import EndpointInfo, LoadReported, RequestSpec


@dataclass(slots=True)
class EndpointView:
    """Last known state of one endpoint, as seen by one entry.

    Own attempts are those of this entry. Times are monotonic, in ms.

    Parameters
    ----------
    info : EndpointInfo
        Description of the endpoint from its agent or its registration.
    report : LoadReported or None
        Latest load report.
    reported_at_ms : int
        Time at which the report was received; the values in it are older by
        ``report.age_ms``.
    n_own_in_flight : int
        Number of own attempts that run on the endpoint.
    own_dispatched_at_ms : list of int
        Times of own dispatches that the report cannot include yet.
    n_own_queued_tokens : int
        Prompt tokens of own attempts without a first byte, less the tokens that were
        recorded as cached at the dispatch.
    is_draining : bool
        Whether the endpoint gets no new work.
    is_isolating : bool
        Whether the endpoint runs a suspect in isolation.
    cached_prefixes : set of int
        Prefix hashes that are recorded as cached on the endpoint.
    own_ended_at_ms : list of int
        Times at which own attempts ended that the report may still include.
    unanswered_at_ms : dict of str to int
        Dispatch time of each own attempt without a first byte, oldest first.
    last_progress_at_ms : int
        Time of the latest first byte or completion of an own attempt.
    own_ttft_ms : float
        Exponentially weighted time to first token of own attempts, in ms.
    own_predicted_ms : float
        Exponentially weighted prediction, in ms, for the same attempts on an endpoint
        of normal speed; 0 before the first observation.
    ttft_observed_at_ms : int
        Time of the last update of ``own_ttft_ms`` and ``own_predicted_ms``.
    own_service_ms : float
        Exponentially weighted time from dispatch to completion of own attempts, in ms;
        0 before the first observation.
    failure_rate : float
        Exponentially weighted share of own attempts that failed, as of
        ``failure_rate_updated_at_ms``.
    failure_rate_updated_at_ms : int
        Time of the last update of ``failure_rate``.

    Notes
    -----
    ``EndpointTracker`` updates every field. An entry that maintains views without the
    tracker may leave the last nine fields at their defaults; policies then do not
    detect slow or frozen endpoints.
    """

    info: EndpointInfo
    report: LoadReported | None = None
    reported_at_ms: int = 0
    n_own_in_flight: int = 0
    own_dispatched_at_ms: list[int] = field(default_factory=list)
    n_own_queued_tokens: int = 0
    is_draining: bool = False
    is_isolating: bool = False
    cached_prefixes: set[int] = field(default_factory=set)
    own_ended_at_ms: list[int] = field(default_factory=list)
    unanswered_at_ms: dict[str, int] = field(default_factory=dict)
    last_progress_at_ms: int = 0
    own_ttft_ms: float = 0.0
    own_predicted_ms: float = 0.0
    ttft_observed_at_ms: int = 0
    own_service_ms: float = 0.0
    failure_rate: float = 0.0
    failure_rate_updated_at_ms: int = 0

    @property
    def slowness(self) -> float:
        """Ratio of observed to predicted time to first token; 1 before observations.

        The ratio of means is used because a mean of ratios is dominated by single
        short predictions for prefixes that were evicted.
        """
        if self.own_predicted_ms <= 0:
            return 1.0
        return self.own_ttft_ms / self.own_predicted_ms

    def stalled_ms(self, now_ms: int) -> float:
        """Return the time that own attempts have waited without progress, in ms.

        The time counts from the oldest dispatch without a first byte or from the
        latest progress, whichever is later; it is 0 when no attempt waits.
        """
        if not self.unanswered_at_ms:
            return 0.0
        oldest_at_ms = next(iter(self.unanswered_at_ms.values()))
        return float(now_ms - max(oldest_at_ms, self.last_progress_at_ms))

    def count_cached_tokens(self, request: RequestSpec) -> int:
        """Return the number of prompt tokens that are recorded as cached.

        Blocks are counted from the start of the prompt up to the first one that is not
        cached. All blocks are assumed to have the same number of tokens.
        """
        n_blocks = 0
        for prefix in request.prefix_hashes:
            if prefix not in self.cached_prefixes:
                break
            n_blocks += 1
        if n_blocks == 0:
            return 0
        return request.n_input_tokens * n_blocks // len(request.prefix_hashes)


class RoutingPolicy(Protocol):
    """Policy that chooses one of the endpoints that can run a request."""

    def choose(
        self,
        request: RequestSpec,
        candidates: Sequence[EndpointView],
        now_ms: int,
        random_state: Random,
    ) -> str | None:
        """Return the id of the chosen endpoint, or ``None`` when none should be used.

        Parameters
        ----------
        request : RequestSpec
            The request to dispatch.
        candidates : sequence of EndpointView
            Endpoints that serve the service and model and take new work.
        now_ms : int
            Monotonic time, in ms.
        random_state : random.Random
            Seeded generator of the entry.
        """
