"""Conversion of a caller's HTTP request into a request for the reducer."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from random import Random

from bluebellusher.ports import CallerFields, Dialect
from bluebellusher_core.directory import Customer, RequestKind, Route, RoutingTable
from bluebellusher_core.events import Priority, RequestSpec

# Remaining time of a request whose headers contain none, in ms.
DEFAULT_REMAINING_MS = 60_000
# Time between the moment at which a stream counts as stalled and the timeout of its
# caller, in ms, in which another endpoint can resume the stream.
RESUME_MARGIN_MS = 300
_FINGERPRINT_BYTES = 16


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """Timeouts of callers that wait for the next event of a stream.

    The timeout is the longest of three times: ``min_ms``, a multiple of the route's
    latency objective, and a multiple of the longest gap between events that the route
    counts as on time.

    Parameters
    ----------
    min_ms : int
        Lower bound of the timeout, in ms.
    objective_factor : float
        Factor for the route's ``objective_ms``.
    gap_factor : float
        Factor for the route's ``max_gap_ms``.
    """

    min_ms: int = 2_000
    objective_factor: float = 4.0
    gap_factor: float = 8.0

    def get_caller_timeout_ms(self, route: Route) -> int:
        """Return the time after which a caller stops waiting for an event, in ms."""
        by_objective_ms = self.objective_factor * route.objective_ms
        by_gap_ms = self.gap_factor * route.max_gap_ms
        return int(max(self.min_ms, by_objective_ms, by_gap_ms))

    def get_max_silence_ms(self, route: Route) -> int:
        """Return the time without an event from which a stream stalls, in ms."""
        return self.get_caller_timeout_ms(route) - RESUME_MARGIN_MS


@dataclass(frozen=True, slots=True)
class Denial:
    """Answer to a request that is not admitted, such as a client error (4xx).

    ``reason`` is the body of the response and a label of the metrics. The caller may
    retry after ``retry_after_ms``, unless it is 0.
    """

    status: HTTPStatus
    reason: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Request that the reducer may place, with its route and its caller's headers.

    ``max_silence_ms`` is the time without an event from which its stream stalls, in ms.
    """

    spec: RequestSpec
    route: Route
    fields: CallerFields
    max_silence_ms: int


class Admission:
    """Selection of the route, authentication, and conversion of requests.

    Parameters
    ----------
    dialect : Dialect
        Reads the callers' headers.
    stream_timeouts : StreamTimeouts
        Timeouts of callers that wait for an event of a stream.
    random_state : random.Random
        Divides the requests of a route among its services.
    """

    def __init__(
        self, dialect: Dialect, stream_timeouts: StreamTimeouts, random_state: Random
    ) -> None:
        self._dialect = dialect
        self._stream_timeouts = stream_timeouts
        self._random_state = random_state

    def admit(
        self,
        table: RoutingTable,
        request_id: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        now_ms: int,
    ) -> AdmittedRequest | Denial:
        """Return the admitted request, or its denial.

        A request is denied when no route matches it, when a header is invalid, or when
        its route needs a credential and the credential is unknown.

        Parameters
        ----------
        table : RoutingTable
            Configuration in force.
        request_id : str
            Id that the entry chose for the request.
        method, target : str
            HTTP method and undecoded request target.
        headers : Mapping of str to str
            Request headers; names are case-insensitive.
        now_ms : int
            Monotonic time of arrival, in ms.
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
        max_silence_ms = self._stream_timeouts.get_max_silence_ms(route)
        return AdmittedRequest(spec, route, fields, max_silence_ms)

    def read_attempt_id(self, headers: Mapping[str, str]) -> str:
        """Return the attempt id that the caller chose; empty for none."""
        return self._dialect.read_attempt_id(headers)

    def _make_spec(
        self,
        request_id: str,
        route: Route,
        customer: Customer | None,
        fields: CallerFields,
        now_ms: int,
    ) -> RequestSpec:
        """Return the properties of the request that the reducer uses.

        The fingerprint is empty, because the body has not been read yet.
        """
        remaining_ms = fields.remaining_ms or DEFAULT_REMAINING_MS
        deadline_ms = now_ms + min(remaining_ms, route.timeout_ms)
        start_by_ms = deadline_ms
        if route.kind is RequestKind.STREAMING:
            start_by_ms = min(
                deadline_ms, now_ms + self._stream_timeouts.get_caller_timeout_ms(route)
            )
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
            objective_at_ms=now_ms + route.objective_ms,
            start_by_ms=start_by_ms,
            caller_deadline_ms=now_ms + remaining_ms,
            can_resume_elsewhere=route.is_resumable,
            shared_part_ids=fields.shared_part_ids,
        )


def fingerprint(spec: RequestSpec, method: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request as a hexadecimal hash.

    Retries of a request by the same customer have the same fingerprint.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (spec.customer_id, method, target):
        digest.update(part.encode() + b"\0")
    digest.update(body)
    return digest.hexdigest()
