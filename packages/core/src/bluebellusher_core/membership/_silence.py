"""Detection of ranks that send nothing while their group advances."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bluebellusher_core.routing import EndpointView

# Time that is added to the limits below for the network and the relays, in ms.
MARGIN_MS = 300
# Limits of a silence, as multiples of the group's usual gap between two outputs of an
# attempt and of its usual time to first output.
GAP_FACTOR = 2
FIRST_OUTPUT_FACTOR = 5
# Weight of the latest observation in the smoothed times, and upper bound of one
# observation in ms, so that a single stall does not raise the limits for long.
SMOOTHING = 0.2
MAX_OBSERVED_MS = 1_000
# Largest advance of a group's progress clock between two outputs, in ms. Above it, the
# group may have made no pass in between.
MAX_ADVANCE_MS = 150
# Upper bound of the groups whose progress is kept; the oldest is discarded first.
N_MAX_GROUPS = 1_024
# Time after which a silent endpoint that reports nothing is used again, in ms. Its
# agent may have ended alone.
RETRY_MS = 3_000


@dataclass(slots=True)
class _GroupProgress:
    """Progress clock and usual times of one group, all in ms.

    The clock advances only while attempts of the group produce output, so that a group
    that makes no passes does not make its ranks appear silent.
    """

    clock_ms: float = 0.0
    last_output_at_ms: int = 0
    gap_ms: float = 0.0
    first_output_ms: float = 0.0

    def advance(self, now_ms: int) -> None:
        """Advance the clock to an output at ``now_ms``."""
        elapsed_ms = now_ms - self.last_output_at_ms
        self.clock_ms += min(max(0, elapsed_ms), MAX_ADVANCE_MS)
        self.last_output_at_ms = now_ms


@dataclass(frozen=True, slots=True)
class SilentRank:
    """Rank that sent nothing for longer than its limit; times are in ms.

    ``has_streams`` states whether an attempt there had begun to produce output. Without
    one, its requests may also wait for their prefill.
    """

    endpoint_id: str
    has_streams: bool
    silent_ms: float
    limit_ms: float


@dataclass(slots=True)
class RankSilence:
    """Ranks from which own attempts get no output while the other ranks advance.

    Ranks advance in lock-step, so that a rank that runs produces output at the pace of
    the others. One that produces none, and whose agent reports nothing either, is on a
    machine that does not respond. Its engine does not even receive that a connection
    was closed before the machine responds again, and then runs requests whose callers
    have left. Their attempts have to end before their callers leave.

    Load pattern: a machine freezes while its group runs. Without this detection, each
    caller waits at its rank until its own timeout, and new requests follow, because a
    rank without reports appears to have free slots.
    """

    # Progress of each group, and by endpoint the time of its group's clock at which it
    # last sent something and at which an attempt began to wait for it.
    _progress_by_group: dict[str, _GroupProgress] = field(default_factory=dict)
    _heard_clock_ms: dict[str, float] = field(default_factory=dict)
    _awaited_clock_ms: dict[str, float] = field(default_factory=dict)
    _silent_until_ms: dict[str, int] = field(default_factory=dict)

    def record_dispatch(self, view: EndpointView) -> None:
        """Start to expect output of an endpoint that had no own attempt."""
        if view.n_own_in_flight:
            return
        progress = self._progress_by_group.get(_get_group(view))
        if progress is not None:
            self._awaited_clock_ms[view.info.endpoint_id] = progress.clock_ms

    def record_report(self, endpoint_id: str, group_id: str) -> None:
        """Record a load report, which shows that the machine responds."""
        self._silent_until_ms.pop(endpoint_id, None)
        progress = self._progress_by_group.get(group_id)
        if progress is not None:
            self._heard_clock_ms[endpoint_id] = progress.clock_ms

    def record_first_output(
        self, view: EndpointView, waited_ms: int, now_ms: int
    ) -> None:
        """Record the first output of an attempt, ``waited_ms`` after its dispatch."""
        progress = self._record_output(view, now_ms)
        if progress is not None:
            progress.first_output_ms = _smooth(progress.first_output_ms, waited_ms)

    def record_progress(self, view: EndpointView, gap_ms: int, now_ms: int) -> None:
        """Record further output of an attempt, ``gap_ms`` after its previous output."""
        progress = self._record_output(view, now_ms)
        if progress is not None:
            progress.gap_ms = _smooth(progress.gap_ms, gap_ms)

    def _record_output(self, view: EndpointView, now_ms: int) -> _GroupProgress | None:
        """Advance the clock of an endpoint's group; return None without a group."""
        group_id = _get_group(view)
        if not group_id:
            return None
        endpoint_id = view.info.endpoint_id
        progress = self._progress_by_group.setdefault(group_id, _GroupProgress())
        if len(self._progress_by_group) > N_MAX_GROUPS:
            del self._progress_by_group[next(iter(self._progress_by_group))]
        progress.advance(now_ms)
        self._heard_clock_ms[endpoint_id] = progress.clock_ms
        self._silent_until_ms.pop(endpoint_id, None)
        return progress

    def find_silent(
        self, group_id: str, views: Iterable[EndpointView], now_ms: int
    ) -> list[SilentRank]:
        """Return the ranks of a group that have become silent, and exclude them.

        An excluded rank gets no new attempts until it produces output or a report, or
        until ``RETRY_MS`` have passed.
        """
        progress = self._progress_by_group.get(group_id)
        if progress is None or not progress.first_output_ms:
            return []
        silent: list[SilentRank] = []
        for view in views:
            endpoint_id = view.info.endpoint_id
            if not view.n_own_in_flight or _get_group(view) != group_id:
                continue
            if self.is_excluded(endpoint_id, now_ms):
                continue
            silent_ms = progress.clock_ms - max(
                self._heard_clock_ms.get(endpoint_id, 0.0),
                self._awaited_clock_ms.get(endpoint_id, 0.0),
            )
            has_streams = view.n_own_in_flight > len(view.unanswered_at_ms)
            limit_ms = _compute_limit_ms(progress, has_streams)
            if silent_ms > limit_ms:
                self.exclude(endpoint_id, now_ms)
                silent.append(SilentRank(endpoint_id, has_streams, silent_ms, limit_ms))
        return silent

    def exclude(self, endpoint_id: str, now_ms: int) -> None:
        """Exclude a silent rank from new attempts, as ``find_silent`` describes."""
        self._silent_until_ms[endpoint_id] = now_ms + RETRY_MS

    def is_heard(self, view: EndpointView) -> bool:
        """Return whether an endpoint sent something while its group last advanced.

        Endpoints without a group count as heard, because nothing is expected of them.
        """
        progress = self._progress_by_group.get(_get_group(view))
        if progress is None:
            return True
        heard_ms = self._heard_clock_ms.get(view.info.endpoint_id, 0.0)
        return progress.clock_ms - heard_ms <= MARGIN_MS

    def is_excluded(self, endpoint_id: str, now_ms: int) -> bool:
        """Return whether an endpoint is silent and gets no new attempts."""
        return self._silent_until_ms.get(endpoint_id, 0) > now_ms

    def discard(self, endpoint_id: str) -> None:
        """Discard the state of a lost endpoint."""
        self._heard_clock_ms.pop(endpoint_id, None)
        self._awaited_clock_ms.pop(endpoint_id, None)
        self._silent_until_ms.pop(endpoint_id, None)


def _get_group(view: EndpointView) -> str:
    """Return the id of an endpoint's group; empty when no report names one."""
    return view.report.group_id if view.report is not None else ""


def _compute_limit_ms(progress: _GroupProgress, has_streams: bool) -> float:
    """Return how long a rank may send nothing while its group advances, in ms.

    A started attempt produces output in each gap; one that waits for its prefill needs
    the time to first output.
    """
    if has_streams and progress.gap_ms:
        return MARGIN_MS + GAP_FACTOR * progress.gap_ms
    return MARGIN_MS + FIRST_OUTPUT_FACTOR * progress.first_output_ms


def _smooth(mean_ms: float, observed_ms: int) -> float:
    """Return the smoothed time after another observation, in ms."""
    bounded_ms = min(observed_ms, MAX_OBSERVED_MS)
    if not mean_ms:
        return float(bounded_ms)
    return mean_ms + SMOOTHING * (bounded_ms - mean_ms)
