"""What every routing policy receives and returns."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from bluebellusher_core.events import EndpointInfo, LoadReported, RequestSpec


@dataclass(slots=True)
class EndpointView:
    """What one entry knows about one endpoint.

    Parameters
    ----------
    info : EndpointInfo
        What the agent said when the connection opened.
    report : LoadReported or None
        The latest load report.
    reported_at_ms : int
        When that report was received; its reading is older by ``report.age_ms``.
    n_own_in_flight : int
        Attempts of this entry that are running there.
    own_dispatched_at_ms : list of int
        Times of this entry's dispatches that the report cannot include yet.
    n_own_queued_tokens : int
        Prompt tokens of own attempts that have not started to answer, less those
        that were believed to be cached there.
    is_draining : bool
        The endpoint takes no new work.
    is_isolating : bool
        A suspect runs there alone.
    cached_prefixes : set of int
        Prefix hashes that the endpoint is believed to hold.
    own_ended_at_ms : list of int
        Times at which own attempts ended that the report may still count.
    unanswered_at_ms : dict of str to int
        Dispatch time of each own attempt without a first byte, oldest first.
    last_progress_at_ms : int
        Time of the last first byte or end of an own attempt.
    own_ttft_ms : float
        Exponentially weighted time to first token of own attempts.
    own_predicted_ms : float
        Exponentially weighted prediction for the same attempts on an endpoint of
        normal speed; 0 when nothing was observed.
    ttft_observed_at_ms : int
        When these two were last updated.
    own_service_ms : float
        Exponentially weighted time from dispatch to end of own attempts; 0 when
        nothing was observed.
    failure_rate : float
        Exponentially weighted share of own attempts that failed, as of
        ``failure_noted_at_ms``.
    failure_noted_at_ms : int
        When that share was last updated.

    Notes
    -----
    ``EndpointTracker`` updates every field. An entry that keeps views without it
    may leave the last nine fields at their defaults; policies then do not detect
    slow or frozen endpoints.
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
    failure_noted_at_ms: int = 0

    @property
    def slowness(self) -> float:
        """Observed over predicted time to first token; 1 when nothing is known.

        The ratio of means is used because the mean of ratios is dominated by single
        short predictions that met an evicted prefix.
        """
        if self.own_predicted_ms <= 0:
            return 1.0
        return self.own_ttft_ms / self.own_predicted_ms

    def stalled_ms(self, now_ms: int) -> float:
        """Return for how long own attempts have waited without any progress."""
        if not self.unanswered_at_ms:
            return 0.0
        oldest_at_ms = next(iter(self.unanswered_at_ms.values()))
        return float(now_ms - max(oldest_at_ms, self.last_progress_at_ms))

    def count_cached_tokens(self, request: RequestSpec) -> int:
        """Return how many prompt tokens the endpoint is believed to hold.

        Blocks are counted from the start of the prompt to the first missing one and
        are taken to be equally long.
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
    """Choose one of the endpoints that can run a request."""

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
            The request to place.
        candidates : sequence of EndpointView
            Endpoints that offer the service and model and take new work.
        now_ms : int
            Monotonic time.
        random_state : random.Random
            Seeded generator of the entry.
        """
