"""Routes, services and customers of one configuration version."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class GroupModel:
    """Sizes of a group of ranks that run in lock-step on one expert map.

    Parameters
    ----------
    n_layers, n_experts : int
        Layers with a placement of their own, and experts of each.
    n_slots : int
        Experts that a rank can hold of each layer.
    n_max_new : int
        Experts of a layer that one new map may add to a rank.
    n_expert_bytes : int
        Weights of one expert of one layer.
    load_ms : float
        Time in which a rank copies one expert of one layer.
    expert_share : float
        Share of the token work that goes to experts, 0 to 1.
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
    """How long an engine takes, as its service states it.

    Parameters
    ----------
    n_slots : int
        Requests that a pass batches.
    n_kv_tokens : int
        Memory for prompts and answers, in tokens.
    n_steps_per_pass : int
        Token steps that a pass with at least one writer executes.
    step_ms, sequence_ms : float
        Duration of a step, and what each writing request adds to it.
    context_ms_per_1000 : float
        What 1,000 tokens of context of a writing request add to a step.
    prefill_tokens_per_ms : float
        Speed of reading prompts.
    n_chunk_tokens : int
        Prompt tokens that one step reads at most.
    n_usual_prompt_tokens, n_usual_answer_tokens : float
        Means over the requests of the service.
    report_lag_ms : float
        Age of the values in a report.
    group : GroupModel or None
        Set when the engines are ranks of groups.
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
    """A service and how its endpoints behave; ``engine`` is None for a plain one."""

    service_id: str
    n_max_connections: int
    engine: EngineModel | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Parameters
    ----------
    route_id, host, path_prefix : str
        Name and what selects the route; the prefix begins and ends with a slash.
    kind : RequestKind
        What may be repeated.
    timeout_ms : int
        Longest time that a caller may be kept waiting for the whole answer.
    objective_ms : int
        Time to the first byte of an answer that counts as on time.
    max_gap_ms : int
        Longest pause within a stream that counts as on time; 0 for no streams.
    priority : int
        Rank of the route; 0 is the highest.
    n_max_attempts : int
        Endpoints that may run one request.
    weight_by_service : Mapping of str to int
        Shares of the services that serve the route.
    is_anonymous : bool
        Whether a request needs no credential.
    is_resumable : bool
        Whether a stream may go on at another endpoint after the last event.
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
        """Return the service for a number drawn evenly from 0 to 1."""
        left = draw * sum(self.weight_by_service.values())
        chosen = ""
        for service_id, weight in self.weight_by_service.items():
            chosen = service_id
            left -= weight
            if left < 0:
                break
        return chosen


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer; ``priority`` goes before that of the route, 0 is the highest."""

    customer_id: str
    credentials: tuple[str, ...] = field(repr=False)
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send; lengths in bytes, times in milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes_by_host : Mapping of str to tuple of Route
        Routes of each host, longest prefix first.
    service_by_id : Mapping of str to Service
        All services.
    customer_by_credential : Mapping of str to Customer
        Customers by each of their credentials.
    needs_credential : bool
        Whether the configuration names customers at all.
    limits : CallerLimits
        Bounds on what callers send.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_id: Mapping[str, Service]
    customer_by_credential: Mapping[str, Customer] = field(repr=False)
    needs_credential: bool
    limits: CallerLimits = CallerLimits()

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        customers: Iterable[Customer] | None,
        limits: CallerLimits | None = None,
    ) -> "RoutingTable":
        """Return a table; ``customers`` is None when credentials are not used.

        Examples
        --------
        >>> route = Route("r", "a.example", "/x/", RequestKind.IDEMPOTENT, 800, 400,
        ...               0, 1, 2, {"desk": 1})
        >>> table = RoutingTable.from_parts(3, [route], [], None)
        >>> table.match("a.example", "/x/y").route_id
        'r'
        """
        routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            routes_by_host.setdefault(route.host, []).append(route)
        return cls(
            version=version,
            routes_by_host={
                host: tuple(sorted(found, key=lambda r: -len(r.path_prefix)))
                for host, found in routes_by_host.items()
            },
            service_by_id={service.service_id: service for service in services},
            customer_by_credential={
                credential: customer
                for customer in customers or ()
                for credential in customer.credentials
            },
            needs_credential=customers is not None,
            limits=limits or CallerLimits(),
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
