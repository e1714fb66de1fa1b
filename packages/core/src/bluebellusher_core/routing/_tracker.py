"""Tracker that updates ``EndpointView`` objects from the events of an entry."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    CacheReported,
    EndpointConnected,
    EndpointDraining,
    EndpointInfo,
    EndpointLost,
    Event,
    LoadReported,
    RequestSpec,
)
from bluebellusher_core.routing._protocol import EndpointView

# Weight of the latest observation in the weighted means of times.
SMOOTHING = 0.2
# Weight of the latest attempt in the failure rate. A failing endpoint is avoided after
# a few failed attempts.
FAILURE_SMOOTHING = 0.25
# Upper bound of one observed time to first token, as a multiple of its prediction. One
# very late first byte must not exclude an endpoint for minutes.
MAX_TTFT_RATIO = 20.0
# Upper bound of the recorded times of dispatches and of ends for each endpoint. Only
# load reports remove these times, and reports can stop.
MAX_HISTORY = 1024
# Upper bound of the recorded prefixes for each endpoint, about 0.3 MB. Without it the
# set could grow, because removals can be lost in gaps between cache reports.
MAX_CACHED_PREFIXES = 4_096


@dataclass(slots=True)
class _Attempt:
    """An own attempt in flight."""

    endpoint_id: str
    dispatched_at_ms: int
    predicted_ms: float
    n_tokens: int
    prefix_hashes: tuple[int, ...]
    is_answered: bool = False


@dataclass(slots=True)
class EndpointTracker:
    """Views of all connected endpoints and the own attempts that run on them.

    The reducer calls ``record_dispatch`` for each ``Dispatch`` effect,
    ``record_cancel`` for each ``CancelAttempt`` effect, and ``apply`` for every
    event before the handler of the event reads a view.

    Parameters
    ----------
    view_by_id : dict of str to EndpointView
        Views by endpoint id.

    Examples
    --------
    >>> tracker = EndpointTracker()
    >>> tracker.apply(EndpointDraining("unknown"), now_ms=0)
    >>> tracker.view_by_id
    {}
    """

    view_by_id: dict[str, EndpointView] = field(default_factory=dict)
    _attempt_by_id: dict[str, _Attempt] = field(default_factory=dict)

    def record_dispatch(
        self,
        attempt_id: str,
        endpoint_id: str,
        request: RequestSpec,
        predicted_ms: float,
        now_ms: int,
    ) -> None:
        """Record that an own attempt was dispatched.

        Parameters
        ----------
        attempt_id, endpoint_id : str
            The attempt and its endpoint, which must be connected.
        request : RequestSpec
            The request that the attempt runs.
        predicted_ms : float
            Time to first token on an endpoint of normal speed, in ms
            (``PredictedLatency.predict_normal_ms``); 0 skips the estimate of the speed.
        now_ms : int
            Monotonic time, in ms.
        """
        view = self.view_by_id[endpoint_id]
        n_tokens = request.n_input_tokens - view.count_cached_tokens(request)
        self._attempt_by_id[attempt_id] = _Attempt(
            endpoint_id, now_ms, predicted_ms, n_tokens, request.prefix_hashes
        )
        view.n_own_in_flight += 1
        view.n_own_queued_tokens += n_tokens
        view.unanswered_at_ms[attempt_id] = now_ms
        _append_bounded(view.own_dispatched_at_ms, now_ms)

    def record_cancel(self, attempt_id: str, now_ms: int) -> None:
        """Record that an own attempt was cancelled; this is not counted as progress."""
        self._end_attempt(attempt_id, now_ms)

    def record_failure(self, endpoint_id: str, now_ms: int) -> None:
        """Record an own attempt that failed because of its endpoint."""
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            _update_failure_rate(view, 1.0, now_ms)

    def apply(self, event: Event, now_ms: int) -> None:
        """Update the views from an event; unrelated events are ignored."""
        match event:
            case AttemptStarted():
                self._record_first_byte(event.attempt_id, now_ms)
            case AttemptFinished():
                self._record_finish(event.attempt_id, now_ms)
            case AttemptRefused() | AttemptBroken():
                self._end_attempt(event.attempt_id, now_ms)
            case EndpointConnected():
                self._add_view(event.endpoint, now_ms)
            case EndpointLost():
                self._remove_view(event.endpoint_id)
            case EndpointDraining():
                self._mark_draining(event.endpoint_id)
            case LoadReported():
                self._record_load_report(event, now_ms)
            case CacheReported():
                self._record_cache_report(event)

    def _record_first_byte(self, attempt_id: str, now_ms: int) -> None:
        attempt = self._attempt_by_id.get(attempt_id)
        if attempt is None or attempt.is_answered:
            return
        attempt.is_answered = True
        view = self.view_by_id[attempt.endpoint_id]
        view.n_own_queued_tokens -= attempt.n_tokens
        view.unanswered_at_ms.pop(attempt_id, None)
        view.last_progress_at_ms = now_ms
        _add_prefixes(view, attempt.prefix_hashes)
        if attempt.predicted_ms > 0:
            ttft_ms = float(now_ms - attempt.dispatched_at_ms)
            _record_ttft(view, ttft_ms, attempt.predicted_ms, now_ms)

    def _record_finish(self, attempt_id: str, now_ms: int) -> None:
        self._record_first_byte(attempt_id, now_ms)
        attempt = self._end_attempt(attempt_id, now_ms)
        if attempt is None:
            return
        view = self.view_by_id[attempt.endpoint_id]
        view.last_progress_at_ms = now_ms
        _update_failure_rate(view, 0.0, now_ms)
        service_ms = float(now_ms - attempt.dispatched_at_ms)
        if view.own_service_ms == 0:
            view.own_service_ms = service_ms
        view.own_service_ms += SMOOTHING * (service_ms - view.own_service_ms)

    def _end_attempt(self, attempt_id: str, now_ms: int) -> _Attempt | None:
        """Remove an attempt in flight and return it, or ``None`` when unknown."""
        attempt = self._attempt_by_id.pop(attempt_id, None)
        if attempt is None:
            return None
        view = self.view_by_id[attempt.endpoint_id]
        view.n_own_in_flight -= 1
        if not attempt.is_answered:
            view.n_own_queued_tokens -= attempt.n_tokens
            view.unanswered_at_ms.pop(attempt_id, None)
        _append_bounded(view.own_ended_at_ms, now_ms)
        return attempt

    def _add_view(self, info: EndpointInfo, now_ms: int) -> None:
        # A new connection starts without own attempts; the attempts of the previous
        # connection were reported as broken.
        self._remove_view(info.endpoint_id)
        view = EndpointView(info=info, last_progress_at_ms=now_ms)
        self.view_by_id[info.endpoint_id] = view

    def _remove_view(self, endpoint_id: str) -> None:
        """Discard the view of an endpoint and its attempts in flight."""
        if self.view_by_id.pop(endpoint_id, None) is None:
            return
        items = self._attempt_by_id.items()
        ended_ids = [
            key for key, attempt in items if attempt.endpoint_id == endpoint_id
        ]
        for attempt_id in ended_ids:
            del self._attempt_by_id[attempt_id]

    def _mark_draining(self, endpoint_id: str) -> None:
        view = self.view_by_id.get(endpoint_id)
        if view is not None:
            view.is_draining = True

    def _record_load_report(self, report: LoadReported, now_ms: int) -> None:
        view = self.view_by_id.get(report.endpoint_id)
        if view is None:
            return
        if view.report is not None and view.report.sequence >= report.sequence:
            return
        view.report = report
        view.reported_at_ms = now_ms
        read_at_ms = now_ms - report.age_ms
        _discard_until(view.own_dispatched_at_ms, read_at_ms)
        _discard_until(view.own_ended_at_ms, read_at_ms)

    def _record_cache_report(self, event: CacheReported) -> None:
        view = self.view_by_id.get(event.endpoint_id)
        if view is None:
            return
        # Recorded prefixes are kept after a gap in the reports. A recorded prefix that
        # was evicted costs one prefill, after which it is cached again; a discarded
        # one that is still cached costs a prefill on another endpoint.
        view.cached_prefixes.difference_update(event.removed)
        _add_prefixes(view, event.added)


def _add_prefixes(view: EndpointView, prefixes: Iterable[int]) -> None:
    view.cached_prefixes.update(prefixes)
    while len(view.cached_prefixes) > MAX_CACHED_PREFIXES:
        view.cached_prefixes.pop()


def _record_ttft(
    view: EndpointView, ttft_ms: float, predicted_ms: float, now_ms: int
) -> None:
    ttft_ms = min(ttft_ms, MAX_TTFT_RATIO * predicted_ms)
    if view.own_predicted_ms <= 0:
        # Starting from the prediction gives the first observation the same weight as
        # any later one.
        view.own_ttft_ms = view.own_predicted_ms = predicted_ms
    view.own_ttft_ms += SMOOTHING * (ttft_ms - view.own_ttft_ms)
    view.own_predicted_ms += SMOOTHING * (predicted_ms - view.own_predicted_ms)
    view.ttft_observed_at_ms = now_ms


def _update_failure_rate(view: EndpointView, failed: float, now_ms: int) -> None:
    view.failure_rate += FAILURE_SMOOTHING * (failed - view.failure_rate)
    view.failure_rate_updated_at_ms = now_ms


def _append_bounded(times_ms: list[int], now_ms: int) -> None:
    times_ms.append(now_ms)
    if len(times_ms) > MAX_HISTORY:
        del times_ms[: MAX_HISTORY // 2]


def _discard_until(times_ms: list[int], read_at_ms: int) -> None:
    n_old = sum(1 for time_ms in times_ms if time_ms <= read_at_ms)
    del times_ms[:n_old]
