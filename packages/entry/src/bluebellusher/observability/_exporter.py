"""Export of spans to the log."""

from collections.abc import Sequence

from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult

from bluebellusher.observability._log import KeyValueLog


class LogSpanExporter(SpanExporter):
    """OpenTelemetry exporter that writes each span as one log line at debug level."""

    def __init__(self, log: KeyValueLog) -> None:
        self._log = log

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write one ``span`` event per span; attribute names get the prefix ``a_``."""
        for span in spans:
            context = span.get_span_context()
            duration_ns = (span.end_time or 0) - (span.start_time or 0)
            attributes = {f"a_{k}": v for k, v in (span.attributes or {}).items()}
            self._log.event(
                "span",
                "debug",
                span=span.name,
                trace_id=f"{context.trace_id:032x}" if context else "",
                span_id=f"{context.span_id:016x}" if context else "",
                parent_id=f"{span.parent.span_id:016x}" if span.parent else "",
                duration_ms=duration_ns / 1e6,
                **attributes,
            )
        return SpanExportResult.SUCCESS
