"""Failure domains that the operator has evacuated, and the ramp after their return."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import ceil

from bluebellusher_core.membership._entries import ActiveEntries
from bluebellusher_core.routing import EndpointView

# Time in which a restored domain returns to its whole share, in ms. Engines are cold
# for 3 s from the first requests on, and get no more than a part of the share by then.
RAMP_MS = 4_000


@dataclass(slots=True)
class EvacuatedDomains:
    """Evacuated domains, and those that return to their share.

    Load pattern: when an evacuation ends, the endpoints of the domain are idle and may
    be cold, while the queues of all entries may be full. Every entry would choose these
    endpoints first, all at the same moment. The number of attempts that all entries
    together run at an endpoint of a restored domain therefore rises over ``RAMP_MS`` to
    its slots, divided among as many entries as the number allows. A pool whose
    endpoints are all in restored domains is used by every entry at once, each of which
    has the whole number, because its requests have no other endpoint.

    Parameters
    ----------
    entries : ActiveEntries
        Entries that share the endpoints.
    domains : frozenset of str
        Failure domains that are evacuated.

    Examples
    --------
    >>> evacuated = EvacuatedDomains(ActiveEntries("e1"))
    >>> evacuated.replace(frozenset({"north"}), now_ms=0)
    >>> evacuated.replace(frozenset(), now_ms=10_000)
    >>> evacuated.is_ramping("north", now_ms=11_000)
    True
    >>> evacuated.is_ramping("north", now_ms=14_000)
    False
    """

    entries: ActiveEntries
    domains: frozenset[str] = frozenset()
    _restored_at_ms: dict[str, int] = field(default_factory=dict)

    def replace(self, domains: frozenset[str], now_ms: int) -> None:
        """Replace the set of evacuated domains; start the ramp of those restored."""
        for domain in self.domains - domains:
            self._restored_at_ms[domain] = now_ms
        for domain in domains:
            self._restored_at_ms.pop(domain, None)
        self.domains = domains

    def is_ramping(self, domain: str, now_ms: int) -> bool:
        """Return whether a domain was restored less than ``RAMP_MS`` ago."""
        restored_at_ms = self._restored_at_ms.get(domain)
        return restored_at_ms is not None and now_ms - restored_at_ms < RAMP_MS

    def select_usable(
        self, views: Sequence[EndpointView], now_ms: int
    ) -> Sequence[EndpointView]:
        """Return the endpoints of a pool that may get another attempt by the ramp."""
        if not self._restored_at_ms:
            return views
        ended = [d for d in self._restored_at_ms if not self.is_ramping(d, now_ms)]
        for domain in ended:
            del self._restored_at_ms[domain]
        has_other = any(
            view.info.failure_domain not in self._restored_at_ms for view in views
        )
        return [view for view in views if self._allows(view, has_other, now_ms)]

    def _allows(self, view: EndpointView, has_other: bool, now_ms: int) -> bool:
        """Return whether the ramp allows an endpoint another attempt of this entry."""
        info = view.info
        restored_at_ms = self._restored_at_ms.get(info.failure_domain)
        if restored_at_ms is None:
            return True
        progress = (now_ms - restored_at_ms) / RAMP_MS
        n_attempts = max(1, ceil(progress * info.n_slots))
        if has_other:
            share = self.entries.find_share(info.endpoint_id, n_attempts, now_ms)
            if share is None:
                return False
            n_more = share.position < n_attempts % share.n_holders
            n_attempts = n_attempts // share.n_holders + n_more
        return view.n_own_in_flight < n_attempts
