"""Conversion of endpoint registrations into events for the reducer."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from bluebellusher_core.events import (
    EndpointConfirmed,
    EndpointDraining,
    EndpointInfo,
    EndpointLost,
    EndpointRegistered,
    Event,
)

# Time that an endpoint without a registration stays in use, in ms. It counts from the
# time at which the store is available again, or from the end of the registration while
# the store is unavailable. After an outage of the store, a running endpoint registers
# again within about two seconds.
EXPIRY_GRACE_MS = 2_000
# Upper bound of the time by which the grace time of an endpoint that a restored store
# lacks is exceeded while the store does not answer, in ms.
MAX_UNCONFIRMED_MS = 8_000
# Time from the deregistration of an endpoint until it counts as lost, in ms. It is
# longer than any request that the endpoint may still be serving.
DRAIN_TIMEOUT_MS = 30_000
# Time after which an endpoint is in use again that had ended before the store was
# restored and whose registration the store has again, in ms. The store removes the
# registration of an endpoint that does not run earlier, after three missed heartbeats.
RESTORED_CONFIRMATION_MS = 6_000
# Time after which an endpoint whose address is contested is confirmed by its own
# registration, in ms, for the same reason.
CONTEST_TIMEOUT_MS = RESTORED_CONFIRMATION_MS
# Upper bound of the remembered endpoints that have ended.
N_MAX_ENDED = 4_096


@dataclass(frozen=True, slots=True)
class EndpointRegistration:
    """Registration that an endpoint writes to the store.

    ``started_wall_ms`` is the Unix time, in ms, at which the endpoint started. It
    distinguishes two starts under the same id; 0 when the endpoint does not report it.
    ``warm_up_remaining_ms`` is the time, in ms, for which the endpoint stays cold after
    it wrote the registration.
    """

    endpoint_id: str
    service_id: str
    host: str
    port: int
    failure_domain: str
    n_slots: int
    is_draining: bool
    started_wall_ms: int = 0
    warm_up_remaining_ms: int = 0


@dataclass(slots=True)
class Registrations:
    """Endpoints that may be used, according to their registrations.

    An endpoint whose registration ends is leaving: it gets no new work, and its
    requests in progress continue. A registration that ends while the store is
    unavailable, or within ``EXPIRY_GRACE_MS`` after it is available again, may have
    expired only because it could not be renewed. Its endpoint then stays in use for
    ``EXPIRY_GRACE_MS`` from the end of the registration in the first case, and from the
    time at which the store became available in the second.

    When an endpoint that started later registers the address of another one, the
    address is contested. The earlier endpoint has usually ended and its registration
    has not expired yet. Any program can write a registration, however, so that this
    alone ends nothing.

    A store that was restored from an earlier copy contains registrations of endpoints
    that have left since, and lacks those of endpoints that have started since.
    ``update_restored`` keeps what is known of both until they register again.

    Parameters
    ----------
    registration_by_id : dict of str to EndpointRegistration
        Current registrations, including missing ones whose grace time has not ended.
    """

    registration_by_id: dict[str, EndpointRegistration] = field(default_factory=dict)
    _deregister_at_ms: dict[str, int] = field(default_factory=dict)
    _lost_at_ms: dict[str, int] = field(default_factory=dict)
    _registration_by_address: dict[tuple[str, int], EndpointRegistration] = field(
        default_factory=dict
    )
    _contested_at_ms: dict[str, int] = field(default_factory=dict)
    _earlier_by_claimant: dict[str, EndpointRegistration] = field(default_factory=dict)
    _ended_start_by_id: dict[str, int] = field(default_factory=dict)
    _unconfirmed_by_id: dict[str, tuple[EndpointRegistration, int]] = field(
        default_factory=dict
    )
    # Endpoints that a restored store lacks, in their grace time.
    _missing_since_restoration: set[str] = field(default_factory=set)
    _store_available_at_ms: int | None = None
    _is_store_unavailable: bool = False

    def record_store_unavailable(self) -> None:
        """Record that the store is unavailable."""
        self._is_store_unavailable = True

    def record_store_available(self, now_ms: int) -> None:
        """Record that the store is available; without an outage nothing changes."""
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            self._store_available_at_ms = now_ms
            for endpoint_id in self._missing_since_restoration:
                self._deregister_at_ms[endpoint_id] = now_ms + EXPIRY_GRACE_MS

    def update(
        self, changes: Mapping[str, EndpointRegistration | None], now_ms: int
    ) -> list[Event]:
        """Apply changed registrations; return the events that follow.

        Parameters
        ----------
        changes : mapping of str to EndpointRegistration or None
            Changed registrations by endpoint id; None when the registration ended.
        now_ms : int
            Monotonic time, in ms.
        """
        events: list[Event] = []
        for endpoint_id in changes:
            self._unconfirmed_by_id.pop(endpoint_id, None)
        registered = [r for r in changes.values() if r is not None]
        for registration in sorted(registered, key=lambda r: r.started_wall_ms):
            registered_events = self._register(registration)
            claimed_id = self._claim_address(registration, now_ms)
            events += [_add_claim(event, claimed_id) for event in registered_events]
        for endpoint_id, change in changes.items():
            if change is None:
                events += self._deregister(endpoint_id, now_ms)
        return events

    def update_restored(
        self, changes: Mapping[str, EndpointRegistration | None], now_ms: int
    ) -> list[Event]:
        """Apply the registrations of a restored store; return the events that follow.

        An endpoint that was draining continues to drain. One that had ended is used
        only if its registration stays for ``RESTORED_CONFIRMATION_MS``, and one whose
        registration is missing stays in use for ``EXPIRY_GRACE_MS``, and until the
        store has answered after that.

        Parameters
        ----------
        changes : mapping of str to EndpointRegistration or None
            Registrations that differ from the previous ones, by endpoint id; None for
            those that are missing.
        now_ms : int
            Monotonic time, in ms.
        """
        self._store_available_at_ms = now_ms
        confirm_at_ms = now_ms + RESTORED_CONFIRMATION_MS
        for endpoint_id, (registration, _) in self._unconfirmed_by_id.items():
            # The store removes the registration later than after one restoration.
            self._unconfirmed_by_id[endpoint_id] = (registration, confirm_at_ms)
        registered: dict[str, EndpointRegistration | None] = {}
        for endpoint_id, change in changes.items():
            if change is None:
                self._keep_missing(endpoint_id, now_ms)
            elif self._has_ended(change):
                self._unconfirmed_by_id[endpoint_id] = (change, confirm_at_ms)
            elif not self._is_known_draining(change):
                registered[endpoint_id] = change
        return self.update(registered, now_ms)

    def _keep_missing(self, endpoint_id: str, now_ms: int) -> None:
        """Keep an endpoint in use, if it is, whose registration the store lacks."""
        self._unconfirmed_by_id.pop(endpoint_id, None)
        if endpoint_id in self.registration_by_id:
            self._missing_since_restoration.add(endpoint_id)
            self._deregister_at_ms[endpoint_id] = now_ms + EXPIRY_GRACE_MS

    def _has_ended(self, registration: EndpointRegistration) -> bool:
        """Return whether this start ended, or its address was taken over, before."""
        started_wall_ms = registration.started_wall_ms
        known = self.registration_by_id.get(registration.endpoint_id)
        if known is not None and known.started_wall_ms == started_wall_ms:
            return False
        ended_start = self._ended_start_by_id.get(registration.endpoint_id)
        if ended_start is not None and started_wall_ms <= ended_start:
            return True
        address = (registration.host, registration.port)
        latest = self._registration_by_address.get(address)
        return latest is not None and 0 < started_wall_ms < latest.started_wall_ms

    def _is_known_draining(self, registration: EndpointRegistration) -> bool:
        """Return whether this start is draining, which it never takes back."""
        known = self.registration_by_id.get(registration.endpoint_id)
        return (
            known is not None
            and known.is_draining
            and known.started_wall_ms == registration.started_wall_ms
        )

    def tick(self, now_ms: int, store_answered_at_ms: int | None = None) -> list[Event]:
        """Return the events of grace, drain and confirmation times that have ended.

        Parameters
        ----------
        now_ms : int
            Monotonic time, in ms.
        store_answered_at_ms : int or None
            Time of the store's last answer about registrations; None stands for now.
        """
        if store_answered_at_ms is None:
            store_answered_at_ms = now_ms
        events: list[Event] = []
        confirmed = {
            endpoint_id: registration
            for endpoint_id, (registration, at_ms) in self._unconfirmed_by_id.items()
            if at_ms <= now_ms
        }
        events += self.update(confirmed, now_ms)
        events += self._end_contests(min(now_ms, store_answered_at_ms))
        for endpoint_id, at_ms in list(self._deregister_at_ms.items()):
            is_confirmed = store_answered_at_ms >= at_ms
            if endpoint_id in self._missing_since_restoration and not is_confirmed:
                at_ms += MAX_UNCONFIRMED_MS
            if at_ms <= now_ms:
                events += self._drain(endpoint_id, now_ms)
        for endpoint_id, at_ms in list(self._lost_at_ms.items()):
            if at_ms <= now_ms:
                del self._lost_at_ms[endpoint_id]
                events.append(EndpointLost(endpoint_id))
        return events

    def _end_contests(self, store_answered_at_ms: int) -> list[Event]:
        """Confirm the endpoints whose contested registration the store has kept."""
        if self._is_store_unavailable:
            return []
        kept_ids = [
            endpoint_id
            for endpoint_id, contested_at_ms in self._contested_at_ms.items()
            if contested_at_ms + CONTEST_TIMEOUT_MS <= store_answered_at_ms
        ]
        for endpoint_id in kept_ids:
            del self._contested_at_ms[endpoint_id]
        return [EndpointConfirmed(endpoint_id) for endpoint_id in kept_ids]

    def _register(self, registration: EndpointRegistration) -> list[Event]:
        """Record a registration; return an event when the endpoint's use changes."""
        endpoint_id = registration.endpoint_id
        previous = self.registration_by_id.get(endpoint_id)
        if previous and registration.started_wall_ms < previous.started_wall_ms:
            # A late write by the previous start of the endpoint.
            return []
        self._end_grace(endpoint_id)
        self._lost_at_ms.pop(endpoint_id, None)
        self._ended_start_by_id.pop(endpoint_id, None)
        self.registration_by_id[endpoint_id] = registration
        if registration.is_draining:
            was_used = previous is not None and not previous.is_draining
            return [EndpointDraining(endpoint_id)] if was_used else []
        if previous is not None and _is_same_active_endpoint(previous, registration):
            return []
        return [EndpointRegistered(_make_info(registration))]

    def _claim_address(self, registration: EndpointRegistration, now_ms: int) -> str:
        """Record the address of a registration.

        Returns the id of the endpoint in use that started earlier and has the same
        address, or an empty string.
        """
        address = (registration.host, registration.port)
        earlier = self._registration_by_address.get(address)
        if earlier and registration.started_wall_ms < earlier.started_wall_ms:
            # A late write by an endpoint that used the address before.
            return ""
        self._registration_by_address[address] = registration
        claimant_id = registration.endpoint_id
        if earlier is not None and earlier.endpoint_id == claimant_id:
            if earlier.started_wall_ms == registration.started_wall_ms:
                return ""
            # A later start of a claimant contests the address once more.
            earlier = self._earlier_by_claimant.get(claimant_id)
        if earlier is None or (earlier.host, earlier.port) != address:
            return ""
        if not 0 < earlier.started_wall_ms < registration.started_wall_ms:
            # Without two different start times, it is unknown which of the two
            # endpoints runs at the address.
            return ""
        if registration.is_draining or self._has_moved(earlier):
            return ""
        self._earlier_by_claimant[claimant_id] = earlier
        if earlier.endpoint_id in self.registration_by_id:
            self._contested_at_ms[earlier.endpoint_id] = now_ms
        return earlier.endpoint_id

    def _has_moved(self, registration: EndpointRegistration) -> bool:
        """Return whether an endpoint has registered another start or address since."""
        known = self.registration_by_id.get(registration.endpoint_id)
        if known is None:
            return False
        former = (registration.host, registration.port, registration.started_wall_ms)
        return (known.host, known.port, known.started_wall_ms) != former

    def _deregister(self, endpoint_id: str, now_ms: int) -> list[Event]:
        """Drain an endpoint whose registration ended, or start its grace time."""
        if endpoint_id not in self.registration_by_id:
            return []
        if endpoint_id in self._missing_since_restoration:
            # A peer reports again what the restored store lacks.
            return []
        grace_end_ms = self._compute_grace_end_ms(now_ms)
        if grace_end_ms > now_ms:
            self._deregister_at_ms[endpoint_id] = grace_end_ms
            return []
        return self._drain(endpoint_id, now_ms)

    def _compute_grace_end_ms(self, now_ms: int) -> int:
        """Return the end, in monotonic ms, of the grace time of a missing registration.

        The result is at most ``now_ms`` when the registration cannot have expired
        because of an unavailable store.
        """
        if self._is_store_unavailable:
            return now_ms + EXPIRY_GRACE_MS
        if self._store_available_at_ms is None:
            return now_ms
        return self._store_available_at_ms + EXPIRY_GRACE_MS

    def _end_grace(self, endpoint_id: str) -> None:
        """End the grace time of an endpoint that registered again or is drained."""
        self._deregister_at_ms.pop(endpoint_id, None)
        self._missing_since_restoration.discard(endpoint_id)

    def _drain(self, endpoint_id: str, now_ms: int) -> list[Event]:
        """Remove a registration; its endpoint is lost after ``DRAIN_TIMEOUT_MS``."""
        registration = self.registration_by_id.pop(endpoint_id)
        self._end_grace(endpoint_id)
        self._contested_at_ms.pop(endpoint_id, None)
        self._earlier_by_claimant.pop(endpoint_id, None)
        self._lost_at_ms[endpoint_id] = now_ms + DRAIN_TIMEOUT_MS
        self._ended_start_by_id[endpoint_id] = registration.started_wall_ms
        if len(self._ended_start_by_id) > N_MAX_ENDED:
            del self._ended_start_by_id[next(iter(self._ended_start_by_id))]
        return [] if registration.is_draining else [EndpointDraining(endpoint_id)]


def _add_claim(event: Event, claimed_id: str) -> Event:
    """Return the event of a registration with the endpoint whose address it claims."""
    if isinstance(event, EndpointRegistered):
        return replace(event, claimed_id=claimed_id)
    return event


def _is_same_active_endpoint(a: EndpointRegistration, b: EndpointRegistration) -> bool:
    """Return whether ``b`` describes the same endpoint and ``a`` is not draining."""
    return not a.is_draining and _make_info(a) == _make_info(b)


def _make_info(registration: EndpointRegistration) -> EndpointInfo:
    return EndpointInfo(
        endpoint_id=registration.endpoint_id,
        failure_domain=registration.failure_domain,
        services=frozenset({registration.service_id}),
        models=frozenset(),
        adapters=frozenset(),
        n_slots=registration.n_slots,
        incarnation=registration.started_wall_ms,
    )
