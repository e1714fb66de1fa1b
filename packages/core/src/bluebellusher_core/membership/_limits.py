"""Limits of the request rate: named by endpoints, or in force while they warm up."""

from collections import OrderedDict
from dataclasses import dataclass, field
from math import inf

from bluebellusher_core.events import LimitMark
from bluebellusher_core.membership._entries import ActiveEntries, Share
from bluebellusher_core.membership._saved import SavedRequests
from bluebellusher_core.membership._warm_up import WarmUps

# Age from which a limit that no answer has named again is discarded, in ms. The next
# answer names it again, if it still holds.
LIMIT_MAX_AGE_MS = 600_000
# Lowest limit that is applied, in requests per second. Only the answer to a request can
# end a limit, so that a limit of 0 would last until its maximum age.
MIN_REQUESTS_PER_S = 0.1
# Shortest interval between two announcements of an unchanged limit of an endpoint, in
# ms.
ANNOUNCE_INTERVAL_MS = 1_000
# Upper bound of the stored limits, and of those in one announcement.
N_MAX_LIMITS = 4_096
N_MAX_ANNOUNCED = 1_000
# Each entry may save one request, so that few requests do not wait. The number of
# entries with a share is bounded by this one plus this factor times the limit in
# requests per second, because all saved requests may arrive at once.
N_MIN_SHARES = 4
SHARES_PER_RATE = 2


@dataclass(slots=True)
class _Limit:
    """Limit of one start of an endpoint, and the requests that this entry may send.

    ``requests_per_s`` is None after an answer without a limit. ``saved`` grows by the
    entry's share of the limit.
    """

    incarnation: int
    requests_per_s: float | None
    named_at_ms: int
    announced_at_ms: int | None = None
    saved: SavedRequests = field(default_factory=SavedRequests)


@dataclass(slots=True)
class RequestLimits:
    """Limits by endpoint, and this entry's share of each of them.

    A limit applies to the requests of all entries together. Each of a few entries may
    send an equal share of it, without messages between entries: in any time the sum is
    at most the limit and one saved request for each of them. The shares start with
    different parts of a saved request, so that the entries send one after the other.

    Load pattern: an endpoint works slowly and asks for a part of its usual requests,
    while a burst arrives. It looks idle, because it has few requests, and every entry
    would choose it.

    An endpoint that warms up has the limit of its service as well; the lower one of the
    two applies.

    Parameters
    ----------
    entries : ActiveEntries
        Entries among which a limit is divided.
    warm_ups : WarmUps
        Limits of endpoints that warm up; by default with the usual bounds.

    Examples
    --------
    >>> limits = RequestLimits(ActiveEntries("e1"))
    >>> limits.record_answer("x1", 1, 2.0, sent_at_ms=0, now_ms=0)
    True
    >>> limits.is_exhausted("x1", 1, now_ms=400)
    True
    >>> limits.is_exhausted("x1", 1, now_ms=500)
    False
    """

    entries: ActiveEntries
    warm_ups: WarmUps = field(default=None)  # type: ignore[assignment]
    _limit_by_id: OrderedDict[str, _Limit] = field(default_factory=OrderedDict)

    def __post_init__(self) -> None:
        """Divide the limits of endpoints that warm up among the same entries."""
        if self.warm_ups is None:
            self.warm_ups = WarmUps(self.entries)

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint has named a limit or may have to warm up."""
        return not self._limit_by_id and self.warm_ups.is_empty

    def is_limited(self, endpoint_id: str) -> bool:
        """Return whether an endpoint has named a limit that is in force."""
        limit = self._limit_by_id.get(endpoint_id)
        return limit is not None and limit.requests_per_s is not None

    def record_answer(
        self,
        endpoint_id: str,
        incarnation: int,
        requests_per_s: float | None,
        sent_at_ms: int,
        now_ms: int,
    ) -> bool:
        """Record the limit in an answer; return whether peers should be told.

        An answer without a limit ends the limit, unless its attempt was sent before the
        limit was named: the endpoint may have answered before it.

        Parameters
        ----------
        endpoint_id, incarnation : str, int
            The endpoint that answered, and its start.
        requests_per_s : float or None
            Requests that the endpoint takes from all entries together, per second; None
            when the answer names no limit.
        sent_at_ms, now_ms : int
            Monotonic times at which the attempt was sent and answered, in ms.
        """
        limit = self._limit_by_id.get(endpoint_id)
        if limit is not None and incarnation < limit.incarnation:
            return False
        if requests_per_s is None:
            if limit is None or limit.requests_per_s is None:
                return False
            if incarnation == limit.incarnation and sent_at_ms <= limit.named_at_ms:
                return False
        was_named = limit is not None and limit.requests_per_s is not None
        limit = self._replace(endpoint_id, incarnation, requests_per_s, now_ms, now_ms)
        is_change = was_named != (requests_per_s is not None)
        told_at_ms = limit.announced_at_ms
        is_due = told_at_ms is None or now_ms - told_at_ms >= ANNOUNCE_INTERVAL_MS
        if is_change or is_due:
            limit.announced_at_ms = now_ms
            return True
        return False

    def merge(self, mark: LimitMark, now_ms: int) -> bool:
        """Merge a limit that a peer was told; return whether it begins or ends one."""
        named_at_ms = now_ms - mark.age_ms
        limit = self._limit_by_id.get(mark.endpoint_id)
        if limit is not None:
            known = (limit.incarnation, limit.named_at_ms)
            if (mark.incarnation, named_at_ms) <= known:
                return False
        elif mark.requests_per_s is None or mark.age_ms >= LIMIT_MAX_AGE_MS:
            return False
        was_named = limit is not None and limit.requests_per_s is not None
        self._replace(
            mark.endpoint_id, mark.incarnation, mark.requests_per_s, named_at_ms, now_ms
        )
        return was_named != (mark.requests_per_s is not None)

    def make_mark(self, endpoint_id: str, now_ms: int) -> LimitMark:
        """Return the limit of an endpoint, to announce to peers."""
        limit = self._limit_by_id[endpoint_id]
        return LimitMark(
            endpoint_id,
            limit.incarnation,
            limit.requests_per_s,
            max(0, now_ms - limit.named_at_ms),
        )

    def make_marks(self, now_ms: int) -> tuple[LimitMark, ...]:
        """Discard old limits; return the latest ones, to announce to peers."""
        old_ids = [
            endpoint_id
            for endpoint_id, limit in self._limit_by_id.items()
            if now_ms - limit.named_at_ms >= LIMIT_MAX_AGE_MS
        ]
        for endpoint_id in old_ids:
            del self._limit_by_id[endpoint_id]
        latest_ids = list(self._limit_by_id)[-N_MAX_ANNOUNCED:]
        return tuple(self.make_mark(endpoint_id, now_ms) for endpoint_id in latest_ids)

    def is_exhausted(self, endpoint_id: str, incarnation: int, now_ms: int) -> bool:
        """Return whether this entry may send no request to an endpoint now."""
        if self.warm_ups.is_exhausted(endpoint_id, now_ms):
            return True
        limit = self._find(endpoint_id, incarnation)
        if limit is None:
            return False
        self._save(endpoint_id, limit, now_ms)
        return limit.saved.n_saved < 1

    def record_dispatch(self, endpoint_id: str, incarnation: int, now_ms: int) -> None:
        """Record a request that this entry sends to an endpoint."""
        self.warm_ups.record_dispatch(endpoint_id, now_ms)
        limit = self._find(endpoint_id, incarnation)
        if limit is not None:
            self._save(endpoint_id, limit, now_ms)
            limit.saved.n_saved -= 1

    def find_rate(
        self, endpoint_id: str, incarnation: int, now_ms: int
    ) -> float | None:
        """Return the requests that this entry may send an endpoint, per second.

        Returns None for an endpoint without a limit.
        """
        rate = self.warm_ups.find_rate(endpoint_id, now_ms)
        limit = self._find(endpoint_id, incarnation)
        if limit is None:
            return rate
        named_rate = self._rate(endpoint_id, limit, now_ms)
        return named_rate if rate is None else min(rate, named_rate)

    def wait_ms(self, endpoint_id: str, incarnation: int, now_ms: int) -> float:
        """Return the time until this entry may send a request to an endpoint, in ms.

        The time is infinite for an entry without a share of the limit.
        """
        warm_up_ms = self.warm_ups.wait_ms(endpoint_id, now_ms)
        limit = self._find(endpoint_id, incarnation)
        if limit is None:
            return warm_up_ms
        self._save(endpoint_id, limit, now_ms)
        rate = self._rate(endpoint_id, limit, now_ms)
        return max(warm_up_ms, limit.saved.wait_ms(rate))

    def next_available_at_ms(self, now_ms: int) -> int | None:
        """Return the next time at which a request may be sent, or None without one."""
        waits_ms = [
            self.wait_ms(endpoint_id, limit.incarnation, now_ms)
            for endpoint_id, limit in self._limit_by_id.items()
        ]
        future_ms = [wait_ms for wait_ms in waits_ms if 0 < wait_ms < inf]
        times_ms = [now_ms + int(wait_ms) for wait_ms in future_ms]
        warm_up_at_ms = self.warm_ups.next_available_at_ms(now_ms)
        if warm_up_at_ms is not None:
            times_ms.append(warm_up_at_ms)
        return min(times_ms, default=None)

    def _find(self, endpoint_id: str, incarnation: int) -> _Limit | None:
        """Return the limit that is in force for a start of an endpoint."""
        limit = self._limit_by_id.get(endpoint_id)
        if limit is None or limit.requests_per_s is None:
            return None
        return limit if limit.incarnation == incarnation else None

    def _find_share(
        self, endpoint_id: str, requests_per_s: float, now_ms: int
    ) -> Share | None:
        """Return this entry's share of a limit, or None without one."""
        n_max = N_MIN_SHARES + int(SHARES_PER_RATE * requests_per_s)
        return self.entries.find_share(endpoint_id, n_max, now_ms)

    def _rate(self, endpoint_id: str, limit: _Limit, now_ms: int) -> float:
        """Return the requests that this entry may send, per second."""
        requests_per_s = max(limit.requests_per_s or 0.0, MIN_REQUESTS_PER_S)
        share = self._find_share(endpoint_id, requests_per_s, now_ms)
        return requests_per_s / share.n_holders if share else 0.0

    def _save(self, endpoint_id: str, limit: _Limit, now_ms: int) -> None:
        """Add the requests that this entry has been able to save since the last call.

        An entry without a share keeps none.
        """
        limit.saved.grow(self._rate(endpoint_id, limit, now_ms), now_ms)

    def _replace(
        self,
        endpoint_id: str,
        incarnation: int,
        requests_per_s: float | None,
        named_at_ms: int,
        now_ms: int,
    ) -> _Limit:
        """Record a limit; the saved requests of one that goes on are kept."""
        limit = self._limit_by_id.get(endpoint_id)
        is_continued = (
            limit is not None
            and limit.incarnation == incarnation
            and limit.requests_per_s is not None
        )
        if limit is None or not is_continued:
            saved = SavedRequests(updated_at_ms=now_ms)
            limit = _Limit(incarnation, requests_per_s, named_at_ms, saved=saved)
            share = self._find_share(endpoint_id, requests_per_s or 0.0, now_ms)
            if share is not None:
                saved.n_saved = share.position / share.n_holders
            self._limit_by_id[endpoint_id] = limit
        else:
            self._save(endpoint_id, limit, now_ms)
            limit.requests_per_s = requests_per_s
            limit.named_at_ms = named_at_ms
        self._limit_by_id.move_to_end(endpoint_id)
        while len(self._limit_by_id) > N_MAX_LIMITS:
            self._limit_by_id.popitem(last=False)
        return limit
