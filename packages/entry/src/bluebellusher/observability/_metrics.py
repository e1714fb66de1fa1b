"""Counters and latency histograms, exported in Prometheus text format."""

from collections import Counter
from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

# Longest duration that the histograms record, in milliseconds: ten minutes.
_MAX_MS = 600_000
# Precision of the recorded durations, in decimal digits.
_N_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 95, 99)


class Metrics:
    """Counters and latency histograms of one entry.

    The histograms record durations in milliseconds: ``time_to_first_token_ms``,
    ``time_between_chunks_ms`` and ``time_total_ms``.
    """

    def __init__(self) -> None:
        self.time_to_first_token_ms = HdrHistogram(1, _MAX_MS, _N_SIGNIFICANT_DIGITS)
        self.time_total_ms = HdrHistogram(1, _MAX_MS, _N_SIGNIFICANT_DIGITS)
        # Recording a value in a histogram takes about a sixth of the time to relay a
        # chunk. The gaps between chunks are therefore counted by value here, and
        # recorded in the histogram only when metrics are read.
        self.n_chunks_by_gap_ms: Counter[int] = Counter()
        self._time_between_chunks_ms = HdrHistogram(1, _MAX_MS, _N_SIGNIFICANT_DIGITS)
        self._n_by_series: Counter[tuple[str, str, str]] = Counter()

    def count(self, name: str, label: str = "", value: str = "", n: int = 1) -> None:
        """Add ``n`` to a counter; ``label`` and ``value`` select its series."""
        self._n_by_series[name, label, value] += n

    def quantiles(self) -> dict[str, dict[str, float]]:
        """Return the quantiles in ms of each histogram with values, by its name."""
        return {
            name: {f"p{q}": histogram.get_value_at_percentile(q) for q in _PERCENTILES}
            for name, histogram in self._histograms().items()
            if histogram.get_total_count()
        }

    def to_prometheus(self, gauges: Mapping[str, float]) -> str:
        """Return gauges, counters and histograms in Prometheus text format.

        Parameters
        ----------
        gauges : mapping of str to float
            Current values of the gauges by metric name, which labels in braces may
            follow.
        """
        lines: list[str] = []
        last_name = ""
        for series, gauge_value in sorted(gauges.items()):
            name = series.partition("{")[0]
            if name != last_name:
                lines.append(f"# TYPE {name} gauge")
            last_name = name
            lines.append(f"{series} {gauge_value:g}")
        last_name = ""
        for (name, label, value), n in sorted(self._n_by_series.items()):
            if name != last_name:
                lines.append(f"# TYPE {name} counter")
            last_name = name
            series = format_series(name, label, value) if label else name
            lines.append(f"{series} {n}")
        for name, histogram in self._histograms().items():
            lines += _summary_lines(f"bluebellusher_{name}", histogram)
        return "\n".join(lines) + "\n"

    def _histograms(self) -> dict[str, HdrHistogram]:
        """Return the histograms by name, with all counted chunk gaps recorded."""
        for gap_ms, n_chunks in self.n_chunks_by_gap_ms.items():
            self._time_between_chunks_ms.record_value(
                max(1, min(gap_ms, _MAX_MS)), n_chunks
            )
        self.n_chunks_by_gap_ms.clear()
        return {
            "time_to_first_token_ms": self.time_to_first_token_ms,
            "time_between_chunks_ms": self._time_between_chunks_ms,
            "time_total_ms": self.time_total_ms,
        }


def _summary_lines(name: str, histogram: HdrHistogram) -> list[str]:
    """Format a histogram as a Prometheus summary: quantiles, sum and count."""
    n_values = histogram.get_total_count()
    lines = [f"# TYPE {name} summary"]
    for percentile in _PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) if n_values else 0
        lines.append(f'{name}{{quantile="{percentile / 100:g}"}} {value}')
    mean = histogram.get_mean_value() if n_values else 0.0
    return [*lines, f"{name}_sum {mean * n_values:.0f}", f"{name}_count {n_values}"]


def format_series(name: str, label: str, value: str) -> str:
    """Return the name of a series with one label, as ``to_prometheus`` accepts it.

    Examples
    --------
    >>> format_series("share", "service", "desk")
    'share{service="desk"}'
    """
    return f'{name}{{{label}="{_escape_label(value)}"}}'


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
