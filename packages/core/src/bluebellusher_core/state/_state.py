"""State of one entry."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol, runtime_checkable

from bluebellusher_core.admission import AdmissionQueue, FifoQueue
from bluebellusher_core.claims import ClaimTable
from bluebellusher_core.events import RequestSpec
from bluebellusher_core.membership import (
    ActiveEntries,
    Announcements,
    Endpoints,
    EvacuatedDomains,
    Pool,
    RequestLimits,
    RunningLimits,
    WarmUpBounds,
    WarmUps,
)
from bluebellusher_core.poison import CrashCounter, PartBlocks, PoisonTable
from bluebellusher_core.requests import Attempt, Request
from bluebellusher_core.retry import EndedRequests, RetryBudget
from bluebellusher_core.routing import EndpointView, LeastInFlight, RoutingPolicy
from bluebellusher_core.state._config import EntryConfig


@runtime_checkable
class Predictor(Protocol):
    """A policy whose predictions the tracker compares with observed times."""

    def predict_normal_ms(
        self, request: RequestSpec, view: EndpointView, now_ms: int
    ) -> float:
        """Return the time to first token on an endpoint of normal speed, in ms."""


@dataclass(slots=True)
class EntryState:
    """State from which one entry makes its decisions; only ``reduce`` changes it.

    Parameters
    ----------
    config : EntryConfig
        Settings of the entry's decisions.
    random_state : random.Random
        Random number generator.
    policy : RoutingPolicy
        Policy that chooses an endpoint for each request.
    predictor : Predictor or None
        The policy, if it predicts times; otherwise None.
    make_queue : callable
        Factory of empty admission queues; each pool has its own queue, so that a
        service without free capacity does not delay the others.
    endpoints : Endpoints
        Connected endpoints.
    retry_budget : RetryBudget
        Tokens for retries and hedges.
    ended_requests : EndedRequests
        Requests that ended unanswered here or at a peer, whose callers may retry.
    claims : ClaimTable
        Claim writes that are unsent or in flight.
    poison : PoisonTable
        Suspect, blocked and held fingerprints.
    crashes : CrashCounter
        Crashes by fingerprint and by prompt part, where endpoints have no agent that
        reports them.
    part_blocks : PartBlocks
        Prompt parts that are blocked because of their crashes.
    check_started_at_ms : dict of str to int
        Monotonic start time of the address check in progress, by endpoint id.
    next_check_at_ms : dict of str to int
        Monotonic time of the pending repeated address check, by endpoint id.
    request_by_id, attempt_by_id : dict
        Requests without a final answer (or detached), and attempts in flight.
    ended_attempts : OrderedDict of str to str
        Endpoint id of each recently ended attempt, by attempt id. It distinguishes late
        events from events that name an attempt of another endpoint.
    queue_by_pool, service_ms_by_pool, unserved_since_ms : dict
        By pool: the queue of waiting requests, the smoothed service time in ms, and the
        monotonic time since which waiting requests have had no endpoint.
    waiting_pools : set of Pool
        Pools whose queue is not empty.
    isolate_at_ms : dict of str to int
        Earliest monotonic time of the next isolated attempt of each waiting suspect, by
        request id.
    weight_by_customer : dict of str to float
        Weights of the customers in the admission queues.
    config_version : int
        Version of the configuration that the weights come from.
    wake_at_ms : int
        Monotonic time of the earliest pending ``wake`` timer; 0 for none.
    next_placement_ms : int
        Monotonic time of the next placement of waiting requests. It is set to 0 by each
        event after which a waiting request may be placed, so that other events do not
        scan long queues.
    n_attempts_made : int
        Number of attempts made so far, from which attempt ids are formed.
    n_entries : int
        Number of entries that share the endpoints, including this one.
    member_ids : frozenset of str
        Ids of all entries of the deployment, reachable or not.
    is_shutting_down : bool
        Whether new requests are rejected because the entry shuts down.
    answer_by_ms : int or None
        Monotonic time, in ms, by which an entry that shuts down answers all requests;
        None until callers have been directed to other entries.
    """

    config: EntryConfig
    random_state: Random
    policy: RoutingPolicy
    predictor: Predictor | None
    make_queue: Callable[[], AdmissionQueue]
    endpoints: Endpoints
    retry_budget: RetryBudget
    claims: ClaimTable
    ended_requests: EndedRequests = field(default_factory=EndedRequests)
    poison: PoisonTable = field(default_factory=PoisonTable)
    crashes: CrashCounter = field(default_factory=CrashCounter)
    part_blocks: PartBlocks = field(init=False)
    check_started_at_ms: dict[str, int] = field(default_factory=dict)
    next_check_at_ms: dict[str, int] = field(default_factory=dict)
    request_by_id: dict[str, Request] = field(default_factory=dict)
    attempt_by_id: dict[str, Attempt] = field(default_factory=dict)
    ended_attempts: OrderedDict[str, str] = field(default_factory=OrderedDict)
    queue_by_pool: dict[Pool, AdmissionQueue] = field(default_factory=dict)
    service_ms_by_pool: dict[Pool, float] = field(default_factory=dict)
    waiting_pools: set[Pool] = field(default_factory=set)
    unserved_since_ms: dict[Pool, int] = field(default_factory=dict)
    isolate_at_ms: dict[str, int] = field(default_factory=dict)
    weight_by_customer: dict[str, float] = field(default_factory=dict)
    config_version: int = 0
    wake_at_ms: int = 0
    next_placement_ms: int = 0
    n_attempts_made: int = 0
    n_entries: int = 1
    member_ids: frozenset[str] = frozenset()
    is_shutting_down: bool = False
    answer_by_ms: int | None = None

    def __post_init__(self) -> None:
        """Derive the blocked parts from the counted crashes."""
        self.part_blocks = PartBlocks(self.crashes)

    @classmethod
    def from_config(
        cls,
        config: EntryConfig,
        policy: RoutingPolicy | None = None,
        make_queue: Callable[[], AdmissionQueue] = FifoQueue,
    ) -> "EntryState":
        """Return the initial state of an entry.

        Examples
        --------
        >>> state = EntryState.from_config(EntryConfig(entry_id="entry-1"))
        >>> len(state.request_by_id)
        0
        """
        policy = policy or LeastInFlight()
        entries = ActiveEntries(config.entry_id)
        bounds = WarmUpBounds(config.warm_up_overage, config.warm_up_tolerance)
        return cls(
            config=config,
            random_state=Random(config.seed),
            policy=policy,
            predictor=policy if isinstance(policy, Predictor) else None,
            make_queue=make_queue,
            endpoints=Endpoints(
                config.n_max_endpoints,
                config.queue_factor,
                Announcements(config.max_pause_ms),
                RequestLimits(entries, WarmUps(entries, bounds)),
                RunningLimits(entries, config.failure_domain),
                evacuated=EvacuatedDomains(entries),
            ),
            retry_budget=RetryBudget(config.n_min_retries, config.retry_percent),
            claims=ClaimTable(f"{config.entry_id}.{config.incarnation}"),
        )

    @property
    def is_idle(self) -> bool:
        """Whether the entry may exit: no request in progress and no claim to write."""
        return not self.request_by_id and self.claims.is_idle

    def digest(self, now_ms: int) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the blocked and the suspect fingerprints to send to peers."""
        return self.poison.digest(now_ms)
