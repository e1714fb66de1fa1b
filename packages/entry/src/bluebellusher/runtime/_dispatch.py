"""Sending of attempts to endpoints through their agents."""

from typing import TYPE_CHECKING, Protocol

from bluebellusher.links import AgentLinks, AttemptRelay
from bluebellusher.observability import Tracer
from bluebellusher.runtime._exchange import Exchange
from bluebellusher_core.clock import Clock
from bluebellusher_core.effects import CancelAttempt, Dispatch
from bluebellusher_core.wire import messages

if TYPE_CHECKING:
    from bluebellusher.links._agents import AgentLink


class AttemptDispatcher(Protocol):
    """Sends attempts to endpoints, through agents or directly."""

    def start(self, effect: Dispatch, exchange: Exchange) -> bool:
        """Send an attempt; return False when it was certainly not sent."""

    def cancel(self, effect: CancelAttempt) -> None:
        """Cancel an attempt whose answer is no longer needed."""

    def find(self, attempt_id: str) -> Exchange | None:
        """Return the exchange of an attempt that has not ended."""

    def end(self, attempt_id: str) -> Exchange | None:
        """Discard an attempt that has ended.

        Returns the exchange of the attempt, or None if it was discarded before.
        """

    def close_endpoint(self, endpoint_id: str, reason: str) -> None:
        """Close the connection to an endpoint; ``reason`` is logged."""


class AgentDispatcher:
    """Send attempts through agents and count them for each exchange.

    Parameters
    ----------
    clock : Clock
        Clock of the deadlines.
    tracer : Tracer
        Starts the spans of attempts.
    window_bytes : int
        Bytes of an answer that an agent may send before the caller's socket has
        accepted them.
    """

    def __init__(self, clock: Clock, tracer: Tracer, window_bytes: int) -> None:
        self.agents: AgentLinks | None = None
        self._clock = clock
        self._tracer = tracer
        self._window_bytes = window_bytes
        self._exchange_by_attempt_id: dict[str, Exchange] = {}

    def start(self, effect: Dispatch, exchange: Exchange) -> bool:
        """Send an attempt; return False when it was certainly not sent.

        An attempt is not sent to an endpoint whose agent is not connected, nor when it
        would resume the answer at another byte than the next one.
        """
        links = self.agents.link_by_endpoint_id if self.agents else {}
        link = links.get(effect.endpoint_id)
        answer = exchange.answer
        if effect.resume_offset == 0 and not answer.owner_attempt_id:
            answer.reset()
        if link is None or effect.resume_offset != answer.n_bytes:
            return False
        span = self._tracer.start("attempt", exchange.span.traceparent)
        relay = AttemptRelay(
            effect.attempt_id,
            effect.request_id,
            exchange.spec.fingerprint,
            answer,
            effect.is_isolated,
            _CreditCounter(link, effect.attempt_id, self._window_bytes),
        )
        message = self._to_message(effect, exchange, span.traceparent)
        link.dispatch(relay, message)
        exchange.n_attempts += 1
        exchange.attempt_spans[effect.attempt_id] = span
        exchange.endpoint_by_attempt_id[effect.attempt_id] = effect.endpoint_id
        self._exchange_by_attempt_id[effect.attempt_id] = exchange
        return True

    def cancel(self, effect: CancelAttempt) -> None:
        """Send the agent a cancellation of the attempt, if it is connected."""
        links = self.agents.link_by_endpoint_id if self.agents else {}
        link = links.get(effect.endpoint_id)
        if link is not None:
            link.cancel(effect.attempt_id)

    def close_endpoint(self, endpoint_id: str, reason: str) -> None:
        """Close the connection to an agent."""
        if self.agents is not None:
            self.agents.close_endpoint(endpoint_id, reason)

    def find(self, attempt_id: str) -> Exchange | None:
        """Return the exchange of an attempt that has not ended."""
        return self._exchange_by_attempt_id.get(attempt_id)

    def end(self, attempt_id: str) -> Exchange | None:
        """Discard an attempt that has ended and end its span.

        Returns the exchange of the attempt, or None if it was discarded before.
        """
        exchange = self._exchange_by_attempt_id.pop(attempt_id, None)
        if exchange is not None:
            exchange.n_attempts -= 1
            span = exchange.attempt_spans.pop(attempt_id, None)
            if span is not None:
                span.end(
                    request_id=exchange.spec.request_id,
                    attempt_id=attempt_id,
                    endpoint_id=exchange.endpoint_by_attempt_id[attempt_id],
                    n_bytes=exchange.answer.n_bytes,
                )
        return exchange

    def _to_message(self, effect: Dispatch, exchange: Exchange, trace: str) -> object:
        spec = exchange.spec
        return messages.Dispatch(
            attempt_id=effect.attempt_id,
            request_id=effect.request_id,
            method=exchange.method,
            path=exchange.path,
            headers=dict(exchange.headers),
            body=exchange.body,
            priority=int(spec.priority),
            remaining_ms=max(0, spec.deadline_ms - self._clock.now_ms()),
            is_idempotent=spec.is_idempotent,
            resume_offset=effect.resume_offset,
            is_isolated=effect.is_isolated,
            fingerprint=spec.fingerprint,
            traceparent=trace,
            credit_bytes=self._window_bytes,
            service_id=spec.service_id,
        )


class _CreditCounter:
    """Grant an agent new credit for the bytes that the caller's socket accepted.

    The credit is sent in portions of a quarter of the window, which saves one message
    for each chunk.
    """

    def __init__(self, link: "AgentLink", attempt_id: str, window_bytes: int) -> None:
        self._link = link
        self._attempt_id = attempt_id
        self._portion_bytes = window_bytes // 4
        self._n_unsent_bytes = 0

    def __call__(self, n_bytes: int) -> None:
        """Count bytes that the caller's socket accepted; send credit when due."""
        self._n_unsent_bytes += n_bytes
        if self._n_unsent_bytes < self._portion_bytes:
            return
        if self._attempt_id in self._link.relay_by_attempt_id:
            credit = messages.Credit(
                attempt_id=self._attempt_id, n_bytes=self._n_unsent_bytes
            )
            self._link.connection.send(credit)
        self._n_unsent_bytes = 0
