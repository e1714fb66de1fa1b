"""Distributed tracing with W3C trace context, one span per hop of a request."""

import re
import secrets
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from bluebellusher.observability._log import KeyValueLog

_TRACEPARENT = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})\Z")


def parse_traceparent(value: str) -> tuple[str, str, str] | None:
    """Return trace id, parent span id and flags of a ``traceparent`` header.

    Returns ``None`` for a malformed header, and for ids of only zeros, which W3C Trace
    Context (section 3.2) declares invalid.
    """
    match = _TRACEPARENT.match(value.strip())
    if match is None:
        return None
    trace_id, span_id, flags = match.groups()
    is_zero = not trace_id.strip("0") or not span_id.strip("0")
    return None if is_zero else (trace_id, span_id, flags)


@dataclass(slots=True)
class Span:
    """Span of one hop of a request.

    Parameters
    ----------
    trace_id, span_id, flags : str
        Fields of the ``traceparent`` header, in hexadecimal.
    """

    trace_id: str
    span_id: str
    flags: str = "01"
    _recorded_span: Any = field(default=None, repr=False)

    @property
    def traceparent(self) -> str:
        """Value of the ``traceparent`` header that is sent to the next hop."""
        return f"00-{self.trace_id}-{self.span_id}-{self.flags}"

    def end(self, **attributes: str | int) -> None:
        """End the span with these attributes; later calls have no effect."""
        if self._recorded_span is not None:
            self._recorded_span.set_attributes(attributes)
            self._recorded_span.end()
            self._recorded_span = None


class Tracer:
    """Factory of spans, which are written to the log if it is at debug level.

    The OpenTelemetry SDK, which takes 5 MB of memory, is loaded only at debug level. At
    other levels spans are not recorded, and the tracer only generates their ids.
    """

    def __init__(self, log: "KeyValueLog") -> None:
        self._recorder = _make_recorder(log) if log.is_debug else None

    def start(self, name: str, traceparent: str = "") -> Span:
        """Start a span whose parent is given by a ``traceparent`` header.

        Without a valid header the span starts a new trace.
        """
        parent = parse_traceparent(traceparent)
        if self._recorder is not None:
            return _start_recorded(self._recorder, name, parent)
        trace_id = parent[0] if parent else secrets.token_hex(16)
        flags = parent[2] if parent else "00"
        return Span(trace_id, secrets.token_hex(8), flags)


def _make_recorder(log: "KeyValueLog") -> Any:
    """Return an OpenTelemetry tracer that writes ended spans to the log."""
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import SimpleSpanProcessor

    from bluebellusher.observability._exporter import LogSpanExporter

    provider = TracerProvider(shutdown_on_exit=False)
    provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter(log)))
    return provider.get_tracer("bluebellusher")


def _start_recorded(
    recorder: Any, name: str, parent: tuple[str, str, str] | None
) -> Span:
    """Start a span that the OpenTelemetry SDK records."""
    from opentelemetry import trace

    context = None
    if parent is not None:
        trace_id, span_id, flags = (int(part, 16) for part in parent)
        parent_context = trace.SpanContext(
            trace_id, span_id, is_remote=True, trace_flags=trace.TraceFlags(flags)
        )
        context = trace.set_span_in_context(trace.NonRecordingSpan(parent_context))
    recorded_span = recorder.start_span(name, context=context)
    span_context = recorded_span.get_span_context()
    return Span(
        f"{span_context.trace_id:032x}",
        f"{span_context.span_id:016x}",
        "01",
        recorded_span,
    )
