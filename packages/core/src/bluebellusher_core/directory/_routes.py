"""Routes, services and customers of one configuration version."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """Kind of the requests of a route: whether they may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class GroupModel:
    """Sizes of a group of ranks that run in lock-step on one expert map.

    Parameters
    ----------
    n_layers, n_experts : int
        Number of layers that have a placement of their own, and of experts in each.
    n_slots : int
        Number of experts of each layer that a rank can hold.
    n_max_new : int
        Number of experts of each layer that one new map may add to a rank.
    n_expert_bytes : int
        Size of the weights of one expert of one layer, in bytes.
    load_ms : float
        Time in which a rank loads one expert of one layer, in ms.
    expert_share : float
        Share of the work for a token that experts do, 0 to 1.
    """

    n_layers: int
    n_experts: int
    n_slots: int
    n_max_new: int
    n_expert_bytes: int
    load_ms: float
    expert_share: float


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Capacity and speed of an engine, as configured for its service.

    A decoding request is one whose prompt has been read and whose answer is being
    generated.

    Parameters
    ----------
    n_slots : int
        Number of requests that a pass batches.
    n_kv_tokens : int
        Capacity of the KV cache for prompts and answers, in tokens.
    n_steps_per_pass : int
        Number of token steps of a pass with at least one decoding request.
    step_ms, sequence_ms : float
        Duration of a step, and the time that each decoding request adds to it, in ms.
    context_ms_per_1000 : float
        Time that 1,000 tokens of context of a decoding request add to a step, in ms.
    prefill_tokens_per_ms : float
        Prefill speed, in prompt tokens per ms.
    n_chunk_tokens : int
        Largest number of prompt tokens that one step reads.
    n_usual_prompt_tokens, n_usual_answer_tokens : float
        Mean numbers of tokens over the requests of the service.
    report_lag_ms : float
        Age of the values in a load report, in ms.
    group : GroupModel or None
        Sizes of the group when the engines are ranks of groups.
    """

    n_slots: int
    n_kv_tokens: int
    n_steps_per_pass: int
    step_ms: float
    sequence_ms: float
    context_ms_per_1000: float
    prefill_tokens_per_ms: float
    n_chunk_tokens: int
    n_usual_prompt_tokens: float
    n_usual_answer_tokens: float
    report_lag_ms: float
    group: GroupModel | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the model of its engines; ``engine`` is None for a plain one.

    An endpoint that has just started takes ``warm_up_requests_per_s`` requests per
    second from all entries together for ``warm_up_ms``. A rate of 0 states no limit.
    """

    service_id: str
    n_max_connections: int
    engine: EngineModel | None = None
    warm_up_ms: int = 0
    warm_up_requests_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for requests of one host and path prefix.

    Parameters
    ----------
    route_id : str
        Name of the route.
    host, path_prefix : str
        Host and path prefix of its requests; the prefix begins and ends with a slash.
    kind : RequestKind
        Whether requests may run more than once.
    timeout_ms : int
        Longest time from a request to the end of its answer, in ms.
    objective_ms : int
        Latency objective: longest time to the first byte of an answer, in ms.
    max_gap_ms : int
        Latency objective: longest gap within a stream, in ms; 0 without streams.
    priority : int
        Priority of the route; 0 is the highest.
    n_max_attempts : int
        Number of endpoints that may run one request.
    weight_by_service : Mapping of str to int
        Relative shares of the services that serve the route.
    is_anonymous : bool
        Whether requests need no credential.
    is_resumable : bool
        Whether another endpoint may resume a stream after its last event.
    """

    route_id: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: int
    objective_ms: int
    max_gap_ms: int
    priority: int
    n_max_attempts: int
    weight_by_service: Mapping[str, int]
    is_anonymous: bool = False
    is_resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable

    def choose_service(self, draw: float) -> str:
        """Return the service for ``draw``, a number uniformly drawn from [0, 1)."""
        remaining = draw * sum(self.weight_by_service.values())
        chosen = ""
        for service_id, weight in self.weight_by_service.items():
            chosen = service_id
            remaining -= weight
            if remaining < 0:
                break
        return chosen


@dataclass(frozen=True, slots=True)
class GapObjective:
    """Engine of a service and the longest gap between events that its routes allow."""

    engine: EngineModel
    max_gap_ms: int


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer; its ``priority`` overrides that of the route, 0 is the highest."""

    customer_id: str
    credentials: tuple[str, ...] = field(repr=False)
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests from callers; sizes are in bytes, times in milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """Routes, services, customers and limits of one configuration version.

    Parameters
    ----------
    version : int
        Number of the configuration version; it grows with each change.
    routes_by_host : Mapping of str to tuple of Route
        Routes of each host, longest prefix first.
    service_by_id : Mapping of str to Service
        All services.
    customer_by_credential : Mapping of str to Customer
        Customers by each of their credentials.
    needs_credential : bool
        Whether the configuration has customers, so that requests need a credential.
    limits : CallerLimits
        Limits on requests from callers.
    named_service_ids : frozenset of str
        Ids of all services, and of those that only routes name.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_id: Mapping[str, Service]
    customer_by_credential: Mapping[str, Customer] = field(repr=False)
    needs_credential: bool
    limits: CallerLimits = CallerLimits()
    named_service_ids: frozenset[str] = frozenset()

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        customers: Iterable[Customer] | None,
        limits: CallerLimits | None = None,
    ) -> "RoutingTable":
        """Return a table of the given parts.

        ``customers`` is None when the configuration does not use credentials.

        Examples
        --------
        >>> route = Route("r", "a.example", "/x/", RequestKind.IDEMPOTENT, 800, 400,
        ...               0, 1, 2, {"desk": 1})
        >>> table = RoutingTable.from_parts(3, [route], [], None)
        >>> table.match("a.example", "/x/y").route_id
        'r'
        """
        routes_by_host: dict[str, list[Route]] = {}
        service_by_id = {service.service_id: service for service in services}
        named_service_ids = set(service_by_id)
        for route in routes:
            routes_by_host.setdefault(route.host, []).append(route)
            named_service_ids.update(route.weight_by_service)
        return cls(
            version=version,
            routes_by_host={
                host: tuple(sorted(found, key=lambda r: -len(r.path_prefix)))
                for host, found in routes_by_host.items()
            },
            service_by_id=service_by_id,
            customer_by_credential={
                credential: customer
                for customer in customers or ()
                for credential in customer.credentials
            },
            needs_credential=customers is not None,
            limits=limits or CallerLimits(),
            named_service_ids=frozenset(named_service_ids),
        )

    def find_gap_objectives(self) -> dict[str, GapObjective]:
        """Return the objectives of the services whose capacity priorities compete for.

        These are the services with an engine to which routes of at least two
        priorities lead that allow a longest gap. The shortest of these gaps counts.
        """
        priorities: dict[str, set[int]] = {}
        max_gap_ms: dict[str, int] = {}
        for routes in self.routes_by_host.values():
            for route in routes:
                if route.max_gap_ms <= 0:
                    continue
                for service_id in route.weight_by_service:
                    priorities.setdefault(service_id, set()).add(route.priority)
                    shortest_ms = max_gap_ms.get(service_id, route.max_gap_ms)
                    max_gap_ms[service_id] = min(shortest_ms, route.max_gap_ms)
        objectives = {}
        for service_id, found in priorities.items():
            service = self.service_by_id.get(service_id)
            if len(found) > 1 and service is not None and service.engine is not None:
                objective = GapObjective(service.engine, max_gap_ms[service_id])
                objectives[service_id] = objective
        return objectives

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or ``None``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
