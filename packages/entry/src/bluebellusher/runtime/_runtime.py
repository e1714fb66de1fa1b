"""Event queue, execution of the reducer's effects, and timers."""

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

# Upper bound of the events that are handled before other callbacks of the event loop
# run.
_MAX_EVENTS_PER_TURN = 200


class Runtime:
    """Pass events to the reducer and execute the effects that it returns.

    Everything runs on one event loop, so that ``reduce`` and the execution of its
    effects never overlap. An effect that fails is counted and logged, and the other
    effects are still executed.

    Parameters
    ----------
    state : EntryState
        State that the reducer reads and changes.
    clock : Clock
        Clock of the events and timers.
    log : KeyValueLog
        Receives the log lines.
    metrics : Metrics
        Counts log events of the reducer and internal faults.
    tracer : Tracer
        Starts the spans of requests.
    dispatcher : AttemptDispatcher
        Sends attempts to endpoints and cancels them.
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
        # True from the start of the shutdown. The entry then reports itself unready and
        # closes each caller's connection after the response.
        self.is_shutting_down = False
        self.request_ended = asyncio.Event()
        self._clock = clock
        self._log = log
        self._events: deque[Event] = deque()
        self._is_handling_scheduled = False
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
        """Set the writer of claims and the store, from which answers are replayed.

        They are set after the construction, because the writer posts its events to
        this runtime. Without them, effects on claims are ignored.
        """
        self._claims = claims
        self._store = store

    def register(self, effect_type: type[Any], execute: Callable[[Any], None]) -> None:
        """Set the function that executes effects of a type.

        Used for the effects that only some kinds of entries support.
        """
        self._executor_by_type[effect_type] = execute

    @property
    def n_claims_in_flight(self) -> int:
        """Return the number of batches of claim rows that are being written."""
        return self._claims.n_in_flight if self._claims else 0

    @property
    def are_claims_settled(self) -> bool:
        """Return whether no claim or outcome still has to be written to the table."""
        return self.state.claims.is_idle

    def now_ms(self) -> int:
        """Return the monotonic time, in ms."""
        return self._clock.now_ms()

    def post(self, event: Event) -> None:
        """Queue an event; events are handled in the order in which they are posted."""
        self._events.append(event)
        if not self._is_handling_scheduled:
            self._is_handling_scheduled = True
            self._loop.call_soon(self._handle_queued_events)

    def log(self, name: str, **fields: str | int | float) -> None:
        """Write one log line."""
        self._log.event(name, "info", **fields)

    def submit(self, exchange: Exchange) -> None:
        """Register a request and post its arrival to the reducer."""
        self.exchange_by_request_id[exchange.spec.request_id] = exchange
        self.post(RequestArrived(exchange.spec))

    def end_exchange(self, exchange: Exchange) -> None:
        """Record that the caller received its answer or has disconnected.

        The request is discarded when its last attempt has ended as well.
        """
        exchange.is_caller_served = True
        if not exchange.answer.is_ended:
            self.post(CallerDisconnected(exchange.spec.request_id))
        self._discard_if_ended(exchange)

    def close(self) -> None:
        """Cancel all timers and tasks, including the writes of claims."""
        for handle in self._timer_by_id.values():
            handle.cancel()
        for task in self._tasks:
            task.cancel()
        if self._claims is not None:
            self._claims.close()

    def _handle_queued_events(self) -> None:
        """Handle queued events, at most ``_MAX_EVENTS_PER_TURN``; then reschedule."""
        for _ in range(_MAX_EVENTS_PER_TURN):
            if not self._events:
                self._is_handling_scheduled = False
                return
            self._handle(self._events.popleft())
        self._loop.call_soon(self._handle_queued_events)

    def _handle(self, event: Event) -> None:
        """Pass an event to the reducer and execute its effects.

        When the reducer raises an error, the fault is reported and a request that has
        just arrived is rejected.
        """
        if isinstance(event, AttemptFinished):
            self._keep_answer(event.attempt_id)
            self._record_usage(event)
        try:
            effects = reduce(self.state, event, self._clock.now_ms())
        except Exception as error:
            effects = []
            self.report_fault("reduce", event, error)
            self._reject_after_fault(event)
        for effect in effects:
            self._execute(effect)
        if isinstance(event, AttemptFinished | AttemptRefused | AttemptBroken):
            self._end_attempt(event.attempt_id)

    def _execute(self, effect: Effect) -> None:
        """Execute an effect; report an error instead of raising it."""
        try:
            self._executor_by_type[type(effect)](effect)
        except Exception as error:
            # An error in one effect must not stop the event loop, which serves all
            # callers.
            self.report_fault("execute", effect, error)

    def report_fault(self, step: str, subject: object, error: Exception) -> None:
        """Count and log an unexpected error.

        Parameters
        ----------
        step : str
            Operation that failed.
        subject : object
            Event, effect or request that was being handled, or the function that a
            task ran; its type is logged.
        error : Exception
            The error.
        """
        self.metrics.count("bluebellusher_internal_faults_total")
        self._log.event(
            "internal-fault",
            "error",
            step=step,
            subject=type(subject).__name__,
            error=f"{type(error).__name__}: {error}",
        )

    def _reject_after_fault(self, event: Event) -> None:
        """Reject a request whose arrival the reducer could not handle."""
        if isinstance(event, RequestArrived):
            reason = Reason.SHUTTING_DOWN
            rejection = Rejection(Outcome.NOT_RUN, reason, "admission", "", 1_000)
            self._reject(Reject(event.request.request_id, rejection))

    def _keep_answer(self, attempt_id: str) -> None:
        """Pass the answer of a claimed request to the writer of claims."""
        exchange = self._dispatcher.find(attempt_id)
        if (
            exchange is not None
            and exchange.is_answer_kept
            and self._claims is not None
        ):
            self._claims.keep_answer(exchange.spec.request_id, exchange.keep_answer())

    def _record_usage(self, event: AttemptFinished) -> None:
        """Record the usage of the first attempt that finished."""
        exchange = self._dispatcher.find(event.attempt_id)
        if exchange is not None and exchange.usage is None:
            exchange.usage = event.usage

    def _end_attempt(self, attempt_id: str) -> None:
        """Discard an attempt whose end the reducer has handled."""
        exchange = self._dispatcher.end(attempt_id)
        if exchange is not None:
            self._discard_if_ended(exchange)

    def _discard_if_ended(self, exchange: Exchange) -> None:
        """Discard a request when its caller is served and its attempts have ended."""
        if exchange.is_caller_served and not exchange.n_attempts:
            request_id = exchange.spec.request_id
            self.exchange_by_request_id.pop(request_id, None)
            timer = self._timer_by_id.pop(f"deadline:{request_id}", None)
            if timer is not None:
                timer.cancel()
            self.request_ended.set()

    def _dispatch(self, effect: Dispatch) -> None:
        """Send an attempt; post it as refused if it was not sent."""
        exchange = self.exchange_by_request_id.get(effect.request_id)
        is_sent = False
        try:
            # A rejection states whether the request was run, so that no attempt may
            # start after it.
            if exchange is not None and exchange.answer.rejection is None:
                is_sent = self._dispatcher.start(effect, exchange)
        finally:
            if not is_sent:
                refused = AttemptRefused(
                    effect.attempt_id, Reason.NO_ENDPOINT, 0, effect.endpoint_id
                )
                self.post(refused)

    def _cancel_attempt(self, effect: CancelAttempt) -> None:
        """Cancel an attempt and discard it without waiting for its end."""
        self._dispatcher.cancel(effect)
        self._end_attempt(effect.attempt_id)

    def _complete(self, effect: Complete) -> None:
        exchange = self.exchange_by_request_id.get(effect.request_id)
        if exchange is not None:
            exchange.answer.complete()

    def _discard_answer(self, effect: DiscardAnswer) -> None:
        """Discard an unsent answer, so that another attempt can write one."""
        exchange = self.exchange_by_request_id.get(effect.request_id)
        if exchange is not None:
            exchange.answer.owner_attempt_id = ""
            exchange.answer.reset()

    def _reject(self, effect: Reject) -> None:
        """End the answer of a request with a rejection."""
        exchange = self.exchange_by_request_id.get(effect.request_id)
        if exchange is not None:
            exchange.answer.reject(effect.rejection)

    def _replay(self, effect: ReplayAnswer) -> None:
        """Start a task that replays the kept answer in the row of the claim."""
        exchange = self.exchange_by_request_id.get(effect.request_id)
        if exchange is None or self._claims is None or self._store is None:
            return
        row = self._claims.pop_done_row(effect.request_id)
        self._start_task(replay(exchange.answer, row, self._store))

    def _write_claims(self, effect: WriteClaims) -> None:
        if self._claims is not None:
            self._claims.submit(effect.batch_id, effect.writes)

    def _set_timer(self, effect: SetTimer) -> None:
        """Start a timer; a timer of the same id is replaced."""
        previous_handle = self._timer_by_id.pop(effect.timer_id, None)
        if previous_handle is not None:
            previous_handle.cancel()
        delay_ms = max(0, effect.due_ms - self._clock.now_ms())
        handle = self._loop.call_later(
            delay_ms / 1000, self._post_timer_fired, effect.timer_id
        )
        self._timer_by_id[effect.timer_id] = handle

    def _post_timer_fired(self, timer_id: str) -> None:
        """Discard the timer and post its event."""
        self._timer_by_id.pop(timer_id, None)
        self.post(TimerFired(timer_id))

    def _close_connection(self, effect: CloseConnection) -> None:
        self._dispatcher.close_endpoint(
            effect.endpoint_id, "closed by a decision of the reducer"
        )

    def _log_event(self, effect: LogEvent) -> None:
        """Count and log a decision of the reducer.

        Fields whose names occur twice or are parameters of the log are left out.
        """
        counts = Counter(key for key, _ in effect.fields)
        fields = {key: value for key, value in effect.fields if counts[key] == 1}
        fields.pop("name", None)
        fields.pop("level", None)
        self.metrics.count("bluebellusher_decisions_total", "event", effect.name)
        self._log.event(effect.name, "info", **fields)

    def _start_task(self, coroutine: Any) -> None:
        """Start a task that is cancelled when the runtime closes."""
        task: asyncio.Task[None] = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
