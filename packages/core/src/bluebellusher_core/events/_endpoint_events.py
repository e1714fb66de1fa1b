"""Events about endpoints."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """Description of an endpoint from its agent's handshake or its registration.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint instance.
    failure_domain : str
        Failure domain that the endpoint runs in.
    services : frozenset of str
        Services that the endpoint offers.
    models : frozenset of str
        Models that are loaded; empty for a plain service.
    adapters : frozenset of str
        Adapters that are loaded.
    n_slots : int
        Upper bound of the requests that the engine runs in one batch.
    incarnation : int
        Number of the start of the agent or endpoint, which grows with each start; a
        higher one proves a restart.
    is_draining : bool
        Whether the endpoint was already draining when it connected or registered.
    """

    endpoint_id: str
    failure_domain: str
    services: frozenset[str]
    models: frozenset[str]
    adapters: frozenset[str]
    n_slots: int
    incarnation: int = 0
    is_draining: bool = False


@dataclass(frozen=True, slots=True)
class EndpointConnected:
    """A connection to an agent was opened and authenticated."""

    endpoint: EndpointInfo


@dataclass(frozen=True, slots=True)
class EndpointRegistered:
    """An endpoint without an agent registered, or renewed its registration.

    The attempts in flight on the endpoint continue unless ``endpoint.incarnation`` has
    changed.

    Parameters
    ----------
    endpoint : EndpointInfo
        The endpoint.
    age_ms : int
        Time since the endpoint started, in ms; 0 when it is unknown.
    claimed_id : str
        Endpoint that started earlier and has registered the same address; empty for
        none. Any program can write a registration, so that only an answer shows which
        of the two runs there.
    """

    endpoint: EndpointInfo
    age_ms: int = 0
    claimed_id: str = ""


@dataclass(frozen=True, slots=True)
class EndpointConfirmed:
    """The store kept the registration of an endpoint whose address is contested.

    It removes the registration of an endpoint that sends no heartbeats.
    """

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class EndpointProgressed:
    """A started attempt on an endpoint produced more output.

    Relays post it a few times a second for each endpoint. ``gap_ms`` is the time since
    the previous output of the same attempt, in ms.
    """

    endpoint_id: str
    gap_ms: int


@dataclass(frozen=True, slots=True)
class SilentReceived:
    """A peer told which ranks send it nothing; ``source`` names the peer."""

    source: str
    endpoint_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EndpointChecked:
    """Result of a ``CheckEndpoint`` effect.

    ``is_listening`` is True when the address accepts connections, False when its port
    is closed, and None when it did not answer. The cause of the latter may be a cut
    link as well as a machine without power.
    """

    endpoint_id: str
    is_listening: bool | None


@dataclass(frozen=True, slots=True)
class EndpointLost:
    """The connection to an agent closed, or was unresponsive past its timeout.

    The runtime first sends ``AttemptBroken`` with reason ``ENDPOINT_LOST`` for each
    attempt of the connection, because only the relay has counted the bytes that each
    caller received. An attempt without such an event counts as not resumable.
    """

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class EndpointDraining:
    """An endpoint began to drain and starts no new work."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class EndpointCrashed:
    """An agent reported that its engine crashed.

    Parameters
    ----------
    endpoint_id : str
        The endpoint whose engine crashed.
    fingerprints : tuple of str
        Fingerprints of the requests that were running, from any entry.
    attempt_ids : tuple of str
        Attempts that were running.
    isolated_fingerprint : str or None
        Fingerprint of the isolated run during which the engine crashed, if any.
    """

    endpoint_id: str
    fingerprints: tuple[str, ...]
    attempt_ids: tuple[str, ...]
    isolated_fingerprint: str | None = None


@dataclass(frozen=True, slots=True)
class EndpointAnnounced:
    """An endpoint announced its shutdown or asked for a pause in an answer.

    Parameters
    ----------
    endpoint_id : str
        The endpoint that answered.
    incarnation : int
        Last known incarnation of the endpoint.
    is_leaving : bool
        Whether the endpoint announced its shutdown.
    pause_ms : int
        Time in which this entry should send no work, in ms; 0 for none.
    """

    endpoint_id: str
    incarnation: int
    is_leaving: bool = False
    pause_ms: int = 0


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """Announcement of one start of an endpoint that it shuts down.

    ``age_ms`` is the time since the announcement, in ms.
    """

    endpoint_id: str
    incarnation: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class LeavingReceived:
    """A peer announced which endpoints are leaving; ``source`` names the peer."""

    source: str
    marks: tuple[LeavingMark, ...]


@dataclass(frozen=True, slots=True)
class EndpointLimited:
    """An answer of an endpoint named a limit of its request rate, or no limit any more.

    Parameters
    ----------
    endpoint_id : str
        The endpoint that answered.
    incarnation : int
        Last known incarnation of the endpoint.
    requests_per_s : float or None
        Requests that the endpoint takes from all entries together, per second; None
        when the answer names no limit.
    sent_at_ms : int
        Monotonic time at which the answered attempt was sent, in ms.
    """

    endpoint_id: str
    incarnation: int
    requests_per_s: float | None
    sent_at_ms: int


@dataclass(frozen=True, slots=True)
class LimitMark:
    """Limit that one start of an endpoint named in an answer.

    ``requests_per_s`` is None when the answer ended the limit. ``age_ms`` is the time
    since the answer, in ms.
    """

    endpoint_id: str
    incarnation: int
    requests_per_s: float | None
    age_ms: int


@dataclass(frozen=True, slots=True)
class LimitsReceived:
    """A peer told which limits endpoints have named; ``source`` names the peer."""

    source: str
    marks: tuple[LimitMark, ...]


class WarmUpSource(StrEnum):
    """What a ``WarmUpMark`` comes from.

    ``FIRST`` is the first registration of a start, or the first one after it was
    missing; it may have been written long before. ``RENEWAL`` is a later one.
    ``ANSWER`` is the header of an answer, which states only ``remaining_ms``.
    ``CONFIGURATION`` is a changed rate of the service.
    """

    FIRST = "first"
    RENEWAL = "renewal"
    ANSWER = "answer"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class WarmUpMark:
    """What a registration states about the warm-up of one start of an endpoint.

    Parameters
    ----------
    endpoint_id : str
        The endpoint.
    incarnation : int
        Its start.
    requests_per_s : float
        Requests that the endpoint takes from all entries together while it is cold, per
        second; 0 when its service states no rate.
    duration_ms : int
        Time for which an endpoint of the service is cold after its start, in ms.
    remaining_ms : int
        Time for which the endpoint stays cold, in ms, when the registration was
        written.
    source : WarmUpSource
        Whether the mark shows that the endpoint is warm.
    """

    endpoint_id: str
    incarnation: int
    requests_per_s: float
    duration_ms: int
    remaining_ms: int
    source: WarmUpSource


@dataclass(frozen=True, slots=True)
class WarmUpsReported:
    """Registrations of endpoints whose service states a rate for cold ones arrived.

    An event without marks only reports endpoints that became warm or unknown by time.
    ``table_read_at_ms`` is the monotonic time, in ms, of the store's last answer with
    all changes of registrations; None when it is not known.
    """

    marks: tuple[WarmUpMark, ...] = ()
    table_read_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report of an endpoint arrived.

    Parameters
    ----------
    endpoint_id : str
        The endpoint that reports.
    sequence : int
        Number that grows with each report of the endpoint. A report with a lower number
        is late and is ignored.
    n_running : int
        Number of requests in the batch when the report was made.
    n_queued : int
        Number of requests that wait in the engine.
    n_queued_tokens : int
        Number of prompt tokens that wait for their prefill.
    n_slots : int
        Upper bound of requests in the batch.
    kv_use : float
        Share of KV memory in use, from 0 to 1.
    models, adapters : frozenset of str
        Models and adapters that are loaded.
    age_ms : int
        Age of the report's values when it was received, in ms.
    is_open : bool
        Whether the endpoint can run requests now; a rank of a broken group cannot.
    group_id : str
        Group of ranks that the endpoint belongs to; empty for none.
    epoch, step : int
        Number of the group's formation, which grows each time the group is formed, and
        number of the last pass that the group began in this epoch.
    pace : float
        Time that the endpoint needs for its work, as a multiple of the usual time.
    """

    endpoint_id: str
    sequence: int
    n_running: int
    n_queued: int
    n_queued_tokens: int
    n_slots: int
    kv_use: float
    models: frozenset[str]
    adapters: frozenset[str]
    age_ms: int
    is_open: bool = True
    group_id: str = ""
    epoch: int = 0
    step: int = 0
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class CacheReported:
    """An endpoint reported prefix blocks that its cache added or removed.

    ``has_gap`` states that earlier reports were lost.
    """

    endpoint_id: str
    added: tuple[int, ...]
    removed: tuple[int, ...]
    has_gap: bool
