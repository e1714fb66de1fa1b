"""Line charts as SVG text, drawn without a plotting library."""

from dataclasses import dataclass

WIDTH, HEIGHT = 640, 360
# Margins around the plot area, in pixels; the right one holds the legend.
LEFT, RIGHT, TOP, BOTTOM = 60, 190, 40, 50
COLORS = ("#000000", "#d55e00", "#0072b2", "#009e73", "#cc79a7", "#e69f00")


@dataclass(frozen=True, slots=True)
class Chart:
    """Content of a line chart.

    Every series has one value for each of ``x_names``, the labels of the x axis.
    ``target`` is drawn as a dashed horizontal line.
    """

    title: str
    x_label: str
    y_label: str
    x_names: tuple[str, ...]
    values_by_series: dict[str, list[float]]
    y_max: float
    target: float | None = None


def draw_chart(chart: Chart) -> str:
    """Return the chart as an SVG document.

    Values above ``y_max`` are drawn at ``y_max``.
    """
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _draw_text(LEFT, 20, chart.title, size=13),
        _draw_text(LEFT, HEIGHT - 10, chart.x_label),
        _draw_text(8, TOP - 8, chart.y_label),
    ]
    parts += _draw_axes(chart)
    for index, (name, values) in enumerate(chart.values_by_series.items()):
        parts += _draw_series(chart, index, name, values)
    return "\n".join([*parts, "</svg>", ""])


def _draw_axes(chart: Chart) -> list[str]:
    parts = []
    for tick in range(5):
        value = chart.y_max * tick / 4
        y = _y_position(chart, value)
        parts.append(_draw_line(LEFT, y, WIDTH - RIGHT, y, "#dddddd"))
        parts.append(_draw_text(20, y + 4, f"{value:.4g}"))
    for index, name in enumerate(chart.x_names):
        parts.append(
            _draw_text(_x_position(chart, index) - 10, HEIGHT - BOTTOM + 16, name)
        )
    if chart.target is not None:
        y = _y_position(chart, chart.target)
        line = _draw_line(LEFT, y, WIDTH - RIGHT, y, "#888888")
        parts.append(line.replace("/>", ' stroke-dasharray="5 4"/>'))
        parts.append(_draw_text(WIDTH - RIGHT + 5, y + 4, f"target {chart.target:g}"))
    return parts


def _draw_series(chart: Chart, index: int, name: str, values: list[float]) -> list[str]:
    color = COLORS[index % len(COLORS)]
    points = [
        (_x_position(chart, i), _y_position(chart, value))
        for i, value in enumerate(values)
    ]
    path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
    y_legend = TOP + 16 * index
    x_legend = WIDTH - RIGHT + 60
    return [
        f'<polyline points="{path}" fill="none" stroke="{color}" stroke-width="2"/>',
        *(
            f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3" fill="{color}"/>'
            for x, y in points
        ),
        _draw_line(x_legend, y_legend, x_legend + 14, y_legend, color),
        _draw_text(x_legend + 18, y_legend + 4, name),
    ]


def _x_position(chart: Chart, index: int) -> float:
    n_steps = max(1, len(chart.x_names) - 1)
    return LEFT + 15 + index * (WIDTH - LEFT - RIGHT - 30) / n_steps


def _y_position(chart: Chart, value: float) -> float:
    share = min(value, chart.y_max) / chart.y_max
    return HEIGHT - BOTTOM - share * (HEIGHT - TOP - BOTTOM)


def _draw_text(x: float, y: float, text: str, size: int = 11) -> str:
    return f'<text x="{x:.1f}" y="{y:.1f}" font-size="{size}">{text}</text>'


def _draw_line(x1: float, y1: float, x2: float, y2: float, color: str) -> str:
    ends = f'x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}"'
    return f'<line {ends} stroke="{color}"/>'
