"""Endpoints that warm up, and the requests that this entry may send them."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field, replace
from math import inf

from bluebellusher_core.events import WarmUpMark, WarmUpSource
from bluebellusher_core.membership._entries import ActiveEntries
from bluebellusher_core.membership._saved import SavedRequests

# Age from which the copy of the registrations no longer shows that an endpoint is warm,
# in ms. The store answers a call that waits for changes after at most 1,500 ms, and the
# answer is reported up to 500 ms later.
REGISTRATION_MAX_AGE_MS = 2_200
# Time after a connection to an endpoint was cut in which a registration that arrives
# may have been written before, in ms.
REGISTRATION_DELAY_MS = 1_000
# Age from which the choice of an endpoint is made again, in ms. It is longer than the
# timeout of a connection, so that only a process that was frozen exceeds it.
MAX_CHOICE_AGE_MS = 1_000
# Entries with a share that the others may not know yet, for which a part of the bound
# stays free.
N_SPARE_ENTRIES = 1
# Lowest rate of a share, in requests per second, where the bound is too small for one
# request of every holder.
MIN_SHARE_PER_S = 0.1


@dataclass(frozen=True, slots=True)
class WarmUpBounds:
    """Largest number of requests that may reach an endpoint within any second.

    It is ``overage`` times the service's rate for endpoints that warm up, plus
    ``tolerance``. It counts the requests of all entries.
    """

    overage: float = 1.5
    tolerance: float = 5.0

    def find_max_holders(self, requests_per_s: float) -> int:
        """Return the largest number of entries that may send to one endpoint.

        Each may have saved a request, and all saved requests may arrive at once, in
        addition to those of the rate.
        """
        n_extra = (self.overage - 1) * requests_per_s + self.tolerance
        return max(1, int(n_extra) - N_SPARE_ENTRIES)

    def find_share_per_s(self, requests_per_s: float, n_holders: int) -> float:
        """Return the rate of each of ``n_holders`` entries, in requests per second.

        In any second, an entry sends at most one saved request and those of its rate.
        """
        bound = self.overage * requests_per_s + self.tolerance
        within_bound = bound / (n_holders + N_SPARE_ENTRIES) - 1
        share_per_s = min(requests_per_s / n_holders, within_bound)
        return max(share_per_s, MIN_SHARE_PER_S / n_holders)


@dataclass(slots=True)
class _WarmUp:
    """What is known of one endpoint whose service states a rate.

    ``mark`` is the latest report, ``warm_at_ms`` the time from which the endpoint is
    warm according to it, and ``cut_at_ms`` the time of the last cut connection. The
    saved requests count from the first report on, also while the endpoint is warm.
    """

    mark: WarmUpMark
    warm_at_ms: int
    heard_at_ms: int
    saved: SavedRequests
    cut_at_ms: int | None = None
    cause: str = ""
    was_warming: bool = False

    def remaining_ms(self, now_ms: int, table_read_at_ms: int) -> int:
        """Return how much longer the endpoint may be cold, in ms; 0 for a warm one.

        An endpoint whose registration is too old counts as having just started.
        """
        if self.is_old(now_ms, table_read_at_ms):
            return max(self.warm_at_ms - now_ms, self.mark.duration_ms)
        return max(0, self.warm_at_ms - now_ms)

    def is_old(self, now_ms: int, table_read_at_ms: int) -> bool:
        """Return whether the latest known registration may be out of date."""
        known_at_ms = max(self.heard_at_ms, table_read_at_ms)
        return now_ms - known_at_ms > REGISTRATION_MAX_AGE_MS


@dataclass(frozen=True, slots=True)
class WarmUpChange:
    """An endpoint that began or ended to count as cold.

    ``cause`` is the source of the latest report, "connection cut", or "registration
    old".
    """

    endpoint_id: str
    is_warming: bool
    cause: str
    requests_per_s: float
    own_requests_per_s: float
    remaining_ms: int


@dataclass(slots=True)
class WarmUps:
    """Endpoints of services that state a rate for cold endpoints.

    A cold endpoint gets requests only from a few entries, each with an equal share of
    the rate. The number of entries includes those that this entry is not in contact
    with, and an entry that others may not know has no share. An endpoint counts as cold
    unless a recent registration shows that it is warm.

    Load pattern: all entries or all engines of a failure domain start again at the same
    time while callers retry. A cold engine is the only idle one, every entry chooses
    it, and refused requests are sent again.

    Parameters
    ----------
    entries : ActiveEntries
        Entries among which the rate is divided.
    bounds : WarmUpBounds
        Largest number of requests within a second.

    Examples
    --------
    >>> entries = ActiveEntries("e1")
    >>> entries.record_listed({"e1"}, now_ms=0)
    >>> warm_ups = WarmUps(entries, WarmUpBounds())
    >>> mark = WarmUpMark("x1", 1, 18.0, 3_000, 3_000, WarmUpSource.FIRST)
    >>> warm_ups.record(mark, now_ms=0)
    >>> warm_ups.find_remaining_ms("x1", now_ms=1_000)
    2000
    >>> warm_ups.wait_ms("x1", now_ms=0)
    67
    """

    entries: ActiveEntries
    bounds: WarmUpBounds = field(default_factory=WarmUpBounds)
    _warm_up_by_id: dict[str, _WarmUp] = field(default_factory=dict)
    _table_read_at_ms: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether no service states a rate for cold endpoints."""
        return not self._warm_up_by_id

    def record(self, mark: WarmUpMark, now_ms: int) -> None:
        """Record what a registration or the configuration states of an endpoint.

        A mark of an answer only extends the time for which the endpoint counts as cold.
        Any other mark without a rate ends the record of the endpoint. The first one
        may be older than a start of the endpoint and shows only that it may be cold. A
        later one shows the state, unless it may have been written before a connection
        was cut.
        """
        endpoint_id = mark.endpoint_id
        if mark.source is WarmUpSource.ANSWER:
            self._extend(endpoint_id, mark.remaining_ms, mark.source.value, now_ms)
            return
        if mark.requests_per_s <= 0:
            self._warm_up_by_id.pop(endpoint_id, None)
            return
        known = self._warm_up_by_id.get(endpoint_id)
        if known is None:
            # An earlier start of this entry may have sent requests within the last
            # second, so that none are saved.
            saved = SavedRequests(updated_at_ms=now_ms)
            known = _WarmUp(mark, now_ms, now_ms, saved)
            self._warm_up_by_id[endpoint_id] = known
            source = WarmUpSource.FIRST
        elif mark.source is WarmUpSource.CONFIGURATION:
            known.mark = replace(
                known.mark,
                requests_per_s=mark.requests_per_s,
                duration_ms=mark.duration_ms,
            )
            return
        elif mark.incarnation != known.mark.incarnation:
            source = WarmUpSource.FIRST
        else:
            source = mark.source
        known.mark, known.heard_at_ms, known.cause = mark, now_ms, source.value
        warm_at_ms = now_ms + mark.remaining_ms
        if source is WarmUpSource.FIRST:
            known.warm_at_ms = max(warm_at_ms, now_ms + mark.duration_ms)
            known.cut_at_ms = None
        elif (
            known.cut_at_ms is not None
            and now_ms - known.cut_at_ms <= REGISTRATION_DELAY_MS
        ):
            known.warm_at_ms = max(warm_at_ms, known.warm_at_ms)
        else:
            known.warm_at_ms = warm_at_ms

    def record_table_read(self, at_ms: int) -> None:
        """Record when the store last answered with all changes of registrations.

        The store keeps a registration unchanged while the state of its endpoint is the
        same, and removes it when the endpoint no longer renews it.
        """
        self._table_read_at_ms = max(self._table_read_at_ms, at_ms)

    def record_cut(self, endpoint_id: str, now_ms: int) -> None:
        """Record that an endpoint may have started: a connection to it was cut."""
        known = self._warm_up_by_id.get(endpoint_id)
        if known is not None:
            known.cut_at_ms = now_ms
            duration_ms = known.mark.duration_ms
            self._extend(endpoint_id, duration_ms, "connection cut", now_ms)

    def _extend(
        self, endpoint_id: str, remaining_ms: int, cause: str, now_ms: int
    ) -> None:
        """Count an endpoint as cold for a time, at most that of a start."""
        known = self._warm_up_by_id.get(endpoint_id)
        if known is not None:
            remaining_ms = min(remaining_ms, known.mark.duration_ms)
            known.warm_at_ms = max(known.warm_at_ms, now_ms + remaining_ms)
            known.cause = cause

    def record_dispatch(self, endpoint_id: str, now_ms: int) -> None:
        """Record a request that this entry sends to an endpoint, cold or warm.

        An endpoint may become cold right after it got many requests. What it got more
        than a second ago does not matter.
        """
        known = self._warm_up_by_id.get(endpoint_id)
        if known is None:
            return
        share_per_s = self._share_per_s(known, now_ms)
        known.saved.grow(share_per_s, now_ms)
        rate = known.mark.requests_per_s
        n_max_owed = max(share_per_s, rate / self.bounds.find_max_holders(rate))
        known.saved.n_saved = max(known.saved.n_saved - 1, -n_max_owed)

    def is_choice_outdated(
        self, endpoint_id: str, chosen_at_ms: int, now_ms: int
    ) -> bool:
        """Return whether a request must not be written after all.

        A process that was frozen between the choice of the endpoint and the write would
        send it requests that its share no longer allows.
        """
        is_known = endpoint_id in self._warm_up_by_id
        return is_known and now_ms - chosen_at_ms > MAX_CHOICE_AGE_MS

    def discard(self, endpoint_id: str) -> None:
        """Discard what is known of an endpoint that has left."""
        self._warm_up_by_id.pop(endpoint_id, None)

    def find_remaining_ms(self, endpoint_id: str, now_ms: int) -> int:
        """Return how much longer an endpoint may be cold, in ms; 0 for a warm one."""
        known = self._warm_up_by_id.get(endpoint_id)
        return 0 if known is None else self._remaining_ms(known, now_ms)

    def is_exhausted(self, endpoint_id: str, now_ms: int) -> bool:
        """Return whether this entry may send no request to an endpoint now."""
        known = self._warm_up_by_id.get(endpoint_id)
        if known is None or not self._remaining_ms(known, now_ms):
            return False
        known.saved.grow(self._share_per_s(known, now_ms), now_ms)
        return known.saved.n_saved < 1

    def find_rate(self, endpoint_id: str, now_ms: int) -> float | None:
        """Return this entry's share of a cold endpoint's rate, or None for others."""
        known = self._warm_up_by_id.get(endpoint_id)
        if known is None or not self._remaining_ms(known, now_ms):
            return None
        return self._share_per_s(known, now_ms)

    def wait_ms(self, endpoint_id: str, now_ms: int) -> float:
        """Return the time until this entry may send a request to an endpoint, in ms.

        It is at most the time for which the endpoint may still be cold.
        """
        if not self.is_exhausted(endpoint_id, now_ms):
            return 0
        known = self._warm_up_by_id[endpoint_id]
        wait_ms = known.saved.wait_ms(self._share_per_s(known, now_ms))
        return min(wait_ms, self._remaining_ms(known, now_ms))

    def next_available_at_ms(self, now_ms: int) -> int | None:
        """Return the next time at which a request may be sent, or None without one."""
        waits_ms = (self.wait_ms(i, now_ms) for i in self._warm_up_by_id)
        first_ms = min((w for w in waits_ms if w > 0), default=inf)
        return None if first_ms == inf else now_ms + int(first_ms)

    def pop_changes(
        self, used_ids: Container[str], now_ms: int
    ) -> Iterable[WarmUpChange]:
        """Return the endpoints that began or ended to count as cold since the call.

        Others than ``used_ids`` are left out until they are in use again.
        """
        for endpoint_id, known in self._warm_up_by_id.items():
            if endpoint_id not in used_ids:
                continue
            remaining_ms = self._remaining_ms(known, now_ms)
            is_warming = remaining_ms > 0
            if is_warming != known.was_warming:
                known.was_warming = is_warming
                is_old = known.is_old(now_ms, self._table_read_at_ms)
                yield WarmUpChange(
                    endpoint_id,
                    is_warming,
                    "registration old" if is_old else known.cause,
                    known.mark.requests_per_s,
                    self._share_per_s(known, now_ms),
                    remaining_ms,
                )

    def _remaining_ms(self, known: _WarmUp, now_ms: int) -> int:
        return known.remaining_ms(now_ms, self._table_read_at_ms)

    def _share_per_s(self, known: _WarmUp, now_ms: int) -> float:
        """Return the requests that this entry may send, per second."""
        rate = known.mark.requests_per_s
        n_max = self.bounds.find_max_holders(rate)
        endpoint_id = known.mark.endpoint_id
        share = self.entries.find_possible_share(endpoint_id, n_max, now_ms)
        if share is None:
            return 0.0
        return self.bounds.find_share_per_s(rate, share.n_holders)
