"""Lifecycle of runs: start, resumption, resume window, cancellation and end."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from bluebellusher_agent._connection import EntryConnection
from bluebellusher_agent._executor import Executor
from bluebellusher_agent._log import log
from bluebellusher_agent._run import Run
from bluebellusher_agent._runs import RunTable
from bluebellusher_agent._settings import AgentSettings
from bluebellusher_core.clock import Clock
from bluebellusher_core.errors import Reason
from bluebellusher_core.wire import messages

NOT_RUN_RETRY_MS = 1_000
CANCEL_RETRY_S = 0.5
# Limit in bytes for retained answers that were sent completely. They are retained
# because an entry that loses its connection may not have received all of an answer.
MAX_RETAINED_BYTES = 8 * 1024 * 1024
Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class RunManager:
    """Start, resume, cancel and end the runs of an agent.

    It also handles the results of the runs as the ``RunListener`` of the executor.

    Parameters
    ----------
    runs : RunTable
        Table of the runs.
    settings : AgentSettings
        Settings of the agent: resume window, resume buffer, stream silence.
    clock : Clock
        Time source.
    spawn : callable
        Starts a task that the agent cancels and awaits when it stops.
    on_change : callable
        Called when a run has been resumed, completed or ended.
    """

    def __init__(
        self,
        runs: RunTable,
        settings: AgentSettings,
        clock: Clock,
        spawn: Spawn,
        on_change: Callable[[], None],
    ) -> None:
        self._runs = runs
        self._settings = settings
        self._clock = clock
        self._spawn = spawn
        self._on_change = on_change
        self._executor: Executor | None = None

    def set_executor(self, executor: Executor) -> None:
        """Set the executor, which needs this object as its listener."""
        self._executor = executor

    def start(self, connection: EntryConnection, dispatch: Any, now_ms: int) -> None:
        """Start the run of an accepted dispatch and the timer of its deadline."""
        n_retained_bytes = self._settings.resume_buffer_bytes
        run = Run(dispatch, connection.peer_id, now_ms, n_retained_bytes)
        run.attach(connection, run.attempt_id, 0, dispatch.credit_bytes)
        assert self._executor is not None
        self._runs.add(run)
        run.task = self._spawn(self._executor.execute(run))
        run.task.add_done_callback(lambda task: self._on_task_done(run, task))
        loop = asyncio.get_running_loop()
        delay_s = dispatch.remaining_ms / 1000
        run.deadline_handle = loop.call_later(delay_s, self._on_deadline, run)

    def _on_task_done(self, run: Run, task: asyncio.Task[None]) -> None:
        """End a run whose task raised an exception; send ``Broken`` to its entry."""
        if not task.cancelled() and task.exception() is not None:
            self.on_broken(run, Reason.ENGINE_ERROR)

    def resume(
        self, run: Run, connection: EntryConnection, dispatch: Any, now_ms: int
    ) -> None:
        """Send an answer from the offset of the dispatch on to its connection."""
        if run.attempt_id != dispatch.attempt_id:
            self._runs.rename(run, dispatch.attempt_id, now_ms)
        offset, credit = dispatch.resume_offset, dispatch.credit_bytes
        run.attach(connection, dispatch.attempt_id, offset, credit)
        if run.is_complete:
            self.start_resume_window(run)
        self._on_change()

    def cancel(self, run: Run) -> None:
        """Cancel a run here and on the target.

        The run counts as running until the request to the target has ended.
        """
        if run.is_cancelled or run.is_ended:
            return
        run.is_cancelled = True
        connection, run.connection = run.connection, None
        if isinstance(connection, EntryConnection):
            connection.discard_queued(run.attempt_id)
        self._runs.remove_request(run, self._clock.now_ms())
        if run.task is not None:
            run.task.cancel()
        self._spawn(self._cancel_on_target(run))

    async def _cancel_on_target(self, run: Run) -> None:
        """Cancel a run on the target, then end it."""
        assert self._executor is not None
        is_cancelled_on_target = await self._executor.cancel_on_target(run)
        # An isolated suspect may still run on an unresponsive engine. It excludes other
        # work until the engine answers the cancellation or its port is closed, or
        # until the deadline passes.
        while (
            run.is_isolated
            and not is_cancelled_on_target
            and not self._is_deadline_passed(run)
        ):
            await asyncio.sleep(CANCEL_RETRY_S)
            is_cancelled_on_target = await self._executor.cancel_on_target(run)
        self.end(run)

    def _is_deadline_passed(self, run: Run) -> bool:
        return self._clock.now_ms() >= run.deadline_ms

    def on_not_run(self, run: Run) -> None:
        """Send ``Refuse`` for an attempt of which no byte was sent to the target."""
        connection = run.connection
        if connection is not None:
            reason = Reason.ENGINE_ERROR.value
            refusal = messages.Refuse(run.attempt_id, reason, NOT_RUN_RETRY_MS)
            self._send_final_message(connection, run, refusal)
        self.end(run)

    def on_broken(self, run: Run, reason: Reason) -> None:
        """Send ``Broken`` for an attempt whose answer ended early, and end the run."""
        connection = run.connection
        if connection is not None:
            broken = messages.Broken(run.attempt_id, reason.value, False)
            self._send_final_message(connection, run, broken)
        self.end(run)

    def _send_final_message(self, connection: Any, run: Run, message: Any) -> None:
        """Send the last message of a run after all messages that are queued."""
        connection.flush()
        connection.send(message)

    def on_complete(self, run: Run) -> None:
        """Retain a complete answer for the resume window."""
        log(
            "run-complete",
            attempt_id=run.attempt_id,
            status=run.status,
            n_bytes=run.buffer.end,
        )
        self._evict_sent_answers()
        self.start_resume_window(run)
        self._on_change()

    def _evict_sent_answers(self) -> None:
        """End sent runs until their answers fit into ``MAX_RETAINED_BYTES``.

        Runs are ended in the order of their start or, if resumed with a new attempt
        id, of their last such resumption.
        """
        sent_runs = [run for run in self._runs if run.is_finish_queued]
        n_bytes = sum(len(run.buffer) for run in sent_runs)
        for run in sent_runs:
            if n_bytes <= MAX_RETAINED_BYTES:
                return
            n_bytes -= len(run.buffer)
            self.end(run)

    def reconnect_stalled_streams(self, tick_ms: int) -> None:
        """Close the engine connections of stalled streams, so that they are resumed.

        Called once per tick; ``tick_ms`` is the time between two ticks. A stream is
        stalled after ``stream_silence_ms`` without progress. Only its connection may
        have failed, while the engine still serves other streams.
        """
        assert self._executor is not None
        n_max_ticks = max(1, self._settings.stream_silence_ms // tick_ms)
        for run in self._runs:
            if run.count_stalled_ticks() >= n_max_ticks:
                run.n_stalled_ticks = 0
                self._executor.reconnect_stream(run)

    def start_resume_window(self, run: Run) -> None:
        """End the run after the resume window unless an entry resumes it earlier."""
        loop = asyncio.get_running_loop()
        delay_s = self._settings.resume_window_ms / 1000
        loop.call_later(delay_s, self._on_resume_window_end, run, run.connection)

    def _on_resume_window_end(self, run: Run, connection: Any) -> None:
        """End or cancel a run that was not resumed within its resume window.

        The window restarts while an answer is still being sent to its connection.
        """
        is_resumed_or_ended = run.connection is not connection or run.is_ended
        if is_resumed_or_ended:
            return
        if run.connection is not None and not run.is_finish_queued:
            self.start_resume_window(run)
            return
        if run.is_complete:
            self.end(run)
        elif run.is_idempotent:
            log("run-abandoned", attempt_id=run.attempt_id)
            self.cancel(run)
        # A run that is not idempotent continues until its deadline, because it must
        # be neither repeated nor interrupted halfway.

    def _on_deadline(self, run: Run) -> None:
        """Cancel a run at its deadline, unless its complete answer is queued."""
        if run.is_ended or run.is_finish_queued:
            return
        log("deadline-exceeded", attempt_id=run.attempt_id)
        if run.connection is not None:
            reason = Reason.DEADLINE_EXCEEDED.value
            broken = messages.Broken(run.attempt_id, reason, False)
            self._send_final_message(run.connection, run, broken)
        self.cancel(run)

    def end(self, run: Run) -> None:
        """Remove a run from the table and cancel its task."""
        if run.is_ended:
            return
        run.is_ended = True
        run.release_resources()
        self._runs.remove(run, self._clock.now_ms())
        task = run.task
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        self._on_change()
