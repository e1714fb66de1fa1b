"""Entries that share the endpoints with this one."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nsmallest

from bluebellusher_core.rendezvous import score

# Time for which a lost peer counts as an entry that uses its shares, in ms. It may
# only be unreachable, and an entry that restarts is back within seconds.
LOST_PEER_TIMEOUT_MS = 60_000
# Time after which entries that are in contact with the store have read that a new entry
# exists, in ms. They read the list of entries every 30 s.
LISTING_MS = 31_000


@dataclass(frozen=True, slots=True)
class Share:
    """Place of an entry among the ``n_holders`` entries with equal shares.

    ``position`` is from 0 to ``n_holders - 1`` and differs between the holders.
    """

    position: int
    n_holders: int


@dataclass(slots=True)
class ActiveEntries:
    """Entries that may be sending requests now, and their shares of an endpoint.

    Parameters
    ----------
    own_id : str
        Id of this entry, which always counts as active.

    Examples
    --------
    >>> entries = ActiveEntries("e1")
    >>> entries.record_connected(["e2", "e3"], now_ms=0)
    >>> entries.find_share("x1", n_max=8, now_ms=0).n_holders
    3
    """

    own_id: str
    _connected_ids: frozenset[str] = frozenset()
    _domain_peer_ids: set[str] = field(default_factory=set)
    _lost_at_ms: dict[str, int] = field(default_factory=dict)
    _share_by_key: dict[tuple[str, int, bool], Share | None] = field(
        default_factory=dict
    )
    _possible_by_key: dict[tuple[str, int], Share | None] = field(default_factory=dict)
    _listed_ids: frozenset[str] = frozenset()
    _unlisted_at_ms: dict[str, int] = field(default_factory=dict)
    _first_listed_at_ms: int | None = None
    _is_known_to_others: bool = False

    def record_connected(
        self,
        peer_ids: Iterable[str],
        now_ms: int,
        domain_peer_ids: Iterable[str] = (),
    ) -> None:
        """Record the peers that are connected now, and those in the own domain."""
        connected_ids = frozenset(peer_ids)
        for peer_id in self._connected_ids - connected_ids:
            self._lost_at_ms[peer_id] = now_ms
        for peer_id in connected_ids:
            self._lost_at_ms.pop(peer_id, None)
        self._connected_ids = connected_ids
        self._domain_peer_ids.update(domain_peer_ids)
        self._domain_peer_ids &= connected_ids | self._lost_at_ms.keys()
        self._share_by_key.clear()
        self._possible_by_key.clear()

    @property
    def listed_ids(self) -> frozenset[str]:
        """Entries that the store or a peer has listed."""
        return self._listed_ids

    def record_listed(self, listed_ids: Iterable[str], now_ms: int) -> None:
        """Record the entries that the store or a peer lists, in contact or not.

        An entry that is no longer listed counts for ``LOST_PEER_TIMEOUT_MS``, because a
        restored store may lack the rows of entries that run.
        """
        ids = frozenset(listed_ids)
        for entry_id in self._listed_ids - ids:
            self._unlisted_at_ms[entry_id] = now_ms
        for entry_id in ids:
            self._unlisted_at_ms.pop(entry_id, None)
        if self._first_listed_at_ms is None:
            self._first_listed_at_ms = now_ms
            self._is_known_to_others = self.own_id in ids
        self._listed_ids = ids
        self._possible_by_key.clear()

    def find_share(
        self, endpoint_id: str, n_max: int, now_ms: int, is_own_domain: bool = False
    ) -> Share | None:
        """Return this entry's share of what an endpoint takes from all entries.

        At most ``n_max`` entries have a share; None is returned to the others.
        Rendezvous hashing selects the same ones on all entries, and other ones for each
        endpoint. ``is_own_domain`` divides among the entries of the own failure domain
        only.
        """
        self._forget_lost(now_ms)
        key = (endpoint_id, n_max, is_own_domain)
        if key not in self._share_by_key:
            ids = self._connected_ids | self._lost_at_ms.keys()
            if is_own_domain:
                ids &= self._domain_peer_ids
            ids |= {self.own_id}
            holders = nsmallest(n_max, ids, key=lambda i: score(endpoint_id, i))
            share = None
            if self.own_id in holders:
                share = Share(holders.index(self.own_id), len(holders))
            self._share_by_key[key] = share
        return self._share_by_key[key]

    def find_possible_share(
        self, endpoint_id: str, n_max: int, now_ms: int
    ) -> Share | None:
        """Return this entry's share among all entries that may exist.

        Listed entries count without contact and without a time limit. None is also
        returned as long as other entries may not know this one: before it has a list,
        and if an earlier start did not list it, until it is connected to all listed
        entries or ``LISTING_MS`` have passed.
        """
        self._forget_lost(now_ms)
        if not self._is_known(now_ms):
            return None
        key = (endpoint_id, n_max)
        if key not in self._possible_by_key:
            ids = {self.own_id, *self._connected_ids, *self._lost_at_ms}
            ids.update(self._listed_ids, self._unlisted_at_ms)
            holders = nsmallest(n_max, ids, key=lambda i: score(endpoint_id, i))
            share = None
            if self.own_id in holders:
                share = Share(holders.index(self.own_id), len(holders))
            self._possible_by_key[key] = share
        return self._possible_by_key[key]

    def _is_known(self, now_ms: int) -> bool:
        """Return whether the other entries know that this one exists."""
        if self._is_known_to_others or self._first_listed_at_ms is None:
            return self._is_known_to_others
        other_ids = self._listed_ids - {self.own_id}
        is_in_contact = self.own_id in self._listed_ids and (
            other_ids <= self._connected_ids
        )
        is_listed_long = now_ms - self._first_listed_at_ms >= LISTING_MS
        self._is_known_to_others = is_in_contact or is_listed_long
        return self._is_known_to_others

    def _forget_lost(self, now_ms: int) -> None:
        """Discard the peers that were lost ``LOST_PEER_TIMEOUT_MS`` ago."""
        for at_ms_by_id in (self._lost_at_ms, self._unlisted_at_ms):
            forgotten_ids = [
                peer_id
                for peer_id, lost_at_ms in at_ms_by_id.items()
                if now_ms - lost_at_ms >= LOST_PEER_TIMEOUT_MS
            ]
            for peer_id in forgotten_ids:
                del at_ms_by_id[peer_id]
            if forgotten_ids:
                self._share_by_key.clear()
                self._possible_by_key.clear()
