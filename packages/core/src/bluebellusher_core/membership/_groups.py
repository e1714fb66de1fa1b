"""Detection of groups of ranks that cannot run requests."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellusher_core.events import LoadReported

# Time without a new pass, in ms, after which a group with work counts as stalled.
# Passes of a slow group take 600 ms. A group that loses a rank makes no passes for
# 1,500 ms before its ranks report it.
MAX_PASS_MS = 800


@dataclass(slots=True)
class _Rank:
    """Group state in the latest report of one rank."""

    group_id: str
    epoch: int
    is_open: bool
    has_work: bool
    reported_at_ms: int


@dataclass(slots=True)
class _Group:
    """Ranks of a group and the latest pass that one of them reported."""

    endpoint_ids: set[str] = field(default_factory=set)
    epoch: int = 0
    step: int = 0
    last_pass_at_ms: int = 0

    def record_step(self, epoch: int, step: int, now_ms: int) -> None:
        """Record a pass that a rank has started; an earlier pass is ignored."""
        if (epoch, step) > (self.epoch, self.step):
            self.epoch, self.step, self.last_pass_at_ms = epoch, step, now_ms


@dataclass(slots=True)
class GroupStates:
    """Closed and stalled groups according to the reports of their ranks.

    Ranks advance in lock-step: when one is lost, none can run a request. The lost rank
    sends no report, so a group is closed when any of its ranks reports that it is. A
    group that is formed again has a higher epoch, and reports of an earlier epoch no
    longer count. A group that has work and starts no pass is stalled even if its ranks
    report it as open: they accept requests and run them when the group continues.

    Load pattern: a failure domain is cut off, or a machine freezes while its rank holds
    a step. Without this detection, entries would dispatch every request to ranks that
    answer late or never, until the callers disconnect. When the group continues, it
    would run requests whose callers no longer wait.

    Parameters
    ----------
    max_age_ms : int
        Age from which a report of a rank no longer counts, in ms.
    """

    max_age_ms: int
    _rank_by_id: dict[str, _Rank] = field(default_factory=dict)
    _group_by_id: dict[str, _Group] = field(default_factory=dict)

    def record_report(self, report: LoadReported, now_ms: int) -> None:
        """Record the state of a group from the load report of one of its ranks."""
        if not report.group_id:
            return
        endpoint_id = report.endpoint_id
        previous = self._rank_by_id.get(endpoint_id)
        if previous is not None and previous.group_id != report.group_id:
            self.discard(endpoint_id)
        has_work = report.n_running + report.n_queued > 0
        self._rank_by_id[endpoint_id] = _Rank(
            report.group_id, report.epoch, report.is_open, has_work, now_ms
        )
        group = self._group_by_id.setdefault(report.group_id, _Group())
        had_work = self._has_work(group)
        group.endpoint_ids.add(endpoint_id)
        group.record_step(report.epoch, report.step, now_ms)
        if not had_work:
            # An idle group makes no passes, so its stall time starts with new work.
            group.last_pass_at_ms = now_ms

    def record_closed(self, endpoint_id: str, now_ms: int) -> None:
        """Record a refusal of a rank because its group is closed."""
        rank = self._rank_by_id.get(endpoint_id)
        if rank is not None:
            rank.is_open, rank.reported_at_ms = False, now_ms

    def discard(self, endpoint_id: str) -> None:
        """Discard the state of a lost endpoint."""
        rank = self._rank_by_id.pop(endpoint_id, None)
        if rank is None:
            return
        group = self._group_by_id[rank.group_id]
        group.endpoint_ids.discard(endpoint_id)
        if not group.endpoint_ids:
            del self._group_by_id[rank.group_id]

    def find_closed(self, now_ms: int) -> frozenset[str]:
        """Return the ids of the endpoints of all closed groups."""
        return self._find_endpoint_ids(self._is_closed, now_ms)

    def find_stalled(self, now_ms: int) -> frozenset[str]:
        """Return the ids of the endpoints of all groups that start no pass."""
        return self._find_endpoint_ids(self._is_stalled, now_ms)

    def find_reopened(self, now_ms: int) -> frozenset[str]:
        """Return the ids of the ranks whose report precedes the opening of their group.

        Another rank of the group has reported a later epoch, in which the group is
        open. The earlier report no longer describes the rank.

        Load pattern: a group opens while requests wait on every entry. The reports of
        its ranks arrive within some 10 ms to 2 s. If a rank counted as closed until its
        own report, all entries would send their waiting requests to the first ranks
        that report. With 13 entries, 7 of 32 ranks got 33 to 52 requests in a second,
        which crashed those that had just started.
        """
        reopened_ids: set[str] = set()
        for group in self._group_by_id.values():
            if self._is_closed(group, now_ms):
                continue
            epoch = self._find_latest_epoch(group, now_ms)
            reopened_ids.update(
                endpoint_id
                for endpoint_id in group.endpoint_ids
                if self._rank_by_id[endpoint_id].epoch < epoch
            )
        return frozenset(reopened_ids)

    def _find_endpoint_ids(
        self, matches: Callable[[_Group, int], bool], now_ms: int
    ) -> frozenset[str]:
        groups = self._group_by_id.values()
        found = [group.endpoint_ids for group in groups if matches(group, now_ms)]
        return frozenset().union(*found)

    def _is_closed(self, group: _Group, now_ms: int) -> bool:
        """Return whether a rank in the latest epoch reports the group as closed."""
        recent = self._find_recent_ranks(group, now_ms)
        epoch = self._find_latest_epoch(group, now_ms)
        return any(not rank.is_open for rank in recent if rank.epoch == epoch)

    def _find_latest_epoch(self, group: _Group, now_ms: int) -> int:
        """Return the latest epoch that a recent report of the group names."""
        recent = self._find_recent_ranks(group, now_ms)
        return max((rank.epoch for rank in recent), default=0)

    def _is_stalled(self, group: _Group, now_ms: int) -> bool:
        # The time without a pass is measured up to the latest recent report, because
        # passes are unknown after it. Without a recent report the agents may have
        # failed while the ranks still run.
        recent = self._find_recent_ranks(group, now_ms)
        if not recent:
            return False
        last_reported_at_ms = max(rank.reported_at_ms for rank in recent)
        is_pass_overdue = last_reported_at_ms - group.last_pass_at_ms > MAX_PASS_MS
        return is_pass_overdue and self._has_work(group)

    def _find_recent_ranks(self, group: _Group, now_ms: int) -> list[_Rank]:
        """Return the reports of a group's ranks that are not older than the maximum."""
        ranks = [self._rank_by_id[endpoint_id] for endpoint_id in group.endpoint_ids]
        return [r for r in ranks if now_ms - r.reported_at_ms <= self.max_age_ms]

    def _has_work(self, group: _Group) -> bool:
        return any(self._rank_by_id[e].has_work for e in group.endpoint_ids)
