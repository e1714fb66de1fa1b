"""Simulation of entries that share crash records of endpoints without agents.

Each entry has a real ``EntryState`` and real ``Registrations``. Crashes, runs and the
time of the third crash are counted at the endpoints, independently of the entries'
records.
"""

import heapq
from dataclasses import dataclass, field, replace
from random import Random

from bluebellusher_core.directory import EndpointRegistration, Registrations
from bluebellusher_core.effects import (
    BroadcastCrashes,
    CancelAttempt,
    CheckEndpoint,
    Dispatch,
    Reject,
    SetTimer,
)
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    CrashesReceived,
    EndpointChecked,
    EndpointRegistered,
    MembersListed,
    RequestArrived,
    TimerFired,
    Usage,
)
from bluebellusher_core.poison import CrashCounter
from bluebellusher_core.reducer import EntryConfig, EntryState, reduce
from bluebellusher_core.reducer.tests._specs import make_spec

# Number of confirmed crashes that block a fingerprint.
N_TO_BLOCK = 3
# Time that an entry in contact with the store needs to receive the third crash, in ms.
MIN_CONTACT_MS = 3_000
# Interval of the crash records that entries send to each other, in ms.
DIGEST_INTERVAL_MS = 500
# Time until a registration expires, which is three missed heartbeats, in ms.
EXPIRE_AFTER_MS = 3_600
# Delay from a write in the store until the entries read it, in ms.
WATCH_DELAY_MS = 50
CONNECT_TIMEOUT_MS = 500
# Time from a cut between failure domains until the runs across it break, in ms.
BREAK_AFTER_CUT_MS = 1_500
# Time from the start of a poison run until it crashes its endpoint, in ms.
CRASH_AFTER_MS = 20
POISON = "poison"


@dataclass
class Run:
    """One attempt that an endpoint runs."""

    entry: "Entry"
    attempt_id: str
    fingerprint: str
    endpoint_id: str


@dataclass
class Host:
    """One address, at which at most one endpoint listens.

    ``registration`` is None while no endpoint listens.
    """

    index: int
    domain: str
    registration: EndpointRegistration | None = None
    runs: list[Run] = field(default_factory=list)


@dataclass
class Entry:
    """One start of an entry process."""

    entry_id: str
    domain: str
    state: EntryState
    registrations: Registrations
    started_at_ms: int
    address_by_endpoint_id: dict[str, int] = field(default_factory=dict)
    is_alive: bool = True


class CrashSimulation:
    """Entries, endpoints and a store in virtual time.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    n_entries, n_hosts : int
        Number of entries and hosts, which are spread over three failure domains.
    keeps_id : bool
        Whether an endpoint keeps its id when it restarts.
    """

    def __init__(self, seed=0, n_entries=4, n_hosts=12, keeps_id=False):
        self.random = Random(seed)
        self.now_ms = 10_000
        self.keeps_id = keeps_id
        self.n_entries = n_entries
        self.downtime_range_ms = (2_000, 6_000)
        # Share of the runs that an endpoint answers with an error instead.
        self.error_share = 0.0
        self.is_store_unavailable = False
        self.store_restored_at_ms = 0
        self.reconnected_at_ms_by_domain = {}
        self.row_by_endpoint_id = {}
        self.crash_table = CrashCounter()
        self.cut_domains = set()
        self.crash_times_ms = []
        self.n_late_runs = 0
        self.n_runs = 0
        self.rejections = []
        self.completed_fingerprints = []
        self._n_requests = 0
        self._n_starts = 0
        self._pending_calls = []
        self._n_scheduled = 0
        self.hosts = [Host(i, f"d{i % 3}") for i in range(n_hosts)]
        self.entry_by_id = {}
        for host in self.hosts:
            self.start_endpoint(host)
        for i in range(n_entries):
            self.start_entry(f"e{i}", f"d{i % 3}")
        self.call_later(DIGEST_INTERVAL_MS, self._broadcast_all_crashes)
        self.run(200)

    # Time.

    def call_later(self, delay_ms, action, *args):
        """Schedule a call after a delay in ms."""
        self._n_scheduled += 1
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._pending_calls, (due_ms, self._n_scheduled, action, args))

    def run(self, duration_ms):
        """Advance the virtual time and execute the calls that become due."""
        end_ms = self.now_ms + duration_ms
        while self._pending_calls and self._pending_calls[0][0] <= end_ms:
            self.now_ms, _, action, args = heapq.heappop(self._pending_calls)
            action(*args)
        self.now_ms = end_ms

    # Entries.

    def start_entry(self, entry_id, domain):
        """Start an entry with empty state.

        It reads the store, and each reachable peer sends it its crash records.
        """
        config = EntryConfig(
            entry_id,
            incarnation=self.now_ms,
            seed=self.random.getrandbits(32),
            n_crashes_to_block=N_TO_BLOCK,
            n_min_retries=999,
        )
        state = EntryState.from_config(config)
        entry = Entry(entry_id, domain, state, Registrations(), self.now_ms)
        self.entry_by_id[entry_id] = entry
        member_ids = frozenset(f"e{i}" for i in range(self.n_entries))
        self.handle_event(entry, MembersListed(member_ids))
        self._read_registrations(entry)
        self._read_crashes(entry)
        for other in self._reachable_peers(entry):
            self.deliver_crashes(other, entry, other.state.crashes.records(self.now_ms))

    def kill_entry(self, entry_id):
        """Kill an entry; its state and its requests in progress are lost."""
        entry = self.entry_by_id[entry_id]
        entry.is_alive = False
        for host in self.hosts:
            host.runs = [run for run in host.runs if run.entry is not entry]
        return entry

    def restart_entry(self, entry_id, down_ms=500):
        """Kill an entry and restart it after ``down_ms``."""
        entry = self.kill_entry(entry_id)
        self.call_later(down_ms, self.start_entry, entry_id, entry.domain)

    def restart_all_entries(self, down_ms=500):
        """Kill all entries at the same moment."""
        for entry_id in list(self.entry_by_id):
            self.restart_entry(entry_id, down_ms)

    def handle_event(self, entry, event):
        """Apply an event and execute the effects, unless the entry has ended."""
        if entry.is_alive:
            for effect in reduce(entry.state, event, self.now_ms):
                self._execute_effect(entry, effect)

    def deliver_crashes(self, entry, other, records):
        """Deliver crash records of one entry to another one."""
        self.handle_event(other, CrashesReceived(entry.entry_id, records))

    def _broadcast_crashes(self, entry, records):
        """Deliver crash records of an entry to its reachable peers."""
        if not entry.is_alive:
            return
        for other in self._reachable_peers(entry):
            self.deliver_crashes(entry, other, records)

    def _broadcast_all_crashes(self):
        """Deliver the crash records of all entries to their peers, at each interval."""
        for entry in list(self.entry_by_id.values()):
            self._broadcast_crashes(entry, entry.state.crashes.records(self.now_ms))
        self.call_later(DIGEST_INTERVAL_MS, self._broadcast_all_crashes)

    def _write_crashes(self, entry, records):
        """Merge crash records into the store; retry while the entry cannot reach it."""
        if not entry.is_alive:
            return
        if not self.can_reach_store(entry):
            self.call_later(DIGEST_INTERVAL_MS, self._write_crashes, entry, records)
            return
        are_changed = [
            self.crash_table.merge(record, self.now_ms) for record in records
        ]
        if any(are_changed):
            for other in list(self.entry_by_id.values()):
                self.call_later(WATCH_DELAY_MS, self._read_crashes, other)

    def _read_crashes(self, entry):
        """Deliver the crash records of the store to an entry that can reach it."""
        if entry.is_alive and self.can_reach_store(entry):
            records = self.crash_table.records(self.now_ms)
            self.handle_event(entry, CrashesReceived("store", records))

    def _reachable_peers(self, entry):
        """Return the running entries that an entry can reach."""
        return [
            other
            for other in self.entry_by_id.values()
            if other is not entry
            and other.is_alive
            and not self.is_cut(entry.domain, other.domain)
        ]

    def is_cut(self, domain, other):
        """Return whether two failure domains cannot reach each other."""
        return domain != other and bool({domain, other} & self.cut_domains)

    def cut_domain(self, domain):
        """Cut a failure domain off from the others and from the store.

        Runs across the cut break, and registrations in the domain expire.
        """
        self.cut_domains.add(domain)
        for host in self.hosts:
            for run in list(host.runs):
                if self.is_cut(host.domain, run.entry.domain):
                    self.call_later(BREAK_AFTER_CUT_MS, self._break_run, host, run)
            if host.domain == domain and host.registration is not None:
                self.call_later(EXPIRE_AFTER_MS, self._expire_if_cut, host)

    def reconnect_domain(self, domain):
        """End a cut; the endpoints of the failure domain register again."""
        self.cut_domains.discard(domain)
        self.reconnected_at_ms_by_domain[domain] = self.now_ms
        for host in self.hosts:
            if host.domain == domain and host.registration is not None:
                self._write_registration(host.registration)
        for entry in list(self.entry_by_id.values()):
            self._read_registrations(entry)

    def _expire_if_cut(self, host):
        """Expire the registration at a host if its domain is still cut off."""
        if host.domain in self.cut_domains and host.registration is not None:
            self._write_registration(host.registration, is_removed=True)

    # Endpoints.

    def start_endpoint(self, host):
        """Start an endpoint at an address."""
        self._n_starts += 1
        number = host.index if self.keeps_id else self._n_starts
        host.registration = EndpointRegistration(
            endpoint_id=f"x{number}",
            service_id="s",
            host="10.0.0.1",
            port=1 + host.index,
            failure_domain=host.domain,
            n_slots=6,
            is_draining=False,
            started_wall_ms=self.now_ms,
        )
        if host.domain not in self.cut_domains:
            self._write_registration(host.registration)

    def crash_endpoint(self, host):
        """Crash the endpoint at a host; it restarts after a random time.

        ``downtime_range_ms`` holds the bounds of that time, in ms.
        """
        registration = host.registration
        host.registration = None
        runs, host.runs = host.runs, []
        for run in runs:
            self.call_later(1, self._report_broken, run)
        self.call_later(EXPIRE_AFTER_MS, self._expire_registration, registration)
        self.call_later(
            self.random.randint(*self.downtime_range_ms), self.start_endpoint, host
        )

    def shut_down_endpoint(self, host):
        """Shut an endpoint down by plan.

        It registers as draining, ends after 2 s and is replaced by another start.
        """
        registration = host.registration
        leaving = EndpointRegistration(
            **{name: getattr(registration, name) for name in registration.__slots__}
            | {"is_draining": True}
        )
        host.registration = leaving
        self._write_registration(leaving)
        self.call_later(2_000, self._end_draining_endpoint, host)

    def _end_draining_endpoint(self, host):
        """End a draining endpoint; break its runs and start its replacement."""
        registration = host.registration
        host.registration = None
        runs, host.runs = host.runs, []
        for run in runs:
            self._report_broken(run)
        self._write_registration(registration, is_removed=True)
        self.call_later(500, self.start_endpoint, host)

    def _expire_registration(self, registration):
        """Expire the registration of a crashed endpoint unless a newer one exists."""
        if self.row_by_endpoint_id.get(registration.endpoint_id) is registration:
            self._write_registration(registration, is_removed=True)

    def _write_registration(self, registration, is_removed=False):
        """Write or remove a registration in the store; entries read it later."""
        if is_removed:
            self.row_by_endpoint_id.pop(registration.endpoint_id, None)
        else:
            self.row_by_endpoint_id[registration.endpoint_id] = registration
        for entry in list(self.entry_by_id.values()):
            self.call_later(WATCH_DELAY_MS, self._read_registrations, entry)

    def _read_registrations(self, entry):
        """Apply the registrations of the store to an entry that can reach it."""
        if not entry.is_alive or not self.can_reach_store(entry):
            return
        registration_by_id = entry.registrations.registration_by_id
        changes = dict(self.row_by_endpoint_id)
        changes |= {i: None for i in registration_by_id if i not in changes}
        for row in self.row_by_endpoint_id.values():
            entry.address_by_endpoint_id[row.endpoint_id] = row.port - 1
        for event in entry.registrations.update(changes, self.now_ms):
            self.handle_event(entry, self._add_age(event))

    def _add_age(self, event):
        """Return the event with the time since the endpoint's start, in ms."""
        if isinstance(event, EndpointRegistered):
            return replace(event, age_ms=self.now_ms - event.endpoint.incarnation)
        return event

    def can_reach_store(self, entry):
        """Return whether the store is available to an entry."""
        return not self.is_store_unavailable and entry.domain not in self.cut_domains

    def is_in_contact(self, entry):
        """Return whether an entry has reached the store for ``MIN_CONTACT_MS``."""
        since_ms = max(
            entry.started_at_ms,
            self.store_restored_at_ms,
            self.reconnected_at_ms_by_domain.get(entry.domain, 0),
        )
        return self.can_reach_store(entry) and self.now_ms - since_ms >= MIN_CONTACT_MS

    def restore_store(self):
        """End an outage of the store; all entries read the registrations."""
        self.is_store_unavailable = False
        self.store_restored_at_ms = self.now_ms
        for entry in list(self.entry_by_id.values()):
            self._read_registrations(entry)

    # Requests.

    def send(self, entry_id, fingerprint=POISON, is_idempotent=False):
        """Send a request to an entry; return its id."""
        self._n_requests += 1
        spec = make_spec(
            f"r{self._n_requests}",
            fingerprint=fingerprint,
            deadline_ms=self.now_ms + 8_000,
            is_idempotent=is_idempotent,
            n_max_attempts=2 if is_idempotent else 1,
        )
        self.handle_event(self.entry_by_id[entry_id], RequestArrived(spec))
        return spec.request_id

    def is_rejected(self, entry_id, fingerprint=POISON):
        """Send a request and return whether it is rejected as crashing endpoints."""
        n_before = len(self.rejections)
        self.send(entry_id, fingerprint)
        reasons = [rejection.reason for _, rejection in self.rejections[n_before:]]
        return reasons == [Reason.CRASHES_ENDPOINTS]

    def _execute_effect(self, entry, effect):
        """Execute one effect of an entry; effects of other types are ignored."""
        match effect:
            case Dispatch():
                self.call_later(1, self._deliver_dispatch, entry, effect)
            case Reject():
                self.rejections.append((effect.request_id, effect.rejection))
            case CancelAttempt():
                for host in self.hosts:
                    host.runs = [
                        r for r in host.runs if r.attempt_id != effect.attempt_id
                    ]
            case CheckEndpoint():
                self.call_later(1, self._check_address, entry, effect.endpoint_id)
            case BroadcastCrashes():
                self.call_later(1, self._broadcast_crashes, entry, effect.records)
                self.call_later(1, self._write_crashes, entry, effect.records)
            case SetTimer():
                delay_ms = max(0, effect.due_ms - self.now_ms)
                self.call_later(
                    delay_ms, self.handle_event, entry, TimerFired(effect.timer_id)
                )

    def _check_address(self, entry, endpoint_id):
        """Check an endpoint's address for an entry; it times out across a cut."""
        host = self.hosts[entry.address_by_endpoint_id[endpoint_id]]
        if self.is_cut(entry.domain, host.domain):
            event = EndpointChecked(endpoint_id, None)
            self.call_later(CONNECT_TIMEOUT_MS, self.handle_event, entry, event)
        else:
            is_listening = host.registration is not None
            self.handle_event(entry, EndpointChecked(endpoint_id, is_listening))

    def _deliver_dispatch(self, entry, effect):
        """Deliver an attempt to its address, where it runs or is refused."""
        request = entry.state.request_by_id.get(effect.request_id)
        if request is None or not entry.is_alive:
            return
        host = self.hosts[entry.address_by_endpoint_id[effect.endpoint_id]]
        attempt_id, endpoint_id = effect.attempt_id, effect.endpoint_id
        if self.is_cut(entry.domain, host.domain):
            event = AttemptRefused(attempt_id, Reason.CONNECT_FAILED, 0, endpoint_id)
            self.call_later(CONNECT_TIMEOUT_MS, self.handle_event, entry, event)
        elif host.registration is None:
            event = AttemptRefused(attempt_id, Reason.CONNECT_REFUSED, 0, endpoint_id)
            self.handle_event(entry, event)
        elif host.registration.endpoint_id != endpoint_id:
            reason = Reason.ENDPOINT_DRAINING
            event = AttemptRefused(attempt_id, reason, 0, endpoint_id, True)
            self.handle_event(entry, event)
        else:
            fingerprint = request.spec.fingerprint
            run = Run(entry, attempt_id, fingerprint, endpoint_id)
            host.runs.append(run)
            self._count_poison_run(run)
            if self.random.random() < self.error_share:
                self.call_later(CRASH_AFTER_MS, self._finish_run, host, run, 500)
            elif fingerprint == POISON:
                self.call_later(CRASH_AFTER_MS, self._crash_by_run, host, run)
            else:
                self.call_later(
                    self.random.randint(20, 400), self._finish_run, host, run
                )

    def _count_poison_run(self, run):
        """Count a poison run, and a late one if its entry should have blocked it.

        A run is late when it starts more than ``MIN_CONTACT_MS`` after the third crash,
        at an entry that has been in contact with the store.
        """
        if run.fingerprint != POISON:
            return
        self.n_runs += 1
        n_crashed = len(self.crash_times_ms)
        if n_crashed < N_TO_BLOCK:
            return
        is_late = self.now_ms > self.crash_times_ms[N_TO_BLOCK - 1] + MIN_CONTACT_MS
        self.n_late_runs += is_late and self.is_in_contact(run.entry)

    def _crash_by_run(self, host, run):
        """Crash the endpoint at a host if the poison run still runs there."""
        if run in host.runs:
            self.crash_times_ms.append(self.now_ms)
            self.crash_endpoint(host)

    def _finish_run(self, host, run, status=200):
        """Answer a run if it still runs at a host."""
        if run not in host.runs:
            return
        host.runs.remove(run)
        is_error = status >= 400
        if not is_error:
            self.completed_fingerprints.append(run.fingerprint)
        attempt_id, endpoint_id = run.attempt_id, run.endpoint_id
        self.handle_event(run.entry, AttemptStarted(attempt_id, endpoint_id, is_error))
        event = AttemptFinished(attempt_id, status, 1, Usage(), endpoint_id)
        self.handle_event(run.entry, event)

    def _break_run(self, host, run):
        """Break a run if it still runs at a host."""
        if run in host.runs:
            host.runs.remove(run)
            self._report_broken(run)

    def _report_broken(self, run):
        """Report the lost connection of a run to its entry."""
        event = AttemptBroken(
            run.attempt_id, Reason.CONNECTION_LOST, 0, False, run.endpoint_id
        )
        self.handle_event(run.entry, event)
