"""From a caller's HTTP request to a request for the reducer."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from random import Random

from bluebellusher.ports import CallerFields, Dialect
from bluebellusher_core.directory import Customer, RequestKind, Route, RoutingTable
from bluebellusher_core.events import Priority, RequestSpec

DEFAULT_REMAINING_MS = 60_000
# A stream is given up this much before its caller leaves, so that it can go on from
# another endpoint.
RESUME_MARGIN_MS = 300
# A caller that has this much less time than others of its route was refused before.
RETURNING_AFTER_MS = 250
_FINGERPRINT_BYTES = 16


@dataclass(frozen=True, slots=True)
class Patience:
    """How long callers of streams wait for the next event.

    The longest of a fixed time, a multiple of the objective and a multiple of the
    longest pause that counts as on time.

    Parameters
    ----------
    min_ms : int
        Fixed time.
    objective_factor, gap_factor : float
        Multiples of the route's objective and pause.
    """

    min_ms: int = 2_000
    objective_factor: float = 4.0
    gap_factor: float = 8.0

    def wait_ms(self, route: Route) -> int:
        """Return how long a caller of a stream waits, in ms."""
        by_objective_ms = self.objective_factor * route.objective_ms
        by_gap_ms = self.gap_factor * route.max_gap_ms
        return int(max(self.min_ms, by_objective_ms, by_gap_ms))

    def max_silence_ms(self, route: Route) -> int:
        """Return how long the next event of a stream may take, in ms."""
        return self.wait_ms(route) - RESUME_MARGIN_MS


@dataclass(frozen=True, slots=True)
class Denial:
    """A request that the configuration does not allow."""

    status: HTTPStatus
    reason: str


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be placed.

    ``max_silence_ms`` is how long each event of a stream may take.
    """

    spec: RequestSpec
    route: Route
    fields: CallerFields
    max_silence_ms: int


class Admission:
    """Select the route, authenticate the customer and describe the request.

    Parameters
    ----------
    dialect : Dialect
        Header names of the callers.
    patience : Patience
        How long callers of streams wait.
    random_state : random.Random
        Divides requests between the services of a route.
    """

    def __init__(
        self, dialect: Dialect, patience: Patience, random_state: Random
    ) -> None:
        self._dialect = dialect
        self._patience = patience
        self._random_state = random_state
        self._usual_ms_by_route: dict[str, int] = {}

    def admit(
        self,
        table: RoutingTable,
        request_id: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        now_ms: int,
    ) -> Admitted | Denial:
        """Return the request, or why it is denied.

        Parameters
        ----------
        table : RoutingTable
            The configuration in force.
        request_id : str
            Id that the entry gave the request.
        method, target : str
            Method and undecoded request target.
        headers : Mapping of str to str
            Headers; names in any case.
        now_ms : int
            Monotonic time of arrival.
        """
        path = target.partition("?")[0]
        host = headers.get("Host", "").lower()
        route = table.match(host, path) or table.match(host.partition(":")[0], path)
        if route is None:
            return Denial(HTTPStatus.NOT_FOUND, "no route")
        try:
            fields = self._dialect.read_caller(headers)
        except ValueError as error:
            return Denial(HTTPStatus.BAD_REQUEST, str(error))
        customer = table.customer_by_credential.get(fields.credential)
        if customer is None and table.needs_credential and not route.is_anonymous:
            return Denial(HTTPStatus.UNAUTHORIZED, "unknown credential")
        spec = self._make_spec(request_id, route, customer, fields, now_ms)
        max_silence_ms = self._patience.max_silence_ms(route)
        return Admitted(spec, route, fields, max_silence_ms)

    def read_attempt_id(self, headers: Mapping[str, str]) -> str:
        """Return the id that a caller gave its attempt; empty when it gave none."""
        return self._dialect.read_attempt_id(headers)

    def _make_spec(
        self,
        request_id: str,
        route: Route,
        customer: Customer | None,
        fields: CallerFields,
        now_ms: int,
    ) -> RequestSpec:
        remaining_ms = fields.remaining_ms or DEFAULT_REMAINING_MS
        age_ms = self._age_ms(route, remaining_ms)
        deadline_ms = now_ms + min(remaining_ms, route.timeout_ms)
        start_by_ms = deadline_ms
        if route.kind is RequestKind.STREAMING:
            start_by_ms = min(deadline_ms, now_ms + self._patience.wait_ms(route))
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return RequestSpec(
            request_id=request_id,
            customer_id=customer.customer_id if customer else "",
            service_id=route.choose_service(self._random_state.random()),
            model="",
            adapter="",
            priority=Priority(min(priority, Priority.LOW)),
            deadline_ms=deadline_ms,
            is_idempotent=route.is_idempotent,
            idempotency_key=None,
            fingerprint="",
            prefix_hashes=(),
            n_input_tokens=fields.n_input_tokens,
            n_max_output_tokens=fields.n_max_output_tokens,
            n_max_attempts=route.n_max_attempts,
            objective_at_ms=now_ms + route.objective_ms - age_ms,
            start_by_ms=start_by_ms,
            is_returning=age_ms > RETURNING_AFTER_MS,
            can_resume_elsewhere=route.is_resumable,
        )

    def _age_ms(self, route: Route, remaining_ms: int) -> int:
        """Return how long ago the caller first sent the request.

        Callers of a route wait equally long in all, so that one with less time left
        was refused or failed before.
        """
        usual_ms = self._usual_ms_by_route.get(route.path_prefix, 0)
        if remaining_ms > usual_ms:
            self._usual_ms_by_route[route.path_prefix] = remaining_ms
        return max(0, usual_ms - remaining_ms)


def fingerprint(spec: RequestSpec, method: str, target: str, body: bytes) -> str:
    """Return a hash that is equal for repeats of one request by one customer."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (spec.customer_id, method, target):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    return digest.hexdigest()
