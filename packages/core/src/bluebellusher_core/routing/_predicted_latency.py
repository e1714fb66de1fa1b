"""Routing by the predicted time to first token."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import erf, exp, pi, sqrt
from random import Random

from bluebellusher_core.events import RequestSpec
from bluebellusher_core.routing._baselines import filter_usable
from bluebellusher_core.routing._protocol import EndpointView

# Service time that is assumed until an own attempt has ended, in ms.
DEFAULT_SERVICE_MS = 3_000.0
# Age from which a load report is ignored, also as an estimate of the mean load, in ms.
REPORT_TIMEOUT_MS = 15_000
# An endpoint is unresponsive when its own attempts made no progress for this time, in
# ms, plus this multiple of its mean time to first token. The time is long enough for
# the prefill of a long prompt.
UNRESPONSIVE_AFTER_MS = 3_000.0
UNRESPONSIVE_TTFT_FACTOR = 3.0
# Time constant with which reported queued tokens lose their weight, in ms. It is short
# because prompts wait for their prefill for a much shorter time than requests run.
QUEUED_TOKENS_DECAY_MS = 200.0
# Time constant with which the observed slowness of an endpoint loses its weight, in ms.
# A slow endpoint is used again after a few of these periods.
SLOWNESS_DECAY_MS = 20_000.0


@dataclass(slots=True)
class _Load:
    """Estimated load of one endpoint at the time of a decision."""

    view: EndpointView
    # Weight of the report by its age, 0 to 1.
    report_weight: float
    # Age of the values in the report, in ms.
    age_ms: int
    # Requests of other entries according to the report.
    n_reported_others: float


class PredictedLatency:
    """Policy that chooses the lowest predicted time to first token in a sample.

    The load of an endpoint is the number of the entry's own attempts, which is exact,
    plus an estimate for other entries: the reported load less the own attempts at the
    time of the report's reading. The older the report, the more this estimate is
    replaced by the assumption that other entries distribute their requests as this
    entry does. Own attempts that were dispatched or ended since the reading are thus
    accounted for, and without a report only own attempts count. Entries with the same
    stale report do not all prefer the same endpoint: each entry balances its own
    attempts and thereby the total.

    The prediction is scaled by the observed speed of the endpoint relative to the
    median. When own attempts wait for a first byte, the prediction is at least the time
    for which they have waited without any progress of the endpoint. A frozen endpoint
    therefore receives no new work after about the normal time of an answer.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the entry; empty when unknown.
    prefill_tokens_per_ms : float
        Prefill speed of a normal engine, in tokens per ms; the observed speed of each
        endpoint corrects an error.
    base_ms : float
        Time to first token, in ms, of an idle endpoint with the whole prompt cached.
    remote_domain_ms : float
        Time that is added for endpoints in other failure domains, in ms.
    load_ms : float
        Time that is added for each request in the batch, in ms; each request slows
        every step.
    n_sample : int
        Number of candidates that are drawn; the best prefix match is added.
    n_queue_allowed : int
        Number of requests that may wait in an engine in addition to its batch, so that
        a freed slot is used at once.
    load_memory_ms : float
        Time constant with which a load report loses its weight, in ms. With a longer
        one, entries react to outdated loads of each other, and loads oscillate.
    slot_wait_weight : float
        Weight of the predicted wait for a free slot. A weight of 1 moves requests away
        from cached prefixes for waits that often do not occur.
    tolerated_slowness : float
        Ratio of observed to predicted time up to which an endpoint counts as normal.
        The prediction does not include evicted prefixes and the prompts of other
        entries; reacting to such noise moves requests away from cached prefixes.

    Raises
    ------
    ValueError
        When ``prefill_tokens_per_ms`` or ``load_memory_ms`` is not above 0, or
        ``tolerated_slowness`` or ``n_sample`` is below 1.

    Notes
    -----
    docs/decisions/routing.md has the measurements behind the defaults.
    """

    def __init__(
        self,
        failure_domain: str = "",
        prefill_tokens_per_ms: float = 8.0,
        base_ms: float = 30.0,
        remote_domain_ms: float = 2.0,
        load_ms: float = 5.0,
        n_sample: int = 12,
        n_queue_allowed: int = 3,
        load_memory_ms: float = 500.0,
        slot_wait_weight: float = 0.3,
        tolerated_slowness: float = 1.5,
    ) -> None:
        if not prefill_tokens_per_ms > 0:
            name = "prefill_tokens_per_ms"
            raise ValueError(f"{name}={prefill_tokens_per_ms}: expected above 0")
        if not load_memory_ms > 0:
            raise ValueError(f"load_memory_ms={load_memory_ms}: expected above 0")
        if not tolerated_slowness >= 1:
            name = "tolerated_slowness"
            raise ValueError(f"{name}={tolerated_slowness}: expected at least 1")
        if n_sample < 1:
            raise ValueError(f"n_sample={n_sample}: expected at least 1")
        self.failure_domain = failure_domain
        self.prefill_tokens_per_ms = prefill_tokens_per_ms
        self.base_ms = base_ms
        self.remote_domain_ms = remote_domain_ms
        self.load_ms = load_ms
        self.n_sample = n_sample
        self.n_queue_allowed = n_queue_allowed
        self.load_memory_ms = load_memory_ms
        self.slot_wait_weight = slot_wait_weight
        self.tolerated_slowness = tolerated_slowness

    def choose(
        self,
        request: RequestSpec,
        candidates: Sequence[EndpointView],
        now_ms: int,
        random_state: Random,
    ) -> str | None:
        """Return the best endpoint of a sample, or ``None`` when none is available."""
        views = filter_usable(candidates)
        if not views:
            return None
        sample = self._draw_sample(request, views, random_state)
        loads = [self._estimate_load(view, now_ms) for view in sample]
        n_others_per_own = _count_others_per_own(loads)
        median_slowness = _median_slowness(sample)
        # When every endpoint seems unresponsive, the entry itself was more likely
        # suspended or cut off. Excluding all of them would stop all work.
        skips_unresponsive = not all(_is_unresponsive(view, now_ms) for view in views)
        best_id = None
        best_ms = float("inf")
        for load in loads:
            n_others = _blend_others(load, n_others_per_own)
            if not self._has_capacity(load.view, n_others):
                continue
            if skips_unresponsive and _is_unresponsive(load.view, now_ms):
                continue
            predicted_ms = self._predict_ms(
                request, load, n_others, median_slowness, now_ms
            )
            if predicted_ms < best_ms:
                best_ms = predicted_ms
                best_id = load.view.info.endpoint_id
        return best_id

    def predict_normal_ms(
        self, request: RequestSpec, view: EndpointView, now_ms: int
    ) -> float:
        """Return the time to first token at normal endpoint speed, in ms.

        ``EndpointTracker.record_dispatch`` takes this value, to compare it with the
        observed time.
        """
        load = self._estimate_load(view, now_ms)
        return self._predict_at_normal_speed_ms(request, load, load.n_reported_others)

    def _draw_sample(
        self, request: RequestSpec, views: list[EndpointView], random_state: Random
    ) -> list[EndpointView]:
        if len(views) <= self.n_sample:
            # A random rotation breaks ties at random with a single draw.
            start = random_state.randrange(len(views))
            return views[start:] + views[:start]
        sample = random_state.sample(views, self.n_sample)
        if request.prefix_hashes:
            # Only views with the first block can have a longer match.
            first = request.prefix_hashes[0]
            views_with_first_block = [
                view for view in views if first in view.cached_prefixes
            ]
            if views_with_first_block:
                best = max(
                    views_with_first_block, key=lambda v: v.count_cached_tokens(request)
                )
                sample.append(best)
        return sample

    def _estimate_load(self, view: EndpointView, now_ms: int) -> _Load:
        """Return other entries' load by the report; 0 when it is missing or too old."""
        report = view.report
        if report is None:
            return _Load(view, 0.0, 0, 0.0)
        age_ms = max(0, now_ms - view.reported_at_ms + report.age_ms)
        if age_ms > REPORT_TIMEOUT_MS:
            return _Load(view, 0.0, 0, 0.0)
        n_dispatched = len(view.own_dispatched_at_ms)
        n_own_at_reading = (
            view.n_own_in_flight - n_dispatched + len(view.own_ended_at_ms)
        )
        n_others = report.n_running + report.n_queued - n_own_at_reading
        report_weight = exp(-age_ms / self.load_memory_ms)
        return _Load(view, report_weight, age_ms, float(max(0, n_others)))

    def _has_capacity(self, view: EndpointView, n_others: float) -> bool:
        """Return whether another attempt fits into the batch and the allowed queue."""
        n_slots = _n_slots(view)
        if view.n_own_in_flight + n_others < n_slots + self.n_queue_allowed:
            return True
        # Other entries may use every slot. A small share of the slots stays available,
        # so that an entry that has just started can use the endpoint.
        return view.n_own_in_flight < max(1, n_slots // 8)

    def _predict_ms(
        self,
        request: RequestSpec,
        load: _Load,
        n_others: float,
        median_slowness: float,
        now_ms: int,
    ) -> float:
        """Return the predicted time to first token, in ms, at the observed speed."""
        view = load.view
        predicted_ms = self._predict_at_normal_speed_ms(request, load, n_others)
        predicted_ms += self.load_ms * (view.n_own_in_flight + n_others)
        slowness = _current_slowness(view, median_slowness, now_ms)
        predicted_ms *= max(1.0, slowness / self.tolerated_slowness)
        predicted_ms = max(predicted_ms, view.stalled_ms(now_ms))
        if view.info.failure_domain != self.failure_domain:
            predicted_ms += self.remote_domain_ms
        return predicted_ms

    def _predict_at_normal_speed_ms(
        self, request: RequestSpec, load: _Load, n_others: float
    ) -> float:
        """Return the time for prefill and waiting for a slot at normal speed, in ms."""
        view = load.view
        n_tokens = request.n_input_tokens - view.count_cached_tokens(request)
        n_tokens_ahead = view.n_own_queued_tokens + _estimate_others_queued_tokens(load)
        prefill_ms = (n_tokens + n_tokens_ahead) / self.prefill_tokens_per_ms
        n_in_flight = view.n_own_in_flight + n_others
        n_slots = _n_slots(view)
        # Standard deviation of the other entries' attempts; it grows with the age of
        # the report.
        deviation = sqrt((1 - load.report_weight * load.report_weight) * n_others)
        n_excess = _mean_excess(n_in_flight - (n_slots - 1), deviation)
        service_ms = view.own_service_ms or DEFAULT_SERVICE_MS
        slot_wait_ms = self.slot_wait_weight * n_excess * service_ms / n_slots
        return self.base_ms + prefill_ms + slot_wait_ms


def _count_others_per_own(loads: list[_Load]) -> float:
    """Return the number of other entries' attempts per own attempt."""
    n_own = sum(load.view.n_own_in_flight for load in loads if load.report_weight > 0)
    n_others = sum(load.n_reported_others for load in loads)
    return n_others / n_own if n_own else 0.0


def _blend_others(load: _Load, n_others_per_own: float) -> float:
    """Return the estimated attempts of other entries, by the age of the report."""
    n_others_assumed = load.view.n_own_in_flight * n_others_per_own
    return (
        load.report_weight * load.n_reported_others
        + (1 - load.report_weight) * n_others_assumed
    )


def _estimate_others_queued_tokens(load: _Load) -> float:
    """Return the queued prompt tokens of other entries by their share of requests."""
    report = load.view.report
    if report is None or report.n_queued_tokens == 0:
        return 0.0
    n_total = report.n_running + report.n_queued
    share = load.n_reported_others / n_total if n_total else 0.0
    report_weight = exp(-load.age_ms / QUEUED_TOKENS_DECAY_MS)
    return report_weight * share * report.n_queued_tokens


def _n_slots(view: EndpointView) -> int:
    """Return the number of slots by the latest report, else by the description."""
    n_slots = view.info.n_slots if view.report is None else view.report.n_slots
    return n_slots or 1


def _mean_excess(mean: float, deviation: float) -> float:
    """Return the mean of the positive part of a normally distributed variable."""
    if deviation < 0.05:
        return max(0.0, mean)
    if mean < -4 * deviation:
        return 0.0
    z = mean / deviation
    density = exp(-z * z / 2) / sqrt(2 * pi)
    return deviation * density + mean * (1 + erf(z / sqrt(2))) / 2


def _median_slowness(views: list[EndpointView]) -> float:
    """Return the median slowness, which measures the prediction's common error."""
    observed = sorted(view.slowness for view in views if view.own_predicted_ms > 0)
    return observed[len(observed) // 2] if observed else 1.0


def _current_slowness(view: EndpointView, median_slowness: float, now_ms: int) -> float:
    """Return the slowness relative to the median, decayed towards 1 with its age."""
    if view.own_predicted_ms <= 0 or median_slowness <= 0:
        return 1.0
    age_ms = now_ms - view.ttft_observed_at_ms
    return 1 + (view.slowness / median_slowness - 1) * exp(-age_ms / SLOWNESS_DECAY_MS)


def _is_unresponsive(view: EndpointView, now_ms: int) -> bool:
    """Return whether an endpoint that answered earlier has stopped answering.

    An unresponsive endpoint gets no work even when all others are full. Before the
    first answer of an endpoint its normal time to first token is unknown; such an
    endpoint is not excluded, only its prediction grows.
    """
    if view.own_predicted_ms <= 0:
        return False
    limit_ms = UNRESPONSIVE_AFTER_MS + UNRESPONSIVE_TTFT_FACTOR * view.own_ttft_ms
    return view.stalled_ms(now_ms) > limit_ms
