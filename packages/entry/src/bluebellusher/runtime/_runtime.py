"""The event queue, the executor of effects and the timers."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from bluebellusher.observability import KeyValueLog, Metrics, Tracer
from bluebellusher.runtime._claims import ClaimWriter
from bluebellusher.runtime._dispatch import AttemptDispatcher
from bluebellusher.runtime._exchange import Exchange
from bluebellusher.runtime._replay import replay
from bluebellusher.runtime._store import ClaimStore
from bluebellusher_core.clock import Clock
from bluebellusher_core.effects import (
    CancelAttempt,
    CloseConnection,
    Complete,
    DiscardAnswer,
    Dispatch,
    Effect,
    LogEvent,
    Reject,
    ReplayAnswer,
    SetTimer,
    WriteClaims,
)
from bluebellusher_core.errors import Outcome, Reason, Rejection
from bluebellusher_core.events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    CallerDisconnected,
    Event,
    RequestArrived,
    TimerFired,
)
from bluebellusher_core.reducer import EntryState, reduce

# Events handled before other callbacks of the event loop get a turn.
_MAX_EVENTS_PER_TURN = 200


class Runtime:
    """Turn events into decisions and decisions into actions.

    Everything runs on one event loop; ``reduce`` and the execution of its effects
    never overlap. An effect that fails is logged and never stops the others.
    """

    def __init__(
        self,
        state: EntryState,
        clock: Clock,
        log: KeyValueLog,
        metrics: Metrics,
        tracer: Tracer,
        dispatcher: AttemptDispatcher,
    ) -> None:
        self.state = state
        self.metrics = metrics
        self.tracer = tracer
        self.exchange_by_request_id: dict[str, Exchange] = {}
        # Set while the entry stops: it reports unready and keeps no connection.
        self.is_shutting_down = False
        self.request_ended = asyncio.Event()
        self._clock = clock
        self._log = log
        self._events: deque[Event] = deque()
        self._is_scheduled = False
        self._timer_by_id: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._dispatcher = dispatcher
        self._claims: ClaimWriter | None = None
        self._store: ClaimStore | None = None
        self._executor_by_type: dict[type, Callable[[Any], None]] = {
            Dispatch: self._dispatch,
            CancelAttempt: self._cancel_attempt,
            Complete: self._complete,
            DiscardAnswer: self._discard_answer,
            Reject: self._reject,
            ReplayAnswer: self._replay,
            WriteClaims: self._write_claims,
            SetTimer: self._set_timer,
            CloseConnection: self._close_connection,
            LogEvent: self._log_event,
        }

    def attach(self, claims: ClaimWriter, store: ClaimStore) -> None:
        """Connect what executes effects; they themselves report to this runtime."""
        self._claims = claims
        self._store = store

    def register(self, effect_type: type[Any], execute: Callable[[Any], None]) -> None:
        """Execute effects of a type that only some entries can execute."""
        self._executor_by_type[effect_type] = execute

    @property
    def n_claims_in_flight(self) -> int:
        """Return how many batches of claim rows are being written."""
        return self._claims.n_in_flight if self._claims else 0

    @property
    def is_settled(self) -> bool:
        """Return whether no claim and no outcome waits for the table."""
        return self.state.claims.is_idle

    def now_ms(self) -> int:
        """Return monotonic time."""
        return self._clock.now_ms()

    def post(self, event: Event) -> None:
        """Queue an event; it is handled in the order of arrival."""
        self._events.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._drain)

    def log(self, name: str, **fields: str | int | float) -> None:
        """Write one log line."""
        self._log.event(name, "info", **fields)

    def submit(self, exchange: Exchange) -> None:
        """Begin a request."""
        self.exchange_by_request_id[exchange.spec.request_id] = exchange
        self.post(RequestArrived(exchange.spec))

    def end(self, exchange: Exchange) -> None:
        """Note that the caller is served or gone."""
        exchange.is_caller_served = True
        if not exchange.answer.is_ended:
            self.post(CallerDisconnected(exchange.spec.request_id))
        self._forget_if_over(exchange)

    def close(self) -> None:
        """Cancel timers and tasks."""
        for handle in self._timer_by_id.values():
            handle.cancel()
        for task in self._tasks:
            task.cancel()
        if self._claims is not None:
            self._claims.close()

    def _drain(self) -> None:
        for _ in range(_MAX_EVENTS_PER_TURN):
            if not self._events:
                self._is_scheduled = False
                return
            self._handle(self._events.popleft())
        self._loop.call_soon(self._drain)

    def _handle(self, event: Event) -> None:
        if isinstance(event, AttemptFinished):
            self._keep_answer(event.attempt_id)
            self._note_usage(event)
        try:
            effects = reduce(self.state, event, self._clock.now_ms())
        except Exception as error:
            effects = []
            self.report_fault("reduce", event, error)
            self._refuse_after_fault(event)
        for effect in effects:
            self._execute(effect)
        if isinstance(event, AttemptFinished | AttemptRefused | AttemptBroken):
            self._end_attempt(event.attempt_id)

    def _execute(self, effect: Effect) -> None:
        try:
            self._executor_by_type[type(effect)](effect)
        except Exception as error:
            # One faulty effect must not stop the loop that serves all callers.
            self.report_fault("execute", effect, error)

    def report_fault(self, step: str, subject: object, error: Exception) -> None:
        """Count and log an error that should not have happened."""
        self.metrics.count("bluebellusher_internal_faults_total")
        self._log.event(
            "internal-fault",
            "error",
            step=step,
            subject=type(subject).__name__,
            error=f"{type(error).__name__}: {error}",
        )

    def _refuse_after_fault(self, event: Event) -> None:
        if isinstance(event, RequestArrived):
            reason = Reason.SHUTTING_DOWN
            refusal = Rejection(Outcome.NOT_RUN, reason, "admission", "", 1_000)
            self._reject(Reject(event.request.request_id, refusal))

    def _keep_answer(self, attempt_id: str) -> None:
        exchange = self._dispatcher.find(attempt_id)
        if exchange is not None and exchange.is_kept and self._claims is not None:
            self._claims.keep(exchange.spec.request_id, exchange.keep())

    def _note_usage(self, event: AttemptFinished) -> None:
        exchange = self._dispatcher.find(event.attempt_id)
        if exchange is not None and exchange.usage is None:
            exchange.usage = event.usage

    def _end_attempt(self, attempt_id: str) -> None:
        """Forget an attempt whose end the reducer has handled."""
        exchange = self._dispatcher.end(attempt_id)
        if exchange is not None:
            self._forget_if_over(exchange)

    def _forget_if_over(self, exchange: Exchange) -> None:
        if exchange.is_caller_served and not exchange.n_attempts:
            request_id = exchange.spec.request_id
            self.exchange_by_request_id.pop(request_id, None)
            timer = self._timer_by_id.pop(f"deadline:{request_id}", None)
            if timer is not None:
                timer.cancel()
            self.request_ended.set()

    def _dispatch(self, effect: Dispatch) -> None:
        exchange = self.exchange_by_request_id.get(effect.request_id)
        is_sent = False
        try:
            # A caller that has its final answer was told what ran.
            if exchange is not None and exchange.answer.rejection is None:
                is_sent = self._dispatcher.start(effect, exchange)
        finally:
            if not is_sent:
                refused = AttemptRefused(
                    effect.attempt_id, Reason.NO_ENDPOINT, 0, effect.endpoint_id
                )
                self.post(refused)

    def _cancel_attempt(self, effect: CancelAttempt) -> None:
        self._dispatcher.cancel(effect)
        self._end_attempt(effect.attempt_id)

    def _complete(self, effect: Complete) -> None:
        exchange = self.exchange_by_request_id.get(effect.request_id)
        if exchange is not None:
            exchange.answer.complete()

    def _discard_answer(self, effect: DiscardAnswer) -> None:
        exchange = self.exchange_by_request_id.get(effect.request_id)
        if exchange is not None:
            exchange.answer.owner_attempt_id = ""
            exchange.answer.reset()

    def _reject(self, effect: Reject) -> None:
        exchange = self.exchange_by_request_id.get(effect.request_id)
        if exchange is not None:
            exchange.answer.reject(effect.rejection)

    def _replay(self, effect: ReplayAnswer) -> None:
        exchange = self.exchange_by_request_id.get(effect.request_id)
        if exchange is None or self._claims is None or self._store is None:
            return
        row = self._claims.take_done_row(effect.request_id)
        self._start_task(replay(exchange.answer, row, self._store))

    def _write_claims(self, effect: WriteClaims) -> None:
        if self._claims is not None:
            self._claims.submit(effect.batch_id, effect.writes)

    def _set_timer(self, effect: SetTimer) -> None:
        old = self._timer_by_id.pop(effect.timer_id, None)
        if old is not None:
            old.cancel()
        delay_ms = max(0, effect.due_ms - self._clock.now_ms())
        handle = self._loop.call_later(delay_ms / 1000, self._fire, effect.timer_id)
        self._timer_by_id[effect.timer_id] = handle

    def _fire(self, timer_id: str) -> None:
        self._timer_by_id.pop(timer_id, None)
        self.post(TimerFired(timer_id))

    def _close_connection(self, effect: CloseConnection) -> None:
        self._dispatcher.close_endpoint(effect.endpoint_id, "closed by a decision")

    def _log_event(self, effect: LogEvent) -> None:
        counts = Counter(key for key, _ in effect.fields)
        fields = {key: value for key, value in effect.fields if counts[key] == 1}
        fields.pop("name", None)
        fields.pop("level", None)
        self.metrics.count("bluebellusher_decisions_total", "event", effect.name)
        self._log.event(effect.name, "info", **fields)

    def _start_task(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
