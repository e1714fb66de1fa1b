"""Limits on the requests that run at a rank at once, from the allowed gap."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bluebellusher_core.directory import EngineModel, GapObjective
from bluebellusher_core.membership._entries import ActiveEntries, Share
from bluebellusher_core.routing import EndpointView

# Age from which load reports and observed gaps are ignored, in ms. It exceeds the
# interval of the reports to other failure domains.
OBSERVATION_MAX_AGE_MS = 3_000
# Mean load of the most loaded rank by experts, as a multiple of the mean load of all
# ranks, that is assumed until gaps have been observed.
EXPECTED_IMBALANCE = 1.35
# Mean deviation of the ratio of observed to predicted gaps that is assumed at first.
EXPECTED_DEVIATION = 0.1
# Weight of the latest gap in the mean ratio and its mean deviation.
SMOOTHING = 0.02
# Bounds of the ratio of one observed gap to its prediction. A longer gap is a stopped
# group and not a pass.
MIN_RATIO = 0.25
MAX_RATIO = 4.0
# Mean deviations above the mean ratio that a limit leaves for longer passes. A stream
# of usual length has about 20 gaps, and one long gap makes it late.
N_DEVIATIONS = 1.0
# Interval at which the predicted pass and the limits of a group are computed again, in
# ms.
PREDICTION_INTERVAL_MS = 100
# Passes after which the free slots of a rank are offered to other entries.
N_PASSES_PER_TURN = 4
# Number of free slots of a rank that only the entries of its own failure domain use.
# Reports to other domains are sent less often, so that the slots may have been taken.
N_REMOTE_SLOTS = 1
# Upper bound of the entries among which the free slots of a rank are divided.
N_MAX_HOLDERS = 1_024
# Upper bound of the groups whose gaps are stored.
N_MAX_GROUPS = 256


@dataclass(frozen=True, slots=True)
class RunningLimit:
    """Numbers of requests that may run, or may start, at an endpoint at once.

    ``n_top`` counts for the highest arriving priority and ``n_usual`` for the others.
    The slot between the two is a reserve: a request of a high priority need not wait
    for an answer of a lower one to end. Few ranks use it at a time.
    """

    n_usual: int
    n_top: int


@dataclass(slots=True)
class _GroupGaps:
    """Ratio of the observed to the predicted gaps of a group, and its deviation."""

    mean_ratio: float
    deviation: float = EXPECTED_DEVIATION
    observed_at_ms: int = 0
    predicted_ms: float = 0.0
    predicted_at_ms: int = -PREDICTION_INTERVAL_MS
    limit_by_key: dict[tuple[int, float], RunningLimit] = field(default_factory=dict)
    limits_at_ms: int = -PREDICTION_INTERVAL_MS


@dataclass(slots=True)
class RunningLimits:
    """Upper bounds of the requests that run at a rank, and this entry's part of them.

    Load pattern: bursts of up to five times the capacity. All ranks of a group run each
    pass together, so that every further request at the fullest rank makes the gaps of
    all streams longer, while the throughput hardly grows. The limit is the largest
    number of requests with which a pass, as predicted by the model of the engine and
    corrected by the observed gaps, is shorter than the allowed gap. The pass in which
    one of the requests has as much of its prompt read as a pass can counts, because one
    long gap makes the streams of the whole group late.

    Load pattern: many entries with waiting requests receive the same report of a free
    slot and all send a request there. Each free slot in a report is therefore offered
    to one entry, without messages: the entries of the rank's failure domain take turns
    in the order of their rendezvous hashes. Those of other domains, which receive fewer
    reports, use only ranks with several free slots. A slot that an own request leaves
    is free for this entry.

    Parameters
    ----------
    entries : ActiveEntries
        Entries among which the free slots of a rank are divided.
    failure_domain : str
        Failure domain of this entry.
    is_own_domain_usable : bool
        Whether this entry may use the endpoints of its own failure domain. An entry
        whose domain is evacuated has only remote slots, and leaves none of them.

    Examples
    --------
    >>> limits = RunningLimits(ActiveEntries("e1"))
    >>> limits.is_active
    False
    """

    entries: ActiveEntries
    failure_domain: str = ""
    is_own_domain_usable: bool = True
    _objective_by_service: dict[str, GapObjective] = field(default_factory=dict)
    _gaps_by_group: OrderedDict[str, _GroupGaps] = field(default_factory=OrderedDict)

    @property
    def is_active(self) -> bool:
        """Whether any service has a limit on running requests."""
        return bool(self._objective_by_service)

    @property
    def service_ids(self) -> frozenset[str]:
        """Services with a limit on running requests."""
        return frozenset(self._objective_by_service)

    def set_objectives(self, objective_by_service: Mapping[str, GapObjective]) -> None:
        """Replace the objectives; other services have no limit."""
        self._objective_by_service = dict(objective_by_service)
        self._gaps_by_group.clear()

    def find_objective(self, service_id: str) -> GapObjective | None:
        """Return the objective of a service, or None without a limit."""
        return self._objective_by_service.get(service_id)

    def record_gap(
        self,
        view: EndpointView,
        gap_ms: int,
        views: Iterable[EndpointView],
        now_ms: int,
    ) -> None:
        """Record a gap between two events of an own stream.

        Parameters
        ----------
        view : EndpointView
            Endpoint of the stream.
        gap_ms : int
            Time since the previous event, in ms.
        views : iterable of EndpointView
            All endpoints, among which those of the same group are considered.
        now_ms : int
            Monotonic time, in ms.
        """
        objective = self._find_objective(view)
        if objective is None:
            return
        gaps = self._get_gaps(view, objective)
        if now_ms - gaps.observed_at_ms > OBSERVATION_MAX_AGE_MS:
            gaps.mean_ratio = _expect_ratio(objective.engine)
            gaps.deviation = EXPECTED_DEVIATION
        if now_ms - gaps.predicted_at_ms >= PREDICTION_INTERVAL_MS:
            gaps.predicted_at_ms = now_ms
            gaps.predicted_ms = self._predict_group_ms(view, objective, views, now_ms)
        gaps.observed_at_ms = now_ms
        ratio = min(max(gap_ms / gaps.predicted_ms, MIN_RATIO), MAX_RATIO)
        error = ratio - gaps.mean_ratio
        gaps.mean_ratio += SMOOTHING * error
        gaps.deviation += SMOOTHING * (abs(error) - gaps.deviation)

    def find_limit(self, view: EndpointView, now_ms: int) -> RunningLimit | None:
        """Return the limit on the requests that run at an endpoint at once.

        The result is None for an endpoint without a limit. It is the number of slots
        when a single request would exceed the allowed gap: all answers are late then,
        and the throughput is what remains.
        """
        objective = self._find_objective(view)
        if objective is None:
            return None
        gaps = self._get_gaps(view, objective)
        if now_ms - gaps.limits_at_ms >= PREDICTION_INTERVAL_MS:
            gaps.limit_by_key.clear()
            gaps.limits_at_ms = now_ms
        # Most ranks of a group have the same pace and thus the same limit.
        key = view.info.n_slots, _get_pace(view, now_ms)
        limit = gaps.limit_by_key.get(key)
        if limit is None:
            limit = _compute_limit(objective, gaps, *key, now_ms)
            gaps.limit_by_key[key] = limit
        return limit

    def count_room(self, view: EndpointView, now_ms: int) -> RunningLimit | None:
        """Return how many more requests this entry may start at an endpoint.

        The result is None for an endpoint without a limit, and 0 or less for a full
        one. Without a recent report, this entry has its part of the limit only.
        """
        limit = self.find_limit(view, now_ms)
        if limit is None:
            return None
        report = view.report
        n_own, n_used, turn, n_change = view.n_own_in_flight, 0, 0, 0
        if report is None or now_ms - view.reported_at_ms > OBSERVATION_MAX_AGE_MS:
            n_change = n_own
        else:
            n_used = report.n_running + report.n_queued
            is_remote = view.info.failure_domain != self.failure_domain
            if is_remote and self.is_own_domain_usable:
                n_used += N_REMOTE_SLOTS
            turn = report.step // N_PASSES_PER_TURN
            n_change = len(view.own_dispatched_at_ms) - len(view.own_ended_at_ms)
        position = self._find_position(view, turn, now_ms)
        if position is None:
            return RunningLimit(0, 0)
        n_usual, n_top = (
            min(_take_part(n - n_used, position) - n_change, n - n_own)
            for n in (limit.n_usual, limit.n_top)
        )
        return RunningLimit(n_usual, n_top)

    def _find_position(
        self, view: EndpointView, turn: int, now_ms: int
    ) -> Share | None:
        """Return the place of this entry in the order in which entries take slots."""
        endpoint_id = view.info.endpoint_id
        is_own_domain = view.info.failure_domain == self.failure_domain
        share = self.entries.find_share(
            endpoint_id, N_MAX_HOLDERS, now_ms, is_own_domain
        )
        if share is None:
            return None
        return Share((share.position + turn) % share.n_holders, share.n_holders)

    def _find_objective(self, view: EndpointView) -> GapObjective | None:
        for service_id in view.info.services:
            objective = self._objective_by_service.get(service_id)
            if objective is not None:
                return objective
        return None

    def _get_gaps(self, view: EndpointView, objective: GapObjective) -> _GroupGaps:
        group_id = view.report.group_id if view.report is not None else ""
        key = group_id or view.info.endpoint_id
        gaps = self._gaps_by_group.get(key)
        if gaps is None:
            gaps = _GroupGaps(_expect_ratio(objective.engine))
            self._gaps_by_group[key] = gaps
            if len(self._gaps_by_group) > N_MAX_GROUPS:
                self._gaps_by_group.popitem(last=False)
        return gaps

    def _predict_group_ms(
        self,
        view: EndpointView,
        objective: GapObjective,
        views: Iterable[EndpointView],
        now_ms: int,
    ) -> float:
        """Return the predicted time of a pass, which waits for the slowest rank."""
        group_id = view.report.group_id if view.report is not None else ""
        longest_ms = 0.0
        for other in views:
            is_same_group = other.report is not None and (
                other.report.group_id == group_id and group_id
            )
            if other is not view and not is_same_group:
                continue
            n_running = other.report.n_running if other.report is not None else 0
            n_running = max(1, min(max(n_running, other.n_own_in_flight), 64))
            engine = objective.engine
            n_read = engine.n_usual_prompt_tokens
            pass_ms = _predict_pass_ms(engine, n_running, n_read)
            longest_ms = max(longest_ms, pass_ms * _get_pace(other, now_ms))
        return longest_ms


def _compute_limit(
    objective: GapObjective, gaps: _GroupGaps, n_slots: int, pace: float, now_ms: int
) -> RunningLimit:
    """Return the limit of a rank with a pace; see ``RunningLimits.find_limit``."""
    n_slots = max(1, n_slots)
    mean_ratio, deviation = gaps.mean_ratio, gaps.deviation
    if now_ms - gaps.observed_at_ms > OBSERVATION_MAX_AGE_MS:
        mean_ratio = _expect_ratio(objective.engine)
        deviation = EXPECTED_DEVIATION
    engine = objective.engine
    max_pass_ms = objective.max_gap_ms / pace
    if _predict_pass_ms(engine, 1, 0.0) * mean_ratio > max_pass_ms:
        return RunningLimit(n_slots, n_slots)
    max_pass_ms /= mean_ratio + N_DEVIATIONS * deviation
    n_most_read = float(engine.n_steps_per_pass * engine.n_chunk_tokens)
    n_usual = 1
    for n_running in range(n_slots, 1, -1):
        if _predict_pass_ms(engine, n_running, n_most_read) <= max_pass_ms:
            n_usual = n_running
            break
    return RunningLimit(n_usual, min(n_slots, n_usual + 1))


def _take_part(n: int, share: Share) -> int:
    """Return a holder's part of ``n`` slots, which is negative if ``n`` is."""
    n_part, n_left = divmod(abs(n), share.n_holders)
    n_part += share.position < n_left
    return n_part if n >= 0 else -n_part


def _expect_ratio(engine: EngineModel) -> float:
    """Return the expected ratio of a gap to the pass of a mean rank."""
    share = engine.group.expert_share if engine.group is not None else 0.0
    return 1 + share * (EXPECTED_IMBALANCE - 1)


def _predict_pass_ms(engine: EngineModel, n_running: int, n_read: float) -> float:
    """Return the time of a pass of a mean rank with ``n_running`` requests, in ms.

    Either all of them decode, or one has ``n_read`` tokens of its prompt read.
    """
    context = engine.n_usual_prompt_tokens / 1_000
    sequence_ms = engine.sequence_ms + engine.context_ms_per_1000 * context
    read_ms = n_read / engine.prefill_tokens_per_ms
    all_ms = engine.step_ms + n_running * sequence_ms
    n_steps = engine.n_steps_per_pass
    return max(1.0, n_steps * all_ms, n_steps * (all_ms - sequence_ms) + read_ms)


def _get_pace(view: EndpointView, now_ms: int) -> float:
    """Return the reported pace of an endpoint; 1 without a recent report."""
    report = view.report
    if report is None or now_ms - view.reported_at_ms > OBSERVATION_MAX_AGE_MS:
        return 1.0
    return max(1.0, report.pace)
