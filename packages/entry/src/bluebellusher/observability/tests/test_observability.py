"""Tests of log lines, the Prometheus text format and trace ids."""

import io
import os
import re

from hypothesis import example, given
from hypothesis import strategies as st

from bluebellusher.observability import (
    DescriptorWriter,
    KeyValueLog,
    Metrics,
    Tracer,
    format_line,
    parse_traceparent,
)

QUOTED = r'"(?:\\.|[^"\\])*"'
TRACEPARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


@given(st.text(), st.text())
@example("0\n", "0\n")
def test_property_a_value_cannot_forge_a_line_or_a_field(name, value):
    """Guards against input from a caller that forges a log line or a field."""
    line = format_line({"message_type": name, "peer": value, "timestamp": 1.0})
    assert line.isascii()
    assert len(line.splitlines()) == 1
    assert re.sub(QUOTED, "Q", line).count(" peer=") == 1
    assert re.sub(QUOTED, "Q", line).count('"') == 0


def test_a_span_is_logged_with_its_parent_at_debug_level():
    """Guards against a span that loses its trace, or that is logged twice."""
    stream = io.StringIO()
    log = KeyValueLog.from_config("debug", stream)
    try:
        span = Tracer(log).start("request", TRACEPARENT)
        span.end(status=200)
        span.end(status=500)
    finally:
        log.close()
    assert span.traceparent.startswith("00-" + "a" * 32)
    assert span.span_id != "b" * 16
    assert stream.getvalue().count("event=span") == 1
    assert f"parent_id={'b' * 16}" in stream.getvalue()


def test_trace_id_is_kept_when_spans_are_not_recorded():
    """Guards against a lost trace id when spans are not recorded.

    Also checks that a trace id of only zeros is rejected.
    """
    log = KeyValueLog("info", io.StringIO())
    assert Tracer(log).start("request", TRACEPARENT).trace_id == "a" * 32
    assert parse_traceparent("00-" + "0" * 32 + "-" + "b" * 16 + "-01") is None


def test_writer_does_not_block_when_the_log_is_not_read():
    """Guards against an entry that blocks because its log is not read.

    The pipe fills up, and later has no reader at all. Neither may block or raise.
    """
    reader, descriptor = os.pipe()
    writer = DescriptorWriter(descriptor)
    for _ in range(100):
        writer.write("x" * 3_999 + "\n")
    os.read(reader, 1_000_000)
    writer.write("last\n")
    assert b"last n_lines_dropped=" in os.read(reader, 1_000_000)
    os.close(reader)
    writer.write("nobody reads\n")
    os.close(descriptor)


def test_metrics_text_has_counters_and_quantiles():
    """Guards against a /metrics page that Prometheus cannot parse."""
    metrics = Metrics()
    metrics.count("requests_total", "outcome", 'a"b\n')
    metrics.time_to_first_token_ms.record_value(20)
    metrics.n_chunks_by_gap_ms.update([0, 30, 30, 10**9])
    text = metrics.to_prometheus({"members": 2})
    assert 'requests_total{outcome="a\\"b\\n"} 1' in text
    assert 'bluebellusher_time_to_first_token_ms{quantile="0.95"} 20' in text
    assert 'bluebellusher_time_between_chunks_ms{quantile="0.5"} 30' in text
    assert "bluebellusher_time_between_chunks_ms_count 4" in metrics.to_prometheus({})
