"""Attempts that go to endpoints over HTTP/1.1, one connection for each.

A connection of its own costs an attempt one round trip. In return no answer can
belong to an earlier request, no kept connection is closed or silent just when it is
used, and an attempt whose connection could not be made has certainly not run.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from yarl import URL

from bluebellusher.links import (
    AnswerStream,
    BoundedResponse,
    EventReader,
    EventSink,
    is_listening,
    make_keepalive_socket,
)
from bluebellusher.observability import Metrics, Tracer
from bluebellusher.ports import AnswerFields, AttemptFields, Dialect
from bluebellusher.runtime import Exchange
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import EndpointRegistration
from bluebellusher_core.effects import CancelAttempt, CheckEndpoint, Dispatch
from bluebellusher_core.errors import Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    EndpointAnnounced,
    EndpointChecked,
    Event,
    Usage,
)

# Far above a round trip between failure domains; a lost packet costs a second.
CONNECT_TIMEOUT_MS = 500
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
# Reading pauses while the caller has this much of its answer still to take.
MAX_WAITING_BYTES = 256 * 1024
EVENTS_TYPE = "text/event-stream"
# A pause that an endpoint asks for is an event of its own; the reducer doubles its own.
_NO_PAUSE_MS = 0

FindEndpoint = Callable[[str], EndpointRegistration | None]


class _BrokenError(Exception):
    """The attempt may have run and gave no whole answer."""

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


@dataclass(slots=True)
class _Attempt:
    """One attempt in flight."""

    effect: Dispatch
    exchange: Exchange
    endpoint: EndpointRegistration
    sent_at_ms: int
    task: asyncio.Task[None] | None = None

    @property
    def answer(self) -> AnswerStream:
        """Where the answer goes."""
        return self.exchange.answer

    def owns(self) -> bool:
        """Return whether this attempt writes the answer; the first to start does."""
        answer = self.answer
        if not answer.owner_attempt_id and not answer.is_ended:
            answer.owner_attempt_id = self.effect.attempt_id
        return answer.owner_attempt_id == self.effect.attempt_id


def _reason_of(found: AnswerFields, endpoint_id: str) -> Reason:
    """Return why an endpoint did not run a request.

    A rank that names another endpoint as faulty belongs to a group that this one has
    broken.
    """
    if found.is_wrong_endpoint:
        return Reason.ENDPOINT_DRAINING
    if found.faulty_endpoint_id not in ("", endpoint_id):
        return Reason.ENDPOINTS_CLOSED
    return Reason.ENDPOINT_FULL


def _reason_of_failure(error: aiohttp.ClientError | TimeoutError) -> Reason:
    """Return why there is no connection; only a closed port shows an ended process."""
    cause = getattr(error, "os_error", None)
    if isinstance(cause, ConnectionRefusedError):
        return Reason.CONNECT_REFUSED
    return Reason.CONNECT_FAILED


class HttpDispatcher:
    """Send attempts to endpoints and report what becomes of them.

    Parameters
    ----------
    dialect : Dialect
        Header names of the endpoints.
    find_endpoint : callable
        Returns the registration of an endpoint.
    clock : Clock
        Measures what is left of a deadline.
    tracer : Tracer
        Opens a span for each attempt.
    metrics : Metrics
        Counts attempts by what became of them.
    describe : callable or None
        Returns what decided for an endpoint, for the log.
    """

    def __init__(
        self,
        dialect: Dialect,
        find_endpoint: FindEndpoint,
        clock: Clock,
        tracer: Tracer,
        metrics: Metrics,
        describe: Callable[[str], dict[str, str | int | float]] | None = None,
    ) -> None:
        self.sink: EventSink | None = None
        self._dialect = dialect
        self._find_endpoint = find_endpoint
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._describe = describe
        self._attempt_by_id: dict[str, _Attempt] = {}
        self._checks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Make the client session; call it on the event loop."""
        connector = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=make_keepalive_socket
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            response_class=BoundedResponse,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=(
                "Accept",
                "Accept-Encoding",
                "Content-Type",
                "User-Agent",
            ),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000
            ),
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    async def close(self) -> None:
        """Stop every attempt and close the session."""
        for attempt in list(self._attempt_by_id.values()):
            if attempt.task is not None:
                attempt.task.cancel()
        for check in self._checks:
            check.cancel()
        if self._session is not None:
            await self._session.close()

    def start(self, effect: Dispatch, exchange: Exchange) -> bool:
        """Send an attempt; return False when it was certainly not sent."""
        endpoint = self._find_endpoint(effect.endpoint_id)
        answer = exchange.answer
        if effect.resume_offset == 0 and not answer.owner_attempt_id:
            answer.reset()
        if endpoint is None or effect.resume_offset != answer.n_bytes:
            return False
        attempt = _Attempt(effect, exchange, endpoint, self._clock.now_ms())
        exchange.n_attempts += 1
        span = self._tracer.start("attempt", exchange.span.traceparent)
        exchange.attempt_spans[effect.attempt_id] = span
        exchange.endpoint_by_attempt_id[effect.attempt_id] = effect.endpoint_id
        self._attempt_by_id[effect.attempt_id] = attempt
        attempt.task = asyncio.create_task(self._run(attempt))
        inputs = self._describe(effect.endpoint_id) if self._describe else {}
        self._log("attempt-sent", attempt, resume_offset=effect.resume_offset, **inputs)
        return True

    def cancel(self, effect: CancelAttempt) -> None:
        """Close the connection, which stops the work at the endpoint."""
        attempt = self._attempt_by_id.get(effect.attempt_id)
        if attempt is not None and attempt.task is not None:
            attempt.task.cancel()
            self._log("attempt-cancelled", attempt)

    def check(self, effect: CheckEndpoint) -> None:
        """Find out whether anything listens at an endpoint's address."""
        task = asyncio.create_task(self._check(effect.endpoint_id))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check(self, endpoint_id: str) -> None:
        found: bool | None = None
        endpoint = self._find_endpoint(endpoint_id)
        if endpoint is not None:
            found = await is_listening(endpoint.host, endpoint.port, CONNECT_TIMEOUT_MS)
        assert self.sink is not None
        answer = {True: "listening", False: "closed", None: "none"}[found]
        self.sink.log("endpoint-checked", endpoint=endpoint_id, answer=answer)
        self._post(EndpointChecked(endpoint_id, found))

    def find(self, attempt_id: str) -> Exchange | None:
        """Return the exchange of an attempt that has not ended."""
        attempt = self._attempt_by_id.get(attempt_id)
        return attempt.exchange if attempt else None

    def end(self, attempt_id: str) -> Exchange | None:
        """Forget an attempt; return its exchange, if it was still counted."""
        attempt = self._attempt_by_id.pop(attempt_id, None)
        if attempt is None:
            return None
        exchange = attempt.exchange
        exchange.n_attempts -= 1
        span = exchange.attempt_spans.pop(attempt_id, None)
        if span is not None:
            span.end(
                request_id=exchange.spec.request_id,
                attempt_id=attempt_id,
                endpoint_id=attempt.effect.endpoint_id,
                n_bytes=exchange.answer.n_bytes,
            )
        return exchange

    def close_endpoint(self, endpoint_id: str, reason: str) -> None:
        """Stop every attempt at an endpoint."""
        for attempt in list(self._attempt_by_id.values()):
            if attempt.effect.endpoint_id == endpoint_id and attempt.task is not None:
                attempt.task.cancel()
                self._post(self._broken(attempt, Reason.CONNECTION_LOST))
                self._log("attempt-closed", attempt, reason=reason)

    async def _run(self, attempt: _Attempt) -> None:
        try:
            event = await self._exchange(attempt)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            reason = _reason_of_failure(error)
            self._log(
                "attempt-not-connected",
                attempt,
                error=type(error).__name__,
                reason=reason.value,
            )
            event = self._refused(attempt, reason, has_arrived=False)
        except _BrokenError as error:
            self._log("attempt-broken", attempt, error=str(error))
            event = self._broken(attempt, error.reason)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            self._log("attempt-broken", attempt, error=f"{type(error).__name__}")
            event = self._broken(attempt, Reason.CONNECTION_LOST)
        except Exception as error:
            # Without an event the request would wait for its deadline.
            fault = f"{type(error).__name__}: {error}"
            self._log("attempt-fault", attempt, error=fault)
            event = self._broken(attempt, Reason.CONNECTION_LOST)
        self._post(event)

    async def _exchange(self, attempt: _Attempt) -> Event:
        assert self._session is not None
        exchange, endpoint = attempt.exchange, attempt.endpoint
        remaining_ms = max(1, exchange.spec.deadline_ms - self._clock.now_ms())
        fields = AttemptFields(
            endpoint_id=endpoint.endpoint_id,
            remaining_ms=remaining_ms,
            customer_id=exchange.spec.customer_id,
            last_event_id=exchange.last_event_id,
            priority=int(exchange.spec.priority),
        )
        headers = self._dialect.write_attempt(exchange.header_items, fields)
        url = URL(
            f"http://{endpoint.host}:{endpoint.port}{exchange.path}", encoded=True
        )
        async with self._session.request(
            exchange.method,
            url,
            headers=headers,
            data=exchange.body or None,
            allow_redirects=False,
        ) as response:
            found = self._dialect.read_answer(response.status, response.headers)
            self._announce(attempt, found)
            refused = self._find_refusal(attempt, response, found)
            if refused is not None:
                return refused
            await self._relay(attempt, response)
        self._log("attempt-finished", attempt, status=response.status)
        return AttemptFinished(
            attempt.effect.attempt_id,
            response.status,
            attempt.answer.n_bytes,
            Usage(),
            attempt.effect.endpoint_id,
        )

    def _announce(self, attempt: _Attempt, found: AnswerFields) -> None:
        """Pass on what the endpoint says of itself, before its answer is used."""
        # Another endpoint that has the address now speaks for itself only.
        if found.is_wrong_endpoint or not (found.is_leaving or found.pause_ms):
            return
        self._post(
            EndpointAnnounced(
                attempt.effect.endpoint_id,
                attempt.endpoint.started_wall_ms,
                found.is_leaving,
                found.pause_ms,
            )
        )

    def _find_refusal(
        self,
        attempt: _Attempt,
        response: aiohttp.ClientResponse,
        found: AnswerFields,
    ) -> Event | None:
        """Return the event of an answer that is not passed on, or None."""
        if found.attempt_id and found.attempt_id != attempt.exchange.caller_attempt_id:
            raise _BrokenError(Reason.STREAM_CORRUPT, "answer to another request")
        if found.is_wrong_endpoint or found.is_not_run:
            reason = _reason_of(found, attempt.endpoint.endpoint_id)
            self._log(
                "attempt-refused",
                attempt,
                status=response.status,
                faulty=found.faulty_endpoint_id,
            )
            return self._refused(attempt, reason, has_arrived=True)
        if response.status < 300 and not found.is_authentic:
            raise _BrokenError(Reason.STREAM_CORRUPT, "answer without a valid seal")
        return None

    async def _relay(self, attempt: _Attempt, response: aiohttp.ClientResponse) -> None:
        is_events = response.headers.get("Content-Type", "").startswith(EVENTS_TYPE)
        if not attempt.owns():
            raise _BrokenError(Reason.CONNECTION_LOST, "another attempt answers")
        answer = attempt.answer
        if answer.n_bytes == 0:
            names = {name.lower(): value for name, value in response.headers.items()}
            if not answer.start(response.status, names):
                raise _BrokenError(Reason.STREAM_CORRUPT, "status changed")
        elif response.status >= 300:
            raise _BrokenError(Reason.STREAM_CORRUPT, "resumed stream has failed")
        if is_events:
            await self._relay_events(attempt, response)
        else:
            await self._relay_body(attempt, response)
        assert isinstance(response, BoundedResponse)
        await response.check_complete()

    async def _relay_body(
        self, attempt: _Attempt, response: aiohttp.ClientResponse
    ) -> None:
        while data := await response.content.readany():
            await self._pass_on(attempt, data)

    async def _relay_events(
        self, attempt: _Attempt, response: aiohttp.ClientResponse
    ) -> None:
        exchange = attempt.exchange
        reader = EventReader(
            response.content, exchange.max_silence_ms, exchange.last_event_id
        )
        while events := await reader.read():
            exchange.last_event_id = reader.last_event_id
            await self._pass_on(attempt, events)
        if reader.n_pending_bytes:
            raise _BrokenError(Reason.STREAM_CORRUPT, "stream ends within an event")

    async def _pass_on(self, attempt: _Attempt, data: bytes) -> None:
        """Give a part of the answer to the caller, at the pace at which it reads."""
        answer = attempt.answer
        if not answer.n_bytes:
            self._started(attempt)
        answer.write(data)
        if answer.n_bytes > MAX_BODY_BYTES:
            raise _BrokenError(Reason.STREAM_CORRUPT, "answer too long")
        await answer.wait_for_capacity(MAX_WAITING_BYTES)

    def _started(self, attempt: _Attempt) -> None:
        effect = attempt.effect
        self._post(AttemptStarted(effect.attempt_id, effect.endpoint_id))

    def _refused(self, attempt: _Attempt, reason: Reason, has_arrived: bool) -> Event:
        effect = attempt.effect
        return AttemptRefused(
            effect.attempt_id, reason, _NO_PAUSE_MS, effect.endpoint_id, has_arrived
        )

    def _broken(self, attempt: _Attempt, reason: Reason) -> Event:
        """Return the event of a broken attempt.

        What the caller has not received is dropped, so that another attempt can
        start from the beginning.
        """
        answer, effect = attempt.answer, attempt.effect
        if answer.owner_attempt_id == effect.attempt_id:
            answer.owner_attempt_id = ""
            if not answer.is_events:
                answer.reset()
        n_bytes = answer.n_bytes
        is_resumable = answer.is_events
        return AttemptBroken(
            effect.attempt_id, reason, n_bytes, is_resumable, effect.endpoint_id
        )

    def _post(self, event: Event) -> None:
        assert self.sink is not None
        self.sink.post(event)

    def _log(self, name: str, attempt: _Attempt, **fields: str | int | float) -> None:
        assert self.sink is not None
        self._metrics.count("bluebellusher_attempts_total", "event", name)
        effect = attempt.effect
        self.sink.log(
            name,
            request=attempt.exchange.spec.request_id,
            attempt=effect.attempt_id,
            endpoint=effect.endpoint_id,
            after_ms=self._clock.now_ms() - attempt.sent_at_ms,
            n_bytes=attempt.answer.n_bytes,
            **fields,
        )
