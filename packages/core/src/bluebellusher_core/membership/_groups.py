"""Groups of ranks that can run nothing now."""

from dataclasses import dataclass, field

from bluebellusher_core.events import LoadReported


@dataclass(slots=True)
class _Rank:
    """What a rank last said of its group."""

    group_id: str
    epoch: int
    is_open: bool
    told_at_ms: int


@dataclass(slots=True)
class GroupStates:
    """Open and closed groups, by what their ranks say.

    Ranks advance in lock-step: when one is lost, none can run anything. The lost rank
    itself says nothing, so that what the others say decides for it. A group that was
    formed anew has a higher epoch, and what was said in an earlier one no longer
    counts.

    Load pattern: a failure domain is cut off. Entries elsewhere would send every
    request to the ranks there, wait until no connection is made, and try the next.

    Parameters
    ----------
    max_age_ms : int
        Age from which a report no longer counts.
    """

    max_age_ms: int
    _rank_by_id: dict[str, _Rank] = field(default_factory=dict)
    _ids_by_group: dict[str, set[str]] = field(default_factory=dict)

    def note_report(self, report: LoadReported, now_ms: int) -> None:
        """Take what a rank says of its group."""
        if not report.group_id:
            return
        endpoint_id = report.endpoint_id
        known = self._rank_by_id.get(endpoint_id)
        if known is not None and known.group_id != report.group_id:
            self.forget(endpoint_id)
        self._rank_by_id[endpoint_id] = _Rank(
            report.group_id, report.epoch, report.is_open, now_ms
        )
        self._ids_by_group.setdefault(report.group_id, set()).add(endpoint_id)

    def note_closed(self, endpoint_id: str, now_ms: int) -> None:
        """Take an answer which says that another rank keeps this one from running."""
        rank = self._rank_by_id.get(endpoint_id)
        if rank is not None:
            rank.is_open, rank.told_at_ms = False, now_ms

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone."""
        rank = self._rank_by_id.pop(endpoint_id, None)
        if rank is None:
            return
        ids = self._ids_by_group[rank.group_id]
        ids.discard(endpoint_id)
        if not ids:
            del self._ids_by_group[rank.group_id]

    def find_closed(self, now_ms: int) -> frozenset[str]:
        """Return the endpoints of all closed groups."""
        closed: set[str] = set()
        for ids in self._ids_by_group.values():
            ranks = [self._rank_by_id[endpoint_id] for endpoint_id in ids]
            told = [r for r in ranks if now_ms - r.told_at_ms <= self.max_age_ms]
            epoch = max((rank.epoch for rank in told), default=0)
            if any(not rank.is_open for rank in told if rank.epoch == epoch):
                closed |= ids
        return frozenset(closed)
