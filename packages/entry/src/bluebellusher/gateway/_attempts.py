"""Attempts that the entry sends to endpoints over HTTP/1.1, one per connection.

A new connection costs each attempt one round trip. In return, an answer cannot belong
to an earlier request, no attempt meets a reused connection that is closed or
unresponsive, and an attempt whose connection failed has certainly not run.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

import aiohttp
from yarl import URL

from bluebellusher.links import (
    BEFORE_WRITE,
    NOT_CONNECTED_ERRORS,
    READ_PART_BYTES,
    AnswerStream,
    BoundedResponse,
    CheckedRequest,
    ConnectionLostError,
    EventReader,
    EventSink,
    is_listening,
    make_endpoint_socket,
    open_session,
)
from bluebellusher.observability import Metrics, Tracer
from bluebellusher.ports import AnswerFields, AttemptFields, Dialect
from bluebellusher.runtime import Exchange
from bluebellusher.shared import CheckDomain
from bluebellusher_core.clock import Clock
from bluebellusher_core.directory import EndpointRegistration
from bluebellusher_core.effects import (
    AbandonAttempt,
    CancelAttempt,
    CheckEndpoint,
    Dispatch,
)
from bluebellusher_core.errors import NOT_RUN_STATUSES, Reason
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStalled,
    AttemptStarted,
    EndpointAnnounced,
    EndpointChecked,
    EndpointLimited,
    EndpointProgressed,
    Event,
    Usage,
    WarmUpMark,
    WarmUpSource,
    WarmUpsReported,
)

# Timeout of connecting to an endpoint, in ms. It is far above a round trip between
# failure domains; a lost packet delays a connection by a second.
CONNECT_TIMEOUT_MS = 500
# Upper bound of the status line and of each header field of an answer, in bytes.
MAX_HEADER_BYTES = 65_536
# Upper bound of the body of an answer, in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Upper bound of the relayed bytes of an answer that the caller has not taken yet. Above
# it, reading from the endpoint pauses. Many answers share the budget for all of them,
# but each may have the lower bound.
MAX_UNREAD_BYTES = 256 * 1024
MIN_UNREAD_BYTES = 16 * 1024
# Places in which bytes of one answer wait for its caller: the answer, and the write
# buffer of the caller's connection.
N_UNREAD_PLACES = 2
# Shortest interval between two reports of one attempt's progress, in ms. It bounds the
# number of events when an engine sends each token by itself.
PROGRESS_INTERVAL_MS = 50
EVENT_STREAM_TYPE = "text/event-stream"
# ``AttemptRefused`` contains no pause. A pause that an endpoint asks for is posted as
# ``EndpointAnnounced``. Apart from it, the reducer sends no new attempts to an endpoint
# for a time that doubles with each refusal.
_NO_PAUSE_MS = 0

IsLimited = Callable[[str], bool]
IsOutdated = Callable[[str, int], bool]
CountBytes = Callable[[str, str, int], None]
FindEndpoint = Callable[[str], EndpointRegistration | None]


class _DomainEvacuatedError(Exception):
    """Attempt that is not written because its endpoint's domain is evacuated."""


class _BrokenAttemptError(Exception):
    """Attempt that may have run but did not give a complete, valid answer."""

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


@dataclass(slots=True)
class _Attempt:
    """Attempt in flight, with the request that it runs and its endpoint."""

    effect: Dispatch
    exchange: Exchange
    endpoint: EndpointRegistration
    sent_at_ms: int
    last_output_at_ms: int = 0
    progressed_at_ms: int = 0
    task: asyncio.Task[None] | None = None

    @property
    def answer(self) -> AnswerStream:
        """Answer of the request, which the attempt fills."""
        return self.exchange.answer

    def try_own_answer(self) -> bool:
        """Return whether this attempt writes the answer of the request.

        The first attempt that calls this method becomes the owner of the answer.
        """
        answer = self.answer
        if not answer.owner_attempt_id and not answer.is_ended:
            answer.owner_attempt_id = self.effect.attempt_id
        return answer.owner_attempt_id == self.effect.attempt_id


def _choose_refusal_reason(answer_fields: AnswerFields, endpoint_id: str) -> Reason:
    """Return the reason of a refusal by an endpoint.

    A rank that names another endpoint as faulty belongs to a group that the faulty
    endpoint has broken. The reason is then that the endpoints of the group are closed.
    """
    if answer_fields.is_wrong_endpoint:
        return Reason.ENDPOINT_DRAINING
    if answer_fields.faulty_endpoint_id not in ("", endpoint_id):
        return Reason.ENDPOINTS_CLOSED
    return Reason.ENDPOINT_FULL


def _choose_connect_reason(error: aiohttp.ClientError | TimeoutError) -> Reason:
    """Return the reason of a failed connection.

    Only a closed port shows that the endpoint's process has ended.
    """
    cause = getattr(error, "os_error", None)
    if isinstance(cause, ConnectionRefusedError):
        return Reason.CONNECT_REFUSED
    return Reason.CONNECT_FAILED


def _release_answer(attempt: _Attempt) -> None:
    """Let another attempt write the answer that an ended attempt has not completed."""
    answer = attempt.answer
    if answer.is_ended or answer.owner_attempt_id != attempt.effect.attempt_id:
        return
    answer.owner_attempt_id = ""
    if not answer.is_events:
        answer.reset()


class _OutdatedAttemptError(Exception):
    """The endpoint of an attempt must not get it any more; nothing was written."""


class HttpDispatcher:
    """Sender of attempts, which relays the answers and posts events about them.

    Parameters
    ----------
    dialect : Dialect
        Writes the headers of attempts and reads those of answers.
    find_endpoint : callable
        Returns the registration of an endpoint, or None.
    clock : Clock
        Measures the remaining time of a deadline.
    tracer : Tracer
        Opens a span for each attempt.
    metrics : Metrics
        Counts the log events of attempts by name.
    describe_endpoint : callable or None
        Returns the routing inputs of an endpoint as log fields; None for no fields.
    is_limited : callable
        Returns whether a limit of the request rate is in force for an endpoint, which
        an answer without one ends.
    is_evacuated : callable or None
        Returns whether a failure domain is evacuated, right before an attempt is
        written; None when there are no evacuations.
    is_outdated : callable
        Returns whether an attempt at an endpoint, chosen at a monotonic time in ms,
        must not be sent any more.
    count_bytes : callable or None
        Receives the service, the failure domain of the endpoint and the bytes of the
        bodies in both directions when an attempt ends.
    max_unread_bytes : int or None
        Upper bound of the relayed bytes of all answers that their callers have not
        taken yet; None for no common bound.

    Attributes
    ----------
    sink : EventSink or None
        Receives events and log lines; must be set before the first attempt.
    """

    def __init__(
        self,
        dialect: Dialect,
        find_endpoint: FindEndpoint,
        clock: Clock,
        tracer: Tracer,
        metrics: Metrics,
        describe_endpoint: Callable[[str], dict[str, str | int | float]] | None = None,
        is_limited: IsLimited = lambda endpoint_id: False,
        is_evacuated: CheckDomain | None = None,
        is_outdated: IsOutdated = lambda endpoint_id, chosen_at_ms: False,
        count_bytes: CountBytes | None = None,
        max_unread_bytes: int | None = None,
    ) -> None:
        self.sink: EventSink | None = None
        self._dialect = dialect
        self._find_endpoint = find_endpoint
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics
        self._describe_endpoint = describe_endpoint
        self._is_limited = is_limited
        self.is_evacuated = is_evacuated
        self._is_outdated = is_outdated
        self._count_bytes = count_bytes
        self._max_unread_bytes = max_unread_bytes
        self._attempt_by_id: dict[str, _Attempt] = {}
        self._check_tasks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the client session; must be called on the event loop."""
        connector = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=make_endpoint_socket
        )
        self._session = open_session(
            connector=connector,
            request_class=CheckedRequest,
            response_class=BoundedResponse,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=READ_PART_BYTES,
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
        """Cancel all attempts and endpoint checks, and close the session."""
        for attempt in list(self._attempt_by_id.values()):
            if attempt.task is not None:
                attempt.task.cancel()
        for task in self._check_tasks:
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def start(self, effect: Dispatch, exchange: Exchange) -> bool:
        """Send an attempt; return False when it has certainly not been sent.

        An attempt is not sent to an endpoint without a registration, nor when it would
        resume the answer at another byte than the next one.
        """
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
        routing_fields = (
            self._describe_endpoint(effect.endpoint_id)
            if self._describe_endpoint
            else {}
        )
        self._log(
            "attempt-sent",
            attempt,
            resume_offset=effect.resume_offset,
            **routing_fields,
        )
        return True

    def cancel(self, effect: CancelAttempt) -> None:
        """Cancel an attempt; its connection closes, which stops the endpoint's work."""
        attempt = self._attempt_by_id.get(effect.attempt_id)
        if attempt is not None and attempt.task is not None:
            attempt.task.cancel()
            self._log("attempt-cancelled", attempt)

    def abandon(self, effect: AbandonAttempt) -> None:
        """Cancel an attempt and post it as broken, so that its request is retried."""
        attempt = self._attempt_by_id.get(effect.attempt_id)
        if attempt is not None and attempt.task is not None:
            attempt.task.cancel()
            self._log("attempt-abandoned", attempt)
            self._post(self._make_broken(attempt, Reason.CONNECTION_LOST))

    def check_endpoint(self, effect: CheckEndpoint) -> None:
        """Check whether a process listens at an endpoint's address; post the result."""
        task = asyncio.create_task(self._run_check(effect.endpoint_id))
        self._check_tasks.add(task)
        task.add_done_callback(self._check_tasks.discard)

    async def _run_check(self, endpoint_id: str) -> None:
        """Check an endpoint's address, and log and post the result.

        The result is None when the endpoint is not registered or its address does not
        answer.
        """
        has_listener: bool | None = None
        endpoint = self._find_endpoint(endpoint_id)
        if endpoint is not None:
            has_listener = await is_listening(
                endpoint.host, endpoint.port, CONNECT_TIMEOUT_MS
            )
        assert self.sink is not None
        answer = {True: "listening", False: "closed", None: "none"}[has_listener]
        self.sink.log("endpoint-checked", endpoint=endpoint_id, answer=answer)
        self._post(EndpointChecked(endpoint_id, has_listener))

    def find(self, attempt_id: str) -> Exchange | None:
        """Return the exchange of an attempt that has not ended."""
        attempt = self._attempt_by_id.get(attempt_id)
        return attempt.exchange if attempt else None

    def end(self, attempt_id: str) -> Exchange | None:
        """Discard an attempt that has ended and end its span.

        Returns the exchange of the attempt, or None if it was discarded before.
        """
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
        if self._count_bytes is not None:
            n_bytes = len(exchange.body)
            if exchange.answer.owner_attempt_id == attempt_id:
                n_bytes += exchange.answer.n_bytes - attempt.effect.resume_offset
            service_id = exchange.spec.service_id
            self._count_bytes(service_id, attempt.endpoint.failure_domain, n_bytes)
        # A cancelled attempt may have written a part of an answer that another attempt
        # of the request is to write.
        _release_answer(attempt)
        # The task refers to the attempt, and its traceback to the answer. The cycle
        # would keep the bytes of the answer until the garbage collector runs, which
        # counts objects and not their bytes.
        attempt.task = None
        return exchange

    def close_endpoint(self, endpoint_id: str, reason: str) -> None:
        """Cancel all attempts at an endpoint and post them as broken."""
        for attempt in list(self._attempt_by_id.values()):
            if attempt.effect.endpoint_id == endpoint_id and attempt.task is not None:
                attempt.task.cancel()
                self._post(self._make_broken(attempt, Reason.CONNECTION_LOST))
                self._log("attempt-closed", attempt, reason=reason)

    async def _run(self, attempt: _Attempt) -> None:
        """Send an attempt and post the event that ends it, also after an error."""
        try:
            event = await self._send_and_relay(attempt)
        except _DomainEvacuatedError:
            domain = attempt.endpoint.failure_domain
            self._log("attempt-withheld", attempt, domain=domain)
            reason = Reason.DOMAIN_EVACUATED
            event = self._make_refused(attempt, reason, has_arrived=False)
        except NOT_CONNECTED_ERRORS as error:
            reason = _choose_connect_reason(error)
            self._log(
                "attempt-not-connected",
                attempt,
                error=type(error).__name__,
                reason=reason.value,
            )
            event = self._make_refused(attempt, reason, has_arrived=False)
        except _OutdatedAttemptError:
            self._log("attempt-outdated", attempt)
            reason = Reason.ENDPOINT_FULL
            event = self._make_refused(attempt, reason, has_arrived=False)
        except _BrokenAttemptError as error:
            self._log("attempt-broken", attempt, error=str(error))
            event = self._make_broken(attempt, error.reason)
        except ConnectionLostError as error:
            self._log("attempt-broken", attempt, error=str(error))
            event = self._make_broken(attempt, Reason.CONNECTION_LOST)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            self._log("attempt-broken", attempt, error=f"{type(error).__name__}")
            event = self._make_broken(attempt, Reason.CONNECTION_LOST)
        except Exception as error:
            # Without an event, the request would wait until its deadline.
            fault = f"{type(error).__name__}: {error}"
            self._log("attempt-fault", attempt, error=fault)
            event = self._make_broken(attempt, Reason.CONNECTION_LOST)
        self._post(event)

    async def _send_and_relay(self, attempt: _Attempt) -> Event:
        """Send an attempt, relay its answer and return the event that ends it."""
        assert self._session is not None
        exchange, endpoint = attempt.exchange, attempt.endpoint
        BEFORE_WRITE.set(partial(self._check_before_write, attempt))
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
            answer_fields = self._dialect.read_answer(response.status, response.headers)
            self._post_announcement(attempt, answer_fields)
            refused_event = self._check_answer(attempt, response, answer_fields)
            if refused_event is not None:
                return refused_event
            await self._relay(attempt, response)
        self._log("attempt-finished", attempt, status=response.status)
        return AttemptFinished(
            attempt.effect.attempt_id,
            response.status,
            attempt.answer.n_bytes,
            Usage(),
            attempt.effect.endpoint_id,
        )

    async def _check_before_write(self, attempt: _Attempt) -> None:
        """Raise an error if an attempt must not be written any more.

        Its failure domain may have been evacuated, and the process may have been frozen
        since the endpoint was chosen.
        """
        endpoint = attempt.endpoint
        domain = endpoint.failure_domain
        if self.is_evacuated is not None and await self.is_evacuated(domain):
            raise _DomainEvacuatedError
        # Comes last, because the process may be frozen while the check above waits.
        if self._is_outdated(endpoint.endpoint_id, attempt.sent_at_ms):
            raise _OutdatedAttemptError

    def _post_announcement(
        self, attempt: _Attempt, answer_fields: AnswerFields
    ) -> None:
        """Post what an endpoint announces: its shutdown, a pause or a limit.

        It is posted before the answer is checked, so that refusals and invalid answers
        count as well.
        """
        # An answer from another endpoint, which has the address now, contains no
        # announcement of the endpoint that the attempt was sent to.
        if answer_fields.is_wrong_endpoint:
            return
        endpoint_id = attempt.effect.endpoint_id
        incarnation = attempt.endpoint.started_wall_ms
        if answer_fields.is_leaving or answer_fields.pause_ms:
            self._post(
                EndpointAnnounced(
                    endpoint_id,
                    incarnation,
                    answer_fields.is_leaving,
                    answer_fields.pause_ms,
                )
            )
        remaining_ms = answer_fields.warm_up_remaining_ms
        if remaining_ms:
            source = WarmUpSource.ANSWER
            mark = WarmUpMark(endpoint_id, incarnation, 0.0, 0, remaining_ms, source)
            self._post(WarmUpsReported((mark,)))
        max_requests_per_s = answer_fields.max_requests_per_s
        # Only an answer that is certainly the endpoint's own ends its limit.
        is_own_answer = (
            answer_fields.attempt_id != ""
            and answer_fields.attempt_id == attempt.exchange.caller_attempt_id
        )
        ends_limit = is_own_answer and self._is_limited(endpoint_id)
        if max_requests_per_s is not None or ends_limit:
            self._post(
                EndpointLimited(
                    endpoint_id, incarnation, max_requests_per_s, attempt.sent_at_ms
                )
            )

    def _check_answer(
        self,
        attempt: _Attempt,
        response: aiohttp.ClientResponse,
        answer_fields: AnswerFields,
    ) -> Event | None:
        """Return the event of a refused attempt, or None for an answer to relay.

        Raises
        ------
        _BrokenAttemptError
            When the answer belongs to another request, is successful without a valid
            seal, or has a status that only a request which has not run may get.
        """
        if (
            answer_fields.attempt_id
            and answer_fields.attempt_id != attempt.exchange.caller_attempt_id
        ):
            raise _BrokenAttemptError(
                Reason.STREAM_CORRUPT, "attempt id of another request in the answer"
            )
        if answer_fields.is_wrong_endpoint or answer_fields.is_not_run:
            reason = _choose_refusal_reason(answer_fields, attempt.endpoint.endpoint_id)
            self._log(
                "attempt-refused",
                attempt,
                status=response.status,
                faulty=answer_fields.faulty_endpoint_id,
            )
            return self._make_refused(attempt, reason, has_arrived=True)
        if response.status in NOT_RUN_STATUSES:
            self._log(
                "attempt-refusal-unconfirmed",
                attempt,
                status=response.status,
                is_sealed=int(answer_fields.is_authentic),
            )
            raise _BrokenAttemptError(
                Reason.UNCONFIRMED_REFUSAL,
                f"status {response.status} of a request that may have run",
            )
        if response.status < 300 and not answer_fields.is_authentic:
            raise _BrokenAttemptError(
                Reason.STREAM_CORRUPT, "answer without a valid seal"
            )
        return None

    async def _relay(self, attempt: _Attempt, response: aiohttp.ClientResponse) -> None:
        """Relay the status, headers and body of an answer.

        Raises
        ------
        _BrokenAttemptError
            When another attempt owns the answer, the answer contradicts the part that
            was already relayed, or the body is invalid.
        """
        is_events = response.headers.get("Content-Type", "").startswith(
            EVENT_STREAM_TYPE
        )
        if not attempt.try_own_answer():
            raise _BrokenAttemptError(
                Reason.CONNECTION_LOST, "another attempt owns the answer"
            )
        answer = attempt.answer
        if answer.n_bytes == 0:
            headers = {name.lower(): value for name, value in response.headers.items()}
            if not answer.start(response.status, headers):
                raise _BrokenAttemptError(
                    Reason.STREAM_CORRUPT, "status differs from that already sent"
                )
        elif response.status != answer.status or is_events != answer.is_events:
            raise _BrokenAttemptError(
                Reason.STREAM_CORRUPT, "status or type differs from that already sent"
            )
        if is_events:
            await self._relay_events(attempt, response)
        else:
            await self._relay_body(attempt, response)
        assert isinstance(response, BoundedResponse)
        await response.check_complete()

    async def _relay_body(
        self, attempt: _Attempt, response: aiohttp.ClientResponse
    ) -> None:
        """Relay the parts of a body that is not an event stream as they arrive."""
        while data := await response.content.read(READ_PART_BYTES):
            await self._relay_part(attempt, data)

    async def _relay_events(
        self, attempt: _Attempt, response: aiohttp.ClientResponse
    ) -> None:
        """Relay complete server-sent events."""
        exchange = attempt.exchange
        reader = EventReader(
            response.content,
            exchange.max_silence_ms,
            exchange.last_event_id,
            partial(self._post_stalled, attempt),
        )
        while events := await reader.read():
            if not reader.is_continuous:
                raise _BrokenAttemptError(
                    Reason.STREAM_CORRUPT, "first event does not follow the last one"
                )
            exchange.last_event_id = reader.last_event_id
            self._record_progress(attempt)
            await self._relay_part(attempt, events)
        if reader.n_pending_bytes:
            raise _BrokenAttemptError(
                Reason.STREAM_CORRUPT, "stream ended inside an event"
            )

    async def _relay_part(self, attempt: _Attempt, data: bytes) -> None:
        """Relay a part of the answer; wait while too many bytes wait for the caller."""
        answer = attempt.answer
        if not answer.n_bytes:
            self._post_started(attempt)
        answer.write(data)
        if answer.n_bytes > MAX_BODY_BYTES:
            raise _BrokenAttemptError(
                Reason.STREAM_CORRUPT, "answer above the body size limit"
            )
        await answer.wait_for_capacity(self._share_unread_bytes())

    def _share_unread_bytes(self) -> int:
        """Return the unread bytes that one answer may have, by the number of attempts.

        It addresses a load of many callers that read slowly.
        """
        if self._max_unread_bytes is None:
            return MAX_UNREAD_BYTES
        n_places = N_UNREAD_PLACES * max(1, len(self._attempt_by_id))
        n_share_bytes = self._max_unread_bytes // n_places
        return max(MIN_UNREAD_BYTES, min(MAX_UNREAD_BYTES, n_share_bytes))

    def _record_progress(self, attempt: _Attempt) -> None:
        """Record an output of a stream; post the endpoint's progress when it is due.

        The first output is posted as ``AttemptStarted``.
        """
        now_ms = self._clock.now_ms()
        previous_at_ms, attempt.last_output_at_ms = attempt.last_output_at_ms, now_ms
        if (
            not previous_at_ms
            or now_ms - attempt.progressed_at_ms < PROGRESS_INTERVAL_MS
        ):
            return
        attempt.progressed_at_ms = now_ms
        gap_ms = now_ms - previous_at_ms
        self._post(EndpointProgressed(attempt.effect.endpoint_id, gap_ms))

    def _post_started(self, attempt: _Attempt) -> None:
        """Post the event of an attempt's first output."""
        effect = attempt.effect
        is_error = attempt.answer.status >= HTTPStatus.BAD_REQUEST
        self._post(AttemptStarted(effect.attempt_id, effect.endpoint_id, is_error))

    def _post_stalled(self, attempt: _Attempt) -> None:
        """Post that the stream of an attempt stalls."""
        effect, gap_ms = attempt.effect, attempt.exchange.max_silence_ms
        self._post(AttemptStalled(effect.attempt_id, effect.endpoint_id, gap_ms))

    def _make_refused(
        self, attempt: _Attempt, reason: Reason, has_arrived: bool
    ) -> Event:
        """Return the event of a refused attempt, which has certainly not run.

        ``has_arrived`` states whether the endpoint itself received the attempt.
        """
        effect = attempt.effect
        return AttemptRefused(
            effect.attempt_id, reason, _NO_PAUSE_MS, effect.endpoint_id, has_arrived
        )

    def _make_broken(self, attempt: _Attempt, reason: Reason) -> Event:
        """Return the event of a broken attempt, which may have run.

        An answer that is not an event stream is discarded if the caller has received
        no part of it, so that another attempt can start from the beginning.
        """
        answer, effect = attempt.answer, attempt.effect
        _release_answer(attempt)
        n_bytes = answer.n_bytes
        is_resumable = answer.is_events
        return AttemptBroken(
            effect.attempt_id, reason, n_bytes, is_resumable, effect.endpoint_id
        )

    def _post(self, event: Event) -> None:
        assert self.sink is not None
        self.sink.post(event)

    def _log(self, name: str, attempt: _Attempt, **fields: str | int | float) -> None:
        """Log and count an event of an attempt."""
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
