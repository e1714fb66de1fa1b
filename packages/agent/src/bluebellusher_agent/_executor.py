"""Execution of attempts on the target: requests, stream resumption, validation."""

import asyncio
import json
from typing import Protocol

from bluebellusher_agent._http import (
    Exchange,
    ExchangeError,
    HttpClient,
    NotSentError,
    PortClosedError,
)
from bluebellusher_agent._log import log
from bluebellusher_agent._monitor import TargetMonitor, TargetState
from bluebellusher_agent._run import Run
from bluebellusher_core.errors import Reason, StepError

# Maximum number of consecutive reconnections to an engine that resume a stream without
# receiving any byte.
MAX_STREAM_RESUMES = 3
RESUME_DELAY_S = 0.01
USAGE_TAIL_BYTES = 4_096
PRIORITY_NAMES = ("high", "normal", "low")
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-attempt-id",
        "x-resume-offset",
    )
)


class RunListener(Protocol):
    """Interface for the results of runs."""

    def on_not_run(self, run: Run) -> None:
        """Handle an attempt of which no byte was sent to the target."""

    def on_broken(self, run: Run, reason: Reason) -> None:
        """Handle an attempt that failed before its answer was complete."""

    def on_complete(self, run: Run) -> None:
        """Handle an attempt whose answer is complete."""


class _CorruptAnswerError(StepError):
    """The engine sent the answer of another attempt."""


class Executor:
    """Send attempts to the target and receive their answers.

    Parameters
    ----------
    client : HttpClient
        Connections to the target.
    monitor : TargetMonitor
        Detects whether the target crashed when an exchange fails.
    listener : RunListener
        Receives the result of each run.
    is_model : bool
        Whether the target is an engine, which can resume streams.
    """

    def __init__(
        self,
        client: HttpClient,
        monitor: TargetMonitor,
        listener: RunListener,
        is_model: bool,
    ) -> None:
        self._client = client
        self._monitor = monitor
        self._listener = listener
        self._is_model = is_model

    async def execute(self, run: Run) -> None:
        """Run one attempt and report its result to the listener.

        A stream that breaks is resumed from its current offset while the engine is
        alive, up to ``MAX_STREAM_RESUMES`` times in a row without progress.
        """
        n_failures = 0
        while n_failures <= MAX_STREAM_RESUMES:
            offset = run.buffer.end
            try:
                await self._exchange(run)
                self._listener.on_complete(run)
                return
            except NotSentError as error:
                if not run.is_sent:
                    self._listener.on_not_run(run)
                    return
                self._log_broken_exchange(run, error)
            except _CorruptAnswerError as error:
                self._log_broken_exchange(run, error)
                self._listener.on_broken(run, Reason.STREAM_CORRUPT)
                return
            except ExchangeError as error:
                self._log_broken_exchange(run, error)
            n_failures = 1 if run.buffer.end > offset else n_failures + 1
            state = await self._monitor.probe()
            # When the probe detects a crash, the agent ends all affected runs before
            # the probe returns; this run may be one of them.
            if run.is_ended:
                return
            if state is not TargetState.ALIVE or not self._is_resumable(run):
                break
            await asyncio.sleep(RESUME_DELAY_S * n_failures)
        self._listener.on_broken(run, Reason.ENGINE_ERROR)

    def reconnect_stream(self, run: Run) -> None:
        """Close the engine connection of a stalled stream, so that it is resumed."""
        if run.exchange is not None and self._is_resumable(run):
            log("stream-silent", attempt_id=run.attempt_id, n_bytes=run.buffer.end)
            run.exchange.close()

    async def cancel_on_target(self, run: Run) -> bool:
        """Cancel an attempt on the engine.

        Returns
        -------
        bool
            False if the engine did not answer the cancellation, so that the attempt
            may still run there. True if the engine answered it or its port is closed,
            and if there is nothing to cancel: the target is a plain service, the answer
            is complete, or no byte was sent.
        """
        if not self._is_model or run.is_complete or not run.is_sent:
            return True
        try:
            await self._client.fetch("DELETE", "/attempts/" + run.target_attempt_id)
        except PortClosedError:
            return True
        except StepError as error:
            log("cancel-failed", attempt_id=run.attempt_id, reason=error.reason)
            return False
        return True

    def _is_resumable(self, run: Run) -> bool:
        """Return whether the answer is an event stream that the engine can resume."""
        content_type = run.header_by_name.get("content-type", "")
        is_stream = content_type.startswith("text/event-stream")
        return self._is_model and run.status == 200 and is_stream

    def _log_broken_exchange(self, run: Run, error: StepError) -> None:
        log(
            "exchange-broken",
            step=error.step,
            peer=error.peer,
            attempt_id=run.attempt_id,
            n_bytes=run.buffer.end,
            reason=error.reason,
        )

    async def _exchange(self, run: Run) -> None:
        """Send the attempt once and receive its answer from the current offset on."""
        offset = run.buffer.end
        connection = await self._client.acquire(run.is_idempotent)
        run.is_sent = True
        header_by_name = self._build_headers(run, offset)
        exchange = await self._client.send(
            connection, run.method, run.path, header_by_name, run.body
        )
        run.exchange = exchange
        try:
            status = await exchange.read_head()
            self._check_answer_head(run, exchange, status, offset)
            if not run.has_output:
                run.set_head(
                    status, _select_end_to_end_headers(exchange.header_by_name)
                )
                if not self._is_resumable(run):
                    run.body = b""
            await self._receive_body(run, exchange)
        finally:
            exchange.close()
        self._check_stream_end(run)
        run.complete(self._read_usage(run, exchange))

    async def _receive_body(self, run: Run, exchange: Exchange) -> None:
        """Receive the body, with pauses while the run allows no reading."""
        while True:
            if not run.reading_allowed.is_set():
                await run.reading_allowed.wait()
            data = await exchange.read_body()
            if not data:
                return
            run.append(data)

    def _build_headers(self, run: Run, offset: int) -> dict[str, str]:
        header_by_name = _select_end_to_end_headers(
            {name.lower(): value for name, value in run.request_header_by_name.items()}
        )
        if run.traceparent:
            header_by_name["traceparent"] = run.traceparent
        if self._is_model:
            header_by_name["x-attempt-id"] = run.target_attempt_id
            header_by_name["x-priority"] = PRIORITY_NAMES[run.priority]
            if offset:
                header_by_name["x-resume-offset"] = str(offset)
        return header_by_name

    def _check_answer_head(
        self, run: Run, exchange: Exchange, status: int, offset: int
    ) -> None:
        """Check that the answer of an engine belongs to the attempt and its offset.

        Raises
        ------
        _CorruptAnswerError
            If it is the answer of another attempt.
        ExchangeError
            If a resumed stream has another status or starts at another offset.
        """
        if not self._is_model:
            return
        peer = self._client.peer
        answer_id = exchange.header_by_name.get("x-attempt-id", run.target_attempt_id)
        if answer_id != run.target_attempt_id:
            reason = f"answer of attempt {answer_id}: expected {run.target_attempt_id}"
            raise _CorruptAnswerError("read-answer", peer, reason)
        if not run.has_output:
            return
        answered_offset = exchange.header_by_name.get("x-resume-offset", "0")
        if status != run.status or answered_offset != str(offset):
            reason = f"status {status} at offset {answered_offset}: expected {offset}"
            raise ExchangeError("resume-stream", peer, reason)

    def _check_stream_end(self, run: Run) -> None:
        """Raise ``ExchangeError`` for an event stream without its final ``[DONE]``."""
        if not self._is_resumable(run):
            return
        tail_start = max(run.buffer.start, run.buffer.end - 64)
        tail = run.buffer.read(tail_start, 64)
        if not tail.rstrip().endswith(b"data: [DONE]"):
            raise ExchangeError(
                "read-answer",
                self._client.peer,
                "event stream ended without data: [DONE]",
            )

    def _read_usage(self, run: Run, exchange: Exchange) -> tuple[int, int, int]:
        """Return the input, cached and output token counts, or zeros if there are none.

        The engine reports them at the end of its answer. If the cached tokens are
        missing there, the header ``x-cached-tokens`` is used.
        """
        if not self._is_model:
            return (0, 0, 0)
        tail_start = max(run.buffer.start, run.buffer.end - USAGE_TAIL_BYTES)
        tail = run.buffer.read(tail_start, USAGE_TAIL_BYTES)
        cached_header = exchange.header_by_name.get("x-cached-tokens", "0")
        n_cached = (
            int(cached_header)
            if cached_header.isascii() and cached_header.isdigit()
            else 0
        )
        return parse_usage(tail, n_cached)


def parse_usage(tail: bytes, n_cached_tokens: int) -> tuple[int, int, int]:
    """Return the token counts in the last ``usage`` object of an answer.

    Parameters
    ----------
    tail : bytes
        Last bytes of the answer.
    n_cached_tokens : int
        Number of cached input tokens if the ``usage`` object does not contain it.

    Returns
    -------
    tuple of int
        Input, cached and output tokens; zeros if there is no valid ``usage`` object.
    """
    position = tail.rfind(b'"usage":')
    if position < 0:
        return (0, 0, 0)
    text = tail[position + 8 :].decode("utf-8", "replace").lstrip()
    try:
        usage, _ = json.JSONDecoder().raw_decode(text)
        details = usage.get("prompt_tokens_details") or {}
        n_cached = int(details.get("cached_tokens", n_cached_tokens))
        n_input = int(usage["prompt_tokens"])
        return (n_input, n_cached, int(usage["completion_tokens"]))
    except (AttributeError, KeyError, TypeError, ValueError, RecursionError):
        return (0, 0, 0)


def _select_end_to_end_headers(header_by_name: dict[str, str]) -> dict[str, str]:
    """Return the headers that may be relayed, without hop-by-hop headers."""
    return {n: v for n, v in header_by_name.items() if n not in HOP_BY_HOP_HEADERS}
