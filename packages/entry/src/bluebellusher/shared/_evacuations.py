"""Rows by which the operator evacuates failure domains."""

from collections.abc import Callable, Iterable

from bluebellusher.ports import TableCodec
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import MirrorRow
from bluebellusher_core.events import DomainsEvacuated, Event

CHANGED_ROW = "row"
RESTORED_STORE = "store-restored"


class Evacuations:
    """Set of evacuated failure domains, by the rows of the routing table's table.

    The key of a row names its domain; the value has no meaning, so that any bytes in it
    evacuate this domain and no other. A domain without endpoints is kept in the set,
    because its endpoints may register later.

    Parameters
    ----------
    codec : TableCodec
        Reads the domain from the key of a row.
    post : callable
        Receives an event when the set changes.
    clock : Clock
        Clock of the event.
    """

    def __init__(
        self, codec: TableCodec, post: Callable[[Event], None], clock: Clock
    ) -> None:
        self.domains: frozenset[str] = frozenset()
        # Domains that were evacuated at any time since the start of the entry.
        self.known_domains: frozenset[str] = frozenset()
        self._codec = codec
        self._post = post
        self._clock = clock

    def apply_rows(self, rows: Iterable[MirrorRow], cause: str) -> None:
        """Apply changed rows; post one event if the set changes.

        Parameters
        ----------
        rows : iterable of MirrorRow
            Changed rows of the table; those of other kinds are ignored.
        cause : str
            ``CHANGED_ROW`` or ``RESTORED_STORE``.
        """
        domains = set(self.domains)
        version_by_domain: dict[str, int] = {}
        for row in rows:
            domain = self._codec.read_evacuation(row.key)
            if domain is None or row.is_removed == (domain not in domains):
                continue
            if row.is_removed:
                domains.discard(domain)
            else:
                domains.add(domain)
            version_by_domain[domain] = row.version
        if domains == self.domains:
            return
        changed_domains = domains ^ self.domains
        self.domains = frozenset(domains)
        self.known_domains |= self.domains
        row_versions = tuple(
            (domain, version_by_domain[domain]) for domain in sorted(changed_domains)
        )
        now_ms = self._clock.now_ms()
        self._post(DomainsEvacuated(self.domains, row_versions, cause, now_ms))
