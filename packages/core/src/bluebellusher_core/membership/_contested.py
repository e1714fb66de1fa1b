"""Endpoints whose address another endpoint has registered as well."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellusher_core.routing import EndpointView

# Upper bound of the remembered claimants that were found not to run.
N_MAX_REFUTED = 4_096


@dataclass(frozen=True, slots=True)
class _Contest:
    """Endpoint that registered the address later, and when this became known."""

    claimant_id: str
    since_ms: int


@dataclass(slots=True)
class ContestedAddresses:
    """Endpoints whose address a claimant, which started later, has registered too.

    Usually the claimant has replaced the endpoint, whose registration has not expired
    yet. Any program can write a registration, however, so that the endpoint may run and
    the claimant may not exist. An answer shows which of the two runs there, because an
    endpoint refuses attempts that are meant for another one. The claimant gets the
    attempts meanwhile, and those in flight at the contested endpoint continue.

    Load pattern: another program registers the addresses of all endpoints of a service
    while many requests arrive. Each attempt at a claimant that does not exist costs a
    retry, so that the claimants of a service get one attempt at a time until they have
    answered or reported their load. Another program may repeat its registrations, so
    that a claimant which was found not to run contests no address any more.

    Examples
    --------
    >>> contested = ContestedAddresses()
    >>> contested.contest("x", "y", now_ms=0)
    True
    >>> contested.find_claimant("x")
    'y'
    >>> contested.end("x")
    True
    >>> contested.is_unproven("y")
    True
    """

    _contest_by_id: dict[str, _Contest] = field(default_factory=dict)
    _claimed_ids_by_claimant: dict[str, list[str]] = field(default_factory=dict)
    _unproven_ids: set[str] = field(default_factory=set)
    _refuted_ids: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def is_empty(self) -> bool:
        """Whether no address is contested and no claimant is unproven."""
        return not (self._contest_by_id or self._unproven_ids)

    def contest(self, endpoint_id: str, claimant_id: str, now_ms: int) -> bool:
        """Record that a claimant has registered the address of an endpoint.

        Return whether the address is contested now, which it is not by a claimant that
        was found not to run.
        """
        self._unproven_ids.add(claimant_id)
        if claimant_id in self._refuted_ids:
            return False
        self.end(endpoint_id)
        self._contest_by_id[endpoint_id] = _Contest(claimant_id, now_ms)
        self._claimed_ids_by_claimant.setdefault(claimant_id, []).append(endpoint_id)
        return True

    def record_running(self, endpoint_id: str) -> None:
        """Record that an endpoint exists, because it answered or reported its load."""
        self._unproven_ids.discard(endpoint_id)
        self._refuted_ids.pop(endpoint_id, None)

    def refute(self, claimant_id: str) -> None:
        """Record that another endpoint runs at the address of a claimant."""
        if claimant_id not in self._unproven_ids:
            return
        self._refuted_ids[claimant_id] = None
        if len(self._refuted_ids) > N_MAX_REFUTED:
            self._refuted_ids.popitem(last=False)

    def is_unproven(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is a claimant that may not exist."""
        return endpoint_id in self._unproven_ids

    def end(self, endpoint_id: str) -> bool:
        """End the contest of an endpoint; return whether there was one."""
        contest = self._contest_by_id.pop(endpoint_id, None)
        if contest is None:
            return False
        claimed_ids = self._claimed_ids_by_claimant[contest.claimant_id]
        claimed_ids.remove(endpoint_id)
        if not claimed_ids:
            del self._claimed_ids_by_claimant[contest.claimant_id]
        return True

    def end_claims(self, claimant_id: str) -> None:
        """End the contests by a claimant that is not used any more."""
        self._unproven_ids.discard(claimant_id)
        for endpoint_id in self.find_claimed(claimant_id):
            self.end(endpoint_id)

    def find_claimant(self, endpoint_id: str) -> str | None:
        """Return the claimant of an endpoint's address, or None."""
        contest = self._contest_by_id.get(endpoint_id)
        return contest.claimant_id if contest is not None else None

    def find_claimed(self, claimant_id: str) -> list[str]:
        """Return the endpoints whose address a claimant has registered."""
        return list(self._claimed_ids_by_claimant.get(claimant_id, ()))

    def select_usable(self, views: list[EndpointView]) -> list[EndpointView]:
        """Return the endpoints of a service that may get an attempt.

        Contested endpoints get one attempt at a time until they answer, and all
        unproven claimants together.
        """
        if self.is_empty:
            return views
        unproven = [v for v in views if self.is_unproven(v.info.endpoint_id)]
        waits = any(view.unanswered_at_ms for view in unproven)
        unproven_ids = {view.info.endpoint_id for view in unproven}
        return [
            view
            for view in views
            if self._allows_attempt(view)
            and not (waits and view.info.endpoint_id in unproven_ids)
        ]

    def _allows_attempt(self, view: EndpointView) -> bool:
        """Return whether no attempt at a contested endpoint waits for its answer."""
        contest = self._contest_by_id.get(view.info.endpoint_id)
        if contest is None:
            return True
        sent_at_ms = view.unanswered_at_ms.values()
        return all(at_ms < contest.since_ms for at_ms in sent_at_ms)
