"""Digests and announcements that entries exchange."""

from collections.abc import Callable, Iterable
from math import inf
from typing import Any

from bluebellusher.links import EventSink, PeerLinks
from bluebellusher_core.clock import Clock
from bluebellusher_core.events import (
    CrashesReceived,
    DigestReceived,
    EndedReceived,
    LeavingMark,
    LeavingReceived,
    LimitMark,
    LimitsReceived,
    SilentReceived,
)
from bluebellusher_core.poison import Crash, CrashRecord
from bluebellusher_core.retry import EndedRequest
from bluebellusher_core.wire import messages

# Interval at which an unchanged digest is sent, in ms.
DIGEST_INTERVAL_MS = 2_000
# Interval at which crashes, leaving endpoints and limits are announced again, in ms.
# They are first announced immediately. The repeats reach entries that were disconnected
# from the announcing entry at that time.
REPEAT_INTERVAL_MS = 10_000
# Age up to which a crash, a leaving endpoint or a limit is announced again, in ms.
# Bytes between failure domains are billed. Single crashes, which mostly occur while
# harmless requests run, are therefore repeated for this time only, and not until they
# expire.
MAX_REPEAT_AGE_MS = 30_000
# Number of crashes from which a record is repeated regardless of its age.
N_CRASHES_TO_REPEAT = 2
# Upper bound of the crash records, of the leaving endpoints, and of the limits that are
# read from one digest.
N_MAX_RECEIVED = 1_000
# Upper bound of the ended requests that are read from one digest.
N_MAX_ENDED = 10_000
# Upper bound of the crashes that are read from one record of a peer. Restarts of
# endpoints cannot produce as many crashes of one request.
N_MAX_CRASHES_PER_RECORD = 100
MessageHandler = Callable[[str, Any], None]


class PeerExchange:
    """Exchange digests with peers, and pass their other messages to handlers.

    A digest contains the state of an entry. An announcement is a digest that also
    contains crash records, leaving endpoints or limits.

    Parameters
    ----------
    sink : EventSink
        Receives ``DigestReceived``, ``CrashesReceived``, ``LeavingReceived``,
        ``LimitsReceived``, ``EndedReceived`` and ``SilentReceived``.
    clock : Clock
        Clock of the arrival times of digests.
    make_digest : callable
        Returns the current ``Digest`` message.
    find_crashes : callable
        Returns the current crash records. Entries that use agents have none, because
        agents report crashes themselves.
    find_leaving : callable
        Returns the endpoints that have announced their shutdown.
    failure_domain : str
        Failure domain of this entry. Only its entries are told of ended requests,
        because callers retry within their own failure domain while an entry serves it.
    find_limits : callable
        Returns the limits that endpoints have named.
    find_members : callable
        Returns the ids of all entries, for peers that have connected and cannot read
        them from the store.
    """

    def __init__(
        self,
        sink: EventSink,
        clock: Clock,
        make_digest: Callable[[], Any],
        find_crashes: Callable[[], tuple[CrashRecord, ...]] = tuple,
        find_leaving: Callable[[], tuple[LeavingMark, ...]] = tuple,
        failure_domain: str = "",
        find_limits: Callable[[], tuple[LimitMark, ...]] = tuple,
        find_members: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.links: PeerLinks | None = None
        self.digest_at_ms_by_peer_id: dict[str, int] = {}
        self.config_version_by_peer_id: dict[str, int] = {}
        self._sink = sink
        self._clock = clock
        self._make_digest = make_digest
        self._handler_by_type: dict[type, MessageHandler] = {}
        self._find_crashes = find_crashes
        self._find_leaving = find_leaving
        self._find_limits = find_limits
        self._find_members = find_members
        self._failure_domain = failure_domain
        self._domain_peer_ids: set[str] = set()
        self._sent_digest: Any = None
        self._sent_at_ms = 0
        self._repeated_at_ms = 0

    @property
    def domain_peer_ids(self) -> frozenset[str]:
        """Ids of the connected peers in the failure domain of this entry."""
        return frozenset(self._domain_peer_ids)

    def register(self, message_type: type, handler: MessageHandler) -> None:
        """Call ``handler(peer_id, message)`` for each message of a type."""
        self._handler_by_type[message_type] = handler

    def on_peer_open(self, peer_id: str, hello: Any) -> None:
        """Send a peer that has connected all crashes, leaving endpoints and limits."""
        if hello.failure_domain == self._failure_domain:
            self._domain_peer_ids.add(peer_id)
        if self.links is not None:
            self.links.send(peer_id, self._make_full_digest())

    def _make_full_digest(self) -> Any:
        """Return a digest with all crash records, leaving endpoints and limits."""
        digest = self._make_digest()
        digest.crashes = _to_crash_messages(self._find_crashes())
        digest.leaving = _to_leaving_messages(self._find_leaving())
        digest.limits = _to_limit_messages(self._find_limits())
        member_ids = sorted(self._find_members())
        if member_ids:
            digest.members = [messages.Member(instance_id=i) for i in member_ids]
        return digest

    def broadcast_crashes(self, records: Iterable[CrashRecord]) -> None:
        """Broadcast crash records to all peers."""
        digest = self._make_digest()
        digest.crashes = _to_crash_messages(records)
        self._broadcast_announcement(digest)

    def broadcast_leaving(self, marks: Iterable[LeavingMark]) -> None:
        """Broadcast leaving endpoints to all peers."""
        digest = self._make_digest()
        digest.leaving = _to_leaving_messages(marks)
        self._broadcast_announcement(digest)

    def broadcast_limits(self, marks: Iterable[LimitMark]) -> None:
        """Broadcast limits of endpoints to all peers."""
        digest = self._make_digest()
        digest.limits = _to_limit_messages(marks)
        self._broadcast_announcement(digest)

    def broadcast_ended(self, requests: Iterable[EndedRequest]) -> None:
        """Tell the peers of the own failure domain which requests ended unanswered."""
        digest = self._make_digest()
        digest.ended = [
            messages.EndedRequest(
                fingerprint=ended.fingerprint,
                remaining_ms=ended.remaining_ms,
                age_ms=ended.age_ms,
            )
            for ended in requests
        ]
        for peer_id in self._domain_peer_ids:
            if self.links is not None:
                self.links.send(peer_id, digest)

    def broadcast_silent(self, endpoint_ids: Iterable[str]) -> None:
        """Tell all peers which ranks send nothing while their group advances."""
        digest = self._make_digest()
        digest.silent_endpoint_ids = list(endpoint_ids)
        if self.links is not None:
            self.links.broadcast(digest)

    def _repeat_announcements(self) -> None:
        """Broadcast recent announcements again for entries that were disconnected."""
        digest = self._make_digest()
        records = filter(_should_repeat, self._find_crashes())
        marks = (m for m in self._find_leaving() if m.age_ms < MAX_REPEAT_AGE_MS)
        digest.crashes, digest.leaving = (
            _to_crash_messages(records),
            _to_leaving_messages(marks),
        )
        digest.limits = _to_limit_messages(
            m for m in self._find_limits() if m.age_ms < MAX_REPEAT_AGE_MS
        )
        self._broadcast_announcement(digest)

    def _broadcast_announcement(self, digest: Any) -> None:
        """Broadcast a digest that contains crashes, leaving endpoints or limits."""
        is_announcement = digest.crashes or digest.leaving or digest.limits
        if self.links is not None and is_announcement:
            self.links.broadcast(digest)

    def on_peer_message(self, peer_id: str, message: Any) -> None:
        """Post the events of a digest, and call the handler of the message's type."""
        if isinstance(message, messages.Digest):
            self._receive_digest(peer_id, message)
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(peer_id, message)

    def on_peer_lost(self, peer_id: str) -> None:
        """Keep the last digest of the peer; the status page shows its age."""
        self._domain_peer_ids.discard(peer_id)

    def tick(self, now_ms: int) -> None:
        """Broadcast a digest when it has changed or is due, and repeat announcements.

        Parameters
        ----------
        now_ms : int
            Monotonic time, in ms.
        """
        digest = self._make_digest()
        is_due = now_ms - self._sent_at_ms >= DIGEST_INTERVAL_MS
        if self.links is not None and (is_due or digest != self._sent_digest):
            self._sent_digest, self._sent_at_ms = digest, now_ms
            self.links.broadcast(digest)
        if now_ms - self._repeated_at_ms >= REPEAT_INTERVAL_MS:
            self._repeated_at_ms = now_ms
            self._repeat_announcements()

    def _receive_digest(self, peer_id: str, digest: Any) -> None:
        """Record the state of a peer and post the events of its digest.

        Negative ages are read as 0, and lists are limited in length, because the
        values come from another process.
        """
        self.digest_at_ms_by_peer_id[peer_id] = self._clock.now_ms()
        version = digest.config_version or 0
        self.config_version_by_peer_id[peer_id] = version
        event = DigestReceived(
            peer_id,
            version,
            tuple(digest.blocked_fingerprints or ()),
            tuple(digest.suspect_fingerprints or ()),
        )
        self._sink.post(event)
        if digest.crashes:
            records = _read_crash_records(digest.crashes)
            self._sink.post(CrashesReceived(peer_id, records))
        if digest.leaving:
            marks = tuple(
                LeavingMark(
                    mark.endpoint_id or "",
                    mark.incarnation or 0,
                    max(0, mark.age_ms or 0),
                )
                for mark in digest.leaving[:N_MAX_RECEIVED]
            )
            self._sink.post(LeavingReceived(peer_id, marks))
        if digest.limits:
            limits = _read_limits(digest.limits[:N_MAX_RECEIVED])
            self._sink.post(LimitsReceived(peer_id, limits))
        if digest.silent_endpoint_ids:
            endpoint_ids = tuple(digest.silent_endpoint_ids[:N_MAX_RECEIVED])
            self._sink.post(SilentReceived(peer_id, endpoint_ids))
        if digest.ended:
            requests = tuple(
                EndedRequest(
                    ended.fingerprint or "",
                    ended.remaining_ms or 0,
                    max(0, ended.age_ms or 0),
                )
                for ended in digest.ended[:N_MAX_ENDED]
            )
            self._sink.post(EndedReceived(peer_id, requests))


def _to_leaving_messages(marks: Iterable[LeavingMark]) -> list[Any]:
    return [
        messages.LeavingMark(
            endpoint_id=mark.endpoint_id,
            incarnation=mark.incarnation,
            age_ms=mark.age_ms,
        )
        for mark in marks
    ]


def _to_limit_messages(marks: Iterable[LimitMark]) -> list[Any]:
    return [
        messages.LimitMark(
            endpoint_id=mark.endpoint_id,
            incarnation=mark.incarnation,
            requests_per_s=mark.requests_per_s,
            age_ms=mark.age_ms,
        )
        for mark in marks
    ]


def _read_limits(limit_messages: Iterable[Any]) -> tuple[LimitMark, ...]:
    """Return the limits of a digest, without those that are not a valid number."""
    return tuple(
        LimitMark(
            mark.endpoint_id or "",
            mark.incarnation or 0,
            mark.requests_per_s,
            max(0, mark.age_ms or 0),
        )
        for mark in limit_messages
        if mark.requests_per_s is None or 0 <= mark.requests_per_s < inf
    )


def _should_repeat(record: CrashRecord) -> bool:
    """Return whether a record has a recent crash or several crashes."""
    is_new = any(crash.age_ms < MAX_REPEAT_AGE_MS for crash in record.crashes)
    return is_new or len(record.crashes) >= N_CRASHES_TO_REPEAT


def _to_crash_messages(records: Iterable[CrashRecord]) -> list[Any]:
    return [
        messages.CrashRecord(
            fingerprint=record.fingerprint,
            crashes=[
                messages.Crash(
                    start_id=crash.start_id,
                    sent_age_ms=crash.sent_age_ms,
                    age_ms=crash.age_ms,
                )
                for crash in record.crashes
            ],
            sound_age_ms=record.sound_age_ms,
        )
        for record in records
    ]


def _read_crash_records(record_messages: Iterable[Any]) -> tuple[CrashRecord, ...]:
    """Return the crash records of a digest, within the limits of their number."""
    return tuple(
        CrashRecord(
            fingerprint=record.fingerprint or "",
            crashes=tuple(
                Crash(
                    crash.start_id or "",
                    max(0, crash.sent_age_ms or 0),
                    max(0, crash.age_ms or 0),
                )
                for crash in (record.crashes or ())[:N_MAX_CRASHES_PER_RECORD]
            ),
            sound_age_ms=record.sound_age_ms,
        )
        for record in list(record_messages)[:N_MAX_RECEIVED]
    )
