"""Log lines, metrics and traces of an entry."""

from bluebellusher.observability._log import DescriptorWriter, KeyValueLog, format_line
from bluebellusher.observability._metrics import Metrics, format_series
from bluebellusher.observability._trace import Span, Tracer, parse_traceparent

__all__ = [
    "DescriptorWriter",
    "KeyValueLog",
    "Metrics",
    "Span",
    "Tracer",
    "format_line",
    "format_series",
    "parse_traceparent",
]
